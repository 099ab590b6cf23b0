"""Repair of member tables that differ: comparison of digests, then exchange.

Changes of members spread once over streams and may be lost, as streams are
opened and closed all the time and nodes are cut off. The first relay of each
data centre sends the digest of its table to its data centre and to the relays
of the others. A node whose own table differs, and is not just changing, asks
for the records, merges them and returns those that are newer here.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from trefoilwind.gateway import control_messages
from trefoilwind.gateway import member_table
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import spreading as spreading_lib
from trefoilwind.gateway import streams
from trefoilwind.model import members as members_lib

# Seconds between two digests of a relay.
DIGEST_INTERVAL_S = 1.0
# Seconds without a change of the own table after which a difference counts.
SETTLE_S = 0.5
# Differing digests of one peer in a row after which it counts in any case.
MAX_DIFFERENCES = 5

Message = (
    control_messages.MembersDigest
    | control_messages.MembersWanted
    | control_messages.MembersShared
)


class MemberRepair:
    """Compares the member table with those of other nodes."""

    def __init__(
        self,
        table: member_table.MemberTable,
        spreading: spreading_lib.Spreading,
        is_relay: Callable[[], bool],
        merge: Callable[[Sequence[members_lib.Member]], None],
        clock: Callable[[], float],
    ):
        """Initialize the repair.

        Args:
            table: Member table of the node.
            spreading: Sends messages to other nodes.
            is_relay: Returns True if this node sends digests.
            merge: Merges member records.
            clock: Returns the monotonic time in seconds.
        """
        self._table = table
        self._spreading = spreading
        self._is_relay = is_relay
        self._merge = merge
        self._clock = clock
        self._next_digest_at = clock()
        self._digest = ""
        self._changed_at = clock()
        # Differing digests in a row, by peer.
        self._differences: dict[str, int] = {}

    def tick(self) -> None:
        """Send the digest if it is due."""
        now = self._clock()
        self._note_changes(now)
        if now < self._next_digest_at or not self._is_relay():
            return
        self._next_digest_at = now + DIGEST_INTERVAL_S
        message = control_messages.MembersDigest(self._digest)
        self._spreading.send_local(message)
        self._spreading.send_remote(message)

    def handle_message(self, stream: streams.Stream, message: Message) -> None:
        """Handle a message of another node."""
        if isinstance(message, control_messages.MembersDigest):
            self._handle_digest(stream, message.digest)
        elif isinstance(message, control_messages.MembersWanted):
            _send_records(stream, self._table.records, is_complete=True)
        else:
            self._handle_records(stream, message)

    def _handle_digest(self, stream: streams.Stream, digest: str) -> None:
        now = self._clock()
        self._note_changes(now)
        if digest == self._digest:
            self._differences.pop(stream.peer, None)
            return
        count = self._differences.get(stream.peer, 0) + 1
        is_settled = now - self._changed_at >= SETTLE_S
        if (count > 1 and is_settled) or count > MAX_DIFFERENCES:
            self._differences.pop(stream.peer, None)
            wanted = control_messages.MembersWanted()
            stream.send(peers_lib.control_frame(wanted))
        else:
            self._differences[stream.peer] = count

    def _handle_records(
        self,
        stream: streams.Stream,
        message: control_messages.MembersShared,
    ) -> None:
        known = {each.node_id: each.precedence for each in message.members}
        newer = [
            member
            for member in self._table.records
            if member.precedence > known.get(member.node_id, (-1, -1))
        ]
        self._merge(message.members)
        if newer and message.is_complete:
            _send_records(stream, newer, is_complete=False)

    def _note_changes(self, now: float) -> None:
        digest = self._table.digest
        if digest != self._digest:
            self._digest = digest
            self._changed_at = now


def _send_records(
    stream: streams.Stream,
    members: Iterable[members_lib.Member],
    is_complete: bool,
) -> None:
    message = control_messages.MembersShared(tuple(members), is_complete)
    stream.send(peers_lib.control_frame(message))
