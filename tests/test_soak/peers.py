"""Scripted backend servers and callers."""

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
import random
import time
from typing import NamedTuple

from tests.test_platform import fakes
from tests.test_soak import ledger as ledger_lib
from trefoilwind.gateway import http_server
from trefoilwind.gateway import http_types
from trefoilwind.model import mesh

# Host header of all requests.
HOST = "soak.example"
_SLOTS = 8
_HEARTBEAT_S = 1.0
_RETRY_S = 0.2
# Seconds after its deadline for which a caller waits for an answer.
_PATIENCE_S = 0.5
# Times that a backend server says that it leaves until it is acknowledged.
_LEAVE_ATTEMPTS = 15
# Share of the runs that make nested calls, and the deadline of these.
_NESTED_SHARE = 0.7
_NESTED_S = 0.25
# Parts in which a caller with a slow link sends a body.
_PARTS = 10
# Rows of the customers in the configuration.
CUSTOMERS = (
    {"name": "small", "api_keys": ["k-small"], "rate_per_s": 0, "burst": 0},
    {
        "name": "two",
        "api_keys": ["k-old", "k-new"],
        "rate_per_s": 0,
        "burst": 0,
    },
    {"name": "limited", "api_keys": ["k-few"], "rate_per_s": 10, "burst": 10},
)
WITHDRAWN_KEY = "k-old"
# Keys of requests; most are known, and an empty one is not sent.
KEYS = ("k-small", "k-old", "k-old", "k-new", "k-few", "k-unknown", "")

# What uvloop raises for a connection that is lost or was closed before.
_LOST = (OSError, EOFError, RuntimeError)

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.partition(": ") for line in head[1:])
    headers = {name.lower(): value for name, _, value in pairs}
    length = int(headers.get("content-length", 0))
    return int(head[0].split()[1]), headers, await reader.readexactly(length)


