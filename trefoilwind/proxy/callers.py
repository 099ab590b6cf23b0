"""HTTP front end for callers, implemented as a cheroot gateway."""

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
# A request body of a known length up to this is read before dispatch.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Cheroot buffers each chunk of a chunked body as a whole.
MAX_CHUNK_BYTES = 1024 * 1024
TIMEOUT_HEADER = "Trefoilwind-Timeout"
KEY_HEADER = "Idempotency-Key"
_ENCODED_TIMEOUT_HEADER = TIMEOUT_HEADER.encode()
_ENCODED_KEY_HEADER = KEY_HEADER.encode()
_MIN_TIMEOUT_S = 0.001
_MAX_LINE_BYTES = 1024
_CONNECTION_OPTIONS = frozenset({b"close", b"keep-alive"})

_HOP_BY_HOP_HEADERS = frozenset(
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
        _ENCODED_TIMEOUT_HEADER.lower(),
    }
)
# The result header is set only on answers that the node itself generates.
_STRIPPED_ANSWER_HEADERS = frozenset(
    {
        problems.RESULT_HEADER.lower(),
        *(name.decode() for name in _HOP_BY_HOP_HEADERS),
    }
)

# Used by the administration API as well.
StartResponse = problems.StartResponse
status_line = problems.status_line


@dataclasses.dataclass(frozen=True, slots=True)
class _RoutedCall:
    """A request with its matched route."""

    entry: table.Entry
    request: calls.Request


