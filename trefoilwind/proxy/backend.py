"""Calls from a node to the backend server beside it."""

from collections.abc import Iterator
import dataclasses
import http.client
import time

import urllib3

from trefoilwind import errors
from trefoilwind.model import addresses
from trefoilwind.proxy import calls
from trefoilwind.proxy import connections

_STEP = "backend.call"
_READ_BYTES = 64 * 1024
# A body of a known length up to this is read before the answer is passed on.
HELD_ANSWER_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 1.0
_MIN_TIMEOUT_S = 0.001
_DEFAULT_IDLE_S = 4.0
TIMEOUT_HEADER = "Trefoilwind-Timeout"

_FAILURES = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class _EarlyAnswer(Exception):  # noqa: N818 - leaves an iterator.
    """The backend server answers before the body ended."""


@dataclasses.dataclass(slots=True)
class _Sending:
    """How far a request went.

    Attributes:
        body_started: True once the head was written as a whole. A backend
            server cannot run a request whose head it does not have.
        is_whole: True if all of the request was written.
    """

    body_started: bool = False
    is_whole: bool = False


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
        """Run a request; a long answer has its body unread."""
        pooled = self._pool.take_idle()
        if pooled is not None:
            result = self._exchange(pooled, request)
            if not _is_stale(result) or not request.is_repeatable:
                return result
        return self._call_afresh(request)

    def _call_afresh(
        self, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0 or request.cancellation.reason is not None:
            return self._cancelled(request, not_run=True)
        try:
            pooled = self._pool.connect(min(_CONNECT_TIMEOUT_S, remaining_s))
        except _FAILURES as error:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return self._error(reason, type(error).__name__, True)
        return self._exchange(pooled, request)

    def _exchange(
        self, pooled: connections.Pooled, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        cancellation = request.cancellation
        cancellation.add(pooled.abort)
        sending = _Sending()
        result = self._send(pooled, request, sending)
        if result is None:
            result = self._receive(pooled, request, sending)
        if isinstance(result, errors.CallError):
            cancellation.discard(pooled.abort)
            pooled.discard()
        return result

    def _send(
        self,
        pooled: connections.Pooled,
        request: calls.Request,
        sending: _Sending,
    ) -> errors.CallError | None:
        """Send a request; None if an answer can be expected."""
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0 or request.cancellation.reason is not None:
            return self._cancelled(request, not_run=True)
        headers = dict(request.headers)
        headers[TIMEOUT_HEADER] = f"{remaining_s:.3f}"
        body = None
        if request.body_length:
            body = _watch_body(pooled, request, sending)
        pooled.http.timeout = remaining_s
        try:
            pooled.http.request(
                request.method,
                request.path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except _EarlyAnswer:
            return None
        except calls.BodyCut as error:
            reason = request.cancellation.reason or error.reason
            return self._error(reason, str(error), False)
        except (ValueError, http.client.InvalidURL) as error:
            reason = errors.Reason.BAD_REQUEST
            return self._error(
                reason, type(error).__name__, not sending.body_started
            )
        except _FAILURES as error:
            if sending.body_started and _may_have_answered(pooled, error):
                return None
            return self._failed(request, error, not sending.body_started)
        sending.is_whole = True
        return None

    def _receive(
        self,
        pooled: connections.Pooled,
        request: calls.Request,
        sending: _Sending,
    ) -> calls.Answer | errors.CallError:
        try:
            pooled.http.timeout = _remaining_s(request)
            response = pooled.http.getresponse()
        except _FAILURES as error:
            return self._failed(request, error, False)
        held = None
        if sending.is_whole and _is_short(response):
            try:
                held = response.read()
            except _FAILURES as error:
                return self._failed(request, error, False)
        return self._answer(pooled, request, sending, response, held)

    def _answer(
        self,
        pooled: connections.Pooled,
        request: calls.Request,
        sending: _Sending,
        response: urllib3.HTTPResponse,
        held: bytes | None,
    ) -> calls.Answer:
        headers = tuple(response.headers.items())
        if held is not None:
            self.release(pooled, request)
            body = (held,) if held else ()
            return calls.Answer(
                response.status, headers, body, _do_nothing, len(held)
            )
        state = _Unread(self, pooled, request, sending.is_whole)
        return calls.Answer(
            response.status, headers, state.read(response), state.close
        )

    def release(
        self, pooled: connections.Pooled, request: calls.Request
    ) -> None:
        """Take back a connection whose answer was read to its end."""
        request.cancellation.discard(pooled.abort)
        if request.cancellation.reason is None:
            self._pool.put_back(pooled)
        else:
            pooled.discard()

    def _failed(
        self, request: calls.Request, error: Exception, not_run: bool
    ) -> errors.CallError:
        is_late = time.monotonic() >= request.deadline
        if request.cancellation.reason is not None or is_late:
            return self._cancelled(request, not_run)
        reason = errors.Reason.BACKEND_FAILED
        if not_run:
            reason = errors.Reason.BACKEND_UNREACHABLE
        return self._error(reason, type(error).__name__, not_run)

    def _cancelled(
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


class _Unread:
    """Answer whose body is read while it is passed on."""

    def __init__(
        self,
        client: BackendClient,
        pooled: connections.Pooled,
        request: calls.Request,
        is_reusable: bool,
    ):
        self._client = client
        self._pooled = pooled
        self._request = request
        self._is_reusable = is_reusable
        self._is_closed = False

    def read(self, response: urllib3.HTTPResponse) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            calls.BodyCut: The backend server or the deadline ended it.
        """
        try:
            yield from self._chunks(response)
        except _FAILURES as error:
            cancelled = self._request.cancellation.reason
            if cancelled is None and _remaining_s(self._request) <= 0.001:
                cancelled = errors.Reason.DEADLINE_EXCEEDED
            reason = cancelled or errors.Reason.BACKEND_FAILED
            raise calls.BodyCut(type(error).__name__, reason) from error
        self._finish(self._is_reusable)

    def close(self) -> None:
        """End the connection unless the body was read to its end."""
        self._finish(False)

    def _chunks(self, response: urllib3.HTTPResponse) -> Iterator[bytes]:
        # Each read has the time that is left of the whole call.
        if response.chunked:
            for chunk in response.read_chunked(_READ_BYTES):
                yield chunk
                self._pooled.sock.settimeout(_remaining_s(self._request))
            return
        while chunk := response.read1(_READ_BYTES):
            yield chunk
            self._pooled.sock.settimeout(_remaining_s(self._request))

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


def _watch_body(
    pooled: connections.Pooled, request: calls.Request, sending: _Sending
) -> Iterator[bytes]:
    sending.body_started = True
    for chunk in request.body:
        if connections.is_readable(pooled.sock):
            raise _EarlyAnswer
        pooled.sock.settimeout(_remaining_s(request))
        yield chunk


def _may_have_answered(pooled: connections.Pooled, error: Exception) -> bool:
    """Return True if an answer may precede the end of the connection."""
    if isinstance(error, TimeoutError):
        return False
    return isinstance(error, OSError) and connections.is_readable(pooled.sock)


def _is_stale(result: calls.Answer | errors.CallError) -> bool:
    return (
        isinstance(result, errors.CallError)
        and result.not_run
        and result.reason is errors.Reason.BACKEND_UNREACHABLE
    )


def _is_short(response: urllib3.HTTPResponse) -> bool:
    length = response.length_remaining
    return length is not None and length <= HELD_ANSWER_BYTES


def _remaining_s(request: calls.Request) -> float:
    return max(_MIN_TIMEOUT_S, request.deadline - time.monotonic())


def _do_nothing() -> None:
    """Release nothing."""
