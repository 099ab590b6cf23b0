"""Selection of backend servers from the load state that they report."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Sequence
import copy
import dataclasses
import math

from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import peer_selection
from trefoilwind.membership import directory
from trefoilwind.model import members as members_lib
from trefoilwind.routing import answer_sizes
from trefoilwind.routing import cold_start
from trefoilwind.routing import failures
from trefoilwind.routing import kind_times
from trefoilwind.routing import path_latency
from trefoilwind.routing import placement
from trefoilwind.routing import regions
from trefoilwind.routing import service_time

# Seconds assumed for a call before the first measurement.
INITIAL_SERVICE_S = 0.08
# Weight of the latest reported mean in the typical time of calls.
SAMPLE_WEIGHT = 0.1
# Seconds for which a node is not used after it refused a call for a reason
# other than load.
REFUSAL_PAUSE_S = 0.25
# Seconds after which a reported load is no longer used.
LOAD_LIFETIME_S = 0.5

# Reasons that do not predict the result of the next call to the same node.
_TRANSIENT_REASONS = frozenset(
    {
        errors.Reason.OVERLOADED,
        errors.Reason.RATE_LIMITED,
        errors.Reason.DEADLINE_EXCEEDED,
        errors.Reason.CANCELLED,
        errors.Reason.BACKEND_FAILED,
        errors.Reason.REGION_NOT_ALLOWED,
    }
)


@dataclasses.dataclass(slots=True)
class _BackendState:
    """State of one backend server, from own attempts and its node's reports.

    Attributes:
        in_flight: Calls of this entry node in flight there.
        reported_occupied: Calls running or queued there according to the last
            report; -1 if none.
        in_flight_at_report: Value of `in_flight` at the last report.
        reported_at: Monotonic time in seconds of the last report.
        slowness: Reported times of its calls, relative to typical ones.
        paused_until: Monotonic time in seconds until which it is not used.
        own_failures: Failure share of the own calls.
        reported_failures: Failure share reported by its node.
    """

    in_flight: int = 0
    reported_occupied: int = -1
    in_flight_at_report: int = 0
    reported_at: float = 0.0
    slowness: service_time.ReportedTime = service_time.ReportedTime()
    paused_until: float = 0.0
    own_failures: failures.FailureShare = failures.FailureShare()
    reported_failures: failures.FailureShare = failures.FailureShare()

    def failure_share(self, now: float) -> float:
        """Return the estimated share of calls that fail there."""
        return max(
            self.own_failures.current(now), self.reported_failures.current(now)
        )

    def estimated_occupied(self, now: float) -> float:
        """Return the estimated number of calls running or queued there."""
        if (
            self.reported_occupied < 0
            or now - self.reported_at > LOAD_LIFETIME_S
        ):
            return self.in_flight
        change = self.in_flight - self.in_flight_at_report
        return max(self.in_flight, self.reported_occupied + change)


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Backend servers that were compared for one attempt.

    Attributes:
        chosen: The one that is to run the call; None if there is none.
        candidates: Those compared, nearest first.
        transfer_bytes: Size of the body and expected answer in bytes.
    """

    chosen: placement.Candidate | None
    candidates: Sequence[placement.Candidate]
    transfer_bytes: int


