"""Tests of the HTTP server: framing, limits and closing of connections."""

import asyncio
import logging
import socket
import time
import tracemalloc

import pytest
import uvloop

from tests.test_gateway import fakes
from trefoilwind.gateway import buffer_account
from trefoilwind.gateway import http_server
from trefoilwind.gateway import http_types
from trefoilwind.gateway import paced_parsing
from trefoilwind.logs import json_lines
from trefoilwind.model import mesh

_LIMITS = mesh.CallerLimits(
    max_header_bytes=2000, max_body_bytes=5000, header_timeout_s=30.0
)


class _Server:
    """A server whose handler returns the body of the request."""

    def __init__(self, limits: mesh.CallerLimits = _LIMITS):
        self.requests: list[http_types.HttpRequest] = []
        self.cancelled = asyncio.Event()
        self.started = asyncio.Event()
        self._held = asyncio.Event()
        self.last = False
        self.limits = limits
        self.server = http_server.HttpServer(self._handle, lambda: self.limits)

    async def _handle(self, request):
        self.requests.append(request)
        self.started.set()
        if request.target == b"/held":
            try:
                await self._held.wait()
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        return http_types.HttpAnswer(
            200, ((b"Id", b"1"),), request.body, is_last=self.last
        )

    def release(self) -> None:
        """Let the held requests be answered."""
        self._held.set()

    async def connect(self):
        """Return the reader and the writer of a connection to the server."""
        await self.server.listen(fakes.HOST, 0, 16)
        # The listening socket is private to the server.
        sock = self.server._server.sockets[0]
        return await asyncio.open_connection(*sock.getsockname())


def _exchange(data: bytes, limits: mesh.CallerLimits = _LIMITS):
    """Return the bytes received until the end and the handled requests."""

    async def run():
        server = _Server(limits)
        reader, writer = await server.connect()
        writer.write(data)
        async with asyncio.timeout(10.0):
            received = await reader.read()
        return received, server.requests

    return uvloop.run(run())


def test_pipelined_requests_are_answered_in_order():
    first = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
    second = (
        b"POST /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\ncde\r\n0\r\n\r\n"
    )
    received, requests = _exchange(first + second)
    assert [request.body for request in requests] == [b"ab", b"cde"]
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b"ab") < received.index(b"cde")
    assert received.endswith(b"Connection: close\r\n\r\ncde")


@pytest.mark.parametrize(
    "head",
    [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabcd",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
        b"rubbish\r\n\r\n",
    ],
)
def test_ambiguous_or_malformed_request_is_rejected(head: bytes):
    received, requests = _exchange(head)
    assert received.startswith(b"HTTP/1.1 400")
    assert not requests


def test_large_head_and_large_body_are_rejected():
    head = b"GET / HTTP/1.1\r\nHost: a\r\nX: %b\r\n\r\n" % (b"x" * 3000)
    assert _exchange(head)[0].startswith(b"HTTP/1.1 431")
    body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n"
    assert _exchange(body)[0].startswith(b"HTTP/1.1 413")


def test_slow_head_and_idle_connection_time_out():
    limits = mesh.CallerLimits(header_timeout_s=0.01, idle_timeout_s=0.05)
    assert _exchange(b"GET /", limits)[0].startswith(b"HTTP/1.1 408")
    assert _exchange(b"", limits)[0] == b""


def test_idle_connection_lasts_as_long_as_a_limit_that_was_raised():
    async def run():
        server = _Server(mesh.CallerLimits(idle_timeout_s=0.1))
        reader, writer = await server.connect()
        await asyncio.sleep(0.05)
        server.limits = mesh.CallerLimits(idle_timeout_s=0.4)
        await asyncio.sleep(0.15)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(10.0):
            return await reader.readline()

    assert uvloop.run(run()).startswith(b"HTTP/1.1 200")


def test_disconnecting_caller_cancels_its_request():
    async def run():
        server = _Server()
        _, writer = await server.connect()
        writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
        await server.started.wait()
        writer.close()
        await server.cancelled.wait()

    uvloop.run(run())


def test_connections_close_after_their_answer_during_shutdown():
    async def run():
        server = _Server()
        reader, writer = await server.connect()
        server.server.close_after_answers()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        return await reader.read()

    assert b"Connection: close" in uvloop.run(run())


