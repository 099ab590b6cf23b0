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
from trefoilwind.routing import kind_times

# Largest share of the time until its deadline that a caller waits before it
# retries, as the platform documents it for its clients.
MAX_RETRY_WAIT_SHARE = 1 / 3
_SUCCESS_ANSWER = http_types.HttpAnswer(200, ())
_FAILURE_ANSWER = http_types.HttpAnswer(500, ())
# Share of its work that a call has done when the backend server fails it.
_FAILED_WORK_SHARE = 0.1

AnswerCallback = Callable[["_Answer"], None]


@dataclasses.dataclass(frozen=True)
class _Answer:
    """Answer of a node to an attempt.

    Attributes:
        status: Status with which the attempt ended.
        retry_s: Retry time in seconds given to a refused caller.
        occupied: Calls running or queued at the backend server; negative if
            not reported.
        served_s: Seconds that the backend server took; negative if not
            measured.
        failure_share: Share of the backend server's recent calls that failed.
        mean_s: Average time in seconds of its calls; negative if unknown.
    """

    status: results_lib.Status
    retry_s: float = 0.0
    occupied: int = -1
    served_s: float = -1.0
    failure_share: float = 0.0
    mean_s: float = -1.0


@dataclasses.dataclass
class _Request:
    """Request of a caller with all its attempts.

    Attributes:
        call_class: Class of the request.
        first_attempt_at: Virtual time in seconds of the first attempt.
        deadline: Virtual time in seconds after which the caller no longer
            waits.
        retries_left: Number of times that the caller may still retry.
        customer: Name of the customer; empty for none.
        is_hasty: True if the caller retries at once.
    """

    call_class: scenario_lib.CallClass
    first_attempt_at: float
    deadline: float
    retries_left: int
    customer: str = ""
    is_hasty: bool = False


class _Server:
    """Backend server with the node beside it and its queue."""

    def __init__(
        self,
        member: members.Member,
        speed: float,
        queue: policies.Queue,
        troubles: tuple[scenario_lib.Trouble, ...],
    ):
        self.member = member
        self.queue = queue
        self.picker: picker_lib.Picker | None = None
        self.start_callbacks: dict[int, Callable[[], None]] = {}
        self.refusal_callbacks: dict[int, Callable[[], None]] = {}
        self.is_check_scheduled = False
        self.failures = failures.FailureShare()
        self.kind_times = kind_times.MeasuredTimes()
        self._speed = speed
        self._troubles = troubles

    def is_down(self, now: float) -> bool:
        """Return True while the server accepts no calls."""
        return any(trouble.slow == 0 for trouble in self._active_troubles(now))

    def run_time_s(self, work_s: float, now: float) -> float:
        """Return the duration of a run in seconds."""
        duration_s = work_s / self._speed
        for trouble in self._active_troubles(now):
            duration_s *= trouble.slow or 1.0
        return duration_s

    def failing_share(self, now: float) -> float:
        """Return the share of the calls that the server fails."""
        return max((t.failing for t in self._active_troubles(now)), default=0.0)

    def _active_troubles(self, now: float) -> list[scenario_lib.Trouble]:
        return [t for t in self._troubles if t.at_s <= now < t.at_s + t.for_s]