class Picker:
    """Chooses versions and backend servers for calls."""

    def __init__(
        self,
        own: members_lib.Member,
        board: board_lib.MeshBoard,
        is_reachable: Callable[[str], bool],
        own_occupied: Callable[[], int],
        draw: Callable[[], float],
        cold_share: Callable[
            [members_lib.Member, float, float], float
        ] = lambda member, service_s, now: 1.0,
        round_trip_s: Callable[[str], float] = lambda node_id: -1.0,
        limits_cold: Callable[[str], bool] = lambda service: True,
    ):
        """Initialize without knowledge of any backend server.

        Args:
            own: Member record of this node.
            board: Board with members and versions.
            is_reachable: Returns whether calls may be sent to a node.
            own_occupied: Returns the load of the own backend server.
            draw: Returns a random number from 0 to 1.
            cold_share: Returns the share of its usual calls that a member is
                considered for, given the service time and the time.
            round_trip_s: Returns the round trip to a node in seconds; negative
                if unknown.
            limits_cold: Returns whether cold servers of a service have a limit.
        """
        self._own = own
        self._board = board
        self._is_reachable = is_reachable
        self._own_occupied = own_occupied
        self._draw = draw
        self._cold_share = cold_share
        self._limits_cold = limits_cold
        self._round_trip_s = round_trip_s
        self._answer_sizes = answer_sizes.AnswerSizes()
        self._states: dict[str, _BackendState] = {}
        self._typical_s = INITIAL_SERVICE_S
        self._typical_times = kind_times.TypicalTimes()
        # Backend servers of the members, by node id, and the snapshot from
        # which they were noted.
        self._appearances: dict[str, cold_start.Appearance] = {}
        self._noted_from: directory.Snapshot | None = None
        # Snapshot of the members from which the selection was made.
        self._selected_from: directory.Snapshot | None = None
        self._selection = peer_selection.Selection({}, {})

    @property
    def selection(self) -> peer_selection.Selection:
        """Nodes to which calls may be sent and streams are kept."""
        members = self._board.members.value
        if members is not self._selected_from:
            self._selected_from = members
            self._selection = peer_selection.select(members, self._own)
        return self._selection

    def choose_version(
        self, service: str, allowed: regions.Regions | None = None
    ) -> str:
        """Return the version for a call; empty if any version may run it.

        Args:
            service: Service of the call.
            allowed: Regions that may run it; None for all.
        """
        plan = self._board.versions.value.by_service.get(service)
        if plan is None:
            return ""
        if (
            plan.candidate
            and self._draw() < plan.share
            and not self._is_excluded(service, plan.candidate, allowed)
        ):
            return plan.candidate
        serving = self._board.members.value.serving
        if serving(service, plan.stable) and not self._is_excluded(
            service, plan.stable, allowed
        ):
            return plan.stable
        return self._fallback_version(service, plan, allowed)

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
            tried: Nodes to which the call has been sent before.
            now: Event loop time in seconds.
            was_refused: True if the last of them refused it for overload.
        """
        chosen = self.compare(
            call, tried, now, was_refused, len(call.body)
        ).chosen
        return "" if chosen is None else chosen.node_id

    def compare(
        self,
        call: calls.Call,
        tried: Container[str],
        now: float,
        was_refused: bool,
        body_bytes: int,
    ) -> Comparison:
        """Return the backend servers that are compared for a call.

        Args:
            call: The call.
            tried: Nodes to which the call has been sent before.
            now: Event loop time in seconds.
            was_refused: True if the last of them refused it for overload.
            body_bytes: Size of its body.
        """
        self._note_appearances(now)

        evacuations = self._board.evacuations.value
        held_back = regions.held_back(evacuations, now, self._draw)

        is_open_to_all = (
            call.allowed_regions is None
            and not evacuations.evacuated
            and not held_back
        )

        def is_available(member: members_lib.Member) -> bool:
            node_id = member.node_id
            if node_id in tried or not self._is_available(node_id, now):
                return False
            return is_open_to_all or (
                regions.allows(member, call.allowed_regions, evacuations)
                and member.data_centre not in held_back
            )

        def is_warm(member: members_lib.Member) -> bool:
            share = self._cold_share(member, self._typical_s, now)
            is_drawn = share >= 1.0 or self._draw() < share
            return is_drawn and is_available(member)

        groups = list(self._groups(call.service, call.version))
        kind = call.route_name
        choose = placement.choose
        if was_refused:
            choose = placement.choose_after_refusal
        size = body_bytes
        size += self._answer_sizes.expected_bytes(call.route_name)
        while True:
            candidates = []
            if self._limits_cold(call.service):
                candidates = self._sampled(groups, is_warm, kind, now)
            if not candidates:
                candidates = self._sampled(groups, is_available, kind, now)
            chosen = choose(candidates, size)
            if chosen is not None or not held_back:
                return Comparison(chosen, candidates, size)
            held_back = frozenset()

    def copy(self, draw: Callable[[], float]) -> "Picker":
        """Return a picker for previews; its choices change no state here.

        Args:
            draw: Returns a random number from 0 to 1.
        """
        copied = copy.copy(self)
        copied._draw = draw
        copied._states = dict(self._states)
        return copied

    def ages_s(
        self, node_id: str, now: float
    ) -> tuple[float | None, float | None]:
        """Return the ages of the reported load and service time in seconds.

        Args:
            node_id: Node beside the backend server.
            now: Event loop time in seconds.

        Returns:
            The two ages; None for what was never reported.
        """
        state = self._states.get(node_id, _BackendState())
        has_load = state.reported_occupied >= 0
        has_time = state.slowness.seconds >= 0.0
        return (
            now - state.reported_at if has_load else None,
            now - state.slowness.reported_at if has_time else None,
        )

    def _sampled(
        self,
        groups: Sequence[
            tuple[placement.Distance, Sequence[members_lib.Member]]
        ],
        is_eligible: Callable[[members_lib.Member], bool],
        kind: str,
        now: float,
    ) -> list[placement.Candidate]:
        return [
            self._candidate(member, distance, kind, now)
            for distance, group in groups
            for member in placement.sample(group, is_eligible, self._draw)
        ]

    def _note_appearances(self, now: float) -> None:
        """Note which backend servers are new since the previous call."""
        members = self._board.members.value
        if members is self._noted_from:
            return
        seen_at = -math.inf if self._noted_from is None else now
        self._noted_from = members
        known = self._appearances
        self._appearances = {}
        for member in members.members:
            appearance = known.get(member.node_id)
            if appearance is None or appearance.process != member.process:
                appearance = cold_start.Appearance(member.process, seen_at)
            self._appearances[member.node_id] = appearance

    def started(self, node_id: str) -> None:
        """Record the start of an attempt."""
        self._state(node_id).in_flight += 1

    def ended(
        self,
        node_id: str,
        outcome: calls.Outcome | None,
        now: float,
        route_name: str = "",
    ) -> None:
        """Record the end of an attempt.

        Args:
            node_id: Node to which the call was sent.
            outcome: Outcome of the attempt; None if it was cancelled.
            now: Event loop time in seconds.
            route_name: Name of the call's route; empty if unknown.
        """
        state = self._state(node_id)
        state.in_flight -= 1
        if outcome is None:
            return
        if outcome.occupied >= 0:
            state.reported_occupied = outcome.occupied
            state.in_flight_at_report = state.in_flight
            state.reported_at = now
            reported = failures.FailureShare(outcome.failure_share, now)
            state.reported_failures = reported
        if outcome.mean_s >= 0:
            difference = outcome.mean_s - self._typical_s
            self._typical_s += SAMPLE_WEIGHT * difference
            if route_name:
                self._typical_times.record(route_name, outcome.mean_s)
            state.slowness = kind_times.slowness(
                state.slowness,
                outcome.mean_s,
                self._typical_times.seconds(route_name, self._typical_s),
                now,
            )
        result = outcome.result
        has_failed = calls.was_shed(result) or calls.has_failed(result)
        if has_failed is False and route_name:
            self._answer_sizes.record(route_name, len(result.body))
        if has_failed is not None:
            state.own_failures = state.own_failures.with_result(has_failed, now)
        if isinstance(result, errors.CallError) and (
            result.reason not in _TRANSIENT_REASONS
        ):
            state.paused_until = now + REFUSAL_PAUSE_S

    def evict(self, is_known: Callable[[str], bool]) -> None:
        """Remove the state of nodes that are no longer members."""
        for node_id, state in list(self._states.items()):
            if not state.in_flight and not is_known(node_id):
                del self._states[node_id]

    def _is_excluded(
        self, service: str, version: str, allowed: regions.Regions | None
    ) -> bool:
        """Return True if a version has members, but none may run a call."""
        evacuations = self._board.evacuations.value
        if allowed is None and not evacuations.evacuated:
            return False
        group = self._board.members.value.serving(service, version)
        return bool(group) and not any(
            regions.allows(member, allowed, evacuations) for member in group
        )

    def _fallback_version(
        self,
        service: str,
        plan: board_lib.VersionPlan,
        allowed: regions.Regions | None,
    ) -> str:
        """Return a version to use while the stable one has no usable member."""
        versions = [
            version
            for name, version in self._board.members.value.by_version
            if name == service
            and version not in plan.banned
            and not self._is_excluded(service, version, allowed)
        ]
        others = [v for v in versions if v != plan.candidate]
        return next(iter(others or versions), plan.stable)

    def _state(self, node_id: str) -> _BackendState:
        return self._states.setdefault(node_id, _BackendState())

    def _is_available(self, node_id: str, now: float) -> bool:
        state = self._states.get(node_id)
        if state is not None and now < state.paused_until:
            return False
        return node_id == self._own.node_id or self._is_reachable(node_id)

    def _groups(
        self, service: str, version: str
    ) -> Iterator[tuple[placement.Distance, Sequence[members_lib.Member]]]:
        """Yield the candidates for a call by distance, nearest first."""
        candidates = self.selection.candidates
        if version:
            versions = [version]
        else:
            plan = self._board.versions.value.by_service.get(service)
            banned = plan.banned if plan else frozenset()
            versions = [
                each
                for name, each in candidates
                if name == service and each not in banned
            ]
        found = [candidates.get((service, each), {}) for each in versions]
        for distance in placement.Distance:
            group = [
                member for each in found for member in each.get(distance, ())
            ]
            if group:
                yield distance, group

    def _candidate(
        self,
        member: members_lib.Member,
        distance: placement.Distance,
        kind: str,
        now: float,
    ) -> placement.Candidate:
        state = self._state(member.node_id)
        slowness = state.slowness.estimate_s(
            cold_start.expected_time_s(
                1.0, self._appearances[member.node_id].seen_at, now
            ),
            now,
        )
        typical_s = self._typical_times.seconds(kind, self._typical_s)
        is_own = member.node_id == self._own.node_id
        return placement.Candidate(
            member.node_id,
            distance,
            member.slots,
            self._own_occupied() if is_own else state.estimated_occupied(now),
            typical_s * slowness,
            state.failure_share(now),
            self._typical_s * slowness,
            path_latency.excess_s(distance, self._round_trip_s(member.node_id)),
        )
