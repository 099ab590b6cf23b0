"""Callers, nodes and backend servers of one emulation."""

from collections.abc import Callable
import dataclasses
import itertools
import random

from trefoilwind import errors
from trefoilwind.emulator import event_queue
from trefoilwind.emulator import policies
from trefoilwind.emulator import results as results_lib
from trefoilwind.emulator import scenario as scenario_lib
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import entry
from trefoilwind.gateway import http_types
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.gateway import target
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.routing import call_queue
from trefoilwind.routing import failures
from trefoilwind.routing import service_time

# Part of the time left that a caller waits at most before it comes back; the
# platform's pages say so of its clients.
RETURN_PART = 1 / 3
_ANSWER = http_types.HttpAnswer(200, ())
_FAILURE = http_types.HttpAnswer(500, ())
# Part of its work that a backend server does until it fails a call.
_FAILED_WORK = 0.1

Done = Callable[["_Answer"], None]


@dataclasses.dataclass(frozen=True)
class _Answer:
    """Answer of a node to an attempt.

    Attributes:
        end: How the attempt ended.
        retry_s: Seconds after which a refused caller may return.
        occupied: Calls at the backend server; negative if not told.
        served_s: Seconds that the backend server took; negative if none.
        failing: Share of the backend server's recent calls that failed.
        mean_s: Average time in seconds of its calls; negative if not known.
    """

    end: results_lib.End
    retry_s: float = 0.0
    occupied: int = -1
    served_s: float = -1.0
    failing: float = 0.0
    mean_s: float = -1.0


@dataclasses.dataclass
class _Request:
    """A request of a caller through all its attempts.

    Attributes:
        each: Its class.
        first: Virtual time in seconds of the first attempt.
        deadline: Virtual time in seconds at which the caller gives up.
        returns_left: Times that the caller still comes back.
    """

    each: scenario_lib.CallClass
    first: float
    deadline: float
    returns_left: int


class _Server:
    """A backend server, the node beside it, and its queue."""

    def __init__(
        self,
        member: members.Member,
        speed: float,
        line: policies.Line,
        troubles: tuple[scenario_lib.Trouble, ...],
    ):
        self.member = member
        self.line = line
        self.picker: picker_lib.Picker | None = None
        self.starts: dict[int, Callable[[], None]] = {}
        self.refusals: dict[int, Callable[[], None]] = {}
        self.is_watched = False
        self.failures = failures.FailureShare()
        self.mean = service_time.MeanTime()
        self._speed = speed
        self._troubles = troubles

    def is_gone(self, now: float) -> bool:
        """Return True while the server takes no calls."""
        return any(trouble.slow == 0 for trouble in self._active(now))

    def time_s(self, work_s: float, now: float) -> float:
        """Return the seconds that a run takes."""
        found = work_s / self._speed
        for trouble in self._active(now):
            found *= trouble.slow or 1.0
        return found

    def failing(self, now: float) -> float:
        """Return the part of the calls that the server fails."""
        return max((t.failing for t in self._active(now)), default=0.0)

    def _active(self, now: float) -> list[scenario_lib.Trouble]:
        return [t for t in self._troubles if t.at_s <= now < t.at_s + t.for_s]


