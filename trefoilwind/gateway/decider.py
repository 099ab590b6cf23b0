"""Records that the first writer decides; the store's order is the judge."""

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

# Bounds of the full-jitter backoff after a write that was refused or lost.
RETRY_BASE_S = 0.05
RETRY_CAP_S = 1.0


class Decider:
    """Writes each record unless another one of its key was seen before.

    A write names the end of the topic as this node read it, so it fails if
    a record that this node has not seen came before.
    """

    def __init__(
        self,
        store: keyed.KeyedStore,
        topic: str,
        end_offset: Callable[[], int | None],
        read_on: Callable[[], None],
        rng: random.Random,
    ):
        """Decide records of a topic.

        Args:
            store: The store.
            topic: Name of the topic.
            end_offset: Returns the end of the topic as this node read it;
                None if it has not read it.
            read_on: Makes this node read the topic's newest records.
            rng: Source of random numbers.
        """
        self._store = store
        self._topic = topic
        self._end_offset = end_offset
        self._read_on = read_on
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
            message: What it says; a later proposal of the key replaces it.
            delay_s: Seconds to leave to other nodes.
            is_decided: Tells whether a record of the key was seen.
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
        """Give up what is not written."""
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
            logger.info("store: %s not decided yet; %s", key, result)
            if result.reason is errors.Reason.STALE_BASE:
                self._read_on()
            return False
        stored(message)
        return True