@pytest.mark.parametrize("unread", [0, 2])
def test_pipelined_requests_are_answered_before_a_shutdown_closes(unread):
    """A last answer left the requests behind it without one."""
    request = b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"

    async def run():
        server = _Server()
        reader, writer = await server.connect()
        writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write(request * (2 - unread))
        await server.started.wait()
        await asyncio.sleep(0.05)
        server.server.close_after_answers()
        # Sent, but not read when the first one is answered.
        writer.write(request * unread)
        server.release()
        async with asyncio.timeout(10.0):
            received = await reader.read()
        return received, server.server.requests_dropped

    received, dropped = uvloop.run(run())
    assert received.count(b"HTTP/1.1 200") == 3
    assert received.count(b"Connection: close") == 1
    assert received.endswith(b"Connection: close\r\n\r\n")
    assert dropped == 0


@pytest.mark.parametrize("begun", [b"", b"GET /1 HT"])
def test_request_that_waits_unread_is_answered_when_a_timer_is_late(begun):
    """A late event loop ran its timers before it read its sockets."""
    limits = mesh.CallerLimits(idle_timeout_s=1.0, header_timeout_s=1.0)
    request = b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    async def run():
        server = _Server(limits)
        reader, writer = await server.connect()
        writer.write(begun)
        await asyncio.sleep(0.7)

        def be_late() -> None:
            """Keep the loop, among its sockets, beyond the timer."""
            loop.remove_reader(first)
            # uvloop sends at once what the kernel takes.
            writer.write(request[len(begun) :])
            time.sleep(0.6)

        loop = asyncio.get_running_loop()
        first, second = socket.socketpair()
        with first, second:
            loop.add_reader(first, be_late)
            second.send(b"x")
            async with asyncio.timeout(10.0):
                return await reader.read()

    assert uvloop.run(run()).startswith(b"HTTP/1.1 200")


async def _read_slowly(sock: socket.socket) -> bytes:
    """Return all bytes of a connection; send a request after the first."""
    loop = asyncio.get_running_loop()
    received = await loop.sock_recv(sock, 4096)
    await loop.sock_sendall(sock, b"GET /crossing HTTP/1.1\r\nHost: a\r\n\r\n")
    while data := await loop.sock_recv(sock, 16 * 1024):
        received += data
        await asyncio.sleep(0.002)
    return received


@pytest.mark.parametrize("ends", ["stop", "caller"])
def test_answer_on_its_way_outlives_a_request_that_crosses_its_end(ends):
    """The kernel discarded it with the connection, as the caller sent more."""
    body = bytes(400_000)

    async def run():
        loop = asyncio.get_running_loop()
        server = _Server(mesh.CallerLimits())
        _, writer = await server.connect()
        address = writer.get_extra_info("peername")
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.connect(address)
            sock.setblocking(False)
            if ends == "stop":
                server.server.close_after_answers()
            own = b"Connection: close\r\n" if ends == "caller" else b""
            head = (
                b"POST /1 HTTP/1.1\r\nHost: a\r\n%bContent-Length: %d\r\n\r\n"
            )
            await loop.sock_sendall(sock, head % (own, len(body)) + body)
            async with asyncio.timeout(10.0):
                return await _read_slowly(sock)

    received = uvloop.run(run())
    assert received.endswith(b"Connection: close\r\n\r\n" + body)


def test_refusal_of_an_upload_outlives_the_rest_of_its_body():
    """The kernel reset the connection over the unread rest of the body."""
    head = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n"

    async def run():
        loop = asyncio.get_running_loop()
        server = _Server()
        _, writer = await server.connect()
        address = writer.get_extra_info("peername")
        with socket.create_connection(address) as sock:
            sock.setblocking(False)
            await loop.sock_sendall(sock, head)
            # A caller that sends its body before it reads.
            for _ in range(5):
                await loop.sock_sendall(sock, bytes(1000))
                await asyncio.sleep(0.01)
            return await loop.sock_recv(sock, 4096)

    assert uvloop.run(run()).startswith(b"HTTP/1.1 413")


def test_connection_that_its_caller_does_not_close_is_closed():
    # Guards against connections that stay open after their last answer.
    async def run():
        server = _Server()
        reader, writer = await server.connect()
        server.server.close_after_answers()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.read()
        ended = asyncio.get_running_loop().time()
        assert server.server.lingering == 1
        await _until(lambda: not server.server.lingering)
        lasted_s = asyncio.get_running_loop().time() - ended
        assert lasted_s < http_server.LINGER_S + 0.5

    uvloop.run(run())


