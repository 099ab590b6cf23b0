"""Calls from a node to the backend server beside it."""

from collections.abc import Iterator
import enum
import http.client
import time

import urllib3

from trefoilwind import errors
from trefoilwind.model import addresses
from trefoilwind.proxy import calls
from trefoilwind.proxy import connections

_STEP = "backend.call"
_READ_BYTES = 64 * 1024
# An answer body of a known length up to this is read before it is passed on.
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 1.0
_MIN_TIMEOUT_S = 0.001
_DEFAULT_IDLE_S = 4.0
TIMEOUT_HEADER = "Trefoilwind-Timeout"

_CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


@enum.unique
class _Upload(enum.Enum):
    """State of a request's body when its answer is received.

    Members:
        SENT: It was sent completely.
        STOPPED: It was stopped, as the answer had begun to arrive.
        FAILED: Sending it failed. The socket has reported the error and shows
            a reset of the connection as its regular end from then on.
    """

    SENT = 1
    STOPPED = 2
    FAILED = 3


class BackendClient:
    """Calls one backend server over pooled connections."""

    def __init__(
        self,
        address: addresses.Address,
        connections_count: int,
        idle_s: float = _DEFAULT_IDLE_S,
    ):
        self._address = address
        self._peer = str(address)
        self._pool = connections.ConnectionPool(
            address, connections_count, idle_s
        )

    @property
    def address(self) -> addresses.Address:
        """Address of the backend server."""
        return self._address

    def call(self, request: calls.Request) -> calls.Answer | errors.CallError:
        """Run a request and return its answer; a long body is streamed."""
        pooled = self._pool.acquire_idle()
        if pooled is not None:
            result = self._exchange(pooled, request)
            if not _is_stale(result) or not request.is_repeatable:
                return result
        return self._call_on_new_connection(request)

    def _call_on_new_connection(
        self, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0 or request.cancellation.reason is not None:
            return self._cancellation_error(request, not_run=True)
        try:
            pooled = self._pool.connect(min(_CONNECT_TIMEOUT_S, remaining_s))
        except _CONNECTION_ERRORS as error:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return self._error(reason, type(error).__name__, True)
        return self._exchange(pooled, request)

    def _exchange(
        self, pooled: connections.PooledConnection, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        cancellation = request.cancellation
        cancellation.add(pooled.abort)
        result = self._send_head(pooled, request)
        if result is None:
            result = self._send_body(pooled, request)
        if not isinstance(result, errors.CallError):
            result = self._receive(pooled, request, result)
        if isinstance(result, errors.CallError):
            cancellation.discard(pooled.abort)
            pooled.discard()
        return result

    def _send_head(
        self, pooled: connections.PooledConnection, request: calls.Request
    ) -> errors.CallError | None:
        """Send the head; return an error if that failed.

        The error counts as not run, as a backend server cannot run a request
        whose head is incomplete.
        """
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0 or request.cancellation.reason is not None:
            return self._cancellation_error(request, not_run=True)
        headers = [*request.headers, (TIMEOUT_HEADER, f"{remaining_s:.3f}")]
        if _is_chunked(request):
            headers.append(("Transfer-Encoding", "chunked"))
        pooled.sock.settimeout(remaining_s)
        try:
            pooled.send_head(request.method, request.path, headers)
        except (ValueError, http.client.InvalidURL) as error:
            reason = errors.Reason.BAD_REQUEST
            return self._error(reason, type(error).__name__, True)
        except _CONNECTION_ERRORS as error:
            return self._connection_error(request, error, True)
        return None

    def _send_body(
        self, pooled: connections.PooledConnection, request: calls.Request
    ) -> _Upload | errors.CallError:
        """Send the body, or a part of it if an answer arrives before."""
        if not request.body_length:
            return _Upload.SENT
        is_chunked = _is_chunked(request)
        try:
            for chunk in request.body:
                if connections.is_readable(pooled.sock):
                    return _Upload.STOPPED
                if not chunk:
                    continue
                pooled.sock.settimeout(_remaining_s(request))
                pooled.send_chunk(chunk, is_chunked)
            if is_chunked:
                pooled.send_chunk(b"", is_chunked)
        except calls.BodyCut as error:
            reason = request.cancellation.reason or error.reason
            return self._error(reason, str(error), False)
        except _CONNECTION_ERRORS as error:
            if _may_have_answered(pooled, error):
                return _Upload.FAILED
            return self._connection_error(request, error, False)
        return _Upload.SENT

    def _receive(
        self,
        pooled: connections.PooledConnection,
        request: calls.Request,
        upload: _Upload,
    ) -> calls.Answer | errors.CallError:
        try:
            pooled.sock.settimeout(_remaining_s(request))
            response = pooled.receive_head()
        except _CONNECTION_ERRORS as error:
            return self._connection_error(request, error, False)
        buffered = None
        if upload is _Upload.SENT and _is_short(response):
            try:
                buffered = response.read()
            except _CONNECTION_ERRORS as error:
                return self._connection_error(request, error, False)
        return self._answer(pooled, request, upload, response, buffered)

    def _answer(
        self,
        pooled: connections.PooledConnection,
        request: calls.Request,
        upload: _Upload,
        response: http.client.HTTPResponse,
        buffered: bytes | None,
    ) -> calls.Answer:
        headers = tuple(response.msg.items())
        if buffered is not None:
            self.release(pooled, request)
            body = (buffered,) if buffered else ()
            return calls.Answer(
                response.status, headers, body, _do_nothing, len(buffered)
            )
        streamed = _StreamedAnswer(self, pooled, request, upload)
        return calls.Answer(
            response.status, headers, streamed.read(response), streamed.close
        )

    def release(
        self, pooled: connections.PooledConnection, request: calls.Request
    ) -> None:
        """Return a connection to the pool after its answer was read fully."""
        request.cancellation.discard(pooled.abort)
        if request.cancellation.reason is None:
            self._pool.put_back(pooled)
        else:
            pooled.discard()

    def _connection_error(
        self, request: calls.Request, error: Exception, not_run: bool
    ) -> errors.CallError:
        is_late = time.monotonic() >= request.deadline
        if request.cancellation.reason is not None or is_late:
            return self._cancellation_error(request, not_run)
        reason = errors.Reason.BACKEND_FAILED
        if not_run:
            reason = errors.Reason.BACKEND_UNREACHABLE
        return self._error(reason, type(error).__name__, not_run)

    def _cancellation_error(
        self, request: calls.Request, not_run: bool
    ) -> errors.CallError:
        reason = request.cancellation.reason
        return self._error(
            reason or errors.Reason.DEADLINE_EXCEEDED, "", not_run
        )

    def _error(
        self, reason: errors.Reason, detail: str, not_run: bool
    ) -> errors.CallError:
        return errors.CallError(reason, _STEP, self._peer, detail, not_run)


class _StreamedAnswer:
    """Answer whose body is streamed from the connection."""

    def __init__(
        self,
        client: BackendClient,
        pooled: connections.PooledConnection,
        request: calls.Request,
        upload: _Upload,
    ):
        self._client = client
        self._pooled = pooled
        self._request = request
        self._upload = upload
        self._is_closed = False

    def read(self, response: http.client.HTTPResponse) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            calls.BodyCut: The backend server closed the connection or the
                deadline passed before the end of the body.
        """
        try:
            yield from self._chunks(response)
        except _CONNECTION_ERRORS as error:
            cancelled = self._request.cancellation.reason
            if cancelled is None and _remaining_s(self._request) <= 0.001:
                cancelled = errors.Reason.DEADLINE_EXCEEDED
            reason = cancelled or errors.Reason.BACKEND_FAILED
            raise calls.BodyCut(type(error).__name__, reason) from error
        self._finish(self._upload is _Upload.SENT)

    def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        self._finish(False)

    def _chunks(self, response: http.client.HTTPResponse) -> Iterator[bytes]:
        while chunk := response.read1(_READ_BYTES):
            yield chunk
            # Each read is limited by the time remaining for the whole call.
            self._pooled.sock.settimeout(_remaining_s(self._request))
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        is_delimited_by_end = response.length is None and not response.chunked
        if is_delimited_by_end and self._upload is _Upload.FAILED:
            raise http.client.IncompleteRead(b"")
        response.close()

    def _finish(self, is_reusable: bool) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if is_reusable:
            self._client.release(self._pooled, self._request)
            return
        self._request.cancellation.discard(self._pooled.abort)
        self._pooled.abort()
        self._pooled.discard()


def _is_chunked(request: calls.Request) -> bool:
    if request.body_length == 0:
        return False
    return not any(n.lower() == "content-length" for n, _ in request.headers)


def _may_have_answered(
    pooled: connections.PooledConnection, error: Exception
) -> bool:
    """Return True if an answer may have arrived before the error."""
    if isinstance(error, TimeoutError):
        return False
    return isinstance(error, OSError) and connections.is_readable(pooled.sock)


def _is_stale(result: calls.Answer | errors.CallError) -> bool:
    return (
        isinstance(result, errors.CallError)
        and result.not_run
        and result.reason is errors.Reason.BACKEND_UNREACHABLE
    )


def _is_short(response: http.client.HTTPResponse) -> bool:
    length = response.length
    return length is not None and length <= MAX_BUFFERED_ANSWER_BYTES


def _remaining_s(request: calls.Request) -> float:
    return max(_MIN_TIMEOUT_S, request.deadline - time.monotonic())


def _do_nothing() -> None:
    """Do nothing: no resource is to be released."""
