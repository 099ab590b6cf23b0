"""Policies that an emulation compares: the node's own and simpler ones."""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from trefoilwind.gateway import calls
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.routing import call_queue
from trefoilwind.routing import queue_order

# Largest number of queued calls per slot in the FIFO policy.
FIFO_QUEUED_PER_SLOT = 1.0
# Retry time in seconds given to refused callers in the FIFO policy.
FIFO_RETRY_S = 0.2


class Queue(Protocol):
    """Interface of the queue in front of a backend server."""

    @property
    def occupied(self) -> int:
        """Number of calls that hold a slot or wait for one."""

    def submit(
        self, ticket: call_queue.Ticket, now: float
    ) -> call_queue.Verdict:
        """Start, queue or refuse a new call."""

    def release(
        self, ticket: call_queue.Ticket, held_s: float, now: float
    ) -> call_queue.QueueChange:
        """Release the slot of a call that ended."""

    def advance(self, now: float) -> call_queue.QueueChange:
        """Start waiting calls that may start by now."""

    def refuse_overdue(self, now: float) -> call_queue.QueueChange:
        """Remove and refuse the calls that can no longer end in time."""

    def retry_s(self) -> float:
        """Return the retry time given to refused callers, in seconds."""


class FifoQueue:
    """First-in, first-out queue with a fixed limit on the waiting calls."""

    def __init__(self, slots: int):
        self._slots = slots
        self._limit = int(slots * FIFO_QUEUED_PER_SLOT)
        self._running = 0
        self._waiting: collections.deque[call_queue.Ticket] = (
            collections.deque()
        )

    @property
    def occupied(self) -> int:
        """Number of calls that hold a slot or wait for one."""
        return self._running + len(self._waiting)

    def submit(
        self, ticket: call_queue.Ticket, now: float
    ) -> call_queue.Verdict:
        """Start or queue the call; refuse it if the queue is full."""
        del now
        if self._running < self._slots:
            self._running += 1
            return call_queue.Started()
        if len(self._waiting) >= self._limit:
            return call_queue.Refused(FIFO_RETRY_S)
        self._waiting.append(ticket)
        return call_queue.Queued()

    def release(
        self, ticket: call_queue.Ticket, held_s: float, now: float
    ) -> call_queue.QueueChange:
        """Release a slot and start the oldest call that is not overdue."""
        del ticket, held_s
        self._running -= 1
        refused = []
        while self._waiting:
            oldest = self._waiting.popleft()
            if now < oldest.deadline:
                self._running += 1
                return call_queue.QueueChange((oldest,), tuple(refused))
            refused.append(oldest)
        return call_queue.QueueChange((), tuple(refused))

    def advance(self, now: float) -> call_queue.QueueChange:
        """Change nothing: calls start when a slot is released."""
        del now
        return call_queue.QueueChange()

    def refuse_overdue(self, now: float) -> call_queue.QueueChange:
        """Remove and refuse the calls whose deadline has passed."""
        overdue = tuple(t for t in self._waiting if now >= t.deadline)
        for ticket in overdue:
            self._waiting.remove(ticket)
        return call_queue.QueueChange(refused=overdue)

    def retry_s(self) -> float:
        """Return a fixed retry time in seconds."""
        return FIFO_RETRY_S


# Called with the picker, the call, the nodes tried so far, the time in seconds
# and whether the last of these nodes refused the call for overload.
PickFunction = Callable[
    [picker_lib.Picker, calls.Call, tuple[str, ...], float, bool], str
]


@dataclasses.dataclass(frozen=True)
class Policy:
    """Rules by which calls are queued, refused and placed.

    Attributes:
        name: Name in reports.
        make_queue: Returns the queue of a backend server with the given
            number of slots.
        pick: Returns the node for an attempt, or "" if there is none.
    """

    name: str
    make_queue: Callable[[int], Queue]
    pick: PickFunction


def product() -> Policy:
    """Return the policy of the node."""
    return Policy("product", call_queue.CallQueue, picker_lib.Picker.pick)


def with_rules(name: str, rules: queue_order.Rules) -> Policy:
    """Return the node's policy with another discipline of the queue."""
    return Policy(
        name,
        lambda slots: call_queue.CallQueue(slots, rules),
        picker_lib.Picker.pick,
    )


def any_region() -> Policy:
    """Return the node's policy, but without the rule for refused calls.

    A refused call may then cross regions even if no slot is free there.
    """

    def pick(
        picker: picker_lib.Picker,
        call: calls.Call,
        tried: tuple[str, ...],
        now: float,
        was_refused: bool,
    ) -> str:
        del was_refused
        return picker.pick(call, tried, now)

    return Policy("asks-on", call_queue.CallQueue, pick)


def fifo(nodes_by_service: dict[str, tuple[str, ...]], seed: int) -> Policy:
    """Return a policy of random placement and first-in, first-out queues.

    Args:
        nodes_by_service: Nodes beside the backend servers of each service.
        seed: Seed of the random placement.
    """
    rng = random.Random(seed)

    def pick(
        picker: picker_lib.Picker,
        call: calls.Call,
        tried: tuple[str, ...],
        now: float,
        was_refused: bool,
    ) -> str:
        del picker, now, was_refused
        nodes = [n for n in nodes_by_service[call.service] if n not in tried]
        return rng.choice(nodes) if nodes else ""

    return Policy("fifo", FifoQueue, pick)


_RULES = {
    "rank": queue_order.RANK,
    "latest-start": queue_order.LATEST_START,
    "value": queue_order.VALUE,
    "weighted-slack": queue_order.WEIGHTED_SLACK,
    "rank-and-fit": queue_order.RANK_AND_FIT,
}
NAMES = ("product", "asks-on", "fifo", *_RULES)


def by_name(
    name: str, nodes_by_service: dict[str, tuple[str, ...]], seed: int
) -> Policy:
    """Return a policy by its name, one of `NAMES`."""
    if name == "fifo":
        return fifo(nodes_by_service, seed)
    if name in _RULES:
        return with_rules(name, _RULES[name])
    return {"product": product, "asks-on": any_region}[name]()
