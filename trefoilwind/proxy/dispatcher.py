"""Dispatch of a call: routing, idempotency key, attempts and retries."""

from collections.abc import Callable
import dataclasses
import logging
import random

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.model import members
from trefoilwind.proxy import calls
from trefoilwind.proxy import remote as remote_lib
from trefoilwind.proxy import target as target_lib
from trefoilwind.rollout import budget
from trefoilwind.routing import ejection
from trefoilwind.routing import fingerprints
from trefoilwind.routing import key_client
from trefoilwind.routing import pick
from trefoilwind.routing import pools as pools_lib
from trefoilwind.routing import retries
from trefoilwind.routing import suspect_messages
from trefoilwind.routing import suspects
from trefoilwind.routing import table

logger = logging.getLogger(__name__)

_STEP = "dispatch"
MAX_ATTEMPTS = 3
SATURATION_BACKOFF_S = 0.25
EVICTION_INTERVAL_S = 10.0
_FAILURE_STATUS = 500
_UNAVAILABLE_STATUS = 503
_CUT_REASONS = (
    errors.Reason.BACKEND_UNREACHABLE,
    errors.Reason.BACKEND_FAILED,
    errors.Reason.PEER_UNREACHABLE,
    errors.Reason.PEER_SILENT,
)
_SATURATION_REASONS = frozenset(
    {
        errors.Reason.OVERLOADED,
        errors.Reason.DRAINING,
        errors.Reason.DEADLINE_EXCEEDED,
    }
)
# No retry follows: it would fail likewise, or the caller no longer waits.
_FINAL_REASONS = frozenset(
    {
        errors.Reason.POISON_REQUEST,
        errors.Reason.CANCELLED,
        errors.Reason.BODY_TOO_LARGE,
    }
)

_Result = calls.Answer | errors.CallError


