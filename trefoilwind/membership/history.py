"""Recent digests of this node's membership."""

import collections
import dataclasses

RECENT_DIGEST_S = 3.0


@dataclasses.dataclass(frozen=True)
class _PastDigest:
    """A digest and the monotonic time until which it counts as recent."""

    value: int
    deadline: float


@dataclasses.dataclass(frozen=True)
class DigestMismatch:
    """A peer's digest that differs, and when to compare it again."""

    value: int
    deadline: float


class DigestHistory:
    """Distinguishes a lasting difference from an update in flight."""

    def __init__(self, digest: int):
        self._current = digest
        self._past: collections.deque[_PastDigest] = collections.deque()

    def update(self, digest: int, now: float) -> None:
        """Set the current digest; the previous one stays recent for a while."""
        if digest == self._current:
            return
        self._past.append(_PastDigest(self._current, now + RECENT_DIGEST_S))
        self._current = digest
        while self._past[0].deadline <= now:
            self._past.popleft()

    def is_recent(self, value: int, now: float) -> bool:
        """Return True if this node has that digest or had it recently."""
        if value == self._current:
            return True
        return any(p.value == value and now < p.deadline for p in self._past)
