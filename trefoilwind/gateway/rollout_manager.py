"""Connects the rollout control to the store and the peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging
import random
from typing import Any

from trefoilwind.distribution import topology
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import conditional_writer as writer_lib
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import follower as follower_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import publisher as publisher_lib
from trefoilwind.gateway import rollouts as rollouts_lib
from trefoilwind.gateway import spreading as spreading_lib
from trefoilwind.log import keyed
from trefoilwind.model import mesh

logger = logging.getLogger(__name__)

STABLE_KEY = "stable/"
DECISION_KEY = "decision/"
# Seconds from a node's start until it records a stable version: by then it has
# discovered the other nodes that would write the same record.
SETTLE_S = 2.0
# Seconds that a node waits for each node that ranks before it.
RANK_DELAY_S = 0.4
# Seconds between the reports of a decision by successive nodes.
REPORT_DELAY_S = 1.5
REPORTING_NODES = 2
# Relays that get the evidence of each node of their data centre; the first one
# sends the sums, the other one replaces it if it fails.
EVIDENCE_RELAYS = 2


class RolloutManager:
    """Sends evidence, records decisions and reports the status of rollouts."""

    def __init__(
        self,
        settings: node_settings.MeshSettings,
        entry: str,
        board: board_lib.MeshBoard,
        spreading: spreading_lib.Spreading,
        store: keyed.KeyedStore,
        follower: follower_lib.Follower,
        encode_status: Callable[[mesh.RolloutStatus], keyed.KeyedRecord],
        rng: random.Random,
    ):
        """Initialize the rollout control and its writers.

        Args:
            settings: Settings of the node.
            entry: Id of this node and its incarnation, as used in evidence.
            board: Snapshots of the node's components.
            spreading: Sends messages to other nodes.
            store: The platform's keyed topics.
            follower: Follower of the mesh topic, which holds the decisions.
            encode_status: Returns the record that reports a rollout.
            rng: Source of random numbers.
        """
        self._settings = settings
        self._board = board
        self._spreading = spreading
        self._follower = follower
        self._encode_status = encode_status
        self._loop = asyncio.get_running_loop()
        self._settled_at = self._loop.time() + SETTLE_S
        # Keys of the mesh topic that the store has, as far as is known.
        self._stored: set[str] = set()
        self._reporter = publisher_lib.Publisher(
            store, settings.status_topic, rng
        )
        self._writer = writer_lib.ConditionalWriter(
            store,
            node_settings.MESH_TOPIC,
            lambda: follower.offset,
            follower.read_soon,
            rng,
        )
        self._control = rollouts_lib.RolloutControl(
            settings.node_id,
            entry,
            settings.data_centre,
            board,
            rollouts_lib.EvidenceSenders(
                spreading.send_to,
                spreading.send_local,
                spreading.send_remote,
                lambda: spreading.local_relays(EVIDENCE_RELAYS),
            ),
            self._propose_decision,
            self._loop.time,
        )

    @property
    def control(self) -> rollouts_lib.RolloutControl:
        """Control of the rollouts."""
        return self._control

    @property
    def reporter(self) -> publisher_lib.Publisher:
        """Writer of the status records for the operator."""
        return self._reporter

    def close(self) -> None:
        """Cancel the writes of decisions that are not stored yet."""
        self._writer.close()

    def note_stored(self, key: str) -> None:
        """Note that the store has a record of the mesh topic."""
        self._stored.add(key)

    def write_lost_records(self, stored: Iterable[str]) -> None:
        """Write again what a restored store has lost.

        Stable versions and decisions are written by the first node that finds
        none; statuses are reported anew.

        Args:
            stored: Keys of the records that the mesh topic has.
        """
        self._stored = set(stored)
        for service, version in self._control.stable.items():
            self._write_if_lost(
                STABLE_KEY + service,
                control_messages.StableVersion(service, version),
            )
        for decision in self._control.final_decisions:
            key = f"{DECISION_KEY}{decision.order_id}"
            self._write_if_lost(key, decision)
            self._report_by_rank(key, decision)
        for order in self._control.open_orders:
            self._report_running(order)

    def _write_if_lost(self, key: str, message: Any) -> None:
        if key in self._stored:
            return
        self._writer.propose(
            key,
            message,
            self._rank(key) * RANK_DELAY_S,
            lambda: key in self._stored,
            lambda message: None,
        )

    def tick(self, server: mesh.BackendServer | None) -> None:
        """Evaluate the open rollouts and record a missing stable version.

        Args:
            server: Backend server of this node; None if it accepts no calls.
        """
        self._control.tick()
        if server is not None:
            self._propose_stable(server)

    def _propose_stable(self, server: mesh.BackendServer) -> None:
        """Record the stable version of a service unless it has a record."""
        service = server.service
        is_settled = self._loop.time() >= self._settled_at
        has_read = self._follower.has_read
        if service in self._control.stable or not has_read or not is_settled:
            return
        key = STABLE_KEY + service
        self._writer.propose(
            key,
            control_messages.StableVersion(service, server.version),
            self._rank(key, service) * RANK_DELAY_S,
            lambda: service in self._control.stable,
            self._handle_stored_stable,
        )

    def _handle_stored_stable(
        self, stable: control_messages.StableVersion
    ) -> None:
        self._control.apply_stable(stable)
        self._spreading.send_all(stable)

    def _propose_decision(
        self, decision: control_messages.RolloutDecision
    ) -> None:
        key = f"{DECISION_KEY}{decision.order_id}"
        self._writer.propose(
            key,
            decision,
            self._rank(key) * RANK_DELAY_S,
            lambda: self._control.is_decided(decision),
            self._handle_stored,
        )

    def _handle_stored(
        self, decision: control_messages.RolloutDecision
    ) -> None:
        """Apply a decision that this node has stored, before it is read."""
        self._control.apply_decision(decision)
        self._spreading.send_all(decision)
        self._report_decision(decision)

    def _rank(self, key: str, service: str = "") -> int:
        """Return this node's rank for a key.

        Args:
            key: Key of the record to be written.
            service: Service that the ranked nodes run; empty for all nodes.
        """
        own = self._settings.node_id
        nodes = {
            member.node_id
            for member in self._board.members.value.members
            if not service or member.service == service
        }
        nodes.add(own)
        return topology.rendezvous(key, nodes, len(nodes)).index(own)

    def apply_decision(
        self, decision: control_messages.RolloutDecision
    ) -> None:
        """Apply a decision from the store.

        The first `REPORTING_NODES` nodes in the ranking report it.
        """
        if self._control.apply_decision(decision):
            key = f"{DECISION_KEY}{decision.order_id}"
            self._report_by_rank(key, decision)

    def _report_by_rank(
        self, key: str, decision: control_messages.RolloutDecision
    ) -> None:
        rank = self._rank(key)
        if rank < REPORTING_NODES:
            self._loop.call_later(
                (rank + 1) * REPORT_DELAY_S, self._report_decision, decision
            )

    def _report_decision(
        self, decision: control_messages.RolloutDecision
    ) -> None:
        if not self._control.is_newest(decision):
            return
        state = mesh.RolloutState.UNDONE
        if decision.is_done:
            state = mesh.RolloutState.DONE
        self._report(
            mesh.RolloutStatus(decision.service, decision.version, state)
        )

    def _report(self, status: mesh.RolloutStatus) -> None:
        record = self._encode_status(status)
        self._reporter.put(record.key, record.value)

    def handle_order(self, order: mesh.RolloutOrder) -> None:
        """Handle a rollout order; the first-ranked node reports it running."""
        if self._control.handle_order(order):
            self._report_running(order)

    def _report_running(self, order: mesh.RolloutOrder) -> None:
        if self._rank(f"{DECISION_KEY}{order.order_id}") == 0:
            self._report(
                mesh.RolloutStatus(
                    order.service, order.version, mesh.RolloutState.RUNNING
                )
            )
