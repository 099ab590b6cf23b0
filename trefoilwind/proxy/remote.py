"""Entry side of a call to a backend server of another node."""

from collections.abc import Iterator
import queue
import time

from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.model import members
from trefoilwind.proxy import bodies
from trefoilwind.proxy import calls

_STEP = "remote.call"
_REASONS = {reason.value: reason for reason in errors.Reason}


class RemoteCaller:
    """Runs calls on other nodes over peer streams."""

    def __init__(
        self, transport: transport_lib.Transport, window_bytes: int = 0
    ):
        self._transport = transport
        self._window_bytes = window_bytes
        self._dropped_frames = 0

    @property
    def dropped_frames(self) -> int:
        """Number of frames received for calls that are not in flight."""
        return self._dropped_frames

    def call(
        self, member: members.Member, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        """Send a request to a member's node and return its answer."""
        stream = self._transport.find(member.node_id)
        if stream is None:
            stream = self._transport.connect(member.peer_address)
        if isinstance(stream, errors.Error):
            return errors.CallError(
                stream.reason, _STEP, member.node_id, stream.detail, True
            )
        if stream.is_leaving:
            reason = errors.Reason.DRAINING
            return errors.CallError(reason, _STEP, stream.peer, "", True)
        return _Call(stream, request, self._window_bytes).run()

    def handle_frame(
        self, stream: stream_lib.PeerStream, frame: frames.Frame
    ) -> None:
        """Handle a frame of an answer; drop it if its call is unknown."""
        sink = stream.answer_sinks.get(frame.call_id)
        if sink is None:
            self._dropped_frames += 1
            return
        sink(frame)

    def handle_go_away(self, stream: stream_lib.PeerStream) -> None:
        """Fail, as not run, the calls that a draining peer did not accept."""
        for call_id, sink in list(stream.answer_sinks.items()):
            if stream.is_proven_unaccepted(call_id):
                reason = errors.Reason.DRAINING
                sink(errors.CallError(reason, _STEP, stream.peer, "", True))

    def stream_closed(self, stream: stream_lib.PeerStream) -> None:
        """Fail the calls that were in flight on a stream."""
        for call_id, sink in list(stream.answer_sinks.items()):
            not_run = stream.is_proven_unaccepted(call_id)
            reason = errors.Reason.PEER_UNREACHABLE
            sink(errors.CallError(reason, _STEP, stream.peer, "", not_run))


class _Call:
    """One call in flight on a stream."""

    def __init__(
        self,
        stream: stream_lib.PeerStream,
        request: calls.Request,
        window_bytes: int,
    ):
        self._stream = stream
        self._request = request
        self._window_bytes = window_bytes
        self._heads: queue.SimpleQueue = queue.SimpleQueue()
        self._credit: bodies.Credit | None = None
        self._body: bodies.ReceivedBody | None = None
        self._is_ended = False
        self._call_id = stream.open_call(self._handle)

    def run(self) -> calls.Answer | errors.CallError:
        """Send the request and wait for the answer's head."""
        request = self._request
        if not 0 <= request.body_length <= frames.INITIAL_CREDIT_BYTES:
            self._credit = bodies.Credit(request.deadline)
        request.cancellation.add(self._handle_cancellation)
        result = self._send_request()
        if result is None:
            result = self._receive_head()
        if isinstance(result, errors.CallError):
            self._end(needs_cancel=not result.not_run)
        return result

    def _send_request(self) -> errors.CallError | None:
        request = self._request
        try:
            failed = self._send_head()
            if failed is not None or self._credit is None:
                return failed
            error = bodies.send(iter(request.body), self._credit, self._send)
        except calls.BodyCut as cut:
            reason = request.cancellation.reason or cut.reason
            return self._error(reason, str(cut))
        if error is not None:
            return self._error(error.reason, error.detail)
        if not self._credit.is_stopped:
            last = frames.CallBody(self._call_id, b"", True)
            self._stream.send(last, request.deadline)
        return None

    def _send_head(self) -> errors.CallError | None:
        request = self._request
        is_last = self._credit is None
        body = b""
        if request.body_length and is_last:
            body = b"".join(request.body)
        opened = frames.CallOpen(
            call_id=self._call_id,
            method=request.method,
            path=request.path,
            headers=[list(pair) for pair in request.headers],
            remaining_s=request.deadline - time.monotonic(),
            class_name=request.target.name,
            importance=request.target.importance,
            fingerprint=request.fingerprint,
            body=body,
            is_last=is_last,
        )
        error = self._stream.send(opened, request.deadline)
        if error is None:
            return None
        return self._error(error.reason, error.detail, not_run=True)

    def _send(self, chunk: bytes) -> errors.StreamError | None:
        frame = frames.CallBody(self._call_id, chunk, False)
        return self._stream.send(frame, self._request.deadline)

    def _receive_head(self) -> calls.Answer | errors.CallError:
        remaining_s = self._request.deadline - time.monotonic()
        try:
            received = self._heads.get(timeout=max(0.0, remaining_s))
        except queue.Empty:
            return self._error(errors.Reason.DEADLINE_EXCEEDED)
        if isinstance(received, errors.CallError):
            return received
        headers = tuple((name, value) for name, value in received.headers)
        if received.is_last:
            self._end(needs_cancel=False)
            body = (received.body,) if received.body else ()
            return calls.Answer(
                received.status,
                headers,
                body,
                self._close,
                len(received.body),
                received.served_s,
            )
        return calls.Answer(
            received.status,
            headers,
            self._read_body(),
            self._close,
            served_s=received.served_s,
        )

    def _read_body(self) -> Iterator[bytes]:
        yield from self._body
        self._end(needs_cancel=False)

    def _handle(self, received: frames.Frame | errors.CallError) -> None:
        """Handle a frame or the loss of the stream without blocking."""
        if isinstance(received, frames.AnswerHead):
            self._handle_head(received)
        elif isinstance(received, frames.AnswerBody):
            self._handle_body(received)
        elif isinstance(received, frames.Credit):
            if self._credit is not None:
                self._credit.add(received.count)
        elif isinstance(received, frames.CallFailed):
            self._fail(_call_error(received))
        else:
            self._fail(received)

    def _handle_head(self, head: frames.AnswerHead) -> None:
        if not head.is_last:
            body = bodies.ReceivedBody(
                self._window_bytes, self._request.deadline, self._grant
            )
            body.put(head.body, False)
            self._body = body
        self._heads.put(head)
        # An answer that arrives before the end of the body ends the upload.
        if self._credit is not None:
            self._credit.stop()

    def _handle_body(self, frame: frames.AnswerBody) -> None:
        body = self._body
        if body is None or not body.put(frame.chunk, frame.is_last):
            self._fail(
                self._error(errors.Reason.PROTOCOL, "peer exceeded its credit")
            )

    def _fail(self, error: errors.CallError) -> None:
        body = self._body
        if body is not None:
            body.fail(error)
        self._heads.put(error)
        if self._credit is not None:
            self._credit.stop()

    def _handle_cancellation(self) -> None:
        reason = self._request.cancellation.reason
        self._fail(self._error(reason or errors.Reason.CANCELLED))

    def _grant(self, count: int) -> None:
        self._stream.send(frames.Credit(self._call_id, count, True))

    def _close(self) -> None:
        self._end(needs_cancel=True)

    def _end(self, needs_cancel: bool) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        self._stream.answer_sinks.pop(self._call_id, None)
        self._request.cancellation.discard(self._handle_cancellation)
        if needs_cancel:
            self._stream.send(frames.Cancel(self._call_id))

    def _error(
        self, reason: errors.Reason, detail: str = "", not_run: bool = False
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._stream.peer, detail, not_run
        )


def _call_error(frame: frames.CallFailed) -> errors.CallError:
    return errors.CallError(
        _REASONS.get(frame.reason, errors.Reason.PROTOCOL),
        frame.step,
        frame.peer,
        frame.detail,
        frame.not_run,
    )