def _message(line: str, headers: dict[str, str], body: bytes) -> bytes:
    headers = {"Host": HOST, "Content-Length": len(body)} | headers
    lines = [f"{line} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(port: int, line: str, body: bytes = b"") -> int:
    """Return the status of an answer, or 0 without one."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(fakes.HOST, port)
            writer.write(_message(line, {"Connection": "close"}, body))
            status, _, _ = await _read_answer(reader)
            writer.close()
            return status
    except _LOST:
        return 0


class BackendServer:
    """Works as long as a request says, and records its runs."""

    def __init__(
        self,
        node: int,
        ports: Mapping[str, int],
        service: str,
        ledger: ledger_lib.Ledger,
    ):
        """Initialize a server that is not running.

        Args:
            node: Index of the node beside it.
            ports: Its own port "app", and "control" and "outbound" of the node.
            service: Its service.
            ledger: Records its runs.
        """
        self._node = node
        self._port = ports["app"]
        self._control_port = ports["control"]
        self._outbound_port = ports["outbound"]
        self._service = service
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        # Held while it leaves or is away.
        self._lock = asyncio.Lock()
        self._server: http_server.HttpServer | None = None
        self._heartbeats: asyncio.Task | None = None
        self._starts = 0
        self._born = 0
        self._sequence = 0
        self._running = 0
        self._is_leaving = False
        self._slowness = 1.0

    @property
    def _instance(self) -> str:
        return f"i-{self._node}-{self._starts}"

    async def start(self) -> None:
        self._starts += 1
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._is_leaving = False
        self._server = http_server.HttpServer(self._serve, mesh.CallerLimits)
        await self._server.listen(fakes.HOST, self._port, 256)
        self._heartbeats = self._loop.create_task(self._beat())

    async def leave(self, extra_s: float) -> None:
        """Say that it leaves, serve on for a while, end and start again."""
        async with self._lock:
            self._is_leaving = True
            for _ in range(_LEAVE_ATTEMPTS):
                if await self._send_heartbeat():
                    break
                await asyncio.sleep(_RETRY_S)
            await asyncio.sleep(ledger_lib.DRAIN_S + extra_s)
            path = f"DELETE /-/instances/{self._instance}"
            await call(self._control_port, path)
            while self._running:
                await asyncio.sleep(_RETRY_S)
            await self._restart(1.0)

    async def crash(self, away_s: float) -> None:
        async with self._lock:
            await self._restart(away_s)

    async def slow(self, seconds: float) -> None:
        """Work more slowly for a time."""
        self._slowness = 4.0
        await asyncio.sleep(seconds)
        self._slowness = 1.0

    async def _restart(self, away_s: float) -> None:
        self.close()
        await asyncio.sleep(away_s)
        await self.start()

    def close(self) -> None:
        """End without a word."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        server, self._server = self._server, None
        if server is None:
            return
        server.stop_listening()
        for connection in list(server._connections):
            connection._transport.abort()

    async def _beat(self) -> None:
        while True:
            is_done = await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_S if is_done else _RETRY_S)

    async def _send_heartbeat(self) -> bool:
        """Return True if it was acknowledged."""
        self._sequence += 1
        is_leaving = self._is_leaving
        instance = self._instance
        status = {"seq": self._sequence, "cold_left_s": 0}
        status["state"] = "draining" if is_leaving else "ready"
        info = {"service": self._service, "version": "v1", "slots": _SLOTS}
        document = {"address": f"{fakes.HOST}:{self._port}", "info": info}
        document |= {"status": status, "born": self._born}
        path = f"PUT /-/instances/{instance}"
        body = json.dumps(document).encode()
        is_done = await call(self._control_port, path, body) == 200
        if is_done and is_leaving:
            self._ledger.left.setdefault(instance, self._loop.time())
        return is_done

    async def _serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        request_id = request.header(b"x-request-id").decode()
        if request.header(b"authorization"):
            self._ledger.break_promise("no key to servers", request_id)
        own = ((b"X-Request-Id", request_id.encode()),)
        not_run = (*own, (b"X-Not-Executed", b"1"))
        if request.header(b"x-expect-instance").decode() != self._instance:
            return http_types.HttpAnswer(421, not_run)
        run = ledger_lib.Run(
            request_id, self._node, self._instance, self._loop.time()
        )
        self._ledger.check_arrival(run)
        if self._running >= 2 * _SLOTS:
            return http_types.HttpAnswer(503, not_run)
        sum_ = ledger_lib.digest(request.method, request.target, request.body)
        caller_service = request.header(b"x-caller-service").decode()
        self._ledger.start_run(run, sum_, caller_service)
        customer = request.header(b"x-tenant").decode()
        self._ledger.check_customer(run, customer)
        work_s = int(request.header(b"x-work-ms")) / 1000 * self._slowness
        left_s = int(request.header(b"x-deadline-ms")) / 1000
        run.status = 504 if work_s > left_s else 200
        server = self._server
        self._running += 1
        try:
            calls = int(request.header(b"x-calls") or 0)
            if calls and not await self._call_others(request_id, left_s):
                run.status = 500
            await asyncio.sleep(min(work_s, left_s))
            run.end = "answered"
        except asyncio.CancelledError:
            run.end = "dropped" if server is self._server else "crashed"
            raise
        finally:
            self._running -= 1
            run.ended = self._loop.time()
        size = int(request.header(b"x-answer-bytes"))
        text = f"{request_id} {run.instance} ".encode()
        body = (text * (size // len(text) + 1))[:size]
        sum_ = ledger_lib.digest(request_id.encode(), body)
        run.seal = f"{run.instance}.{sum_}"
        headers = (*own, (b"X-Server-Seal", run.seal.encode()))
        return http_types.HttpAnswer(
            run.status, headers, body, is_last=self._is_leaving
        )

    async def _call_others(self, request_id: str, left_s: float) -> bool:
        """Make a call through the node beside it; return if it succeeded."""
        call_id = f"{request_id}.1"
        headers = {
            "X-Request-Id": call_id,
            "X-Deadline-Ms": str(int(min(left_s, _NESTED_S) * 1000)),
            "X-Work-Ms": "19",
            "X-Answer-Bytes": "200",
            "Connection": "close",
        }
        line = "GET /nested/1"
        method, path = line.encode().split()
        sum_ = ledger_lib.digest(method, path, b"")
        now = self._loop.time()
        due = now + min(left_s, _NESTED_S)
        request = ledger_lib.Request(
            call_id, self._node, "safe", sum_, now, due, now
        )
        request.is_nested = True
        self._ledger.requests[call_id] = request
        answer = b""
        try:
            async with asyncio.timeout_at(due):
                reader, writer = await asyncio.open_connection(
                    fakes.HOST, self._outbound_port
                )
                try:
                    writer.write(_message(line, headers, b""))
                    request.sent = self._loop.time()
                    status, received, answer = await _read_answer(reader)
                    request.end, request.status = "answered", status
                    request.seal = received.get("x-server-seal", "")
                finally:
                    writer.transport.abort()
        except TimeoutError:
            request.end = "late"
        except _LOST:
            is_sent = request.sent > now
            request.end = "cut" if is_sent else "unsent"
        self._ledger.end_request(request, answer)
        return request.status == 200


class Habit(NamedTuple):
    """How a caller behaves: pauses in s, work in ms, bodies in KiB."""

    kinds: tuple[str, ...]
    pause_s: tuple[float, float]
    work_ms: tuple[int, int]
    body_kb: tuple[int, int]
    # Longest time over which a body is sent.
    send_s: float
    timeout_s: float
    # True if each request gets a new connection.
    is_fresh: bool = False
    # Requests that are sent at once on one connection.
    pipelined: int = 1
    # Nested calls of each run.
    calls: int = 0


MIXED = "mixed"
SHORT = "short"
_MIXED_HABITS = (
    *(Habit(("safe", "order"), (0.02, 0.3), (2, 150), (0, 2), 0.0, 2.0),) * 2,
    # Also sends late in a grace, on a connection that was open before.
    *(Habit(("safe", "order"), (0.5, 4.0), (2, 800), (0, 2), 0.0, 3.0),) * 3,
    *(Habit(("upload",), (0.1, 2.0), (100, 2500), (50, 1500), 2.0, 9.0),) * 2,
    Habit(("upload",), (0.1, 2.0), (100, 2500), (50, 500), 4.0, 9.0),
)
# Callers with deadlines shorter than a grace. The route's timeout ends their
# requests before their own deadline.
_SHORT_HABITS = (
    *(Habit(("safe",), (0.05, 0.4), (20, 580), (0, 0), 0.0, 0.8, True, 1, 1),)
    * 3,
    *(Habit(("order",), (0.05, 0.5), (30, 760), (1, 24), 0.0, 0.8),) * 2,
    Habit(("order",), (0.5, 4.0), (30, 760), (1, 24), 0.0, 0.8),
    Habit(("upload",), (0.2, 1.0), (40, 560), (50, 1700), 1.0, 2.0, True),
    Habit(("safe", "order"), (0.2, 1.0), (20, 100), (0, 4), 0.0, 0.8, False, 3),
)
# Repeats at once, whatever the answer; more than 40 requests a second at each
# node, where the customer's limit for all nodes is 10.
FLOOD = Habit(("safe",), (0.0, 0.02), (1, 20), (0, 0), 0.0, 2.0)
FLOOD_KEY = "k-few"
HABITS = {MIXED: _MIXED_HABITS, SHORT: _SHORT_HABITS}
# Timeouts of the routes in seconds.
TIMEOUTS_S = {
    MIXED: {"safe": 3.0, "order": 3.0, "upload": 9.0},
    SHORT: {"safe": 0.8, "order": 0.8, "upload": 2.0},
}


@dataclasses.dataclass(frozen=True)
class _Planned:
    """A request before it is sent, and the time to wait and to send it."""

    line: str
    headers: dict[str, str]
    body: bytes
    pause_s: float
    send_s: float


class Caller:
    """Sends requests to one node, over one connection at a time."""

    def __init__(
        self,
        name: str,
        node: int,
        port: int,
        habit: Habit,
        ledger: ledger_lib.Ledger,
        keys: tuple[str, ...] = ("",),
    ):
        self._name = name
        self._keys = keys
        self._node = node
        self._port = port
        self._habit = habit
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        self._streams: _Streams | None = None
        # True if the open connection had a request.
        self._is_used = False
        self.is_ending = False

    async def run(self) -> None:
        for planned in self._requests():
            if self._habit.is_fresh:
                self._close()
            else:
                # Keeps a connection open during the pause.
                await self._connect()
            await asyncio.sleep(planned.pause_s)
            streams = await self._connect()
            if streams is None:
                return
            if self._habit.pipelined > 1:
                await self._pipeline(planned, streams)
                continue
            request = self._begin(planned)
            answer = await self._exchange(request, planned, streams)
            self._ledger.end_request(request, answer)

    def _begin(self, planned: _Planned) -> ledger_lib.Request:
        now = self._loop.time()
        method, path = planned.line.encode().split()
        request = ledger_lib.Request(
            planned.headers["X-Request-Id"],
            self._node,
            path.decode().split("/")[1],
            ledger_lib.digest(method, path, planned.body),
            now,
            now + self._habit.timeout_s,
        )
        self._ledger.requests[request.request_id] = request
        authorization = planned.headers.get("Authorization", "")
        request.key = authorization.removeprefix("Bearer ")
        request.is_kept = self._is_used
        self._is_used = True
        return request

    async def _pipeline(self, planned: _Planned, streams: _Streams) -> None:
        """Send requests at once and read their answers one by one."""
        reader, writer = streams
        own_id = planned.headers["X-Request-Id"]
        requests = []
        for number in range(self._habit.pipelined):
            headers = planned.headers | {"X-Request-Id": f"{own_id}-{number}"}
            each = dataclasses.replace(planned, headers=headers)
            requests.append(self._begin(each))
            writer.write(_message(each.line, headers, each.body))
        for request in requests:
            request.sent = self._loop.time()
        last_end = ""
        for request in requests:
            answer = b""
            if self._is_open(streams):
                answer = await self._read(request, reader)
                last_end = request.end if request.end == "late" else "cut"
            else:
                # What is still read would answer an earlier request.
                request.end = last_end
            self._ledger.end_request(request, answer)

    def _is_open(self, streams: _Streams) -> bool:
        """Return True if this caller has not closed a connection."""
        return self._streams is streams

    async def _read(
        self, request: ledger_lib.Request, reader: asyncio.StreamReader
    ) -> bytes:
        """Return the body of an answer; close the connection after the last."""
        try:
            async with asyncio.timeout_at(request.due + _PATIENCE_S):
                status, headers, body = await _read_answer(reader)
        except TimeoutError:
            request.end = "late"
        except _LOST:
            request.end = "cut"
        else:
            request.end = "answered"
            request.status = status
            request.seal = headers.get("x-server-seal", "")
            if headers.get("connection") == "close":
                self._close()
            return body
        self._close()
        return b""

    def _requests(self) -> Iterator[_Planned]:
        rng = random.Random(self._name)
        # Its own stream, so that requests are the same without customers.
        key_rng = random.Random(f"keys {self._name}")
        number = 0
        while True:
            number += 1
            kind = rng.choice(self._habit.kinds)
            kb = rng.randint(*self._habit.body_kb) * (kind != "safe")
            headers = {
                "X-Request-Id": f"{self._name}-{number}",
                "X-Deadline-Ms": str(int(self._habit.timeout_s * 1000)),
                "X-Work-Ms": str(rng.randint(*self._habit.work_ms)),
                "X-Answer-Bytes": str(rng.choice((10, 1000, 100_000))),
            }
            if self._habit.calls and rng.random() < _NESTED_SHARE:
                headers["X-Calls"] = str(self._habit.calls)
            if key := key_rng.choice(self._keys):
                headers["Authorization"] = f"Bearer {key}"
                # The system replaces what a caller names.
                headers["X-Tenant"] = "forged"
            yield _Planned(
                f"{'POST' if kb else 'GET'} /{kind}/{rng.randrange(1000)}",
                headers,
                rng.randbytes(1024) * kb,
                rng.uniform(*self._habit.pause_s),
                rng.uniform(0.0, self._habit.send_s),
            )

    async def _connect(self) -> _Streams | None:
        """Return an open connection; None at the end."""
        while not self.is_ending:
            if self._streams is not None:
                reader, writer = self._streams
                if not reader.at_eof() and not writer.is_closing():
                    return self._streams
                self._close()
            try:
                async with asyncio.timeout(1.0):
                    self._streams = await asyncio.open_connection(
                        fakes.HOST, self._port
                    )
                # A drained write has left this process.
                self._streams[1].transport.set_write_buffer_limits(0)
            except _LOST:
                self._close()
                await asyncio.sleep(_RETRY_S)
        self._close()
        return None

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None
        self._is_used = False

    async def _exchange(
        self,
        request: ledger_lib.Request,
        planned: _Planned,
        streams: _Streams,
    ) -> bytes:
        """Send a request and return the body of its answer."""
        reader, writer = streams
        data = _message(planned.line, planned.headers, planned.body)
        size = -(-len(data) // _PARTS) if planned.send_s else len(data)
        try:
            async with asyncio.timeout_at(request.due + _PATIENCE_S):
                for start in range(0, len(data), size):
                    if start:
                        await asyncio.sleep(planned.send_s / _PARTS)
                    writer.write(data[start : start + size])
                    await writer.drain()
        except TimeoutError:
            request.end = "late"
        except _LOST:
            request.end = "unsent"
        else:
            request.sent = self._loop.time()
            return await self._read(request, reader)
        self._close()
        return b""
