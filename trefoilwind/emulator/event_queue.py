"""Virtual clock: events in the order of their times."""

from collections.abc import Callable
import heapq
import itertools


class EventQueue:
    """Runs actions at virtual times in seconds."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay; equal times keep their order."""
        at = self._now + max(0.0, delay_s)
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def run(self) -> None:
        """Run until no event is left."""
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
