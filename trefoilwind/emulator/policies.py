"""Policies that an emulation compares: the node's own, and a plain one."""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from trefoilwind.gateway import calls
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.routing import call_queue

# Calls that wait at most for each slot, in the plain policy.
FIFO_WAITING_PER_SLOT = 1.0
# Seconds after which a refused caller returns, in the plain policy.
FIFO_RETRY_S = 0.2


class Line(Protocol):
    """Slots of a backend server and the calls that wait for one."""

    @property
    def occupied(self) -> int:
        """Calls that run or wait."""

    def submit(
        self, ticket: call_queue.Ticket, now: float
    ) -> call_queue.Verdict:
        """Decide about a new call."""

    def release(
        self, ticket: call_queue.Ticket, held_s: float, now: float
    ) -> call_queue.QueueChange:
        """Free a slot."""

    def refuse_overdue(self, now: float) -> call_queue.QueueChange:
        """Drop the calls that can no longer end in time."""

    def retry_s(self) -> float:
        """Return what a refused caller is told, in seconds."""


class FifoLine:
    """First in, first out, with a fixed bound on the calls that wait."""

    def __init__(self, slots: int):
        self._slots = slots
        self._limit = int(slots * FIFO_WAITING_PER_SLOT)
        self._running = 0
        self._waiting: collections.deque[call_queue.Ticket] = (
            collections.deque()
        )

    @property
    def occupied(self) -> int:
        """Calls that run or wait."""
        return self._running + len(self._waiting)

    def submit(
        self, ticket: call_queue.Ticket, now: float
    ) -> call_queue.Verdict:
        """Take the call unless the queue is full."""
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
        """Start the call that waited longest."""
        del ticket, held_s
        self._running -= 1
        refused = []
        while self._waiting:
            found = self._waiting.popleft()
            if now < found.deadline:
                self._running += 1
                return call_queue.QueueChange((found,), tuple(refused))
            refused.append(found)
        return call_queue.QueueChange((), tuple(refused))

    def refuse_overdue(self, now: float) -> call_queue.QueueChange:
        """Drop the calls whose deadline is past."""
        late = tuple(t for t in self._waiting if now >= t.deadline)
        for ticket in late:
            self._waiting.remove(ticket)
        return call_queue.QueueChange(refused=late)

    def retry_s(self) -> float:
        """Return a fixed time in seconds."""
        return FIFO_RETRY_S


Pick = Callable[
    [picker_lib.Picker, calls.Call, tuple[str, ...], float, bool], str
]


@dataclasses.dataclass(frozen=True)
class Policy:
    """How calls wait, are refused and are placed.

    Attributes:
        name: Name in reports.
        make_line: Returns the queue of a backend server, given its slots.
        pick: Returns the node for an attempt, or the empty string.
    """

    name: str
    make_line: Callable[[int], Line]
    pick: Pick


def product() -> Policy:
    """Return what the node does."""
    return Policy("product", call_queue.CallQueue, picker_lib.Picker.pick)


def asks_on() -> Policy:
    """Return the node's policy, but refused calls cross regions always."""

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
    """Return a plain policy: any backend server, first in, first out.

    Args:
        nodes_by_service: Nodes beside the backend servers of each service.
        seed: Seed of the choice.
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

    return Policy("fifo", FifoLine, pick)


NAMES = ("product", "asks-on", "fifo")


def named(
    name: str, nodes_by_service: dict[str, tuple[str, ...]], seed: int
) -> Policy:
    """Return a policy by its name, one of `NAMES`."""
    if name == "fifo":
        return fifo(nodes_by_service, seed)
    return {"product": product, "asks-on": asks_on}[name]()
