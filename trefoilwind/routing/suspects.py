"""Requests that were in flight when backend servers died."""

import dataclasses
import functools

DEATHS_TO_REFUSE = 2


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request that may crash the backend servers that run it.

    Attributes:
        fingerprint: Digest of method, path, body and idempotency key.
        deaths: Ids of the nodes whose backend server died under it.
        expires_at: Monotonic time in seconds at which the entry ends.
    """

    fingerprint: str
    deaths: tuple[str, ...]
    expires_at: float

    @property
    def is_refused(self) -> bool:
        """True once enough backend servers died."""
        return len(self.deaths) >= DEATHS_TO_REFUSE


@dataclasses.dataclass(frozen=True)
class SuspectTable:
    """All live suspects."""

    suspects: tuple[Suspect, ...] = ()

    @functools.cached_property
    def by_fingerprint(self) -> dict[str, Suspect]:
        """Suspects by fingerprint."""
        return {s.fingerprint: s for s in self.suspects}
