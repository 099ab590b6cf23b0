"""Acknowledged leavings over the end of all nodes and outages of the store.

A node and the endpoints of its backend server are real; the store is in memory.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

import pytest
import uvloop

from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.gateway import http_types
from trefoilwind.gateway import node as node_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import streams
from trefoilwind.log import keyed
from trefoilwind.model import mesh
from trefoilwind.platform import endpoints
from trefoilwind.routing import shared_budget
from trefoilwind.standins import keyed_store

_OPERATOR = "operator"
_SERVICE = "s"
_ROUTE = mesh.HostRoute(
    "r",
    "a.example",
    "/a/",
    True,
    5.0,
    4.0,
    1,
    (mesh.Destination(_SERVICE, 1.0),),
    2,
)
_INSTANCE = "i1"
_PATH = f"/-/instances/{_INSTANCE}".encode()
_BORN = 1_700_000_000_000


class _Store(keyed_store.MemoryStore):
    """Store whose reads of the newest records may fail.

    Attributes:
        refuses_reads: True if they fail.
    """

    def __init__(self) -> None:
        super().__init__()
        self.refuses_reads = False

    async def newest(self, topic: str):
        """Return the newest record of each key, or an error."""
        if self.refuses_reads:
            return errors.LogError(errors.Reason.LOG_UNAVAILABLE, "test")
        return await super().newest(topic)


class _Machine:
    """A backend server and the processes of the node beside it.

    Attributes:
        store: The store.
        node: The current process of the node.
        ran: Number of calls that reached the backend server.
    """

    def __init__(self) -> None:
        self.store = _Store()
        self.node: node_lib.MeshNode | None = None
        self.ran = 0
        self._sequence = 0
        self._backend = fakes.RawServer(self._serve)
        self._heartbeats: endpoints.Heartbeats | None = None

    async def start(self) -> None:
        """Start the server and its node, and announce the server."""
        await self._backend.__aenter__()
        await self.store.put(_OPERATOR, "config", b"1")
        await self.start_node()
        assert await self.send_heartbeat() == 200
        await self.until(lambda: self.node.is_ready and bool(self.members()))

    async def start_node(self) -> None:
        """Start a process of the node, in place of the current one."""
        if self.node is not None:
            self.node.abort()
        settings = node_settings.MeshSettings(
            node_id="n1",
            data_centre="d",
            region="r",
            service=_SERVICE,
            caller_address=await fakes.free_address(),
            peer_address=await fakes.free_address(),
            backend_address=self._backend.address,
            operator_topic=_OPERATOR,
            status_topic="status",
            stream_times=streams.StreamTimes(0.5, 2.0),
            budget=shared_budget.BudgetTerms(0.2, 10.0, 100.0),
            stop_timeout_s=3.5,
            heartbeat_interval_s=0.5,
        )
        self.node = node_lib.MeshNode(
            settings,
            self.store,
            fakes.header_port(),
            node_lib.OperatorPort(_decode, _encode_status),
        )
        assert await self.node.start() is None
        self._heartbeats = endpoints.Heartbeats(
            self.node, self._backend.address, _SERVICE
        )

    async def close(self) -> None:
        """End everything."""
        if self.node is not None:
            self.node.abort()
        await self._backend.__aexit__()

    def members(self) -> tuple[keyed.KeyedRecord, ...]:
        """Return the stored member records."""
        return self.store.records(node_settings.MESH_TOPIC)

    async def send_heartbeat(
        self, state: str = "ready", sequence: int | None = None
    ) -> int:
        """Send a heartbeat and return the status of its answer."""
        self._sequence += 1
        document = {
            "address": str(self._backend.address),
            "info": {"service": _SERVICE, "version": "v1", "slots": 4},
            "status": {"state": state, "seq": sequence or self._sequence},
            "born": _BORN,
        }
        return await self._send(b"PUT", json.dumps(document).encode())

    async def deregister(self) -> int:
        """Send a deregistration and return the status of its answer."""
        return await self._send(b"DELETE", b"")

    async def call(self) -> bytes:
        """Send a request to the node and return the answer."""
        address = self.node.settings.caller_address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            b"GET /a/1 HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n"
            b"Connection: close\r\n\r\n"
        )
        answer = await reader.read()
        writer.close()
        return answer

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.01)

    async def _send(self, method: bytes, body: bytes) -> int:
        request = http_types.HttpRequest(method, _PATH, (), body, 0.0)
        return (await self._heartbeats.serve(request)).status

    async def _serve(self, reader, writer) -> None:
        while True:
            await fakes.read_head(reader)
            self.ran += 1
            writer.write(fakes.answer(b"done"))
            await writer.drain()


def _decode(record: keyed.KeyedRecord) -> mesh.MeshConfiguration:
    return mesh.MeshConfiguration(int(record.value), (_ROUTE,))


def _encode_status(status: mesh.RolloutStatus) -> keyed.KeyedRecord:
    return keyed.KeyedRecord(status.service, status.version.encode(), -1)


def _run(scenario: Callable[[_Machine], Awaitable[None]]) -> None:
    async def run() -> None:
        machine = _Machine()
        try:
            async with asyncio.timeout(60.0):
                await machine.start()
                await scenario(machine)
        finally:
            await machine.close()

    uvloop.run(run())


_Leave = Callable[[_Machine], Awaitable[int]]
_LEAVE = pytest.mark.parametrize(
    "leave",
    [_Machine.deregister, lambda machine: machine.send_heartbeat("draining")],
    ids=["deregistration", "heartbeat"],
)


async def _assert_refused(machine: _Machine) -> None:
    await machine.until(lambda: machine.node.is_ready)
    assert (await machine.call()).startswith(b"HTTP/1.1 503")
    assert not machine.ran


@_LEAVE
@pytest.mark.parametrize("is_stopping", [False, True])
def test_acknowledged_leaving_survives_the_end_of_all_nodes(
    leave: _Leave, is_stopping: bool
):
    # Guards against calls to a server whose acknowledged leaving was lost.
    async def scenario(machine: _Machine) -> None:
        stop = None
        if is_stopping:
            stop = asyncio.ensure_future(machine.node.stop())
            await machine.until(lambda: not machine.node.is_ready)
        assert await leave(machine) == 200
        await machine.start_node()
        await _assert_refused(machine)
        if stop is not None:
            await stop

    _run(scenario)


@_LEAVE
@pytest.mark.parametrize("fault", ["is_down", "loses_answers"])
def test_leaving_is_not_acknowledged_before_the_store_has_it(
    leave: _Leave, fault: str
):
    # Guards against an acknowledgement that only the memory of a node holds.
    async def scenario(machine: _Machine) -> None:
        setattr(machine.store.faults, fault, True)
        assert await leave(machine) == 503
        # Without an acknowledgement, too, the server gets no more calls.
        await _assert_refused(machine)
        setattr(machine.store.faults, fault, False)
        async with asyncio.timeout(4.0):
            while await leave(machine) != 200:
                await asyncio.sleep(0.2)
        await machine.start_node()
        await _assert_refused(machine)

    _run(scenario)


@pytest.mark.parametrize("hears_late_heartbeat", [False, True])
def test_deregistration_of_an_unknown_server_holds_once_its_record_is_read(
    hears_late_heartbeat: bool,
):
    # Guards against a deregistration that a starting node acknowledges and
    # forgets, as it has not read yet which server it has.
    async def scenario(machine: _Machine) -> None:
        machine.store.faults.is_down = True
        await machine.start_node()
        assert await machine.deregister() == 503
        if hears_late_heartbeat:
            assert await machine.send_heartbeat(sequence=1) == 200
        machine.store.faults.is_down = False
        async with asyncio.timeout(4.0):
            while await machine.deregister() != 200:
                await asyncio.sleep(0.2)
        await _assert_refused(machine)
        await machine.start_node()
        await _assert_refused(machine)

    _run(scenario)


def test_late_heartbeat_after_a_restart_does_not_undo_a_leaving():
    # Guards against a starting node that overwrites the record of a leaving
    # before it has read it.
    async def scenario(machine: _Machine) -> None:
        assert await machine.deregister() == 200
        stored = machine.members()
        machine.store.refuses_reads = True
        await machine.start_node()
        assert await machine.send_heartbeat(sequence=1) == 200
        await asyncio.sleep(0.3)
        assert machine.members() == stored
        machine.store.refuses_reads = False
        await _assert_refused(machine)
        await machine.start_node()
        await _assert_refused(machine)

    _run(scenario)


def test_node_stopped_before_it_has_read_its_record_keeps_a_leaving():
    # Guards against a stop that replaces the record of a leaving by an empty
    # one, after which a late heartbeat makes the server available.
    async def scenario(machine: _Machine) -> None:
        assert await machine.deregister() == 200
        machine.store.refuses_reads = True
        await machine.start_node()
        await machine.node.stop()
        machine.store.refuses_reads = False
        await machine.start_node()
        await machine.until(lambda: machine.node.is_ready)
        assert await machine.send_heartbeat(sequence=1) == 200
        await _assert_refused(machine)

    _run(scenario)


def test_restored_server_without_a_heartbeat_is_dropped():
    # Guards against calls to a server that left while its node was away.
    async def scenario(machine: _Machine) -> None:
        await machine.start_node()
        await machine.until(lambda: machine.node.is_ready)
        assert (await machine.call()).startswith(b"HTTP/1.1 200")
        await machine.until(lambda: machine.node.server is None)
        assert (await machine.call()).startswith(b"HTTP/1.1 503")
        assert machine.ran == 1
        assert await machine.send_heartbeat() == 200
        assert (await machine.call()).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(1.5)
        assert (await machine.call()).startswith(b"HTTP/1.1 200")

    _run(scenario)


def test_server_that_is_silent_until_its_record_is_read_is_not_restored():
    # Guards against calls to a server that left unheard in a store outage.
    async def scenario(machine: _Machine) -> None:
        machine.store.refuses_reads = True
        await machine.start_node()
        await asyncio.sleep(1.2)
        machine.store.refuses_reads = False
        await _assert_refused(machine)
        assert await machine.send_heartbeat() == 200
        assert (await machine.call()).startswith(b"HTTP/1.1 200")

    _run(scenario)
