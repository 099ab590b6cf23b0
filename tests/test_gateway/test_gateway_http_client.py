"""Tests of the HTTP client against misbehaving backend servers."""

import asyncio
import itertools
import socket
import struct
import tracemalloc

import pytest
import uvloop

from tests.test_gateway import fakes
from tests.test_gateway import late_loop
from trefoilwind import errors
from trefoilwind.gateway import http_client
from trefoilwind.gateway import http_types
from trefoilwind.gateway import paced_parsing
from trefoilwind.model import addresses

_RESET = struct.pack("ii", 1, 0)
_HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def _match(answer: http_types.HttpAnswer) -> http_types.Match:
    """Match answers to a request with the id 1."""
    answer_id = answer.header(b"id")
    if answer_id == b"1":
        return http_types.Match.OWN
    is_error = answer.status >= 400
    if not answer_id and is_error:
        return http_types.Match.UNIDENTIFIED
    return http_types.Match.OTHER


async def _call_all(server: fakes.RawServer, count: int):
    client = http_client.HttpClient(server.address, 4)
    deadline = asyncio.get_running_loop().time() + 5.0
    results = [
        await client.call(_HEAD, b"", deadline, _match) for _ in range(count)
    ]
    client.close()
    return results


def _run(script: fakes.Script, count: int = 1):
    """Return the results of calls and the number of connections."""

    async def run():
        async with fakes.RawServer(script) as server:
            return await _call_all(server, count), server.connections

    return uvloop.run(run())


def _send(*pieces: bytes) -> fakes.Script:
    """Return a script that answers each request with the next piece."""

    async def script(reader, writer):
        for piece in pieces:
            await fakes.read_head(reader)
            writer.write(piece)
            await writer.drain()
        await reader.read()

    return script


def test_connection_is_reused():
    both = (fakes.answer(b"x"), fakes.answer(b"y"))
    results, connections = _run(_send(*both), 2)
    assert [result.body for result in results] == [b"x", b"y"]
    assert connections == 1


def test_connection_close_header_ends_the_connection():
    last = fakes.answer(b"x", extra=b"Connection: close\r\n")
    results, connections = _run(_send(last), 2)
    assert [result.body for result in results] == [b"x", b"x"]
    assert connections == 2


@pytest.mark.parametrize(
    "rest", [fakes.answer(b"other", b"9"), b"rubbish\r\n\r\n"]
)
def test_bytes_after_an_answer_end_the_connection(rest: bytes):
    results, connections = _run(_send(fakes.answer(b"x") + rest), 2)
    assert [result.body for result in results] == [b"x", b"x"]
    assert connections == 2


def test_late_answer_to_another_request_is_dropped():
    late = fakes.answer(b"late", b"0") + fakes.answer(b"own")
    results, _ = _run(_send(late))
    assert results[0].body == b"own"


_REFUSAL = b"HTTP/1.1 503 Full\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
_REFUSAL_OF_ANOTHER = _REFUSAL.replace(b"Unrun", b"Id: 9\r\nUnrun")


def test_first_refusal_of_a_connection_needs_no_id():
    results, _ = _run(_send(_REFUSAL))
    assert results[0].status == 503


def test_refusal_written_again_on_a_reused_connection_is_not_that_of_the_call():
    results, _ = _run(_send(_REFUSAL, _REFUSAL), 2)
    assert results[0].status == 503
    assert isinstance(results[1], errors.CallError)
    assert results[1].reason is errors.Reason.BACKEND_FAILED
    assert not results[1].not_run


def test_refusal_of_an_earlier_call_does_not_hide_the_answer():
    late = _REFUSAL_OF_ANOTHER + fakes.answer(b"own")
    results, _ = _run(_send(fakes.answer(b"x"), late), 2)
    assert results[1].body == b"own"


def test_refusal_of_an_earlier_call_and_one_without_id_prove_nothing():
    results, _ = _run(_send(_REFUSAL_OF_ANOTHER + _REFUSAL))
    assert isinstance(results[0], errors.CallError)
    assert not results[0].not_run


_WHOLE_HEAD = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nServer-Seal: a1\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
)


@pytest.mark.parametrize("prefix", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_answer_that_ends_within_its_head_is_a_failure(prefix):
    lengths = iter(range(len(_WHOLE_HEAD)))

    async def script(reader, writer):
        await fakes.read_head(reader)
        writer.write(prefix + _WHOLE_HEAD[: next(lengths)])

    results, connections = _run(script, len(_WHOLE_HEAD))
    assert connections == len(_WHOLE_HEAD)
    for result in results:
        assert isinstance(result, errors.CallError)
        assert result.reason is errors.Reason.BACKEND_FAILED
        assert not result.not_run


@pytest.mark.parametrize(
    "piece",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nId: 1\r\n",
        b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort",
        b"no answer at all\r\n\r\n",
    ],
)
def test_incomplete_answer_is_a_failure(piece: bytes):
    async def script(reader, writer):
        await fakes.read_head(reader)
        writer.write(piece)

    results, _ = _run(script)
    assert results[0].reason is errors.Reason.BACKEND_FAILED
    assert not results[0].not_run


