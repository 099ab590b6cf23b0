"""Small HTTP/1.1 server and client for the stand-ins; standard library only."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

HOST = "127.0.0.1"
_LIMIT_BYTES = 4 * 1024 * 1024
# What a lost connection raises.
LOST = (OSError, EOFError, ValueError, asyncio.LimitOverrunError)


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        start: Words of the first line.
        headers: Values by lower-case name.
        body: The body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or is sent in chunks.

    Raises:
        EOFError: The connection ended before.
        OSError: The connection was reset.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(first.split(" ", 2), headers)
    if headers.get("transfer-encoding", "") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        size = int(headers.get("content-length", 0))
        message.body = await reader.readexactly(size)
    return message


def encode(
    first: str, headers: dict[str, str], body: bytes = b"", length: bool = True
) -> bytes:
    """Return the bytes of a message.

    Args:
        first: First line.
        headers: Headers.
        body: Body.
        length: True to add its length.
    """
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    port: int,
    first: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> Message | None:
    """Return the answer to a request on a new connection; None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                HOST, port, limit=_LIMIT_BYTES
            )
            own = {"Host": f"{HOST}:{port}", "Connection": "close"}
            writer.write(
                encode(f"{first} HTTP/1.1", own | (headers or {}), body)
            )
            return await read_message(reader)
    except (*LOST, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes]]


class Server:
    """Serves connections with one request at a time; keeps them open."""

    def __init__(self, handler: Handler, drops: bool = True):
        """Initialize a server that does not listen.

        Args:
            handler: Returns the bytes of the answer; empty bytes close the
                connection.
            drops: True if a request is dropped when its connection closes.
        """
        self._handler = handler
        self._drops = drops
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, port: int) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(
            self._accept, HOST, port, limit=_LIMIT_BYTES, backlog=1024
        )

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self._server = None
        for task in list(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                answer = await self._answer(request, reader, writer)
                if not answer:
                    return
                writer.write(answer)
                await writer.drain()
        except LOST:
            return
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Run the handler; drop the request when its connection closes."""
        if not self._drops:
            return await self._handler(request, writer)
        work = asyncio.ensure_future(self._handler(request, writer))
        end = asyncio.ensure_future(_wait_end(reader))
        try:
            await asyncio.wait((work, end), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return b""
            return work.result()
        finally:
            work.cancel()
            end.cancel()


async def _wait_end(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
