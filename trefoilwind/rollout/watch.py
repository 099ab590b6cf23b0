"""Evaluation of one open move: derives shares and outcome from evidence."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history as history_lib
from trefoilwind.rollout import outcomes
from trefoilwind.rollout import stages
from trefoilwind.rollout import verdicts

_BLOCKS_PER_MOVE = 48
_MIN_BLOCK_S = 1.0


@dataclasses.dataclass(frozen=True)
class RouteClass:
    """A route of the move's service and whether its class is idempotent."""

    route: evidence.RouteKey
    idempotent: bool


def route_classes(
    configuration: configuration_lib.Configuration, service: str
) -> tuple[RouteClass, ...]:
    """Return the routes of a service.

    Routes that differ only in their methods are returned as one.
    """
    found = configuration.service(service)
    if found is None:
        return ()
    names = dict.fromkeys(
        evidence.RouteKey(r.path_prefix, r.class_name) for r in found.routes
    )
    return tuple(
        RouteClass(key, configuration.target(key.class_name).idempotent)
        for key in names
    )


class MoveWatch:
    """State that a node keeps for one open move."""

    def __init__(self, move: moves.Move, now: float):
        """Create the state of a move.

        Args:
            move: The move.
            now: Wall time in seconds.
        """
        self._move = move
        length_s = move.deadline - move.started
        block_s = max(_MIN_BLOCK_S, length_s / _BLOCKS_PER_MOVE)
        self._history = history_lib.History(block_s, now)
        self._judge = verdicts.Judge()
        self._final_since: float | None = None
        self._last_cells: Mapping[evidence.Key, evidence.Counter] | None = None
        self._last_servers = 0
        self._verdict = verdicts.Verdict()
        self._decided: moves.Outcome | None = None

    @property
    def move(self) -> moves.Move:
        """The move."""
        return self._move

    @property
    def verdict(self) -> verdicts.Verdict:
        """Latest verdict on the new arm."""
        return self._verdict

    @property
    def decided(self) -> moves.Outcome | None:
        """Outcome that this node decided, or None."""
        return self._decided

    def update(
        self,
        now: float,
        cells: Mapping[evidence.Key, evidence.Counter],
        routes: Sequence[RouteClass],
        servers: int,
    ) -> outcomes.View:
        """Return the view of the move after applying the evidence.

        Args:
            now: Wall time in seconds.
            cells: Highest sums of the move by cell.
            routes: Routes of the service.
            servers: Live backend servers of the new arm.
        """
        if cells != self._last_cells or servers != self._last_servers:
            self._history.update(now, cells)
            self._verdict = self._judge.judge(self._history, servers)
            self._last_cells, self._last_servers = cells, servers
        progress = progress_of(cells, routes)
        plan = stages.derive(self._move, progress, self._verdict, now)
        if not plan.is_final:
            self._final_since = None
        elif self._final_since is None:
            self._final_since = now
        return outcomes.View(
            progress,
            plan,
            self._verdict,
            servers=servers,
            final_since=self._final_since,
        )

    def decide(
        self, now: float, view: outcomes.View, brake: evidence.Brake | None
    ) -> moves.Outcome | None:
        """Return the outcome decided by this node, or None.

        A decision is final, except that a brake overrides it.
        """
        braked = self._decided and self._decided.result is moves.Result.UNDONE
        if self._decided is None or (brake and not braked):
            braked_view = dataclasses.replace(view, brake=brake)
            self._decided = outcomes.decide(self._move, braked_view, now)
        return self._decided


def progress_of(
    cells: Mapping[evidence.Key, evidence.Counter],
    routes: Sequence[RouteClass],
) -> tuple[stages.Progress, ...]:
    """Return the numbers of calls and failures, one entry per route."""
    sums: dict[tuple[evidence.RouteKey, evidence.Arm], list[int]] = {}
    for key, counter in cells.items():
        counts = sums.setdefault((key.route, key.arm), [0, 0])
        counts[0] += counter.calls
        counts[1] += counter.failures
    found = []
    for entry in routes:
        new = sums.get((entry.route, evidence.Arm.NEW), (0, 0))
        old = sums.get((entry.route, evidence.Arm.OLD), (0, 0))
        found.append(stages.Progress(entry.route, entry.idempotent, *new, *old))
    return tuple(found)
