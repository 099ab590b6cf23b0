"""Order in which waiting calls get a slot, and when they are expected to.

Handles a few slots shared by kinds of calls with very different service times:
640 ms of work with little worth beside 160 ms of work with much. A queue of few
slots uses `RANK_AND_FIT`; the other disciplines are kept for comparison in the
emulator.
All functions are pure, with the time passed in.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import math
from typing import Protocol

# Relative value of a call by rank. Nodes do not know what a caller gains; the
# deployments' credits fall by about this factor from rank to rank.
_RANK_RATIO = 0.6
# Share of a call's value that is left once its target latency has passed. The
# credits for late answers are 0.2 to 0.76 of those in time.
LATE_VALUE_SHARE = 0.4
# Slack in units of the mean service time at which the urgency of a call has
# fallen to 1/e; 2 to 3 is usual for the apparent tardiness cost rule.
_LOOK_AHEAD = 3.0


class QueuedCall(Protocol):
    """What an order needs to know about a waiting call."""

    @property
    def number(self) -> int:
        """Number that increases with the time of arrival."""

    @property
    def rank(self) -> int:
        """Rank; 0 is the most important."""

    @property
    def is_nested(self) -> bool:
        """True if a running call waits for it."""

    @property
    def target_deadline(self) -> float:
        """Monotonic time in seconds after which it is late."""

    @property
    def deadline(self) -> float:
        """Monotonic time in seconds after which it is worthless."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Expectation about one waiting call.

    Attributes:
        service_s: Expected seconds in a slot.
        mean_s: Mean service time in seconds of all calls of the server.
        fairness: Factor on the value of the call; 1 without effect.
    """

    service_s: float
    mean_s: float
    fairness: float = 1.0


# Returns the sort key of a waiting call at a time in seconds; the least runs
# first.
Order = Callable[[QueuedCall, Work, float], tuple]


def useful_until(call: QueuedCall, now: float) -> float:
    """Return the monotonic time until which an answer is still useful."""
    if call.target_deadline > now:
        return min(call.target_deadline, call.deadline)
    return call.deadline


def value(call: QueuedCall, work: Work, now: float) -> float:
    """Return the expected value of an answer if the call starts now."""
    end = now + work.service_s
    if end > call.deadline:
        return 0.0
    rank_value = _RANK_RATIO**call.rank * work.fairness
    return rank_value * (
        1.0 if end <= call.target_deadline else LATE_VALUE_SHARE
    )


def by_rank(call: QueuedCall, work: Work, now: float) -> tuple:
    """Order by nested calls, rank and arrival."""
    del work, now
    return (not call.is_nested, call.rank, call.number)


def by_rank_and_floor(call: QueuedCall, work: Work, now: float) -> tuple:
    """Order by nested calls, rank and arrival.

    A kind or customer that is served far less than the others is not put
    behind others for its rank.
    """
    del now
    rank = 0 if work.fairness > 1.0 else call.rank
    return (not call.is_nested, rank, call.number)


def by_latest_start(call: QueuedCall, work: Work, now: float) -> tuple:
    """Order by nested calls and latest useful start."""
    latest_start = useful_until(call, now + work.service_s) - work.service_s
    return (not call.is_nested, latest_start, call.number)


def by_value(call: QueuedCall, work: Work, now: float) -> tuple:
    """Order by nested calls and value per slot second."""
    density = value(call, work, now) / max(work.service_s, 1e-6)
    return (not call.is_nested, -density, call.number)


def by_weighted_slack(call: QueuedCall, work: Work, now: float) -> tuple:
    """Order by nested calls and value per slot second, discounted by slack.

    This is the apparent tardiness cost rule: a call with time to spare lets
    others go first until its latest useful start approaches.
    """
    density = value(call, work, now) / max(work.service_s, 1e-6)
    end = now + work.service_s
    slack_s = max(0.0, useful_until(call, end) - end)
    urgency = math.exp(-slack_s / (_LOOK_AHEAD * max(work.mean_s, 1e-6)))
    return (not call.is_nested, -density * urgency, call.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Discipline of a queue.

    Attributes:
        order: Order of the waiting calls.
        is_projected: True if waits are projected from the running calls and
            the service times by kind; else from one mean service time.
        sheds: True if a waiting call that a new one displaces past its
            deadline is refused at once.
        limits_long_work: True if one kind of long work may not take the last
            slot while shorter work of a higher rank arrives.
        is_fair: True if customers and kinds get shares.
        margin: Mean deviations of the service time that are added to the mean
            when a waiting call must end before its deadline.
        refuses_early: True if a waiting call is refused as soon as it is not
            expected to end before its deadline.
        admission_margin: Mean deviations that are added when a new call must
            end before its target latency.
    """

    order: Order
    is_projected: bool = True
    sheds: bool = True
    limits_long_work: bool = True
    is_fair: bool = True
    margin: float = 1.0
    refuses_early: bool = True
    admission_margin: float = 2.0


# The discipline of earlier releases.
RANK = Rules(by_rank, False, False, False, False, 0.0, False, 0.0)
LATEST_START = Rules(by_latest_start)
VALUE = Rules(by_value)
WEIGHTED_SLACK = Rules(by_weighted_slack)
RANK_AND_FIT = Rules(by_rank_and_floor)
# Largest number of slots with which a queue uses `RANK_AND_FIT`. With 13 slots
# it earned 0.001 to 0.003 less than `RANK` in the emulator, averaged over three
# seeds; it was measured to gain with 3 slots.
MAX_FEW_SLOTS = 6


def for_slots(slots: int) -> Rules:
    """Return the discipline for a server with a number of slots."""
    return RANK_AND_FIT if slots <= MAX_FEW_SLOTS else RANK


def projected_starts(
    slot_ends: Iterable[float], service_s: Iterable[float], now: float
) -> list[float]:
    """Return when calls are expected to start, in the order given.

    Args:
        slot_ends: Monotonic time in seconds at which each slot comes free.
        service_s: Expected service time in seconds of each call.
        now: Monotonic time in seconds.
    """
    free = [max(now, end) for end in slot_ends]
    heapq.heapify(free)
    starts = []
    for each in service_s:
        start = free[0]
        starts.append(start)
        heapq.heapreplace(free, start + each)
    return starts
