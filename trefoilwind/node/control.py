"""All controllers of a node, run by one actor; performs no I/O itself."""

from collections.abc import Callable
import logging
import operator
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import links as links_lib
from trefoilwind.distribution import ports
from trefoilwind.distribution import spreader as spreader_lib
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.log import coordinator as coordinator_lib
from trefoilwind.membership import controller as membership_lib
from trefoilwind.membership import directory
from trefoilwind.model import lifecycle
from trefoilwind.model import records
from trefoilwind.node import messages
from trefoilwind.proxy import backend as backend_lib
from trefoilwind.proxy import target as target_lib
from trefoilwind.rollout import controller as rollout_lib
from trefoilwind.routing import keepers as keepers_lib
from trefoilwind.routing import suspect_controller as suspect_lib
from trefoilwind.routing import table

logger = logging.getLogger(__name__)


class Control:
    """Passes messages and ticks to the controllers and sends their replies."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        transport: transport_lib.Transport,
        target: target_lib.Target,
        rollout: rollout_lib.RolloutController,
        send_to_log: Callable[[Any], None],
    ):
        self._environment = environment
        self._board = environment.blackboard
        self._transport = transport
        self._target = target
        self._send_to_log = send_to_log
        self._links = links_lib.LinkController(environment)
        self._spreader = spreader_lib.Spreader(environment, self._links)
        self._membership = membership_lib.MembershipController(
            environment, self._links
        )
        self._coordinator = coordinator_lib.Coordinator(environment)
        self._rollout = rollout
        self._keepers = keepers_lib.KeeperController(environment)
        self._suspects = suspect_lib.SuspectController(environment)
        self._controllers = (
            self._links,
            self._spreader,
            self._membership,
            rollout,
            self._keepers,
            self._suspects,
        )
        self._controller_by_message = {
            cls: controller
            for controller in self._controllers
            for cls in controller.handles
        }
        self._publish_routes = self._board.routes.claim("control")
        self._publish_lifecycle = self._board.lifecycle.claim("control")
        self._route_inputs: tuple[Any, ...] = (None,) * 4
        self._routing_keys: frozenset[directory.RoutingKey] = frozenset()
        self._announcement_deadline = 0.0
        self._announcement: messages.Announcement | None = None

    def receive(self, message: Any) -> None:
        """Handle a message and send the resulting envelopes."""
        for envelope in self._dispatch(message):
            self._transport.send(envelope)
        self._rebuild_routes()

    def _dispatch(self, message: Any) -> list[ports.Envelope]:
        if isinstance(message, messages.PeerMessage):
            return self._handle_peer_message(message)
        if isinstance(message, messages.Tick):
            return self._tick()
        if isinstance(message, messages.PeerConnected):
            return self._call_all("peer_connected", message.peer)
        if isinstance(message, messages.PeerLost):
            return self._call_all("peer_lost", message.peer)
        if isinstance(message, messages.PageRead):
            return self._spreader.apply_page(message.from_offset, message.page)
        if isinstance(message, messages.CheckpointRead):
            return self._spreader.apply_checkpoint(message.state)
        if isinstance(message, messages.Announcement):
            return self._announce(message)
        if isinstance(message, messages.Withdrawal):
            return self._withdraw()
        if isinstance(message, messages.Drain):
            return self._drain(message)
        raise TypeError(f"unknown message {type(message).__name__}")

    def _call_all(self, method: str, *args: Any) -> list[ports.Envelope]:
        return [
            envelope
            for controller in self._controllers
            for envelope in getattr(controller, method)(*args)
        ]

    def _handle_peer_message(
        self, message: messages.PeerMessage
    ) -> list[ports.Envelope]:
        controller = self._controller_by_message.get(type(message.message))
        if controller is None:
            logger.warning(
                "control: peer %s sent a message of an unknown type",
                message.peer,
            )
            return []
        return controller.handle(message.peer, message.message)

    def _tick(self) -> list[ports.Envelope]:
        self._expire_announcement()
        envelopes = self._call_all("tick")
        self._coordinate()
        self._send_to_log(messages.Tick())
        for outcome in self._rollout.drain_outcomes():
            self._append_outcome(outcome)
        return envelopes

    def _append_outcome(self, outcome) -> None:
        node_id = self._environment.node_id
        # A proposal and its confirmation are separate records of one node, so
        # the id contains the time.
        stamp_ms = int(outcome.at * 1000)
        record_id = f"outcome/{outcome.move_id}/{node_id}/{stamp_ms}"
        stamp = self._environment.events.hybrid_clock.now()
        payload = records.encode(
            record_id, node_id, outcome, stamp.wall_ms, stamp.counter
        )
        self._send_to_log(messages.Append(record_id, payload))

    def _coordinate(self) -> None:
        self._coordinator.tick()
        for request in self._coordinator.drain_requests():
            self._send_to_log(
                messages.Append(
                    request.record_id, request.payload, request.deadline
                )
            )

    def _announce(
        self, announcement: messages.Announcement
    ) -> list[ports.Envelope]:
        now = self._environment.clock.monotonic()
        lease_s = self._environment.settings.membership.announcement_lease_s
        self._announcement_deadline = now + lease_s
        if announcement != self._announcement:
            self._announcement = announcement
            self._target.set_backend(
                backend_lib.BackendClient(
                    announcement.address,
                    2 * announcement.slots,
                    self._environment.settings.proxy.idle_connection_s,
                )
            )
        if self._board.lifecycle.value.draining:
            return []
        return self._membership.announce(
            announcement.service,
            announcement.version,
            announcement.slots,
            announcement.labels,
        )

    def _withdraw(self) -> list[ports.Envelope]:
        self._announcement = None
        self._target.withdraw()
        return self._membership.leave()

    def _expire_announcement(self) -> None:
        now = self._environment.clock.monotonic()
        if self._announcement is None or now < self._announcement_deadline:
            return
        logger.warning("control: announcement of the backend server expired")
        self._announcement = None
        self._target.set_backend(None)
        for envelope in self._membership.announce("", "", 0):
            self._transport.send(envelope)

    def _drain(self, message: messages.Drain) -> list[ports.Envelope]:
        self._publish_lifecycle(
            lifecycle.Lifecycle(True, message.stop_deadline)
        )
        self._environment.events.emit(events.NODE_DRAINING)
        return self._membership.leave()

    def _rebuild_routes(self) -> None:
        state = self._board.state.value
        members = self._board.members.value
        shares = self._board.shares.value
        # Inputs are immutable, so comparing identities detects a change. Leases
        # in the log and changes of members that leave the set of routing keys
        # unchanged do not affect the routes.
        inputs = (state.configuration, state.stable, state.moves, shares)
        is_same = all(map(operator.is_, inputs, self._route_inputs))
        if is_same and members.routing_keys == self._routing_keys:
            return
        self._route_inputs = inputs
        self._routing_keys = members.routing_keys
        routes = table.build(state, members, shares)
        if routes != self._board.routes.value:
            self._publish_routes(routes)
