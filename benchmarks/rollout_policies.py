"""Policies compared by the decision benchmark, one object per region."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from trefoilwind import codec
from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import messages
from trefoilwind.rollout import outcomes
from trefoilwind.rollout import verdicts
from trefoilwind.rollout import watch as watch_lib


@dataclasses.dataclass(frozen=True)
class Decision:
    """Decision of a region's nodes for the next step.

    Attributes:
        shares: Share of calls for the new version, 0 to 1, by route.
        outcome: Outcome decided by the region, or None.
    """

    shares: Mapping[evidence.RouteKey, float]
    outcome: moves.Outcome | None


class Policy(Protocol):
    """Decides on a move for one region."""

    def add(self, key: evidence.Key, counter: evidence.Counter) -> None:
        """Count calls of the region."""

    def decide(self, now: float) -> Decision:
        """Return the shares and the outcome."""

    def message(self) -> bytes:
        """Return the updates for the other region since the last message."""

    def receive(self, data: bytes) -> None:
        """Merge a message of the other region."""


class SequentialPolicy:
    """Policy of the product, with its ledger, messages, watch and outcomes."""

    def __init__(
        self,
        move: moves.Move,
        routes: Sequence[watch_lib.RouteClass],
        servers: int,
        region: str,
    ):
        self._move = move
        self._routes = routes
        self._servers = servers
        self._region = region
        self._ledger = evidence.Ledger()
        self._watch = watch_lib.MoveWatch(move, move.started)
        self._brake: evidence.Brake | None = None
        self._sent = 0

    def add(self, key: evidence.Key, counter: evidence.Counter) -> None:
        """Count calls of the region."""
        self._ledger.add(key, counter)

    def decide(self, now: float) -> Decision:
        """Return the shares and the outcome."""
        cells = self._ledger.view(self._move.move_id)
        view = self._watch.update(now, cells, self._routes, self._servers)
        if view.verdict.is_faulty and self._brake is None:
            self._brake = evidence.Brake(
                self._move.move_id,
                view.verdict.reason,
                view.verdict.step,
                self._region,
            )
        outcome = self._watch.decide(now, view, self._brake)
        stopped = outcome and outcome.result is moves.Result.UNDONE
        shares = {
            stage.route: 0.0 if stopped else stage.share
            for stage in view.plan.routes
        }
        return Decision(shares, outcome)

    def message(self) -> bytes:
        """Return the updates for the other region since the last message."""
        for data_centre in sorted(
            {e.key.data_centre for e in self._ledger.changed_since(self._sent)}
        ):
            if data_centre.startswith(self._region):
                self._ledger.aggregate(data_centre)
        sums = [
            entry
            for entry in self._ledger.changed_since(self._sent)
            if not entry.key.entry
            and entry.key.data_centre.startswith(self._region)
        ]
        self._sent = self._ledger.revision
        brakes = (self._brake,) if self._brake else ()
        if not sums and not brakes:
            return b""
        return codec.encode(messages.pack(sums, brakes))

    def receive(self, data: bytes) -> None:
        """Merge a message of the other region."""
        update = codec.decode(data, "bench")
        self._ledger.merge(messages.unpack(update))
        for brake in update.brakes:
            self._brake = self._brake or brake


# (fraction of the move's length, share of the baselines from then on).
_SCHEDULE = ((0.0, 0.02), (0.2, 0.06), (0.35, 0.2), (0.5, 0.5), (0.65, 0.9))
_DONE_FRACTION = 0.85
_ERROR_RATE_THRESHOLD = 0.02
_MIN_CALLS_FOR_THRESHOLD = 50


class SchedulePolicy:
    """Baseline with fixed steps and optionally a limit on the error rate."""

    def __init__(
        self,
        move: moves.Move,
        routes: Sequence[watch_lib.RouteClass],
        has_threshold: bool,
    ):
        self._move = move
        self._routes = routes
        self._has_threshold = has_threshold
        self._calls = dict.fromkeys(evidence.Arm, 0)
        self._failures = dict.fromkeys(evidence.Arm, 0)
        self._outcome: moves.Outcome | None = None

    def add(self, key: evidence.Key, counter: evidence.Counter) -> None:
        """Count calls of the region."""
        self._calls[key.arm] += counter.calls
        self._failures[key.arm] += counter.failures

    def decide(self, now: float) -> Decision:
        """Return the shares and the outcome."""
        length_s = self._move.deadline - self._move.started
        fraction = (now - self._move.started) / length_s
        if self._outcome is None and self._is_over_threshold():
            self._outcome = self._end(moves.Result.UNDONE, now)
        if self._outcome is None and fraction >= _DONE_FRACTION:
            self._outcome = self._end(moves.Result.DONE, now)
        undone = self._outcome and self._outcome.result is moves.Result.UNDONE
        share = max(s for begins_at, s in _SCHEDULE if fraction >= begins_at)
        share = 0.0 if undone else share
        return Decision({r.route: share for r in self._routes}, self._outcome)

    def message(self) -> bytes:
        """Return no data, as each region uses only its own calls."""
        return b""

    def receive(self, data: bytes) -> None:
        """Ignore the message."""

    def _is_over_threshold(self) -> bool:
        if not self._has_threshold:
            return False
        calls = self._calls[evidence.Arm.NEW]
        if calls < _MIN_CALLS_FOR_THRESHOLD:
            return False
        return self._failures[evidence.Arm.NEW] > _ERROR_RATE_THRESHOLD * calls

    def _end(self, result: moves.Result, now: float) -> moves.Outcome:
        reason = (
            verdicts.FAILURES
            if result is moves.Result.UNDONE
            else outcomes.Reason.FULL_SHARE.value
        )
        return moves.Outcome(self._move.move_id, result, reason, at=now)