def test_answer_without_length_is_delimited_by_the_connection_end():
    async def script(reader, writer):
        await fakes.read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")

    results, _ = _run(script)
    assert results[0].body == b"all of it"


def test_answer_without_length_that_is_reset_is_a_failure():
    async def script(reader, writer):
        await fakes.read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
        await writer.drain()
        sock = writer.get_extra_info("socket")
        # With a linger time of zero, closing sends a reset.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.transport.abort()

    results, _ = _run(script)
    assert isinstance(results[0], errors.CallError)


def test_refused_connection_is_reported_as_not_run():
    async def run():
        async with fakes.RawServer(_send()) as server:
            address = server.address
        client = http_client.HttpClient(address, 4)
        deadline = asyncio.get_running_loop().time() + 5.0
        assert not await client.is_listening()
        return await client.call(_HEAD, b"", deadline)

    result = uvloop.run(run())
    assert result.reason is errors.Reason.BACKEND_UNREACHABLE
    assert result.not_run


def test_cancelled_call_closes_its_connection():
    async def run():
        ended = asyncio.Event()

        async def script(reader, writer):
            await fakes.read_head(reader)
            started.set()
            await reader.read()
            ended.set()

        started = asyncio.Event()
        async with fakes.RawServer(script) as server:
            client = http_client.HttpClient(server.address, 4)
            deadline = asyncio.get_running_loop().time() + 30.0
            task = asyncio.create_task(client.call(_HEAD, b"", deadline))
            await started.wait()
            task.cancel()
            await ended.wait()

    uvloop.run(run())


class _Endless:
    """Script that sends the same bytes until the client closes."""

    def __init__(self, start: bytes, piece: bytes):
        self._start = start
        self._piece = piece
        self.sent = 0

    async def __call__(self, reader, writer) -> None:
        """Answer one request without end."""
        await fakes.read_head(reader)
        writer.write(self._start)
        while True:
            writer.write(self._piece)
            await writer.drain()
            self.sent += len(self._piece)
            await asyncio.sleep(0)


_CHUNKED = b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
_KB = 1024


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", b"x" * _KB),
        (b"HTTP/1.1 200 ", b"x" * _KB),
        (b"HTTP/1.1 200 OK\r\n", b"Name: value\r\n" * 80),
        (b"HTTP/1.1 200 OK\r\nName: ", b"v" * _KB),
        (b"HTTP/1.1 200 OK\r\n", b"n" * _KB),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: " + b"l" * _KB + b"\r\n\r\n"),
        (b"", fakes.answer(b"other", b"9")),
        (_CHUNKED + b"1;", b"e" * _KB),
        (_CHUNKED + b"0\r\n", b"Trailer: value\r\n" * 60),
        (_CHUNKED + b"0\r\nTrailer: ", b"v" * _KB),
    ],
)
def test_bytes_without_end_that_are_no_answer_close_the_connection(
    start, piece
):
    endless = _Endless(start, piece)

    async def run():
        async with fakes.RawServer(endless) as server:
            results = await _call_all(server, 1)
            sent = endless.sent
            await asyncio.sleep(0.05)
            sent_soon = endless.sent
            await asyncio.sleep(0.05)
            return results[0], sent, endless.sent - sent_soon

    result, sent, sent_later = uvloop.run(run())
    assert isinstance(result, errors.CallError)
    assert result.reason is errors.Reason.BACKEND_FAILED
    assert not result.not_run
    # Sent while the client parses: also a call that ends late is seen, and
    # the speed of the machine makes no difference.
    assert sent <= http_client.MAX_OVERHEAD_BYTES + 4 * _KB
    assert sent_later == 0


def _matched(piece: bytes):
    """Return the result of a call and the answers that were matched."""
    matched = []

    def match(answer):
        matched.append(answer)
        return _match(answer)

    async def run():
        async with fakes.RawServer(_send(piece)) as server:
            client = http_client.HttpClient(server.address, 4)
            deadline = asyncio.get_running_loop().time() + 5.0
            result = await client.call(_HEAD, b"", deadline, match)
            client.close()
            return result

    return uvloop.run(run()), matched


