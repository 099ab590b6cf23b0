"""Table of the members; each node is the only writer of its own record."""

from collections.abc import Iterable
import dataclasses
import logging

import xxhash

from trefoilwind.gateway import board as board_lib
from trefoilwind.membership import directory
from trefoilwind.model import bounds
from trefoilwind.model import members as members_lib
from trefoilwind.model import mesh

logger = logging.getLogger(__name__)


def usable(
    members: Iterable[members_lib.Member],
) -> tuple[members_lib.Member, ...]:
    """Return the records of other writers without those with odd values."""
    found = []
    for member in members:
        problem = members_lib.check(member)
        if problem is None:
            found.append(member)
        else:
            logger.warning("members: record left out; %s", problem)
    return tuple(found)


class MemberTable:
    """Merges member records and publishes a snapshot of them."""

    def __init__(self, own: members_lib.Member, board: board_lib.MeshBoard):
        self._own = own
        self._is_node_leaving = False
        self._publish = board.members.claim("member_table")
        self._members = {own.node_id: own}
        # Precedence of the members at whose address another node answered.
        self._displaced: dict[str, tuple[int, int]] = {}
        self._digest = ""
        self._publish_snapshot()

    @property
    def own(self) -> members_lib.Member:
        """Member record of this node."""
        return self._own

    @property
    def records(self) -> tuple[members_lib.Member, ...]:
        """Newest record of each node, whether it is a current member or not."""
        return tuple(self._members.values())

    @property
    def digest(self) -> str:
        """Digest of all records; equal tables have equal digests."""
        if not self._digest:
            precedences = sorted(
                (each.node_id, *each.precedence) for each in self.records
            )
            text = repr(precedences).encode()
            self._digest = xxhash.xxh3_64_hexdigest(text)
        return self._digest

    def set_server(self, server: mesh.BackendServer | None) -> bool:
        """Set the backend server of this node; return True if it changed."""
        has_left = server.is_leaving if server else False
        changed = dataclasses.replace(
            self._own,
            service=server.service if server else "",
            version=server.version if server else "",
            slots=server.slots if server else 0,
            leaving=has_left or self._is_node_leaving,
            has_left=has_left,
            instance_id=server.instance_id if server else "",
            started_ms=server.started_ms if server else 0,
        )
        if changed == self._own:
            return False
        self._replace_own(changed)
        return True

    def mark_leaving(self) -> None:
        """Mark this node as leaving, whatever its backend server does."""
        self._is_node_leaving = True
        self._replace_own(dataclasses.replace(self._own, leaving=True))

    def merge(self, member: members_lib.Member) -> bool:
        """Merge a member record; return True if the table changed."""
        return bool(self.merge_all((member,)))

    def merge_all(
        self, members: Iterable[members_lib.Member]
    ) -> tuple[members_lib.Member, ...]:
        """Merge member records; return those that changed the table.

        A record of this node from before its start, or one with a greater
        incarnation (the wall clock was set back), is superseded by a newer
        one. The snapshot is published once for all records.
        """
        changed = tuple(each for each in members if self._merge_one(each))
        if changed:
            self._publish_snapshot()
        return changed

    def _merge_one(self, member: members_lib.Member) -> bool:
        if member.node_id == self._own.node_id:
            return self._supersede(member)
        known = self._members.get(member.node_id)
        if known is not None and known.precedence >= member.precedence:
            return False
        self._members[member.node_id] = member
        logger.info(
            "members: %s is %s %s%s",
            member.node_id,
            member.service or "without a backend server",
            member.version,
            ", leaving" if member.leaving else "",
        )
        return True

    def displace(self, node_id: str) -> None:
        """Omit a member at whose address another node answered.

        A newer record of that member is included again.
        """
        member = self._members.get(node_id)
        if member is not None:
            self._displaced[node_id] = member.precedence
            self._publish_snapshot()

    def _supersede(self, member: members_lib.Member) -> bool:
        if member == self._own or member.precedence < self._own.precedence:
            return False
        incarnation = max(self._own.incarnation, member.incarnation)
        sequence = self._own.sequence
        if incarnation < bounds.MAX_TIME_MS:
            incarnation += 1
        else:
            # A greater incarnation would be left out by all other nodes.
            sequence = max(sequence, member.sequence)
        self._replace_own(
            dataclasses.replace(
                self._own, incarnation=incarnation, sequence=sequence
            )
        )
        return True

    def _replace_own(self, changed: members_lib.Member) -> None:
        self._own = dataclasses.replace(changed, sequence=changed.sequence + 1)
        self._members[self._own.node_id] = self._own
        self._publish_snapshot()

    def _publish_snapshot(self) -> None:
        self._digest = ""
        self._publish(directory.snapshot(self._current_members()))

    def _current_members(self) -> Iterable[members_lib.Member]:
        """Return the members whose address no other node has taken over."""
        own = self._own
        latest = {own.peer_address: own}
        for member in self._members.values():
            if member.peer_address == own.peer_address:
                continue
            if self._displaced.get(member.node_id) == member.precedence:
                continue
            other = latest.get(member.peer_address)
            if other is None or other.incarnation < member.incarnation:
                latest[member.peer_address] = member
        return latest.values()
