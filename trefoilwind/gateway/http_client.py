"""HTTP client on the event loop with a connection pool for one address."""

import asyncio
import collections
from collections.abc import Callable
import logging
import re
import socket

import httptools

from trefoilwind import errors
from trefoilwind.gateway import http_types
from trefoilwind.gateway import paced_parsing
from trefoilwind.gateway import unread
from trefoilwind.logs import decisions
from trefoilwind.model import addresses

logger = logging.getLogger(__name__)

_STEP = "backend.call"
CONNECT_TIMEOUT_S = 1.0
# Largest body of an answer that is buffered.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Bytes of bodies buffered by all connections of a client. Above it, the largest
# answers fail, as a node may have 128 MB in all.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Bytes outside of bodies that may precede the end of an answer: heads, interim
# answers, trailers, and per byte of a body the framing of its chunk.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 8
# Headers and trailers of an answer.
MAX_HEADERS = 256
# Seconds beyond its deadline after which an answer that still arrives is given
# up, however many bytes arrive.
MAX_PROGRESS_S = 30.0
# Largest body that is copied behind its head, to be sent at once.
MAX_JOINED_BYTES = 64 * 1024
# Answers to other requests that may precede an answer.
MAX_DISCARDED_ANSWERS = 16
# Idle time after which a connection is not reused, if the server announces
# none in a Keep-Alive header.
DEFAULT_IDLE_S = 4.0
# Fraction of the idle time announced by the server for which a connection is
# reused.
IDLE_FRACTION = 0.6
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
# TCP keepalive: seconds of silence before the first probe, seconds between
# probes, and unanswered probes after which the connection is closed.
_KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
_BODILESS = frozenset({204, 304})

Result = http_types.HttpAnswer | errors.CallError
AnswerMatcher = Callable[[http_types.HttpAnswer], http_types.Match]