class World:
    """Emulation of a scenario under one policy."""

    def __init__(
        self, scenario: scenario_lib.Scenario, policy_name: str, seed: int
    ):
        """Set up the emulation.

        Args:
            scenario: Scenario to emulate.
            policy_name: Name of the policy, one of `policies.NAMES`.
            seed: Seed of all random numbers; with the same seed all policies
                get the same requests.
        """
        self._scenario = scenario
        self._events = event_queue.EventQueue()
        self._results = results_lib.Results(scenario.window_s)
        self._requests_rng = random.Random(seed)
        self._random = random.Random(seed + 1)
        self._ticket_numbers = itertools.count(1)
        self._regions = {c.name: c.region for c in scenario.data_centres}
        self._servers: dict[str, _Server] = {}
        self._policy = policies.by_name(
            policy_name, self._nodes_by_service(), seed + 2
        )
        for index, group in enumerate(scenario.servers):
            self._add_group(index, group)
        self._add_pickers()

    def run(self) -> results_lib.Results:
        """Emulate all traffic and return the results."""
        for centre in self._scenario.data_centres:
            self._schedule_arrival(centre)
        self._events.run()
        return self._results

    def _nodes_by_service(self) -> dict[str, tuple[str, ...]]:
        found: dict[str, tuple[str, ...]] = {}
        for index, group in enumerate(self._scenario.servers):
            names = tuple(_node_names(index, group))
            found[group.service] = found.get(group.service, ()) + names
        return found

    def _add_group(self, index: int, group: scenario_lib.ServerGroup) -> None:
        pairs = zip(_node_names(index, group), group.speeds, strict=True)
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
            queue = self._policy.make_queue(group.slots)
            self._servers[name] = _Server(member, speed, queue, troubles)

    def _add_pickers(self) -> None:
        board = board_lib.MeshBoard()
        server_members = [server.member for server in self._servers.values()]
        board.members.claim("emulator")(directory.snapshot(server_members))
        for server in self._servers.values():
            server.picker = picker_lib.Picker(
                server.member,
                board,
                lambda node_id: True,
                lambda queue=server.queue: queue.occupied,
                self._random.random,
                round_trip_s=lambda name, server=server: (
                    2 * self._latency_s(server, self._servers[name])
                ),
            )

    # Callers.

    def _schedule_arrival(self, centre: scenario_lib.DataCentre) -> None:
        now = self._events.now
        per_s = scenario_lib.arrival_rate_per_s(self._scenario, centre, now)
        delay_s = self._requests_rng.expovariate(max(per_s, 0.1))
        if now + delay_s >= self._scenario.length_s:
            return
        self._events.call_later(delay_s, lambda: self._handle_arrival(centre))

    def _handle_arrival(self, centre: scenario_lib.DataCentre) -> None:
        scenario = self._scenario
        rng = self._requests_rng
        weights = [call_class.weight for call_class in scenario.classes]
        call_class = rng.choices(scenario.classes, weights)[0]
        now = self._events.now
        request = _Request(
            call_class, now, now + call_class.deadline_s, call_class.returns
        )
        if scenario.customers:
            shares = scenario_lib.customer_weights(scenario, centre, now)
            request.customer = rng.choices(
                tuple(shares), tuple(shares.values())
            )[0]
        if scenario.hasty_share and rng.random() < scenario.hasty_share:
            request.is_hasty = True
            request.retries_left = scenario.hasty_returns
        self._send_request(request, centre.name)
        self._schedule_arrival(centre)

    def _send_request(self, request: _Request, centre: str) -> None:
        started = self._events.now
        self._handle_call(
            self._entry_node(centre),
            request.call_class,
            False,
            request.deadline,
            lambda answer: self._handle_answer(
                request, centre, started, answer
            ),
            request.customer,
        )

    def _entry_node(self, centre: str) -> _Server:
        local = [
            server
            for server in self._servers.values()
            if server.member.data_centre == centre
        ]
        return self._random.choice(local or list(self._servers.values()))

    def _handle_answer(
        self,
        request: _Request,
        centre: str,
        started: float,
        answer: _Answer,
    ) -> None:
        now = self._events.now
        if (
            answer.status is results_lib.Status.REFUSED
            and request.retries_left > 0
        ):
            request.retries_left -= 1
            wait_s = 0.0 if request.is_hasty else answer.retry_s
            wait_s *= 1 + entry.RETRY_JITTER * self._random.random()
            wait_s = min(
                wait_s, MAX_RETRY_WAIT_SHARE * (request.deadline - now)
            )
            self._events.call_later(
                wait_s, lambda: self._send_request(request, centre)
            )
            return
        self._results.record_end(_ended_request(request, started, now, answer))

    # Entry nodes.

    def _handle_call(
        self,
        node: _Server,
        call_class: scenario_lib.CallClass,
        is_nested: bool,
        deadline: float,
        on_answer: AnswerCallback,
        customer: str = "",
    ) -> None:
        now = self._events.now
        if call_class.timeout_s:
            deadline = min(deadline, now + call_class.timeout_s)
        call = calls.Call(
            "GET",
            "/",
            (),
            b"",
            call_class.service,
            "",
            call_class.name,
            call_class.rank,
            is_nested,
            now + call_class.target_s,
            deadline,
            now,
            customer=customer,
        )
        self._try_next_node(
            node, call_class, call, (), False, _Answer(_REFUSED), on_answer
        )

    def _try_next_node(
        self,
        node: _Server,
        call_class: scenario_lib.CallClass,
        call: calls.Call,
        tried: tuple[str, ...],
        was_refused: bool,
        last: _Answer,
        on_answer: AnswerCallback,
    ) -> None:
        now = self._events.now
        if now >= call.deadline or len(tried) >= entry.MAX_NODES_TRIED:
            on_answer(last)
            return
        name = self._policy.pick(node.picker, call, tried, now, was_refused)
        if not name:
            on_answer(last)
            return
        chosen = self._servers[name]
        latency_s = self._latency_s(node, chosen)
        node.picker.started(name)
        self._results.record_attempt()

        def send_answer(answer: _Answer) -> None:
            self._events.call_later(latency_s, lambda: receive_answer(answer))

        def receive_answer(answer: _Answer) -> None:
            node.picker.ended(
                name, _outcome(answer), self._events.now, call.route_name
            )
            if answer.status is not results_lib.Status.REFUSED:
                on_answer(answer)
                return
            self._try_next_node(
                node,
                call_class,
                call,
                (*tried, name),
                answer.occupied >= 0,
                answer,
                on_answer,
            )

        self._events.call_later(
            latency_s,
            lambda: self._admit(chosen, call_class, call, send_answer),
        )

    def _latency_s(self, one: _Server, other: _Server) -> float:
        if one.member.data_centre == other.member.data_centre:
            return 0.0
        if one.member.region == other.member.region:
            return self._scenario.zone_way_s
        return self._scenario.region_way_s

    # Target nodes.

    def _admit(
        self,
        server: _Server,
        call_class: scenario_lib.CallClass,
        call: calls.Call,
        on_answer: AnswerCallback,
    ) -> None:
        now = self._events.now
        if server.is_down(now):
            on_answer(
                _Answer(results_lib.Status.REFUSED, entry.NO_BACKEND_RETRY_S)
            )
            return
        ticket = call_queue.Ticket(
            next(self._ticket_numbers),
            call.route_name,
            call.rank,
            call.is_nested,
            call.target_deadline,
            call.deadline,
            call.customer,
        )

        def start() -> None:
            self._results.record_wait(call_class.name, self._events.now - now)
            self._start_call(server, call_class, call, ticket, on_answer)

        def refuse(retry_s: float) -> None:
            status = results_lib.Status.REFUSED
            on_answer(_Answer(status, retry_s, server.queue.occupied))

        verdict = server.queue.submit(ticket, now)
        if isinstance(verdict, call_queue.Started):
            start()
        elif isinstance(verdict, call_queue.Refused):
            refuse(verdict.retry_s)
        else:
            server.start_callbacks[ticket.number] = start
            server.refusal_callbacks[ticket.number] = lambda: refuse(
                server.queue.retry_s()
            )
            self._schedule_overdue_check(server)
            self._apply_change(
                server, call_queue.QueueChange(refused=verdict.displaced)
            )

    def _start_call(
        self,
        server: _Server,
        call_class: scenario_lib.CallClass,
        call: calls.Call,
        ticket: call_queue.Ticket,
        on_answer: AnswerCallback,
    ) -> None:
        """Run a call: its work, then its nested call, if any."""
        started = self._events.now
        work_s = scenario_lib.draw_work_s(call_class, self._random)

        unanswered = call_class.call_count
        is_finished = False

        def finish(status: results_lib.Status) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            now = self._events.now
            is_failure = status is not results_lib.Status.IN_TIME
            held_s = now - started
            if status is results_lib.Status.TIMED_OUT:
                held_s = -1.0
            server.failures = server.failures.with_result(is_failure, now)
            self._apply_change(
                server, server.queue.release(ticket, held_s, now)
            )
            occupied = server.queue.occupied
            failure_share = server.failures.current(now)
            if not is_failure:
                server.kind_times.record(call.route_name, held_s)
            mean_s = server.kind_times.mean_s(call.route_name)
            on_answer(
                _Answer(status, 0.0, occupied, held_s, failure_share, mean_s)
            )

        def end_work() -> None:
            if self._events.now > call.deadline:
                finish(results_lib.Status.TIMED_OUT)
            elif (
                call_class.calls
                and self._random.random() < call_class.call_share
            ):
                nested = self._scenario.class_by_name(call_class.calls)
                deadline = min(
                    call.deadline, self._events.now + nested.deadline_s
                )
                for _ in range(call_class.call_count):
                    self._handle_call(
                        server, nested, True, deadline, handle_nested_answer
                    )
            else:
                finish(results_lib.Status.IN_TIME)

        def handle_nested_answer(answer: _Answer) -> None:
            nonlocal unanswered
            unanswered -= 1
            if answer.status is not results_lib.Status.IN_TIME:
                finish(results_lib.Status.FAILED)
            elif not unanswered:
                finish(results_lib.Status.IN_TIME)

        remaining_s = call.deadline - started
        run_s = server.run_time_s(work_s, started)
        if self._random.random() < server.failing_share(started):
            failed = results_lib.Status.FAILED
            self._events.call_later(
                _FAILED_WORK_SHARE * run_s, lambda: finish(failed)
            )
        elif run_s > remaining_s:
            # The caller stops waiting at its deadline, which cancels the run.
            self._events.call_later(
                remaining_s, lambda: finish(results_lib.Status.TIMED_OUT)
            )
        else:
            self._events.call_later(run_s, end_work)

    def _apply_change(
        self, server: _Server, change: call_queue.QueueChange
    ) -> None:
        for ticket in change.refused:
            server.start_callbacks.pop(ticket.number)
            server.refusal_callbacks.pop(ticket.number)()
        for ticket in change.started:
            server.refusal_callbacks.pop(ticket.number)
            server.start_callbacks.pop(ticket.number)()

    def _schedule_overdue_check(self, server: _Server) -> None:
        if server.is_check_scheduled:
            return
        server.is_check_scheduled = True
        self._events.call_later(
            target.QUEUE_CHECK_S, lambda: self._refuse_overdue(server)
        )

    def _refuse_overdue(self, server: _Server) -> None:
        server.is_check_scheduled = False
        self._apply_change(server, server.queue.advance(self._events.now))
        self._apply_change(
            server, server.queue.refuse_overdue(self._events.now)
        )
        if server.start_callbacks:
            self._schedule_overdue_check(server)