class World:
    """One emulation of a scenario under a policy."""

    def __init__(
        self, scenario: scenario_lib.Scenario, policy_name: str, seed: int
    ):
        """Set up the emulation.

        Args:
            scenario: What is emulated.
            policy_name: One of `policies.NAMES`.
            seed: Seed of all random numbers; the requests are the same for
                all policies.
        """
        self._scenario = scenario
        self._queue = event_queue.EventQueue()
        self._results = results_lib.Results(scenario.window_s)
        self._requests_rng = random.Random(seed)
        self._random = random.Random(seed + 1)
        self._numbers = itertools.count(1)
        self._regions = {c.name: c.region for c in scenario.data_centres}
        self._servers: dict[str, _Server] = {}
        self._policy = policies.named(
            policy_name, self._nodes_by_service(), seed + 2
        )
        for index, group in enumerate(scenario.servers):
            self._add_group(index, group)
        self._add_pickers()

    def run(self) -> results_lib.Results:
        """Emulate all traffic and return what was counted."""
        for centre in self._scenario.data_centres:
            self._next_arrival(centre)
        self._queue.run()
        return self._results

    def _nodes_by_service(self) -> dict[str, tuple[str, ...]]:
        found: dict[str, tuple[str, ...]] = {}
        for index, group in enumerate(self._scenario.servers):
            names = tuple(_names(index, group))
            found[group.service] = found.get(group.service, ()) + names
        return found

    def _add_group(self, index: int, group: scenario_lib.ServerGroup) -> None:
        pairs = zip(_names(index, group), group.speeds, strict=True)
        for position, (name, speed) in enumerate(pairs):
            member = members.Member(
                name,
                1,
                1,
                group.data_centre,
                addresses.Address(),
                group.service,
                "v1",
                group.slots,
                region=self._regions[group.data_centre],
            )
            troubles = tuple(
                trouble
                for trouble in self._scenario.troubles
                if trouble.service == group.service
                and trouble.data_centre == group.data_centre
                and trouble.index == position
            )
            line = self._policy.make_line(group.slots)
            self._servers[name] = _Server(member, speed, line, troubles)

    def _add_pickers(self) -> None:
        board = board_lib.MeshBoard()
        entries = [server.member for server in self._servers.values()]
        board.members.claim("emulator")(directory.snapshot(entries))
        for server in self._servers.values():
            server.picker = picker_lib.Picker(
                server.member,
                board,
                lambda node_id: True,
                lambda line=server.line: line.occupied,
                self._random.random,
            )

    # Callers.

    def _next_arrival(self, centre: scenario_lib.DataCentre) -> None:
        now = self._queue.now
        per_s = scenario_lib.rate(self._scenario, centre, now)
        delay_s = self._requests_rng.expovariate(max(per_s, 0.1))
        if now + delay_s >= self._scenario.length_s:
            return
        self._queue.after(delay_s, lambda: self._arrive(centre))

    def _arrive(self, centre: scenario_lib.DataCentre) -> None:
        weights = [each.weight for each in self._scenario.classes]
        each = self._requests_rng.choices(self._scenario.classes, weights)[0]
        now = self._queue.now
        request = _Request(each, now, now + each.deadline_s, each.returns)
        self._attempt(request, centre.name)
        self._next_arrival(centre)

    def _attempt(self, request: _Request, centre: str) -> None:
        started = self._queue.now
        self._call(
            self._entry_node(centre),
            request.each,
            False,
            request.deadline,
            lambda answer: self._answered(request, centre, started, answer),
        )

    def _entry_node(self, centre: str) -> _Server:
        near = [
            server
            for server in self._servers.values()
            if server.member.data_centre == centre
        ]
        return self._random.choice(near or list(self._servers.values()))

    def _answered(
        self,
        request: _Request,
        centre: str,
        started: float,
        answer: _Answer,
    ) -> None:
        now = self._queue.now
        if answer.end is results_lib.End.REFUSED and request.returns_left > 0:
            request.returns_left -= 1
            wait_s = answer.retry_s * (
                1 + entry.RETRY_JITTER * self._random.random()
            )
            wait_s = min(wait_s, RETURN_PART * (request.deadline - now))
            self._queue.after(wait_s, lambda: self._attempt(request, centre))
            return
        self._results.ended(_ended(request, started, now, answer))

    # Entry nodes.

    def _call(
        self,
        node: _Server,
        each: scenario_lib.CallClass,
        is_nested: bool,
        deadline: float,
        done: Done,
    ) -> None:
        now = self._queue.now
        call = calls.Call(
            "GET",
            "/",
            (),
            b"",
            each.service,
            "",
            each.name,
            each.rank,
            is_nested,
            now + each.target_s,
            deadline,
            now,
        )
        self._ask(node, each, call, (), False, _Answer(_REFUSED), done)

    def _ask(
        self,
        node: _Server,
        each: scenario_lib.CallClass,
        call: calls.Call,
        tried: tuple[str, ...],
        was_refused: bool,
        last: _Answer,
        done: Done,
    ) -> None:
        now = self._queue.now
        if now >= call.deadline or len(tried) >= entry.MAX_NODES_TRIED:
            done(last)
            return
        name = self._policy.pick(node.picker, call, tried, now, was_refused)
        if not name:
            done(last)
            return
        chosen = self._servers[name]
        way_s = self._way_s(node, chosen)
        node.picker.started(name)
        self._results.asked()

        def returned(answer: _Answer) -> None:
            self._queue.after(way_s, lambda: take(answer))

        def take(answer: _Answer) -> None:
            node.picker.ended(name, _outcome(answer), self._queue.now)
            if answer.end is not results_lib.End.REFUSED:
                done(answer)
                return
            self._ask(
                node,
                each,
                call,
                (*tried, name),
                answer.occupied >= 0,
                answer,
                done,
            )

        self._queue.after(
            way_s, lambda: self._admit(chosen, each, call, returned)
        )

    def _way_s(self, one: _Server, other: _Server) -> float:
        if one.member.data_centre == other.member.data_centre:
            return 0.0
        if one.member.region == other.member.region:
            return self._scenario.zone_way_s
        return self._scenario.region_way_s

    # Target nodes.

    def _admit(
        self,
        server: _Server,
        each: scenario_lib.CallClass,
        call: calls.Call,
        done: Done,
    ) -> None:
        now = self._queue.now
        if server.is_gone(now):
            done(_Answer(results_lib.End.REFUSED, entry.NO_BACKEND_RETRY_S))
            return
        ticket = call_queue.Ticket(
            next(self._numbers),
            call.kind,
            call.rank,
            call.is_nested,
            call.target_deadline,
            call.deadline,
        )

        def start() -> None:
            self._results.waited(each.name, self._queue.now - now)
            self._start(server, each, call, ticket, done)

        def refuse() -> None:
            line = server.line
            end = results_lib.End.REFUSED
            done(_Answer(end, line.retry_s(), line.occupied))

        verdict = server.line.submit(ticket, now)
        if isinstance(verdict, call_queue.Started):
            start()
        elif isinstance(verdict, call_queue.Refused):
            refuse()
        else:
            server.starts[ticket.number] = start
            server.refusals[ticket.number] = refuse
            self._watch_overdue(server)

    def _start(
        self,
        server: _Server,
        each: scenario_lib.CallClass,
        call: calls.Call,
        ticket: call_queue.Ticket,
        done: Done,
    ) -> None:
        """Run a call: its work, then the call that it makes, if any."""
        started = self._queue.now
        work_s = scenario_lib.draw_work_s(each, self._random)

        def finish(end: results_lib.End) -> None:
            now = self._queue.now
            is_failure = end is not results_lib.End.IN_TIME
            held_s = now - started
            if end is results_lib.End.TIMED_OUT:
                held_s = -1.0
            server.failures = server.failures.with_result(is_failure, now)
            self._take(server, server.line.release(ticket, held_s, now))
            occupied = server.line.occupied
            failing = server.failures.current(now)
            if not is_failure:
                server.mean = server.mean.with_sample(held_s)
            mean_s = server.mean.seconds
            done(_Answer(end, 0.0, occupied, held_s, failing, mean_s))

        def worked() -> None:
            if self._queue.now > call.deadline:
                finish(results_lib.End.TIMED_OUT)
            elif each.calls and self._random.random() < each.call_share:
                nested = self._scenario.class_named(each.calls)
                deadline = min(
                    call.deadline, self._queue.now + nested.deadline_s
                )
                self._call(server, nested, True, deadline, called)
            else:
                finish(results_lib.End.IN_TIME)

        def called(answer: _Answer) -> None:
            is_served = answer.end is results_lib.End.IN_TIME
            finish(answer.end if is_served else results_lib.End.FAILED)

        left_s = call.deadline - started
        run_s = server.time_s(work_s, started)
        if self._random.random() < server.failing(started):
            failed = results_lib.End.FAILED
            self._queue.after(_FAILED_WORK * run_s, lambda: finish(failed))
        elif run_s > left_s:
            # The caller leaves at its deadline, and the run is cut.
            self._queue.after(left_s, lambda: finish(results_lib.End.TIMED_OUT))
        else:
            self._queue.after(run_s, worked)

    def _take(self, server: _Server, turn: call_queue.QueueChange) -> None:
        for ticket in turn.refused:
            server.starts.pop(ticket.number)
            server.refusals.pop(ticket.number)()
        for ticket in turn.started:
            server.refusals.pop(ticket.number)
            server.starts.pop(ticket.number)()

    def _watch_overdue(self, server: _Server) -> None:
        if server.is_watched:
            return
        server.is_watched = True
        self._queue.after(
            target.OVERDUE_CHECK_S, lambda: self._drop_overdue(server)
        )

    def _drop_overdue(self, server: _Server) -> None:
        server.is_watched = False
        self._take(server, server.line.refuse_overdue(self._queue.now))
        if server.starts:
            self._watch_overdue(server)


