"""Sections of a blackboard, each with one writer and any number of readers."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

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
