"""One run of the decision benchmark: fake backend servers on a virtual clock.

Time advances in steps of one second. Each region has one policy object, which
represents its nodes: it receives a call's result one step after the call, and
the other region's message one step after that was created. Delays are thus
longer than with the product's links, which send every half second. Counters
are those of the product.

The reference test, which determines when a fault is detectable, is the
sequential comparison with a false positive probability of at most 0.001, over
the calls of both regions as they end, without delay. Like the product it
excludes the worst backend server, since a fault of a single VM is not a fault
of the version.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random

from benchmarks import rollout_catalogue as catalogue
from benchmarks import rollout_policies as policies
from benchmarks import rollout_sampling as sampling
from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history
from trefoilwind.rollout import observer
from trefoilwind.rollout import verdicts
from trefoilwind.rollout import watch as watch_lib

STEP_S = 1.0
DATA_CENTRES = ("east-a", "east-b", "west-a", "west-b")
REGIONS = ("east", "west")
_SHED_FRACTION = 0.2
_POISON_CRASHES = 2
_REFERENCE_BLOCK_S = 6.0
REFERENCE_LOG_EVIDENCE = -math.log(0.001)

MakePolicy = Callable[
    [moves.Move, Sequence[watch_lib.RouteClass], int, str], policies.Policy
]


@dataclasses.dataclass
class Result:
    """Results of one run.

    Attributes:
        done_at: Seconds until the done record; -1 without one.
        undone_at: Seconds until no region sends calls to the new version; -1
            if that does not happen.
        reason: Public name of the outcome's cause.
        detectable_at: Seconds until the reference test detects the fault; -1
            if it does not.
        calls: Calls until the end of the move.
        planned_calls: Expected calls of the service until the deadline.
        new_calls: Calls run by the new version.
        faulty_calls: Faulty calls of the new version: its failures if their
            probability exceeds the base rate, and the slow calls of a bad
            version.
        calls_after_detectable: Calls run by it after the fault is detectable.
        late_calls: Calls run by it more than 3 s after that.
        region_bytes: Bytes of evidence between the regions.
        length_s: Seconds from the start to the deadline.
    """

    done_at: float = -1.0
    undone_at: float = -1.0
    reason: str = ""
    detectable_at: float = -1.0
    calls: int = 0
    planned_calls: float = 0.0
    new_calls: int = 0
    faulty_calls: int = 0
    calls_after_detectable: int = 0
    late_calls: int = 0
    region_bytes: int = 0
    length_s: float = 0.0


_LATE_S = 3.0


class World:
    """Simulated service and regions of one run."""

    def __init__(
        self,
        case: catalogue.Case,
        size: catalogue.Size,
        seed: int,
        make_policy: MakePolicy,
    ):
        self._case = case
        self._rng = random.Random(f"{case.name}/{size.name}/{seed}")
        self._effects = case.effects(self._rng)
        self._placement = size.placement()
        self._calls_per_s = case.calls_per_s or size.calls_per_s
        self._move = moves.Move("m", "service", "v2", "v1", case.length_s, 0.0)
        routes = [
            watch_lib.RouteClass(_key(route), route.idempotent)
            for route in catalogue.ROUTES
        ]
        self._policies = [
            make_policy(self._move, routes, size.servers, region)
            for region in REGIONS
        ]
        start = policies.Decision({r.route: 0.0 for r in routes}, None)
        self._decisions = [start for _ in REGIONS]
        self._pending: list[list[tuple[evidence.Key, evidence.Counter]]] = [
            [] for _ in REGIONS
        ]
        self._messages: list[bytes] = [b"" for _ in REGIONS]
        self._server_calls = [0] * size.servers
        self._first_call_at = [-1.0] * size.servers
        self._server_load = [0.0] * size.servers
        self._step_calls = [0] * size.servers
        self._reference = history.History(_REFERENCE_BLOCK_S, 0.0)
        self._reference_judge = verdicts.Judge()
        self._reference_cells: dict[evidence.Key, evidence.Counter] = {}
        self._proposed_at = -1.0
        self._deaths = 0
        self._result = Result(
            planned_calls=self._calls_per_s * case.length_s,
            length_s=case.length_s,
        )

    def run(self) -> Result:
        """Run until the end of the move and return the results."""
        now = 0.0
        # A log outage may last beyond the deadline; the outcome is recorded
        # after it.
        while now < 1.5 * self._case.length_s:
            self._step(now)
            now += STEP_S
            if self._has_ended(now):
                break
        return self._result

    def _step(self, now: float) -> None:
        self._step_calls = [0] * len(self._placement)
        for data_centre in range(len(DATA_CENTRES)):
            for route in catalogue.ROUTES:
                self._call(now, data_centre, route)
        self._apply_poison_request(now)
        even_rate = self._calls_per_s / len(self._placement)
        self._server_load = [c / STEP_S / even_rate for c in self._step_calls]
        if not self._case.good:
            self._judge_by_reference(now)
        self._deliver(now)

    def _is_within(self, span: tuple[float, float], now: float) -> bool:
        return span[0] <= now / self._case.length_s < span[1]

    def _call(
        self, now: float, data_centre: int, route: catalogue.Route
    ) -> None:
        rate = self._calls_per_s * route.fraction / len(DATA_CENTRES)
        calls = sampling.poisson(self._rng, rate * STEP_S)
        if not calls:
            return
        self._result.calls += calls
        region = data_centre // 2
        share = self._decisions[region].shares[_key(route)]
        new = sampling.binomial(self._rng, calls, share)
        context = catalogue.CallContext(now / self._case.length_s, route, False)
        if old := self._without_shed(now, calls - new):
            self._count(
                now, data_centre, context, "", old, self._effects(context)
            )
        if new := self._without_shed(now, new):
            self._call_new(now, data_centre, context, new)

    def _without_shed(self, now: float, calls: int) -> int:
        if not self._is_within(self._case.disturbance.shed, now):
            return calls
        return calls - sampling.binomial(self._rng, calls, _SHED_FRACTION)

    def _call_new(
        self,
        now: float,
        data_centre: int,
        context: catalogue.CallContext,
        calls: int,
    ) -> None:
        servers = self._local_servers(data_centre)
        weights = tuple(
            0.05 if self._case.disturbance.uneven and i % 2 else 1.0
            for i in range(len(servers))
        )
        counts = sampling.split_by_weight(
            self._rng, calls, len(servers), weights
        )
        for server, count in zip(servers, counts, strict=True):
            if count:
                self._call_server(now, data_centre, context, server, count)

    def _local_servers(self, data_centre: int) -> list[int]:
        """Return the servers of the region, or all if it has none."""
        region = data_centre // 2
        local = [
            i
            for i, centre in enumerate(self._placement)
            if centre // 2 == region
        ]
        return local or list(range(len(self._placement)))

    def _call_server(
        self,
        now: float,
        data_centre: int,
        context: catalogue.CallContext,
        server: int,
        calls: int,
    ) -> None:
        context = dataclasses.replace(
            context,
            is_new=True,
            server=server,
            data_centre=self._placement[server],
            calls_before=self._server_calls[server],
            load=self._server_load[server],
        )
        self._server_calls[server] += calls
        self._step_calls[server] += calls
        if self._first_call_at[server] < 0:
            self._first_call_at[server] = now
        effect = self._effects(context)
        result = self._result
        result.new_calls += calls
        if result.detectable_at >= 0:
            result.calls_after_detectable += calls
            if now > result.detectable_at + _LATE_S:
                result.late_calls += calls
        target = f"n{server}"
        failures = self._count(now, data_centre, context, target, calls, effect)
        if effect.failures > catalogue.BASE_FAILURES:
            result.faulty_calls += failures
        if effect.slowness > 1 and not self._case.good:
            result.faulty_calls += calls - failures

    def _count(
        self,
        now: float,
        data_centre: int,
        context: catalogue.CallContext,
        target: str,
        calls: int,
        effect: catalogue.Effect,
    ) -> int:
        failures = sampling.binomial(self._rng, calls, effect.failures)
        succeeded = calls - failures
        if context.is_new and observer.is_cold(
            now - self._first_call_at[context.server], context.calls_before
        ):
            counter = evidence.Counter(failures, succeeded)
        else:
            median_s = context.route.median_s * effect.slowness
            buckets = sampling.latencies(self._rng, succeeded, median_s)
            counter = evidence.Counter(failures, 0, buckets)
        self._record(
            data_centre, context.route, context.is_new, target, counter
        )
        return failures

    def _record(
        self,
        data_centre: int,
        route: catalogue.Route,
        is_new: bool,
        target: str,
        counter: evidence.Counter,
    ) -> None:
        region = data_centre // 2
        arm = evidence.Arm.NEW if is_new else evidence.Arm.OLD
        key = evidence.Key(
            "m",
            _key(route),
            DATA_CENTRES[data_centre],
            f"{REGIONS[region]}@1",
            arm,
            target,
        )
        self._pending[region].append((key, counter))
        known = self._reference_cells.get(key)
        self._reference_cells[key] = known.plus(counter) if known else counter

    def _apply_poison_request(self, now: float) -> None:
        """Let a poison request crash backend servers until it is refused."""
        interval_s = self._case.disturbance.poison_interval_s
        if not interval_s or now % interval_s:
            return
        data_centre = self._rng.randrange(len(DATA_CENTRES))
        route = self._rng.choice(catalogue.ROUTES)
        share = self._decisions[data_centre // 2].shares[_key(route)]
        for _ in range(_POISON_CRASHES):
            is_new = self._rng.random() < share
            server = self._rng.choice(self._local_servers(data_centre))
            target = f"n{server}" if is_new else ""
            failure = evidence.failure()
            self._record(data_centre, route, is_new, target, failure)

    def _judge_by_reference(self, now: float) -> None:
        if self._result.detectable_at >= 0:
            return
        self._reference.update(now, dict(self._reference_cells))
        verdict = self._reference_judge.judge(
            self._reference, len(self._placement)
        )
        if verdict.log_evidence >= REFERENCE_LOG_EVIDENCE:
            self._result.detectable_at = now + STEP_S

    def _deliver(self, now: float) -> None:
        """Apply the last step's counters and messages, then decide."""
        is_split = self._is_within(self._case.disturbance.split, now)
        for index, policy in enumerate(self._policies):
            for key, counter in self._pending[index]:
                policy.add(key, counter)
            self._pending[index] = []
            if self._messages[index]:
                policy.receive(self._messages[index])
                self._messages[index] = b""
        for index, policy in enumerate(self._policies):
            self._decisions[index] = policy.decide(now + STEP_S)
        if is_split:
            return
        for index, policy in enumerate(self._policies):
            data = policy.message()
            self._result.region_bytes += len(data)
            self._messages[1 - index] = data

    def _has_ended(self, now: float) -> bool:
        found = [d.outcome for d in self._decisions]
        undone = [o for o in found if o and o.result is moves.Result.UNDONE]
        result = self._result
        if undone and len(undone) == len(found):
            result.undone_at = now
            result.reason = undone[0].reason
            return True
        if undone or not any(found):
            return False
        if self._is_within(self._case.disturbance.log_down, now):
            return False
        if self._proposed_at < 0:
            self._proposed_at = now
        if now < self._proposed_at + moves.CONFIRMATION_DELAY_S:
            return False
        result.done_at = now
        result.reason = next(o.reason for o in found if o)
        return True


def _key(route: catalogue.Route) -> evidence.RouteKey:
    return evidence.RouteKey(route.path_prefix, route.class_name)
