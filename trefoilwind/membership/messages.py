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
    """

    member: members.Member
    remaining_s: float


@codec.message("members")
@dataclasses.dataclass(frozen=True)
class MemberUpdate:
    """Entries that the receiver may not have.

    Attributes:
        entries: Entries with their leases.
    """

    entries: tuple[LeasedMember, ...]
