"""Leases of all members, and the hashes by which nodes compare them."""

import dataclasses
import math

import xxhash

from trefoilwind.membership import messages
from trefoilwind.model import members

BUCKETS = 32
TOMBSTONE_S = 180.0
_MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class Lease:
    """A member and the monotonic time at which its lease ends."""

    member: members.Member
    renewal: int
    deadline: float


@dataclasses.dataclass(frozen=True)
class _Tombstone:
    """The last renewal of a member whose lease ended."""

    renewal_order: tuple[int, int]
    deadline: float


class LeaseTable:
    """Leases by node id, and tombstones of those that ended lately.

    Callers check a received member with `is_newer` before they `put` it, so
    that a later sequence or renewal supersedes an earlier one.
    """

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._hashes = [0] * BUCKETS
        self._member_hashes: dict[str, int] = {}
        # No lease ends before this time, so most ticks need not scan them.
        self._earliest_end = math.inf

    @property
    def leases(self) -> dict[str, Lease]:
        """Leases by node id."""
        return self._leases

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Hash of the members of each bucket."""
        return tuple(self._hashes)

    @property
    def digest(self) -> int:
        """Hash of all members, without their renewals."""
        data = repr(self._hashes).encode()
        return xxhash.xxh3_64_intdigest(data)

    def put(self, member: members.Member, renewal: int, deadline: float):
        """Set the member of a node and its lease."""
        old_hash = self._member_hashes.get(member.node_id, 0)
        new_hash = _member_hash(member)
        self._hashes[bucket_of(member.node_id)] ^= old_hash ^ new_hash
        self._member_hashes[member.node_id] = new_hash
        self._leases[member.node_id] = Lease(member, renewal, deadline)
        self._earliest_end = min(self._earliest_end, deadline)

    def renew(self, lease: Lease, renewal: int, deadline: float) -> None:
        """Extend or shorten the lease of a member that is unchanged."""
        self._leases[lease.member.node_id] = Lease(
            lease.member, renewal, deadline
        )
        self._earliest_end = min(self._earliest_end, deadline)

    def is_newer(self, member: members.Member, renewal: int) -> bool:
        """Return True if a member or its renewal is later than known."""
        known = self._leases.get(member.node_id)
        if known is not None:
            return (
                member.precedence > known.member.precedence
                or member.precedence == known.member.precedence
                and renewal > known.renewal
            )
        return not self.has_ended(member, renewal)

    def has_ended(self, member: members.Member, renewal: int) -> bool:
        """Return True if the lease of that renewal has ended here."""
        if member.node_id in self._leases:
            return False
        tombstone = self._tombstones.get(member.node_id)
        order = (member.incarnation, renewal)
        return tombstone is not None and order <= tombstone.renewal_order

    def expire(self, now: float, own_id: str) -> list[str]:
        """Remove and return the nodes whose lease has ended.

        Args:
            now: Monotonic time in seconds.
            own_id: Node whose lease is never expired.
        """
        for node_id, tombstone in list(self._tombstones.items()):
            if tombstone.deadline <= now:
                del self._tombstones[node_id]
        if now < self._earliest_end:
            return []
        others = [x for x in self._leases if x != own_id]
        expired = [x for x in others if self._leases[x].deadline <= now]
        for node_id in expired:
            self._remove(node_id, now)
        self._earliest_end = min(
            (self._leases[x].deadline for x in others if x in self._leases),
            default=math.inf,
        )
        return expired

    def in_buckets(self, buckets: set[int]) -> list[Lease]:
        """Return the leases of some buckets."""
        return [
            lease
            for node_id, lease in self._leases.items()
            if bucket_of(node_id) in buckets
        ]

    def _remove(self, node_id: str, now: float) -> None:
        lease = self._leases.pop(node_id)
        member_hash = self._member_hashes.pop(node_id)
        self._hashes[bucket_of(node_id)] ^= member_hash
        order = (lease.member.incarnation, lease.renewal)
        self._tombstones[node_id] = _Tombstone(order, now + TOMBSTONE_S)


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node."""
    return xxhash.xxh3_64_intdigest(node_id.encode()) % BUCKETS


def leased_member(lease: Lease, now: float) -> messages.LeasedMember:
    """Return a member with the remaining time of its lease, to be sent."""
    return messages.LeasedMember(
        lease.member, lease.deadline - now, lease.renewal
    )


def renewal_of(lease: Lease, now: float) -> messages.Renewal:
    """Return the renewal of a lease, to be sent."""
    member = lease.member
    return messages.Renewal(
        member.node_id,
        member.incarnation,
        member.sequence,
        lease.renewal,
        int((lease.deadline - now) * _MILLISECONDS_PER_SECOND),
    )


def _member_hash(member: members.Member) -> int:
    data = f"{member.node_id}\0{member.incarnation}\0{member.sequence}"
    return xxhash.xxh3_64_intdigest(data.encode())
