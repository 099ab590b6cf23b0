"""Control of rollouts on a node: evidence, traffic shares, brake, decision."""

from collections.abc import Callable
import dataclasses
import logging

import xxhash

from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import control_messages
from trefoilwind.model import mesh
from trefoilwind.model import positions
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history as history_lib
from trefoilwind.rollout import messages
from trefoilwind.rollout import ramp
from trefoilwind.rollout import verdicts
from trefoilwind.routing import cold_start
from trefoilwind.routing import regions

logger = logging.getLogger(__name__)

# Seconds between two evaluations of an open rollout.
EVALUATION_INTERVAL_S = 0.25
# Seconds per block of the evidence history.
HISTORY_BLOCK_S = 0.5


@dataclasses.dataclass
class _OpenRollout:
    """State of a rollout whose order has no decision yet.

    Attributes:
        order: The rollout order.
        started: Event loop time in seconds at which it was received.
        history: Evidence by time.
        judge: Evaluation of that evidence.
        verdict: Result of the last evaluation; None before the first.
        brake: Evidence that the version is faulty, or None.
        sent_revision: Revision of the ledger last sent to peers.
        relays: Relays of the data centre to which it was sent.
    """

    order: mesh.RolloutOrder
    started: float
    history: history_lib.History
    judge: verdicts.Judge
    verdict: verdicts.Verdict | None = None
    brake: evidence.Brake | None = None
    sent_revision: int = 0
    relays: tuple[str, ...] = ()

    @property
    def move_id(self) -> str:
        """Id of the rollout in the evidence."""
        return self.order.rollout_id


@dataclasses.dataclass(frozen=True)
class EvidenceSenders:
    """Functions that send evidence to other nodes.

    Attributes:
        send_to_relays: Sends to the relays of the own data centre, given
            their ids.
        send_local: Sends to the nodes of the own data centre.
        send_remote: Sends to a node of each other data centre.
        relays: Returns the relays of the own data centre; the first one sends
            its aggregates.
    """

    send_to_relays: Callable[[tuple[str, ...], messages.EvidenceUpdate], None]

    send_local: Callable[[messages.EvidenceUpdate], None]
    send_remote: Callable[[messages.EvidenceUpdate], None]
    relays: Callable[[], tuple[str, ...]]


