"""Tests of the preview of a request."""

import asyncio
import copy
import dataclasses
import json
import random

import pytest
import uvloop

from tests.test_gateway import fakes
from tests.test_gateway import test_gateway_entry
from trefoilwind.customers import access as access_lib
from trefoilwind.customers import quota_exchange
from trefoilwind.customers import quota_limits
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import entry as entry_lib
from trefoilwind.gateway import http_types
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.gateway import placement_preview
from trefoilwind.membership import directory
from trefoilwind.model import mesh
from trefoilwind.routing import host_routes
from trefoilwind.routing import regions
from trefoilwind.routing import shared_budget
from trefoilwind.telemetry import counts as counts_lib

_KEY = "the-secret-key"
_OK = http_types.HttpAnswer(200, (), b"done")
_ROUTE = mesh.HostRoute(
    "r",
    "a.example",
    "/a/",
    True,
    2.0,
    0.4,
    1,
    (mesh.Destination("s", 1.0), mesh.Destination("t", 2.0)),
    2,
)
_CUSTOMER = mesh.Customer("c", (_KEY,), 0, 10000.0, 1.0)
_QUERY = placement_preview.Query("a.example", "/a/1", customer="c")


class _Quotas:
    """Quotas of the node "n1", without other nodes to ask."""

    def __init__(self, members: directory.Snapshot):
        self.exchange = quota_exchange.Exchange(
            "n1",
            1,
            quota_limits.QuotaTerms(0.1, 20, 5.0),
            quota_exchange.Ports(
                lambda: 10.0,
                lambda seconds, function: None,
                lambda node_id, message: None,
                lambda node_id: False,
                lambda: members,
            ),
            0.0,
        )
        self.exchange.set_customers((_CUSTOMER,))
        self.is_limited = self.exchange.is_limited
        self.preview = self.exchange.preview

    async def take(self, customer: str, now: float) -> float | None:
        """Take a token or return a retry time."""
        future = asyncio.get_running_loop().create_future()
        self.exchange.take(customer, future.set_result)
        return await future

    def give_back(self, customer: str, now: float) -> None:
        """Return a token."""
        self.exchange.give_back(customer)


