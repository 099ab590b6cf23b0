"""Follows a keyed topic: reads the newest records, then each new one."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
import random

from trefoilwind import errors
from trefoilwind.customers import freshness_proof
from trefoilwind.distribution import backoff
from trefoilwind.gateway import interruption
from trefoilwind.log import keyed
from trefoilwind.logs import decisions
from trefoilwind.telemetry import counts as counts_lib

logger = logging.getLogger(__name__)

# Seconds for which one read waits for a record. Each call of the store is
# charged for, so long waits are cheaper.
READ_WAIT_S = 20.0
# Bounds of the full-jitter backoff after a failed call of the store.
RETRY_BASE_S = 0.1
RETRY_CAP_S = 1.0
# Longest delay in seconds until the newest records are read after an offset has
# expired; random, as it expires at all nodes together.
READ_AGAIN_S = 0.2
# Seconds from a read that may have ended before the end of the topic until the
# next one, where the end is needed.
END_READ_S = 0.1
# Seconds within which a wait returns a record that is known to be stored.
RECORD_DELAY_S = 0.5
# Seconds between checks of whether this node must read again, while another
# node reads for it.
IDLE_CHECK_INTERVAL_S = 0.2
# Read intervals without a read or a record of a peer after which many records
# may have been written.
_OLD_INTERVALS = 1.5
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPlan:
    """Parameters of the next read.

    Attributes:
        interval_s: Seconds between two reads, so that one read returns all
            records that are written in quick succession.
        wait_s: Seconds for which the read waits for a record.
        is_due: False while another node reads for this one.
        needs_end: True if the end of the topic must be found soon; a read by
            offset that returns records may have ended before it.
    """

    interval_s: float
    wait_s: float = READ_WAIT_S
    is_due: bool = True
    needs_end: bool = False


class Follower:
    """Reads one topic until cancelled."""

    def __init__(
        self,
        store: keyed.KeyedStore,
        topic: str,
        on_records: Callable[[Sequence[keyed.KeyedRecord]], None],
        plan: Callable[[], ReadPlan],
        rng: random.Random,
        counts: counts_lib.MeshCounts,
        on_read: Callable[[int], None] = lambda offset: None,
        on_failure: Callable[[], None] = lambda: None,
        skips_superseded: bool = False,
        on_read_again: Callable[
            [tuple[keyed.KeyedRecord, ...]], None
        ] = lambda records: None,
        on_newest: Callable[[keyed.KeyedPage], None] = lambda page: None,
        on_complete: Callable[[float], None] = lambda started: None,
        boot_time: Callable[[], float] = freshness_proof.boot_time,
    ):
        """Initialize the follower of a topic.

        Args:
            store: The store.
            topic: Name of the topic.
            on_records: Called with the newest record of each key that a read
                returned; again with each one of them if it raised.
            plan: Returns the parameters of the next read.
            rng: Source of random numbers.
            counts: Counters of the node.
            on_read: Called after each read with the offset to read next.
            on_failure: Called when the first of several reads fails.
            skips_superseded: True to read only the newest record of each key
                while records are written faster than they are read.
            on_read_again: Called with the newest records of all keys after
                these had to be read again, as the offset had expired.
            on_newest: Called after `on_records` with each page that holds the
                newest records of all keys; a deleted key is absent from it.
            on_complete: Called after a read that has found the end of the
                topic, and before `on_read`, with the time in seconds by
                `boot_time` at which the read was started.
            boot_time: Clock that counts the suspension of the machine.
        """
        self._on_newest = on_newest
        self._store = store
        self._topic = topic
        self._on_records = on_records
        self._plan = plan
        self._random = rng
        self._counts = counts
        self._on_read = on_read
        self._on_failure = on_failure
        self._skips_superseded = skips_superseded
        self._on_read_again = on_read_again
        self._on_complete = on_complete
        self._boot_time = boot_time
        self._has_expired = False
        self._has_backlog = False
        # True if the last read found new records.
        self._was_written = False
        # True if the last read has found the end of the topic.
        self._is_at_end = False
        # Time at which the records up to the offset were the newest ones.
        self._current_at = -float("inf")
        self._read_soon_requested = asyncio.Event()
        # Time of the first request since the last read interval.
        self._requested_at = 0.0
        self._offset: int | None = None
        self._failures = 0
        self._unavailable_since = 0.0
        # Start of the read in flight; None for none.
        self._reading_since: float | None = None
        # Completed to end the wait for a record; None while there is none.
        self._wait_end: asyncio.Future[None] | None = None
        # Time until which the store may wait for a record before it answers.
        self._wait_deadline = 0.0

    @property
    def offset(self) -> int | None:
        """Offset of the next record to read; None if unknown."""
        return self._offset

    @property
    def is_unavailable(self) -> bool:
        """True while reads of the store fail."""
        return self._failures > 0

    @property
    def has_read(self) -> bool:
        """True once the newest record of each key was read or received."""
        # An expired offset does not undo it, also if a peer sent the records.
        return self._current_at > -float("inf")

    @property
    def read_s(self) -> float:
        """Seconds since the start of the read in flight; 0 for none."""
        if self._reading_since is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._reading_since

    def read_soon(self) -> None:
        """Make the next read without waiting for the interval to end.

        The caller knows of new records, so a wait that goes on without
        returning them is abandoned.
        """
        now = asyncio.get_running_loop().time()
        if not self._read_soon_requested.is_set():
            self._read_soon_requested.set()
            self._requested_at = now
        elif now - self._requested_at > RECORD_DELAY_S:
            self.abandon_wait(RECORD_DELAY_S)

    def abandon_wait(self, min_s: float) -> None:
        """End a wait for a record, as its answer may be lost.

        A read whose answer is due is left to its timeout, as the answer may be
        arriving.

        Args:
            min_s: Seconds since the start of the read before which it goes on.
        """
        is_waiting = asyncio.get_running_loop().time() < self._wait_deadline
        end = self._wait_end
        if end and not end.done() and is_waiting and self.read_s > min_s:
            end.set_result(None)

    def skip_to(self, offset: int) -> None:
        """Skip records that were received from another node."""
        if self._offset is not None:
            self._advance(offset)

    def start_at(self, offset: int) -> None:
        """Start after records received from a node that has read them all."""
        self._advance(offset)

    def _advance(self, offset: int) -> None:
        self._offset = max(self._offset or 0, offset)
        self._current_at = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            plan = self._plan()
            if not plan.is_due and not self._read_soon_requested.is_set():
                await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
                continue
            problem = await self._read_once(plan)
            if problem is None and self._offset is None:
                # The offset expired, so records may have been missed.
                await asyncio.sleep(READ_AGAIN_S * self._random.random())
                continue
            if problem is None:
                await self._wait_interval(
                    END_READ_S if self._seeks_end(plan) else plan.interval_s
                )
                continue
            delay_s = backoff.full_jitter_s(
                self._failures, RETRY_BASE_S, RETRY_CAP_S, self._random
            )
            await asyncio.sleep(delay_s)

    def _seeks_end(self, plan: ReadPlan) -> bool:
        """Return True if the end of the topic is needed and was not found."""
        return plan.needs_end and not self._is_at_end

    async def _wait_interval(self, interval_s: float) -> None:
        try:
            async with asyncio.timeout(interval_s):
                await self._read_soon_requested.wait()
        except TimeoutError:
            # The usual case: `read_soon` was not called.
            pass
        self._read_soon_requested.clear()

    async def _read_once(self, plan: ReadPlan) -> errors.LogError | None:
        offset = self._offset
        started = asyncio.get_running_loop().time()
        self._reading_since = started
        boot_started = self._boot_time()
        is_newest = offset is None or self._reads_newest(plan, started)
        try:
            if is_newest:
                page = await self._store.newest(self._topic)
            else:
                # A wait could end with another record instead of the end.
                wait_s = 0.0 if self._seeks_end(plan) else plan.wait_s
                page = await self._read_next(offset, wait_s)
        finally:
            self._reading_since = None
        elapsed_s = asyncio.get_running_loop().time() - started
        if isinstance(page, errors.LogError):
            self._report_failure(page, offset, elapsed_s)
            return self._failed(page)
        self._succeeded()
        newest = newest_by_key(page.records)
        self._report_read(page, len(newest), offset, elapsed_s)
        self._hand_over(newest)
        if is_newest:
            self._on_newest(page)
        written = 0 if offset is None else page.next_offset - offset
        # After one record in each of two reads, the next may return several.
        self._has_backlog = written > 1 or (written > 0 and self._was_written)
        self._was_written = written > 0
        self._advance(page.next_offset)
        # A read by offset ends at a limit of bytes, so only an empty one tells
        # where the topic ends.
        self._is_at_end = is_newest or page.next_offset == offset
        if self._is_at_end:
            self._on_complete(boot_started)
        self._on_read(self._offset)
        if self._has_expired:
            self._has_expired = False
            self._on_read_again(page.records)
        return None

    async def _read_next(
        self, offset: int, wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        loop = asyncio.get_running_loop()
        self._wait_deadline = loop.time() + wait_s
        self._wait_end = loop.create_future()
        try:
            page = await interruption.run_until(
                self._store.read(self._topic, offset, wait_s), self._wait_end
            )
        finally:
            self._wait_end = None
        if page is not None:
            return page
        return errors.LogError(
            errors.Reason.LOG_UNKNOWN_RESULT,
            "store.log-read",
            detail="the answer may be lost",
        )

    def _hand_over(self, records: Sequence[keyed.KeyedRecord]) -> None:
        """Hand over records; one that cannot be handled is left out.

        It would be read again for ever otherwise, and no other one after it.
        """
        try:
            self._on_records(records)
            return
        except Exception:
            logger.exception(
                "store: records of %s not handled together", self._topic
            )
        for record in records:
            try:
                self._on_records((record,))
            except Exception as error:
                logger.error(
                    "store: record %s at offset %d of %s left out; %s",
                    record.key,
                    record.offset,
                    self._topic,
                    type(error).__name__,
                )

    def _reads_newest(self, plan: ReadPlan, now: float) -> bool:
        """Return True if the records since the last read may be many.

        A read by offset returns all versions of a record, and may take longer
        than its timeout allows.
        """
        if not self._skips_superseded:
            return False
        is_old = now - self._current_at > plan.interval_s * _OLD_INTERVALS
        return self._has_backlog or self._failures > 0 or is_old

    def _report_read(
        self,
        page: keyed.KeyedPage,
        kept: int,
        offset: int | None,
        elapsed_s: float,
    ) -> None:
        size = sum(len(record.value) for record in page.records)
        self._counts.store_read(self._topic, "answered", size, elapsed_s)
        if page.records:
            decisions.failure(
                logger,
                "store_read",
                "store: records read",
                topic=self._topic,
                offset=offset,
                next_offset=page.next_offset,
                records=len(page.records),
                superseded=len(page.records) - kept,
                bytes=size,
                elapsed_ms=round(elapsed_s * _MS_PER_S),
            )

    def _report_failure(
        self, problem: errors.LogError, offset: int | None, elapsed_s: float
    ) -> None:
        reason = problem.reason.value
        self._counts.store_read(self._topic, reason, 0, elapsed_s)
        decisions.failure(
            logger,
            "store_read_failed",
            "store: read failed",
            topic=self._topic,
            offset=offset,
            reason=reason,
            detail=problem.detail,
            elapsed_ms=round(elapsed_s * _MS_PER_S),
        )

    def _failed(self, problem: errors.LogError) -> errors.LogError | None:
        if problem.reason is errors.Reason.OFFSET_EXPIRED:
            logger.info(
                "store: offset of %s expired; reading the newest records; %s",
                self._topic,
                problem,
            )
            self._offset = None
            self._has_expired = True
            return None
        if not self._failures:
            self._unavailable_since = asyncio.get_running_loop().time()
            logger.warning("store: reading %s failed; %s", self._topic, problem)
            self._on_failure()
        self._failures += 1
        return problem

    def _succeeded(self) -> None:
        if self._failures:
            now = asyncio.get_running_loop().time()
            outage_s = now - self._unavailable_since
            logger.info(
                "store: reading %s works again after %.1f s",
                self._topic,
                outage_s,
            )
        self._failures = 0


def newest_by_key(
    records: tuple[keyed.KeyedRecord, ...],
) -> list[keyed.KeyedRecord]:
    """Return the last record of each key, in the order of offsets."""
    newest = {record.key: record for record in records}
    return sorted(newest.values(), key=lambda record: record.offset)
