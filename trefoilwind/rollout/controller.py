"""Controller that judges open moves and derives the shares."""

import collections
import dataclasses
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import ports
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib
from trefoilwind.proxy import calls
from trefoilwind.rollout import evidence
from trefoilwind.rollout import shares

logger = logging.getLogger(__name__)

STAGES = (0.05, 0.25, 0.5, 1.0)
CALLS_PER_STAGE = 10
FAILURES_TO_BRAKE = 3
EXTRA_FAILURE_SHARE = 0.2
FANOUT = 3
SPREAD_INTERVAL_S = 0.5


class RolloutController:
    """Counts what calls saw, merges peers' counts, sets shares."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._board = environment.blackboard
        self._publish = self._board.shares.claim("rollout")
        self._observations: collections.deque[calls.Observation] = (
            collections.deque()
        )
        self._counters: dict[evidence.Key, evidence.Counter] = {}
        self._brakes: dict[str, evidence.Brake] = {}
        self._connected: set[str] = set()
        self._next_spread = 0.0
        self._outcomes: list[moves.Outcome] = []
        self._decided: set[str] = set()

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""
        return (evidence.EvidenceUpdate,)

    def observe(self, observation: calls.Observation) -> None:
        """Take what a call saw; may be called by any thread."""
        if observation.move_id and not observation.shed:
            self._observations.append(observation)

    def take_outcomes(self) -> list[moves.Outcome]:
        """Return the outcomes that this node should append to the log."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def handle(
        self, peer: str, message: evidence.EvidenceUpdate
    ) -> list[ports.Envelope]:
        """Merge a peer's counters and brakes."""
        changed = [e for e in message.entries if self._merge(e)]
        braked = [b for b in message.brakes if self._set_brake(b)]
        if not changed and not braked:
            return []
        update = evidence.EvidenceUpdate(tuple(changed), tuple(braked))
        return self._to_some(update, exclude=peer)

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Send all evidence to a new peer."""
        self._connected.add(peer)
        return [ports.Envelope(peer, self._update())]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Forget a peer."""
        self._connected.discard(peer)
        return []

    def tick(self) -> list[ports.Envelope]:
        """Count, judge, publish shares and spread evidence."""
        self._count()
        brakes_before = len(self._brakes)
        self._judge()
        now = self._environment.clock.monotonic()
        urgent = len(self._brakes) > brakes_before
        if not urgent and now < self._next_spread:
            return []
        self._next_spread = now + SPREAD_INTERVAL_S
        if not self._counters and not self._brakes:
            return []
        return self._to_some(self._update(), exclude="")

    def _update(self) -> evidence.EvidenceUpdate:
        entries = (evidence.Entry(k, c) for k, c in self._counters.items())
        return evidence.EvidenceUpdate(
            tuple(entries), tuple(self._brakes.values())
        )

    def _to_some(self, message: Any, exclude: str) -> list[ports.Envelope]:
        peers = sorted(self._connected - {exclude})
        chosen = self._environment.random.sample(peers, min(FANOUT, len(peers)))
        return [ports.Envelope(peer, message) for peer in chosen]

    def _count(self) -> None:
        while self._observations:
            seen = self._observations.popleft()
            key = evidence.Key(
                seen.move_id,
                seen.path_prefix,
                seen.version,
                self._environment.settings.data_centre,
                self._environment.node_id,
            )
            old = self._counters.get(key, evidence.Counter())
            self._counters[key] = evidence.Counter(
                old.calls + 1, old.failures + int(seen.failed)
            )

    def _merge(self, entry: evidence.Entry) -> bool:
        known = self._counters.get(entry.key)
        merged = known.merge(entry.counter) if known else entry.counter
        self._counters[entry.key] = merged
        return merged != known

    def _set_brake(self, brake: evidence.Brake) -> bool:
        if brake.move_id in self._brakes:
            return False
        self._brakes[brake.move_id] = brake
        self._environment.events.emit(
            events.MOVE_BRAKED,
            subject=brake.move_id,
            peer=brake.peer,
            detail=f"{brake.reason} on {brake.step}",
        )
        return True

    def _judge(self) -> None:
        state = self._board.state.value
        entries: list[shares.RouteShare] = []
        for status in state.moves:
            if status.is_open:
                entries.extend(self._judge_move(state, status.move))
        table = shares.ShareTable(tuple(entries), frozenset(self._brakes))
        if table != self._board.shares.value:
            self._publish(table)

    def _judge_move(
        self, state: state_lib.State, move: moves.Move
    ) -> list[shares.RouteShare]:
        service = state.configuration.service(move.service)
        entries = [
            self._judge_route(move, route.path_prefix)
            for route in service.routes
        ]
        self._decide(move, entries)
        return entries

    def _judge_route(
        self, move: moves.Move, path_prefix: str
    ) -> shares.RouteShare:
        new = self._total(move, path_prefix, move.version)
        old = self._total(move, path_prefix, move.from_version)
        old_share = old.failures / old.calls if old.calls else 0.0
        new_share = new.failures / new.calls if new.calls else 0.0
        if (
            new.failures >= FAILURES_TO_BRAKE
            and new_share > old_share + EXTRA_FAILURE_SHARE
        ):
            brake = evidence.Brake(
                move.move_id, "failures", path_prefix, self._environment.node_id
            )
            self._set_brake(brake)
        stage = min(new.calls // CALLS_PER_STAGE, len(STAGES) - 1)
        return shares.RouteShare(
            move.move_id, move.service, path_prefix, STAGES[stage]
        )

    def _total(
        self, move: moves.Move, path_prefix: str, version: str
    ) -> evidence.Counter:
        chosen = [
            counter
            for key, counter in self._counters.items()
            if key.move_id == move.move_id
            and key.path_prefix == path_prefix
            and key.version == version
        ]
        return evidence.Counter(
            sum(c.calls for c in chosen), sum(c.failures for c in chosen)
        )

    def _decide(
        self, move: moves.Move, entries: list[shares.RouteShare]
    ) -> None:
        if move.move_id in self._decided:
            return
        outcome = self._outcome(move, entries)
        if outcome is not None:
            self._decided.add(move.move_id)
            self._outcomes.append(outcome)

    def _outcome(
        self, move: moves.Move, entries: list[shares.RouteShare]
    ) -> moves.Outcome | None:
        now = self._environment.clock.wall()
        undone = moves.Outcome(
            move.move_id, moves.Result.UNDONE, "deadline", "", "", now
        )
        brake = self._brakes.get(move.move_id)
        if brake is not None:
            return dataclasses.replace(
                undone, reason=brake.reason, step=brake.step, peer=brake.peer
            )
        if all(self._is_complete(move, entry) for entry in entries):
            return dataclasses.replace(
                undone, result=moves.Result.DONE, reason="full-share"
            )
        return undone if now >= move.deadline else None

    def _is_complete(self, move: moves.Move, entry: shares.RouteShare) -> bool:
        new = self._total(move, entry.path_prefix, move.version)
        return new.calls >= CALLS_PER_STAGE * len(STAGES)
