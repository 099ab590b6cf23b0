"""Dispatch of a call: route, choice, attempts and retries."""

from collections.abc import Callable
import dataclasses
import logging
import random
import time

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.model import members
from trefoilwind.proxy import calls
from trefoilwind.proxy import remote as remote_lib
from trefoilwind.proxy import target as target_lib
from trefoilwind.routing import pick
from trefoilwind.routing import table

logger = logging.getLogger(__name__)

_STEP = "dispatch"
MAX_ATTEMPTS = 3
_FAILURE_STATUS = 500
_UNAVAILABLE_STATUS = 503


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """One attempt under way."""

    entry: table.Entry
    split: table.Split
    member: members.Member
    started: float


class Dispatcher:
    """Entry side of calls. `call` may be used by many threads."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        target: target_lib.Target,
        remote: remote_lib.RemoteCaller,
        observe: Callable[[calls.Observation], None],
    ):
        self._environment = environment
        self._board = environment.blackboard
        self._target = target
        self._remote = remote
        self._observe = observe
        self._loads = pick.LoadTracker()
        self._random = random.Random(environment.random.random())

    def route(self, service: str, method: str, path: str) -> table.Entry | None:
        """Return the route of a call, or None."""
        return self._board.routes.value.match(
            service, method, path, self._own_half()
        )

    def call(
        self, entry: table.Entry, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        """Run a request and return the answer or a typed error."""
        tried: set[str] = set()
        result = self._attempt(entry, request, tried)
        for _ in range(MAX_ATTEMPTS - 1):
            if not self._may_retry(request, result):
                break
            result = self._attempt(entry, request, tried)
        if isinstance(result, errors.CallError):
            self._report(result)
        return result

    def _own_half(self) -> str:
        own = self._board.members.value.by_node.get(self._environment.node_id)
        if own is None:
            return ""
        return own.half(self._board.state.value.configuration)

    def _may_retry(
        self,
        request: calls.Request,
        result: calls.Answer | errors.CallError,
    ) -> bool:
        if not isinstance(result, errors.CallError):
            return False
        if request.body_length != 0:
            return False
        if time.monotonic() >= request.deadline:
            return False
        return result.not_run or request.target.idempotent

    def _attempt(
        self, entry: table.Entry, request: calls.Request, tried: set[str]
    ) -> calls.Answer | errors.CallError:
        split = pick.choose_split(entry.splits, self._random)
        if split is None:
            return self._refusal(errors.Reason.NO_BACKEND, entry.service)
        serving = self._board.members.value.serving(
            entry.service, split.version
        )
        fresh = [m for m in serving if m.node_id not in tried]
        member = pick.choose_member(
            fresh or serving, self._loads.load, self._random
        )
        if member is None:
            return self._refusal(errors.Reason.NO_BACKEND, entry.service)
        tried.add(member.node_id)
        attempt = _Attempt(entry, split, member, time.monotonic())
        self._loads.started(member.node_id)
        result = self._run(member, request)
        self._ended(attempt, result)
        return result

    def _run(
        self, member: members.Member, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        if member.node_id == self._environment.node_id:
            return self._target.run(request)
        return self._remote.call(member, request)

    def _ended(
        self, attempt: _Attempt, result: calls.Answer | errors.CallError
    ) -> None:
        latency_s = time.monotonic() - attempt.started
        self._loads.ended(attempt.member.node_id, latency_s)
        is_error = isinstance(result, errors.CallError)
        status = 0 if is_error else result.status
        self._observe(
            calls.Observation(
                move_id=attempt.entry.move_id,
                service=attempt.entry.service,
                half=attempt.entry.half,
                path_prefix=attempt.entry.path_prefix,
                class_name=attempt.entry.target.name,
                version=attempt.split.version,
                node_id=attempt.member.node_id,
                latency_s=latency_s,
                failed=is_error or status >= _FAILURE_STATUS,
                shed=(is_error and result.not_run)
                or status == _UNAVAILABLE_STATUS,
            )
        )

    def _refusal(self, reason: errors.Reason, detail: str) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, detail, not_run=True
        )

    def _report(self, error: errors.CallError) -> None:
        self._environment.metrics.call_refused(error)
        kind = events.CALL_REFUSED if error.not_run else events.CALL_UNKNOWN
        self._environment.events.emit(kind, peer=error.peer, detail=str(error))