_REFUSED = results_lib.End.REFUSED


def _names(index: int, group: scenario_lib.ServerGroup) -> list[str]:
    return [f"{group.service}-{index}-{n}" for n in range(len(group.speeds))]


def _outcome(answer: _Answer) -> calls.Outcome:
    """Return what an entry node learns of an attempt."""
    told = (answer.served_s, answer.occupied, answer.failing, answer.mean_s)
    if answer.end is results_lib.End.IN_TIME:
        return calls.Outcome(_ANSWER, *told)
    if answer.end is results_lib.End.FAILED:
        return calls.Outcome(_FAILURE, *told)
    reason = errors.Reason.DEADLINE_EXCEEDED
    if answer.end is results_lib.End.REFUSED:
        is_full = answer.occupied >= 0
        reason = errors.Reason.NO_BACKEND
        if is_full:
            reason = errors.Reason.OVERLOADED
    error = errors.CallError(reason, "emulator")
    return calls.Outcome(error, *told)


def _ended(
    request: _Request, started: float, now: float, answer: _Answer
) -> results_lib.Ended:
    each = request.each
    end = answer.end
    credit = 0.0
    if end is results_lib.End.IN_TIME:
        is_late = now - request.first > each.target_s
        end = results_lib.End.LATE if is_late else end
        credit = each.late_worth if is_late else each.worth
    refused_s = now - started if end is _REFUSED else -1.0
    return results_lib.Ended(
        each.name, request.first, end, each.worth, credit, refused_s
    )
