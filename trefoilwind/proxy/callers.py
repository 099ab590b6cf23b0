"""HTTP entry for callers, on cheroot's gateway port."""

from collections.abc import Iterator
import dataclasses
import time
from typing import Any

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server

from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind.proxy import calls
from trefoilwind.proxy import dispatcher as dispatcher_lib
from trefoilwind.proxy import http_server
from trefoilwind.proxy import problems
from trefoilwind.proxy import watch as watch_lib
from trefoilwind.routing import table

_STEP = "entry.call"
_READ_BYTES = 64 * 1024
# A body of a known length up to this is read before the call is dispatched.
HELD_BODY_BYTES = 64 * 1024
# The server's library holds a chunk of a chunked body whole.
MAX_CHUNK_BYTES = 1024 * 1024
TIMEOUT_HEADER = "Trefoilwind-Timeout"
KEY_HEADER = "Idempotency-Key"
_TIMEOUT_KEY = TIMEOUT_HEADER.encode()
_KEY_KEY = KEY_HEADER.encode()
_MIN_TIMEOUT_S = 0.001
_MAX_LINE_BYTES = 1024
_USUAL_CONNECTION = frozenset({b"close", b"keep-alive"})

_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        _TIMEOUT_KEY.lower(),
    }
)
# The result header tells of the system's own answers only.
_NOT_ANSWERED = frozenset(
    {
        problems.RESULT_HEADER.lower(),
        *(name.decode() for name in _HOP_HEADERS),
    }
)

# Used by the administration API as well.
StartResponse = problems.StartResponse
status_line = problems.status_line


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A request with its route."""

    entry: table.Entry
    request: calls.Request


class CallerApplication:
    """Takes callers' requests: /SERVICE/PATH."""

    def __init__(
        self,
        environment: environment_lib.Environment,
        dispatcher: dispatcher_lib.Dispatcher,
    ):
        self._environment = environment
        self._board = environment.blackboard
        self._dispatcher = dispatcher
        self._watch = watch_lib.CallWatch()
        self._date = http_server.DateHeader()

    @property
    def in_flight(self) -> int:
        """Count of the calls under way."""
        return self._watch.count

    def start(self) -> None:
        """Watch the calls until `stop`."""
        self._watch.start()

    def stop(self) -> None:
        """Cancel the calls that are under way."""
        self._watch.stop()

    def gateway(
        self, http_request: cheroot_server.HTTPRequest
    ) -> cheroot_server.Gateway:
        """Return the gateway of one request, for cheroot."""
        return _Gateway(http_request, self)

    def serve(self, http_request: cheroot_server.HTTPRequest) -> None:
        """Answer one request."""
        cancellation = calls.Cancellation()
        connection = http_request.conn.socket
        watched = self._watch.add(float("inf"), cancellation, connection)
        try:
            call = self._admit(http_request, cancellation)
            if isinstance(call, errors.CallError):
                self._respond_with_error(http_request, call, None)
                return
            self._watch.set_deadline(watched, call.request.deadline)
            self._run(http_request, call)
        finally:
            self._watch.remove(watched)
            if connection.gettimeout() != http_request.server.timeout:
                connection.settimeout(http_request.server.timeout)

    def _admit(
        self,
        http_request: cheroot_server.HTTPRequest,
        cancellation: calls.Cancellation,
    ) -> _Call | errors.CallError:
        started = time.monotonic()
        if self._board.lifecycle.value.draining:
            return self._refusal(errors.Reason.DRAINING)
        service, path, forwarded_path = _split_path(http_request)
        method = http_request.method.decode("latin-1")
        entry = self._dispatcher.route(service, method, path)
        if entry is None:
            detail = f"{method} /{service}{path}"
            return self._refusal(errors.Reason.NO_ROUTE, detail)
        headers = http_request.inheaders
        deadline = started + _timeout_s(headers, entry.target.timeout_s)
        length = _body_length(http_request)
        try:
            body = _body(http_request, length, deadline)
        except calls.BodyCut as cut:
            return errors.CallError(cut.reason, _STEP, "", str(cut), True)
        request = calls.Request(
            service=service,
            method=method,
            path=forwarded_path,
            headers=_headers(http_request),
            body=body,
            body_length=length,
            target=entry.target,
            deadline=deadline,
            idempotency_key=headers.get(_KEY_KEY, b"").decode("latin-1"),
            cancellation=cancellation,
        )
        return _Call(entry, request)

    def _run(
        self, http_request: cheroot_server.HTTPRequest, call: _Call
    ) -> None:
        result = self._dispatcher.call(call.entry, call.request)
        if isinstance(result, errors.CallError):
            self._respond_with_error(http_request, result, call.request)
            return
        try:
            self._respond(http_request, result, call.request)
        finally:
            result.close()

    def _respond(
        self,
        http_request: cheroot_server.HTTPRequest,
        answer: calls.Answer,
        request: calls.Request,
    ) -> None:
        status = problems.status_line(answer.status)
        http_request.status = status.encode("latin-1")
        http_request.outheaders.extend(_answer_headers(answer.headers))
        if not any(
            name.lower() == b"date" for name, _ in http_request.outheaders
        ):
            http_request.outheaders.append((b"Date", self._date.value))
        self._close_if_needed(http_request, request)
        try:
            for chunk in answer.body:
                _write(http_request, chunk, request.deadline)
        except calls.BodyCut as cut:
            self._cut(http_request, cut, request)

    def _cut(
        self,
        http_request: cheroot_server.HTTPRequest,
        cut: calls.BodyCut,
        request: calls.Request,
    ) -> None:
        """End an answer so that the caller sees that it is not whole."""
        if not http_request.sent_headers:
            http_request.outheaders.clear()
            error = errors.CallError(cut.reason, _STEP, "", str(cut))
            self._respond_with_error(http_request, error, request)
            return
        http_request.close_connection = True
        # Without the last chunk, which tells that the answer is whole.
        http_request.chunked_write = False

    def _respond_with_error(
        self,
        http_request: cheroot_server.HTTPRequest,
        error: errors.CallError,
        request: calls.Request | None,
    ) -> None:
        body = problems.document(error)
        status = problems.status_line(problems.status(error))
        http_request.status = status.encode("latin-1")
        http_request.outheaders.extend(
            (
                (b"Content-Type", problems.CONTENT_TYPE.encode()),
                (b"Content-Length", str(len(body)).encode()),
                (
                    problems.RESULT_HEADER.encode(),
                    problems.result(error).encode(),
                ),
            )
        )
        self._close_if_needed(http_request, request)
        _write_head(http_request, body)

    def _close_if_needed(
        self,
        http_request: cheroot_server.HTTPRequest,
        request: calls.Request | None,
    ) -> None:
        """Let the connection end if it cannot carry a further request."""
        is_read = _is_read(http_request, request)
        if not is_read or self._board.lifecycle.value.draining:
            http_request.close_connection = True

    def _refusal(
        self, reason: errors.Reason, detail: str = ""
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, detail, not_run=True
        )


