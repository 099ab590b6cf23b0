"""Writer that retries records of a keyed topic until they are stored."""

import asyncio
import logging
import random

from trefoilwind import errors
from trefoilwind.distribution import backoff
from trefoilwind.log import keyed

logger = logging.getLogger(__name__)

# Bounds of the full-jitter backoff after a failed write.
RETRY_BASE_S = 0.1
RETRY_CAP_S = 1.0


class Publisher:
    """Writes the newest value of each key and retries failed writes."""

    def __init__(self, store: keyed.KeyedStore, topic: str, rng: random.Random):
        self._store = store
        self._topic = topic
        self._random = rng
        self._pending: dict[str, bytes] = {}
        self._changed = asyncio.Event()
        # Set after the next successful write, and replaced then.
        self._written = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Queue a value; it replaces a pending value of the same key."""
        self._pending[key] = value
        self._changed.set()

    async def wait_stored(self, key: str, deadline: float) -> bool:
        """Wait until the store has the last queued value of a key.

        Args:
            key: Key of the value.
            deadline: Event loop time in seconds until which to wait.

        Returns:
            True if no value of the key is queued any more.
        """
        try:
            async with asyncio.timeout_at(deadline):
                while key in self._pending:
                    await self._written.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write pending values until cancelled."""
        failures = 0
        while True:
            await self._changed.wait()
            key, value = next(iter(self._pending.items()))
            result = await self._store.put(self._topic, key, value)
            if isinstance(result, errors.LogError):
                # The records of other keys do not wait for this one.
                self._pending[key] = self._pending.pop(key)
                if not failures:
                    logger.warning(
                        "store: writing %s failed; retrying; %s", key, result
                    )
                failures += 1
                delay_s = backoff.full_jitter_s(
                    failures, RETRY_BASE_S, RETRY_CAP_S, self._random
                )
                await asyncio.sleep(delay_s)
                continue
            failures = 0
            logger.info("store: %s stored at %d", key, result)
            if self._pending.get(key) == value:
                del self._pending[key]
            if not self._pending:
                self._changed.clear()
            self._written.set()
            self._written = asyncio.Event()
