"""Blackboard: immutable snapshots that controllers read and write.

Each section has exactly one writer. Publishing is a single assignment, so a
reader on any thread sees either the complete old snapshot or the complete new
one.
"""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from trefoilwind.membership import directory
from trefoilwind.model import lifecycle
from trefoilwind.model import state as state_lib
from trefoilwind.rollout import shares
from trefoilwind.routing import divisions
from trefoilwind.routing import suspects
from trefoilwind.routing import table

_T = TypeVar("_T")


class Section(Generic[_T]):
    """One section with its current snapshot and its subscribers."""

    def __init__(self, name: str, initial: _T):
        self._name = name
        self._value = initial
        self._writer = ""
        self._subscribers: list[Callable[[_T], None]] = []

    @property
    def value(self) -> _T:
        """Current snapshot."""
        return self._value

    def claim(self, writer: str) -> Callable[[_T], None]:
        """Register the section's writer and return its publishing function.

        Args:
            writer: Name of the only controller that writes this section.

        Raises:
            RuntimeError: The section already has a writer.
        """
        if self._writer:
            raise RuntimeError(
                f"section {self._name} already has the writer {self._writer}"
            )
        self._writer = writer
        return self._publish

    def subscribe(self, subscriber: Callable[[_T], None]) -> None:
        """Call `subscriber` on the writer's thread after each publication."""
        self._subscribers.append(subscriber)

    def _publish(self, value: _T) -> None:
        self._value = value
        for subscriber in self._subscribers:
            subscriber(value)


class Blackboard:
    """All sections of one node."""

    def __init__(self) -> None:
        self.state = Section("state", state_lib.State())
        self.members = Section("members", directory.Snapshot())
        self.routes = Section("routes", table.RouteTable())
        self.shares = Section("shares", shares.ShareTable())
        self.divisions = Section("divisions", divisions.DivisionTable())
        self.suspects = Section("suspects", suspects.SuspectTable())
        self.lifecycle = Section("lifecycle", lifecycle.Lifecycle())
