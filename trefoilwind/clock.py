"""Clocks, passed to every component that needs the time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time. All values are in seconds."""

    def monotonic(self) -> float:
        """Return a time that never decreases; its origin is arbitrary."""

    def wall(self) -> float:
        """Return the time since the Unix epoch; it may jump either way."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's wall time in seconds."""
        return time.time()


class VirtualClock:
    """Clock that advances only by calls of `advance`.

    Wall time and monotonic time differ by a constant offset.
    """

    def __init__(self, start: float = 1_000_000.0, wall_offset: float = 0.0):
        self._now = start
        self._wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the virtual time plus this clock's wall offset."""
        return self._now + self._wall_offset

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`, which must not be negative."""
        if seconds < 0:
            raise ValueError("a virtual clock cannot be set back")
        self._now += seconds
