"""Virtual clock that runs scheduled actions in order of time."""

from collections.abc import Callable
import heapq
import itertools


class EventQueue:
    """Virtual clock and the actions that are scheduled on it."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds.

        Actions with the same time run in the order in which they were
        scheduled.
        """
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions, including those that they schedule in turn."""
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