class CallerApplication:
    """Serves callers' requests, whose paths have the form /SERVICE/PATH."""

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
        """Number of calls in flight."""
        return self._watch.count

    def start(self) -> None:
        """Start the watch for deadlines and closed connections."""
        self._watch.start()

    def stop(self) -> None:
        """Cancel the calls in flight and stop the watch."""
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
        watch_id = self._watch.add(float("inf"), cancellation, connection)
        try:
            call = self._admit(http_request, cancellation)
            if isinstance(call, errors.CallError):
                self._respond_with_error(http_request, call, None)
                return
            self._watch.set_deadline(watch_id, call.request.deadline)
            self._run(http_request, call)
        finally:
            self._watch.remove(watch_id)
            if connection.gettimeout() != http_request.server.timeout:
                connection.settimeout(http_request.server.timeout)

    def _admit(
        self,
        http_request: cheroot_server.HTTPRequest,
        cancellation: calls.Cancellation,
    ) -> _RoutedCall | errors.CallError:
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
            idempotency_key=headers.get(_ENCODED_KEY_HEADER, b"").decode(
                "latin-1"
            ),
            cancellation=cancellation,
        )
        return _RoutedCall(entry, request)

    def _run(
        self, http_request: cheroot_server.HTTPRequest, call: _RoutedCall
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
            self._abort_answer(http_request, cut, request)

    def _abort_answer(
        self,
        http_request: cheroot_server.HTTPRequest,
        cut: calls.BodyCut,
        request: calls.Request,
    ) -> None:
        """End an answer such that the caller detects that it is incomplete."""
        if not http_request.sent_headers:
            http_request.outheaders.clear()
            error = errors.CallError(cut.reason, _STEP, "", str(cut))
            self._respond_with_error(http_request, error, request)
            return
        http_request.close_connection = True
        # Suppress the final chunk, which would mark the answer as complete.
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
        """Mark the connection for closing if it cannot be reused."""
        is_fully_read = _is_fully_read(http_request, request)
        if not is_fully_read or self._board.lifecycle.value.draining:
            http_request.close_connection = True

    def _refusal(
        self, reason: errors.Reason, detail: str = ""
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, self._environment.node_id, detail, not_run=True
        )


class _Gateway(cheroot_server.Gateway):
    """Passes a request to the application."""

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
    """Limits the size of chunks, which cheroot buffers as a whole."""

    def __init__(self, file: Any):
        self._file = file

    def read(self, size: int) -> bytes:
        """Read exactly `size` bytes, or up to the end of the connection.

        Raises:
            calls.BodyCut: The chunk exceeds `MAX_CHUNK_BYTES`.
        """
        if size > MAX_CHUNK_BYTES:
            reason = errors.Reason.BODY_TOO_LARGE
            raise calls.BodyCut(
                f"chunk larger than {MAX_CHUNK_BYTES} bytes", reason
            )
        return self._file.read(size)

    def readline(self) -> bytes:
        """Read a line of at most `_MAX_LINE_BYTES`."""
        return self._file.readline(_MAX_LINE_BYTES)


class _WriteBuffer:
    """Buffers the output of a request so that it is sent in one write."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Append bytes to the buffer."""
        self._parts.append(data)

    def join(self) -> bytes:
        """Return the buffered bytes."""
        return b"".join(self._parts)


def _write(
    http_request: cheroot_server.HTTPRequest, chunk: bytes, deadline: float
) -> None:
    if not http_request.sent_headers:
        _write_head(http_request, chunk)
        return
    _set_socket_timeout(http_request, deadline)
    http_request.write(chunk)


def _write_head(http_request: cheroot_server.HTTPRequest, body: bytes) -> None:
    """Send the head and the first bytes of the body in one write."""
    connection = http_request.conn
    writer = connection.wfile
    buffer = _WriteBuffer()
    connection.wfile = buffer
    try:
        http_request.ensure_headers_sent()
        if body and http_request.method != b"HEAD":
            http_request.write(body)
    finally:
        connection.wfile = writer
    writer.write(buffer.join())


def _split_path(
    http_request: cheroot_server.HTTPRequest,
) -> tuple[str, str, str]:
    """Return the service, the decoded path, and the path and query as sent."""
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
    text = headers.get(_ENCODED_TIMEOUT_HEADER)
    if text is None:
        return default_s
    try:
        requested_s = float(text)
    except ValueError:
        return default_s
    return requested_s if 0 < requested_s <= default_s else default_s


def _body_length(http_request: cheroot_server.HTTPRequest) -> int:
    if http_request.chunked_read:
        return -1
    # Cheroot has already rejected a value that is not a number.
    return max(0, int(http_request.inheaders.get(b"Content-Length", 0)))


def _headers(
    http_request: cheroot_server.HTTPRequest,
) -> tuple[calls.Header, ...]:
    connection_value = http_request.inheaders.get(b"Connection", b"").lower()
    dropped = _HOP_BY_HOP_HEADERS
    if connection_value and connection_value not in _CONNECTION_OPTIONS:
        dropped = dropped | {
            name.strip() for name in connection_value.split(b",")
        }
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
        if lowered in _STRIPPED_ANSWER_HEADERS:
            continue
        if is_chunked and lowered == "content-length":
            continue
        yield name.encode("latin-1"), value.encode("latin-1")


def _body(
    http_request: cheroot_server.HTTPRequest, length: int, deadline: float
) -> calls.Body:
    """Return the body; a short one is read at once.

    Raises:
        calls.BodyCut: The caller sent fewer bytes than Content-Length.
    """
    if length == 0:
        return calls.Body(buffered=b"")
    chunks = _read(http_request, length, deadline)
    if 0 < length <= MAX_BUFFERED_BODY_BYTES:
        return calls.Body(buffered=b"".join(chunks))
    return calls.Body(chunks)


def _read(
    http_request: cheroot_server.HTTPRequest, length: int, deadline: float
) -> Iterator[bytes]:
    if length < 0:
        http_request.rfile.rfile = _BoundedFile(http_request.conn.rfile)
    remaining_bytes = length
    while remaining_bytes != 0:
        size_bytes = (
            _READ_BYTES
            if remaining_bytes < 0
            else min(_READ_BYTES, remaining_bytes)
        )
        chunk = _read_chunk(http_request, size_bytes, deadline)
        if not chunk:
            if remaining_bytes > 0:
                raise calls.BodyCut(
                    "caller closed the connection inside the body",
                    errors.Reason.CANCELLED,
                )
            _read_trailer(http_request)
            return
        remaining_bytes -= len(chunk) if remaining_bytes > 0 else 0
        yield chunk


def _read_chunk(
    http_request: cheroot_server.HTTPRequest, size_bytes: int, deadline: float
) -> bytes:
    _set_socket_timeout(http_request, deadline)
    try:
        return http_request.rfile.read(size_bytes)
    except TimeoutError as error:
        reason = errors.Reason.DEADLINE_EXCEEDED
        raise calls.BodyCut(
            "deadline passed while reading the caller's body", reason
        ) from error
    except (OSError, ValueError, cheroot_errors.MaxSizeExceeded) as error:
        reason = errors.Reason.CANCELLED
        raise calls.BodyCut(type(error).__name__, reason) from error


def _read_trailer(http_request: cheroot_server.HTTPRequest) -> None:
    """Read the trailer that follows the last chunk.

    If left unread, it would be parsed as the start of another request, and a
    server thread would wait for the rest of it.
    """
    try:
        for _ in http_request.rfile.read_trailer_lines():
            continue
    except (OSError, ValueError) as error:
        reason = errors.Reason.CANCELLED
        raise calls.BodyCut(type(error).__name__, reason) from error


def _set_socket_timeout(
    http_request: cheroot_server.HTTPRequest, deadline: float
) -> None:
    remaining_s = max(_MIN_TIMEOUT_S, deadline - time.monotonic())
    http_request.conn.socket.settimeout(remaining_s)


def _is_fully_read(
    http_request: cheroot_server.HTTPRequest, request: calls.Request | None
) -> bool:
    """Return True if the request was read from the connection to its end."""
    if request is not None:
        return request.body.is_ended
    return _body_length(http_request) == 0