def test_answers_in_one_read_are_not_parsed_after_the_end_of_the_call():
    result, matched = _matched(fakes.answer(b"other", b"9") * 4000)
    assert isinstance(result, errors.CallError)
    assert result.reason is errors.Reason.BACKEND_FAILED
    assert len(matched) == http_client.MAX_DISCARDED_ANSWERS + 1


def test_answers_that_follow_an_answer_in_one_read_are_not_parsed():
    own = fakes.answer(b"own", b"1")
    result, matched = _matched(own + fakes.answer(b"other", b"9") * 4000)
    assert result.body == b"own"
    assert len(matched) == 1


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\n",
    ],
)
def test_bodies_without_end_do_not_exceed_the_memory_limit(start):
    endless = _Endless(start, b"x" * 64 * _KB)

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"endless" in head:
            writer.write(start)
            while True:
                writer.write(b"x" * 64 * _KB)
                await writer.drain()
                endless.sent += 64 * _KB
        while True:
            writer.write(fakes.answer(b"sound"))
            await fakes.read_head(reader)

    async def run():
        async with fakes.RawServer(serve) as server:
            client = http_client.HttpClient(server.address, 4)
            deadline = asyncio.get_running_loop().time() + 5.0
            head = b"GET /endless HTTP/1.1\r\nHost: a\r\n\r\n"
            floods = [
                asyncio.ensure_future(client.call(head, b"", deadline))
                for _ in range(13)
            ]
            most = 0
            sound = []
            while not all(flood.done() for flood in floods):
                most = max(most, client.buffered_bytes)
                sound.append(await client.call(_HEAD, b"", deadline))
                await asyncio.sleep(0.001)
            client.close()
            return [flood.result() for flood in floods], most, sound

    results, most, sound = uvloop.run(run())
    assert {result.reason for result in results} == {
        errors.Reason.BODY_TOO_LARGE
    }
    assert most <= http_client.MAX_BUFFERED_BYTES + _KB * _KB
    assert sound
    assert all(answer.body == b"sound" for answer in sound)


def test_answer_that_is_too_large_frees_its_memory_before_its_call_ends():
    async def run() -> list[int]:
        loop = asyncio.get_running_loop()
        client = http_client.HttpClient(addresses.Address("127.0.0.1", 1), 4)
        connections = [
            http_client._Connection("peer", client._limit_bodies, client._rate)
            for _ in range(13)
        ]
        client._in_flight.update(connections)
        for connection in connections:
            connection._waiter = loop.create_future()
            connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        buffered = []
        for _ in range(16):
            for connection in connections:
                if not connection._waiter.done():
                    connection.data_received(b"x" * 256 * _KB)
                    buffered.append(client.buffered_bytes)
        return buffered

    buffered = uvloop.run(run())
    assert max(buffered) <= http_client.MAX_BUFFERED_BYTES + 256 * _KB


def test_a_body_in_chunks_of_one_byte_is_an_answer():
    pieces = b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n"
    results, _ = _run(_send(_CHUNKED + pieces))
    assert results[0].body == b"x" * 40_000


_TINY_CHUNKS = b"2\r\nxx\r\n" * 2000


def test_tiny_chunks_take_little_more_memory_than_their_bytes():
    # Guards against a limit on bytes that a list of tiny chunks exceeds many
    # times in memory.
    async def run() -> tuple[int, int]:
        loop = asyncio.get_running_loop()
        client = http_client.HttpClient(addresses.Address("127.0.0.1", 1), 4)
        hours = itertools.count(step=3600)
        rate = paced_parsing.ItemRate(lambda: float(next(hours)))
        connection = http_client._Connection("peer", lambda each: None, rate)
        connection._waiter = loop.create_future()
        tracemalloc.start()
        connection.data_received(_CHUNKED)
        for _ in range(200):
            connection.data_received(_TINY_CHUNKS)
        _, most = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        client.close()
        return connection.body_bytes, most

    body_bytes, most = uvloop.run(run())
    assert body_bytes == 200 * 4000
    assert most < 1.25 * body_bytes + 64 * _KB


def test_tiny_chunks_without_end_are_parsed_at_a_bounded_rate():
    # Guards against an event loop that does nothing but parse such answers.
    calls = 4

    async def run() -> tuple[float, int]:
        loop = asyncio.get_running_loop()
        script = _Endless(_CHUNKED, _TINY_CHUNKS)
        async with fakes.RawServer(script) as server:
            client = http_client.HttpClient(server.address, calls)
            started = loop.time()
            floods = [
                asyncio.ensure_future(client.call(_HEAD, b"", started + 9.0))
                for _ in range(calls)
            ]
            await asyncio.sleep(1.0)
            chunks = client.buffered_bytes // 2
            elapsed_s = loop.time() - started
            for flood in floods:
                flood.cancel()
            await asyncio.wait(floods)
            return elapsed_s, chunks

    elapsed_s, chunks = uvloop.run(run())
    allowed_s = elapsed_s + paced_parsing.BURST_S
    in_last_slices = calls * paced_parsing.SLICE_BYTES // 7
    assert chunks > 0
    assert chunks <= paced_parsing.ITEMS_PER_S * allowed_s + in_last_slices


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 400 + b"\r\n",
        _CHUNKED + b"0\r\n" + b"a:\r\n" * 400 + b"\r\n",
    ],
)
def test_answer_with_too_many_headers_or_trailers_is_a_failure(answer):
    # Guards against empty headers, each of which takes fifty times its bytes.
    results, _ = _run(_send(answer))
    assert results[0].reason is errors.Reason.BACKEND_FAILED


