"""What an entry node believes of each backend server, and its pick."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses

from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.model import members as members_lib
from trefoilwind.routing import failures
from trefoilwind.routing import placement
from trefoilwind.routing import service_time

# Seconds assumed for a call before any was measured.
INITIAL_SERVICE_S = 0.08
# Share of what was told last in the usual time of calls.
SAMPLE_WEIGHT = 0.1
# Seconds for which a node that refused without load is not asked again.
REFUSAL_PAUSE_S = 0.25
# Seconds for which a load that a node told is believed to stand still.
LOAD_LIFETIME_S = 0.5

# Reasons that tell nothing lasting of the node that gave them.
_PASSING_REASONS = frozenset(
    {
        errors.Reason.OVERLOADED,
        errors.Reason.DEADLINE_EXCEEDED,
        errors.Reason.CANCELLED,
        errors.Reason.BACKEND_FAILED,
    }
)


@dataclasses.dataclass(slots=True)
class _Belief:
    """State of one backend server, as its answers told.

    Attributes:
        in_flight: Own calls there.
        told: Calls there by its last answer; -1 if not told.
        told_in_flight: Own calls there at that time.
        told_at: Monotonic time in seconds of that answer.
        time: Average time of its calls, as it was told.
        paused_until: Monotonic time in seconds until which it is not asked.
        own_failures: Own calls that failed there.
        told_failures: Failures there, as the node beside it told.
    """

    in_flight: int = 0
    told: int = -1
    told_in_flight: int = 0
    told_at: float = 0.0
    time: service_time.ReportedTime = service_time.ReportedTime()
    paused_until: float = 0.0
    own_failures: failures.FailureShare = failures.FailureShare()
    told_failures: failures.FailureShare = failures.FailureShare()

    def failing(self, now: float) -> float:
        """Return the share of calls that are likely to fail there now."""
        return max(
            self.own_failures.current(now), self.told_failures.current(now)
        )

    def occupied(self, now: float) -> float:
        """Return the calls that are likely there now."""
        if self.told < 0 or now - self.told_at > LOAD_LIFETIME_S:
            return self.in_flight
        change = self.in_flight - self.told_in_flight
        return max(self.in_flight, self.told + change)


class Picker:
    """Chooses backend servers for calls."""

    def __init__(
        self,
        own: members_lib.Member,
        board: board_lib.MeshBoard,
        is_reachable: Callable[[str], bool],
        own_occupied: Callable[[], int],
        draw: Callable[[], float],
    ):
        self._own = own
        self._board = board
        self._is_reachable = is_reachable
        self._own_occupied = own_occupied
        self._draw = draw
        self._beliefs: dict[str, _Belief] = {}
        self._usual_s = INITIAL_SERVICE_S

    def choose_version(self, service: str) -> str:
        """Return the version for a call; empty if any may run it."""
        plan = self._board.versions.value.by_service.get(service)
        if plan is None:
            return ""
        if plan.candidate and self._draw() < plan.share:
            return plan.candidate
        serving = self._board.members.value.serving
        if serving(service, plan.stable):
            return plan.stable
        return self._substitute(service, plan)

    def pick(
        self,
        call: calls.Call,
        tried: Container[str],
        now: float,
        was_refused: bool = False,
    ) -> str:
        """Return the node whose backend server is to run a call, or "".

        Args:
            call: The call.
            tried: Nodes that were asked before.
            now: Event loop time in seconds.
            was_refused: True if the last of them was too full.
        """

        def is_open(member: members_lib.Member) -> bool:
            node_id = member.node_id
            return node_id not in tried and self._is_open(node_id, now)

        groups: dict[placement.Distance, list[members_lib.Member]] = {}
        for member in self._serving(call.service, call.version):
            groups.setdefault(self._distance(member), []).append(member)
        candidates = [
            self._candidate(member, now)
            for group in groups.values()
            for member in placement.sample(group, is_open, self._draw)
        ]
        choose = placement.choose
        if was_refused:
            choose = placement.choose_after_refusal
        chosen = choose(candidates, len(call.body))
        return chosen.node_id if chosen else ""

    def started(self, node_id: str) -> None:
        """Count an attempt that starts."""
        self._belief(node_id).in_flight += 1

    def ended(
        self, node_id: str, outcome: calls.Outcome | None, now: float
    ) -> None:
        """Take the end of an attempt; None if it was cancelled."""
        belief = self._belief(node_id)
        belief.in_flight -= 1
        if outcome is None:
            return
        if outcome.occupied >= 0:
            belief.told = outcome.occupied
            belief.told_in_flight = belief.in_flight
            belief.told_at = now
            told = failures.FailureShare(outcome.failing, now)
            belief.told_failures = told
        if outcome.mean_s >= 0:
            belief.time = service_time.ReportedTime(outcome.mean_s, now)
            difference = outcome.mean_s - self._usual_s
            self._usual_s += SAMPLE_WEIGHT * difference
        result = outcome.result
        has_failed = calls.was_shed(result) or calls.has_failed(result)
        if has_failed is not None:
            belief.own_failures = belief.own_failures.with_result(
                has_failed, now
            )
        if isinstance(result, errors.CallError) and (
            result.reason not in _PASSING_REASONS
        ):
            belief.paused_until = now + REFUSAL_PAUSE_S

    def forget(self, is_known: Callable[[str], bool]) -> None:
        """Drop what is kept of nodes that are gone."""
        for node_id, belief in list(self._beliefs.items()):
            if not belief.in_flight and not is_known(node_id):
                del self._beliefs[node_id]

    def _substitute(self, service: str, plan: board_lib.VersionPlan) -> str:
        """Return a version to use while the stable one has no server."""
        versions = [
            version
            for name, version in self._board.members.value.by_version
            if name == service and version not in plan.banned
        ]
        others = [v for v in versions if v != plan.candidate]
        return next(iter(others or versions), plan.stable)

    def _belief(self, node_id: str) -> _Belief:
        return self._beliefs.setdefault(node_id, _Belief())

    def _is_open(self, node_id: str, now: float) -> bool:
        belief = self._beliefs.get(node_id)
        if belief is not None and now < belief.paused_until:
            return False
        return node_id == self._own.node_id or self._is_reachable(node_id)

    def _serving(
        self, service: str, version: str
    ) -> tuple[members_lib.Member, ...]:
        members = self._board.members.value
        if version:
            return members.serving(service, version)
        plan = self._board.versions.value.by_service.get(service)
        banned = plan.banned if plan else frozenset()
        return tuple(
            member
            for (name, each), group in members.by_version.items()
            if name == service and each not in banned
            for member in group
        )

    def _candidate(
        self, member: members_lib.Member, now: float
    ) -> placement.Candidate:
        belief = self._belief(member.node_id)
        is_own = member.node_id == self._own.node_id
        return placement.Candidate(
            member.node_id,
            self._distance(member),
            member.slots,
            self._own_occupied() if is_own else belief.occupied(now),
            belief.time.estimate_s(self._usual_s, now),
            belief.failing(now),
        )

    def _distance(self, member: members_lib.Member) -> placement.Distance:
        if member.node_id == self._own.node_id:
            return placement.Distance.OWN
        if member.data_centre == self._own.data_centre:
            return placement.Distance.DATA_CENTRE
        if member.region == self._own.region:
            return placement.Distance.REGION
        return placement.Distance.OTHER_REGION
