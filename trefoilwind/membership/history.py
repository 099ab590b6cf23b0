"""Digests of the membership that this node had lately."""

import collections
import dataclasses

RECENT_S = 3.0


@dataclasses.dataclass(frozen=True)
class _Past:
    """A digest and the monotonic time until which it counts."""

    value: int
    deadline: float


@dataclasses.dataclass(frozen=True)
class Doubt:
    """A peer's digest that differs, and when to look at it again."""

    value: int
    deadline: float


class DigestHistory:
    """Tells a lasting difference from an update that is on its way."""

    def __init__(self, digest: int):
        self._current = digest
        self._past: collections.deque[_Past] = collections.deque()

    def note(self, digest: int, now: float) -> None:
        """Set the current digest; the one before counts for a while."""
        if digest == self._current:
            return
        self._past.append(_Past(self._current, now + RECENT_S))
        self._current = digest
        while self._past[0].deadline <= now:
            self._past.popleft()

    def is_recent(self, value: int, now: float) -> bool:
        """Return True if this node has that digest or had it lately."""
        if value == self._current:
            return True
        return any(p.value == value and now < p.deadline for p in self._past)
