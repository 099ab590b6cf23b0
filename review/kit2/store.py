"""Stand-in for the platform's store: keyed topics in memory."""

import asyncio
import base64
import collections
import json
import struct
import urllib.parse

from review.kit2 import http

_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")
_PAGE_RECORDS = 500
_JSON = {"Content-Type": "application/json"}


class Store:
    """Keyed topics with one partition, as PROTOCOL.md tells them."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[bytes, bytes]]] = (
            collections.defaultdict(list)
        )
        self._servers: list[http.Server] = []
        self._changed = asyncio.Event()
        # Ports at which calls are turned away with 503, undone.
        self.turned_away: set[int] = set()

    async def listen(self, port: int) -> None:
        """Listen on a further port; each machine may have its own."""
        server = http.Server(self._serve)
        self._servers.append(server)
        await server.listen(port)

    def close(self) -> None:
        """End all connections."""
        for server in self._servers:
            server.close()

    def write(self, topic: str, key: str, value: dict) -> None:
        """Write a record of the operator."""
        self._append(f"keyed.{topic}", key.encode(), json.dumps(value).encode())

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        records = self._topics[f"keyed.{topic}"]
        return {key.decode(): value for key, value in records}

    def _append(self, topic: str, key: bytes, value: bytes) -> int:
        self._topics[topic].append((key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return len(self._topics[topic]) - 1

    async def _serve(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bytes:
        if writer.get_extra_info("sockname")[1] in self.turned_away:
            return _answer(503, {})
        path, _, query = request.start[1].partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        topic = fields["topic"]
        if path == "/-/log-append":
            return self._handle_append(topic, fields, request.body)
        if path == "/-/log-newest":
            return self._handle_newest(topic, fields.get("after", ""))
        return await self._handle_read(topic, fields)

    def _handle_append(
        self, topic: str, fields: dict[str, str], body: bytes
    ) -> bytes:
        end = len(self._topics[topic])
        if fields.get("at", str(end)) != str(end):
            return _answer(412, {"end_offset": end})
        first = end
        while body:
            (size,) = _LENGTH.unpack_from(body)
            content, body = body[4 : 4 + size], body[4 + size :]
            end_of_key = 1 + content[0]
            self._append(topic, content[1:end_of_key], content[end_of_key:])
        end = len(self._topics[topic])
        return _answer(200, {"offset": first, "end_offset": end})

    def _handle_newest(self, topic: str, after: str) -> bytes:
        newest = {}
        for offset, (key, value) in enumerate(self._topics[topic]):
            newest[key.decode()] = (value, offset)
        keys = sorted(k for k, (value, _) in newest.items() if value)
        keys = [key for key in keys if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:_PAGE_RECORDS]
        ]
        return _answer(
            200,
            {
                "items": items,
                "has_more": len(keys) > _PAGE_RECORDS,
                "end_offset": len(self._topics[topic]),
            },
        )

    async def _handle_read(self, topic: str, fields: dict[str, str]) -> bytes:
        start = int(fields["from"])
        records = self._topics[topic]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(fields.get("wait_ms", 0)) / 1000
        while len(records) <= start and loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                break
        data = _ENDS.pack(len(records), 0)
        for key, value in records[start:]:
            content = bytes((len(key),)) + key + value
            data += _LENGTH.pack(len(content)) + content
        return http.encode("HTTP/1.1 200 OK", {}, data)


def _answer(status: int, plain: dict) -> bytes:
    body = json.dumps(plain).encode()
    return http.encode(f"HTTP/1.1 {status} Answer", _JSON, body)
