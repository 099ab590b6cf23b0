"""Fakes of a store and of peer streams behind links of limited bandwidth."""

import asyncio
from collections.abc import Callable
import dataclasses

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.log import keyed

_REQUEST_BYTES = 150
# The platform's limit on the bytes of one read, and its encoding of values.
_PAGE_BYTES = 1024 * 1024
_BASE64_RATIO = 4 / 3


class Link:
    """Link that transmits one message after the other."""

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.bytes = 0

    def reserve(self, size: float, now: float) -> float:
        """Return the time at which `size` bytes have been transmitted."""
        self.bytes += int(size)
        start = max(now, self._free_at)
        self._free_at = start + size / self._bytes_per_s
        return self._free_at


@dataclasses.dataclass
class Log:
    """Records of a topic, shared by the stores of all nodes."""

    records: list[keyed.KeyedRecord] = dataclasses.field(default_factory=list)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        offset = len(self.records)
        self.records.append(keyed.KeyedRecord(key, value, offset))
        return offset


class ThinStore:
    """The store as one node sees it: each answer crosses all given links."""

    def __init__(self, log: Log, links: tuple[Link, ...], timeout_s: float):
        self._log = log
        self._links = links
        self._timeout_s = timeout_s
        self.is_refusing = False
        # True while requests are lost and their connections stay open.
        self.is_silent = False
        # True if only the newest record of each key is kept.
        self.has_no_history = False
        # Reads that were not refused.
        self.reads = 0

    async def newest(self, topic: str) -> keyed.KeyedPage | errors.LogError:
        """Return the newest record of each key."""
        if self.is_silent:
            return await self._lose(0.0)
        newest = {record.key: record for record in self._log.records}
        kept = tuple(record for record in newest.values() if record.value)
        page = keyed.KeyedPage(kept, len(self._log.records))
        return await self._transmit(page, _BASE64_RATIO, 0.0)

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        """Return all records from an offset, up to the limit of a page."""
        if self.is_silent:
            return await self._lose(wait_s)
        loop = asyncio.get_running_loop()
        started = loop.time()
        end = started + (0.0 if self.is_refusing else wait_s)
        while len(self._log.records) <= offset and loop.time() < end:
            await asyncio.sleep(0.01)
        if self.has_no_history and len(self._log.records) > offset:
            return _error(errors.Reason.OFFSET_EXPIRED)
        found: list[keyed.KeyedRecord] = []
        size = 0
        for record in self._log.records[offset:]:
            size += len(record.value)
            if found and size > _PAGE_BYTES:
                break
            found.append(record)
        page = keyed.KeyedPage(tuple(found), offset + len(found))
        return await self._transmit(page, 1.0, wait_s - loop.time() + started)

    async def _lose(self, wait_s: float) -> errors.LogError:
        await asyncio.sleep(self._timeout_s + wait_s)
        return _error(errors.Reason.LOG_UNKNOWN_RESULT)

    async def _transmit(
        self, page: keyed.KeyedPage, ratio: float, unused_wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self.is_refusing:
            return _error(errors.Reason.LOG_UNAVAILABLE)
        self.reads += 1
        size = sum(len(r.value) for r in page.records) * ratio + _REQUEST_BYTES
        arrival = max(link.reserve(size, now) for link in self._links)
        deadline = now + self._timeout_s + unused_wait_s
        await asyncio.sleep(min(arrival, deadline) - now)
        if arrival > deadline:
            return _error(errors.Reason.LOG_UNKNOWN_RESULT)
        return page


def _error(reason: errors.Reason) -> errors.LogError:
    return errors.LogError(reason, "test")


class Stream:
    """One direction of a peer stream, over the sender's own link."""

    unsent_bytes = 0

    def __init__(
        self,
        peer: str,
        link: Link,
        deliver: Callable[[object], None],
    ):
        self.peer = peer
        self._link = link
        self._deliver = deliver

    def send(self, frame: frames.Control) -> None:
        """Deliver the message of a control frame when it is transmitted."""
        loop = asyncio.get_running_loop()
        message = codec.decode(frame.payload, "test")
        arrival = self._link.reserve(len(frame.payload), loop.time())
        loop.call_at(arrival, self._deliver, message)
