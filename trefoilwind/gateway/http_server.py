"""HTTP/1.1 server on the event loop; httptools parses the requests."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import http
import logging

import httptools

from trefoilwind.gateway import buffer_account
from trefoilwind.gateway import http_types
from trefoilwind.gateway import paced_parsing
from trefoilwind.gateway import unread
from trefoilwind.logs import decisions
from trefoilwind.model import mesh

logger = logging.getLogger(__name__)

Handler = Callable[[http_types.HttpRequest], Awaitable[http_types.HttpAnswer]]
# Returns the answer to a request without its body, or None to read the body.
HeadCheck = Callable[[http_types.HttpRequest], http_types.HttpAnswer | None]

# Pipelined requests of one connection from which on reading is paused.
_MAX_PIPELINED = 16
# Requests of one connection that run at the same time.
MAX_OVERLAPPING = 8
# Bytes of pipelined request bodies above which reading is paused.
_MAX_PIPELINED_BYTES = 256 * 1024
# Bytes outside of its head and body that a request may have: the framing of
# chunks, their extensions and trailers; and more per byte of the body.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 8
# Memory of the objects of a header, beside its bytes.
HEADER_OBJECT_BYTES = 150
# Seconds between two checks of the account of buffered bytes.
ACCOUNT_CHECK_S = 0.25
# Retry time given to a request that found no room for its body.
_NO_ROOM_RETRY_S = b"1"
# Seconds from the end of the last answer within which the caller has to close
# its connection.
LINGER_S = 1.0
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in http.HTTPStatus
}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BODILESS = frozenset({204, 304})
_BAD_REQUEST = http_types.HttpAnswer(400, (), b"", is_last=True)
_HEAD_TOO_LARGE = http_types.HttpAnswer(431, (), b"", is_last=True)
_BODY_TOO_LARGE = http_types.HttpAnswer(413, (), b"", is_last=True)
_TIMED_OUT = http_types.HttpAnswer(408, (), b"", is_last=True)
_NO_ROOM = http_types.HttpAnswer(
    503, ((b"Retry-After", _NO_ROOM_RETRY_S),), b"", is_last=True
)
_REFUSALS = {
    buffer_account.Verdict.NO_ROOM: _NO_ROOM,
    buffer_account.Verdict.TOO_SLOW: _TIMED_OUT,
}
# Limits of a process whose settings name none.
_DEFAULT_MEMORY_BYTES = 300_000_000
_DEFAULT_DESCRIPTORS = 4100
_INTERNAL = http_types.HttpAnswer(500, (), b"", is_last=True)


class HttpServer:
    """Listens on an address and tracks its connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], mesh.CallerLimits],
        account: buffer_account.BufferAccount | None = None,
        may_overlap: Callable[[http_types.HttpRequest], bool] = lambda _: False,
        check_head: HeadCheck = lambda request: None,
    ):
        """Initialize without an address.

        Args:
            handler: Coroutine function that answers the requests.
            limits: Returns the limits on the requests.
            account: Account of buffered bytes, which also bounds the
                connections; None for one of the default process.
            may_overlap: Returns whether a request may run beside others of
                its connection.
            check_head: Returns the refusal of a request whose body is still to
                be read, or None.
        """
        self._may_overlap = may_overlap
        self._handler = handler
        self._check_head = check_head
        self._limits = limits
        self._account = account or buffer_account.BufferAccount(
            buffer_account.terms(_DEFAULT_MEMORY_BYTES, _DEFAULT_DESCRIPTORS)
        )
        self._check_timer: asyncio.TimerHandle | None = None
        self._connections_refused = 0
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._is_closing = False
        self._connections_accepted = 0
        self._requests_dropped = 0
        self._rate: paced_parsing.ItemRate | None = None

    @property
    def handler(self) -> Handler:
        """Coroutine function that answers the requests."""
        return self._handler

    @property
    def check_head(self) -> HeadCheck:
        """Function that may refuse a request before its body is read."""
        return self._check_head

    @property
    def limits(self) -> mesh.CallerLimits:
        """Limits on the size and timing of requests."""
        return self._limits()

    @property
    def rate(self) -> paced_parsing.ItemRate:
        """Rate of the items that all connections parse."""
        if self._rate is None:
            clock = asyncio.get_running_loop().time
            self._rate = paced_parsing.ItemRate(clock)
        return self._rate

    @property
    def is_closing(self) -> bool:
        """True if each connection is closed after the answers it owes."""
        return self._is_closing

    @property
    def in_flight(self) -> int:
        """Number of connections with a request or an unsent last answer."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def lingering(self) -> int:
        """Number of connections that callers have to close.

        They have had their last answer, and last for `LINGER_S` at most once
        the kernel has taken it.
        """
        return sum(connection.is_ended for connection in self._connections)

    @property
    def account(self) -> buffer_account.BufferAccount:
        """Account of the bytes that connections buffer."""
        return self._account

    @property
    def connections_open(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def connections_refused(self) -> int:
        """Number of connections closed as there were too many."""
        return self._connections_refused

    @property
    def connections_accepted(self) -> int:
        """Number of connections accepted so far."""
        return self._connections_accepted

    @property
    def requests_dropped(self) -> int:
        """Number of requests read and left unanswered at a closed connection.

        They were pipelined behind an answer after which the connection was
        closed. None has run, except those that may overlap with others.
        """
        return self._requests_dropped

    @property
    def has_unread(self) -> bool:
        """True if closing the sockets would reset what callers have sent."""
        return any(self._unread())

    def may_overlap(self, request: http_types.HttpRequest) -> bool:
        """Return True if a request may run beside others."""
        return self._may_overlap(request)

    def count_dropped(self, count: int) -> None:
        """Count requests that were read and are not answered."""
        self._requests_dropped += count

    async def listen(self, host: str, port: int, backlog: int) -> None:
        """Accept connections.

        Raises:
            OSError: The address is in use or not local.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=backlog
        )

    def close_after_answers(self) -> None:
        """Close each connection once all requests sent on it are answered."""
        self._is_closing = True

    async def read_waiting(self, deadline: float) -> None:
        """Wait until all that callers have sent so far is read.

        The kernel resets a connection that is closed before its bytes are
        read, or before it is accepted. The event loop may be late, so these
        may have waited for long.

        Args:
            deadline: Event loop time in seconds until which to wait.
        """
        loop = asyncio.get_running_loop()
        while self.has_unread and loop.time() < deadline:
            await asyncio.sleep(0)

    def stop_listening(self) -> None:
        """Stop accepting connections and close the idle ones.

        Requests whose head is complete are still received and run. What waits
        unread is lost, see `read_waiting`.
        """
        if self._server is not None:
            self._log_unread()
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.close_if_idle()

    def _unread(self) -> tuple[int, bool]:
        """Return what waits in the kernel, which closing the sockets resets.

        Returns:
            Number of connections with bytes or an end that were not read,
            without those that are busy; whether connections wait to be
            accepted.
        """
        listening = self._server.sockets if self._server is not None else ()
        return (
            unread.count_readable(
                each.fileno
                for each in self._connections
                if not (each.is_busy or each.is_ended)
            ),
            bool(unread.count_readable(sock.fileno() for sock in listening)),
        )

    def _log_unread(self) -> None:
        """Log the connections that are closed, and what they lose."""
        unread_count, has_unaccepted = self._unread()
        decisions.failure(
            logger,
            "listening_stopped",
            "callers: listening stopped",
            open=len(self._connections),
            idle=sum(each.is_idle for each in self._connections),
            unread=unread_count,
            has_unaccepted=has_unaccepted,
            dropped=self._requests_dropped,
        )

    def refuse_incomplete(self, answer: http_types.HttpAnswer) -> None:
        """Answer the requests whose bodies have not arrived completely.

        Args:
            answer: Their answer; each connection is closed after it.
        """
        for connection in list(self._connections):
            connection.refuse_if_incomplete(answer)

    def add(self, connection: "_Connection") -> None:
        """Register a new connection."""
        self._connections_accepted += 1
        most = self._account.account_terms.max_connections
        if len(self._connections) >= most:
            self._make_room(connection)
        self._connections.add(connection)
        if self._check_timer is None:
            self._schedule_check()

    def _make_room(self, connection: "_Connection") -> None:
        """Close the connection that has been idle for longest, or a new one.

        Args:
            connection: The new connection.
        """
        idle = [each for each in self._connections if each.is_idle]
        victim = min(idle, key=lambda each: each.idle_since, default=connection)
        self._connections_refused += 1
        decisions.failure(
            logger,
            "connection_refused",
            "callers: too many connections; one is closed",
            open=len(self._connections),
            was_idle=victim is not connection,
        )
        self.remove(victim)
        victim.abort()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(ACCOUNT_CHECK_S, self._check)

    def _check(self) -> None:
        self._check_timer = None
        now = asyncio.get_running_loop().time()
        for connection in self._connections:
            connection.note_unsent(now)
        self._account.check(now)
        if self._connections:
            self._schedule_check()

    def remove(self, connection: "_Connection") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