def test_request_that_waits_for_its_parsing_is_in_flight():
    """A stop could end the process over requests that it had read."""

    async def run():
        server = _Server(mesh.CallerLimits(max_header_bytes=65536))
        reader, writer = await server.connect()
        server.server.rate.pause_s(2 * paced_parsing.ITEMS_PER_S // 5)
        # The head ends in the slice after the pause.
        headers = b"a:\r\n" * (2 * paced_parsing.FREE_ITEMS)
        headers += b"b: " + b"x" * paced_parsing.SLICE_BYTES + b"\r\n"
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n")
        await asyncio.sleep(0.05)
        assert not server.requests
        assert server.server.in_flight == 1
        async with asyncio.timeout(10.0):
            return await reader.readline()

    assert uvloop.run(run()).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("at_once", [True, False])
def test_requests_pipelined_beyond_the_limit_are_answered(at_once):
    """They were read and ended with the connection."""
    count = 100
    request = b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"

    async def run():
        server = _Server()
        reader, writer = await server.connect()
        writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
        for _ in range(count):
            writer.write(request)
            if not at_once:
                await asyncio.sleep(0.001)
        await server.started.wait()
        await asyncio.sleep(0.05)
        # The others are not read, or wait to be parsed.
        assert len(server.requests) == 1
        server.server.close_after_answers()
        server.release()
        async with asyncio.timeout(10.0):
            return await reader.read()

    assert uvloop.run(run()).count(b"HTTP/1.1 200") == 1 + count


def test_rest_of_a_head_that_waits_is_read_before_a_stop_goes_on():
    """Only connections without a head were waited for."""
    request = b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n"

    async def run():
        loop = asyncio.get_running_loop()
        server = _Server()
        reader, writer = await server.connect()
        writer.write(request[:9])
        await asyncio.sleep(0.05)
        # uvloop sends at once what the kernel takes.
        writer.write(request[9:])
        await server.server.read_waiting(loop.time() + 5.0)
        assert server.server.in_flight == 1
        server.release()
        async with asyncio.timeout(10.0):
            return await reader.readline()

    assert uvloop.run(run()).startswith(b"HTTP/1.1 200")


def test_closing_over_unread_connections_is_logged(caplog):
    caplog.set_level(logging.INFO)

    async def run():
        server = _Server()
        _, writer = await server.connect()
        await _until(lambda: server.server.connections_accepted == 1)
        address = writer.get_extra_info("peername")
        with socket.create_connection(address) as accepted:
            await _until(lambda: server.server.connections_accepted == 2)
            # Nothing is read or accepted before the sockets are closed.
            accepted.send(b"GET /1 HTTP/1.1\r\n")
            with socket.create_connection(address):
                server.server.stop_listening()

    uvloop.run(run())
    lines = [getattr(r, json_lines.FIELDS, {}) for r in caplog.records]
    (line,) = [
        each for each in lines if each.get("kind") == "listening_stopped"
    ]
    assert (line["open"], line["idle"], line["unread"]) == (2, 2, 1)
    assert line["has_unaccepted"]


def test_requests_behind_a_last_answer_are_counted_as_dropped():
    async def run():
        server = _Server()
        reader, writer = await server.connect()
        writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
        await server.started.wait()
        await asyncio.sleep(0.05)
        server.last = True
        server.release()
        await reader.read()
        return server.server.requests_dropped

    assert uvloop.run(run()) == 2


def test_body_that_arrives_when_listening_stops_is_received():
    async def run():
        server = _Server()
        reader, writer = await server.connect()
        writer.write(
            b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
        )
        await _until(lambda: server.server.in_flight == 1)
        server.server.close_after_answers()
        server.server.stop_listening()
        await asyncio.sleep(0.05)
        assert server.server.in_flight == 1
        writer.write(b"cd")
        return await reader.read()

    answer = uvloop.run(run())
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"Connection: close\r\n\r\nabcd")


def test_answer_counts_as_in_flight_until_the_caller_has_read_it():
    async def run():
        limits = mesh.CallerLimits()
        server = _Server(limits)
        reader, writer = await server.connect()
        body = bytes(16 * 1024 * 1024)
        head = b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        server.server.close_after_answers()
        writer.write(head % len(body) + body)
        await server.started.wait()
        await asyncio.sleep(0.05)
        # The reader holds less than the answer.
        assert server.server.in_flight == 1
        async with asyncio.timeout(10.0):
            received = await reader.read()
        assert received.endswith(body)
        await _until(lambda: not server.server.in_flight)

    uvloop.run(run())


def test_slow_body_is_received_after_the_timeout_of_heads():
    async def run():
        limits = mesh.CallerLimits(header_timeout_s=0.05, idle_timeout_s=0.3)
        server = _Server(limits)
        reader, writer = await server.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n")
        for _ in range(6):
            await asyncio.sleep(0.04)
            writer.write(b"a")
        # The connection ends by its idle timeout.
        async with asyncio.timeout(10.0):
            return await reader.read()

    answer = uvloop.run(run())
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\naaaaaa")


