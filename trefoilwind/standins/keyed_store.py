"""In-memory stand-in for the platform's keyed topics, with faults."""

import asyncio
import dataclasses

from trefoilwind import errors
from trefoilwind.log import keyed

_STEP = "standin.store"


@dataclasses.dataclass
class Faults:
    """Faults of the store; set by tests.

    Attributes:
        is_down: True if no request is executed.
        loses_answers: True if writes take effect but their answers are lost.
    """

    is_down: bool = False
    loses_answers: bool = False


class MemoryStore:
    """Keyed topics in memory; must be used within one event loop."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._topics: dict[str, list[keyed.KeyedRecord]] = {}
        self._first_offsets: dict[str, int] = {}
        self._changed = asyncio.Condition()
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of requests so far."""
        return self._calls

    def records(self, topic: str) -> tuple[keyed.KeyedRecord, ...]:
        """Return all records ever written to a topic."""
        return tuple(self._topics.get(topic, ()))

    def expire_history(self, topic: str) -> None:
        """Expire the history of a topic; `newest` still returns its records."""
        self._first_offsets[topic] = len(self._topics.get(topic, ()))

    async def newest(self, topic: str) -> keyed.KeyedPage | errors.LogError:
        """Return the newest record of each key."""
        self._calls += 1
        if self.faults.is_down:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        records = self._topics.get(topic, [])
        newest = {record.key: record for record in records}
        kept = tuple(r for r in newest.values() if r.value)
        return keyed.KeyedPage(kept, len(records))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        """Return the records from an offset on."""
        self._calls += 1
        if self.faults.is_down:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        if offset < self._first_offsets.get(topic, 0):
            return _error(errors.Reason.OFFSET_EXPIRED)
        records = self._topics.setdefault(topic, [])
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: len(records) > offset)
            except TimeoutError:
                return keyed.KeyedPage((), offset)
        found = tuple(records[offset:])
        return keyed.KeyedPage(found, offset + len(found))

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int | errors.LogError:
        """Append a record and return its offset."""
        self._calls += 1
        if self.faults.is_down:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        records = self._topics.setdefault(topic, [])
        offset = len(records)
        if at is not None and at != offset:
            return _error(errors.Reason.STALE_BASE)
        async with self._changed:
            records.append(keyed.KeyedRecord(key, value, offset))
            self._changed.notify_all()
        if self.faults.loses_answers:
            return _error(errors.Reason.LOG_UNKNOWN_RESULT)
        return offset


def _error(reason: errors.Reason) -> errors.LogError:
    return errors.LogError(reason, _STEP)
