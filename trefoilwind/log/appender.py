"""Append queue that retries each record until it is known to be stored.

After an append with an unknown result, the log is searched for the record's
id, from an offset known before the attempt up to the current end. A record is
appended again only if the log does not contain it, so the absence of
duplicates does not depend on how many recent ids the fold keeps.
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
MAX_PENDING_RECORDS = 256
_STEP = "log.append"


@dataclasses.dataclass(frozen=True)
class PendingRecord:
    """A record that is not yet known to be stored.

    Attributes:
        record_id: Id of the record.
        payload: Bytes of the record.
        deadline: Monotonic time at which it is dropped; infinity for never.
        search_offset: Offset before which the record cannot be stored; -1
            while no attempt had an unknown result.
    """

    record_id: str
    payload: bytes
    deadline: float = math.inf
    search_offset: int = -1


class Appender:
    """Queue of records to append through the log port, whose calls block."""

    def __init__(
        self, log: port.LogPort, clock: clock_lib.Clock, rng: random.Random
    ):
        self._log = log
        self._clock = clock
        self._random = rng
        self._pending: collections.deque[PendingRecord] = collections.deque()
        self._failures = 0
        self._next_attempt = 0.0

    @property
    def pending(self) -> int:
        """Number of records that are not yet known to be stored."""
        return len(self._pending)

    def add(
        self, record_id: str, payload: bytes, deadline: float = math.inf
    ) -> errors.LogError | None:
        """Queue a record; return an error if the queue is full."""
        if len(self._pending) >= MAX_PENDING_RECORDS:
            return _error(
                errors.Reason.LOG_UNAVAILABLE,
                "append queue is full",
            )
        self._pending.append(PendingRecord(record_id, payload, deadline))
        return None

    def run(self, end_offset: int) -> errors.LogError | None:
        """Append the records that are due, up to the first error.

        Args:
            end_offset: An offset at or before the end of the log, known
                without querying it; a search after an append with an unknown
                result starts there.

        Returns:
            The error that stopped the run, or None.
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

    def _attempt(
        self, head: PendingRecord, end_offset: int
    ) -> errors.Error | None:
        if head.search_offset >= 0:
            found = self._search(head)
            if isinstance(found, errors.Error):
                return found
            if found:
                return None
        else:
            head = dataclasses.replace(head, search_offset=end_offset)
        result = self._log.append(head.payload)
        if not isinstance(result, errors.Error):
            return None
        if result.reason is errors.Reason.LOG_UNKNOWN_RESULT:
            self._pending[0] = head
        return result

    def _search(self, head: PendingRecord) -> bool | errors.LogError:
        """Return True if the log contains the record or may have removed it."""
        offset = head.search_offset
        while True:
            page = self._log.read(offset, PAGE_RECORDS)
            if isinstance(page, errors.LogError):
                return self._resolve_expired(head, page)
            if any(_has_id(e.payload, head.record_id) for e in page.entries):
                return True
            if page.next_offset >= page.end_offset:
                # A record that is stored late follows the records read so far.
                self._pending[0] = dataclasses.replace(
                    head, search_offset=page.next_offset
                )
                return False
            offset = page.next_offset

    def _resolve_expired(
        self, head: PendingRecord, problem: errors.LogError
    ) -> bool | errors.LogError:
        if problem.reason is not errors.Reason.OFFSET_EXPIRED:
            return problem
        first = self._log.first_offset()
        if isinstance(first, errors.LogError):
            return first
        # The record may have been stored and since removed by retention, so
        # appending it again could duplicate it.
        logger.warning(
            "log: dropped record %s with unknown append result; "
            "the offsets to search have expired",
            head.record_id,
        )
        return True


def _has_id(payload: bytes, record_id: str) -> bool:
    record = codec.decode(payload, _STEP)
    return isinstance(record, records.Record) and record.record_id == record_id


def _error(reason: errors.Reason, detail: str) -> errors.LogError:
    return errors.LogError(reason, _STEP, detail=detail)