@pytest.mark.parametrize("earlier", [b"", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"])
def test_body_that_stops_arriving_times_out(earlier: bytes):
    limits = mesh.CallerLimits(idle_timeout_s=0.1)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nab"
    received, requests = _exchange(earlier + head, limits)
    assert len(requests) == bool(earlier)
    assert received.endswith(b"Connection: close\r\n\r\n")
    assert received.count(b"HTTP/1.1 408") == 1


async def _until(condition) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


_CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_KB = 1024


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", b"\r\n" * 512),
        (b"GET /", b"p" * _KB),
        (b"GET / HTTP/1.1\r\nHost: a\r\nName: ", b"v" * _KB),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", b"n" * _KB),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", b"a:\r\n" * 256),
        (_CHUNKED + b"1;", b"e" * _KB),
        (_CHUNKED + b"0\r\n", b"Trailer: value\r\n" * 60),
        (_CHUNKED + b"0\r\nTrailer: ", b"v" * _KB),
    ],
    ids=[
        "before the head",
        "target",
        "value",
        "name",
        "headers",
        "extension",
        "trailers",
        "trailer",
    ],
)
def test_bytes_without_end_that_are_no_request_close_the_connection(
    start: bytes, piece: bytes
):
    # Guards against a caller or backend server whose header never ends, as
    # the parser reports it only then.
    async def run() -> int:
        server = _Server()
        reader, writer = await server.connect()
        sent = 0
        writer.write(start)
        async with asyncio.timeout(10.0):
            while not reader.at_eof() and not writer.is_closing():
                writer.write(piece)
                sent += len(piece)
                await asyncio.sleep(0)
        return sent

    allowed = (
        http_server.MAX_OVERHEAD_BYTES
        + _LIMITS.max_header_bytes
        + 2 * paced_parsing.SLICE_BYTES
    )
    assert uvloop.run(run()) <= allowed + 16 * _KB


def test_body_in_tiny_chunks_takes_little_more_memory_than_its_bytes():
    # Guards against callers whose chunks take many times their bytes.
    async def run() -> int:
        limits = mesh.CallerLimits(max_body_bytes=10**9)
        server = http_server.HttpServer(_refuse, lambda: limits)
        connection = http_server._Connection(server)
        tracemalloc.start()
        connection._parse(memoryview(_CHUNKED))
        for _ in range(200):
            connection._parse(memoryview(b"2\r\nxx\r\n" * 2000))
        _, most = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return most

    assert uvloop.run(run()) < 1.25 * 200 * 4000 + 64 * _KB


async def _refuse(request: http_types.HttpRequest) -> http_types.HttpAnswer:
    return http_types.HttpAnswer(503, ())


