"""Stand-in for the platform's log, in memory, with injectable faults."""

import dataclasses
import threading

from trefoilwind import errors
from trefoilwind.log import port

_STEP = "standin.log"


@dataclasses.dataclass
class LogFaults:
    """Faults of the log; set by tests.

    Attributes:
        is_down: True if every request fails.
        lose_append_answers: True if appends take effect but return an error.
    """

    is_down: bool = False
    lose_append_answers: bool = False


class MemoryLog:
    """In-memory `port.LogPort`. Safe for use by many threads."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self._changed = threading.Condition()
        self._payloads: list[bytes] = []
        self._first = 0
        self._appends = 0
        self._reads = 0

    @property
    def appends(self) -> int:
        """Number of appends so far."""
        return self._appends

    @property
    def reads(self) -> int:
        """Number of reads so far."""
        return self._reads

    @property
    def end_offset(self) -> int:
        """Offset that the next append will get."""
        return self._first + len(self._payloads)

    def append(self, payload: bytes) -> int | errors.LogError:
        """Append a record; see `port.LogPort`."""
        if self.faults.is_down:
            return self._error(errors.Reason.LOG_UNAVAILABLE)
        with self._changed:
            self._appends += 1
            offset = self.end_offset
            self._payloads.append(payload)
            self._changed.notify_all()
        if self.faults.lose_append_answers:
            return self._error(errors.Reason.LOG_UNKNOWN_RESULT)
        return offset

    def read(
        self, offset: int, limit: int, wait_s: float = 0.0
    ) -> port.Page | errors.LogError:
        """Return records from `offset` on; see `port.LogPort`."""
        if self.faults.is_down:
            return self._error(errors.Reason.LOG_UNAVAILABLE)
        with self._changed:
            self._reads += 1
            if offset < self._first:
                return self._error(errors.Reason.OFFSET_EXPIRED)
            if wait_s:
                self._changed.wait_for(
                    lambda: self.end_offset > offset, timeout=wait_s
                )
            start = max(offset - self._first, 0)
            chosen = self._payloads[start : start + limit]
            entries = tuple(
                port.Entry(offset + index, payload)
                for index, payload in enumerate(chosen)
            )
            return port.Page(entries, offset + len(entries), self.end_offset)

    def first_offset(self) -> int | errors.LogError:
        """Return the oldest offset that is kept; see `port.LogPort`."""
        if self.faults.is_down:
            return self._error(errors.Reason.LOG_UNAVAILABLE)
        return self._first

    def expire_before(self, offset: int) -> None:
        """Remove the records before an offset, as retention does."""
        with self._changed:
            count = min(max(0, offset - self._first), len(self._payloads))
            del self._payloads[:count]
            self._first += count

    def _error(self, reason: errors.Reason) -> errors.LogError:
        return errors.LogError(reason, _STEP)
