"""Conditional writes: of concurrent records of a key, only the first is valid.

The order of the records in the store determines which one is the first.
"""

import asyncio
from collections.abc import Callable
import logging
import random
from typing import Any

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.distribution import backoff
from trefoilwind.log import keyed

logger = logging.getLogger(__name__)

# Bounds of the full-jitter backoff after a write failed or had no result.
RETRY_BASE_S = 0.05
RETRY_CAP_S = 1.0


class ConditionalWriter:
    """Writes a record unless this node has read another one of its key.

    A write names the end of the topic up to which this node has read it, so
    it fails if the topic contains a record that this node has not read.
    """

    def __init__(
        self,
        store: keyed.KeyedStore,
        topic: str,
        end_offset: Callable[[], int | None],
        request_read: Callable[[], None],
        rng: random.Random,
    ):
        """Initialize the writer of one topic.

        Args:
            store: The store.
            topic: Name of the topic.
            end_offset: Returns the offset up to which this node has read the
                topic; None if it has not read it.
            request_read: Makes this node read the topic's newest records.
            rng: Source of random numbers.
        """
        self._store = store
        self._topic = topic
        self._end_offset = end_offset
        self._request_read = request_read
        self._random = rng
        self._proposals: dict[str, Any] = {}
        self._tasks: set[asyncio.Task] = set()

    def propose(
        self,
        key: str,
        message: Any,
        delay_s: float,
        is_decided: Callable[[], bool],
        stored: Callable[[Any], None],
    ) -> None:
        """Write a record after a delay.

        Args:
            key: Key of the record.
            message: Message to store; a later proposal for the key replaces
                it.
            delay_s: Seconds to wait, so that other nodes can write first.
            is_decided: Returns True once a record of the key has been read.
            stored: Called with the message once it is stored.
        """
        is_running = key in self._proposals
        self._proposals[key] = message
        if is_running:
            return
        task = asyncio.get_running_loop().create_task(
            self._run(key, delay_s, is_decided, stored)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the writes that are not stored yet."""
        for task in self._tasks:
            task.cancel()

    async def _run(
        self,
        key: str,
        delay_s: float,
        is_decided: Callable[[], bool],
        stored: Callable[[Any], None],
    ) -> None:
        await asyncio.sleep(delay_s)
        failures = 0
        while not is_decided():
            if await self._write(key, stored):
                break
            failures += 1
            await asyncio.sleep(
                RETRY_BASE_S
                + backoff.full_jitter_s(
                    failures, RETRY_BASE_S, RETRY_CAP_S, self._random
                )
            )
        self._proposals.pop(key, None)

    async def _write(self, key: str, stored: Callable[[Any], None]) -> bool:
        end = self._end_offset()
        if end is None:
            return False
        message = self._proposals[key]
        result = await self._store.put(
            self._topic, key, codec.encode(message), at=end
        )
        if isinstance(result, errors.LogError):
            logger.info(
                "store: conditional write of %s failed; %s", key, result
            )
            if result.reason is errors.Reason.STALE_BASE:
                self._request_read()
            return False
        stored(message)
        return True