class _Gateway(cheroot_server.Gateway):
    """Gives a request to the application."""

    def __init__(
        self,
        http_request: cheroot_server.HTTPRequest,
        application: CallerApplication,
    ):
        super().__init__(http_request)
        self._application = application

    def respond(self) -> None:
        """Answer the request."""
        self._application.serve(self.req)


class _BoundedFile:
    """Refuses chunks that the server's library would hold whole."""

    def __init__(self, file: Any):
        self._file = file

    def read(self, size: int) -> bytes:
        """Read exactly `size` bytes, or up to the end of the connection."""
        if size > MAX_CHUNK_BYTES:
            reason = errors.Reason.BODY_TOO_LARGE
            raise calls.BodyCut(f"chunk over {MAX_CHUNK_BYTES} bytes", reason)
        return self._file.read(size)

    def readline(self) -> bytes:
        """Read a line of a bounded length."""
        return self._file.readline(_MAX_LINE_BYTES)


class _Gatherer:
    """Collects what a request writes, so that it leaves in one piece."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Collect bytes."""
        self._parts.append(data)

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join(self._parts)


def _write(
    http_request: cheroot_server.HTTPRequest, chunk: bytes, deadline: float
) -> None:
    if not http_request.sent_headers:
        _write_head(http_request, chunk)
        return
    _limit_wait(http_request, deadline)
    http_request.write(chunk)


def _write_head(http_request: cheroot_server.HTTPRequest, body: bytes) -> None:
    """Write the head and the first bytes of the body in one piece."""
    connection = http_request.conn
    writer = connection.wfile
    gatherer = _Gatherer()
    connection.wfile = gatherer
    try:
        http_request.ensure_headers_sent()
        if body and http_request.method != b"HEAD":
            http_request.write(body)
    finally:
        connection.wfile = writer
    writer.write(gatherer.join())


