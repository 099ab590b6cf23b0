"""In-memory stand-in for the platform's keyed topics, with faults."""

import asyncio
from collections.abc import Callable
import dataclasses

from trefoilwind import errors
from trefoilwind.log import keyed
from trefoilwind.model import positions

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
        # Keys and values by offset.
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._first_offsets: dict[str, int] = {}
        self._era = 0
        self._changed = asyncio.Condition()
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of requests so far."""
        return self._calls

    def records(self, topic: str) -> tuple[keyed.KeyedRecord, ...]:
        """Return all records written to a topic and not lost."""
        return self._from(topic, 0)

    def expire_history(self, topic: str) -> None:
        """Expire the history of a topic; `newest` still returns its records."""
        self._first_offsets[topic] = len(self._topics.get(topic, ()))

    async def restore(self, kept: Callable[[str], bool]) -> None:
        """Lose records as if the store had been restored from a copy.

        Args:
            kept: Returns True for the keys of the records that are kept.
        """
        async with self._changed:
            for records in self._topics.values():
                records[:] = [pair for pair in records if kept(pair[0])]
            self._era += 1
            self._changed.notify_all()

    async def newest(self, topic: str) -> keyed.KeyedPage | errors.LogError:
        """Return the newest record of each key."""
        self._calls += 1
        if self.faults.is_down:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        newest = {record.key: record for record in self.records(topic)}
        kept = tuple(r for r in newest.values() if r.value)
        return keyed.KeyedPage(kept, self._end(topic))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        """Return the records from an offset on."""
        self._calls += 1
        if self.faults.is_down:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        era = positions.era(offset)
        index = positions.offset(offset)
        if era != self._era or index < self._first_offsets.get(topic, 0):
            return _error(errors.Reason.OFFSET_EXPIRED)
        records = self._topics.setdefault(topic, [])
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: len(records) > index or self._era != era
                    )
            except TimeoutError:
                return keyed.KeyedPage((), offset)
        if self._era != era:
            return _error(errors.Reason.OFFSET_EXPIRED)
        return keyed.KeyedPage(self._from(topic, index), self._end(topic))

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int | errors.LogError:
        """Append a record and return its offset."""
        self._calls += 1
        if self.faults.is_down:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        records = self._topics.setdefault(topic, [])
        offset = self._end(topic)
        if at is not None and at != offset:
            return _error(errors.Reason.STALE_BASE)
        async with self._changed:
            records.append((key, value))
            self._changed.notify_all()
        if self.faults.loses_answers:
            return _error(errors.Reason.LOG_UNKNOWN_RESULT)
        return offset

    def _end(self, topic: str) -> int:
        return positions.position(self._era, len(self._topics.get(topic, ())))

    def _from(self, topic: str, index: int) -> tuple[keyed.KeyedRecord, ...]:
        """Return the records of a topic from an index on."""
        pairs = self._topics.get(topic, [])[index:]
        first = positions.position(self._era, index)
        return tuple(
            keyed.KeyedRecord(key, value, first + number)
            for number, (key, value) in enumerate(pairs)
        )


def _error(reason: errors.Reason) -> errors.LogError:
    return errors.LogError(reason, _STEP)
