"""Planned stops of a node while callers wait for slow backend servers.

Every request that the node has received gets exactly one answer before the
process ends, and 503 only if no backend server has seen the request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import socket
import time

import pytest
import uvloop

from tests.test_gateway import fakes
from tests.test_gateway import late_loop
from trefoilwind.distribution import frames
from trefoilwind.gateway import http_types
from trefoilwind.gateway import node as node_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import streams
from trefoilwind.log import keyed
from trefoilwind.model import mesh
from trefoilwind.routing import shared_budget
from trefoilwind.standins import keyed_store

_STOP_TIMEOUT_S = 3.0
# Calls at work must not be given up before this time of the stop.
_LAST_SIXTH_S = _STOP_TIMEOUT_S * 5 / 6
# A time of the stop at which the node does not listen any more.
_NOT_LISTENING_S = 1.6
# Seconds from sending a request within which its connection may end without an
# answer, as the node has not read it.
_CROSSING_S = 0.2
# Seconds between two reads of a slow peer.
_READ_PAUSE_S = 0.005
# Seconds for which an event loop is late.
_LATE_S = 0.5
# Seconds for which the callers wait, longer than the stop.
_WAIT_S = 6.2
_ORDERS = mesh.HostRoute(
    "orders",
    "a.example",
    "/orders/",
    False,
    _WAIT_S,
    _WAIT_S,
    0,
    (mesh.Destination("s", 1.0),),
    2,
)
_LOOK_UPS = dataclasses.replace(
    _ORDERS,
    name="look-ups",
    path_prefix="/look-ups/",
    is_idempotent=True,
    rank=1,
)
_ORDER = "POST /orders/"
_LOOK_UP = "GET /look-ups/"


class _Backend:
    """Backend server that answers each request after some seconds.

    Attributes:
        service_s: Seconds until the next answers; requests with the id in
            `held` are answered after `_WAIT_S`.
        ran: Ids of the requests that it has begun to run, in order.
        writer: Connection of the last of them.
    """

    def __init__(
        self, name: str, service_s: float = 0.0, answer_bytes: int = 0
    ):
        self.name = name
        self.service_s = service_s
        self._body = name.encode().ljust(answer_bytes, b".")
        self.held: set[str] = set()
        self.ran: list[str] = []
        self.writer: asyncio.StreamWriter | None = None
        self.server = fakes.RawServer(self._serve)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            headers = _headers(await fakes.read_head(reader))
            request_id = http_types.find_header(headers, b"id")
            length = http_types.find_header(headers, b"content-length")
            await reader.readexactly(int(length or b"0"))
            name = request_id.decode()
            self.ran.append(name)
            self.writer = writer
            is_held = name in self.held
            await asyncio.sleep(_WAIT_S if is_held else self.service_s)
            writer.write(fakes.answer(self._body, request_id))
            await writer.drain()


class _Peer:
    """A node that calls another one over a stream and reads slowly."""

    def __init__(self, node: node_lib.MeshNode):
        address = node.settings.peer_address
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self._socket.connect((address.host, address.port))
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    async def send(self, *to_send: frames.Frame) -> None:
        data = b"".join(map(frames.encode, to_send))
        await self._loop.sock_sendall(self._socket, data)

    async def call(self, request_id: str) -> None:
        """Open a stream, which need not be known to the node, and call."""
        headers = [[b"Host", b"a.example"], [b"Id", request_id.encode()]]
        await self.send(
            frames.Hello(frames.PROTOCOL_VERSION, "peer", "d"),
            frames.CallOpen(
                call_id=1,
                method="GET",
                path="/look-ups/1",
                headers=headers,
                remaining_s=_WAIT_S,
                class_name="look-ups",
                importance=1,
                fingerprint="",
                body=b"",
                is_last=True,
                service="s",
                version="",
                target_s=_WAIT_S,
                is_nested=False,
                sent_at=self._loop.time(),
            ),
        )

    async def read_frames(self) -> list[frames.Frame]:
        """Return the frames until the end of the stream; ping meanwhile."""
        decoder = frames.Decoder()
        received: list[frames.Frame] = []
        while data := await self._loop.sock_recv(self._socket, 16384):
            received += decoder.feed(data)
            await self.send(frames.Ping())
            await asyncio.sleep(_READ_PAUSE_S)
        self._socket.close()
        return received


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """What a caller has seen of its request.

    Attributes:
        request_id: Id of the request.
        status: Status of a complete answer; 0 if the connection was refused,
            -1 if it ended without a complete answer.
        headers: Headers of the answer.
        sent: Event loop time in seconds at which it was sent, or its rest.
        ended: Event loop time in seconds of its end.
    """

    request_id: str
    status: int
    headers: tuple[http_types.Header, ...]
    sent: float
    ended: float

    def header(self, name: bytes) -> bytes:
        """Return a header of the answer, or empty bytes."""
        return http_types.find_header(self.headers, name)


class _Nodes:
    """Nodes with one backend server each and a shared store."""

    def __init__(self) -> None:
        self._store = keyed_store.MemoryStore()
        self._nodes: list[node_lib.MeshNode] = []
        self._servers: list[fakes.RawServer] = []

    async def add(self, backend: _Backend) -> node_lib.MeshNode:
        """Start a node beside a backend server with one slot."""
        await self._store.put("operator", "config", b"x")
        server = await backend.server.__aenter__()
        self._servers.append(server)
        settings = node_settings.MeshSettings(
            node_id=backend.name,
            data_centre="d",
            region="r",
            service="s",
            caller_address=await fakes.free_address(),
            peer_address=await fakes.free_address(),
            backend_address=server.address,
            operator_topic="operator",
            status_topic="status",
            stream_times=streams.StreamTimes(0.5, 2.0),
            budget=shared_budget.BudgetTerms(0.2, 10.0, 100.0),
            stop_timeout_s=_STOP_TIMEOUT_S,
            heartbeat_interval_s=15.0,
        )
        node = node_lib.MeshNode(
            settings,
            self._store,
            fakes.header_port(),
            node_lib.OperatorPort(_decode, lambda status: None),
        )
        assert await node.start() is None
        self._nodes.append(node)
        node.announce(
            mesh.BackendServer(backend.name, "s", "v1", server.address, 1)
        )
        return node

    async def add_entry_and_target(self, target: _Backend) -> node_lib.MeshNode:
        """Start two nodes; return the one whose calls go to the other."""
        entry = await self.add(_Backend("entry"))
        node = await self.add(target)
        await _until(lambda: entry.is_ready and node.is_ready)
        await _until(lambda: entry.is_connected(target.name))
        entry.withdraw()
        return entry

    async def close(self) -> None:
        """Abort all nodes and stop the backend servers."""
        for node in self._nodes:
            node.abort()
        for server in self._servers:
            await server.__aexit__()


class _Stop:
    """A planned stop of a node that has begun."""

    def __init__(self, node: node_lib.MeshNode):
        self._node = node
        self._loop = asyncio.get_running_loop()
        self._started = self._loop.time()
        self._task = asyncio.create_task(self._run())

    async def at(self, elapsed_s: float) -> None:
        """Wait until a time of the stop."""
        await asyncio.sleep(self._started + elapsed_s - self._loop.time())

    async def end(self) -> None:
        """Wait until the process would end; no request may be left then."""
        in_flight, ended = await self._task
        assert in_flight == 0
        assert self.elapsed_s(ended) < _STOP_TIMEOUT_S

    async def _run(self) -> tuple[int, float]:
        """Return what is in flight when the process would end, and when."""
        await self._node.stop()
        # Before the event loop runs on, which it would not in a process.
        return self._node.gauges.in_flight, self._loop.time()

    def elapsed_s(self, time: float) -> float:
        """Return the time of the stop of an event loop time."""
        return time - self._started


def _decode(record: keyed.KeyedRecord) -> mesh.MeshConfiguration:
    return mesh.MeshConfiguration(record.offset + 1, (_ORDERS, _LOOK_UPS))


def _headers(head: bytes) -> tuple[http_types.Header, ...]:
    """Return the headers of a request or an answer."""
    pairs = (line.partition(b":") for line in head.split(b"\r\n")[1:] if line)
    return tuple((name, value.strip()) for name, _, value in pairs)


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


async def _connect(node: node_lib.MeshNode):
    address = node.settings.caller_address
    return await asyncio.open_connection(address.host, address.port)


def _request(line: str, request_id: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    return (
        b"%b%b HTTP/1.1\r\nHost: a.example\r\nId: %b\r\nWait: %.1f\r\n"
        b"Content-Length: %d\r\n\r\n%b"
        % (
            line.encode(),
            request_id.encode(),
            request_id.encode(),
            _WAIT_S,
            len(body),
            body,
        )
    )


async def _call(
    node: node_lib.MeshNode, line: str, request_id: str
) -> _Outcome:
    """Send a request on a connection of its own."""
    try:
        reader, writer = await _connect(node)
    except ConnectionError:
        return _Outcome(request_id, 0, (), 0.0, 0.0)
    writer.write(_request(line, request_id))
    return await _read_outcome(reader, writer, request_id)


async def _read_outcome(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request_id: str,
) -> _Outcome:
    loop = asyncio.get_running_loop()
    sent = loop.time()
    try:
        head = await fakes.read_head(reader)
        headers = _headers(head)
        length = http_types.find_header(headers, b"content-length")
        await reader.readexactly(int(length))
        status = int(head.split()[1])
    except (ConnectionError, asyncio.IncompleteReadError):
        status, headers = -1, ()
    finally:
        writer.close()
    return _Outcome(request_id, status, headers, sent, loop.time())


def _run(scenario: Callable[[_Nodes], Awaitable[None]]) -> None:
    async def run() -> None:
        nodes = _Nodes()
        try:
            async with asyncio.timeout(60.0):
                await scenario(nodes)
        finally:
            await nodes.close()

    uvloop.run(run())


def _assert_not_run(outcome: _Outcome, backend: _Backend) -> None:
    """Assert a refusal that says truthfully that the request did not run."""
    assert outcome.status == 503, outcome
    assert outcome.header(b"retry-after")
    assert outcome.header(b"connection") == b"close"
    assert outcome.request_id not in backend.ran


def test_late_order_queued_at_its_target_is_refused_before_the_stop_ends():
    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target", 0.3)
        backend.held = {"held"}
        entry = await nodes.add_entry_and_target(backend)
        for route in (_ORDER, _LOOK_UP):
            assert (await _call(entry, route, "first")).status == 200
        held = asyncio.create_task(_call(entry, _ORDER, "held"))
        await _until(lambda: "held" in backend.ran)
        stop = _Stop(entry)
        await stop.at(0.5)
        late = [
            asyncio.create_task(_call(entry, _ORDER, "late-order")),
            asyncio.create_task(_call(entry, _LOOK_UP, "late-look-up")),
        ]
        await stop.end()
        outcomes = await asyncio.gather(*late)
        # The target has a free slot now.
        await asyncio.sleep(0.5)
        for outcome in outcomes:
            _assert_not_run(outcome, backend)
        assert (await held).status == 504

    _run(scenario)


def test_call_at_work_is_answered_in_the_last_sixth_of_a_stop():
    async def scenario(nodes: _Nodes) -> None:
        own, backend = _Backend("own"), _Backend("target")
        own.held = backend.held = {"own", "before", "late"}
        node = await nodes.add(own)
        target = await nodes.add(backend)
        await _until(lambda: node.is_ready and target.is_ready)
        await _until(lambda: node.is_connected("target"))
        tasks = [asyncio.create_task(_call(node, _ORDER, "own"))]
        await _until(lambda: "own" in own.ran + backend.ran)
        tasks.append(asyncio.create_task(_call(node, _ORDER, "before")))
        await _until(lambda: "before" in own.ran + backend.ran)
        assert own.ran and backend.ran
        stop = _Stop(node)
        await stop.end()
        for outcome in await asyncio.gather(*tasks):
            assert outcome.status == 504, outcome
            assert stop.elapsed_s(outcome.ended) >= _LAST_SIXTH_S

    _run(scenario)


def test_late_order_at_work_is_not_given_up_before_the_last_sixth():
    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target")
        backend.held = {"late"}
        entry = await nodes.add_entry_and_target(backend)
        stop = _Stop(entry)
        await stop.at(1.0)
        late = asyncio.create_task(_call(entry, _ORDER, "late"))
        await stop.end()
        outcome = await late
        assert outcome.status == 504, outcome
        assert stop.elapsed_s(outcome.ended) >= _LAST_SIXTH_S
        assert backend.ran == ["late"]

    _run(scenario)


def test_each_request_of_a_stop_beside_a_slow_target_has_one_true_outcome():
    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target", 0.25)
        entry = await nodes.add_entry_and_target(backend)
        stop = _Stop(entry)
        tasks = []
        for number in range(100):
            await stop.at(number * 0.02)
            route = (_ORDER, _LOOK_UP)[number % 2]
            call = _call(entry, route, f"{number}")
            tasks.append(asyncio.create_task(call))
        await stop.end()
        outcomes = await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
        assert len(backend.ran) == len(set(backend.ran))
        statuses = {outcome.status for outcome in outcomes}
        assert statuses <= {-1, 0, 200, 503, 504}
        assert {200, 503} <= statuses
        for outcome in outcomes:
            if outcome.status == 200:
                assert outcome.request_id in backend.ran
            elif outcome.status == 503:
                _assert_not_run(outcome, backend)
            elif outcome.status == -1:
                # Crossed the end of the listening.
                assert outcome.request_id not in backend.ran
                assert outcome.ended - outcome.sent < _CROSSING_S

    _run(scenario)


def test_upload_that_arrives_when_listening_stops_is_answered():
    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target")
        entry = await nodes.add_entry_and_target(backend)
        stop = _Stop(entry)
        await stop.at(0.8)
        request = _request(_ORDER, "upload", bytes(1000))
        reader, writer = await _connect(entry)
        writer.write(request[:-500])
        await stop.at(_NOT_LISTENING_S)
        writer.write(request[-500:])
        outcome = await _read_outcome(reader, writer, "upload")
        await stop.end()
        assert outcome.status == 200, outcome
        assert backend.ran == ["upload"]

    _run(scenario)


def test_upload_complete_late_is_refused_if_its_run_would_outlast_the_stop():
    """A run was begun and given up at the end of the stop, with 504."""

    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target", 0.8)
        entry = await nodes.add_entry_and_target(backend)
        assert (await _call(entry, _ORDER, "first")).status == 200
        stop = _Stop(entry)
        await stop.at(0.8)
        request = _request(_ORDER, "upload", bytes(1000))
        reader, writer = await _connect(entry)
        writer.write(request[:-500])
        await stop.at(2.0)
        writer.write(request[-500:])
        outcome = await _read_outcome(reader, writer, "upload")
        await stop.end()
        _assert_not_run(outcome, backend)
        assert outcome.ended - outcome.sent < 0.2

    _run(scenario)


def test_upload_that_is_incomplete_at_the_end_of_a_stop_is_refused():
    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target")
        entry = await nodes.add_entry_and_target(backend)
        stop = _Stop(entry)
        await stop.at(0.8)
        reader, writer = await _connect(entry)
        writer.write(_request(_ORDER, "upload", bytes(1000))[:-500])
        outcome = await _read_outcome(reader, writer, "upload")
        await stop.end()
        _assert_not_run(outcome, backend)

    _run(scenario)


def test_request_whose_head_ends_after_listening_stopped_is_refused():
    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target")
        entry = await nodes.add_entry_and_target(backend)
        stop = _Stop(entry)
        # Keeps the stop from ending.
        reader, writer = await _connect(entry)
        writer.write(_request(_ORDER, "upload", bytes(1000))[:-500])
        other_reader, other_writer = await _connect(entry)
        request = _request(_ORDER, "order")
        other_writer.write(request[:20])
        await stop.at(_NOT_LISTENING_S)
        other_writer.write(request[20:])
        outcome = await _read_outcome(other_reader, other_writer, "order")
        assert stop.elapsed_s(outcome.ended) < _LAST_SIXTH_S
        _assert_not_run(outcome, backend)
        await _read_outcome(reader, writer, "upload")
        await stop.end()

    _run(scenario)


def test_requests_that_wait_unread_are_answered_when_listening_stops():
    """A late event loop closed its sockets over requests that waited unread."""

    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target")
        entry = await nodes.add_entry_and_target(backend)
        kept = await _connect(entry)
        address = entry.settings.caller_address
        stop = _Stop(entry)
        await stop.at(_NOT_LISTENING_S - _LATE_S)
        # From here until listening stops, the event loop of the node is late.
        connection = socket.create_connection((address.host, address.port))
        connection.sendall(_request(_ORDER, "fresh"))
        kept[1].write(_request(_ORDER, "kept"))
        time.sleep(_LATE_S)
        fresh = await asyncio.open_connection(sock=connection)
        outcomes = await asyncio.gather(
            _read_outcome(*fresh, "fresh"), _read_outcome(*kept, "kept")
        )
        await stop.end()
        for outcome in outcomes:
            # Whether it is read before requests are refused is open.
            if outcome.status == 200:
                assert outcome.request_id in backend.ran
            else:
                _assert_not_run(outcome, backend)

    _run(scenario)


def test_answer_on_its_way_to_a_peer_outlives_the_end_of_the_process():
    """The kernel discarded it with the connection, as the peer sent more."""
    size = 400_000

    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target", 0.2, size)
        target = await nodes.add(backend)
        await _until(lambda: target.is_ready)
        peer = _Peer(target)
        await peer.call("look-up")
        await _until(lambda: "look-up" in backend.ran)
        stop = _Stop(target)
        await stop.at(1.5)
        received = await peer.read_frames()
        await stop.end()
        kinds = (frames.AnswerHead, frames.AnswerBody)
        parts = [each for each in received if isinstance(each, kinds)]
        assert parts[-1].is_last
        body = parts[0].body + b"".join(each.chunk for each in parts[1:])
        assert len(body) == size
        # The calls after the first one have not run.
        assert received[-1] == frames.GoAway(1)

    _run(scenario)


@pytest.mark.parametrize("late_s", [0.15, 0.35])
def test_answer_that_waits_unread_when_a_stop_ends_its_call_is_returned(late_s):
    """A late event loop replaced it by a 504 of the node, or a reset."""

    async def scenario(nodes: _Nodes) -> None:
        backend = _Backend("target")
        backend.held = {"held"}
        node = await nodes.add(backend)
        await _until(lambda: node.is_ready)
        call = asyncio.create_task(_call(node, _ORDER, "held"))
        await _until(lambda: "held" in backend.ran)
        stop = _Stop(node)
        reserve_s = node_lib.STOP_RESERVE_FRACTION * _STOP_TIMEOUT_S
        end_s = _STOP_TIMEOUT_S - min(reserve_s, node_lib.STOP_RESERVE_S)
        await stop.at(end_s - 0.1)
        answer = fakes.answer(b"done", b"held")
        await late_loop.block(late_s, lambda: backend.writer.write(answer))
        await stop.end()
        outcome = await call
        assert outcome.status == 200, outcome

    _run(scenario)
