"""Test doubles: a raw TCP server, header functions and a call."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math

from trefoilwind import errors
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.model import addresses
from trefoilwind.model import mesh

HOST = "127.0.0.1"
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def header_port() -> calls.HeaderPort:
    """Return header functions of a fictitious platform."""

    def read(headers: tuple[http_types.Header, ...]) -> calls.RequestMetadata:
        wait = http_types.find_header(headers, b"wait")
        return calls.RequestMetadata(
            http_types.find_header(headers, b"id"),
            http_types.find_header(headers, b"parent"),
            http_types.find_header(headers, b"host").decode(),
            float(wait) if wait else None,
            http_types.end_to_end(headers),
            http_types.find_header(headers, b"key"),
        )

    def refusal(answer: http_types.HttpAnswer) -> errors.Reason | None:
        return errors.Reason.OVERLOADED if answer.header(b"unrun") else None

    def match_answer(
        headers: tuple[http_types.Header, ...], answer: http_types.HttpAnswer
    ) -> http_types.Match:
        if answer.header(b"id") == http_types.find_header(headers, b"id"):
            return http_types.Match.OWN
        return http_types.Match.OTHER

    def notice(answer: http_types.HttpAnswer) -> mesh.ServerNotice:
        limit = answer.header(b"limit")
        return mesh.ServerNotice(
            float(limit) if limit else math.inf, bool(answer.header(b"leaving"))
        )

    def customer_headers(forwarded, customer):
        kept = (pair for pair in forwarded if pair[0].lower() != b"key")
        named = ((b"Customer", customer.encode()),) if customer else ()
        return (*kept, *named)

    return calls.HeaderPort(
        read=read,
        request_id=lambda headers: http_types.find_header(headers, b"id"),
        entry_headers=lambda service: ((b"Caller", service.encode()),),
        target_headers=lambda instance, remaining_s: (
            (b"To", instance.encode()),
        ),
        refusal=refusal,
        match_answer=match_answer,
        notice=notice,
        retry_headers=lambda retry_s: ((b"Retry-After", b"%.3f" % retry_s),),
        customer_headers=customer_headers,
    )


def call(**changes) -> calls.Call:
    """Return a call to the service "s", with some fields changed."""
    loop = asyncio.get_running_loop()
    values = {
        "method": "GET",
        "target": "/a/1",
        "headers": ((b"Host", b"a.example"), (b"Id", b"1")),
        "body": b"",
        "service": "s",
        "version": "",
        "route_name": "r",
        "rank": 1,
        "is_nested": False,
        "target_deadline": loop.time() + 5.0,
        "deadline": loop.time() + 5.0,
    }
    return calls.Call(**(values | changes))


class RawServer:
    """TCP server that runs a script on each connection."""

    def __init__(self, script: Script):
        self._script = script
        self._server: asyncio.Server | None = None
        self.connections = 0

    @property
    def address(self) -> addresses.Address:
        """Address on which the server listens."""
        port = self._server.sockets[0].getsockname()[1]
        return addresses.Address(HOST, port)

    async def __aenter__(self) -> "RawServer":
        """Listen."""
        self._server = await asyncio.start_server(self._run, HOST, 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening."""
        self._server.close()

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of a request or answer."""
    return await reader.readuntil(b"\r\n\r\n")


def answer(body: bytes, request_id: bytes = b"1", extra: bytes = b"") -> bytes:
    """Return the bytes of an answer with status 200."""
    return b"HTTP/1.1 200 OK\r\nId: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        request_id,
        extra,
        len(body),
        body,
    )


async def free_address() -> addresses.Address:
    """Return an address on which nothing listens."""
    async with RawServer(_close_at_once) as server:
        return server.address


async def _close_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    return None
