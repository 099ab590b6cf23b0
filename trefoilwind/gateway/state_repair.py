"""Repair of state that differs between nodes: digests, then an exchange.

Changes of members and decisions on rollouts spread once over streams and may
be lost, as streams are opened and closed all the time and nodes are cut off.
The first relay of each data centre sends digests of what it knows to its data
centre and to the relays of the others. A node that knows something else, and is
not just changing, asks for all of it, merges it and returns what is newer here.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any

from trefoilwind.gateway import control_messages
from trefoilwind.gateway import member_table
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import spreading as spreading_lib
from trefoilwind.gateway import streams
from trefoilwind.model import members as members_lib

# Seconds between two digests of a relay.
DIGEST_INTERVAL_S = 1.0
# Seconds without a change of the own state after which a difference counts.
SETTLE_S = 0.5
# Differing digests of one peer in a row after which it counts in any case.
MAX_DIFFERENCES = 5
# Seconds until a node asks the same peer again, as an exchange may leave a
# difference that only the store can settle.
EXCHANGE_INTERVAL_S = 3.0

Message = (
    control_messages.StateDigest
    | control_messages.StateWanted
    | control_messages.MembersShared
)


@dataclasses.dataclass(frozen=True)
class RolloutState:
    """Functions that return what a node knows about rollouts.

    Attributes:
        digest: Returns the digest of stable versions and decisions.
        records: Returns the messages that carry them.
    """

    digest: Callable[[], str]
    records: Callable[[], Sequence[Any]]


class StateRepair:
    """Compares members and rollouts with those of other nodes."""

    def __init__(
        self,
        table: member_table.MemberTable,
        rollouts: RolloutState,
        spreading: spreading_lib.Spreading,
        is_relay: Callable[[], bool],
        merge: Callable[[Sequence[members_lib.Member]], Any],
        clock: Callable[[], float],
    ):
        """Initialize the repair.

        Args:
            table: Member table of the node.
            rollouts: What the node knows about rollouts.
            spreading: Sends messages to other nodes.
            is_relay: Returns True if this node sends digests.
            merge: Merges member records.
            clock: Returns the monotonic time in seconds.
        """
        self._table = table
        self._rollouts = rollouts
        self._spreading = spreading
        self._is_relay = is_relay
        self._merge = merge
        self._clock = clock
        self._next_digest_at = clock()
        self._digest = control_messages.StateDigest("", "")
        self._changed_at = clock()
        # Differing digests in a row, and end of the time without a further
        # exchange, by peer.
        self._differences: dict[str, int] = {}
        self._quiet_until: dict[str, float] = {}

    def tick(self) -> None:
        """Send the digest if it is due."""
        now = self._clock()
        self._note_changes(now)
        if now < self._next_digest_at or not self._is_relay():
            return
        self._next_digest_at = now + DIGEST_INTERVAL_S
        self._spreading.send_local(self._digest)
        self._spreading.send_remote(self._digest)

    def handle_message(self, stream: streams.Stream, message: Message) -> None:
        """Handle a message of another node."""
        if isinstance(message, control_messages.StateDigest):
            self._handle_digest(stream, message)
        elif isinstance(message, control_messages.StateWanted):
            self._send_state(stream, self._table.records, is_complete=True)
        else:
            self._handle_records(stream, message)

    def _handle_digest(
        self, stream: streams.Stream, digest: control_messages.StateDigest
    ) -> None:
        now = self._clock()
        self._note_changes(now)
        if digest == self._digest:
            self._differences.pop(stream.peer, None)
            return
        count = self._differences.get(stream.peer, 0) + 1
        self._differences[stream.peer] = count
        is_settled = now - self._changed_at >= SETTLE_S
        is_lasting = (count > 1 and is_settled) or count > MAX_DIFFERENCES
        if not is_lasting or now < self._quiet_until.get(stream.peer, 0.0):
            return
        self._differences.pop(stream.peer)
        self._quiet_until[stream.peer] = now + EXCHANGE_INTERVAL_S
        wanted = control_messages.StateWanted()
        stream.send(peers_lib.control_frame(wanted))

    def _handle_records(
        self,
        stream: streams.Stream,
        message: control_messages.MembersShared,
    ) -> None:
        received = member_table.usable(message.members)
        known = {each.node_id: each.precedence for each in received}
        newer = [
            member
            for member in self._table.records
            if member.precedence > known.get(member.node_id, (-1, -1))
        ]
        self._merge(received)
        if message.is_complete:
            self._send_state(stream, newer, is_complete=False)

    def _send_state(
        self,
        stream: streams.Stream,
        members: Iterable[members_lib.Member],
        is_complete: bool,
    ) -> None:
        shared = control_messages.MembersShared(tuple(members), is_complete)
        for message in (*self._rollouts.records(), shared):
            stream.send(peers_lib.control_frame(message))

    def _note_changes(self, now: float) -> None:
        digest = control_messages.StateDigest(
            self._table.digest, self._rollouts.digest()
        )
        if digest != self._digest:
            self._digest = digest
            self._changed_at = now
