"""Messages about requests that may crash backend servers."""

import dataclasses

from trefoilwind import codec


@dataclasses.dataclass(frozen=True, slots=True)
class DeathReport:
    """Report that the local backend server died while it ran a request.

    Attributes:
        fingerprint: Digest of the request.
        death: Unique id of the death; starts with the node's id and a slash.
    """

    fingerprint: str
    death: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuccessReport:
    """Report that a suspect was answered without a failure."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedSuspect:
    """Entry of a suspect with the remaining time of its lease.

    Attributes:
        fingerprint: Digest of the request.
        deaths: Ids of the deaths during the request.
        cleared: Ids of the deaths that a later success cleared.
        remaining_s: Seconds until the lease ends, from receipt.
    """

    fingerprint: str
    deaths: tuple[str, ...]
    cleared: tuple[str, ...]
    remaining_s: float


@codec.message("suspects")
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectUpdate:
    """Entries that the receiver may lack."""

    entries: tuple[LeasedSuspect, ...]
