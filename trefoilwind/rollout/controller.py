"""Controller that evaluates open moves and publishes their shares."""

import collections
import dataclasses
import logging

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import ports
from trefoilwind.distribution import topology as topology_lib
from trefoilwind.membership import directory
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib
from trefoilwind.proxy import calls
from trefoilwind.rollout import budget
from trefoilwind.rollout import class_watch
from trefoilwind.rollout import evidence
from trefoilwind.rollout import messages
from trefoilwind.rollout import observer as observer_lib
from trefoilwind.rollout import shares
from trefoilwind.rollout import spread
from trefoilwind.rollout import verdicts
from trefoilwind.rollout import watch as watch_lib

logger = logging.getLogger(__name__)

ROUND_INTERVAL_S = 0.4
# A node with more counters evaluates moves less often than once per round.
# Aggregators, which receive the most counters and receive them first, evaluate
# in every round.
COUNTERS_PER_ROUND = 200
BRAKE_FANOUT = 4
BRAKE_REPEAT_S = 1.0
# Nodes append an outcome in turn until one of them is read from the log.
APPEND_STAGGER_S = 0.5
MAX_APPEND_RANKS = 20
# Time after the deadline within which a proposed outcome can be confirmed.
PROPOSAL_GRACE_S = 10.0


class RolloutController:
    """Counts call results, merges peers' counters and publishes shares."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._board = environment.blackboard
        self._publish = self._board.shares.claim("rollout")
        self._ledger = evidence.Ledger()
        self._observer = observer_lib.Observer(self._ledger, self._origin)
        self._class_watch = class_watch.ClassWatch(environment)
        self._sender = spread.Sender(self._ledger)
        self._watches: dict[str, watch_lib.MoveWatch] = {}
        self._brakes: dict[str, evidence.Brake] = {}
        self._connected: set[str] = set()
        self._outcomes: list[moves.Outcome] = []
        self._appended: set[tuple[str, str, bool]] = set()
        self._next_round = 0.0
        self._next_judgement = 0.0
        self._next_repeat = 0.0
        self._window = 0
        self._window_ends_at = 0.0
        self._window_calls: collections.Counter[evidence.RouteKey] = (
            collections.Counter()
        )
        self._previous_window_calls: collections.Counter[evidence.RouteKey] = (
            collections.Counter()
        )

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller handles."""
        return (messages.EvidenceUpdate,)

    def observe(self, observation: calls.Observation) -> None:
        """Queue the observation of a call; thread-safe."""
        self._observer.observe(observation)
        self._class_watch.observe(observation)

    def drain_outcomes(self) -> list[moves.Outcome]:
        """Remove and return the outcomes that are to be appended to the log."""
        found = self._outcomes
        self._outcomes = []
        return found

    def handle(
        self, peer: str, message: messages.EvidenceUpdate
    ) -> list[ports.Envelope]:
        """Merge a peer's counters and brakes."""
        self._ledger.merge(
            entry
            for entry in messages.unpack(message)
            if not self._has_ended(entry.key.move_id)
        )
        new_brakes = [b for b in message.brakes if self._set_brake(b)]
        if not new_brakes:
            return []
        self._publish_shares_of_braked()
        return self._flood_brakes(tuple(new_brakes), exclude=peer)

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Return all brakes for a new peer."""
        self._connected.add(peer)
        self._sender.reset_peer(peer)
        if not self._brakes:
            return []
        update = messages.pack((), self._brakes.values())
        return [ports.Envelope(peer, update)]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Mark a peer as disconnected."""
        self._connected.discard(peer)
        self._sender.reset_peer(peer)
        return []

    def tick(self) -> list[ports.Envelope]:
        """Count calls, evaluate moves, publish shares and return evidence."""
        now = self._environment.clock.monotonic()
        self._class_watch.tick()
        self._advance_window(now)
        self._window_calls.update(self._observer.count(now))
        if now < self._next_round:
            return []
        self._next_round = now + ROUND_INTERVAL_S
        if not self._sync_watches():
            return []
        roles = self._roles()
        if roles.is_aggregator:
            self._ledger.aggregate(roles.data_centre)
        known = set(self._brakes)
        if now >= self._next_judgement:
            self._next_judgement = now + self._judge_interval_s(roles)
            self._judge()
        new_brakes = tuple(b for m, b in self._brakes.items() if m not in known)
        envelopes = (
            self._flood_brakes(new_brakes, exclude="") if new_brakes else []
        )
        return envelopes + self._repeat_brakes(now) + self._spread(now, roles)

    def _judge_interval_s(self, roles: spread.Topology) -> float:
        if roles.is_aggregator:
            return ROUND_INTERVAL_S
        return ROUND_INTERVAL_S * (1 + len(self._ledger) // COUNTERS_PER_ROUND)

    def _origin(self) -> observer_lib.CounterOrigin:
        environment = self._environment
        return observer_lib.CounterOrigin(
            environment.settings.data_centre,
            f"{environment.node_id}@{environment.incarnation}",
        )

    def _advance_window(self, now: float) -> None:
        if now < self._window_ends_at:
            return
        self._window += 1
        self._window_ends_at = now + budget.WINDOW_S
        self._previous_window_calls = self._window_calls
        self._window_calls = collections.Counter()

    def _sync_watches(self) -> bool:
        """Match the watches to the open moves; return True if there are any."""
        open_moves = {
            s.move.move_id: s.move
            for s in self._board.state.value.moves
            if s.is_open
        }
        ended = frozenset(set(self._watches) - set(open_moves))
        if ended:
            self._remove_ended(ended)
        wall = self._environment.clock.wall()
        for move_id, move in open_moves.items():
            if move_id not in self._watches:
                self._watches[move_id] = watch_lib.MoveWatch(move, wall)
        return bool(open_moves)

    def _remove_ended(self, ended: frozenset[str]) -> None:
        """Remove the data of ended moves.

        Counters and brakes of moves that this node has not read from the log
        yet are kept.
        """
        for move_id in ended:
            del self._watches[move_id]
            self._brakes.pop(move_id, None)
        self._appended = {key for key in self._appended if key[0] not in ended}
        self._ledger.remove_moves(ended)
        self._observer.remove_moves(ended)
        self._publish_table(())

    def _roles(self) -> spread.Topology:
        return spread.topology(
            self._environment.node_id,
            self._environment.settings.data_centre,
            self._board.members.value,
            self._board.state.value.configuration,
        )

    def _spread(
        self, now: float, roles: spread.Topology
    ) -> list[ports.Envelope]:
        due = self._sender.deliveries(now, spread.links(roles))
        return [
            ports.Envelope(d.peer, messages.pack(d.entries, ())) for d in due
        ]

    def _flood_brakes(
        self, brakes: tuple[evidence.Brake, ...], exclude: str
    ) -> list[ports.Envelope]:
        """Return messages with brakes to aggregators and some other nodes.

        An aggregator also sends them to all nodes of its data centre.
        """
        roles = self._roles()
        receivers = {n for group in roles.aggregators.values() for n in group}
        if roles.is_aggregator:
            receivers.update(roles.nodes)
        others = sorted(self._connected - receivers)
        count = min(BRAKE_FANOUT, len(others))
        receivers.update(self._environment.random.sample(others, count))
        receivers -= {exclude, self._environment.node_id}
        update = messages.pack((), brakes)
        return [ports.Envelope(peer, update) for peer in sorted(receivers)]

    def _repeat_brakes(self, now: float) -> list[ports.Envelope]:
        """Return all brakes for one random peer, in case a message was lost."""
        if not self._brakes or not self._connected or now < self._next_repeat:
            return []
        self._next_repeat = now + BRAKE_REPEAT_S
        peer = self._environment.random.choice(sorted(self._connected))
        return [ports.Envelope(peer, messages.pack((), self._brakes.values()))]

    def _set_brake(self, brake: evidence.Brake) -> bool:
        if brake.move_id in self._brakes or self._has_ended(brake.move_id):
            return False
        self._brakes[brake.move_id] = brake
        self._environment.events.emit(
            events.MOVE_BRAKED,
            subject=brake.move_id,
            peer=brake.peer,
            detail=f"{brake.reason} on {brake.step}",
        )
        logger.info("rollout: move %s is braked", brake.move_id)
        return True

    def _has_ended(self, move_id: str) -> bool:
        return any(
            status.move.move_id == move_id and not status.is_open
            for status in self._board.state.value.moves
        )

    def _judge(self) -> None:
        state = self._board.state.value
        entries: list[shares.RouteShare] = []
        for status in state.moves:
            if status.is_open:
                entries.extend(self._judge_move(state, status))
        self._publish_table(tuple(entries))

    def _judge_move(
        self, state: state_lib.State, status: moves.MoveStatus
    ) -> list[shares.RouteShare]:
        move = status.move
        watch = self._watches[move.move_id]
        wall = self._environment.clock.wall()
        routes = watch_lib.route_classes(state.configuration, move.service)
        cells = self._ledger.view(move.move_id)
        servers = count_new_servers(state, self._board.members.value, move)
        view = watch.update(wall, cells, routes, servers)
        if view.verdict.is_faulty:
            self._brake_on_verdict(move, view.verdict)
        brake = self._brakes.get(move.move_id)
        if not self._awaits_confirmation(status, wall, brake):
            decided = watch.decide(wall, view, brake)
            self._propose(status, decided, wall)
        return [
            self._route_share(move, stage.route, stage.share)
            for stage in view.plan.routes
        ]

    def _brake_on_verdict(
        self, move: moves.Move, verdict: verdicts.Verdict
    ) -> None:
        self._set_brake(
            evidence.Brake(
                move.move_id,
                verdict.reason,
                verdict.step,
                self._environment.node_id,
            )
        )

    def _awaits_confirmation(
        self,
        status: moves.MoveStatus,
        wall: float,
        brake: evidence.Brake | None,
    ) -> bool:
        """Confirm a proposed outcome once it is due.

        Returns True while there is a proposal that can still be confirmed.
        """
        proposal = status.proposal
        if proposal is None or brake is not None:
            return False
        confirm_at = proposal.at + moves.CONFIRMATION_DELAY_S
        if wall >= confirm_at:
            confirmed = dataclasses.replace(proposal, at=wall)
            self._append(confirmed, True, wall - confirm_at)
        return wall < status.move.deadline + PROPOSAL_GRACE_S

    def _propose(
        self,
        status: moves.MoveStatus,
        decided: moves.Outcome | None,
        wall: float,
    ) -> None:
        if decided is not None:
            self._append(decided, False, wall - decided.at)

    def _append(
        self, outcome: moves.Outcome, confirms: bool, waited_s: float
    ) -> None:
        key = (outcome.move_id, outcome.result.value, confirms)
        if key in self._appended:
            return
        if outcome.peer != self._environment.node_id:
            rank = self._append_rank(outcome.move_id)
            if waited_s < rank * APPEND_STAGGER_S:
                return
        self._appended.add(key)
        self._outcomes.append(outcome)

    def _append_rank(self, move_id: str) -> int:
        nodes = tuple(self._board.members.value.by_node)
        ranked = topology_lib.rendezvous(move_id, nodes, MAX_APPEND_RANKS)
        own = self._environment.node_id
        return ranked.index(own) if own in ranked else MAX_APPEND_RANKS

    def _route_share(
        self, move: moves.Move, route: evidence.RouteKey, share: float
    ) -> shares.RouteShare:
        is_stopped = move.move_id in self._stopped_moves()
        return shares.RouteShare(
            move.move_id,
            move.service,
            route.path_prefix,
            route.class_name,
            0.0 if is_stopped else share,
            budget.calls_per_window(share, self._previous_window_calls[route]),
        )

    def _stopped_moves(self) -> frozenset[str]:
        """Return the moves whose version receives no calls from this node."""
        undone = {
            move_id
            for move_id, watch in self._watches.items()
            if watch.decided and watch.decided.result is moves.Result.UNDONE
        }
        return frozenset(undone | set(self._brakes))

    def _publish_shares_of_braked(self) -> None:
        """Stop calls to braked versions before the next evaluation."""
        self._publish_table(self._board.shares.value.entries)

    def _publish_table(self, entries: tuple[shares.RouteShare, ...]) -> None:
        stopped = self._stopped_moves()
        kept = tuple(
            dataclasses.replace(e, share=0.0) if e.move_id in stopped else e
            for e in entries
        )
        table = shares.ShareTable(kept, stopped, self._window)
        self._report_stages(table)
        if table != self._board.shares.value:
            self._publish(table)

    def _report_stages(self, table: shares.ShareTable) -> None:
        before = self._board.shares.value.by_route
        for key, entry in table.by_route.items():
            old = before.get(key)
            if old is None or abs(old.share - entry.share) > 1e-3:
                self._environment.events.emit(
                    events.MOVE_STAGE,
                    subject=entry.move_id,
                    detail=f"{entry.path_prefix} {entry.class_name} "
                    f"{entry.share:.3f}",
                )


def count_new_servers(
    state: state_lib.State, members: directory.Snapshot, move: moves.Move
) -> int:
    """Return how many live backend servers the new arm of a move has."""
    serving = members.serving(move.service, move.version)
    if not move.to_half:
        return len(serving)
    halves = (member.half(state.configuration) for member in serving)
    return sum(1 for half in halves if half == move.to_half)
