"""Target side of a call: accepts it from a peer and runs it locally."""

import dataclasses
import functools
import logging
import threading
import time

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.proxy import backend as backend_lib
from trefoilwind.proxy import bodies
from trefoilwind.proxy import calls
from trefoilwind.proxy import watch as watch_lib
from trefoilwind.proxy import workers as workers_lib
from trefoilwind.routing import guard as guard_lib

logger = logging.getLogger(__name__)

_STEP = "target.admit"
_ANSWER_STEP = "target.answer"


class _IncomingCall:
    """Call in flight that a peer opened."""

    def __init__(
        self,
        stream: stream_lib.PeerStream,
        opened: frames.CallOpen,
        window_bytes: int,
    ):
        self.stream = stream
        self.opened = opened
        self.deadline = time.monotonic() + opened.remaining_s
        self.cancellation = calls.Cancellation()
        self.credit: bodies.Credit | None = None
        self.body: bodies.ReceivedBody | None = None
        if not opened.is_last:
            self.body = bodies.ReceivedBody(
                window_bytes, self.deadline, self._grant
            )
            self.body.put(opened.body, False)
        self.cancellation.add(self._handle_cancellation)

    def handle(self, frame: frames.Frame) -> None:
        """Handle a further frame of the call."""
        if isinstance(frame, frames.Cancel):
            self.cancellation.cancel(errors.Reason.CANCELLED)
        elif isinstance(frame, frames.Credit):
            if self.credit is not None:
                self.credit.add(frame.count)
        elif self.body is None or not self.body.put(frame.chunk, frame.is_last):
            logger.warning(
                "target: peer %s exceeded its credit", self.stream.peer
            )
            self.cancellation.cancel(errors.Reason.PROTOCOL)

    def start_answer(self) -> bodies.Credit:
        """Return the credit for an answer that is sent in several frames."""
        credit = bodies.Credit(self.deadline)
        self.credit = credit
        if self.cancellation.reason is not None:
            credit.stop()
        return credit

    def _grant(self, count: int) -> None:
        self.stream.send(frames.Credit(self.opened.call_id, count, False))

    def _handle_cancellation(self) -> None:
        reason = self.cancellation.reason
        if self.body is not None and reason is not None:
            self.body.fail(errors.CallError(reason, _STEP, self.stream.peer))
        if self.credit is not None:
            self.credit.stop()


