"""Target side of a call: takes it from a peer and runs it locally."""

from collections.abc import Iterator
from concurrent import futures
import queue
import time

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.proxy import backend as backend_lib
from trefoilwind.proxy import calls
from trefoilwind.routing import guard as guard_lib

_STEP = "target.admit"
_CONNECTIONS_PER_SLOT = 2


class Target:
    """Runs calls on the backend server beside this node."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._backend: backend_lib.BackendClient | None = None
        self._executor = futures.ThreadPoolExecutor(
            environment.settings.proxy.target_threads,
            thread_name_prefix="target",
        )
        self._incoming: dict[tuple[int, int], queue.SimpleQueue] = {}
        self._guard = guard_lib.Guard(environment)

    @property
    def guard(self) -> guard_lib.Guard:
        """Admission to the backend server."""
        return self._guard

    def set_backend(self, backend: backend_lib.BackendClient | None) -> None:
        """Set or remove the backend server."""
        self._backend = backend

    def run(self, request: calls.Request) -> calls.Answer | errors.CallError:
        """Run a request on the local backend server."""
        backend = self._backend
        if backend is None:
            return self._refusal(errors.Reason.NO_BACKEND)
        if self._environment.blackboard.lifecycle.value.draining:
            return self._refusal(errors.Reason.DRAINING)
        return self._guard.run(request, backend.call)

    def take_frame(
        self, stream: stream_lib.PeerStream, frame: frames.Frame
    ) -> None:
        """Take a frame of a call that a peer opened; does not block."""
        key = (id(stream), frame.call_id)
        if isinstance(frame, frames.CallOpen):
            chunks = queue.SimpleQueue()
            self._incoming[key] = chunks
            chunks.put((frame.body, frame.is_last))
            self._executor.submit(self._serve, stream, frame, chunks, key)
        elif isinstance(frame, frames.CallBody) and key in self._incoming:
            self._incoming[key].put((frame.chunk, frame.is_last))

    def _serve(
        self,
        stream: stream_lib.PeerStream,
        opened: frames.CallOpen,
        chunks: queue.SimpleQueue,
        key: tuple[int, int],
    ) -> None:
        request = _request(opened, chunks)
        try:
            result = self.run(request)
            if isinstance(result, errors.CallError):
                stream.send(_failure(opened.call_id, result))
            else:
                self._send_answer(stream, opened.call_id, result)
        finally:
            self._incoming.pop(key, None)

    def _send_answer(
        self,
        stream: stream_lib.PeerStream,
        call_id: int,
        answer: calls.Answer,
    ) -> None:
        headers = [list(pair) for pair in answer.headers]
        stream.send(frames.AnswerHead(call_id, answer.status, headers))
        try:
            for chunk in answer.body:
                stream.send(frames.AnswerBody(call_id, chunk, False))
        except calls.BodyCut as error:
            reason = errors.Reason.BACKEND_FAILED
            failed = errors.CallError(
                reason, "target.answer", detail=str(error)
            )
            stream.send(_failure(call_id, failed))
            return
        stream.send(frames.AnswerBody(call_id, b"", True))

    def _refusal(self, reason: errors.Reason) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, not_run=True
        )


def _failure(call_id: int, error: errors.CallError) -> frames.CallFailed:
    return frames.CallFailed(
        call_id,
        error.reason.value,
        error.step,
        error.peer,
        error.detail,
        error.not_run,
    )


def _request(
    opened: frames.CallOpen, chunks: queue.SimpleQueue
) -> calls.Request:
    deadline = time.monotonic() + opened.remaining_s
    target = configuration_lib.ClassTarget(
        opened.class_name, False, 1.0, 1.0, opened.importance
    )
    has_body = bool(opened.body) or not opened.is_last
    return calls.Request(
        service="",
        method=opened.method,
        path=opened.path,
        headers=tuple((name, value) for name, value in opened.headers),
        body=read_chunks(chunks, deadline),
        body_length=-1 if has_body else 0,
        target=target,
        deadline=deadline,
        fingerprint=opened.fingerprint,
    )


def read_chunks(chunks: queue.SimpleQueue, deadline: float) -> Iterator[bytes]:
    """Yield queued chunks up to the last one.

    Args:
        chunks: Queue of (bytes, is last) pairs or of a `CallError`.
        deadline: Monotonic time in seconds at which to give up.

    Yields:
        Chunks that are not empty.

    Raises:
        calls.BodyCut: The deadline passed or an error was queued.
    """
    while True:
        remaining_s = max(0.0, deadline - time.monotonic())
        try:
            item = chunks.get(timeout=remaining_s)
        except queue.Empty as error:
            raise calls.BodyCut("deadline") from error
        if isinstance(item, errors.Error):
            raise calls.BodyCut(str(item))
        chunk, is_last = item
        if chunk:
            yield chunk
        if is_last:
            return
