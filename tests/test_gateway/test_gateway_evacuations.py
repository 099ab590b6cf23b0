"""Tests of evacuations and allowed regions with nodes on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import uvloop

from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import evacuations
from trefoilwind.gateway import node as node_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import streams
from trefoilwind.log import keyed
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh
from trefoilwind.routing import shared_budget
from trefoilwind.standins import keyed_store

_TOPIC = "operator"
_BOUND_S = 5.0
_REGIONS = {"d": "eu", "e": "eu", "f": "us"}


def _decode(record: keyed.KeyedRecord):
    """Return an evacuation, or a configuration with the regions named."""
    if record.key.startswith("evacuate/"):
        name = record.key.removeprefix("evacuate/")
        return mesh.Evacuation(name, bool(record.value), record.offset)
    destinations = (mesh.Destination("s", 1.0),)
    route = mesh.HostRoute(
        "r", "a.example", "/a/", True, 5.0, 4.0, 1, destinations, 2
    )
    allowed = tuple(record.value.decode().split())
    route = dataclasses.replace(route, allowed_regions=allowed)
    return mesh.MeshConfiguration(record.offset + 1, (route,))


class _Store:
    """The shared store as one node sees it.

    Attributes:
        is_cut: True if no call succeeds.
        reads_newest_only: True if the history of records is not kept.
    """

    def __init__(self, store: keyed_store.MemoryStore):
        self._store = store
        self.is_cut = False
        self.reads_newest_only = False

    async def newest(self, topic: str):
        """Forward the call unless cut off."""
        return self._result(await self._store.newest(topic))

    async def read(self, topic: str, offset: int, wait_s: float):
        """Forward the call unless cut off or without history."""
        page = self._result(await self._store.read(topic, offset, 0.05))
        if self.reads_newest_only:
            return errors.LogError(errors.Reason.OFFSET_EXPIRED, "test")
        return page

    async def put(self, topic: str, key: str, value: bytes, at=None):
        """Forward the call unless cut off."""
        return self._result(await self._store.put(topic, key, value, at))

    def _result(self, result):
        if self.is_cut:
            return errors.LogError(errors.Reason.LOG_UNAVAILABLE, "test")
        return result


class _Mesh:
    """One node with a backend server in each of three data centres."""

    def __init__(self) -> None:
        self.store = keyed_store.MemoryStore()
        self.stores: dict[str, _Store] = {}
        self.nodes: dict[str, node_lib.MeshNode] = {}
        # Bodies that the backend server of each data centre received.
        self.bodies: dict[str, list[bytes]] = {name: [] for name in _REGIONS}
        self.release = asyncio.Event()
        self.release.set()
        self._servers: list[fakes.RawServer] = []

    async def start(self, allowed: str = "") -> None:
        """Start all nodes with a route restricted to some regions."""
        await self.write("config", allowed.encode() or b" ")
        for name in _REGIONS:
            await self._add(name)
        others = set(_REGIONS)
        for name, node in self.nodes.items():
            await _until(lambda n=node: n.is_ready)
            for other in others - {name}:
                await _until(lambda n=node, o=other: n.is_connected(o))

    async def _add(self, name: str) -> None:
        server = fakes.RawServer(self._backend(name))
        await server.__aenter__()
        self._servers.append(server)
        settings = node_settings.MeshSettings(
            node_id=name,
            data_centre=name,
            region=_REGIONS[name],
            service="s",
            caller_address=await fakes.free_address(),
            peer_address=await fakes.free_address(),
            backend_address=server.address,
            operator_topic=_TOPIC,
            status_topic="status",
            stream_times=streams.StreamTimes(0.5, 2.0),
            budget=shared_budget.BudgetTerms(0.2, 10.0, 100.0),
            stop_timeout_s=3.5,
            heartbeat_interval_s=60.0,
            data_centres=_REGIONS,
        )
        self.stores[name] = _Store(self.store)
        node = node_lib.MeshNode(
            settings,
            self.stores[name],
            fakes.header_port(),
            node_lib.OperatorPort(
                _decode, lambda status: None, lambda key: key != "config"
            ),
        )
        assert await node.start() is None
        node.announce(mesh.BackendServer(name, "s", "v1", server.address, 1))
        self.nodes[name] = node

    def _backend(self, name: str) -> fakes.Script:
        async def script(reader, writer):
            while True:
                head = await fakes.read_head(reader)
                length = int(head.lower().partition(b"length: ")[2][:2])
                self.bodies[name].append(await reader.readexactly(length))
                await self.release.wait()
                writer.write(fakes.answer(name.encode()))

        return script

    async def write(self, key: str, value: bytes) -> None:
        """Write a record of the operator; an empty value deletes its key."""
        await self.store.put(_TOPIC, key, value)

    async def evacuated_at(self, names: set[str], nodes: str = "def") -> None:
        """Wait until nodes know that just these are evacuated."""
        async with asyncio.timeout(_BOUND_S):
            for name in nodes:
                section = self.nodes[name].board.evacuations
                await _until(lambda s=section: s.value.evacuated == names)

    async def call(self, name: str = "d", headers: bytes = b"") -> bytes:
        """Return the answer of a node to a request with a body."""
        address = self.nodes[name].settings.caller_address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            b"POST /a/1 HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nWait: 4\r\n"
            b"%bContent-Length: 04\r\nConnection: close\r\n\r\nbody" % headers
        )
        answer = await reader.read()
        writer.close()
        return answer

    async def close(self) -> None:
        """End everything."""
        for node in self.nodes.values():
            node.abort()
        for server in self._servers:
            await server.__aexit__()


def _run(scenario: Callable[[_Mesh], Awaitable[None]]) -> None:
    async def run() -> None:
        world = _Mesh()
        try:
            async with asyncio.timeout(90.0):
                await scenario(world)
        finally:
            await world.close()

    uvloop.run(run())


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def test_no_request_to_an_evacuated_data_centre_after_the_bound():
    async def scenario(world: _Mesh) -> None:
        await world.start()
        await world.write("evacuate/d", b"{}")
        await world.evacuated_at({"d"})
        for _ in range(20):
            assert (await world.call()).startswith(b"HTTP/1.1 200")
        assert not world.bodies["d"]
        for name in "ef":
            await world.write(f"evacuate/{name}", b"{}")
        await world.evacuated_at({"d", "e", "f"})
        ran = sum(map(len, world.bodies.values()))
        answer = await world.call()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in answer
        assert sum(map(len, world.bodies.values())) == ran

    _run(scenario)


def test_evacuation_reaches_a_node_while_the_store_is_unavailable_to_it():
    async def scenario(world: _Mesh) -> None:
        await world.start()
        world.stores["e"].is_cut = True
        await world.write("evacuate/f", b"{}")
        await world.evacuated_at({"f"})
        await world.write("evacuate/f", b"")
        await world.evacuated_at(set())

    _run(scenario)


def test_evacuation_removed_during_a_burst_or_absent_in_a_newest_only_read():
    async def scenario(world: _Mesh) -> None:
        for name in ("d", "e"):
            await world.write(f"evacuate/{name}", b"{}")
        await world.start()
        await world.evacuated_at({"d", "e"})
        for store in world.stores.values():
            store.reads_newest_only = True
        burst = [asyncio.create_task(world.call()) for _ in range(8)]
        await world.write("evacuate/d", b"")
        await world.write("config", b" ")
        await world.evacuated_at({"e"})
        # Nothing is cold here, so a burst may still find the returned servers.
        answers = await asyncio.gather(*burst)
        assert {each[9:12] for each in answers} <= {b"200", b"503"}
        for _ in range(20):
            await world.call()
        assert not world.bodies["e"]

    _run(scenario)


def test_body_is_not_sent_to_a_node_outside_the_allowed_regions():
    async def scenario(world: _Mesh) -> None:
        await world.start("us")
        for _ in range(5):
            assert (await world.call("d")).endswith(b"f")
        await world.write("evacuate/f", b"{}")
        await world.evacuated_at({"f"})
        # No allowed region is left.
        assert (await world.call("d")).startswith(b"HTTP/1.1 503")
        assert not world.bodies["d"]
        assert not world.bodies["e"]

    _run(scenario)


def test_nested_call_does_not_leave_the_regions_of_its_parent():
    async def scenario(world: _Mesh) -> None:
        await world.start("us")
        world.release.clear()
        parent = asyncio.create_task(world.call("d"))
        await _until(lambda: bool(world.bodies["f"]))
        await world.write("config", b" ")
        section = world.nodes["f"].board.configuration
        await _until(lambda: not section.value.routes[0].allowed_regions)
        nested = asyncio.create_task(world.call("f", b"Parent: 1\r\n"))
        await asyncio.sleep(0.2)
        world.release.set()
        assert (await parent).endswith(b"f")
        await nested
        assert not world.bodies["d"]
        assert not world.bodies["e"]
        # Another request is free to go anywhere.
        world.release.clear()
        others = [asyncio.create_task(world.call("f")) for _ in range(3)]
        await _until(lambda: bool(world.bodies["d"] or world.bodies["e"]))
        world.release.set()
        await asyncio.gather(*others)

    _run(scenario)


def test_allowed_region_without_a_free_slot_refuses_with_a_time_to_retry():
    async def scenario(world: _Mesh) -> None:
        await world.start("us")
        world.release.clear()
        sent = [asyncio.create_task(world.call("d")) for _ in range(100)]
        done, _ = await asyncio.wait(
            sent, return_when=asyncio.FIRST_COMPLETED, timeout=3.0
        )
        for each in done:
            assert each.result().startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in each.result()
        assert done
        assert not world.bodies["d"]
        assert not world.bodies["e"]
        world.release.set()
        await asyncio.gather(*sent)
        assert not world.bodies["d"]
        assert not world.bodies["e"]

    _run(scenario)


def test_evacuation_of_an_unknown_data_centre_changes_nothing():
    board = board_lib.MeshBoard()
    publish = board.members.claim("test")
    table = evacuations.EvacuationTable(board, _REGIONS, lambda: 1.0)
    assert table.apply(mesh.Evacuation("d", True, 3)) is None
    problem = table.apply(mesh.Evacuation("g", True, 4))
    assert problem.peer == "evacuate/g"
    assert problem.step
    assert board.evacuations.value.evacuated == {"d"}
    # The data centre is newer than the settings of this process.
    member = members.Member("n", 1, 1, "g", addresses.Address(), "s")
    publish(directory.snapshot([member]))
    assert board.evacuations.value.evacuated == {"d", "g"}