class HttpClient:
    """Sends requests over pooled connections, the last used one first."""

    def __init__(
        self,
        address: addresses.Address,
        max_idle: int,
        has_keepalive: bool = False,
    ):
        self._address = address
        self._max_idle = max_idle
        self._has_keepalive = has_keepalive
        self._idle: collections.deque[_Connection] = collections.deque()
        self._connections_opened = 0
        self._in_flight: set[_Connection] = set()
        self._rate = paced_parsing.ItemRate(asyncio.get_running_loop().time)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the bodies of answers that are not complete."""
        return sum(each.body_bytes for each in self._in_flight)

    @property
    def address(self) -> addresses.Address:
        """Address of the server."""
        return self._address

    @property
    def connections_opened(self) -> int:
        """Number of connections opened so far."""
        return self._connections_opened

    async def call(
        self,
        head: bytes,
        body: bytes,
        deadline: float,
        match_answer: AnswerMatcher | None = None,
        progress_s: float = 0.0,
    ) -> Result:
        """Send a request and return its complete answer.

        Cancelling the call closes the connection.

        Args:
            head: Request line and headers, including the empty line.
            body: Body.
            deadline: Event loop time in seconds by which the answer is due.
            match_answer: Returns whether an answer belongs to this request;
                other answers are discarded.
            progress_s: Seconds after its last received bytes for which an
                answer that has begun is awaited beyond the deadline.

        Returns:
            The answer, or an error whose `not_run` is True if no byte was
            sent.
        """
        connection = await self._connect(deadline)
        if isinstance(connection, errors.CallError):
            return connection
        self._in_flight.add(connection)
        try:
            result = await connection.exchange(
                head, body, deadline, match_answer, progress_s
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            self._in_flight.discard(connection)
        if isinstance(result, errors.CallError) or not connection.is_reusable:
            connection.abort()
        elif len(self._idle) >= self._max_idle:
            connection.close()
        else:
            self._idle.append(connection)
        return result

    async def is_listening(self) -> bool:
        """Return True if the server accepts a new connection.

        The connection is added to the pool. A server that does not accept it
        in time counts as busy, not as stopped.
        """
        deadline = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S
        connection = await self._open(deadline)
        if isinstance(connection, errors.CallError):
            return connection.detail == TimeoutError.__name__
        connection.mark_idle()
        self._idle.append(connection)
        return True

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(
        self, deadline: float
    ) -> "_Connection | errors.CallError":
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return await self._open(deadline)

    def _limit_bodies(self, connection: "_Connection") -> None:
        """Fail answers that are too large, after one of them has grown.

        The largest ones fail until the others fit, whichever of them grew.
        """
        if connection.body_bytes > MAX_ANSWER_BYTES:
            connection.fail_too_large()
        while self.buffered_bytes > MAX_BUFFERED_BYTES:
            max(self._in_flight, key=_body_bytes).fail_too_large()

    async def _open(self, deadline: float) -> "_Connection | errors.CallError":
        loop = asyncio.get_running_loop()
        now = loop.time()
        limit_s = min(CONNECT_TIMEOUT_S, deadline - now)
        if limit_s <= 0:
            reason = errors.Reason.DEADLINE_EXCEEDED
            return self._error(reason, "", not_run=True)
        try:
            async with asyncio.timeout(limit_s):
                _, connection = await loop.create_connection(
                    lambda: _Connection(
                        str(self._address), self._limit_bodies, self._rate
                    ),
                    self._address.host,
                    self._address.port,
                )
        except (OSError, TimeoutError) as error:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return self._error(reason, type(error).__name__, not_run=True)
        self._connections_opened += 1
        if self._has_keepalive:
            connection.set_keepalive()
        return connection

    def _error(
        self, reason: errors.Reason, detail: str, not_run: bool
    ) -> errors.CallError:
        return errors.CallError(
            reason, _STEP, str(self._address), detail, not_run
        )


def _body_bytes(connection: "_Connection") -> int:
    return connection.body_bytes


class _CallEndedError(Exception):
    """Ends the parsing of bytes that follow the end of a call."""


class _Connection(asyncio.Protocol):
    """A connection with at most one request in flight."""

    def __init__(
        self,
        peer: str,
        limit_bodies: Callable[["_Connection"], None],
        rate: paced_parsing.ItemRate,
    ):
        self._peer = peer
        self._limit_bodies = limit_bodies
        self._paced = paced_parsing.PacedParser(rate, self._parse)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._match_answer: AnswerMatcher | None = None
        self._is_broken = False
        self._is_reusable = True
        self._requests = 0
        self._timer: asyncio.TimerHandle | None = None
        self._progress_s = 0.0
        self._received_at = 0.0
        self._last_deadline = 0.0
        self._idle_s = DEFAULT_IDLE_S
        self._idle_until = 0.0
        self._reset_answer()

    @property
    def body_bytes(self) -> int:
        """Bytes of the body received so far."""
        return len(self._body)

    def _reset_answer(self) -> None:
        self._received_bytes = 0
        self._all_body_bytes = 0
        self._discarded = 0
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[http_types.Header] = []
        # One buffer, as a list of tiny chunks takes many times their bytes.
        self._body = bytearray()
        self._is_head_complete = False
        self._is_framed = False

    @property
    def is_reusable(self) -> bool:
        """True if the next request may be sent on this connection."""
        return self._is_reusable and not self._is_broken

    def is_usable(self, now: float) -> bool:
        """Return True unless the connection ended or its idle time expired."""
        if not self.is_reusable or now >= self._idle_until:
            return False
        # Its end, or bytes of no request, may wait to be read.
        return not unread.is_readable(self._transport)

    def mark_idle(self) -> None:
        """Start the idle time of a connection that has had no request yet."""
        self._idle_until = self._loop.time() + self._idle_s

    def set_keepalive(self) -> None:
        """Enable TCP keepalive, so that a lost connection is closed soon."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in _KEEPALIVE_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def fail_too_large(self) -> None:
        """Fail the pending request and free the memory of its answer."""
        self._body = bytearray()
        self._finish(self._error(errors.Reason.BODY_TOO_LARGE))

    def close(self) -> None:
        """Close the connection."""
        self._is_broken = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        self._is_broken = True
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        deadline: float,
        match_answer: AnswerMatcher | None,
        progress_s: float = 0.0,
    ) -> Result:
        """Send a request and wait for its answer."""
        self._progress_s = progress_s
        self._last_deadline = deadline + MAX_PROGRESS_S
        self._waiter = self._loop.create_future()
        self._match_answer = match_answer
        self._requests += 1
        self._reset_answer()
        if len(body) > MAX_JOINED_BYTES:
            self._transport.write(head)
            self._transport.write(body)
        else:
            self._transport.write(head + body)
        self._timer = self._loop.call_at(deadline, self._time_out)
        try:
            return await self._waiter
        finally:
            self._timer.cancel()
            self._waiter = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport
        self._paced.attach(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Complete an answer without a length, or fail the pending request."""
        self._is_broken = True
        has_all = error is None and not self._paced.has_rest
        self._paced.close()
        is_complete = has_all and self._is_head_complete and not self._is_framed
        if is_complete:
            self.on_message_complete()
        reason = type(error).__name__ if error else "closed"
        self._fail(reason)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of answers; close on bytes without a pending request."""
        self._paced.feed(data)

    def _parse(self, data: memoryview) -> bool:
        """Parse a slice; return False if no request is pending any more."""
        if self._waiter is None or self._waiter.done():
            self._is_reusable = False
            self.close()
            return False
        self._feed_parser(data)
        if not self._waiter.done():
            return True
        if self._paced.has_rest:
            self._is_reusable = False
        return False

    def _feed_parser(self, data: memoryview) -> None:
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._is_reusable = False
            self._fail(type(error).__name__)
            return
        self._received_bytes += len(data)
        self._received_at = self._loop.time()
        overhead = self._received_bytes - self._all_body_bytes
        allowed = MAX_OVERHEAD_PER_BODY_BYTE * self._all_body_bytes
        if overhead > MAX_OVERHEAD_BYTES + allowed:
            self._fail("no answer within the limit of bytes")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer; end the parsing if the call has ended.

        Raises:
            _CallEndedError: No request is pending.
        """
        if self._waiter is None or self._waiter.done():
            self._is_reusable = False
            # One read may contain thousands of answers.
            raise _CallEndedError
        self._paced.count_item()
        self._headers = []
        self._body = bytearray()
        self._is_head_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or trailer.

        Raises:
            _CallEndedError: There are too many of them.
        """
        self._paced.count_item()
        if len(self._headers) >= MAX_HEADERS:
            self._fail("too many headers")
            raise _CallEndedError
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body ends and whether to reuse the connection.

        Raises:
            _CallEndedError: The status is none of HTTP. One below 100 would
                count as an interim answer, one above 599 would be passed on.
        """
        headers = tuple(self._headers)
        status = self._parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            self._fail("odd status")
            raise _CallEndedError
        length = http_types.find_header(headers, b"content-length")
        coding = http_types.find_header(headers, b"transfer-encoding")
        self._is_framed = bool(length or coding) or status in _BODILESS
        self._is_head_complete = True
        if not self._parser.should_keep_alive():
            self._is_reusable = False
        match = _KEEP_ALIVE_TIMEOUT.search(
            http_types.find_header(headers, b"keep-alive")
        )
        if match is not None:
            self._idle_s = IDLE_FRACTION * int(match[1])

    def on_body(self, chunk: bytes) -> None:
        """Buffer bytes of the body."""
        self._paced.count_item()
        self._body += chunk
        self._all_body_bytes += len(chunk)
        self._limit_bodies(self)

    def on_message_complete(self) -> None:
        """Return the answer to the pending request, or discard it."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        self._idle_until = self._loop.time() + self._idle_s
        answer = http_types.HttpAnswer(
            status,
            http_types.end_to_end(tuple(self._headers)),
            bytes(self._body),
        )
        match = self._match(answer)
        if match is http_types.Match.OWN:
            self._finish(answer)
            return
        self._is_reusable = False
        decisions.failure(
            logger,
            "foreign_answer",
            "backend: answer to another request discarded",
            peer=self._peer,
            status=status,
        )
        if match is http_types.Match.UNIDENTIFIED:
            # Perhaps a copy of an earlier answer, such as a refusal, so it
            # does not show whether this request has run.
            self._fail("answer without an id on a reused connection")
            return
        # A late answer to an earlier request; the answer to this request may
        # follow.
        self._discarded += 1
        if self._discarded > MAX_DISCARDED_ANSWERS:
            self._fail("answers to other requests without end")

    def _match(self, answer: http_types.HttpAnswer) -> http_types.Match:
        """Return whether an answer is that of the pending request."""
        if self._match_answer is None:
            return http_types.Match.OWN
        match = self._match_answer(answer)
        is_first = self._requests == 1 and not self._discarded
        if match is http_types.Match.UNIDENTIFIED and is_first:
            return http_types.Match.OWN
        return match

    def _finish(self, result: Result) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(result)
        elif isinstance(result, http_types.HttpAnswer):
            self._is_reusable = False

    def _fail(self, detail: str) -> None:
        self._finish(self._error(errors.Reason.BACKEND_FAILED, detail))

    def _time_out(self) -> None:
        progress_deadline = min(
            self._received_at + self._progress_s, self._last_deadline
        )
        if self._received_bytes and self._loop.time() < progress_deadline:
            self._timer = self._loop.call_at(progress_deadline, self._time_out)
        elif unread.is_readable(self._transport):
            # The event loop is late, the answer may not be.
            self._timer = self._loop.call_later(
                unread.READ_DELAY_S, self._give_up
            )
        else:
            self._give_up()

    def _give_up(self) -> None:
        self._finish(self._error(errors.Reason.DEADLINE_EXCEEDED))

    def _error(
        self, reason: errors.Reason, detail: str = ""
    ) -> errors.CallError:
        return errors.CallError(reason, _STEP, self._peer, detail)
