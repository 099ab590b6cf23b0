"""Idempotency keys on the call threads: claim, wait, settle."""

from collections.abc import Callable
import dataclasses
import itertools
import queue
import random
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind.proxy import calls
from trefoilwind.routing import key_messages
from trefoilwind.routing import key_store

_STEP = "key.claim"
INITIAL_POLL_S = 0.02
MAX_POLL_S = 0.5
_DECISION_TIMEOUT_S = 1.0

_Status = key_messages.KeyStatus


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permission to run a request; the claim must be ended afterwards."""

    token: str


class Waiter:
    """Blocks a call thread until an item arrives or a deadline is reached."""

    def __init__(self, monotonic: Callable[[], float]):
        self._monotonic = monotonic

    def wait(self, inbox: queue.SimpleQueue, until: float) -> Any | None:
        """Return the next item, or None once monotonic time is `until`."""
        remaining_s = until - self._monotonic()
        try:
            return inbox.get(timeout=max(0.0, remaining_s))
        except queue.Empty:
            return None


class KeyClient:
    """Claims keys for call threads. Thread-safe.

    Attributes:
        post: Sends a message to the node's own `KeeperController`; set when
            the node starts.
    """

    def __init__(
        self, environment: environment_lib.Environment, waiter: Waiter
    ):
        self._environment = environment
        self._clock = environment.clock
        self._waiter = waiter
        self._random = random.Random(environment.random.random())
        self._claim_numbers = itertools.count()
        self.post: Callable[[Any], None] = lambda message: None

    def acquire(
        self, request: calls.Request, digest: str
    ) -> Grant | calls.Answer | errors.CallError:
        """Claim the request's key.

        Returns:
            A grant if no other call has run or is running the request; the
            recorded answer if one has; otherwise an error. The error never has
            `not_run` set, as an earlier call with the key may have run.
        """
        poll_s = INITIAL_POLL_S
        while True:
            token, decision = self._claim(request, digest)
            if decision.status is _Status.NEW:
                return Grant(token)
            if decision.status not in (_Status.HELD, _Status.REFUSED):
                return self._outcome(decision)
            retry_at = self._clock.monotonic() + self._random.random() * poll_s
            poll_s = min(2 * poll_s, MAX_POLL_S)
            is_cancelled = request.cancellation.reason is not None
            if is_cancelled or retry_at >= request.deadline:
                return self._outcome(decision)
            self._waiter.wait(queue.SimpleQueue(), retry_at)

    def finish(
        self, grant: Grant, result: calls.Answer | errors.CallError
    ) -> calls.Answer | errors.CallError:
        """End a claim with the call's result and return the result.

        An answer is recorded once its body has been read to the end.
        """
        if isinstance(result, errors.CallError):
            status = _Status.RELEASED if result.not_run else _Status.UNKNOWN
            self.post(key_messages.EndClaim(grant.token, status))
            return result
        if 0 <= result.length <= key_store.MAX_ANSWER_BYTES:
            return self._record_short(grant, result)
        recorder = _Recorder(result, grant.token, self.post)
        return dataclasses.replace(
            result, body=recorder.chunks(), close=recorder.close
        )

    def _record_short(self, grant: Grant, result: calls.Answer) -> calls.Answer:
        body = b"".join(result.body)
        recorded = key_messages.RecordedAnswer(
            result.status, result.headers, body
        )
        self.post(key_messages.EndClaim(grant.token, _Status.DONE, recorded))
        return dataclasses.replace(result, body=(body,))

    def _claim(
        self, request: calls.Request, digest: str
    ) -> tuple[str, key_messages.Decision]:
        environment = self._environment
        number = next(self._claim_numbers)
        token = f"{environment.node_id}/{environment.incarnation}/{number}"
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        self.post(
            key_messages.StartClaim(
                f"{request.service}\0{request.idempotency_key}",
                digest,
                token,
                request.deadline,
                inbox.put,
            )
        )
        until = self._clock.monotonic() + _DECISION_TIMEOUT_S
        decision = self._waiter.wait(inbox, min(until, request.deadline))
        if decision is None:
            self.post(key_messages.EndClaim(token, _Status.RELEASED))
            decision = key_messages.Decision(_Status.REFUSED)
        return token, decision

    def _outcome(
        self, decision: key_messages.Decision
    ) -> calls.Answer | errors.CallError:
        answer = decision.answer
        if answer is not None:
            return calls.Answer(
                answer.status,
                answer.headers,
                (answer.body,),
                lambda: None,
                len(answer.body),
            )
        reason = errors.Reason.DUPLICATE_KEY
        if decision.status is _Status.REFUSED:
            reason = errors.Reason.KEEPER_UNAVAILABLE
        return errors.CallError(
            reason,
            _STEP,
            self._environment.node_id,
            decision.status.value,
            not_run=False,
        )


class _Recorder:
    """Copies a small answer while it is streamed to the caller."""

    def __init__(
        self,
        answer: calls.Answer,
        token: str,
        post: Callable[[Any], None],
    ):
        self._answer = answer
        self._token = token
        self._post = post
        self._copy: list[bytes] | None = []
        self._size = 0
        self._is_ended = False

    def chunks(self):
        """Yield the body; record it once it has been read to the end."""
        try:
            for chunk in self._answer.body:
                self._append_copy(chunk)
                yield chunk
        except calls.BodyCut:
            self._end(_Status.UNKNOWN, None)
            raise
        self._end(_Status.DONE, self._recorded())

    def close(self) -> None:
        """Release the answer; end the claim without it if not fully read."""
        self._end(_Status.DONE, None)
        self._answer.close()

    def _append_copy(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size > key_store.MAX_ANSWER_BYTES:
            self._copy = None
        elif self._copy is not None:
            self._copy.append(chunk)

    def _recorded(self) -> key_messages.RecordedAnswer | None:
        if self._copy is None:
            return None
        return key_messages.RecordedAnswer(
            self._answer.status, self._answer.headers, b"".join(self._copy)
        )

    def _end(
        self,
        status: key_messages.KeyStatus,
        answer: key_messages.RecordedAnswer | None,
    ) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        self._post(key_messages.EndClaim(self._token, status, answer))