def test_answer_that_arrives_byte_by_byte_is_given_up_in_the_end(monkeypatch):
    # Guards against a read of the store that no time-out of silence ends.
    monkeypatch.setattr(http_client, "MAX_PROGRESS_S", 0.5)

    async def drip(reader, writer):
        await fakes.read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n")
        while True:
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.02)

    async def run():
        loop = asyncio.get_running_loop()
        async with fakes.RawServer(drip) as server:
            client = http_client.HttpClient(server.address, 1)
            async with asyncio.timeout(5.0):
                return await client.call(
                    _HEAD, b"", loop.time() + 0.2, progress_s=0.2
                )

    result = uvloop.run(run())
    assert result.reason is errors.Reason.DEADLINE_EXCEEDED


def test_connection_with_unparsed_bytes_after_its_answer_is_not_reused():
    # Guards against a slice that ends with the answer and hides the bytes
    # that follow it.
    extra = paced_parsing.SLICE_BYTES - len(fakes.answer(b""))
    answer = fakes.answer(b"", extra=b"X: " + b"x" * (extra - 5) + b"\r\n")
    assert len(answer) == paced_parsing.SLICE_BYTES
    results, connections = _run(_send(answer + fakes.answer(b"late")), count=2)
    assert results[0].body == b""
    assert connections == 2


def test_answer_without_length_is_incomplete_while_bytes_are_unparsed():
    # Guards against a connection that is lost in a pause of the parsing, so
    # that the parsed part passes for the whole body.
    async def run() -> http_client.Result:
        loop = asyncio.get_running_loop()
        rate = paced_parsing.ItemRate(lambda: 0.0)
        connection = http_client._Connection("peer", lambda each: None, rate)
        connection._waiter = loop.create_future()
        rate.pause_s(paced_parsing.ITEMS_PER_S)
        headers = b"a:\r\n" * (2 * paced_parsing.FREE_ITEMS)
        head = b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n"
        connection.data_received(head + b"x" * paced_parsing.SLICE_BYTES)
        connection.connection_lost(None)
        return await connection._waiter

    result = uvloop.run(run())
    assert result.reason is errors.Reason.BACKEND_FAILED


def test_answer_that_waits_unread_at_the_deadline_is_returned():
    """A late event loop ended the call, whose answer was there in time."""

    async def run():
        sent = asyncio.Event()
        released = asyncio.Event()
        writers = []

        async def script(reader, writer):
            await fakes.read_head(reader)
            writers.append(writer)
            sent.set()
            await released.wait()

        async with fakes.RawServer(script) as server:
            client = http_client.HttpClient(server.address, 4)
            deadline = asyncio.get_running_loop().time() + 0.5
            call = asyncio.create_task(client.call(_HEAD, b"", deadline))
            await sent.wait()
            await late_loop.block(
                0.7, lambda: writers[0].write(fakes.answer(b""))
            )
            result = await call
            released.set()
            client.close()
            return result

    assert uvloop.run(run()).status == 200


def test_connection_whose_end_waits_unread_is_not_reused():
    """A late event loop sent a request on a connection that was closed."""

    async def run():
        with socket.create_server((fakes.HOST, 0)) as server:
            address = addresses.Address(*server.getsockname())
            client = http_client.HttpClient(address, 4)
            deadline = asyncio.get_running_loop().time() + 5.0
            call = asyncio.create_task(client.call(_HEAD, b"", deadline))
            first = (await asyncio.to_thread(server.accept))[0]
            await asyncio.to_thread(first.recv, 4096)
            first.sendall(fakes.answer(b""))
            await call
            await late_loop.block(0.1, first.close)
            call = asyncio.create_task(client.call(_HEAD, b"", deadline))
            server.settimeout(2.0)
            try:
                second = (await asyncio.to_thread(server.accept))[0]
            except TimeoutError:
                return await call
            with second:
                second.sendall(fakes.answer(b""))
                return await call

    result = uvloop.run(run())
    assert isinstance(result, http_types.HttpAnswer), result
