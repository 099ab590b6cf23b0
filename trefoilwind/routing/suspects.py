"""Requests that were in flight when backend servers died."""

import dataclasses
import functools

DEATHS_TO_REFUSE = 2


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request that may crash the backend servers that run it.

    Attributes:
        fingerprint: Digest of service, method, path, key and body.
        deaths: Ids of the deaths during the request; each starts with the id
            of the node whose backend server died and a slash.
        expires_at: Monotonic time in seconds at which the entry expires.
        cleared: Ids of the deaths that a later success cleared.
    """

    fingerprint: str
    deaths: tuple[str, ...]
    expires_at: float
    cleared: tuple[str, ...] = ()

    @property
    def count(self) -> int:
        """Number of backend servers with a death that is not cleared."""
        deaths = set(self.deaths).difference(self.cleared)
        return len({death.partition("/")[0] for death in deaths})

    @functools.cached_property
    def is_refused(self) -> bool:
        """True if `count` has reached `DEATHS_TO_REFUSE`."""
        return self.count >= DEATHS_TO_REFUSE


@dataclasses.dataclass(frozen=True)
class SuspectTable:
    """All live suspects."""

    suspects: tuple[Suspect, ...] = ()

    @functools.cached_property
    def by_fingerprint(self) -> dict[str, Suspect]:
        """Suspects by fingerprint."""
        return {s.fingerprint: s for s in self.suspects}