class Target:
    """Runs calls on the backend server beside this node."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings
        self._backend: backend_lib.BackendClient | None = None
        self._is_withdrawn = False
        self._workers = workers_lib.Workers(
            environment.settings.proxy.target_threads, "target"
        )
        self._watch = watch_lib.CallWatch()
        self._watch.start()
        # Calls of peers in flight, by stream and call id.
        self._incoming: dict[
            stream_lib.PeerStream, dict[int, _IncomingCall]
        ] = {}
        self._last_accepted: dict[stream_lib.PeerStream, int] = {}
        self._is_draining = False
        self._admission_lock = threading.Lock()
        self._dropped_frames = 0
        self._guard = guard_lib.Guard(environment)

    @property
    def guard(self) -> guard_lib.Guard:
        """Admission to the backend server."""
        return self._guard

    @property
    def in_flight(self) -> int:
        """Number of calls in flight that peers opened."""
        return self._watch.count

    @property
    def dropped_frames(self) -> int:
        """Number of frames received for calls that are not in flight."""
        return self._dropped_frames

    def set_backend(self, backend: backend_lib.BackendClient | None) -> None:
        """Set or remove the backend server; calls in flight continue."""
        self._backend = backend
        self._is_withdrawn = False

    def withdraw(self) -> None:
        """Send no new calls to the backend server, which is shutting down."""
        self._is_withdrawn = True

    def run(self, request: calls.Request) -> calls.Answer | errors.CallError:
        """Run a request on the local backend server."""
        backend = self._backend
        if backend is None:
            return self._refusal(errors.Reason.NO_BACKEND)
        if self._is_withdrawn:
            return self._refusal(errors.Reason.DRAINING)
        return self._guard.run(
            request, functools.partial(self._run_timed, backend)
        )

    def _run_timed(
        self, backend: backend_lib.BackendClient, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        clock = self._environment.clock
        started = clock.monotonic()
        result = backend.call(request)
        if isinstance(result, errors.CallError):
            return result
        return dataclasses.replace(result, served_s=clock.monotonic() - started)

    def send_go_away(self, streams: tuple[stream_lib.PeerStream, ...]) -> None:
        """Refuse further calls of peers and notify the peers.

        Args:
            streams: All streams of the node.
        """
        with self._admission_lock:
            self._is_draining = True
            last = [self._last_accepted.get(stream, 0) for stream in streams]
        for stream, last_call_id in zip(streams, last, strict=True):
            stream.send(frames.GoAway(last_call_id))

    def stop(self) -> None:
        """Cancel all calls in flight and end the threads."""
        self._watch.stop()
        self._workers.stop()

    def handle_frame(
        self, stream: stream_lib.PeerStream, frame: frames.Frame
    ) -> None:
        """Handle a frame of a call that a peer opened, without blocking."""
        if isinstance(frame, frames.CallOpen):
            refusal = self._admit(stream, frame)
            if refusal is not None:
                stream.send(_failure(frame.call_id, refusal))
            return
        incoming = self._incoming.get(stream, {}).get(frame.call_id)
        if incoming is None:
            self._dropped_frames += 1
            return
        incoming.handle(frame)

    def stream_closed(self, stream: stream_lib.PeerStream) -> None:
        """Cancel the calls of a closed stream, as no answer can be sent."""
        with self._admission_lock:
            self._last_accepted.pop(stream, None)
            lost = self._incoming.pop(stream, {})
        for incoming in list(lost.values()):
            incoming.cancellation.cancel(errors.Reason.CANCELLED)

    def _admit(
        self, stream: stream_lib.PeerStream, opened: frames.CallOpen
    ) -> errors.CallError | None:
        window_bytes = self._settings.streams.credit_window_bytes
        with self._admission_lock:
            if self._is_draining:
                return self._refusal(errors.Reason.DRAINING)
            if stream.is_closed:
                return self._refusal(errors.Reason.PEER_UNREACHABLE)
            incoming = _IncomingCall(stream, opened, window_bytes)
            stream_calls = self._incoming.setdefault(stream, {})
            stream_calls[opened.call_id] = incoming
            # Counted before its thread starts, so that a stop waits for it.
            watched = self._watch.add(incoming.deadline, incoming.cancellation)
            task = functools.partial(self._serve, incoming, watched)
            if not self._workers.try_run(task):
                self._watch.remove(watched)
                del stream_calls[opened.call_id]
                return self._refusal(errors.Reason.OVERLOADED)
            last = self._last_accepted.get(stream, 0)
            self._last_accepted[stream] = max(last, opened.call_id)
        return None

    def _serve(self, incoming: _IncomingCall, watched: int) -> None:
        try:
            result = self.run(_request(incoming))
            if isinstance(result, errors.CallError):
                failed = _failure(incoming.opened.call_id, result)
                incoming.stream.send(failed)
            else:
                _send_answer(incoming, result)
        finally:
            stream_calls = self._incoming.get(incoming.stream, {})
            stream_calls.pop(incoming.opened.call_id, None)
            self._watch.remove(watched)

    def _refusal(self, reason: errors.Reason) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, not_run=True
        )


def _send_answer(incoming: _IncomingCall, answer: calls.Answer) -> None:
    call_id = incoming.opened.call_id
    headers = [list(pair) for pair in answer.headers]
    try:
        if answer.length < 0:
            _stream_answer(incoming, answer, headers)
            return
        body = b"".join(answer.body)
        head = frames.AnswerHead(
            call_id, answer.status, headers, body, True, answer.served_s
        )
        incoming.stream.send(head, incoming.deadline)
    except calls.BodyCut as error:
        failed = errors.CallError(error.reason, _ANSWER_STEP, detail=str(error))
        incoming.stream.send(_failure(call_id, failed))
    finally:
        answer.close()


def _stream_answer(
    incoming: _IncomingCall, answer: calls.Answer, headers: list
) -> None:
    """Send an answer in several frames.

    Raises:
        calls.BodyCut: The rest of the answer cannot be read or sent.
    """
    stream = incoming.stream
    call_id = incoming.opened.call_id
    deadline = incoming.deadline
    credit = incoming.start_answer()
    head = frames.AnswerHead(
        call_id, answer.status, headers, b"", False, answer.served_s
    )
    stream.send(head, deadline)
    error = bodies.send(
        iter(answer.body),
        credit,
        lambda chunk: stream.send(
            frames.AnswerBody(call_id, chunk, False), deadline
        ),
    )
    if error is not None:
        raise calls.BodyCut(str(error), error.reason)
    if credit.is_stopped:
        raise calls.BodyCut("cancelled", errors.Reason.CANCELLED)
    stream.send(frames.AnswerBody(call_id, b"", True), deadline)


def _failure(call_id: int, error: errors.CallError) -> frames.CallFailed:
    return frames.CallFailed(
        call_id,
        error.reason.value,
        error.step,
        error.peer,
        error.detail,
        error.not_run,
    )


def _request(incoming: _IncomingCall) -> calls.Request:
    opened = incoming.opened
    target = configuration_lib.ClassTarget(
        opened.class_name, False, 1.0, 1.0, opened.importance
    )
    if opened.is_last:
        body = calls.Body(buffered=opened.body)
        length = len(opened.body)
    else:
        body = calls.Body(incoming.body)
        length = -1
    return calls.Request(
        service="",
        method=opened.method,
        path=opened.path,
        headers=tuple((name, value) for name, value in opened.headers),
        body=body,
        body_length=length,
        target=target,
        deadline=incoming.deadline,
        fingerprint=opened.fingerprint,
        cancellation=incoming.cancellation,
    )
