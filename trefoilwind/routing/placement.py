"""Choice of the backend server for one attempt; pure functions.

Handles load that concentrates in some data centres while others have free
slots. A call stays local until the wait there costs more than the path to
another data centre or region. A backend server that fails many calls is charged
the cost of a failed call, so that the others are preferred while they have free
slots. When all are full, a call that was refused once is refused immediately
instead of crossing regions to be refused again.
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
    """Network distance of a backend server from the entry node.

    OWN is the entry node's own backend server; the other members name the
    smallest area that contains both, or OTHER_REGION if there is none.
    """

    OWN = 0
    DATA_CENTRE = 1
    REGION = 2
    OTHER_REGION = 3


# Latency in seconds that the network path adds.
PATH_LATENCY_S = {
    Distance.OWN: 0.0,
    Distance.DATA_CENTRE: 0.002,
    Distance.REGION: 0.005,
    Distance.OTHER_REGION: 0.090,
}
# Cost of sending one megabyte over the path, as seconds of waiting: the price
# of traffic between data centres, set against the value of a call and its
# target latency.
TRANSFER_COST_S_PER_MB = {
    Distance.OWN: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 2.0,
    Distance.OTHER_REGION: 8.0,
}
_BYTES_PER_MB = 1e6
# Cost of a failed call to its caller in seconds: about the target latency, plus
# a retry.
FAILURE_COST_S = 1.0
# Share of failures that does not indicate a faulty backend server: in overload
# up to half of its runs fail, because calls that they make in turn are late.
TOLERATED_FAILURE_SHARE = 0.5
# The same while a sound server that is no further away has a free slot. Then
# failures are not due to overload, and avoiding the server crosses no further.
TOLERATED_FAILURE_SHARE_WITH_ROOM = 0.1
# Number of equally distant backend servers that are compared for a call.
SAMPLE_SIZE = 2
# Share of the service time that is added to the cost of a fully occupied
# backend server, so that calls spread before the slots are full.
OCCUPANCY_COST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Entry node's view of a backend server.

    Attributes:
        node_id: Node that runs beside it.
        distance: Distance from the entry node.
        slots: Number of calls that it runs concurrently.
        occupied: Estimated number of calls that it runs or queues.
        service_s: Estimated service time of this call in seconds.
        failure_share: Share of its recent calls that failed.
        mean_s: Estimated mean service time of the calls ahead in seconds; 0
            if it is the same.
        extra_path_s: Seconds by which its path is longer than its distance
            tells.
    """

    node_id: str
    distance: Distance
    slots: int
    occupied: float
    service_s: float
    failure_share: float = 0.0
    mean_s: float = 0.0
    extra_path_s: float = 0.0


def sample(
    group: Sequence[_T],
    is_eligible: Callable[[_T], bool],
    draw: Callable[[], float],
) -> Iterator[_T]:
    """Yield `SAMPLE_SIZE` random eligible members of a group, or fewer.

    If every entry node chose the best of many members, all would choose the
    same one, as each of them sees the load of the others' calls late or not at
    all.

    Args:
        group: Equally distant members.
        is_eligible: Returns True if a member may be chosen.
        draw: Returns a random number from 0 to 1.
    """
    remaining = list(group)
    found = 0
    while remaining and found < SAMPLE_SIZE:
        index = int(draw() * len(remaining))
        member = remaining[index]
        remaining[index] = remaining[-1]
        remaining.pop()
        if is_eligible(member):
            found += 1
            yield member


def cost_s(candidate: Candidate, transfer_bytes: int) -> float:
    """Return the cost in seconds: expected time to the answer, path, failures.

    Args:
        candidate: Backend server to rate.
        transfer_bytes: Size of the call's body and expected answer in bytes.
    """
    slots = max(1, candidate.slots)
    occupancy_factor = OCCUPANCY_COST_SHARE * min(
        1.0, candidate.occupied / slots
    )
    megabytes = transfer_bytes / _BYTES_PER_MB
    fixed_cost_s = PATH_LATENCY_S[candidate.distance]
    fixed_cost_s += candidate.extra_path_s
    fixed_cost_s += TRANSFER_COST_S_PER_MB[candidate.distance] * megabytes
    fixed_cost_s += FAILURE_COST_S * max(
        0.0, candidate.failure_share - TOLERATED_FAILURE_SHARE
    )
    run_s = candidate.service_s * (1.0 + occupancy_factor)
    return fixed_cost_s + run_s + wait_s(candidate)


def wait_s(candidate: Candidate) -> float:
    """Return the expected wait of a call for a slot there in seconds."""
    slots = max(1, candidate.slots)
    excess = max(0.0, candidate.occupied + 1 - slots)
    mean_s = candidate.mean_s or candidate.service_s
    return mean_s * (excess / slots)


def choose(
    candidates: Sequence[Candidate], transfer_bytes: int = 0
) -> Candidate | None:
    """Return the candidate with the lowest cost, or None."""
    cost = comparison_cost_s(candidates, transfer_bytes)
    return min(candidates, key=cost, default=None)


def comparison_cost_s(
    candidates: Sequence[Candidate], transfer_bytes: int
) -> Callable[[Candidate], float]:
    """Return the function by whose result in seconds they are compared.

    Args:
        candidates: Backend servers to compare.
        transfer_bytes: Size of the call's body and expected answer in bytes.
    """
    nearest_room = min(
        (each.distance for each in candidates if _is_sound_and_free(each)),
        default=None,
    )

    def cost(each: Candidate) -> float:
        total_s = cost_s(each, transfer_bytes)
        if nearest_room is not None and nearest_room <= each.distance:
            tolerated = TOLERATED_FAILURE_SHARE_WITH_ROOM
            failing = min(each.failure_share, TOLERATED_FAILURE_SHARE)
            total_s += FAILURE_COST_S * max(0.0, failing - tolerated)
        return total_s

    return cost


def choose_after_refusal(
    candidates: Sequence[Candidate], transfer_bytes: int = 0
) -> Candidate | None:
    """Return the candidate for a call that an overloaded one refused, or None.

    The path to another region is worth its latency only for a free slot.

    Args:
        candidates: Backend servers that were not tried yet.
        transfer_bytes: Size of the call's body and expected answer in bytes.
    """
    worth_trying = [
        each
        for each in candidates
        if each.distance is not Distance.OTHER_REGION or has_free_slot(each)
    ]
    return choose(worth_trying, transfer_bytes)


def _is_sound_and_free(candidate: Candidate) -> bool:
    is_sound = candidate.failure_share <= TOLERATED_FAILURE_SHARE_WITH_ROOM
    return is_sound and has_free_slot(candidate)


def has_free_slot(candidate: Candidate) -> bool:
    """Return True if a call is expected to start there without waiting."""
    return candidate.occupied + 1 <= candidate.slots
