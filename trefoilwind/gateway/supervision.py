"""Restart of components that ended with an unexpected exception."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

logger = logging.getLogger(__name__)

# Seconds until a component is restarted after an unexpected exception.
RESTART_DELAY_S = 0.5


async def supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Run a component; restart it after an unexpected exception.

    Args:
        run: Runs the component until it is cancelled.
    """
    while True:
        try:
            await run()
        except Exception:
            logger.exception(
                "node: unexpected exception in a component; restarting it"
            )
            await asyncio.sleep(RESTART_DELAY_S)
