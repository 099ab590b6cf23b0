"""Odd entries of another writer among those of the platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import logging
import math
import random

import hypothesis
from hypothesis import strategies
import pytest
import uvloop

from tests.test_platform import fakes
from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import follower as follower_lib
from trefoilwind.gateway import http_types
from trefoilwind.gateway import node as node_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import streams
from trefoilwind.log import keyed
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh
from trefoilwind.platform import documents
from trefoilwind.platform import endpoints
from trefoilwind.platform import headers
from trefoilwind.platform import store as store_lib
from trefoilwind.routing import host_routes
from trefoilwind.routing import shared_budget
from trefoilwind.standins import keyed_store
from trefoilwind.telemetry import counts as counts_lib

_HOST = "127.0.0.1"
_SERVER = addresses.Address(_HOST, 8080)
_CONFIGURATION = {
    "version": 7,
    "routes": {
        "columns": [
            "name",
            "host",
            "path_prefix",
            "kind",
            "timeout_s",
            "target_latency_s",
            "priority",
            "max_attempts",
            "backends",
        ],
        "rows": [
            [
                "r",
                "a.example",
                "/a/",
                "safe",
                0.8,
                0.4,
                2,
                2,
                [
                    {"service": "s", "weight": 90},
                    {"service": "t", "weight": 10},
                ],
            ]
        ],
    },
    "services": {"columns": ["name", "max_conns"], "rows": [["s", 110]]},
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
_ORDER = {"service": "s", "target_version": "v2", "duration_s": 12}
_HEARTBEAT = {
    "address": f"{_HOST}:8080",
    "info": {"service": "s", "version": "v1", "zone": "d", "slots": 4},
    "status": {"state": "ready", "seq": 4, "cold_left_s": 2.5},
    "born": 1700000000123,
}
# Text in place of a value of a document, as JSON or as what only looks so.
_ODD_VALUES = (
    "[" * 5000 + "]" * 5000,
    '{"a":' * 5000 + "1" + "}" * 5000,
    "9" * 5000,
    "1" + "0" * 400,
    str(2**64),
    str(2**63),
    str(2**53),
    str(-(2**63)),
    "1e308",
    "1e999",
    "-1e999",
    "NaN",
    "1.5",
    "true",
    "null",
    "[]",
    "{}",
    '""',
    '"\\ud800"',
    '"a\\nb"',
    '"' + "x" * 300 + '"',
    '"127.0.0.1:65536"',
    '"127.0.0.1:-1"',
    '"127.0.0.1:99999999999999999999"',
    '"localhost:8080"',
    "",
)
_MARK = "odd value"


def _paths(plain, prefix=()):
    items = plain.items() if isinstance(plain, dict) else ()
    if isinstance(plain, list):
        items = enumerate(plain)
    for key, value in items:
        yield (*prefix, key)
        yield from _paths(value, (*prefix, key))


def _with_odd_value(plain, path: tuple, text: str) -> bytes:
    """Return a document with a text in place of the value at a path."""
    copy = json.loads(json.dumps(plain))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = _MARK
    return json.dumps(copy).replace(f'"{_MARK}"', text).encode()


@strategies.composite
def _odd_documents(draw, plain):
    """Draw a document with an odd value, and possibly broken UTF-8."""
    path = draw(strategies.sampled_from(list(_paths(plain))))
    body = _with_odd_value(
        plain, path, draw(strategies.sampled_from(_ODD_VALUES))
    )
    if draw(strategies.booleans()):
        position = draw(strategies.integers(0, len(body)))
        patch = draw(strategies.sampled_from([b"\xff", b"\xc3", b"\xed\xa0"]))
        body = body[:position] + patch + body[position:]
    return body


@hypothesis.given(_odd_documents(_HEARTBEAT))
@hypothesis.settings(max_examples=600)
def test_odd_heartbeat_is_rejected_or_can_be_announced(body: bytes):
    server = documents.decode_heartbeat("i-1", body)
    if isinstance(server, errors.RecordError):
        assert "\n" not in str(server)
        return
    assert math.isfinite(server.cold_s)
    member = members.Member(
        "n",
        1,
        1,
        "d",
        server.address,
        server.service,
        server.version,
        server.slots,
        instance_id=server.instance_id,
        started_ms=server.started_ms,
    )
    message = control_messages.MemberChanged(member)
    assert codec.decode(codec.encode(message), "t") == message
    # Some heartbeats later.
    assert server.sequence + 1000 > server.sequence
    assert server.started_ms < 2**43


@hypothesis.given(_odd_documents(_CONFIGURATION))
@hypothesis.settings(max_examples=600)
def test_odd_configuration_is_rejected_or_can_be_used(body: bytes):
    record = keyed.KeyedRecord("config", body, 3)
    decoded = documents.decode_operator_record(record)
    if isinstance(decoded, errors.RecordError):
        assert "\n" not in str(decoded)
        return
    assert isinstance(decoded, mesh.MeshConfiguration)
    host_routes.build(decoded)
    for route in decoded.routes:
        weights = sum(each.weight for each in route.destinations)
        assert 0 < weights < math.inf
        assert max(route.timeout_s, route.target_s) < 2**53
        codec_integers = (route.rank, route.max_attempts, decoded.version)
        assert all(0 <= value < 2**63 for value in codec_integers)
        f"{route.name}{route.host}{route.path_prefix}".encode()


@hypothesis.given(_odd_documents(_ORDER))
@hypothesis.settings(max_examples=300)
def test_odd_rollout_order_is_rejected_or_can_be_reported(body: bytes):
    record = keyed.KeyedRecord("rollout/s", body, 3)
    order = documents.decode_operator_record(record)
    if isinstance(order, errors.RecordError):
        assert "\n" not in str(order)
        return
    status = mesh.RolloutStatus(
        order.service, order.version, mesh.RolloutState.DONE
    )
    report = documents.encode_rollout_status(status)
    assert len(report.key.encode()) <= 255
    assert math.isfinite(order.duration_s)


class _Platform:
    """A node with the platform's adapters, and what is written to it."""

    def __init__(self, store: keyed.KeyedStore):
        self.store = store
        self.node: node_lib.MeshNode | None = None
        self._heartbeats: endpoints.Heartbeats | None = None

    async def start(self) -> None:
        """Start the node and wait until it follows its topics."""
        settings = node_settings.MeshSettings(
            node_id="n",
            data_centre="d",
            region="r",
            service="s",
            caller_address=addresses.Address(_HOST, 0),
            peer_address=addresses.Address(_HOST, 0),
            backend_address=_SERVER,
            operator_topic=store_lib.OPERATOR_TOPIC,
            status_topic=store_lib.STATUS_TOPIC,
            stream_times=streams.StreamTimes(0.5, 2.0),
            budget=shared_budget.BudgetTerms(0.2, 10.0, 100.0),
            stop_timeout_s=3.5,
            heartbeat_interval_s=15.0,
        )
        self.node = node_lib.MeshNode(
            settings,
            self.store,
            headers.port(),
            node_lib.OperatorPort(
                documents.decode_operator_record,
                documents.encode_rollout_status,
            ),
        )
        assert await self.node.start() is None
        self._heartbeats = endpoints.Heartbeats(self.node, _SERVER, "s")

    async def write(self, key: str, value: bytes) -> None:
        """Write a record to the operator's topic."""
        await self.store.put(store_lib.OPERATOR_TOPIC, key, value)

    async def write_configuration(self, version: int) -> None:
        """Write a configuration and wait until it is in force."""
        document = _CONFIGURATION | {"version": version}
        await self.write("config", json.dumps(document).encode())
        board = self.node.board
        async with asyncio.timeout(10.0):
            while board.configuration.value.version != version:
                await asyncio.sleep(0.01)

    async def send_heartbeat(self, body: bytes) -> int:
        """Send a heartbeat and return the status of its answer."""
        request = http_types.HttpRequest(
            b"PUT", b"/-/instances/i-1", (), body, 0.0
        )
        try:
            return (await self._heartbeats.serve(request)).status
        except Exception:
            # What the HTTP server answers.
            logging.exception("unexpected exception")
            return 500

    async def announced(self, slots: int) -> None:
        """Wait until the store has the node's member with some slots."""
        async with asyncio.timeout(5.0):
            while slots not in self._announced_slots():
                await asyncio.sleep(0.01)

    def _announced_slots(self) -> list[int]:
        return [
            codec.decode(record.value, "t").member.slots
            for record in self.store.records(node_settings.MESH_TOPIC)
            if record.key == "member/n"
        ]


