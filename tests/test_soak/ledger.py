"""What callers and backend servers saw, and the promises that it must keep."""

import asyncio
import bisect
import collections
import dataclasses
import hashlib
import itertools
import math

# The users' bounds in seconds; the first one is in the nodes' settings.
GRACE_S = 6.0
DRAIN_S = 2.5
LOSS_SLACK_S = 0.2
# Seconds before its deadline from which an end counts as that of the deadline:
# nodes end a call 0.01 s before it, and it is given in whole milliseconds.
DUE_SLACK_S = 0.03
STABLE_WINDOW_S = 4.0
# Seconds after the acknowledged withdrawal of a key in which it may be used.
REVOKE_S = 5.0
# Seconds after the acknowledged evacuation of a data centre in which requests
# may still be sent there.
EVACUATION_S = 5.0
# Seconds of the window in which the runs of a customer are counted, the factor
# by which they may exceed its limit, and the runs allowed on top.
QUOTA_WINDOW_S = 5.0
QUOTA_FACTOR = 1.1
QUOTA_SLACK = 20
# Seconds after SIGTERM until which a request may be begun that the node need
# not end, and the part of the grace after which it may be given up.
LAST_EXCUSED_S = 3.0
EXCUSED_PART = 5 / 6
# Seconds from the start of a process until callers get answers from it.
RECOVERY_S = 5.0
# Seconds after a SIGHUP or an acknowledged configuration in which a cut counts.
APPLY_S = 2.5
# Cuts on kept connections that are allowed, at any time.
MAX_KEPT_CUTS = 3
# Factor by which cuts may be more frequent around configurations.
CUT_FACTOR = 3.0
# Seconds between two measurements of the soak's own delay.
_DELAY_INTERVAL_S = 0.02
# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclasses.dataclass
class Request:
    """One request of a caller; times are those of the event loop.

    Attributes:
        node: Index of the entry node.
        kind: Kind of its route; "safe" ones may run more than once.
        due: Time at which its deadline or its route's timeout is reached.
        sent: Time at which its last byte was sent.
        end: "answered", "late" without an answer when it was due, "unsent" if
            the connection ended before the last byte was sent, "cut" after it.
        seal: Seal of the backend server; empty in an answer of the node.
        is_kept: True if its connection had an earlier request.
        key: Key of its customer; empty if it carries none.
        is_nested: True if a backend server sent it.
    """

    request_id: str
    node: int
    kind: str
    digest: str
    begun: float
    due: float
    sent: float = math.inf
    ended: float = math.inf
    end: str = ""
    status: int = 0
    seal: str = ""
    is_kept: bool = False
    key: str = ""
    is_nested: bool = False


@dataclasses.dataclass
class Run:
    """One run of a request at the backend server beside a node.

    Attributes:
        end: "answered", "dropped" by the node, or "crashed".
        seal: Seal of the answer, which contains a digest of the body.
    """

    request_id: str
    node: int
    instance: str
    started: float
    ended: float = math.inf
    end: str = ""
    status: int = 0
    seal: str = ""


@dataclasses.dataclass
class Stop:
    """A planned stop of a node: SIGTERM, end and next start."""

    term: float
    gone: float = math.inf
    started: float = math.inf


class History:
    """Planned stops of a node, unplanned faults at it and at its links."""

    def __init__(self) -> None:
        self.stops: list[Stop] = []
        self.reloads: list[float] = []
        self.faults: list[tuple[float, float]] = []
        # Acknowledged evacuations of its data centre, until their deletion.
        self.evacuations: list[tuple[float, float]] = []

    def is_sound(self, start: float, end: float) -> bool:
        """Return True without unplanned faults near a span of time."""
        start -= STABLE_WINDOW_S
        return all(last < start or first > end for first, last in self.faults)

    def is_in_touch(self, start: float, end: float) -> bool:
        """Return True without faults and planned stops near a span of time."""
        return self.is_sound(start, end) and all(
            stop.started < start - STABLE_WINDOW_S or stop.term > end
            for stop in self.stops
        )


