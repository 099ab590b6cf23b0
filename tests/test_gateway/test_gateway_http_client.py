"""Tests of the HTTP client against misbehaving backend servers."""

import asyncio
import socket
import struct

import pytest
import uvloop

from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.gateway import http_client
from trefoilwind.gateway import http_types

_RESET = struct.pack("ii", 1, 0)
_HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def _is_first(answer: http_types.HttpAnswer) -> bool:
    return answer.header(b"id") == b"1"


async def _call_all(server: fakes.RawServer, count: int):
    client = http_client.HttpClient(server.address, 4)
    deadline = asyncio.get_running_loop().time() + 5.0
    results = [
        await client.call(_HEAD, b"", deadline, _is_first) for _ in range(count)
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
