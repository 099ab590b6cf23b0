"""Guard of the local backend server: suspects, admission, crash reports.

It runs on call threads. Its lock is held for list operations only, never
while a call runs.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import queue
import threading
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind.proxy import calls
from trefoilwind.routing import admission
from trefoilwind.routing import key_client
from trefoilwind.routing import suspect_messages

_STEP = "target.admit"
DEFAULT_SLOTS = 16
_UNAVAILABLE_STATUS = 503

Run = Callable[[calls.Request], calls.Answer | errors.CallError]


class Guard:
    """Decides which calls may run on the local backend server.

    Attributes:
        post: Sends a message to the node's own `SuspectController`; set
            when the node starts.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        waiter: key_client.Waiter | None = None,
    ):
        self._environment = environment
        self._clock = environment.clock
        self._waiter = waiter or key_client.Waiter(environment.clock.monotonic)
        self._lock = threading.Lock()
        self._admission = admission.Admission(DEFAULT_SLOTS)
        self._slots = DEFAULT_SLOTS
        self._deaths = itertools.count()
        self.post: Callable[[Any], None] = lambda message: None

    def run(
        self, request: calls.Request, run: Run
    ) -> calls.Answer | errors.CallError:
        """Run a request if it is admitted.

        Args:
            request: Request to run.
            run: Runs the request on the backend server.
        """
        if self._is_refused(request):
            return self._refusal(errors.Reason.POISON_REQUEST, False)
        state = self._current_admission()
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        ticket = admission.Ticket(
            request.target.name,
            request.target.importance,
            request.deadline,
            inbox.put,
        )
        verdict = self._await_admission(state, ticket, request, inbox)
        if verdict is not admission.Verdict.ADMITTED:
            return self._refusal(_reason(verdict), True)
        return self._run_admitted(state, ticket, request, run)

    def _is_refused(self, request: calls.Request) -> bool:
        table = self._environment.blackboard.suspects.value
        suspect = table.by_fingerprint.get(request.fingerprint)
        return suspect is not None and suspect.is_refused

    def _current_admission(self) -> admission.Admission:
        """Return the admission state; create a new one if the slots changed."""
        members = self._environment.blackboard.members.value
        own = members.by_node.get(self._environment.node_id)
        slots = own.slots if own and own.slots else DEFAULT_SLOTS
        with self._lock:
            if slots != self._slots:
                self._slots = slots
                self._admission = admission.Admission(slots)
            return self._admission

    def _await_admission(
        self,
        state: admission.Admission,
        ticket: admission.Ticket,
        request: calls.Request,
        inbox: queue.SimpleQueue,
    ) -> admission.Verdict:
        with self._lock:
            verdict = state.submit(ticket, self._clock.monotonic())
        if verdict is not admission.Verdict.QUEUED:
            return verdict

        def on_cancelled() -> None:
            inbox.put(admission.Verdict.CANCELLED)

        request.cancellation.add(on_cancelled)
        decided = self._waiter.wait(inbox, ticket.deadline)
        request.cancellation.discard(on_cancelled)
        if decided not in (None, admission.Verdict.CANCELLED):
            return decided
        with self._lock:
            is_withdrawn = state.withdraw(ticket)
        if is_withdrawn:
            return decided or admission.Verdict.EXPIRED
        # The ticket has left the queue, so its verdict is in the inbox.
        verdict = inbox.get()
        while verdict is admission.Verdict.CANCELLED:
            verdict = inbox.get()
        return verdict

    def _run_admitted(
        self,
        state: admission.Admission,
        ticket: admission.Ticket,
        request: calls.Request,
        run: Run,
    ) -> calls.Answer | errors.CallError:
        end = _once(
            lambda latency_s, overloaded: self._end(
                state, ticket, latency_s, overloaded
            )
        )
        try:
            result = run(request)
        except BaseException:
            end(self._clock.monotonic() - ticket.started, False)
            raise
        latency_s = self._clock.monotonic() - ticket.started
        if isinstance(result, errors.CallError):
            end(latency_s, _is_overload(result))
            self._report_death(request, result)
            return result
        overloaded = result.status == _UNAVAILABLE_STATUS
        if result.length >= 0:
            end(latency_s, overloaded)
            return result
        return dataclasses.replace(
            result,
            body=_iterate_then(result.body, lambda: end(latency_s, overloaded)),
            close=_run_both(result.close, lambda: end(latency_s, overloaded)),
        )

    def _end(
        self,
        state: admission.Admission,
        ticket: admission.Ticket,
        latency_s: float,
        overloaded: bool,
    ) -> None:
        with self._lock:
            state.ended(ticket, latency_s, overloaded, self._clock.monotonic())

    def _report_death(
        self, request: calls.Request, error: errors.CallError
    ) -> None:
        """Report a request whose connection the backend server closed early."""
        is_cut = error.reason is errors.Reason.BACKEND_FAILED
        if not is_cut or not request.fingerprint:
            return
        environment = self._environment
        number = next(self._deaths)
        death = f"{environment.node_id}/{environment.incarnation}/{number}"
        self.post(suspect_messages.DeathReport(request.fingerprint, death))

    def _refusal(
        self, reason: errors.Reason, not_run: bool
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, not_run=not_run
        )


def _reason(verdict: admission.Verdict) -> errors.Reason:
    if verdict is admission.Verdict.EXPIRED:
        return errors.Reason.DEADLINE_EXCEEDED
    if verdict is admission.Verdict.CANCELLED:
        return errors.Reason.CANCELLED
    return errors.Reason.OVERLOADED


def _is_overload(error: errors.CallError) -> bool:
    return error.reason is errors.Reason.DEADLINE_EXCEEDED


def _once(function: Callable[..., None]) -> Callable[..., None]:
    lock = threading.Lock()

    def call(*args: Any) -> None:
        # Never released, so that only the first call runs the function.
        if lock.acquire(blocking=False):
            function(*args)

    return call


def _iterate_then(body: Any, end: Callable[[], None]) -> Iterator[bytes]:
    try:
        yield from body
    finally:
        end()


def _run_both(
    first: Callable[[], None], second: Callable[[], None]
) -> Callable[[], None]:
    def close() -> None:
        try:
            first()
        finally:
            second()

    return close
