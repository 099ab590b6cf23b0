"""The operators' records on a node: from the store, or from other nodes."""

import asyncio
from collections.abc import Callable
import random

from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import follower as follower_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import record_relay
from trefoilwind.gateway import record_sharing
from trefoilwind.gateway import streams
from trefoilwind.log import keyed

# Seconds between two reads of the operators' topic: a third of the time until
# a configuration must be in force.
GATHER_S = 0.8

RecordMessage = (
    control_messages.RecordsWanted
    | control_messages.RecordsRead
    | control_messages.SharedRecords
)


class OperatorRecords:
    """Follows the operators' topic and shares its records with other nodes."""

    def __init__(
        self,
        settings: node_settings.MeshSettings,
        store: keyed.KeyedStore,
        take: Callable[[keyed.KeyedRecord], None],
        board: board_lib.MeshBoard,
        peers: peers_lib.Peers,
        is_connected: Callable[[str], bool],
        rng: random.Random,
    ):
        """Connect the parts.

        Args:
            settings: What the node was started with.
            store: The store.
            take: Called with each record that is newer than the one before.
            board: Snapshots of the node's parts.
            peers: Streams to other nodes.
            is_connected: Tells whether messages can be sent to a node.
            rng: Source of random numbers.
        """
        self._data_centre = settings.data_centre
        self._board = board
        self._peers = peers
        self._is_connected = is_connected
        self._random = rng
        self._loop = asyncio.get_running_loop()
        self._sharing = record_sharing.RecordSharing(take)
        self._follower = follower_lib.Follower(
            store,
            settings.operator_topic,
            self._sharing.add,
            self._plan,
            rng,
            self._tell_read,
        )
        self._relay = record_relay.RecordRelay(
            settings.node_id, settings.data_centre, GATHER_S
        )
        self._told_offset = 0

    @property
    def is_lost(self) -> bool:
        """True while the store does not answer."""
        return self._follower.is_lost

    async def run(self) -> None:
        """Read until cancelled."""
        await self._follower.run()

    def tick(self) -> None:
        """Ask a node for records while the store does not answer."""
        wanted = self._sharing.wanted(self.is_lost, self._loop.time())
        connected = self._peers.connected
        if wanted is not None and connected:
            stream = self._random.choice(connected)
            stream.send(peers_lib.control_frame(wanted))

    def take_message(
        self, stream: streams.Stream, message: RecordMessage
    ) -> None:
        """Take a message of another node about records."""
        if isinstance(message, control_messages.RecordsWanted):
            self._share(stream, message)
        elif isinstance(message, control_messages.RecordsRead):
            self._take_read(stream, message)
        else:
            self._sharing.take_shared(message)
            self._follower.skip_to(message.next_offset)

    def _plan(self) -> follower_lib.ReadPlan:
        return self._relay.plan(
            self._nearby(), self._follower.has_read, self._loop.time()
        )

    def _nearby(self) -> tuple[str, ...]:
        """Return the other nodes of the data centre that can be reached."""
        nodes = self._board.members.value.in_data_centre(self._data_centre)
        return tuple(node for node in nodes if self._is_connected(node))

    def _tell_read(self, next_offset: int) -> None:
        """Tell the data centre; a node whose read hangs asks for its records.

        Who reads for the others tells of each read, the others of news.
        """
        nearby = self._nearby()
        has_news = next_offset > self._told_offset
        if not has_news and not self._relay.is_reader(nearby):
            return
        self._told_offset = next_offset
        frame = peers_lib.control_frame(
            control_messages.RecordsRead(next_offset)
        )
        for node_id in nearby:
            self._peers.dialed(node_id).send(frame)

    def _take_read(
        self, stream: streams.Stream, message: control_messages.RecordsRead
    ) -> None:
        offset = self._follower.offset
        is_behind = offset is not None and offset < message.next_offset
        if self._relay.heard(is_behind, self._loop.time()):
            wanted = control_messages.RecordsWanted(self._sharing.last_offset)
            stream.send(peers_lib.control_frame(wanted))

    def _share(
        self, stream: streams.Stream, wanted: control_messages.RecordsWanted
    ) -> None:
        shared = self._sharing.answer(wanted, self._follower.offset)
        if shared is not None:
            stream.send(peers_lib.control_frame(shared))
