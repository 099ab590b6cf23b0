"""Tests that the HTTP client takes no broken answer for a complete one."""

import asyncio
import socket
import struct

import pytest
import uvloop

from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.gateway import http_client

_RESET = struct.pack("ii", 1, 0)
_ODD_STATUSES = [
    b"000",
    b"099",
    b"99",
    b"600",
    b"999",
    b"1000",
    b"0200",
    b"2",
    b"+200",
    b"2_0",
    b"abc",
]


def odd_answer(status: bytes) -> bytes:
    """Return the bytes of an answer with a status."""
    return b"HTTP/1.1 %b X\r\nId: 1\r\nContent-Length: 4\r\n\r\nodd!" % status


async def cut_upload(reader, writer) -> None:
    """Answer while the upload arrives, and reset the connection."""
    await fakes.read_head(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
    await writer.drain()
    await asyncio.sleep(0.02)
    sock = writer.get_extra_info("socket")
    # With a linger time of zero, closing sends a reset.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _call(script: fakes.Script, body: bytes = b"") -> http_client.Result:
    async def run():
        async with fakes.RawServer(script) as server:
            client = http_client.HttpClient(server.address, 4)
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
            loop = asyncio.get_running_loop()
            started = loop.time()
            result = await client.call(head % len(body), body, started + 30.0)
            # The failure is known long before the deadline.
            assert loop.time() < started + 20.0
            return result

    return uvloop.run(run())


def test_part_of_an_answer_that_a_reset_ends_during_an_upload_is_a_failure():
    result = _call(cut_upload, b"x" * 8_000_000)
    assert isinstance(result, errors.CallError)
    assert result.reason is errors.Reason.BACKEND_FAILED
    assert not result.not_run


@pytest.mark.parametrize("status", _ODD_STATUSES)
def test_answer_with_an_odd_status_is_a_failure_at_once(status):
    async def script(reader, writer):
        await fakes.read_head(reader)
        writer.write(odd_answer(status))
        await reader.read()

    result = _call(script)
    assert isinstance(result, errors.CallError)
    assert result.reason is errors.Reason.BACKEND_FAILED
    assert not result.not_run
