"""Messages of the membership."""

import dataclasses

from trefoilwind import codec
from trefoilwind.model import members


@dataclasses.dataclass(frozen=True)
class LeasedMember:
    """A member's entry with the rest of its lease.

    Attributes:
        member: The entry.
        remaining_s: Seconds until the lease ends, counted from receipt.
        renewal: Counter of the lease's renewals within the incarnation.
    """

    member: members.Member
    remaining_s: float
    renewal: int = 0


@codec.message("members")
@dataclasses.dataclass(frozen=True)
class MemberUpdate:
    """Entries that the receiver may not have.

    Attributes:
        entries: Entries with their leases.
        is_repair: True if they answer a digest or a request.
    """

    entries: tuple[LeasedMember, ...]
    is_repair: bool = False


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Renewal of the lease of an entry that is known already.

    Attributes:
        node_id: Id of the node.
        incarnation: Incarnation of the entry.
        sequence: Sequence of the entry.
        renewal: Counter of renewals.
        remaining_ms: Milliseconds until the lease ends.
    """

    node_id: str
    incarnation: int
    sequence: int
    renewal: int
    remaining_ms: int


@codec.message("renewals")
@dataclasses.dataclass(frozen=True)
class RenewalUpdate:
    """Renewals gathered over a short time.

    Attributes:
        entries: At most one renewal per node.
    """

    entries: tuple[Renewal, ...]


@codec.message("suspicion")
@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A node cannot be reached by a peer that was linked with it.

    Attributes:
        node_id: The suspected node.
        incarnation: Its incarnation, as known.
        renewal: Its last renewal, as known; a later one refutes.
    """

    node_id: str
    incarnation: int
    renewal: int


@codec.message("members-wanted")
@dataclasses.dataclass(frozen=True)
class MemberRequest:
    """Asks for the entries of some nodes.

    Attributes:
        node_ids: Ids of the nodes.
    """

    node_ids: tuple[str, ...]


@codec.message("members-digest")
@dataclasses.dataclass(frozen=True)
class MemberDigest:
    """Hash over all entries, without their renewals.

    Attributes:
        value: The hash.
    """

    value: int


@codec.message("members-buckets")
@dataclasses.dataclass(frozen=True)
class BucketDigest:
    """Hashes of the entries by bucket of node ids.

    Attributes:
        values: One hash per bucket.
        wants_answer: True if the receiver should answer with its own.
    """

    values: tuple[int, ...]
    wants_answer: bool
