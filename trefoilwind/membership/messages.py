"""Messages between membership controllers."""

import dataclasses

from trefoilwind import codec
from trefoilwind.model import members


@dataclasses.dataclass(frozen=True)
class LeasedMember:
    """A member with the remaining time of its lease.

    Attributes:
        member: The member.
        remaining_s: Seconds until the lease ends, counted from receipt.
        renewal: Counter of the lease's renewals within the incarnation.
    """

    member: members.Member
    remaining_s: float
    renewal: int = 0


@codec.message("members")
@dataclasses.dataclass(frozen=True)
class MemberUpdate:
    """Members that the receiver may not have yet.

    Attributes:
        leased_members: Members with their leases.
        is_repair: True if the message answers a digest or a request, or is
            the first on a new link.
    """

    leased_members: tuple[LeasedMember, ...]
    is_repair: bool = False


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Renewal of the lease of a member that the receiver has already.

    Attributes:
        node_id: Id of the node.
        incarnation: Incarnation of the member.
        sequence: Sequence of the member.
        renewal: Counter of the lease's renewals within the incarnation.
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
    """Renewals collected over a short time.

    Attributes:
        renewals: At most one renewal per node.
    """

    renewals: tuple[Renewal, ...]


@codec.message("suspicion")
@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Report that a node may be dead.

    A peer sends it after losing its control link with the node, or in answer
    to a renewal whose lease has ended.

    Attributes:
        node_id: The suspected node.
        incarnation: Last incarnation known to the sender.
        renewal: Last renewal known to the sender; a later one refutes the
            suspicion.
    """

    node_id: str
    incarnation: int
    renewal: int


@codec.message("members-wanted")
@dataclasses.dataclass(frozen=True)
class MemberRequest:
    """Requests the members of some nodes.

    Attributes:
        node_ids: Ids of the nodes.
    """

    node_ids: tuple[str, ...]


@codec.message("members-digest")
@dataclasses.dataclass(frozen=True)
class MemberDigest:
    """Hash of all members, without their renewals.

    Attributes:
        value: The hash.
    """

    value: int


@codec.message("members-buckets")
@dataclasses.dataclass(frozen=True)
class BucketDigest:
    """Hashes of the members by bucket of node ids.

    Attributes:
        values: One hash per bucket.
        wants_answer: True if the receiver should answer with its own hashes.
    """

    values: tuple[int, ...]
    wants_answer: bool