class _Node:
    """An entry node in front of uneven servers of two services."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = asyncio.get_running_loop().time
        self.sent: list[tuple[str, calls.Call]] = []
        members = [
            dataclasses.replace(
                test_gateway_entry.make_member(number),
                service="st"[number % 2],
                version=f"v{number // 2 % 2 + 1}",
                data_centre="def"[number % 3],
                region="r" if number % 3 < 2 else "q",
            )
            for number in range(1, 25)
        ]
        self.board = board_lib.MeshBoard()
        snapshot = directory.snapshot(members)
        self.board.members.claim("test")(snapshot)
        configuration = mesh.MeshConfiguration(
            1, (_ROUTE,), customers=(_CUSTOMER,), has_customers=True
        )
        self.board.configuration.claim("test")(configuration)
        self.board.routes.claim("test")(host_routes.build(configuration))
        plan = board_lib.VersionPlan("v1", "v2", 0.4)
        self.board.versions.claim("test")(
            board_lib.VersionTable({"s": plan, "t": plan})
        )
        # The data centre "e" receives a part of its share only.
        self.evacuate = self.board.evacuations.claim("test")
        self.evacuate(regions.Evacuations(returned_at={"e": self.now() - 1.0}))
        self.picker = picker_lib.Picker(
            members[0],
            self.board,
            lambda node: True,
            lambda: 3,
            self.rng.random,
            lambda member, service_s, now: 0.5,
        )
        access = access_lib.Access()
        access.update(configuration)
        self.quotas = _Quotas(snapshot)
        self.entry = entry_lib.Entry(
            self.board,
            fakes.header_port(),
            self.picker,
            shared_budget.SharedBudget(
                shared_budget.BudgetTerms(0.2, 10.0, 5.0)
            ),
            self._run,
            lambda: "own",
            lambda call: False,
            lambda request_id: False,
            counts_lib.MeshCounts(),
            self.rng,
            access=access,
            quotas=self.quotas,
        )
        self.preview = placement_preview.PlacementPreview(
            self.board,
            self.entry,
            self.picker,
            access,
            self.quotas,
            self.now,
        )

    async def _run(self, node_id: str, call: calls.Call) -> calls.Outcome:
        self.sent.append((node_id, call))
        load = self.rng.randrange(8)
        return calls.Outcome(_OK, 0.1, load, 0.0, 0.1 + load / 20)

    async def serve(self) -> http_types.HttpAnswer:
        """Return the answer to a request like the query."""
        headers = ((b"host", b"a.example"), (b"key", _KEY.encode()))
        return await self.entry.serve(
            http_types.HttpRequest(b"GET", b"/a/1", headers, b"", self.now())
        )

    def state(self) -> object:
        """Return a copy of all state that choices depend on."""
        account = self.quotas.exchange._accounts.get("c")
        return copy.deepcopy(
            (
                self.rng.getstate(),
                self.picker._states,
                self.picker._appearances,
                self.picker._noted_from is None,
                self.entry._weighted_choice._fractions,
                vars(account) if account is not None else None,
                self.quotas.exchange._waiting,
            )
        )


@pytest.mark.parametrize("seed", range(10))
def test_preview_differs_from_the_choice_of_a_request_sent_then(seed: int):
    async def run():
        node = _Node(seed)
        for _ in range(20):
            document = node.preview.explain(_QUERY)
            assert document["quota"]["has_token"]
            await node.serve()
            node_id, call = node.sent[-1]
            assert document["chosen"]["node"] == node_id
            assert document["service"] == call.service
            assert document["version"]["name"] == call.version
            assert document["rank"] == call.rank == 0
            cost_s = {c["node"]: c["cost_s"] for c in document["candidates"]}
            assert min(cost_s, key=cost_s.get) == node_id
        assert len(node.sent) == 20
        node.evacuate(regions.Evacuations(frozenset("def")))
        refusal = node.preview.explain(_QUERY)["refusal"]
        answer = await node.serve()
        assert answer.status == refusal["status"] == 503
        first_s, last_s = refusal["retry_after_s"]
        assert first_s <= float(answer.header(b"retry-after")) <= last_s

    uvloop.run(run())


def test_preview_spends_a_token_a_random_number_or_a_place():
    async def run():
        node = _Node(1)
        for _ in range(20):
            before = node.state()
            for _ in range(3):
                node.preview.explain(_QUERY)
            assert node.state() == before
            await node.serve()

    uvloop.run(run())


def test_parts_of_the_cost_lack_what_decides():
    async def run():
        node = _Node(2)
        for _ in range(5):
            await node.serve()
        query = dataclasses.replace(_QUERY, body_bytes=100_000)
        for row in node.preview.explain(query)["candidates"]:
            total_s = sum(row["parts_s"].values())
            assert total_s == pytest.approx(row["cost_s"], abs=1e-5)
            is_far = row["distance"] in ("region", "other_region")
            assert (row["parts_s"]["transfer"] > 0.0) == is_far

    uvloop.run(run())


def test_refusal_is_not_explained():
    async def run():
        node = _Node(3)
        reasons = []
        for changes in (
            {"path": "/b"},
            {"customer": ""},
            {"customer": "other"},
            {"body_bytes": 10**12},
        ):
            query = dataclasses.replace(_QUERY, **changes)
            reasons.append(node.preview.explain(query)["refusal"]["reason"])
        node.evacuate(regions.Evacuations(frozenset("def")))
        document = node.preview.explain(_QUERY)
        reasons.append(document["refusal"]["reason"])
        assert document["excluded"] == {"evacuated": 12}
        assert reasons == [
            "no-route",
            "key-missing",
            "key-unknown",
            "body-too-large",
            "no-backend-server",
        ]

    uvloop.run(run())


def test_preview_fails_while_keys_are_not_confirmed():
    """Guards against a name that moved to another module."""

    async def run() -> dict:
        node = _Node(3)
        node.preview._access._is_confirmed = lambda: False
        return node.preview.explain(_QUERY)

    refusal = uvloop.run(run())["refusal"]
    assert refusal["reason"] == "keys-unconfirmed"
    assert refusal["status"] == 503
    assert refusal["retry_after_s"] == [0.5, 0.75]


def test_key_is_shown_or_a_malformed_query_is_an_exception():
    async def run(target: bytes) -> http_types.HttpAnswer:
        request = http_types.HttpRequest(b"GET", target, (), b"", 0.0)
        return await _Node(4).preview.serve(request)

    good = uvloop.run(run(b"/where?host=a.example&path=/a/1&customer=c"))
    assert json.loads(good.body)["customer"]["name"] == "c"
    assert _KEY.encode() not in good.body
    for query in (b"", b"host=a&path=b", b"host=a&path=/&bytes=x", b"host=%ff"):
        assert uvloop.run(run(b"/where?" + query)).status == 400