@dataclasses.dataclass
class _Call:
    """One call in flight.

    Attributes:
        entry: Route of the call.
        request: The request with its fingerprint.
        tried: Ids of the nodes that earlier attempts used.
        connection_losses: Number of attempts during which a backend server
            closed the connection without an answer.
    """

    entry: table.Entry
    request: calls.Request
    tried: set[str] = dataclasses.field(default_factory=set)
    connection_losses: int = 0


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One attempt in flight.

    Attributes:
        call: The call that is attempted.
        split: Share of the route's traffic that was drawn.
        member: Chosen backend server.
        started: Monotonic time in seconds.
        is_suspect: True if the request may have crashed a backend server.
    """

    call: _Call
    split: table.Split
    member: members.Member
    started: float
    is_suspect: bool


class Dispatcher:
    """Entry side of calls; `call` is safe for use by many threads."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        target: target_lib.Target,
        remote: remote_lib.RemoteCaller,
        observe: Callable[[calls.Observation], None],
        keys: key_client.KeyClient | None = None,
    ):
        self._environment = environment
        self._clock = environment.clock
        self._board = environment.blackboard
        self._target = target
        self._remote = remote
        self._observe = observe
        self._keys = keys or key_client.KeyClient(
            environment, key_client.Waiter(environment.clock.monotonic)
        )
        self._loads = pick.LoadTracker()
        self._budget = budget.CallBudget()
        self._random = random.Random(environment.random.random())
        self._ejector = ejection.Ejector(self._random)
        self._pools = pools_lib.Pools(environment, self._ejector)
        self._budgets = retries.RetryBudgets()
        self._next_eviction = 0.0

    @property
    def keys(self) -> key_client.KeyClient:
        """Client of the keepers of idempotency keys."""
        return self._keys

    @property
    def loads(self) -> pick.LoadTracker:
        """Load that this node puts on backend servers, with reported load."""
        return self._loads

    def route(self, service: str, method: str, path: str) -> table.Entry | None:
        """Return the route of a call, or None."""
        return self._board.routes.value.match(
            service, method, path, self._own_half()
        )

    def call(self, entry: table.Entry, request: calls.Request) -> _Result:
        """Run a request and return the answer or a typed error."""
        self._evict_departed_members()
        call = _Call(entry, _with_fingerprint(request))
        if request.idempotency_key and not request.target.idempotent:
            result = self._run_once(call)
        else:
            result = self._run_attempts(call)
        if isinstance(result, errors.CallError):
            self._report_error(result)
        return result

    def _own_half(self) -> str:
        own = self._board.members.value.by_node.get(self._environment.node_id)
        if own is None:
            return ""
        return own.half(self._board.state.value.configuration)

    def _run_once(self, call: _Call) -> _Result:
        """Run a call unless another call has claimed its idempotency key."""
        request = call.request
        digest = request.fingerprint or _fingerprint(request, b"")
        grant = self._keys.acquire(request, digest)
        if not isinstance(grant, key_client.Grant):
            return grant
        return self._keys.finish(grant, self._run_attempts(call))

    def _run_attempts(self, call: _Call) -> _Result:
        self._budgets.deposit(call.request.target)
        result = self._attempt(call)
        # Once an attempt may have run, the call is not reported as not run.
        may_have_run = _may_have_run(result)
        for _ in range(MAX_ATTEMPTS - 1):
            if not self._may_retry(call, result):
                break
            if isinstance(result, calls.Answer):
                result.close()
            result = self._attempt(call)
            may_have_run = may_have_run or _may_have_run(result)
        if isinstance(result, errors.CallError) and may_have_run:
            return dataclasses.replace(result, not_run=False)
        return result

    def _may_retry(self, call: _Call, result: _Result) -> bool:
        target = call.request.target
        if _is_final(result):
            return False
        if isinstance(result, errors.CallError):
            is_allowed = result.not_run or target.idempotent
        else:
            is_shed = result.status == _UNAVAILABLE_STATUS
            is_allowed = is_shed and target.idempotent
        if not is_allowed or not call.request.is_repeatable:
            return False
        if call.connection_losses >= suspects.DEATHS_TO_REFUSE:
            return False
        remaining_s = call.request.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return False
        return self._budgets.withdraw(target, remaining_s)

    def _attempt(self, call: _Call) -> _Result:
        suspect = self._board.suspects.value.by_fingerprint.get(
            call.request.fingerprint
        )
        if suspect is not None and suspect.is_refused:
            # The request ran before, so its effect is unknown.
            return self._error(errors.Reason.POISON_REQUEST, "", False)
        if self._clock.monotonic() >= call.request.deadline:
            return self._error(errors.Reason.DEADLINE_EXCEEDED, "", True)
        split = self._budget.choose(
            self._board.shares.value, call.entry, self._random
        )
        if split is None:
            return self._no_backend(call)
        member = self._choose_member(call, split)
        if member is None:
            return self._no_backend(call)
        call.tried.add(member.node_id)
        started = self._clock.monotonic()
        is_suspect = call.connection_losses > 0 or (
            suspect is not None and suspect.count > 0
        )
        attempt = _Attempt(call, split, member, started, is_suspect)
        self._loads.started(member.node_id)
        result = self._run(member, call.request)
        self._finish_attempt(attempt, result)
        return result

    def _choose_member(
        self, call: _Call, split: table.Split
    ) -> members.Member | None:
        now = self._clock.monotonic()
        loads = self._loads
        tried = call.tried

        def is_preferred(node_id: str) -> bool:
            if node_id in tried:
                return False
            return loads.load(node_id).saturated_until <= now

        pool = self._pools.pool(call.entry, split)
        return pick.choose_member(
            pool, is_preferred, lambda n: loads.cost(n, now), self._random
        )

    def _run(self, member: members.Member, request: calls.Request) -> _Result:
        if member.node_id == self._environment.node_id:
            return self._target.run(request)
        return self._remote.call(member, request)

    def _finish_attempt(self, attempt: _Attempt, result: _Result) -> None:
        now = self._clock.monotonic()
        latency_s = now - attempt.started
        is_shed = _is_shed(result)
        is_failed = _is_failed(result)
        node_id = attempt.member.node_id
        if _is_saturated(result):
            self._loads.refused(node_id, now + SATURATION_BACKOFF_S)
        elif _is_final(result):
            self._loads.refused(node_id, 0.0)
        else:
            self._loads.ended(node_id, latency_s, is_failed, now)
        self._update_ejection(attempt, result, now)
        if isinstance(result, calls.Answer) and not is_failed:
            target = attempt.call.request.target
            self._budgets.answered(target, latency_s)
            self._clear_suspect(attempt)
        self._observe(
            _observation(
                attempt,
                result,
                latency_s,
                is_shed or attempt.is_suspect or _is_cancelled(result),
            )
        )

    def _update_ejection(
        self, attempt: _Attempt, result: _Result, now: float
    ) -> None:
        """Update the ejection state of the backend server with a result."""
        is_error = isinstance(result, errors.CallError)
        if is_error and result.reason is errors.Reason.BACKEND_FAILED:
            attempt.call.connection_losses += 1
        if _is_final(result):
            return
        node_id = attempt.member.node_id
        if not _is_failed(result):
            self._ejector.succeeded(node_id)
            return
        # A suspect request may crash any backend server, so its failure does
        # not count against this one.
        if attempt.is_suspect or _is_saturated(result):
            return
        if self._ejector.failed(node_id, now):
            logger.warning(
                "routing: backend server of node %s ejected", node_id
            )
            self._environment.events.emit(events.MEMBER_EJECTED, node_id)

    def _clear_suspect(self, attempt: _Attempt) -> None:
        if attempt.is_suspect:
            fingerprint = attempt.call.request.fingerprint
            self._keys.post(suspect_messages.SuccessReport(fingerprint))

    def _evict_departed_members(self) -> None:
        """Remove the state of departed members, at most once per interval."""
        now = self._clock.monotonic()
        if now < self._next_eviction:
            return
        self._next_eviction = now + EVICTION_INTERVAL_S
        is_live = self._board.members.value.by_node.__contains__
        self._loads.keep_only(is_live)
        self._ejector.keep_only(is_live)
        self._pools.keep_only_live()

    def _no_backend(self, call: _Call) -> errors.CallError:
        service = call.entry.service
        return self._error(errors.Reason.NO_BACKEND, service, True)

    def _error(
        self, reason: errors.Reason, detail: str, not_run: bool
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, detail, not_run
        )

    def _report_error(self, error: errors.CallError) -> None:
        self._environment.metrics.call_refused(error)
        kind = events.CALL_REFUSED if error.not_run else events.CALL_UNKNOWN
        self._environment.events.emit(kind, peer=error.peer, detail=str(error))