_REFUSED = results_lib.Status.REFUSED


def _node_names(index: int, group: scenario_lib.ServerGroup) -> list[str]:
    return [f"{group.service}-{index}-{n}" for n in range(len(group.speeds))]


def _outcome(answer: _Answer) -> calls.Outcome:
    """Return the outcome of an attempt as the entry node records it."""
    reported = (
        answer.served_s,
        answer.occupied,
        answer.failure_share,
        answer.mean_s,
    )
    if answer.status is results_lib.Status.IN_TIME:
        return calls.Outcome(_SUCCESS_ANSWER, *reported)
    if answer.status is results_lib.Status.FAILED:
        return calls.Outcome(_FAILURE_ANSWER, *reported)
    reason = errors.Reason.DEADLINE_EXCEEDED
    if answer.status is results_lib.Status.REFUSED:
        is_overloaded = answer.occupied >= 0
        reason = errors.Reason.NO_BACKEND
        if is_overloaded:
            reason = errors.Reason.OVERLOADED
    error = errors.CallError(reason, "emulator")
    return calls.Outcome(error, *reported)


def _ended_request(
    request: _Request, started: float, now: float, answer: _Answer
) -> results_lib.EndedRequest:
    call_class = request.call_class
    status = answer.status
    credit = 0.0
    if status is results_lib.Status.IN_TIME:
        is_late = now - request.first_attempt_at > call_class.target_s
        status = results_lib.Status.LATE if is_late else status
        credit = call_class.late_worth if is_late else call_class.worth
    refusal_s = now - started if status is _REFUSED else -1.0
    return results_lib.EndedRequest(
        call_class.name,
        request.first_attempt_at,
        status,
        call_class.worth,
        credit,
        refusal_s,
        request.customer,
    )