def _split_path(
    http_request: cheroot_server.HTTPRequest,
) -> tuple[str, str, str]:
    """Return the service, its path decoded, and its path and query as sent."""
    decoded = http_request.path.decode("utf-8", "replace")
    service, _, path = decoded.lstrip("/").partition("/")
    raw = http_request.uri.decode("latin-1").lstrip("/")
    end = min(
        (i for i in (raw.find("/"), raw.find("?")) if i >= 0),
        default=len(raw),
    )
    forwarded = raw[end:]
    if not forwarded.startswith("/"):
        forwarded = f"/{forwarded}"
    return service, f"/{path}", forwarded


def _timeout_s(headers: dict[bytes, bytes], default_s: float) -> float:
    text = headers.get(_TIMEOUT_KEY)
    if text is None:
        return default_s
    try:
        wanted_s = float(text)
    except ValueError:
        return default_s
    return wanted_s if 0 < wanted_s <= default_s else default_s


def _body_length(http_request: cheroot_server.HTTPRequest) -> int:
    if http_request.chunked_read:
        return -1
    # The server's library has refused what is not a number.
    return max(0, int(http_request.inheaders.get(b"Content-Length", 0)))


def _headers(
    http_request: cheroot_server.HTTPRequest,
) -> tuple[calls.Header, ...]:
    named = http_request.inheaders.get(b"Connection", b"").lower()
    dropped = _HOP_HEADERS
    if named and named not in _USUAL_CONNECTION:
        dropped = dropped | {name.strip() for name in named.split(b",")}
    if http_request.chunked_read:
        dropped = dropped | {b"content-length"}
    return tuple(
        [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in http_request.inheaders.items()
            if name.lower() not in dropped
        ]
    )


def _answer_headers(
    headers: tuple[calls.Header, ...],
) -> Iterator[tuple[bytes, bytes]]:
    is_chunked = any(n.lower() == "transfer-encoding" for n, _ in headers)
    for name, value in headers:
        lowered = name.lower()
        if lowered in _NOT_ANSWERED:
            continue
        if is_chunked and lowered == "content-length":
            continue
        yield name.encode("latin-1"), value.encode("latin-1")


def _body(
    http_request: cheroot_server.HTTPRequest, length: int, deadline: float
) -> calls.Body:
    """Return the body; one that is short is read now.

    Raises:
        calls.BodyCut: The caller sent less than it said.
    """
    if length == 0:
        return calls.Body(held=b"")
    chunks = _read(http_request, length, deadline)
    if 0 < length <= HELD_BODY_BYTES:
        return calls.Body(held=b"".join(chunks))
    return calls.Body(chunks)


def _read(
    http_request: cheroot_server.HTTPRequest, length: int, deadline: float
) -> Iterator[bytes]:
    if length < 0:
        http_request.rfile.rfile = _BoundedFile(http_request.conn.rfile)
    left = length
    while left != 0:
        wanted = _READ_BYTES if left < 0 else min(_READ_BYTES, left)
        chunk = _read_chunk(http_request, wanted, deadline)
        if not chunk:
            if left > 0:
                raise calls.BodyCut("caller ended", errors.Reason.CANCELLED)
            _read_trailer(http_request)
            return
        left -= len(chunk) if left > 0 else 0
        yield chunk


def _read_chunk(
    http_request: cheroot_server.HTTPRequest, wanted: int, deadline: float
) -> bytes:
    _limit_wait(http_request, deadline)
    try:
        return http_request.rfile.read(wanted)
    except TimeoutError as error:
        reason = errors.Reason.DEADLINE_EXCEEDED
        raise calls.BodyCut("caller sends too slowly", reason) from error
    except (OSError, ValueError, cheroot_errors.MaxSizeExceeded) as error:
        reason = errors.Reason.CANCELLED
        raise calls.BodyCut(type(error).__name__, reason) from error


def _read_trailer(http_request: cheroot_server.HTTPRequest) -> None:
    """Read what follows the last chunk.

    Left unread, it would look like the start of a further request, for which
    a thread of the server would then wait.
    """
    try:
        for _ in http_request.rfile.read_trailer_lines():
            continue
    except (OSError, ValueError) as error:
        reason = errors.Reason.CANCELLED
        raise calls.BodyCut(type(error).__name__, reason) from error


def _limit_wait(
    http_request: cheroot_server.HTTPRequest, deadline: float
) -> None:
    remaining_s = max(_MIN_TIMEOUT_S, deadline - time.monotonic())
    http_request.conn.socket.settimeout(remaining_s)


def _is_read(
    http_request: cheroot_server.HTTPRequest, request: calls.Request | None
) -> bool:
    """Return True if nothing of the request is left on the connection."""
    if request is not None:
        return request.body.is_ended
    return _body_length(http_request) == 0
