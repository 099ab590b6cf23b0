"""Appends records until each is known to be stored, without repeats.

After a lost answer the log is read from where it ended before the attempt,
until the record's id shows or the end is reached. Only a record that the log
lacks is appended again, however many ids the fold still remembers.
"""

import collections
import dataclasses
import logging
import math
import random

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.distribution import backoff
from trefoilwind.log import port
from trefoilwind.model import records

logger = logging.getLogger(__name__)

PAGE_RECORDS = 200
RETRY_BASE_S = 0.1
RETRY_CAP_S = 2.0
MAX_PENDING = 256
_STEP = "log.append"


@dataclasses.dataclass(frozen=True)
class Pending:
    """A record that is not known to be stored.

    Attributes:
        record_id: Id of the record.
        payload: Bytes of the record.
        deadline: Monotonic time at which it is given up; infinity for never.
        search_from: Offset before which the record cannot be; -1 while no
            attempt with an unknown result was made.
    """

    record_id: str
    payload: bytes
    deadline: float = math.inf
    search_from: int = -1


class Appender:
    """Queue of records before the log port, whose calls block."""

    def __init__(
        self, log: port.LogPort, clock: clock_lib.Clock, rng: random.Random
    ):
        self._log = log
        self._clock = clock
        self._random = rng
        self._pending: collections.deque[Pending] = collections.deque()
        self._failures = 0
        self._next_attempt = 0.0

    @property
    def pending(self) -> int:
        """Count of records that are not known to be stored."""
        return len(self._pending)

    def add(
        self, record_id: str, payload: bytes, deadline: float = math.inf
    ) -> errors.LogError | None:
        """Queue a record; return an error if the queue is full."""
        if len(self._pending) >= MAX_PENDING:
            return _error(errors.Reason.LOG_UNAVAILABLE, "queue is full")
        self._pending.append(Pending(record_id, payload, deadline))
        return None

    def run(self, end_offset: int) -> errors.LogError | None:
        """Append what is due; return the error that stopped it, or None.

        Args:
            end_offset: An offset before or at the end of the log, as known
                without asking it; a search after a lost answer starts there.
        """
        while self._pending:
            if self._clock.monotonic() < self._next_attempt:
                return None
            head = self._pending[0]
            if self._clock.monotonic() >= head.deadline:
                self._pending.popleft()
                continue
            problem = self._attempt(head, end_offset)
            if problem is not None:
                self._back_off()
                return problem
            self._failures = 0
            self._pending.popleft()
        return None

    def _back_off(self) -> None:
        delay_s = backoff.full_jitter_s(
            self._failures, RETRY_BASE_S, RETRY_CAP_S, self._random
        )
        self._failures += 1
        self._next_attempt = self._clock.monotonic() + delay_s

    def _attempt(self, head: Pending, end_offset: int) -> errors.Error | None:
        if head.search_from >= 0:
            found = self._search(head)
            if isinstance(found, errors.Error):
                return found
            if found:
                return None
        else:
            head = dataclasses.replace(head, search_from=end_offset)
        result = self._log.append(head.payload)
        if not isinstance(result, errors.Error):
            return None
        if result.reason is errors.Reason.LOG_UNKNOWN_RESULT:
            self._pending[0] = head
        return result

    def _search(self, head: Pending) -> bool | errors.LogError:
        """Return True if the log holds the record, False if it lacks it."""
        offset = head.search_from
        while True:
            page = self._log.read(offset, PAGE_RECORDS)
            if isinstance(page, errors.LogError):
                return self._resolve_expired(head, page)
            if any(_has_id(e.payload, head.record_id) for e in page.entries):
                return True
            if page.next_offset >= page.end_offset:
                # A late append of this attempt comes after what was read.
                self._pending[0] = dataclasses.replace(
                    head, search_from=page.next_offset
                )
                return False
            offset = page.next_offset

    def _resolve_expired(
        self, head: Pending, problem: errors.LogError
    ) -> bool | errors.LogError:
        if problem.reason is not errors.Reason.OFFSET_EXPIRED:
            return problem
        first = self._log.first_offset()
        if isinstance(first, errors.LogError):
            return first
        # It may be stored and expired; a repeat would not be safe.
        logger.warning("log: gave up on record %s", head.record_id)
        return True


def _has_id(payload: bytes, record_id: str) -> bool:
    record = codec.decode(payload, _STEP)
    return isinstance(record, records.Record) and record.record_id == record_id


def _error(reason: errors.Reason, detail: str) -> errors.LogError:
    return errors.LogError(reason, _STEP, detail=detail)