def digest(*parts: bytes) -> str:
    return hashlib.blake2b(b"\0".join(parts), digest_size=8).hexdigest()


class Ledger:
    """Records of all requests and runs.

    Attributes:
        left: Times at which the leaving of an instance was acknowledged.
        configured: Times at which a configuration was sent and acknowledged.
        customers: Customer of each key; empty without customers.
        limits: Rate per second and burst of each limited customer.
        store: Faults of the store.
        withdrawn: Times at which the withdrawal of a key was acknowledged.
        counts: Requests by outcome, and others.
        broken: Promises that were broken.
    """

    def __init__(self, services: tuple[str, ...]):
        self._services = services
        self._loop = asyncio.get_running_loop()
        self._started = self._loop.time()
        self.nodes = [History() for _ in services]
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.left: dict[str, float] = {}
        self.configured: list[float] = []
        self.customers: dict[str, str] = {}
        self.withdrawn: dict[str, float] = {}
        self.limits: dict[str, tuple[float, float]] = {}
        self.store = History()
        self._delays: list[tuple[float, float]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    async def measure_delays(self) -> None:
        """Record how late the event loop of the soak is, again and again."""
        while True:
            due = self._loop.time() + _DELAY_INTERVAL_S
            await asyncio.sleep(_DELAY_INTERVAL_S)
            now = self._loop.time()
            self._delays.append((now, now - due))

    def delay_s(self, start: float, end: float) -> float:
        """Return how late the soak's event loop was, at most, in a span."""
        end += 2 * _DELAY_INTERVAL_S
        spans = (late for at, late in self._delays if start <= at <= end + late)
        return max(spans, default=0.0)

    def break_promise(self, name: str, detail: str) -> None:
        at = self._loop.time() - self._started
        self.broken.append(f"{name}: {at:.2f} s; {detail}")

    def _describe(self, request: Request) -> str:
        def at(time: float) -> str:
            return f"{time - self._started:.2f}"

        runs = "".join(
            f"; run at n{run.node} {run.instance} {at(run.started)}.."
            f"{at(run.ended)} {run.end} {run.status}"
            for run in self.runs[request.request_id]
        )
        stops = "".join(
            f"; SIGTERM {at(stop.term)} gone {at(stop.gone)}"
            for stop in self.nodes[request.node].stops
            if stop.term <= request.ended
        )
        return (
            f"{request.kind} {request.request_id} at n{request.node} begun "
            f"{at(request.begun)} sent {at(request.sent)} ended "
            f"{at(request.ended)} {request.end} {request.status}{runs}{stops}"
        )

    def failures(self) -> list[str]:
        """Return a line for each request without an answer of success."""
        requests = self.requests.values()
        return [self._describe(each) for each in requests if each.status != 200]

    def check_arrival(self, run: Run) -> None:
        """Check a request that reaches a backend server which it names."""
        request = self.requests.get(run.request_id)
        late_s = run.started - self.left.get(run.instance, math.inf)
        if request is None or late_s <= DRAIN_S:
            return
        start = min(request.sent, run.started)
        pair = self.nodes[request.node], self.nodes[run.node]
        if all(node.is_in_touch(start, run.started) for node in pair):
            detail = f"{late_s:.2f} s after {run.instance} was leaving"
            self.break_promise("leave", f"{detail}; {self._describe(request)}")

    def start_run(self, run: Run, sum_: str, caller_service: str) -> None:
        request = self.requests.get(run.request_id)
        if request is None:
            self.break_promise("asked", run.request_id)
            return
        runs = self.runs[run.request_id]
        runs.append(run)
        self.counts["runs"] += 1
        is_own = caller_service == self._services[request.node]
        if sum_ != request.digest or not is_own:
            self.break_promise("unchanged", self._describe(request))
        if request.kind != "safe" and len(runs) > 1:
            self.break_promise("at most once", self._describe(request))
        is_refused = request.status in NOT_RUN and request.ended < math.inf
        if request.kind != "safe" and is_refused:
            self.break_promise("never runs later", self._describe(request))

    def check_customer(self, run: Run, customer: str) -> None:
        """Check the key of a request that runs, and the customer named."""
        request = self.requests.get(run.request_id)
        if request is None or not self.customers:
            return
        due = "" if request.is_nested else self.customers.get(request.key)
        if due is None:
            self.break_promise("known key", self._describe(request))
        elif customer != due:
            detail = f"{customer!r}, not {due!r}; {self._describe(request)}"
            self.break_promise("customer", detail)

    def end_request(self, request: Request, body: bytes) -> None:
        request.ended = self._loop.time()
        self.counts[str(request.status or request.end)] += 1
        runs = self.runs[request.request_id]
        if request.status in NOT_RUN and runs and request.kind != "safe":
            self.break_promise("not run", self._describe(request))
        if request.status == 404 or (
            request.status == 200 and not request.seal
        ):
            self.break_promise("own answer", self._describe(request))
        sum_ = digest(request.request_id.encode(), body)
        if request.seal and not any(
            (run.seal, run.status) == (request.seal, request.status)
            and run.seal.endswith(sum_)
            for run in runs
        ):
            self.break_promise("whole answer", self._describe(request))

    def check_end(self, end: float) -> None:
        """Check what is known at the end only.

        Args:
            end: Time at which callers sent their last requests.
        """
        for request in self.requests.values():
            node = self.nodes[request.node]
            if any(
                stop.term <= request.ended <= stop.term + GRACE_S + 1.0
                for stop in node.stops
            ):
                self._check_around_stop(request)
        for index, node in enumerate(self.nodes):
            for stop in node.stops:
                self._check_restart(index, stop.started, end)
        self._check_withdrawn()
        self._check_evacuations()
        self._check_quotas()
        cut = [each for each in self.requests.values() if self._is_lost(each)]
        self._check_kept(cut)
        self._check_reloads(cut)
        self._check_configurations(cut)

    def _check_withdrawn(self) -> None:
        for request in self.requests.values():
            withdrawn = self.withdrawn.get(request.key, math.inf)
            if request.sent == math.inf or not self.runs[request.request_id]:
                continue
            # A late soak notes the end of a write too late.
            delay_s = self.delay_s(request.begun, request.sent)
            late_s = request.sent - delay_s - withdrawn
            if late_s > REVOKE_S:
                detail = f"{late_s:.2f} s after; {self._describe(request)}"
                self.break_promise("withdrawn key", detail)

    def _check_evacuations(self) -> None:
        for run in itertools.chain.from_iterable(self.runs.values()):
            request = self.requests[run.request_id]
            sent = min(request.sent, run.started)
            sent -= self.delay_s(request.begun, sent)
            parties = self.store, self.nodes[request.node], self.nodes[run.node]
            if any(
                start + EVACUATION_S < sent and run.started < end
                for start, end in self.nodes[run.node].evacuations
            ) and all(each.is_sound(sent, run.started) for each in parties):
                self.break_promise("evacuated", self._describe(request))

    def _check_quotas(self) -> None:
        starts = collections.defaultdict(list)
        for request_id, runs in self.runs.items():
            key = self.requests[request_id].key
            if runs:
                starts[self.customers.get(key, "")].append(runs[0].started)
        for name, (rate_per_s, burst) in self.limits.items():
            times = sorted(starts[name])
            allowed = rate_per_s * QUOTA_WINDOW_S + burst
            allowed = allowed * QUOTA_FACTOR + QUOTA_SLACK
            # Runs in the window that begins with each.
            counts = [
                (bisect.bisect_left(times, at + QUOTA_WINDOW_S) - index, at)
                for index, at in enumerate(times)
            ]
            most, at = max(counts, default=(0, 0.0))
            self.counts[f"most runs of {name}"] = most
            if most > allowed:
                detail = f"{name}: {most} runs from {at - self._started:.2f} s"
                self.break_promise("quota", f"{detail}; allowed {allowed:.0f}")

    def _is_read(self, request: Request) -> bool:
        """Return True if a node that cut a request off had read it whole."""
        # The soak sees the end late if it is late itself.
        delay_s = self.delay_s(request.sent, request.ended)
        slack_s = LOSS_SLACK_S + delay_s
        is_run = bool(self.runs[request.request_id])
        return is_run or request.ended > request.sent + slack_s

    def _is_lost(self, request: Request) -> bool:
        """Return True if a sound node read a request and cut it off."""
        runs = self.runs[request.request_id]
        nodes = {request.node, *(run.node for run in runs)}
        return (
            request.end == "cut"
            and self._is_read(request)
            and request.ended < request.due - DUE_SLACK_S
            and all(run.end != "crashed" for run in runs)
            and all(
                self.nodes[node].is_sound(request.sent, request.ended)
                for node in nodes
            )
        )

    def _check_kept(self, cut: list[Request]) -> None:
        kept = [
            each
            for each in cut
            if each.is_kept
            and self.runs[each.request_id]
            and self.nodes[each.node].is_in_touch(each.sent, each.ended)
        ]
        if len(kept) > MAX_KEPT_CUTS:
            for request in kept:
                self.break_promise("kept connection", self._describe(request))

    def _check_reloads(self, cut: list[Request]) -> None:
        for request in cut:
            reloads = self.nodes[request.node].reloads
            if any(
                at <= request.ended and request.sent <= at + APPLY_S
                for at in reloads
            ):
                self.break_promise("reload", self._describe(request))

    def _check_configurations(self, cut: list[Request]) -> None:
        """Check that no node cuts more often around configurations."""

        def is_near(request: Request) -> bool:
            return any(
                at <= request.ended and request.sent <= at + APPLY_S + 1.0
                for at in self.configured
            )

        for index in range(len(self.nodes)):
            own = [
                each for each in self.requests.values() if each.node == index
            ]
            near = sum(map(is_near, own))
            near_cut = [
                each
                for each in cut
                if each.node == index
                and is_near(each)
                and each.ended - each.begun < 0.7 * (each.due - each.begun)
            ]
            other_cut = sum(
                each.node == index and not is_near(each) for each in cut
            )
            share = len(near_cut) / max(1, near)
            other_share = other_cut / max(1, len(own) - near)
            if near_cut and share > CUT_FACTOR * other_share:
                for request in near_cut:
                    self.break_promise("configured", self._describe(request))

    def _check_around_stop(self, request: Request) -> None:
        runs = self.runs[request.request_id]
        is_excused = (
            request.ended >= request.due - DUE_SLACK_S
            or any(run.end == "crashed" for run in runs)
            or any(self._may_give_up(request, run) for run in runs)
            or not all(
                self.nodes[node].is_sound(request.sent, request.ended)
                for node in {request.node, *(run.node for run in runs)}
            )
        )
        if is_excused or request.end in ("late", "unsent"):
            return
        if request.end == "cut":
            if self._is_read(request):
                self.break_promise("answered", self._describe(request))
        elif not request.seal and any(
            run.started < request.ended
            and (run.end == "dropped" or run.ended > request.ended)
            for run in runs
        ):
            self.break_promise("not given up", self._describe(request))

    def _may_give_up(self, request: Request, run: Run) -> bool:
        """Return True if a run lasted into the end of a grace."""
        return any(
            request.sent <= stop.term + LAST_EXCUSED_S
            and stop.term + EXCUSED_PART * GRACE_S <= run.ended
            and run.started < stop.gone
            for node in (request.node, run.node)
            for stop in self.nodes[node].stops
        )

    def _check_restart(self, index: int, started: float, end: float) -> None:
        due = started + RECOVERY_S
        node = self.nodes[index]
        is_stopped = any(started < stop.term < due for stop in node.stops)
        if due > end or is_stopped or not node.is_sound(started, due):
            return
        if not any(
            request.node == index
            and request.status == 200
            and started < request.ended <= due
            for request in self.requests.values()
        ):
            at = started - self._started
            self.break_promise("serves again", f"n{index} started {at:.2f}")
