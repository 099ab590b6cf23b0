"""Entry side of a call to a backend server beside another node."""

import queue
import time

from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.model import members
from trefoilwind.proxy import calls
from trefoilwind.proxy import target as target_lib

_STEP = "remote.call"


class RemoteCaller:
    """Runs calls on other nodes over peer streams."""

    def __init__(self, transport: transport_lib.Transport):
        self._transport = transport

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
        received = queue.SimpleQueue()
        call_id = stream.open_call(received.put)
        failed = _send_request(stream, call_id, request)
        if failed is not None:
            stream.answer_sinks.pop(call_id, None)
            return failed
        return _receive_head(stream, call_id, received, request.deadline)

    def take_frame(
        self, stream: stream_lib.PeerStream, frame: frames.Frame
    ) -> None:
        """Take a frame of an answer; one of an unknown call is dropped."""
        sink = stream.answer_sinks.get(frame.call_id)
        if sink is not None:
            sink(frame)

    def stream_closed(self, stream: stream_lib.PeerStream) -> None:
        """End the calls that were in flight on a stream."""
        lost = errors.CallError(
            errors.Reason.PEER_UNREACHABLE, _STEP, stream.peer
        )
        for sink in list(stream.answer_sinks.values()):
            sink(lost)


def _send_request(
    stream: stream_lib.PeerStream, call_id: int, request: calls.Request
) -> errors.CallError | None:
    opened = frames.CallOpen(
        call_id=call_id,
        method=request.method,
        path=request.path,
        headers=[list(pair) for pair in request.headers],
        remaining_s=request.deadline - time.monotonic(),
        class_name=request.target.name,
        importance=request.target.importance,
        fingerprint=request.fingerprint,
        body=b"",
        is_last=request.body_length == 0,
    )
    error = stream.send(opened)
    if error is not None:
        return _lost(stream, error)
    if request.body_length == 0:
        return None
    for chunk in request.body:
        error = stream.send(frames.CallBody(call_id, chunk, False))
        if error is not None:
            return _lost(stream, error)
    error = stream.send(frames.CallBody(call_id, b"", True))
    return None if error is None else _lost(stream, error)


def _lost(
    stream: stream_lib.PeerStream, error: errors.StreamError
) -> errors.CallError:
    return errors.CallError(error.reason, _STEP, stream.peer, error.detail)


def _receive_head(
    stream: stream_lib.PeerStream,
    call_id: int,
    received: queue.SimpleQueue,
    deadline: float,
) -> calls.Answer | errors.CallError:
    def close() -> None:
        stream.answer_sinks.pop(call_id, None)

    remaining_s = max(0.0, deadline - time.monotonic())
    try:
        frame = received.get(timeout=remaining_s)
    except queue.Empty:
        close()
        stream.send(frames.Cancel(call_id))
        reason = errors.Reason.DEADLINE_EXCEEDED
        return errors.CallError(reason, _STEP, stream.peer)
    if isinstance(frame, errors.CallError):
        close()
        return frame
    if isinstance(frame, frames.CallFailed):
        close()
        return _call_error(frame)
    chunks = queue.SimpleQueue()
    _redirect(stream, call_id, received, chunks)
    return calls.Answer(
        status=frame.status,
        headers=tuple((name, value) for name, value in frame.headers),
        body=target_lib.read_chunks(chunks, deadline),
        close=close,
    )


def _redirect(
    stream: stream_lib.PeerStream,
    call_id: int,
    received: queue.SimpleQueue,
    chunks: queue.SimpleQueue,
) -> None:
    """Pass body frames on as chunks."""

    def sink(frame) -> None:
        if isinstance(frame, frames.AnswerBody):
            chunks.put((frame.chunk, frame.is_last))
        elif isinstance(frame, frames.CallFailed):
            chunks.put(_call_error(frame))
        else:
            chunks.put(frame)

    stream.answer_sinks[call_id] = sink
    while not received.empty():
        sink(received.get())


def _call_error(frame: frames.CallFailed) -> errors.CallError:
    return errors.CallError(
        errors.Reason(frame.reason),
        frame.step,
        frame.peer,
        frame.detail,
        frame.not_run,
    )
