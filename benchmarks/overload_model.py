"""Simulation of overloaded backend servers on a virtual clock.

A backend server shares its processor among the calls that it runs and loses a
fraction of its capacity for each call beyond its slots. Admission, routing and
retries are the production code.
"""

import collections
import dataclasses
import random

from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.routing import admission
from trefoilwind.routing import pick
from trefoilwind.routing import retries

STEP_S = 0.005
SERVICE_S = 0.05
SLOTS = 20
SERVERS = 3
TIMEOUT_S = 0.5
REFUSED_SERVER_PAUSE_S = 0.25
LOSS_PER_EXCESS_CALL = 0.01
CAPACITY_PER_S = SERVERS * SLOTS / SERVICE_S
CLASSES = tuple(
    configuration_lib.ClassTarget(
        name, True, TIMEOUT_S, 0.99, importance=importance
    )
    for name, importance in (("bulk", 1), ("lookup", 2), ("order", 3))
)
_SHARES = (0.5, 0.3, 0.2)


@dataclasses.dataclass
class Counts:
    """Results of the calls.

    Attributes:
        offered: Calls by class.
        good: Calls that were answered in time, by class.
        retries: Number of retries.
        by_server: Calls that were answered in time, by backend server.
    """

    offered: collections.Counter[str]
    good: collections.Counter[str]
    retries: int
    by_server: collections.Counter[str]

    @property
    def goodput(self) -> float:
        """Number of calls that were answered in time."""
        return sum(self.good.values())

    def share(self, class_name: str) -> float:
        """Return the share of a class's calls that were answered in time."""
        return self.good[class_name] / max(1, self.offered[class_name])


@dataclasses.dataclass(eq=False)
class _RunningCall:
    """A call that runs on a backend server."""

    target: configuration_lib.ClassTarget
    deadline: float
    started: float
    ticket: admission.Ticket | None
    work_s: float = SERVICE_S


class _Server:
    def __init__(self, name: str, speed: float):
        self.name = name
        self.speed = speed
        self.running: list[_RunningCall] = []
        self.admission = admission.Admission(SLOTS)

    def advance(self) -> list[_RunningCall]:
        """Advance by one step; return the calls that completed."""
        count = len(self.running)
        if not count:
            return []
        excess = max(0, count - SLOTS)
        rate = min(1.0, SLOTS / count) / (1 + LOSS_PER_EXCESS_CALL * excess)
        for run in self.running:
            run.work_s -= STEP_S * rate * self.speed
        ended = [run for run in self.running if run.work_s <= 0]
        self.running = [run for run in self.running if run.work_s > 0]
        return ended


class Model:
    """Callers, one entry node and several backend servers."""

    def __init__(
        self, seed: int, has_limits: bool, speeds: tuple[float, ...] = ()
    ):
        self._random = random.Random(seed)
        self._has_limits = has_limits
        speeds = speeds or (1.0,) * SERVERS
        self._servers = {
            f"server-{i}": _Server(f"server-{i}", speed)
            for i, speed in enumerate(speeds)
        }
        members = tuple(
            members_lib.Member(name, 1, 1, "perth-a", addresses.Address())
            for name in self._servers
        )
        cumulative = tuple(float(i + 1) for i in range(len(members)))
        tier = pick.Tier(members, cumulative)
        self._pool = pick.Pool(tier, pick.Tier(), 1.0)
        self.loads = pick.LoadTracker()
        self._budgets = retries.RetryBudgets()
        self._now = 1000.0
        self._counts = Counts(
            collections.Counter(),
            collections.Counter(),
            0,
            collections.Counter(),
        )

    def run(self, load: float, seconds: float) -> Counts:
        """Offer `load` times the total capacity for some seconds."""
        pending_calls = 0.0
        for _ in range(round(seconds / STEP_S)):
            self._now += STEP_S
            pending_calls += load * CAPACITY_PER_S * STEP_S
            while pending_calls >= 1:
                pending_calls -= 1
                self._make_call()
            for server in self._servers.values():
                self._advance(server)
        return self._counts

    def _make_call(self) -> None:
        target = self._random.choices(CLASSES, _SHARES)[0]
        self._counts.offered[target.name] += 1
        self._budgets.deposit(target)
        self._attempt(target, self._now + TIMEOUT_S, set())

    def _attempt(self, target, deadline: float, tried: set[str]) -> None:
        server = self._servers[self._choose(tried)]
        tried.add(server.name)
        self.loads.started(server.name)
        run = _RunningCall(target, deadline, self._now, None)
        if not self._has_limits:
            server.running.append(run)
            return
        run.ticket = admission.Ticket(
            target.name,
            target.importance,
            deadline,
            lambda verdict: self._apply_verdict(server, run, tried, verdict),
        )
        verdict = server.admission.submit(run.ticket, self._now)
        if verdict is not admission.Verdict.QUEUED:
            self._apply_verdict(server, run, tried, verdict)

    def _apply_verdict(
        self, server: _Server, run: _RunningCall, tried, verdict
    ) -> None:
        if verdict is admission.Verdict.ADMITTED:
            server.running.append(run)
            return
        self.loads.refused(server.name, self._now + REFUSED_SERVER_PAUSE_S)
        remaining_s = run.deadline - self._now
        if self._budgets.withdraw(run.target, remaining_s):
            self._counts.retries += 1
            self._attempt(run.target, run.deadline, tried)

    def _choose(self, tried: set[str]) -> str:
        if not self._has_limits:
            return self._random.choice(sorted(self._servers))

        def is_open(name: str) -> bool:
            load = self.loads.load(name)
            return name not in tried and load.saturated_until <= self._now

        member = pick.choose_member(
            self._pool,
            is_open,
            lambda name: self.loads.cost(name, self._now),
            self._random,
        )
        return member.node_id

    def _advance(self, server: _Server) -> None:
        for run in server.advance():
            self._finish(server, run, failed=False)
            self._counts.good[run.target.name] += 1
            self._counts.by_server[server.name] += 1
        for run in [r for r in server.running if r.deadline <= self._now]:
            server.running.remove(run)
            self._finish(server, run, failed=True)
        server.admission.expire(self._now)

    def _finish(self, server: _Server, run: _RunningCall, failed: bool) -> None:
        latency_s = self._now - run.started
        self.loads.ended(server.name, latency_s, failed, self._now)
        if run.ticket is not None:
            served_s = self._now - run.ticket.started
            server.admission.ended(run.ticket, served_s, failed, self._now)
        if not failed:
            self._budgets.answered(run.target, latency_s)
