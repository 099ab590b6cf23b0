"""A node on the event loop: connects the components and owns their tasks."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
import random
import time
from typing import Any

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.customers import access as access_lib
from trefoilwind.distribution import frames
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import buffer_account
from trefoilwind.gateway import calls
from trefoilwind.gateway import cold_servers
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import entry as entry_lib
from trefoilwind.gateway import evacuations as evacuations_lib
from trefoilwind.gateway import follower as follower_lib
from trefoilwind.gateway import http_server
from trefoilwind.gateway import http_types
from trefoilwind.gateway import member_table
from trefoilwind.gateway import metrics_page
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import operator_records
from trefoilwind.gateway import own_server
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.gateway import placement_preview
from trefoilwind.gateway import publisher as publisher_lib
from trefoilwind.gateway import quotas as quotas_lib
from trefoilwind.gateway import rollout_manager
from trefoilwind.gateway import rollouts as rollouts_lib
from trefoilwind.gateway import server_notices
from trefoilwind.gateway import spreading as spreading_lib
from trefoilwind.gateway import state_repair
from trefoilwind.gateway import stream_calls
from trefoilwind.gateway import streams
from trefoilwind.gateway import supervision
from trefoilwind.gateway import suspect_table
from trefoilwind.gateway import target as target_lib
from trefoilwind.log import keyed
from trefoilwind.logs import decisions
from trefoilwind.membership import directory
from trefoilwind.model import members as members_lib
from trefoilwind.model import mesh
from trefoilwind.model import positions
from trefoilwind.rollout import messages as evidence_messages
from trefoilwind.routing import host_routes
from trefoilwind.routing import regions
from trefoilwind.routing import shared_budget
from trefoilwind.routing import suspect_messages
from trefoilwind.telemetry import counts as counts_lib

logger = logging.getLogger(__name__)

MEMBER_KEY = "member/"
# Seconds between two reads of the mesh topic; its updates are sent over peer
# streams as well.
MESH_READ_INTERVAL_S = 1.0
CALLER_BACKLOG = 1024
# Seconds from a stop request until callers are no longer directed to the node.
STOP_NOTICE_S = 2.6
# Seconds without a request after which a stopping node stops listening.
STOP_IDLE_S = 0.3
# Fraction of the stop time after which no new request is accepted, 3 s of
# 5.5 s; the rest is for the requests in flight.
STOP_LISTEN_FRACTION = 0.54
# Seconds from the end of the last call until the process is killed; half of
# them are for the answers. The smaller of the two applies, as calls at work may
# be ended only in the last sixth of the stop time.
STOP_RESERVE_S = 0.5
STOP_RESERVE_FRACTION = 1 / 8
# Seconds until peers have read the last answers of a stopping node.
STREAM_END_S = 0.5
# Seconds until callers have closed the connections of their last answers.
CALLER_END_S = 0.1
_STOP_CHECK_INTERVAL_S = 0.05
# Seconds beyond a deadline of a stop in which an event loop that is late reads
# its sockets and passes on the answers that waited there.
_STOP_READ_S = 0.01
# Delay of the event loop in seconds above which it is logged.
LOOP_DELAY_REPORTED_S = 0.1


_ROLLOUT_RECORDS = (
    control_messages.StableVersion,
    control_messages.RolloutDecision,
)
_ANSWER_FRAMES = (
    frames.AnswerHead,
    frames.AnswerBody,
    frames.CallFailed,
    frames.GoAway,
)


@dataclasses.dataclass(frozen=True)
class OperatorPort:
    """Functions that convert records of the operator's topics.

    Attributes:
        decode: Returns the content of a record, an error if it is malformed,
            or None if nodes do not use it.
        status: Returns the record that reports the status of a rollout.
        is_removable: Returns True for a key whose deletion matters; None if
            there is no such key.
    """

    decode: Callable[
        [keyed.KeyedRecord],
        mesh.MeshConfiguration
        | mesh.RolloutOrder
        | mesh.Evacuation
        | errors.RecordError
        | None,
    ]
    status: Callable[[mesh.RolloutStatus], keyed.KeyedRecord]
    is_removable: Callable[[str], bool] | None = None


class MeshNode:
    """A node of the mesh; created and used inside a running event loop."""

    def __init__(
        self,
        settings: node_settings.MeshSettings,
        store: keyed.KeyedStore,
        headers: calls.HeaderPort,
        operator: OperatorPort,
    ):
        self._settings = settings
        self._operator = operator
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._counts = counts_lib.MeshCounts()
        self._board = board_lib.MeshBoard()
        self._publish_configuration = self._board.configuration.claim("node")
        self._publish_routes = self._board.routes.claim("node")
        self._publish_draining = self._board.is_draining.claim("node")
        own = members_lib.Member(
            settings.node_id,
            int(time.time() * 1000),
            0,
            settings.data_centre,
            settings.peer_address,
            region=settings.region,
        )
        self._members = member_table.MemberTable(own, self._board)
        self._suspects = suspect_table.SuspectTable(
            self._loop.time, self._send_suspects
        )
        self._cold = cold_servers.ColdServers(
            settings.node_id, self._board, settings.cold
        )
        self._target = target_lib.Target(
            settings.node_id,
            headers,
            self._suspects,
            self._counts,
            self.withdraw,
            lambda: self._incoming.arriving,
            self._region_refusal,
            self._cold.limit,
            self._cold.cold_s,
        )
        self._evacuations = evacuations_lib.EvacuationTable(
            self._board, settings.data_centres, self._loop.time
        )
        self._board.evacuations.subscribe(self._apply_evacuations)
        self._own_server = own_server.OwnServer(
            self._target,
            self._members,
            settings.backend_address,
            self._announce_own_member,
        )
        # Set once the members, and so this node's earlier record, were read.
        self._members_read = asyncio.Event()
        self._headers = headers
        self._notices = server_notices.ServerNotices()
        self._account = buffer_account.BufferAccount(
            buffer_account.terms(
                settings.process.memory_bytes, settings.process.descriptors
            )
        )
        self._remote = stream_calls.RemoteCalls()
        self._incoming = stream_calls.IncomingCalls(
            self._target.run,
            lambda: self._limits().max_body_bytes,
            self._target.refuse_arrival,
            self._account,
        )
        self._peers = peers_lib.Peers(
            frames.Hello(
                frames.PROTOCOL_VERSION, settings.node_id, settings.data_centre
            ),
            settings.stream_times,
            peers_lib.PeerEvents(
                self._opened,
                self._received,
                self._remote.end_repeatable,
                self._closed,
                self._displaced,
            ),
            self._random,
        )
        self._spreading = spreading_lib.Spreading(
            settings.node_id, settings.data_centre, self._board, self._peers
        )
        self._picker = picker_lib.Picker(
            own,
            self._board,
            self._may_call,
            lambda: self._target.load,
            self._random.random,
            self._cold.share,
            self._round_trip_s,
            lambda service: self._cold.policy(service) is not None,
        )
        self._budget = shared_budget.SharedBudget(settings.budget)
        self._access = access_lib.Access(
            lambda: self._operator_records.is_confirmed
        )
        self._quotas = quotas_lib.Quotas(
            settings,
            own.incarnation,
            self._members_if_read,
            self._peers,
            self._spreading,
            self._counts,
        )
        self._entry = entry_lib.Entry(
            self._board,
            headers,
            self._picker,
            self._budget,
            self._run,
            lambda: self._settings.service,
            self._suspects.is_refused,
            self._target.is_running,
            self._counts,
            self._random,
            lambda: self._operator_records.age_s,
            self._target.regions_of,
            self._access,
            self._quotas,
        )
        self._callers = http_server.HttpServer(
            self._serve,
            self._limits,
            self._account,
            self._entry.checks.may_overlap,
            self._entry.checks.check_head,
        )
        self._publisher = publisher_lib.Publisher(
            store, node_settings.MESH_TOPIC, self._random
        )
        self._operator_records = operator_records.OperatorRecords(
            settings,
            store,
            self._handle_operator_record,
            self._board,
            self._peers,
            self.is_connected,
            lambda: self._mesh_follower.has_read,
            self._random,
            self._counts,
            operator.is_removable,
        )
        self._mesh_follower = follower_lib.Follower(
            store,
            node_settings.MESH_TOPIC,
            self._handle_mesh_records,
            self._plan_mesh_read,
            self._random,
            self._counts,
            on_read_again=self._write_lost_records,
        )
        self._rollouts = rollout_manager.RolloutManager(
            settings,
            f"{settings.node_id}@{own.incarnation}",
            self._board,
            self._spreading,
            store,
            self._mesh_follower,
            operator.status,
            self._random,
        )
        control = self._rollouts.control
        self._state_repair = state_repair.StateRepair(
            self._members,
            state_repair.RolloutState(
                lambda: control.digest, lambda: control.records
            ),
            self._spreading,
            lambda: self._spreading.is_relay,
            self._merge_members,
            self._loop.time,
        )
        self._tasks: list[asyncio.Task] = []
        self._peer_update: asyncio.Handle | None = None
        self._last_request_at = 0.0
        self._loop_delay_s = 0.0
        # Era of the store at the last read of all records of the mesh topic.
        self._era = 0

    @property
    def board(self) -> board_lib.MeshBoard:
        """Snapshots published by the components of the node."""
        return self._board

    @property
    def settings(self) -> node_settings.MeshSettings:
        """Settings in effect."""
        return self._settings

    @property
    def quotas(self) -> quotas_lib.Quotas:
        """Quotas of customers."""
        return self._quotas

    @property
    def preview(self) -> placement_preview.PlacementPreview:
        """Explains where a request would go now."""
        return placement_preview.PlacementPreview(
            self._board,
            self._entry,
            self._picker,
            self._access,
            self._quotas,
            self._loop.time,
        )

    @property
    def account(self) -> buffer_account.BufferAccount:
        """Account of the bytes that the process buffers."""
        return self._account

    @property
    def counts(self) -> counts_lib.MeshCounts:
        """Counters since the start of the process."""
        return self._counts

    @property
    def gauges(self) -> metrics_page.Gauges:
        """Current values of the gauges."""
        return metrics_page.Gauges(
            is_ready=self.is_ready,
            configuration_version=self._board.configuration.value.version,
            evacuated=tuple(sorted(self._board.evacuations.value.evacuated)),
            configuration_age_s=self._operator_records.age_s,
            operator_read_s=self._operator_records.read_s,
            members=len(self._board.members.value.members),
            peer_streams=len(self._peers.connected),
            in_flight=self._in_flight,
            loop_delay_s=self._loop_delay_s,
            requests_dropped=self._callers.requests_dropped,
            buffered_bytes=self._account.used_bytes,
            buffer_bytes=self._account.account_terms.large_bytes,
            buffers_waiting=self._account.waiting,
            buffers_refused=self._account.refused,
            caller_connections=self._callers.connections_open,
            connections_refused=self._callers.connections_refused,
            slots=self._target.slots,
            occupied=self._target.occupied,
            limit_per_s=self._target.limit_per_s,
            is_store_unavailable=(
                self._operator_records.is_unavailable
                or self._mesh_follower.is_unavailable
            ),
            proof_age_s=self._operator_records.proof_age_s,
            quota_customers=self._quotas.customers_active,
            quota_tokens_lent=self._quotas.tokens_lent,
        )

    @property
    def is_ready(self) -> bool:
        """True if callers may send requests here."""
        if self._board.is_draining.value:
            return False
        has_routes = bool(self._board.routes.value.version)
        return has_routes and self._mesh_follower.has_read

    @property
    def stable_versions(self) -> dict[str, str]:
        """Stable version of each service, as recorded in the store."""
        return self._rollouts.control.stable

    @property
    def peers_connected(self) -> tuple[str, ...]:
        """Ids of the nodes with a stream for calls."""
        return tuple(stream.peer for stream in self._peers.connected)

    def is_connected(self, node_id: str) -> bool:
        """Return True if a node has a stream that is responsive and stays."""
        stream = self._peers.dialed(node_id)
        is_open = stream is not None and not stream.is_unresponsive
        return is_open and self._peers.is_maintained(node_id)

    def _may_call(self, node_id: str) -> bool:
        """Return True if a call may be sent to a node."""
        member = self._board.members.value.by_node.get(node_id)
        has_left = member is not None and self._notices.has_left(member)
        return not has_left and self.is_connected(node_id)

    def _round_trip_s(self, node_id: str) -> float:
        """Return the round trip to a node in seconds; negative if unknown."""
        stream = self._peers.dialed(node_id)
        return -1.0 if stream is None else stream.round_trip_s

    async def start(self) -> errors.Error | None:
        """Open the listening sockets and start all tasks."""
        settings = self._settings
        try:
            address = settings.peer_address
            await self._peers.listen(address)
            address = settings.caller_address
            await self._callers.listen(
                address.host, address.port, CALLER_BACKLOG
            )
        except OSError as error:
            return errors.Error(
                errors.Reason.ADDRESS_IN_USE,
                "node.listen",
                str(address),
                error.strerror or str(error),
            )
        self._own_server.await_heartbeats(settings.heartbeat_interval_s)
        components = (
            self._operator_records,
            self._mesh_follower,
            self._rollouts.reporter,
        )
        runs = [component.run for component in components]
        runs += [self._publish_own_member, self._tick]
        for run in runs:
            self._tasks.append(
                self._loop.create_task(supervision.supervise(run))
            )
        logger.info("node: %s started", settings.node_id)
        return None

    async def stop(self) -> None:
        """Stop gracefully: serve until callers send no more requests.

        Each request that was received completely is answered. Its deadline
        ends with the stop, so that target nodes refuse, without running it,
        what cannot end in time.
        """
        started = self._loop.time()
        timeout_s = self._settings.stop_timeout_s
        reserve_s = min(STOP_RESERVE_S, STOP_RESERVE_FRACTION * timeout_s)
        deadline = started + timeout_s - reserve_s
        last_start = started + STOP_LISTEN_FRACTION * (deadline - started)
        self._publish_draining(True)
        self._callers.close_after_answers()
        self._members.mark_leaving()
        self._announce_own_member()
        self._target.drain()
        self._entry.begin_stop(deadline)
        await self._wait_idle(started + STOP_NOTICE_S, last_start)
        self._entry.refuse_later_requests()
        await self._callers.read_waiting(deadline)
        self._callers.stop_listening()
        await _until(lambda: not self._in_flight, deadline)
        self._callers.refuse_incomplete(self._entry.refusal())
        answer_deadline = deadline + reserve_s / 2
        await _until(
            lambda: not (self._callers.in_flight or self._peers.unsent_bytes),
            answer_deadline,
        )
        self._peers.finish()
        ended = self._loop.time()
        await _until(
            lambda: not self._callers.lingering,
            min(answer_deadline, ended + CALLER_END_S),
        )
        await _until(
            lambda: not self._peers.has_streams,
            min(answer_deadline, ended + STREAM_END_S),
        )
        self.abort()
        await asyncio.sleep(0)
        logger.info("node: %s stopped", self._settings.node_id)

    def abort(self) -> None:
        """Cancel all tasks and close all connections at once."""
        self._callers.stop_listening()
        self._rollouts.close()
        self._quotas.close()
        for task in self._tasks:
            task.cancel()
        if self._peer_update is not None:
            self._peer_update.cancel()
        self._own_server.close()
        self._peers.close()

    def update(self, settings: node_settings.MeshSettings) -> None:
        """Apply changed settings; addresses and ids need a restart."""
        changed = self._settings.changed_names(settings)
        if not changed:
            return
        applied = [
            name for name in changed if name in node_settings.LIVE_SETTINGS
        ]
        ignored = [
            name for name in changed if name not in node_settings.LIVE_SETTINGS
        ]
        values = {name: getattr(settings, name) for name in applied}
        self._settings = dataclasses.replace(self._settings, **values)
        self._budget.set_terms(self._settings.budget)
        logger.info("node: settings applied: %s", ", ".join(applied) or "none")
        if ignored:
            logger.warning(
                "node: settings that need a restart: %s", ", ".join(ignored)
            )

    def announce(self, server: mesh.BackendServer) -> None:
        """Apply an announcement of this node's backend server."""
        self._own_server.announce(server)
        self._announce_cold()

    def deregister(self, instance_id: str) -> None:
        """Apply that a process of the backend server leaves, known or not."""
        self._own_server.deregister(instance_id)

    async def wait_server_stored(self, deadline: float) -> bool:
        """Wait until the store has what is known of the backend server.

        From then on it survives the end of all nodes. Until the node has read
        its earlier record, it can't know which process of the backend server
        the store names.

        Args:
            deadline: Event loop time in seconds until which to wait.

        Returns:
            False if the store has not confirmed it by the deadline.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self._members_read.wait()
        except TimeoutError:
            return False
        key, _ = self._own_record()
        return await self._publisher.wait_stored(key, deadline)

    def withdraw(self) -> None:
        """Stop sending new calls to the backend server."""
        self._own_server.withdraw()

    @property
    def server(self) -> mesh.BackendServer | None:
        """The backend server of this node; None while none is known."""
        return self._target.server

    @property
    def _in_flight(self) -> int:
        incoming = self._incoming.in_flight + self._incoming.arriving
        return self._callers.in_flight + incoming

    async def _wait_idle(self, notice_end: float, deadline: float) -> None:
        while (now := self._loop.time()) < deadline:
            is_idle = now - self._last_request_at > STOP_IDLE_S
            if now >= notice_end and is_idle and not self._in_flight:
                return
            await asyncio.sleep(min(_STOP_CHECK_INTERVAL_S, deadline - now))

    def _limits(self) -> mesh.CallerLimits:
        return self._board.configuration.value.limits

    async def _serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        self._last_request_at = self._loop.time()
        return await self._entry.serve(request)

    async def _run(self, node_id: str, call: calls.Call) -> calls.Outcome:
        # The process that runs the call, not one that replaces it meanwhile.
        member = self._board.members.value.by_node.get(node_id)
        outcome = await self._run_at(node_id, call)
        self._rollouts.control.observe(node_id, call, outcome)
        result = outcome.result
        if member is not None and isinstance(result, http_types.HttpAnswer):
            self._notices.record(member, self._headers.notice(result))
        return outcome

    def _region_refusal(self, call: calls.Call) -> errors.Reason | None:
        """Return why no backend server of this data centre may run a call."""
        # Until then an evacuation of this data centre may be unknown.
        if not self._operator_records.has_records:
            return errors.Reason.RECORDS_UNKNOWN
        return regions.refusal(
            self._settings.data_centre,
            self._settings.region,
            call.allowed_regions,
            self._board.evacuations.value,
        )

    def _apply_evacuations(self, evacuations: regions.Evacuations) -> None:
        if self._settings.data_centre in evacuations.evacuated:
            self._target.refuse_queued()

    async def _run_at(self, node_id: str, call: calls.Call) -> calls.Outcome:
        if node_id == self._settings.node_id:
            return await self._target.run(call)
        stream = self._peers.dialed(node_id)
        if stream is None:
            reason = errors.Reason.PEER_UNREACHABLE
            return calls.Outcome(
                errors.CallError(reason, "entry.call", node_id, not_run=True)
            )
        return await self._remote.run(stream, call)

    # Peers.

    def _opened(self, stream: streams.Stream) -> None:
        logger.info("peers: stream with %s opened", stream.peer)
        if stream.is_dialed:
            stream.send(self._member_frame(self._members.own))
            known = self._suspects.full_update()
            if known.entries:
                stream.send(peers_lib.control_frame(known))
            cold = self._cold.own_message(self._loop.time())
            if cold is not None:
                stream.send(peers_lib.control_frame(cold))
            notice = self._notices.message(stream.peer)
            if notice is not None:
                stream.send(peers_lib.control_frame(notice))

    def _closed(self, stream: streams.Stream) -> None:
        logger.info("peers: stream with %s closed", stream.peer)
        self._remote.closed(stream)
        self._incoming.closed(stream)

    def _displaced(self, node_id: str) -> None:
        self._members.displace(node_id)
        self._update_peers_soon()

    def _received(self, stream: streams.Stream, frame: frames.Frame) -> None:
        if isinstance(frame, _ANSWER_FRAMES):
            self._remote.handle_frame(stream, frame)
        elif isinstance(frame, frames.Control):
            self._handle_control(stream, frame)
        else:
            self._incoming.handle_frame(stream, frame)

    def _handle_control(
        self, stream: streams.Stream, frame: frames.Control
    ) -> None:
        message = codec.decode(frame.payload, "stream.control", stream.peer)
        if isinstance(message, errors.Error):
            logger.warning("peers: %s", message)
        elif isinstance(message, control_messages.MemberChanged):
            if self._merge_members((message.member,)):
                self._spreading.pass_on(stream, message)
        elif isinstance(message, state_repair.Message):
            self._state_repair.handle_message(stream, message)
        elif isinstance(message, evidence_messages.EvidenceUpdate):
            is_remote = self._spreading.is_remote(stream)
            self._rollouts.control.merge_evidence(message, is_remote)
        elif isinstance(message, _ROLLOUT_RECORDS):
            if self._handle_rollout_record(message):
                self._spreading.pass_on(stream, message)
        elif isinstance(message, suspect_messages.SuspectUpdate):
            self._suspects.merge(message)
            self._spreading.pass_on(stream, message)
        elif isinstance(message, control_messages.StoreRestored):
            self._mesh_follower.read_soon()
            self._spreading.pass_on(stream, message)
        elif isinstance(message, control_messages.ServerNoticeSeen):
            self._target.apply_notice_of_peer(
                (message.instance_id, message.started_ms), message.notice
            )
        elif isinstance(message, cold_servers.ColdServer):
            if self._cold.merge(message, self._loop.time()):
                self._spreading.pass_on(stream, message)
        elif isinstance(message, operator_records.RecordMessage):
            self._operator_records.handle_message(stream, message)
        elif isinstance(message, quotas_lib.MESSAGES):
            self._quotas.handle_message(stream, message)

    def _plan_mesh_read(self) -> follower_lib.ReadPlan:
        """Return the parameters of the next read of the mesh topic.

        One node of each data centre reads it; the others hear of changes from
        their peers and read it once, at their start.
        """
        is_due = not self._mesh_follower.has_read or self._spreading.is_relay
        return follower_lib.ReadPlan(MESH_READ_INTERVAL_S, is_due=is_due)

    def _send_suspects(self, update: suspect_messages.SuspectUpdate) -> None:
        self._spreading.send_all(update)

    # Rollouts.

    async def _tick(self) -> None:
        summary_at = self._loop.time() + decisions.SUMMARY_INTERVAL_S
        while True:
            due_at = self._loop.time() + rollouts_lib.EVALUATION_INTERVAL_S
            await asyncio.sleep(rollouts_lib.EVALUATION_INTERVAL_S)
            self._note_loop_delay(self._loop.time() - due_at)
            if self._loop.time() >= summary_at:
                summary_at += decisions.SUMMARY_INTERVAL_S
                decisions.log_suppressed_lines()
            accepts_calls = self._target.accepts_calls
            self._rollouts.tick(self._target.server if accepts_calls else None)
            self._operator_records.tick()
            self._state_repair.tick()
            self._peers.close_unused()

    def _note_loop_delay(self, delay_s: float) -> None:
        """Record how late a timer of the event loop was, and log a long delay.

        All timers, callers and peers waited for as long.
        """
        self._loop_delay_s = delay_s
        if delay_s >= LOOP_DELAY_REPORTED_S:
            decisions.failure(
                logger,
                "loop_delayed",
                "node: event loop delayed",
                delay_ms=round(delay_s * 1000),
                in_flight=self._in_flight,
            )

    # Members.

    def _merge_members(self, members: Sequence[members_lib.Member]) -> bool:
        """Merge member records; return True if the table changed."""
        own_id = self._settings.node_id
        members = member_table.usable(members)
        for member in members:
            if member.node_id == own_id:
                self._own_server.apply_earlier_record(member)
            if member.has_left:
                self._notices.record_left(member)
        changed = self._members.merge_all(members)
        if any(member.node_id == own_id for member in changed):
            self._announce_own_member()
        if changed:
            self._update_peers_soon()
        return bool(changed)

    def _members_if_read(self) -> directory.Snapshot:
        """Return the members; none before the node has read the others."""
        if not self._members_read.is_set():
            return directory.Snapshot()
        return self._board.members.value

    def _update_peers_soon(self) -> None:
        """Update the streams once for all changes of this loop iteration."""
        if self._peer_update is None:
            self._peer_update = self._loop.call_soon(self._update_peers)

    def _update_peers(self) -> None:
        self._peer_update = None
        selected = self._picker.selection.peers
        self._peers.set_peers({n: m.peer_address for n, m in selected.items()})
        known = self._board.members.value.by_node
        self._picker.evict(known.__contains__)
        self._notices.evict(known.__contains__)
        self._cold.evict(known.__contains__)

    def _announce_own_member(self) -> None:
        own = self._members.own
        self._spreading.send_all(control_messages.MemberChanged(own))
        self._publisher.put(*self._own_record())
        self._announce_cold()

    def _announce_cold(self) -> None:
        cold = self._cold.note_own(self._target.server, self._loop.time())
        if cold is not None:
            self._spreading.send_all(cold)

    async def _publish_own_member(self) -> None:
        """Write the own record to the store, after the earlier one was read.

        The earlier record may be all that tells that the server has left.
        """
        await self._members_read.wait()
        await self._publisher.run()

    def _own_record(self) -> tuple[str, bytes]:
        """Return key and value of this node's member record."""
        own = self._members.own
        message = control_messages.MemberChanged(own)
        return MEMBER_KEY + own.node_id, codec.encode(message)

    def _member_frame(self, member: members_lib.Member) -> frames.Control:
        return peers_lib.control_frame(control_messages.MemberChanged(member))

    # Store.

    def _write_lost_records(
        self, records: tuple[keyed.KeyedRecord, ...]
    ) -> None:
        """Write again what a restored store has lost of this node's records.

        Args:
            records: Newest records of the mesh topic.
        """
        key, value = self._own_record()
        if (key, value) not in {(r.key, r.value) for r in records}:
            logger.info("store: own member record is missing; writing it again")
            self._publisher.put(key, value)
        self._rollouts.write_lost_records(r.key for r in records)
        self._announce_restore()

    def _announce_restore(self) -> None:
        """Make the nodes that do not read the store write what it has lost."""
        era = positions.era(self._mesh_follower.offset or 0)
        if era > self._era and self._spreading.is_relay:
            self._spreading.send_all(control_messages.StoreRestored())
        self._era = era

    def _handle_mesh_records(
        self, records: Sequence[keyed.KeyedRecord]
    ) -> None:
        members = []
        others = []
        for record in records:
            if not record.value:
                continue
            self._rollouts.note_stored(record.key)
            message = codec.decode(record.value, "store.mesh", record.key)
            if isinstance(message, errors.Error):
                logger.warning("store: %s", message)
            elif isinstance(message, control_messages.MemberChanged):
                members.append(message.member)
            else:
                others.append(message)
        # Who reports a decision depends on the members.
        self._merge_members(members)
        self._members_read.set()
        for message in others:
            self._handle_rollout_record(message)

    def _handle_rollout_record(self, message: Any) -> bool:
        """Apply a stable version or decision; return False if it is odd."""
        if not isinstance(message, _ROLLOUT_RECORDS):
            return False
        problem = control_messages.check(message)
        if problem is not None:
            logger.warning("rollout: record left out; %s", problem)
            return False
        if isinstance(message, control_messages.StableVersion):
            self._rollouts.control.apply_stable(message)
        else:
            self._rollouts.apply_decision(message)
        return True

    def _handle_operator_record(self, record: keyed.KeyedRecord) -> None:
        decoded = self._operator.decode(record)
        if isinstance(decoded, errors.Error):
            self._counts.record_rejected(decoded.reason.value)
            logger.warning("store: %s", decoded)
        elif isinstance(decoded, mesh.MeshConfiguration):
            self._apply_configuration(decoded)
        elif isinstance(decoded, mesh.Evacuation):
            problem = self._evacuations.apply(decoded)
            if problem is not None:
                self._counts.record_rejected(problem.reason.value)
                logger.warning("store: %s", problem)
        elif isinstance(decoded, mesh.RolloutOrder):
            self._rollouts.handle_order(decoded)

    def _apply_configuration(
        self, configuration: mesh.MeshConfiguration
    ) -> None:
        current = self._board.configuration.value
        if configuration.version <= current.version:
            return
        routes = host_routes.build(configuration)
        self._access.update(configuration)
        self._publish_configuration(configuration)
        self._publish_routes(routes)
        self._quotas.set_customers(configuration.customers)
        logger.info(
            "configuration: version %d in force, %d routes; was %d",
            configuration.version,
            len(configuration.routes),
            current.version,
        )


async def _until(condition: Callable[[], bool], deadline: float) -> None:
    """Wait until a condition holds, or until an event loop time.

    The event loop reads its sockets before the wait ends, also when it is late.
    """
    loop = asyncio.get_running_loop()
    while not condition() and loop.time() < deadline:
        await asyncio.sleep(_STOP_CHECK_INTERVAL_S)
    if not condition():
        await asyncio.sleep(_STOP_READ_S)
