"""Reception of operator records from the store or from other nodes."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import logging
import random

from trefoilwind import errors
from trefoilwind.customers import freshness_proof
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import follower as follower_lib
from trefoilwind.gateway import freshness as freshness_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import proof_exchange
from trefoilwind.gateway import reader_selection
from trefoilwind.gateway import record_offers
from trefoilwind.gateway import record_sharing
from trefoilwind.gateway import streams
from trefoilwind.log import keyed
from trefoilwind.logs import decisions
from trefoilwind.telemetry import counts as counts_lib

logger = logging.getLogger(__name__)

# Seconds between two reads of the operator's topic: a third of the time within
# which a configuration must be in force.
READ_INTERVAL_S = 0.8
# Seconds for which a read waits for a record while other nodes need its start
# as a proof, which is as much older when the read ends.
PROOF_WAIT_S = 0.2
# Seconds after which a read in flight is no longer relied upon for a proof.
HUNG_READ_S = 1.5
# Share of the requests for overdue records that go to the node that offered
# them; the others spread the load.
OFFERING_PEER_SHARE = 0.5
_MS_PER_S = 1000

RecordMessage = (
    control_messages.RecordsRequest
    | control_messages.DeltasRequest
    | control_messages.RecordsRead
    | control_messages.RecordsHeld
    | control_messages.RecordsUnreadable
    | control_messages.SharedRecords
    | control_messages.ProofRequest
    | control_messages.ProofAnswer
)


class OperatorRecords:
    """Follows the operator's topic and shares its records with other nodes."""

    def __init__(
        self,
        settings: node_settings.MeshSettings,
        store: keyed.KeyedStore,
        on_record: Callable[[keyed.KeyedRecord], None],
        board: board_lib.MeshBoard,
        peers: peers_lib.Peers,
        is_connected: Callable[[str], bool],
        has_discovered: Callable[[], bool],
        rng: random.Random,
        counts: counts_lib.MeshCounts,
        is_removable: Callable[[str], bool] | None = None,
        boot_time: Callable[[], float] = freshness_proof.boot_time,
    ):
        """Initialize the reception of operator records.

        Args:
            settings: Settings of the node.
            store: The store.
            on_record: Called with each record that is newer than the previous
                one of its key.
            board: Snapshots of the node's components.
            peers: Streams to other nodes.
            is_connected: Returns True if messages can be sent to a node.
            has_discovered: Returns True once the members have been read.
            rng: Source of random numbers.
            counts: Counters of the node.
            is_removable: Returns True for a key whose deletion matters; None
                if there is no such key.
            boot_time: Clock that counts the suspension of the machine.
        """
        self._node_id = settings.node_id
        self._data_centre = settings.data_centre
        self._board = board
        self._peers = peers
        self._is_connected = is_connected
        self._has_discovered = has_discovered
        self._random = rng
        self._counts = counts
        self._loop = asyncio.get_running_loop()
        self._sharing = record_sharing.RecordSharing(on_record, is_removable)
        self._follower = follower_lib.Follower(
            store,
            settings.operator_topic,
            self._add_records,
            self._plan,
            rng,
            counts,
            self._announce_read,
            self._announce_failure,
            skips_superseded=True,
            on_newest=self._sharing.note_newest,
            on_complete=self._note_complete_read,
            boot_time=boot_time,
        )
        self._topic = settings.operator_topic
        self._store = store
        self._boot_time = boot_time
        self._is_strict = settings.customers.is_revocation_strict
        # True if this node's own reads keep its proof fresh.
        self._reads_often = False
        self._proof = freshness_proof.FreshnessProof()
        self._exchange = proof_exchange.ProofExchange(
            self._proof,
            self._held,
            lambda node, message: self._send_to((node,), message),
            self._read_for_proof,
            settings.customers.revocation_s,
            boot_time,
            rng,
        )
        self._selection = reader_selection.ReaderSelection(
            settings.node_id,
            settings.data_centre,
            READ_INTERVAL_S,
            self._is_leaving,
            self._loop.time(),
        )
        self._role = ("", False)
        self._offers = record_offers.RecordOffers()
        self._freshness = freshness_lib.Freshness(self._loop.time())

    @property
    def is_unavailable(self) -> bool:
        """True while reads of the store fail."""
        return self._follower.is_unavailable

    @property
    def has_records(self) -> bool:
        """True once this node has had the newest record of each key."""
        return self._follower.has_read

    @property
    def age_s(self) -> float:
        """Seconds since this node was last known to have the newest records."""
        return self._freshness.age_s(self._loop.time())

    @property
    def read_s(self) -> float:
        """Seconds since the start of the read in flight; 0 for none."""
        return self._follower.read_s

    @property
    def proof_age_s(self) -> float:
        """Age of the proof that the records are the newest, in seconds."""
        return self._exchange.age_s

    @property
    def is_confirmed(self) -> bool:
        """True if no key in force was withdrawn longer ago than is allowed."""
        return not self._is_strict or self._exchange.is_confirmed

    async def run(self) -> None:
        """Read until cancelled."""
        try:
            await self._follower.run()
        finally:
            self._exchange.close()

    def tick(self) -> None:
        """Request records from any peer if no other way has worked."""
        now = self._loop.time()
        self._report_freshness(now)
        is_stale = self._freshness.is_stale(now)
        if is_stale:
            self._follower.abandon_wait(freshness_lib.CONFIRMATION_TIMEOUT_S)
        local_peers = self._local_peers()
        if self._needs_proof:
            self._exchange.tick(
                local_peers,
                tuple(stream.peer for stream in self._peers.connected),
            )
        is_group = bool(self._selection.parent(local_peers))
        needs_peer = (
            self.is_unavailable
            or is_stale
            or self._offers.is_overdue(self._follower.offset, now)
            or (is_group and self._selection.is_silent(now))
        )
        request = self._sharing.request(self._held_offset, needs_peer, now)
        stream = self._random_peer(local_peers) if request else None
        if stream is not None:
            # Peers that have no newer records do not answer, so no answer is
            # awaited.
            stream.send(peers_lib.control_frame(request))

    def _report_freshness(self, now: float) -> None:
        if not self._freshness.take_change(now):
            return
        if self._freshness.is_stale(now):
            kind = "records_unconfirmed"
            text = "records: not known to be the newest"
        else:
            kind = "records_confirmed"
            text = "records: known to be the newest again"
        decisions.failure(
            logger,
            kind,
            text,
            offset=self._follower.offset,
            age_ms=round(self._freshness.age_s(now) * _MS_PER_S),
            read_ms=round(self._follower.read_s * _MS_PER_S),
        )

    @property
    def _held_offset(self) -> int:
        """Largest offset up to which no record is missing; -1 for none.

        Pages of the newest records are no snapshot: a later page may hold a
        record that is newer than one that the first page lacks.
        """
        last_offset = self._sharing.last_offset
        next_offset = self._follower.offset
        if next_offset is None:
            return last_offset
        return min(last_offset, next_offset - 1)

    def _random_peer(self, local_peers: Sequence[str]) -> streams.Stream | None:
        """Return the stream to a node that may have newer records, or None."""
        if self.is_unavailable:
            connected = self._peers.connected
            return self._random.choice(connected) if connected else None
        is_offered = self._offers.is_open(self._follower.offset)
        if is_offered and self._random.random() < OFFERING_PEER_SHARE:
            stream = self._peers.dialed(self._offers.peer)
            if stream is not None:
                return stream
        if not local_peers:
            return None
        return self._peers.dialed(self._random.choice(local_peers))

    def handle_message(
        self, stream: streams.Stream, message: RecordMessage
    ) -> None:
        """Handle a message of another node about operator records."""
        if isinstance(message, record_sharing.RecordsRequest):
            self._send_records(stream, message)
        elif isinstance(message, control_messages.RecordsRead):
            self._handle_read(stream, message)
        elif isinstance(message, control_messages.RecordsHeld):
            self._request_missing(stream, message.next_offset)
        elif isinstance(message, control_messages.RecordsUnreadable):
            self._selection.handle_failure(stream.peer)
        elif isinstance(message, control_messages.ProofRequest):
            proof = self._exchange.answer(message)
            if proof is not None:
                stream.send(peers_lib.control_frame(proof))
        elif isinstance(message, control_messages.ProofAnswer):
            self._exchange.handle_answer(message)
        else:
            self._handle_records(stream, message)

    @property
    def _needs_proof(self) -> bool:
        return self._is_strict and self._board.configuration.value.has_customers

    def _held(self) -> freshness_proof.Held:
        return freshness_proof.Held(
            self._follower.offset, self._board.configuration.value.version
        )

    def _note_complete_read(self, started: float) -> None:
        self._proof.note_read(started)
        self._proof.note_records(self._held())

    async def _read_for_proof(self) -> None:
        """Read the end of the topic beside the follower, whose read may hang.

        An error is left to the follower to report.
        """
        offset = self._follower.offset
        is_reading = 0.0 < self._follower.read_s < HUNG_READ_S
        if offset is None or (self._reads_often and is_reading):
            return
        started = self._boot_time()
        page = await self._store.read(self._topic, offset, 0.0)
        if isinstance(page, errors.LogError):
            return
        if page.next_offset == offset:
            self._note_complete_read(started)
        else:
            self._follower.read_soon()

    def _add_records(self, records: Iterable[keyed.KeyedRecord]) -> None:
        for record in records:
            self._sharing.add(record)

    def _plan(self) -> follower_lib.ReadPlan:
        now = self._loop.time()
        local_peers = self._local_peers()
        known_peers = self._known_peers()
        if self._follower.has_read:
            plan = self._selection.plan(local_peers, now, len(known_peers))
        else:
            plan = self._selection.first_plan(
                known_peers, self._has_discovered(), now
            )
        self._report_role(self._selection.reader(local_peers), plan.is_due)
        is_short = plan.wait_s <= reader_selection.READ_WAIT_S
        self._reads_often = plan.is_due and is_short
        if self._needs_proof and is_short:
            plan = dataclasses.replace(
                plan, wait_s=PROOF_WAIT_S, needs_end=True
            )
        return plan

    def _report_role(self, reader: str, reads: bool) -> None:
        role = (reader, reads)
        if role != self._role:
            self._role = role
            decisions.failure(
                logger,
                "records_role",
                "records: source changed",
                reader=reader,
                reads=reads,
                offset=self._follower.offset,
            )

    def _is_leaving(self, node_id: str) -> bool:
        member = self._board.members.value.by_node.get(node_id)
        return member is not None and member.leaving

    def _known_peers(self) -> tuple[str, ...]:
        """Return the nodes of the data centre, without this one."""
        nodes = self._board.members.value.in_data_centre(self._data_centre)
        return tuple(node for node in nodes if node != self._node_id)

    def _local_peers(self) -> tuple[str, ...]:
        """Return the connected nodes of the data centre, without this one."""
        return tuple(
            node for node in self._known_peers() if self._is_connected(node)
        )

    def _send_to(self, nodes: Iterable[str], message: RecordMessage) -> None:
        frame = peers_lib.control_frame(message)
        for node_id in nodes:
            stream = self._peers.dialed(node_id)
            if stream is not None:
                stream.send(frame)

    def _announce_read(self, next_offset: int) -> None:
        """Announce a read, so that other nodes request new records.

        One without new records shows the others that they are not behind.
        """
        self._note_read(next_offset)
        self._selection.handle_success(self._node_id)
        self._send_to(
            self._local_peers(), control_messages.RecordsRead(next_offset)
        )

    def _announce_failure(self) -> None:
        self._selection.handle_failure(self._node_id)
        self._send_to(self._local_peers(), control_messages.RecordsUnreadable())

    def _handle_read(
        self, stream: streams.Stream, message: control_messages.RecordsRead
    ) -> None:
        self._selection.handle_announcement(stream.peer, self._loop.time())
        self._note_read(message.next_offset)
        if self._needs_proof:
            self._exchange.handle_announcement(stream.peer)
        parent = self._selection.parent(self._local_peers())
        if parent in ("", stream.peer):
            self._request_missing(stream, message.next_offset)
        else:
            self._note_offer(stream.peer, message.next_offset)

    def _note_read(self, next_offset: int) -> None:
        """Note that a read of this node or a peer has found a topic's end."""
        self._freshness.note_read(
            next_offset, self._follower.offset, self._loop.time()
        )

    def _note_offer(self, peer: str, next_offset: int) -> bool:
        """Note the records that a peer offers; return True if any are new."""
        return self._offers.note(
            peer, next_offset, self._follower.offset, self._loop.time()
        )

    def _request_missing(
        self, stream: streams.Stream, next_offset: int
    ) -> None:
        """Request the records before an offset unless an answer is awaited."""
        if not self._note_offer(stream.peer, next_offset):
            return
        request = self._offers.request(self._held_offset, self._loop.time())
        if request is None:
            return
        stream.send(peers_lib.control_frame(request))
        decisions.failure(
            logger,
            "records_requested",
            "records: announced records requested",
            peer=stream.peer,
            offset=self._follower.offset,
            announced=next_offset,
        )

    def _handle_records(
        self, stream: streams.Stream, message: control_messages.SharedRecords
    ) -> None:
        self._counts.records_shared("received", len(message.packed))
        last_offset = self._sharing.last_offset
        if not self._sharing.apply_shared(message, stream.peer):
            request = self._offers.retry_whole(
                self._held_offset, self._loop.time()
            )
            if request is not None:
                stream.send(peers_lib.control_frame(request))
            return
        self._offers.handle_applied()
        if last_offset < 0 < message.next_offset:
            self._follower.start_at(message.next_offset)
        else:
            self._follower.skip_to(message.next_offset)
        self._freshness.note_offset(self._follower.offset)
        self._proof.note_records(self._held())
        if self._sharing.last_offset > last_offset:
            self._pass_on()

    def _pass_on(self) -> None:
        offset = self._follower.offset
        if offset is not None:
            self._send_to(
                self._selection.children(self._local_peers()),
                control_messages.RecordsHeld(offset),
            )

    def _send_records(
        self, stream: streams.Stream, request: record_sharing.RecordsRequest
    ) -> None:
        shared = self._sharing.answer(request, self._follower.offset)
        if shared is None:
            return
        stream.send(peers_lib.control_frame(shared))
        self._counts.records_shared("sent", len(shared.packed))
        decisions.failure(
            logger,
            "records_sent",
            "records: sent to a peer",
            peer=stream.peer,
            after=request.offset,
            last_offset=self._sharing.last_offset,
            bytes=len(shared.packed),
            unsent=stream.unsent_bytes,
        )
