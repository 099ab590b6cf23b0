"""Stand-in for the platform's store that implements its HTTP interface."""

import asyncio
import base64
import collections
import json
import struct
import urllib.parse

from trefoilwind.gateway import http_server
from trefoilwind.gateway import http_types
from trefoilwind.model import addresses
from trefoilwind.model import mesh

HOST = "127.0.0.1"


# Seconds for which a silent store leaves a call unanswered.
_SILENCE_S = 3600.0


def heartbeat(address: addresses.Address) -> bytes:
    """Return the first heartbeat of a backend server with two slots."""
    document = {
        "address": str(address),
        "info": {"service": "s", "version": "v1", "zone": "z", "slots": 2},
        "status": {"state": "ready", "seq": 1, "cold_left_s": 0},
    }
    return json.dumps(document).encode()


class StoreServer:
    """HTTP server with keyed topics in memory.

    Attributes:
        answers: Statuses of the next answers; such calls are not executed.
            With 0 a call is executed and its connection closed unanswered.
        calls: Paths of the calls received so far.
        delay_s: Seconds until each call is executed; infinite for silence.
    """

    def __init__(self) -> None:
        self.answers: list[int] = []
        self.calls: list[str] = []
        self.delay_s = 0.0
        self._topics: dict[str, list[tuple[bytes, bytes]]] = (
            collections.defaultdict(list)
        )
        self._first: collections.Counter[str] = collections.Counter()
        self._era = 0
        # Incremented to end the reads that wait.
        self._interruptions = 0
        self._server = http_server.HttpServer(self._handle, mesh.CallerLimits)

    async def start(self) -> addresses.Address:
        """Listen and return the address."""
        await self._server.listen(HOST, 0, 16)
        sock = self._server._server.sockets[0]
        return addresses.Address(HOST, sock.getsockname()[1])

    def append(self, topic: str, key: bytes, value: bytes) -> None:
        """Append a record of another writer, such as the operator."""
        self._topics[f"keyed.{topic}"].append((key, value))

    def expire_history(self) -> None:
        """Remove all records from the readable history."""
        for topic, records in self._topics.items():
            self._first[topic] = len(records)

    def restore(self, kept: int) -> None:
        """Return to a copy with the first records, and close connections."""
        self.restore_silently(kept)
        self._interruptions += 1

    def restore_silently(self, kept: int) -> None:
        """Return to a copy with the first records only, in a new era."""
        for records in self._topics.values():
            del records[kept:]
        self._era += 1

    async def _handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        path, _, query = request.target.decode().partition("?")
        self.calls.append(path)
        if self.delay_s:
            await asyncio.sleep(min(self.delay_s, _SILENCE_S))
        fields = dict(urllib.parse.parse_qsl(query))
        assert fields["topic"].startswith("keyed.")
        assert fields["part"] == "0"
        status = self.answers.pop(0) if self.answers else 200
        if status not in (0, 200):
            return self._in_era(http_types.HttpAnswer(status, (), b"{}"))
        interruptions = self._interruptions
        answer = await self._execute(path, fields, request.body)
        if status == 0 or interruptions != self._interruptions:
            raise ConnectionAbortedError
        return self._in_era(answer)

    def _in_era(self, answer: http_types.HttpAnswer) -> http_types.HttpAnswer:
        header = (b"Store-Era", b"%d" % self._era)
        return http_types.HttpAnswer(
            answer.status, (*answer.headers, header), answer.body
        )

    async def _execute(
        self, path: str, fields: dict[str, str], body: bytes
    ) -> http_types.HttpAnswer:
        if path == "/-/log-append":
            return self._append(fields, body)
        if path == "/-/log-newest":
            return self._newest(fields)
        return await self._read(fields)

    def _append(
        self, fields: dict[str, str], body: bytes
    ) -> http_types.HttpAnswer:
        records = self._topics[fields["topic"]]
        offset = len(records)
        if fields.get("at", str(offset)) != str(offset):
            return _json(412, {"end_offset": offset})
        (length,) = struct.unpack_from(">I", body)
        assert length == len(body) - 4
        size = body[4]
        records.append((body[5 : 5 + size], body[5 + size :]))
        return _json(200, {"offset": offset, "end_offset": offset + 1})

    def _newest(self, fields: dict[str, str]) -> http_types.HttpAnswer:
        newest = {}
        records = self._topics[fields["topic"]]
        for offset, (key, value) in enumerate(records):
            text = key.decode(errors="surrogateescape")
            newest[text] = (value, offset)
        keys = sorted(k for k in newest if k > fields.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:2]
        ]
        end = len(records)
        page = {"items": items, "has_more": len(keys) > 2, "end_offset": end}
        return _json(200, page)

    async def _read(self, fields: dict[str, str]) -> http_types.HttpAnswer:
        start = int(fields["from"])
        records = self._topics[fields["topic"]]
        first = self._first[fields["topic"]]
        if not first <= start <= len(records):
            return _json(410, {"first_offset": first})
        deadline = int(fields["wait_ms"]) / 1000
        interruptions = self._interruptions
        while len(records) <= start and deadline > 0:
            if interruptions != self._interruptions:
                break
            await asyncio.sleep(0.01)
            deadline -= 0.01
        data = struct.pack(">QQ", len(records), first)
        for key, value in records[start:]:
            content = bytes((len(key),)) + key + value
            data += struct.pack(">I", len(content)) + content
        return http_types.HttpAnswer(200, (), data)


def _json(status: int, plain: dict) -> http_types.HttpAnswer:
    return http_types.HttpAnswer(status, (), json.dumps(plain).encode())