class RolloutControl:
    """Collects evidence, evaluates rollouts and publishes the version table."""

    def __init__(
        self,
        node_id: str,
        entry: str,
        data_centre: str,
        board: board_lib.MeshBoard,
        senders: EvidenceSenders,
        propose_decision: Callable[[control_messages.RolloutDecision], None],
        clock: Callable[[], float],
    ):
        """Initialize the control without open rollouts.

        Args:
            node_id: Id of this node.
            entry: Id of this node and its incarnation, as used in evidence.
            data_centre: Data centre of the node.
            board: Snapshots; the version table is published here.
            senders: Functions that send evidence to other nodes.
            propose_decision: Proposes a decision on a rollout.
            clock: Returns the monotonic time in seconds.
        """
        self._node_id = node_id
        self._entry = entry
        self._data_centre = data_centre
        self._board = board
        self._publish = board.versions.claim("rollouts")
        self._senders = senders
        self._propose_decision = propose_decision
        self._clock = clock
        self._ledger = evidence.Ledger()
        # Sums received from other data centres since the last tick.
        self._received_sums: set[evidence.Key] = set()
        self._open: dict[str, _OpenRollout] = {}
        self._stable: dict[str, str] = {}
        self._decisions: dict[int, control_messages.RolloutDecision] = {}
        self._first_seen: dict[str, float] = {}
        # Newest order of each service.
        self._orders: dict[str, mesh.RolloutOrder] = {}
        # Newest order of each service and version, by rollout id.
        self._seen: dict[str, mesh.RolloutOrder] = {}

    @property
    def stable(self) -> dict[str, str]:
        """Recorded stable version of each service."""
        return self._stable

    def is_decided(self, decision: control_messages.RolloutDecision) -> bool:
        """Return True if the order of a proposed decision has a decision."""
        if decision.order_id in self._decisions:
            return True
        # A decision on the same order, as written in another era.
        return decision.service not in self._open and any(
            (known.service, known.version)
            == (decision.service, decision.version)
            and positions.era(known.order_id)
            != positions.era(decision.order_id)
            for known in self._decisions.values()
        )

    def is_newest(self, decision: control_messages.RolloutDecision) -> bool:
        """Return True if a service has no rollout order after a decision."""
        order = self._orders.get(decision.service)
        return order is None or _is_decided_by(order, decision)

    @property
    def final_decisions(self) -> tuple[control_messages.RolloutDecision, ...]:
        """The decision on the newest order of each service that has one."""
        newest = {
            decision.service: decision
            for decision in sorted(
                self._decisions.values(), key=lambda each: each.order_id
            )
            if self.is_newest(decision)
        }
        return tuple(newest.values())

    @property
    def records(
        self,
    ) -> tuple[
        control_messages.StableVersion | control_messages.RolloutDecision, ...
    ]:
        """Stable versions and the newest decisions, for other nodes."""
        stable = (
            control_messages.StableVersion(service, version)
            for service, version in sorted(self._stable.items())
        )
        return (*stable, *self.final_decisions)

    @property
    def digest(self) -> str:
        """Digest of stable versions and decisions, without their positions."""
        decided = sorted(
            (each.service, each.version, each.is_done)
            for each in self.final_decisions
        )
        text = repr((sorted(self._stable.items()), decided))
        return xxhash.xxh3_64_hexdigest(text.encode())

    @property
    def open_orders(self) -> tuple[mesh.RolloutOrder, ...]:
        """Orders that have no decision yet."""
        return tuple(rollout.order for rollout in self._open.values())

    def evidence_of(
        self, rollout_id: str
    ) -> dict[evidence.Key, evidence.Counter]:
        """Return the counters of a rollout by cell."""
        return self._ledger.view(rollout_id)

    def handle_order(self, order: mesh.RolloutOrder) -> bool:
        """Open a rollout for an order; return True if the order is new.

        An order that is written again after a restore of the store keeps its
        rollout, or the decision on it.
        """
        newest = self._orders.get(order.service)
        if newest is not None and newest.order_id >= order.order_id:
            return False
        previous = self._seen.get(order.rollout_id)
        self._seen[order.rollout_id] = order
        is_first_of_era = newest is None or order.is_of_later_era(
            newest.order_id
        )
        if previous is not None and is_first_of_era:
            if newest.rollout_id != order.rollout_id:
                # The copy has an order that a lost one had superseded.
                return False
            if self._continue(order):
                return False
        self._orders[order.service] = order
        if order.order_id in self._decisions:
            return False
        may_be_repeated = previous is None or is_first_of_era
        if may_be_repeated and self._was_decided(order):
            return False
        now = self._clock()
        self._open[order.service] = _OpenRollout(
            order,
            now,
            history_lib.History(HISTORY_BLOCK_S, now),
            verdicts.Judge(),
        )
        logger.info(
            "rollout: service %s, version %s: started",
            order.service,
            order.version,
        )
        self._publish_table()
        return True

    def _continue(self, order: mesh.RolloutOrder) -> bool:
        """Return True if an order is that of an open rollout, written again."""
        rollout = self._open.get(order.service)
        if rollout is None or rollout.move_id != order.rollout_id:
            return False
        rollout.order = order
        self._orders[order.service] = order
        return True

    def _was_decided(self, order: mesh.RolloutOrder) -> bool:
        return any(
            _is_decided_by(order, decision)
            for decision in self._decisions.values()
        )

    def apply_stable(self, stable: control_messages.StableVersion) -> None:
        """Apply the recorded version of a service; later ones are ignored."""
        if stable.service not in self._stable:
            self._stable[stable.service] = stable.version
            self._publish_table()

    def apply_decision(
        self, decision: control_messages.RolloutDecision
    ) -> bool:
        """Apply a decision; return True if it is the first on its order."""
        if self.is_decided(decision):
            return False
        self._decisions[decision.order_id] = decision
        if decision.is_done:
            self._stable[decision.service] = decision.version
        rollout = self._open.get(decision.service)
        if rollout and _is_decided_by(rollout.order, decision):
            del self._open[decision.service]
            self._ledger.remove_moves(frozenset({rollout.move_id}))
        logger.info(
            "rollout: service %s, version %s: %s; %s",
            decision.service,
            decision.version,
            "done" if decision.is_done else "rolled back",
            decision.reason,
        )
        self._publish_table()
        return True

    def merge_evidence(
        self, update: messages.EvidenceUpdate, is_remote: bool = False
    ) -> None:
        """Merge a peer's counters and brakes.

        Args:
            update: Counters and brakes.
            is_remote: True if the peer is in another data centre; they are
                sent on in the own one.
        """
        open_ids = {rollout.move_id for rollout in self._open.values()}
        entries = [
            entry
            for entry in messages.unpack(update)
            if entry.key.move_id in open_ids
        ]
        self._ledger.merge(entries)
        if is_remote:
            self._received_sums.update(entry.key for entry in entries)
        for brake in update.brakes:
            for rollout in self._open.values():
                if rollout.move_id == brake.move_id and not rollout.brake:
                    self._set_brake(rollout, brake)
                    if is_remote:
                        self._senders.send_local(messages.pack((), (brake,)))

    def observe(
        self, node_id: str, call: calls.Call, outcome: calls.Outcome
    ) -> None:
        """Add the outcome of an attempt to the evidence.

        Args:
            node_id: Node to which the call was sent.
            call: The call.
            outcome: Outcome of the attempt.
        """
        rollout = self._open.get(call.service)
        if rollout is None or not call.version:
            return
        counter = self._counter(node_id, outcome)
        if counter is None:
            return
        is_new = call.version == rollout.order.version
        key = evidence.Key(
            rollout.move_id,
            evidence.RouteKey(call.route_name, ""),
            self._data_centre,
            self._entry,
            evidence.Arm.NEW if is_new else evidence.Arm.OLD,
            node_id if is_new else "",
        )
        self._ledger.add(key, counter)

    def tick(self) -> None:
        """Evaluate the open rollouts and send the evidence to peers."""
        for rollout in list(self._open.values()):
            progress = self._evaluate(rollout)
            decision = ramp.decide(progress)
            if decision is not None:
                self._propose(rollout, decision, progress)
            self._send_evidence(rollout)
        if self._open:
            self._publish_table()

    def _evaluate(self, rollout: _OpenRollout) -> ramp.Progress:
        now = self._clock()
        order = rollout.order
        counters = self.evidence_of(rollout.move_id)
        servers = self._usable_servers(order)
        rollout.history.update(now, counters)
        verdict = rollout.judge.judge(rollout.history, servers)
        rollout.verdict = verdict
        if verdict.is_faulty and rollout.brake is None:
            brake = evidence.Brake(
                rollout.move_id, verdict.reason, verdict.step, self._entry
            )
            self._set_brake(rollout, brake)
            update = messages.pack((), (brake,))
            self._senders.send_local(update)
            self._senders.send_remote(update)
        new_calls = sum(
            counter.calls
            for key, counter in counters.items()
            if key.arm is evidence.Arm.NEW
        )
        return ramp.Progress(
            (now - rollout.started) / max(order.duration_s, 0.1),
            new_calls,
            servers,
            verdict,
            rollout.brake is not None,
        )

    def _usable_servers(self, order: mesh.RolloutOrder) -> int:
        """Return the number of servers of a version outside evacuations."""
        evacuations = self._board.evacuations.value
        return sum(
            regions.allows(member, None, evacuations)
            for member in self._board.members.value.serving(
                order.service, order.version
            )
        )

    def _set_brake(self, rollout: _OpenRollout, brake: evidence.Brake) -> None:
        rollout.brake = brake
        logger.warning(
            "rollout: service %s, version %s: faulty: %s on %s, found by %s",
            rollout.order.service,
            rollout.order.version,
            brake.reason,
            brake.step,
            brake.peer,
        )
        self._publish_table()

    def _propose(
        self,
        rollout: _OpenRollout,
        decision: ramp.Decision,
        progress: ramp.Progress,
    ) -> None:
        order = rollout.order
        reason = rollout.brake.reason if rollout.brake else decision.value
        self._propose_decision(
            control_messages.RolloutDecision(
                order.order_id,
                order.service,
                order.version,
                decision is ramp.Decision.DONE,
                f"{reason}, {progress.new_calls} calls judged",
            )
        )

    def _send_evidence(self, rollout: _OpenRollout) -> None:
        """Send own counters to the relays, and sums if this is the first one.

        The first relay of a data centre sends its sums to all its nodes and to
        a node of each other data centre, which sends them on in its own. Sums
        merge by maximum like counters, so it is harmless if two nodes send
        them for a while. Relays that are new get all own counters.
        """
        relays = self._senders.relays()
        is_relay = relays[:1] == (self._node_id,)
        if is_relay:
            self._ledger.aggregate(self._data_centre)
        changed = self._ledger.changed_since(rollout.sent_revision)
        if relays != rollout.relays:
            rollout.relays = relays
            own = self._own_entries(self._ledger.changed_since(0))
        else:
            own = self._own_entries(changed)
        rollout.sent_revision = self._ledger.revision
        brakes = (rollout.brake,) if rollout.brake else ()
        if own or brakes:
            self._senders.send_to_relays(relays, messages.pack(own, brakes))
        self._send_sums(changed, brakes, is_relay)

    def _send_sums(
        self,
        changed: list[evidence.Entry],
        brakes: tuple[evidence.Brake, ...],
        is_relay: bool,
    ) -> None:
        sums = [
            entry
            for entry in changed
            if entry.key in self._received_sums
            or (is_relay and self._is_own_aggregate(entry.key))
        ]
        self._received_sums.clear()
        if sums or (is_relay and brakes):
            self._senders.send_local(messages.pack(sums, brakes))
        own_sums = [
            entry for entry in sums if self._is_own_aggregate(entry.key)
        ]
        if is_relay and (own_sums or brakes):
            self._senders.send_remote(messages.pack(own_sums, brakes))

    def _own_entries(
        self, entries: list[evidence.Entry]
    ) -> list[evidence.Entry]:
        return [entry for entry in entries if entry.key.entry == self._entry]

    def _is_own_aggregate(self, key: evidence.Key) -> bool:
        return not key.entry and key.data_centre == self._data_centre

    def _counter(
        self, node_id: str, outcome: calls.Outcome
    ) -> evidence.Counter | None:
        """Return the counter for an attempt, or None if it is no evidence."""
        has_failed = calls.has_failed(outcome.result)
        if has_failed is None:
            return None
        if has_failed:
            return evidence.failure()
        now = self._clock()
        first = self._first_seen.setdefault(node_id, now)
        is_cold = now - first < cold_start.COLD_START_S or outcome.served_s < 0
        return evidence.success(max(0.0, outcome.served_s), is_cold)

    def _publish_table(self) -> None:
        plans = {
            service: board_lib.VersionPlan(stable=version)
            for service, version in self._stable.items()
        }
        for service, rollout in self._open.items():
            if service not in plans:
                stable = self._most_common_version(rollout.order)
                plans[service] = board_lib.VersionPlan(stable=stable)
        for decision in self._decisions.values():
            if not decision.is_done:
                self._ban(plans, decision.service, decision.version)
        for service, rollout in self._open.items():
            plan = plans[service]
            if plan.stable == rollout.order.version:
                continue
            plans[service] = dataclasses.replace(
                plan,
                candidate=rollout.order.version,
                share=ramp.share(self._current_progress(rollout)),
            )
            if rollout.brake is not None:
                self._ban(plans, service, rollout.order.version)
        self._publish(board_lib.VersionTable(plans))

    def _most_common_version(self, order: mesh.RolloutOrder) -> str:
        """Return the most common version other than the one rolled out."""
        groups = self._board.members.value.by_version
        counts = {
            version: len(group)
            for (service, version), group in groups.items()
            if service == order.service and version != order.version
        }
        return max(counts, key=counts.get, default="")

    def _current_progress(self, rollout: _OpenRollout) -> ramp.Progress:
        order = rollout.order
        servers = self._usable_servers(order)
        verdict = rollout.verdict
        if verdict is None:
            verdict = rollout.judge.judge(rollout.history, servers)
        return ramp.Progress(
            (self._clock() - rollout.started) / max(order.duration_s, 0.1),
            0,
            servers,
            verdict,
            rollout.brake is not None,
        )

    def _ban(
        self,
        plans: dict[str, board_lib.VersionPlan],
        service: str,
        version: str,
    ) -> None:
        plan = plans.get(service, board_lib.VersionPlan())
        if plan.stable != version:
            plans[service] = dataclasses.replace(
                plan, banned=plan.banned | {version}
            )


def _is_decided_by(
    order: mesh.RolloutOrder, decision: control_messages.RolloutDecision
) -> bool:
    """Return True if a decision ends the rollout of an order.

    A decision from before a restore applies to the order that the operator
    has written again since.
    """
    if order.service != decision.service:
        return False
    if order.order_id <= decision.order_id:
        return True
    is_same = order.version == decision.version
    return is_same and order.is_of_later_era(decision.order_id)