def test_body_that_stops_arriving_after_a_pause_of_the_parsing_times_out():
    # Guards against a connection that stays open for ever, as only received
    # bytes started its time-out.
    async def run() -> bytes:
        limits = mesh.CallerLimits(max_header_bytes=65536, idle_timeout_s=0.3)
        server = _Server(limits)
        reader, writer = await server.connect()
        server.server.rate.pause_s(2 * paced_parsing.ITEMS_PER_S // 5)
        # The head ends in the slice after the pause.
        headers = b"a:\r\n" * (2 * paced_parsing.FREE_ITEMS)
        headers += b"b: " + b"x" * paced_parsing.SLICE_BYTES + b"\r\n"
        writer.write(_CHUNKED[:-2] + headers + b"\r\n1\r\nx\r\n")
        async with asyncio.timeout(10.0):
            return await reader.read()

    assert uvloop.run(run()).startswith(b"HTTP/1.1 408")


def test_request_refused_by_its_head_is_answered_before_its_body():
    """Guards against reading a body of which the answer is known."""
    refused = http_types.HttpAnswer(401, (), b"", is_last=True)

    async def run():
        server = _Server()
        server.server = http_server.HttpServer(
            server._handle,
            lambda: server.limits,
            check_head=lambda head: refused if head.target == b"/no" else None,
        )
        reader, writer = await server.connect()
        writer.write(_HEAD_OF_BODY % b"/yes" + b"12345")
        assert b" 200 " in await fakes.read_head(reader)
        await reader.readexactly(5)
        writer.write(_HEAD_OF_BODY % b"/no" + b"1")
        answer = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        server.server.stop_listening()
        return answer, len(server.requests)

    answer, handled = uvloop.run(run())
    assert answer.startswith(b"HTTP/1.1 401 ")
    assert b"100 Continue" not in answer
    assert handled == 1


_HEAD_OF_BODY = b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"


class _Overlapping(_Server):
    """A server on which GET requests of a connection may overlap."""

    def __init__(self):
        super().__init__()
        self.server = http_server.HttpServer(
            self._handle,
            lambda: self.limits,
            may_overlap=lambda request: request.method == b"GET",
        )

    async def _handle(self, request):
        if request.target != b"/endless":
            return await super()._handle(request)
        try:
            return await asyncio.Future()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


async def _pipeline(server: _Overlapping, *requests: bytes):
    """Send requests at once; return when those started wait.

    The writer is returned too, as it closes the connection when it is freed.
    """
    reader, writer = await server.connect()
    writer.write(
        b"".join(b"%b HTTP/1.1\r\nHost: a\r\n\r\n" % r for r in requests)
    )
    await server.started.wait()
    await asyncio.sleep(0.05)
    return reader, writer


def test_slow_pipelined_request_does_not_hold_up_the_work_behind_it():
    async def run():
        server = _Overlapping()
        reader, _writer = await _pipeline(
            server, b"GET /held", b"GET /1", b"GET /2"
        )
        assert len(server.requests) == 3
        server.server.close_after_answers()
        server.release()
        async with asyncio.timeout(10.0):
            return await reader.read()

    assert uvloop.run(run()).count(b"HTTP/1.1 200") == 3


def test_request_that_must_not_overlap_waits_for_those_ahead_of_it():
    async def run():
        server = _Overlapping()
        reader, _writer = await _pipeline(
            server, b"GET /held", b"PUT /1", b"GET /2"
        )
        assert len(server.requests) == 1
        server.server.close_after_answers()
        server.release()
        async with asyncio.timeout(10.0):
            await reader.read()
        return [request.target for request in server.requests]

    assert uvloop.run(run()) == [b"/held", b"/1", b"/2"]


def test_overlapping_requests_of_a_connection_are_bounded():
    async def run():
        server = _Overlapping()
        count = http_server.MAX_OVERLAPPING + 5
        reader, _writer = await _pipeline(server, *[b"GET /held"] * count)
        assert len(server.requests) == http_server.MAX_OVERLAPPING
        server.server.close_after_answers()
        server.release()
        async with asyncio.timeout(10.0):
            return count, (await reader.read()).count(b"HTTP/1.1 200")

    count, answered = uvloop.run(run())
    assert answered == count


def test_requests_behind_a_closing_answer_are_cancelled_and_not_answered():
    """They count as not read, so their callers may send them again."""

    async def run():
        server = _Overlapping()
        server.last = True
        reader, _writer = await _pipeline(
            server, b"GET /held", b"GET /endless", b"PUT /2"
        )
        server.release()
        async with asyncio.timeout(10.0):
            received = await reader.read()
            await server.cancelled.wait()
        assert server.server.requests_dropped == 2
        assert b"/2" not in {request.target for request in server.requests}
        return received

    assert uvloop.run(run()).count(b"HTTP/1.1 200") == 1


def test_answers_to_a_caller_that_does_not_read_stop_its_requests():
    """Each answer was added to those that waited to be sent."""

    async def run():
        limits = mesh.CallerLimits()
        server = _Server(limits)
        reader, writer = await server.connect()
        body = bytes(4_000_000)
        head = b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        reader._transport.pause_reading()
        for _ in range(8):
            writer.write(head % len(body) + body)
        await server.started.wait()
        await asyncio.sleep(0.5)
        handled = len(server.requests)
        used = server.server.account.used_bytes
        writer.transport.abort()
        await asyncio.sleep(0.05)
        return handled, used, server.server.account.used_bytes

    handled, used, left = uvloop.run(run())
    assert handled < 8
    assert used > 1_000_000
    assert left == 0


def test_body_whose_reading_is_paused_is_not_too_slow(monkeypatch):
    """It waited behind pipelined requests, whose number is bounded."""
    monkeypatch.setattr(buffer_account, "RATE_GRACE_S", 0.5)
    monkeypatch.setattr(buffer_account, "MIN_RATE", 1e9)
    body = bytes(300_000)
    head = b"PUT /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"

    async def run():
        server = _Server(mesh.CallerLimits())
        reader, writer = await server.connect()
        writer.write(head % (b"held", 0))
        for _ in range(3):
            writer.write(head % (b"1", len(body)) + body)
        await server.started.wait()
        await asyncio.sleep(1.5)
        server.server.close_after_answers()
        server.release()
        async with asyncio.timeout(10.0):
            return await reader.read()

    assert uvloop.run(run()).count(b"HTTP/1.1 200") == 4
