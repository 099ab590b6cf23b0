"""Interruption of a coroutine by an event."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

_Result = TypeVar("_Result")


async def run_until(
    work: Coroutine[Any, Any, _Result], end: asyncio.Future[None]
) -> _Result | None:
    """Return the result of a coroutine, or None if an event came first.

    Args:
        work: Coroutine that is cancelled by the event.
        end: Future that is completed by the event; it is cancelled on return.
    """
    task = asyncio.ensure_future(work)
    try:
        await asyncio.wait((task, end), return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        end.cancel()
        task.cancel()
