"""Choice of the backend server for one attempt; pure functions.

Load pattern answered: callers crowd into some data centres while others have
free slots. A call stays near until the wait there costs more than the way to
another data centre or region. Backend servers that fail many calls cost what
a failed call costs, so the others get the calls while they have room. When all
are full, a call that was refused once is refused at once: it does not cross
regions to be refused again.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import enum
from typing import TypeVar

_T = TypeVar("_T")


@enum.unique
class Distance(enum.IntEnum):
    """How far a backend server is from the entry node."""

    OWN = 0
    DATA_CENTRE = 1
    REGION = 2
    FAR = 3


# Seconds by which a way is longer than none.
WAY_S = {
    Distance.OWN: 0.0,
    Distance.DATA_CENTRE: 0.002,
    Distance.REGION: 0.005,
    Distance.FAR: 0.090,
}
# Seconds of waiting that a megabyte on a way is worth: its price at the sites
# against the worth of a call and its target latency.
WAY_S_PER_MB = {
    Distance.OWN: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 2.0,
    Distance.FAR: 8.0,
}
_BYTES_PER_MB = 1e6
# Seconds that a failed call costs its caller: about its target latency, and
# another try.
FAILURE_S = 1.0
# Share of failures that tells nothing of a backend server: in overload up to
# half of its runs fail, for calls of theirs that come late.
USUAL_FAILURES = 0.5
# Equally far backend servers that a call is compared on.
SAMPLE_SIZE = 2
# Part of a call's time by which a full backend server looks slower: calls
# spread before the slots are full.
CROWDING = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server as the entry node knows it.

    Attributes:
        node_id: Node beside it.
        distance: How far it is.
        slots: Calls that it runs at once.
        occupied: Calls that it is believed to run or to hold in its queue.
        service_s: Seconds that a call takes there.
        failing: Share of its recent calls that failed.
    """

    node_id: str
    distance: Distance
    slots: int
    occupied: float
    service_s: float
    failing: float = 0.0


def sample(
    group: Sequence[_T],
    is_open: Callable[[_T], bool],
    draw: Callable[[], float],
) -> Iterator[_T]:
    """Yield a few open members of a group that are equally far, by chance.

    Entry nodes that all took the best of many would meet there, as each of
    them knows the load of the others' calls late or not at all.

    Args:
        group: The members.
        is_open: Tells whether a member may be asked.
        draw: Returns a random number from 0 to 1.
    """
    left = list(group)
    found = 0
    while left and found < SAMPLE_SIZE:
        index = int(draw() * len(left))
        member = left[index]
        left[index] = left[-1]
        left.pop()
        if is_open(member):
            found += 1
            yield member


def cost_s(candidate: Candidate, body_bytes: int) -> float:
    """Return the seconds until an answer is expected, and what its way costs.

    Args:
        candidate: The backend server.
        body_bytes: Bytes of the call's body.
    """
    slots = max(1, candidate.slots)
    excess = max(0.0, candidate.occupied + 1 - slots)
    crowding = CROWDING * min(1.0, candidate.occupied / slots)
    waiting = excess / slots
    megabytes = body_bytes / _BYTES_PER_MB
    way_s = WAY_S[candidate.distance]
    way_s += WAY_S_PER_MB[candidate.distance] * megabytes
    way_s += FAILURE_S * max(0.0, candidate.failing - USUAL_FAILURES)
    return way_s + candidate.service_s * (1.0 + crowding + waiting)


def choose(
    candidates: Sequence[Candidate], body_bytes: int = 0
) -> Candidate | None:
    """Return the candidate with the smallest cost, or None."""
    return min(
        candidates, key=lambda each: cost_s(each, body_bytes), default=None
    )


def choose_after_refusal(
    candidates: Sequence[Candidate], body_bytes: int = 0
) -> Candidate | None:
    """Return the candidate for a call that another one was too full for.

    The way to another region is worth its time only for a free slot.

    Args:
        candidates: Backend servers that were not asked yet.
        body_bytes: Bytes of the call's body.
    """
    worth_asking = [
        each
        for each in candidates
        if each.distance is not Distance.FAR or has_free_slot(each)
    ]
    return choose(worth_asking, body_bytes)


def has_free_slot(candidate: Candidate) -> bool:
    """Return True if a call is believed to start there at once."""
    return candidate.occupied + 1 <= candidate.slots
