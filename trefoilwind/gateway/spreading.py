"""Spreading of control messages over the streams of a node.

A message that concerns all nodes goes to each node of the own data centre and
to a few nodes of each other one, which pass it on in theirs. So each node sends
and receives a number of copies that depends on the size of its data centre,
not on that of the mesh. Messages are idempotent; a lost one is repaired by the
comparison of digests (`state_repair`) or by the next read of the store.
"""

from collections.abc import Iterable
from typing import Any

from trefoilwind.distribution import topology
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import streams

# Nodes of another data centre that get a message and pass it on.
RECEIVERS_PER_DATA_CENTRE = 2


class Spreading:
    """Sends control messages to the own and to the other data centres."""

    def __init__(
        self,
        node_id: str,
        data_centre: str,
        board: board_lib.MeshBoard,
        peers: peers_lib.Peers,
    ):
        self._node_id = node_id
        self._data_centre = data_centre
        self._board = board
        self._peers = peers

    @property
    def is_relay(self) -> bool:
        """True if this node is the first relay of its data centre."""
        return self.local_relays(1) == (self._node_id,)

    def local_relays(self, count: int) -> tuple[str, ...]:
        """Return the relays of the own data centre, highest rank first.

        Args:
            count: Largest number of nodes to return. Nodes that are leaving,
                or to which no stream is open, are passed over.
        """
        by_node = self._board.members.value.by_node
        nodes = [
            stream.peer
            for stream in self._local_streams()
            if not stream.is_unresponsive
            and not (stream.peer in by_node and by_node[stream.peer].leaving)
        ]
        if not self._board.is_draining.value or not nodes:
            nodes.append(self._node_id)
        return topology.ranked_relays(self._data_centre, nodes)[:count]

    def send_all(self, message: Any) -> None:
        """Send a message that concerns all nodes."""
        self.send_local(message)
        self.send_remote(message, RECEIVERS_PER_DATA_CENTRE)

    def send_local(self, message: Any) -> None:
        """Send a message to the nodes of the own data centre."""
        self._send(self._local_streams(), message)

    def send_remote(self, message: Any, count: int = 1) -> None:
        """Send a message to nodes of each other data centre.

        Args:
            message: The message.
            count: Largest number of nodes of a data centre that get it; the
                relays come first.
        """
        by_data_centre: dict[str, list[streams.Stream]] = {}
        for stream in self._peers.connected:
            data_centre = stream.peer_data_centre
            if data_centre != self._data_centre:
                by_data_centre.setdefault(data_centre, []).append(stream)
        for data_centre, group in by_data_centre.items():
            self._send(_first_ranked(group, data_centre, count), message)

    def send_to(self, node_ids: Iterable[str], message: Any) -> None:
        """Send a message to some nodes, as far as they are connected."""
        found = (self._peers.dialed(node_id) for node_id in node_ids)
        self._send([stream for stream in found if stream], message)

    def pass_on(self, stream: streams.Stream, message: Any) -> None:
        """Pass a message of another data centre on in the own one."""
        if self.is_remote(stream):
            self.send_local(message)

    def is_remote(self, stream: streams.Stream) -> bool:
        """Return True if the peer of a stream is in another data centre."""
        return stream.peer_data_centre != self._data_centre

    def _local_streams(self) -> list[streams.Stream]:
        return [
            stream
            for stream in self._peers.connected
            if not self.is_remote(stream)
        ]

    def _send(self, group: Iterable[streams.Stream], message: Any) -> None:
        frame = peers_lib.control_frame(message)
        for stream in group:
            stream.send(frame)


def _first_ranked(
    group: list[streams.Stream], data_centre: str, count: int
) -> list[streams.Stream]:
    """Return the streams to the first nodes in a data centre's ranking."""
    ranked = topology.ranked_relays(
        data_centre, [stream.peer for stream in group]
    )
    return sorted(group, key=lambda stream: ranked.index(stream.peer))[:count]