def _with_fingerprint(request: calls.Request) -> calls.Request:
    """Return the request with its fingerprint if its body is buffered."""
    buffered = request.body.buffered
    if buffered is None:
        return request
    fingerprint = _fingerprint(request, buffered)
    return dataclasses.replace(request, fingerprint=fingerprint)


def _fingerprint(request: calls.Request, body: bytes) -> str:
    return fingerprints.fingerprint(
        request.service,
        request.method,
        request.path,
        request.idempotency_key,
        body,
    )


def _observation(
    attempt: _Attempt, result: _Result, latency_s: float, shed: bool
) -> calls.Observation:
    entry = attempt.call.entry
    return calls.Observation(
        move_id=entry.move_id,
        service=entry.service,
        half=entry.half,
        path_prefix=entry.path_prefix,
        class_name=entry.target.name,
        version=attempt.split.version,
        node_id=attempt.member.node_id,
        latency_s=latency_s,
        failed=_is_failed(result),
        shed=shed,
        is_new=bool(attempt.split.move_id),
        cut=_is_cut(result) and not attempt.is_suspect,
        served_s=result.served_s if isinstance(result, calls.Answer) else -1.0,
    )


def _may_have_run(result: _Result) -> bool:
    return isinstance(result, calls.Answer) or not result.not_run


def _is_failed(result: _Result) -> bool:
    if isinstance(result, errors.CallError):
        return True
    return result.status >= _FAILURE_STATUS


def _is_final(result: _Result) -> bool:
    is_error = isinstance(result, errors.CallError)
    return is_error and result.reason in _FINAL_REASONS


def _is_shed(result: _Result) -> bool:
    """Return True if the result is no evidence about the backend server.

    The attempt was not run, was cancelled or was answered with status 503.
    """
    if isinstance(result, errors.CallError):
        return result.not_run or result.reason is errors.Reason.CANCELLED
    return result.status == _UNAVAILABLE_STATUS


def _is_saturated(result: _Result) -> bool:
    if isinstance(result, errors.CallError):
        return result.not_run and result.reason in _SATURATION_REASONS
    return result.status == _UNAVAILABLE_STATUS


def _is_cut(result: _Result) -> bool:
    is_error = isinstance(result, errors.CallError)
    return is_error and result.reason in _CUT_REASONS


def _is_cancelled(result: _Result) -> bool:
    is_error = isinstance(result, errors.CallError)
    return is_error and result.reason is errors.Reason.CANCELLED
