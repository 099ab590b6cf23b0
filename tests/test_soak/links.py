"""Proxies in front of the peer addresses of nodes, which harm single links."""

import asyncio
import collections
import dataclasses

from tests.test_platform import fakes
from trefoilwind.distribution import frames

_CHUNK_BYTES = 16 * 1024
# Chunks under way on a link before its writer has to wait.
_WINDOW_CHUNKS = 16
_CUT_CHECK_S = 0.02

# Ids of the nodes at which a direction of a link begins and ends.
Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Quality:
    delay_s: float = 0.0
    bytes_per_s: float = 1e9
    is_cut: bool = False


class Links:
    """All links between nodes.

    Attributes:
        quality: Quality of each direction of each link, now.
    """

    def __init__(self, zones: dict[str, str], far: Quality):
        self._zones = zones
        self._far = far
        self._free_at: collections.Counter[Key] = collections.Counter()
        self._writers: dict[Key, set[asyncio.StreamWriter]] = (
            collections.defaultdict(set)
        )
        self._servers: list[asyncio.Server] = []
        self.quality = {
            (a, b): self.sound((a, b)) for a in zones for b in zones
        }

    def sound(self, key: Key) -> Quality:
        is_near = self._zones[key[0]] == self._zones[key[1]]
        return Quality() if is_near else self._far

    def reset(self, key: Key) -> None:
        for writer in list(self._writers[key]):
            writer.transport.abort()

    async def listen(self, target: str, port: int, inner_port: int) -> None:
        """Accept the connections of nodes to a node."""

        async def serve(reader, writer) -> None:
            try:
                await self._connect(target, inner_port, reader, writer)
            except (OSError, EOFError):
                pass
            finally:
                writer.transport.abort()

        self._servers.append(
            await asyncio.start_server(serve, fakes.HOST, port)
        )

    async def close(self) -> None:
        for server in self._servers:
            server.close()
        for key in list(self._writers):
            self.reset(key)
        # The connections end.
        await asyncio.sleep(_CUT_CHECK_S)

    async def _connect(
        self,
        target: str,
        inner_port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        first, source = await _read_hello(reader)
        if source not in self._zones:
            return
        inner_reader, inner_writer = await asyncio.open_connection(
            fakes.HOST, inner_port
        )
        there, back = (source, target), (target, source)
        self._writers[there] |= {writer, inner_writer}
        pumps = {
            asyncio.create_task(self._pump(reader, inner_writer, there, first)),
            asyncio.create_task(self._pump(inner_reader, writer, back, b"")),
        }
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers[there] -= {writer, inner_writer}
            inner_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        key: Key,
        first: bytes,
    ) -> None:
        """Forward bytes in one direction until the connection ends."""
        loop = asyncio.get_running_loop()
        window: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _WINDOW_CHUNKS
        )

        async def receive() -> None:
            data = first or await reader.read(_CHUNK_BYTES)
            while data:
                quality = self.quality[key]
                free_at = max(loop.time(), self._free_at[key])
                free_at += len(data) / quality.bytes_per_s
                self._free_at[key] = free_at
                await window.put((free_at + quality.delay_s, data))
                data = await reader.read(_CHUNK_BYTES)
            await window.put((loop.time() + self.quality[key].delay_s, b""))

        async def deliver() -> None:
            while True:
                due, data = await window.get()
                await asyncio.sleep(due - loop.time())
                while self.quality[key].is_cut:
                    await asyncio.sleep(_CUT_CHECK_S)
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        async with asyncio.TaskGroup() as group:
            group.create_task(receive())
            group.create_task(deliver())


async def _read_hello(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Return the first bytes of a stream and the id of their sender."""
    decoder = frames.Decoder()
    first = b""
    while data := await reader.read(_CHUNK_BYTES):
        first += data
        decoded = decoder.feed(data)
        if not isinstance(decoded, list):
            break
        if decoded:
            return first, getattr(decoded[0], "node_id", "")
    return first, ""
