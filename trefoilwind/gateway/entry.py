"""Entry node's part of a call: routing, placement, retries and the answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import copy
import dataclasses
import logging
import math
import random

from trefoilwind import errors
from trefoilwind.customers import access as access_lib
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.gateway import quotas as quotas_lib
from trefoilwind.gateway import request_checks
from trefoilwind.gateway import unread
from trefoilwind.logs import decisions
from trefoilwind.model import mesh
from trefoilwind.routing import regions
from trefoilwind.routing import service_time
from trefoilwind.routing import shared_budget
from trefoilwind.routing import weighted_choice
from trefoilwind.telemetry import counts as counts_lib

logger = logging.getLogger(__name__)

_STEP = "entry.call"
# Seconds until the deadline of a request that gives none.
DEFAULT_DEADLINE_S = 10.0
# Nodes to which one call is sent at most before it is refused.
MAX_NODES_TRIED = 3
# Retry time given to callers while no backend server is available.
NO_BACKEND_RETRY_S = 0.3
# Retry time given to callers before the first configuration is in force.
NO_CONFIGURATION_RETRY_S = 0.5
# Seconds before the end of a stop at which this node ends its calls: before
# their deadlines, which would count as failures of the backend servers.
STOP_MARGIN_S = 0.02
# Largest random fraction added to the retry time given to callers.
RETRY_JITTER = 0.5
# Routes whose longest times are kept; the operator names them.
MAX_ROUTES_MEASURED = 1000
_STATUS_NOT_FOUND = 404
_STATUS_TOO_MANY = 429
_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_STATUS_TIMEOUT = 504

_FINAL_REASONS = frozenset(
    {errors.Reason.DEADLINE_EXCEEDED, errors.Reason.POISON_REQUEST}
)

_CAPACITY_REASONS = frozenset(
    {errors.Reason.OVERLOADED, errors.Reason.RATE_LIMITED}
)

Run = Callable[[str, calls.Call], Awaitable[calls.Outcome]]


@dataclasses.dataclass(slots=True)
class _Progress:
    """Attempts of one call so far.

    Attributes:
        tried: Nodes to which the call was sent, in order.
        arrivals: Attempts that may have reached a backend server.
        may_have_run: True if a backend server may have run one of them.
    """

    tried: dict[str, None] = dataclasses.field(default_factory=dict)
    arrivals: int = 0
    may_have_run: bool = False


class Entry:
    """Routes the requests of callers and retries failed attempts."""

    def __init__(
        self,
        board: board_lib.MeshBoard,
        headers: calls.HeaderPort,
        picker: picker_lib.Picker,
        budget: shared_budget.SharedBudget,
        run: Run,
        own_service: Callable[[], str],
        is_refused: Callable[[calls.Call], bool],
        is_running: Callable[[bytes], bool],
        counts: counts_lib.MeshCounts,
        rng: random.Random,
        configuration_age_s: Callable[[], float] = lambda: 0.0,
        regions_of_running: Callable[
            [bytes], frozenset[str] | None
        ] = lambda request_id: None,
        access: access_lib.Access | None = None,
        quotas: quotas_lib.Quotas | None = None,
    ):
        self._board = board
        self._headers = headers
        self._picker = picker
        self._budget = budget
        self._run = run
        self._own_service = own_service
        self._is_refused = is_refused
        self._is_running = is_running
        self._counts = counts
        self._random = rng
        self._configuration_age_s = configuration_age_s
        self._regions_of_running = regions_of_running
        self._checks = request_checks.RequestChecks(
            access or access_lib.Access(),
            board,
            headers,
            is_running,
            counts,
            self._unavailable,
        )
        self._quotas = quotas
        self._weighted_choice = weighted_choice.WeightedChoice(rng.random)
        self._loop = asyncio.get_running_loop()
        # Event loop times of a stop: after which no request is accepted, and
        # of the end of the calls.
        self._last_start = math.inf
        self._stop_deadline = math.inf
        # Longest times of attempts, by route.
        self._longest: dict[str, service_time.LongestTime] = {}
        # Timeouts of the calls in flight, which end with a stop only.
        self._timeouts: set[asyncio.Timeout] = set()

    def begin_stop(self, deadline: float) -> None:
        """End all calls by the end of a stop of this node.

        Args:
            deadline: Event loop time in seconds by which all requests are
                answered.
        """
        self._stop_deadline = deadline
        # Answers that have arrived are read first, also by a late event loop.
        self._loop.call_at(
            self._timeout_at,
            self._loop.call_later,
            unread.READ_DELAY_S,
            self._end_calls,
        )

    def _end_calls(self) -> None:
        for timeout in self._timeouts:
            timeout.reschedule(self._loop.time())

    def refuse_later_requests(self) -> None:
        """Refuse the requests whose head is received from now on."""
        self._last_start = self._loop.time()

    def refusal(self) -> http_types.HttpAnswer:
        """Return the answer to a request that this node cannot run now."""
        return self._unavailable(NO_BACKEND_RETRY_S)

    @property
    def checks(self) -> request_checks.RequestChecks:
        """Checks of requests by their heads."""
        return self._checks

    def preview(
        self,
        request: http_types.HttpRequest,
        route: mesh.HostRoute,
        customer: mesh.Customer | None,
        body_bytes: int,
    ) -> tuple[calls.Call, picker_lib.Comparison]:
        """Return the call for a request and where it goes; changes no state.

        The choices are those of a request that is served at this moment.

        Args:
            request: The request, without its body.
            route: Its route.
            customer: Its customer; None for none.
            body_bytes: Size of its body.
        """
        rng = random.Random()
        rng.setstate(self._random.getstate())
        copied = copy.copy(self)
        copied._random = rng
        copied._picker = self._picker.copy(rng.random)
        copied._weighted_choice = self._weighted_choice.copy(rng.random)
        metadata = self._headers.read(request.headers)
        version = self._board.routes.value.version
        call = copied._call(request, metadata, route, version, customer)
        now = self._loop.time()
        return call, copied._picker.compare(call, (), now, False, body_bytes)

    async def serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        """Return the answer to a request."""
        if self._is_too_late(request.received):
            return self.refusal()
        table = self._board.routes.value
        if not table.version:
            return self._unavailable(NO_CONFIGURATION_RETRY_S)
        metadata = self._headers.read(request.headers)
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = table.match(metadata.host, path)
        if route is None:
            return http_types.HttpAnswer(_STATUS_NOT_FOUND, ())
        customer = self._checks.customer(metadata, route)
        if isinstance(customer, http_types.HttpAnswer):
            return customer
        call = self._call(request, metadata, route, table.version, customer)
        if self._is_refused(call):
            return http_types.HttpAnswer(_STATUS_BAD_GATEWAY, ())
        progress = _Progress()
        result = await self._run_within_quota(call, route, progress)
        is_answer = isinstance(result, http_types.HttpAnswer)
        answer = result if is_answer else self._failure_answer(result)
        self._counts.request_ended(
            call.service,
            _result_name(result),
            len(progress.tried),
            self._loop.time() - call.received,
        )
        self._log_result(metadata, call, progress, result, answer.status)
        return answer

    @property
    def _timeout_at(self) -> float | None:
        """Event loop time in seconds at which a stop ends the calls."""
        if math.isinf(self._stop_deadline):
            return None
        return self._stop_deadline - STOP_MARGIN_S

    @property
    def is_stopping(self) -> bool:
        """True if requests are refused because the node stops."""
        return self._is_too_late(self._loop.time())

    def _is_too_late(self, received: float) -> bool:
        """Return True if a stop leaves no time to run a request.

        Args:
            received: Event loop time in seconds at which it was received.
        """
        if received > self._last_start:
            return True
        timeout_at = self._timeout_at
        return timeout_at is not None and self._loop.time() >= timeout_at

    def _call(
        self,
        request: http_types.HttpRequest,
        metadata: calls.RequestMetadata,
        route: mesh.HostRoute,
        version: int,
        customer: mesh.Customer | None,
    ) -> calls.Call:
        remaining_s = metadata.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_DEADLINE_S
        limit_s = min(remaining_s, route.timeout_s)
        service = self._weighted_choice.choose(
            route, version, lambda: self._board.routes.value.names
        )
        allowed = regions.allowed_regions(
            route, customer, self._regions_of_running(metadata.parent_id)
        )
        return calls.Call(
            method=request.method.decode("latin-1"),
            target=request.target.decode("latin-1"),
            headers=(
                *self._checks.forwarded(metadata, customer),
                *self._headers.entry_headers(self._own_service()),
            ),
            body=request.body,
            service=service,
            version=self._picker.choose_version(service, allowed),
            route_name=route.name,
            rank=route.rank
            if customer is None or customer.rank is None
            else customer.rank,
            is_nested=self._is_running(metadata.parent_id),
            target_deadline=request.received + route.target_s,
            deadline=request.received + limit_s,
            received=request.received,
            customer=customer.name if customer is not None else "",
            allowed_regions=allowed,
        )

    async def _run_within_quota(
        self, call: calls.Call, route: mesh.HostRoute, progress: _Progress
    ) -> calls.Result:
        """Run a call if the quota of its customer allows it."""
        quotas = self._quotas
        has_quota = (
            quotas is not None
            and not call.is_nested
            and quotas.is_limited(call.customer)
        )
        if has_quota:
            retry_s = await quotas.take(call.customer, self._loop.time())
            if retry_s is not None:
                return self._error(
                    errors.Reason.QUOTA_EXCEEDED, not_run=True, retry_s=retry_s
                )
        self._budget.record_first_attempt(call.service, self._loop.time())
        result = await self._run_until_stop(call, route, progress)
        if has_quota and _is_refusal(result):
            quotas.give_back(call.customer, self._loop.time())
        return result

    async def _run_until_stop(
        self, call: calls.Call, route: mesh.HostRoute, progress: _Progress
    ) -> calls.Result:
        """Run a call; a stop ends it in time, also one that begins later."""
        timeout = asyncio.timeout_at(None)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                return await self._run_attempts(call, route, progress)
        except TimeoutError:
            return self._error(errors.Reason.DEADLINE_EXCEEDED, not_run=False)
        finally:
            self._timeouts.discard(timeout)

    async def _run_attempts(
        self, call: calls.Call, route: mesh.HostRoute, progress: _Progress
    ) -> calls.Result:
        last: calls.Result | None = None
        while True:
            # A stop may have begun during the previous attempt.
            if call.deadline > self._stop_deadline:
                call = dataclasses.replace(call, deadline=self._stop_deadline)
            if call.deadline <= self._loop.time():
                return last or self._error(
                    errors.Reason.DEADLINE_EXCEEDED, not_run=True
                )
            node_id = self._picker.pick(
                call, progress.tried, self._loop.time(), _was_overloaded(last)
            )
            if not node_id:
                return last or self._error(
                    errors.Reason.NO_BACKEND,
                    not_run=True,
                    retry_s=NO_BACKEND_RETRY_S,
                )
            if self._would_be_ended_by_stop(call):
                return last or self._error(
                    errors.Reason.DRAINING,
                    not_run=True,
                    retry_s=NO_BACKEND_RETRY_S,
                )
            attempt = self._next_attempt(call, route, progress)
            result = await self._attempt(node_id, attempt)
            last = _with_history(result, progress)
            _record_attempt(last, node_id, progress)
            if not self._may_retry(last, call, route, progress):
                return last

    async def _attempt(self, node_id: str, call: calls.Call) -> calls.Result:
        self._picker.started(node_id)
        started = self._loop.time()
        outcome = None
        try:
            outcome = await self._run(node_id, call)
        finally:
            now = self._loop.time()
            self._picker.ended(node_id, outcome, now, call.route_name)
            is_refused = outcome is not None and _is_refusal(outcome.result)
            if not is_refused:
                self._note_time(call.route_name, now - started, now)
        return outcome.result

    def _note_time(self, route_name: str, seconds: float, now: float) -> None:
        """Note the time of an attempt; one that was ended took no less."""
        longest = self._longest.pop(route_name, service_time.LongestTime())
        self._longest[route_name] = longest.with_sample(seconds, now)
        if len(self._longest) > MAX_ROUTES_MEASURED:
            del self._longest[next(iter(self._longest))]

    def _would_be_ended_by_stop(self, call: calls.Call) -> bool:
        """Return True if a call may not end before this node does.

        Its body arrived after the time until which a stop accepts requests, so
        it must not be begun unless it can end.
        """
        now = self._loop.time()
        if now <= self._last_start or call.deadline < self._stop_deadline:
            return False
        longest = self._longest.get(call.route_name)
        return longest is not None and (
            now + longest.seconds >= self._stop_deadline - STOP_MARGIN_S
        )

    def _may_retry(
        self,
        result: calls.Result,
        call: calls.Call,
        route: mesh.HostRoute,
        progress: _Progress,
    ) -> bool:
        """Return True if the call may be sent to another node."""
        if len(progress.tried) >= MAX_NODES_TRIED:
            return False
        is_error = isinstance(result, errors.CallError)
        if not is_error and result.status < calls.FIRST_FAILURE_STATUS:
            return False
        if is_error and result.reason in _FINAL_REASONS:
            return False
        if progress.may_have_run and not route.is_idempotent:
            return False
        if progress.arrivals == 0:
            return True
        if progress.arrivals >= route.max_attempts:
            return False
        return self._budget.grant(
            call.service, self._node_count, self._loop.time()
        )

    @property
    def _node_count(self) -> int:
        return len(self._board.members.value.members)

    def _next_attempt(
        self, call: calls.Call, route: mesh.HostRoute, progress: _Progress
    ) -> calls.Call:
        """Return the call, marked if another attempt may follow in any case."""
        may_repeat = (
            route.is_idempotent
            and progress.arrivals + 1 < route.max_attempts
            and len(progress.tried) + 1 < MAX_NODES_TRIED
            and self._budget.has_room(
                call.service, self._node_count, self._loop.time()
            )
        )
        if not may_repeat:
            return call
        return dataclasses.replace(call, may_repeat=True)

    def _log_result(
        self,
        metadata: calls.RequestMetadata,
        call: calls.Call,
        progress: _Progress,
        result: calls.Result,
        status: int,
    ) -> None:
        now = self._loop.time()
        fields = {
            "id": metadata.request_id,
            "route": call.route_name,
            "configuration": self._board.configuration.value.version,
            "configuration_age_ms": round(self._configuration_age_s() * 1000),
            "service": call.service,
            "version": call.version,
            "asked": list(progress.tried),
            "arrivals": progress.arrivals,
            "status": status,
            "elapsed_ms": round((now - call.received) * 1000, 1),
            "left_ms": round((call.deadline - now) * 1000, 1),
        }
        if call.allowed_regions is not None:
            fields["allowed_regions"] = sorted(call.allowed_regions)
        if call.customer:
            fields["customer"] = call.customer
        if not math.isinf(self._stop_deadline):
            # Tells a call that the stop has ended from one that its own
            # deadline has.
            left_s = self._stop_deadline - now
            fields["stop_left_ms"] = round(left_s * 1000, 1)
        if not isinstance(result, errors.CallError):
            write = decisions.success
            if status >= calls.FIRST_FAILURE_STATUS:
                write = decisions.failure
                fields |= {"reason": "backend-server-answer", "step": "run"}
            kind = (
                "call_failed"
                if status >= calls.FIRST_FAILURE_STATUS
                else "call"
            )
            write(logger, kind, "entry: call answered", **fields)
            return
        fields |= {
            "reason": result.reason.value,
            "step": result.step,
            "peer": result.peer,
            "detail": result.detail,
            "not_run": result.not_run,
            "retry_s": round(result.retry_s, 3),
        }
        decisions.failure(logger, "call_failed", "entry: call failed", **fields)

    def _failure_answer(self, error: errors.CallError) -> http_types.HttpAnswer:
        if error.reason is errors.Reason.POISON_REQUEST:
            return http_types.HttpAnswer(_STATUS_BAD_GATEWAY, ())
        if error.reason is errors.Reason.QUOTA_EXCEEDED:
            return self._refused(_STATUS_TOO_MANY, error.retry_s)
        if error.not_run:
            return self._unavailable(error.retry_s or NO_BACKEND_RETRY_S)
        if error.reason is errors.Reason.DEADLINE_EXCEEDED:
            return http_types.HttpAnswer(_STATUS_TIMEOUT, ())
        return http_types.HttpAnswer(_STATUS_BAD_GATEWAY, ())

    def _unavailable(self, retry_s: float) -> http_types.HttpAnswer:
        return self._refused(_STATUS_UNAVAILABLE, retry_s)

    def _refused(self, status: int, retry_s: float) -> http_types.HttpAnswer:
        jittered_s = retry_s * (1.0 + RETRY_JITTER * self._random.random())
        headers = self._headers.retry_headers(jittered_s)
        return http_types.HttpAnswer(status, headers)

    def _error(
        self, reason: errors.Reason, not_run: bool, retry_s: float = 0.0
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, "", not_run=not_run, retry_s=retry_s
        )


def _result_name(result: calls.Result) -> str:
    """Return the value of the metrics' label for a result."""
    if isinstance(result, errors.CallError):
        return result.reason.value
    return (
        "answered" if result.status < calls.FIRST_FAILURE_STATUS else "failed"
    )


def _is_refusal(result: calls.Result) -> bool:
    """Return True if a call was certainly not run."""
    return isinstance(result, errors.CallError) and result.not_run


def _was_overloaded(result: calls.Result | None) -> bool:
    """Return True if a node refused the call for lack of capacity."""
    is_error = isinstance(result, errors.CallError)
    return is_error and result.reason in _CAPACITY_REASONS


def _record_attempt(
    result: calls.Result, node_id: str, progress: _Progress
) -> None:
    progress.tried[node_id] = None
    is_error = isinstance(result, errors.CallError)
    is_undelivered = is_error and result.not_run and not result.has_arrived
    if not is_undelivered:
        progress.arrivals += 1
    if not is_error or not result.not_run:
        progress.may_have_run = True


def _with_history(result: calls.Result, progress: _Progress) -> calls.Result:
    """Return the result, without `not_run` if an earlier attempt may have run.

    `not_run` must not be reported if any of the attempts may have run the call.
    """
    if not progress.may_have_run or not isinstance(result, errors.CallError):
        return result
    return dataclasses.replace(result, not_run=False)