@dataclasses.dataclass(eq=False, slots=True)
class _Running:
    """A request that runs, or whose answer waits behind an earlier one.

    Attributes:
        request: The request.
        is_persistent: False if its caller wants no further answer.
        share: Bytes that it and its answer occupy.
        task: Task that runs it.
        answer: Its answer; None until it is known.
    """

    request: http_types.HttpRequest
    is_persistent: bool
    share: buffer_account.Share
    task: asyncio.Task | None = None
    answer: http_types.HttpAnswer | None = None


class _Connection(asyncio.Protocol):
    """Connection of a caller; answers are sent in the order of requests."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._paced = paced_parsing.PacedParser(server.rate, self._parse)
        # Requests that have been started, in order.
        self._running: collections.deque[_Running] = collections.deque()
        # Requests that have not been started, in order.
        self._pipelined: collections.deque[_Running] = collections.deque()
        self._share = buffer_account.Share(self._settle)
        self._unsent_share = buffer_account.Share(
            self._settle_unsent, is_answer=True
        )
        self._is_write_paused = False
        self._is_waiting_for_room = False
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._is_in_head = False
        self._is_in_body = False
        self._is_failed = False
        self._has_last_request = False
        self._is_ended = False
        self._discarded_bytes = 0
        self._is_read_paused = False
        self._pipelined_bytes = 0
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """True while a request is received or run, or its answer is sent."""
        is_pending = self._running or self._is_in_body
        if is_pending or self._paced.has_rest:
            return True
        is_unsent = self._is_ended and self._transport.get_write_buffer_size()
        return bool(is_unsent) or self._transport.is_closing()

    @property
    def is_ended(self) -> bool:
        """True if it has had its last answer."""
        return self._is_ended

    @property
    def is_idle(self) -> bool:
        """True if it is open and no request is received or run."""
        if self._is_receiving or self._paced.has_rest:
            return False
        is_closing = self._is_ended or self._transport.is_closing()
        return self._is_idle and not is_closing

    @property
    def idle_since(self) -> float:
        """Event loop time in seconds since which it is idle."""
        return self._idle_since

    @property
    def fileno(self) -> int:
        """File descriptor of the socket."""
        return self._transport.get_extra_info("socket").fileno()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[http_types.Header] = []
        self._head_bytes = 0
        self._is_head_complete = False
        self._received_bytes = 0
        # One buffer, as a list of tiny chunks takes many times their bytes.
        self._body = bytearray()
        self._received = 0.0

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        self._paced.attach(transport)
        self._server.add(self)
        self._start_idle()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in flight, as its answer cannot be sent."""
        self._server.remove(self)
        self._paced.close()
        self._clear_timer()
        self._discard_requests()
        for share in (self._share, self._unsent_share):
            self._server.account.release(share, self._loop.time())

    def pause_writing(self) -> None:
        """Run no further request until the caller has read its answers."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Run the next request."""
        self._is_write_paused = False
        self.note_unsent(self._loop.time())
        is_open = not (self._is_ended or self._transport.is_closing())
        if is_open and not self._running:
            self._start_next()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self._is_ended:
            self._discard(len(data))
        if self._is_failed or self._has_last_request or self._is_ended:
            return
        if self._is_idle and not self._is_receiving:
            self._is_in_head = True
            limit_s = self._server.limits.header_timeout_s
            self._set_timer(limit_s, self._time_out_request)
        self._paced.feed(data)

    def _parse(self, data: memoryview) -> bool:
        """Parse a slice; return False if no further request is read."""
        if self._is_failed or self._has_last_request:
            return False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(_BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._is_failed:
                logger.info("callers: request rejected; %s", error)
                self._reject(_BAD_REQUEST)
        self._received_bytes += len(data)
        self._limit_overhead()
        if not (self._is_failed or self._is_head_complete):
            items = HEADER_OBJECT_BYTES * len(self._headers)
            self._request_room(self._received_bytes + items)
        if self._is_idle and self._is_in_body and not self._is_failed:
            limit_s = self._server.limits.idle_timeout_s
            self._set_timer(limit_s, self._time_out_request)
        self._pause_if_full()
        return not (self._is_failed or self._has_last_request)

    def _pause_if_full(self) -> None:
        is_full = self._is_queue_full or self._is_waiting_for_room
        if is_full and not self._is_read_paused:
            self._is_read_paused = True
            # Its rate does not count while nothing is read.
            self._share.is_arriving = False
            self._paced.hold()

    def _resume_unless_full(self) -> None:
        is_full = self._is_queue_full or self._is_waiting_for_room
        if self._is_read_paused and not is_full:
            self._is_read_paused = False
            if self._is_in_body and not self._is_failed:
                self._share.begin(self._loop.time())
            self._paced.release()

    def _request_room(self, total: int) -> None:
        """Reserve bytes for the request that arrives, or pause its reading."""
        now = self._loop.time()
        verdict = self._server.account.request(self._share, total, now)
        if verdict is buffer_account.Verdict.WAITING:
            self._is_waiting_for_room = True
        elif verdict is not buffer_account.Verdict.GRANTED:
            self._refuse_share(verdict)

    def _settle(self, verdict: buffer_account.Verdict) -> None:
        """Apply a later decision on the request that arrives."""
        self._is_waiting_for_room = False
        if verdict is buffer_account.Verdict.GRANTED:
            # The account is not changed while it grants shares.
            self._loop.call_soon(self._resume_unless_full)
        else:
            self._refuse_share(verdict)

    def _refuse_share(self, verdict: buffer_account.Verdict) -> None:
        self._body = bytearray()
        decisions.failure(
            logger,
            "request_refused",
            "callers: request refused for lack of room or progress",
            verdict=verdict.name.lower(),
            received=self._share.received,
            buffered=self._server.account.used_bytes,
            waiting=self._server.account.waiting,
        )
        self._reject(_REFUSALS[verdict])

    def _settle_unsent(self, verdict: buffer_account.Verdict) -> None:
        """Close the connection of a caller that does not read answers."""
        decisions.failure(
            logger,
            "answer_unread",
            "callers: connection with unread answers closed",
            unsent=self._transport.get_write_buffer_size(),
        )
        self.abort()

    def note_unsent(self, now: float) -> None:
        """Account for the answers that the caller has not read."""
        account = self._server.account
        unsent = self._transport.get_write_buffer_size()
        share = self._unsent_share
        if not unsent:
            if share.reserved:
                account.release(share, now)
            return
        if not share.is_arriving:
            share.begin(now)
        if unsent != share.reserved:
            share.advance(max(0, share.reserved - unsent), now)
            account.resize(share, unsent, now)

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def _discard_requests(self) -> None:
        """Cancel the requests whose answers cannot be sent."""
        discarded = (*self._running, *self._pipelined)
        self._running.clear()
        self._pipelined.clear()
        for each in discarded:
            self._server.account.release(each.share, self._loop.time())
            if each.task is not None:
                each.task.cancel()

    def _limit_overhead(self) -> None:
        """Reject a request of which too many bytes belong to no body.

        The parser reports a header or a chunk once it is complete, so their
        own limits do not end one that never is.
        """
        # The last slice may have begun with the end of an earlier request.
        head_bytes = (
            self._server.limits.max_header_bytes + paced_parsing.SLICE_BYTES
        )
        if not self._is_head_complete:
            if self._received_bytes > head_bytes:
                self._reject(_HEAD_TOO_LARGE)
            return
        body_bytes = len(self._body)
        allowed = head_bytes + MAX_OVERHEAD_BYTES
        allowed += MAX_OVERHEAD_PER_BODY_BYTE * body_bytes
        if self._received_bytes - body_bytes > allowed:
            self._reject(_BAD_REQUEST)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._paced.count_item()
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._paced.count_item()
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Validate the head of the request."""
        self._received = self._loop.time()
        self._is_head_complete = True
        self._is_in_head = False
        self._is_in_body = True
        self._clear_timer()
        hosts = [1 for name, _ in self._headers if name.lower() == b"host"]
        if len(hosts) != 1 or not self._target.startswith(b"/"):
            self._reject(_BAD_REQUEST)
            return
        length = http_types.find_header(tuple(self._headers), b"content-length")
        if length and int(length) > self._server.limits.max_body_bytes:
            self._reject(_BODY_TOO_LARGE)
            return
        refusal = self._refusal_of_head(length)
        if refusal is not None:
            self._reject(refusal)
            return
        self._share.begin(self._received)
        if length:
            self._request_room(self._share.reserved + int(length))
        if self._is_failed:
            return
        expected = http_types.find_header(tuple(self._headers), b"expect")
        if expected.lower() == b"100-continue" and not self._running:
            self._transport.write(_CONTINUE)

    def _refusal_of_head(self, length: bytes) -> http_types.HttpAnswer | None:
        """Return the refusal of a request whose body need not be read.

        Without a body, or behind earlier requests, it is refused in its turn,
        which keeps the connection open.
        """
        headers = tuple(self._headers)
        is_chunked = http_types.find_header(headers, b"transfer-encoding")
        has_body = is_chunked or (length and int(length))
        if not has_body or not self._is_idle:
            return None
        request = http_types.HttpRequest(
            self._parser.get_method(),
            self._target,
            headers,
            b"",
            self._received,
        )
        return self._server.check_head(request)

    def on_body(self, chunk: bytes) -> None:
        """Buffer bytes of the body."""
        self._paced.count_item()
        if self._is_failed:
            return
        self._body += chunk
        self._share.advance(len(chunk), self._loop.time())
        if len(self._body) > self._server.limits.max_body_bytes:
            self._reject(_BODY_TOO_LARGE)
        elif len(self._body) > self._share.reserved:
            steps = len(self._body) // buffer_account.STEP_BYTES + 1
            self._request_room(steps * buffer_account.STEP_BYTES)

    def on_message_complete(self) -> None:
        """Run the request, or queue it behind the one in flight."""
        self._is_in_body = False
        if self._is_failed:
            return
        request = http_types.HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._received,
        )
        is_persistent = self._parser.should_keep_alive()
        self._body = bytearray()
        self._received_bytes = 0
        share = self._end_share(len(request.body))
        if not is_persistent:
            self._has_last_request = True
        self._pipelined.append(_Running(request, is_persistent, share))
        self._pipelined_bytes += len(request.body)
        self._start_allowed()

    def _end_share(self, body_bytes: int) -> buffer_account.Share:
        """Return the share of a request that has arrived."""
        share = self._share
        share.is_arriving = False
        items = HEADER_OBJECT_BYTES * len(self._headers)
        total = self._head_bytes + items + body_bytes
        self._server.account.resize(share, total, self._loop.time())
        self._is_waiting_for_room = False
        self._share = buffer_account.Share(self._settle)
        return share

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(_HEAD_TOO_LARGE)

    # Answers.

    @property
    def _is_receiving(self) -> bool:
        return self._is_in_head or self._is_in_body

    @property
    def _is_idle(self) -> bool:
        return not (self._running or self._pipelined)

    @property
    def _is_queue_full(self) -> bool:
        is_long = len(self._pipelined) >= _MAX_PIPELINED
        return is_long or self._pipelined_bytes > _MAX_PIPELINED_BYTES

    @property
    def _has_next_request(self) -> bool:
        """True if a request, or the beginning of one, was sent already."""
        if self._running or self._pipelined:
            return True
        if self._is_receiving or self._paced.has_rest:
            return True
        return self._is_readable

    @property
    def _is_readable(self) -> bool:
        """True if bytes or the end of the connection were not read yet."""
        return unread.is_readable(self._transport)

    @property
    def _may_start_next(self) -> bool:
        """True if the next request may run now."""
        if not self._pipelined or self._is_write_paused:
            return False
        if len(self._running) >= MAX_OVERLAPPING:
            return False
        return not self._running or all(
            self._server.may_overlap(each.request)
            for each in (self._pipelined[0], *self._running)
        )

    def _start_allowed(self) -> None:
        """Start the next requests that may run now."""
        while self._may_start_next:
            started = self._pipelined.popleft()
            self._pipelined_bytes -= len(started.request.body)
            self._clear_timer()
            self._running.append(started)
            started.task = self._loop.create_task(self._answer(started))

    async def _answer(self, running: _Running) -> None:
        try:
            answer = await self._server.handler(running.request)
        except asyncio.CancelledError:
            if running in self._running:
                self._running.remove(running)
                self._server.account.release(running.share, self._loop.time())
            raise
        except Exception:
            logger.exception("callers: unexpected exception in a request")
            answer = _INTERNAL
        running.task = None
        running.answer = answer
        if answer.body:
            share = running.share
            total = share.reserved + len(answer.body)
            self._server.account.resize(share, total, self._loop.time())
        self._send_answers()

    def _send_answers(self) -> None:
        """Send the answers that are ready, in the order of the requests."""
        while self._running and self._running[0].answer is not None:
            done = self._running.popleft()
            self._server.account.release(done.share, self._loop.time())
            answer = done.answer
            # A request that was sent before this answer is answered as well.
            is_closing = self._server.is_closing and not self._has_next_request
            is_last = answer.is_last or not done.is_persistent or is_closing
            self._write(answer, is_last, done.request.method == b"HEAD")
            if is_last:
                unanswered = len(self._running) + len(self._pipelined)
                self._server.count_dropped(unanswered)
                self._end()
                return
        self._start_next()

    def _start_next(self) -> None:
        self._start_allowed()
        if self._is_idle:
            if self._is_failed:
                self._end()
            elif self._is_in_body:
                limit_s = self._server.limits.idle_timeout_s
                self._set_timer(limit_s, self._time_out_request)
            elif not self._is_in_head:
                self._start_idle()
        self._resume_unless_full()

    def _write(
        self, answer: http_types.HttpAnswer, is_last: bool, is_head: bool
    ) -> None:
        if self._transport.is_closing():
            return
        parts = [status_line(answer.status)]
        parts += [b"%b: %b\r\n" % pair for pair in answer.headers]
        if answer.status not in _BODILESS:
            parts.append(b"Content-Length: %d\r\n" % len(answer.body))
        parts.append(b"Connection: close\r\n\r\n" if is_last else b"\r\n")
        if not is_head:
            parts.append(answer.body)
        self._transport.write(b"".join(parts))
        self.note_unsent(self._loop.time())

    def _reject(self, answer: http_types.HttpAnswer) -> None:
        """Reject a malformed, oversized or slow request.

        The connection is closed; if earlier requests are in flight, it is
        closed after their answers and the rejected request gets none.
        """
        if self._is_failed:
            return
        self._is_failed = True
        self._body = bytearray()
        self._server.account.release(self._share, self._loop.time())
        self._clear_timer()
        if self._is_idle:
            self._write(answer, True, False)
            self._end()

    def _end(self) -> None:
        """End this side of the connection after its last answer.

        The caller closes it; what it sends until then is read and discarded.
        Closed by this side, the connection would be reset by bytes that are
        unread or still arrive, and the kernel would discard what the caller
        has not received of the answers.
        """
        if self._is_ended or self._transport.is_closing():
            return
        self._is_ended = True
        self._discard_requests()
        self._paced.close()
        self._transport.resume_reading()
        self._transport.write_eof()
        self._set_timer(LINGER_S, self._close_ended)

    def _discard(self, count: int) -> None:
        """Count bytes after the end; close if a request would have fewer."""
        self._discarded_bytes += count
        limits = self._server.limits
        most = limits.max_header_bytes + limits.max_body_bytes
        if self._discarded_bytes > most:
            self._transport.close()

    # Timers.

    def close_if_idle(self) -> None:
        """Close the connection unless a request is received or run."""
        if self.is_idle:
            self._transport.close()

    def refuse_if_incomplete(self, answer: http_types.HttpAnswer) -> None:
        """Answer a request whose body has not arrived completely."""
        if self._is_in_body:
            self._reject(answer)

    def _close_ended(self) -> None:
        if self._transport.get_write_buffer_size():
            self._set_timer(LINGER_S, self._close_ended)
        else:
            self._transport.close()

    def _start_idle(self) -> None:
        self._idle_since = self._loop.time()
        self._set_timer(self._server.limits.idle_timeout_s, self._close_idle)

    def _close_idle(self) -> None:
        # A configuration may have raised the limit meanwhile.
        limit_s = self._server.limits.idle_timeout_s
        rest_s = self._idle_since + limit_s - self._loop.time()
        if rest_s > 0.0:
            self._set_timer(rest_s, self._close_idle)
        elif self._is_readable:
            self._set_timer(unread.READ_DELAY_S, self._close_idle)
        else:
            self._transport.close()

    def _time_out_request(self) -> None:
        if self._is_readable:
            self._set_timer(unread.READ_DELAY_S, self._reject_late_request)
        else:
            self._reject_late_request()

    def _reject_late_request(self) -> None:
        self._reject(_TIMED_OUT)

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def status_line(status: int) -> bytes:
    """Return the status line of an answer."""
    known = _STATUS_LINES.get(status)
    return known or b"HTTP/1.1 %d Status\r\n" % status
