"""Follows a keyed topic: newest records first, then each new one."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random

from trefoilwind import errors
from trefoilwind.distribution import backoff
from trefoilwind.log import keyed

logger = logging.getLogger(__name__)

# Seconds for which one read waits for a record; calls of the store are paid.
READ_WAIT_S = 20.0
# Bounds of the full-jitter backoff after a failed call of the store.
RETRY_BASE_S = 0.1
RETRY_CAP_S = 1.0
# Seconds until a node that leaves the reads to others looks again.
IDLE_CHECK_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPlan:
    """How the next read is made.

    Attributes:
        gather_s: Seconds between two reads, so that one of them takes the
            records that come in quick succession.
        wait_s: Seconds for which the read waits for a record.
        is_due: False while another node reads for this one.
    """

    gather_s: float
    wait_s: float = READ_WAIT_S
    is_due: bool = True


class Follower:
    """Reads one topic for good."""

    def __init__(
        self,
        store: keyed.KeyedStore,
        topic: str,
        take: Callable[[keyed.KeyedRecord], None],
        plan: Callable[[], ReadPlan],
        rng: random.Random,
        has_read_to: Callable[[int], None] = lambda offset: None,
    ):
        """Follow a topic.

        Args:
            store: The store.
            topic: Name of the topic.
            take: Called with the newest record of each key.
            plan: Returns how the next read is made.
            rng: Source of random numbers.
            has_read_to: Called after each read with the offset to read next.
        """
        self._store = store
        self._topic = topic
        self._take = take
        self._plan = plan
        self._random = rng
        self._has_read_to = has_read_to
        self._hurried = asyncio.Event()
        self._offset: int | None = None
        self._failures = 0
        self._lost_at = 0.0
        self._read_at = -float("inf")

    @property
    def offset(self) -> int | None:
        """Offset of the next record; None if that is not known."""
        return self._offset

    @property
    def is_lost(self) -> bool:
        """True while the store does not answer."""
        return self._failures > 0

    @property
    def has_read(self) -> bool:
        """True once all newest records were read."""
        return self._offset is not None or self._read_at > 0

    def hurry(self) -> None:
        """Make the next read without gathering."""
        self._hurried.set()

    def skip_to(self, offset: int) -> None:
        """Leave out records that another node read for this one."""
        if self._offset is not None:
            self._offset = max(self._offset, offset)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            plan = self._plan()
            if not plan.is_due:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            problem = await self._read_once(plan.wait_s)
            if problem is None:
                await self._gather(plan.gather_s)
                continue
            delay_s = backoff.full_jitter_s(
                self._failures, RETRY_BASE_S, RETRY_CAP_S, self._random
            )
            await asyncio.sleep(delay_s)

    async def _gather(self, gather_s: float) -> None:
        try:
            async with asyncio.timeout(gather_s):
                await self._hurried.wait()
        except TimeoutError:
            # The usual case: nobody needs the next read sooner.
            pass
        self._hurried.clear()

    async def _read_once(self, wait_s: float) -> errors.LogError | None:
        offset = self._offset
        if offset is None:
            page = await self._store.newest(self._topic)
        else:
            page = await self._store.read(self._topic, offset, wait_s)
        if isinstance(page, errors.LogError):
            return self._failed(page)
        self._succeeded()
        for record in newest_by_key(page.records):
            self._take(record)
        self._offset = max(page.next_offset, self._offset or 0)
        self._has_read_to(self._offset)
        return None

    def _failed(self, problem: errors.LogError) -> errors.LogError | None:
        if problem.reason is errors.Reason.OFFSET_EXPIRED:
            logger.info("store: %s has no record at %s", self._topic, problem)
            self._offset = None
            return None
        if not self._failures:
            self._lost_at = asyncio.get_running_loop().time()
            logger.warning("store: %s lost; %s", self._topic, problem)
        self._failures += 1
        return problem

    def _succeeded(self) -> None:
        now = asyncio.get_running_loop().time()
        self._read_at = now
        if self._failures:
            gone_s = now - self._lost_at
            logger.info("store: %s back after %.1f s", self._topic, gone_s)
        self._failures = 0


def newest_by_key(
    records: tuple[keyed.KeyedRecord, ...],
) -> list[keyed.KeyedRecord]:
    """Return the last record of each key, in the order of offsets."""
    newest = {record.key: record for record in records}
    return sorted(newest.values(), key=lambda record: record.offset)