def _run(scenario: Callable[[_Platform], Awaitable[None]], store=None) -> None:
    async def run() -> None:
        platform = _Platform(store or keyed_store.MemoryStore())
        await platform.start()
        try:
            await scenario(platform)
        finally:
            platform.node.abort()

    uvloop.run(run())


def _unexpected(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [
        record.getMessage()
        for record in caplog.records
        if record.exc_info or record.levelno >= logging.ERROR
    ]


_ODD_ORDERS = (
    b"[" * 100_000,
    json.dumps(_ORDER | {"duration_s": 10**400}).encode(),
    json.dumps(_ORDER | {"service": "x" * 300}).encode(),
    json.dumps(_ORDER | {"service": "\ud800"}).encode(),
    b"\xff\xfe",
)


@pytest.mark.parametrize("odd", _ODD_ORDERS, ids=lambda odd: repr(odd[:12]))
def test_configuration_is_put_in_force_at_once_beside_an_odd_entry(
    odd: bytes, caplog: pytest.LogCaptureFixture
):
    async def scenario(platform: _Platform) -> None:
        await platform.write_configuration(1)
        await platform.write("rollout/odd", odd)
        await platform.write_configuration(2)

    with caplog.at_level(logging.WARNING):
        _run(scenario)
    assert _unexpected(caplog) == []
    lines = [r for r in caplog.records if "rollout/odd" in r.getMessage()]
    assert len(lines) == 1


def _heartbeat(number: int, part: str = "", **changes) -> bytes:
    document = json.loads(json.dumps(_HEARTBEAT))
    document["status"]["seq"] = number
    (document[part] if part else document).update(changes)
    return json.dumps(document).encode()


def _odd_heartbeat(part: str, **changes) -> bytes:
    return _heartbeat(5, part, **changes)


_ODD_HEARTBEATS = (
    _odd_heartbeat("", born=2**70),
    _odd_heartbeat("", born=2**63 - 1),
    _odd_heartbeat("status", seq=2**70),
    _odd_heartbeat("status", cold_left_s=10**400),
    _odd_heartbeat("info", slots=2**70),
    _odd_heartbeat("info", slots=2**40),
    _odd_heartbeat("info", version="\ud800"),
    _odd_heartbeat("info", version="v" * 100_000),
    _odd_heartbeat("", address=f"{_HOST}:65536"),
    b"[" * 100_000,
)


@pytest.mark.parametrize(
    "odd", _ODD_HEARTBEATS, ids=lambda odd: repr(odd[:200])[-60:]
)
def test_heartbeat_after_an_odd_one_is_announced(
    odd: bytes, caplog: pytest.LogCaptureFixture
):
    async def scenario(platform: _Platform) -> None:
        assert await platform.send_heartbeat(_heartbeat(4)) == 200
        statuses.append(await platform.send_heartbeat(odd))
        good = _heartbeat(6, "info", slots=5)
        assert await platform.send_heartbeat(good) == 200
        await platform.announced(slots=5)

    statuses = []
    with caplog.at_level(logging.WARNING):
        _run(scenario)
    assert statuses == [400]
    assert _unexpected(caplog) == []


@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize("skips_superseded", [True, False])
def test_records_after_one_with_an_odd_key_are_followed(
    is_first: bool, skips_superseded: bool
):
    async def scenario() -> list[str]:
        server = fakes.StoreServer()
        store = store_lib.PlatformStore(await server.start())
        keys = []
        follower = follower_lib.Follower(
            store,
            "t",
            lambda records: keys.extend(record.key for record in records),
            lambda: follower_lib.ReadPlan(0.02, 0.2),
            random.Random(1),
            counts_lib.MeshCounts(),
            skips_superseded=skips_superseded,
        )
        if is_first:
            server.append("t", b"odd\xff", b"v")
        task = asyncio.create_task(follower.run())
        while not follower.has_read and not follower.is_unavailable:
            await asyncio.sleep(0.01)
        server.append("t", b"odd\xff", b"v")
        server.append("t", b"good", b"v")
        try:
            async with asyncio.timeout(5.0):
                while "good" not in keys:
                    await asyncio.sleep(0.01)
        finally:
            task.cancel()
        return keys

    assert asyncio.run(scenario()) == ["good"]
