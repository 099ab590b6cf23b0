"""Proofs of freshness between the nodes of a data centre, on virtual time."""

import asyncio
from collections.abc import Callable
import math
import random

import pytest

from tests.test_gateway import data_centre
from trefoilwind.customers import freshness_proof
from trefoilwind.distribution import topology
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import proof_exchange
from trefoilwind.model import positions

_NODES = data_centre.NODES[:20]
_SMALL = data_centre.NODES[:4]
_USUAL_AGE_S = 2.0


def _reader(names: tuple[str, ...]) -> str:
    return topology.rendezvous("reader/d", names, 1)[0]


def _confirmed(nodes: data_centre.DataCentre) -> list[str]:
    running = nodes.processes.items()
    return [
        name
        for name, process in running
        if process.lost_at is None and process.records.is_confirmed
    ]


async def _sample_ages(
    nodes: data_centre.DataCentre, duration_s: float
) -> list[float]:
    ages = []
    for _ in range(int(duration_s / 0.1)):
        await asyncio.sleep(0.1)
        ages += [p.records.proof_age_s for p in nodes.processes.values()]
    return ages


@pytest.mark.parametrize("names", [_NODES, _SMALL])
@pytest.mark.parametrize("gap_s", [0.2, 0.9, 3.0, 100.0])
def test_usual_proof_is_younger_than_two_seconds(names, gap_s: float):
    """Guards against refusals beside a working store, also in a storm."""
    ages: list[float] = []

    async def scenario(nodes: data_centre.DataCentre) -> None:
        await nodes.publish(3.0, [800])
        count = int(12.0 / gap_s)
        storm = asyncio.ensure_future(nodes.publish(gap_s, [800] * count))
        ages.extend(await _sample_ages(nodes, 12.0))
        storm.cancel()

    assert data_centre.run(scenario, names, is_strict=True).late == {}
    ages.sort()
    assert ages[int(0.99 * len(ages))] < _USUAL_AGE_S
    assert ages[-1] < 2.5


@pytest.mark.parametrize("names", [_NODES, _SMALL])
@pytest.mark.parametrize("fault", ["kill", "refuse", "silence"])
def test_proofs_go_on_when_the_reader_is_lost(names, fault: str):
    async def scenario(nodes: data_centre.DataCentre) -> None:
        await nodes.publish(5.0, [800])
        reader = _reader(names)
        if fault == "kill":
            nodes.kill(reader)
        elif fault == "refuse":
            nodes.refuse([reader])
        else:
            nodes.silence(names=[reader])
        running = len(names) - (fault == "kill")
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert len(_confirmed(nodes)) == running

    data_centre.run(scenario, names, is_strict=True)


def test_proofs_expire_without_the_store_and_return_with_it():
    """Guards against withdrawn keys that run while the store is down."""

    async def scenario(nodes: data_centre.DataCentre) -> None:
        await nodes.publish(5.0, [800])
        nodes.silence()
        await asyncio.sleep(5.0)
        assert _confirmed(nodes) == []
        nodes.silence(False)
        await asyncio.sleep(3.0)
        assert len(_confirmed(nodes)) == len(_NODES)

    data_centre.run(scenario, _NODES, is_strict=True)


def test_reads_of_the_store_do_not_grow_with_the_nodes():
    async def scenario(nodes: data_centre.DataCentre) -> None:
        await nodes.publish(5.0, [800])
        before = nodes.successful_reads
        await asyncio.sleep(20.0)
        assert nodes.successful_reads - before <= 1.5 * 20.0

    data_centre.run(scenario, _NODES, is_strict=True)


class _Node:
    """An exchange whose clock and messages are scripted."""

    def __init__(self, offset: int = 5, version: int = 1):
        self.now = 100.0
        self.held = freshness_proof.Held(offset, version)
        self.reads = 0
        self.proof = freshness_proof.FreshnessProof()
        self.sent: list[control_messages.ProofRequest] = []
        self.exchange = proof_exchange.ProofExchange(
            self.proof,
            lambda: self.held,
            lambda node, message: self.sent.append(message),
            self._read,
            5.0,
            lambda: self.now,
            random.Random(1),
        )

    async def _read(self) -> None:
        self.reads += 1

    def answer(
        self, age_s: float, next_offset: int = 5, version: int = 1
    ) -> None:
        """Answer the last question."""
        token = self.sent[-1].token
        self.exchange.handle_answer(
            control_messages.ProofAnswer(token, age_s, next_offset, version)
        )


def _ask(node: _Node) -> None:
    node.exchange.handle_announcement("reader")


def test_answer_that_waited_counts_from_the_question():
    """Guards against a frozen node that reads old answers when it goes on."""
    node = _Node()
    _ask(node)
    node.now += 4.0
    node.answer(0.5)
    assert node.exchange.age_s == 4.5
    assert node.exchange.is_confirmed
    node.now += 0.3
    assert not node.exchange.is_confirmed


def test_proof_of_a_peer_waits_for_its_records():
    """Guards against a restart with outdated records of another peer."""
    node = _Node(offset=3)
    _ask(node)
    node.answer(0.5)
    assert not node.exchange.is_confirmed
    node.held = freshness_proof.Held(5, 1)
    node.proof.note_records(node.held)
    assert node.exchange.is_confirmed


def test_peer_with_a_record_beyond_its_offset_makes_keys_doubtful():
    """Guards against refusals in a storm, when newest records fill pages."""
    node = _Node()
    node.proof.note_read(node.now)
    node.now += 1.0
    _ask(node)
    node.answer(0.5, next_offset=node.held.offset, version=2)
    # The peer's proof does not count before its records have arrived.
    assert node.exchange.age_s == 1.0
    assert node.exchange.is_confirmed
    node.held = freshness_proof.Held(node.held.offset + 1, 2)
    node.proof.note_records(node.held)
    assert node.exchange.age_s == 0.5


def _restore(node: _Node) -> None:
    node.held = freshness_proof.Held(positions.position(1, 4), 1)
    node.proof.note_read(node.now)


def test_records_that_a_restored_store_has_lost_are_not_forgotten():
    """Guards against a restart that brings a withdrawn key back."""
    node = _Node()
    _restore(node)
    assert not node.exchange.is_confirmed
    node.now += 1.0
    _ask(node)
    node.answer(0.1, next_offset=node.held.offset, version=2)
    node.now += proof_exchange.RESTORED_HOLD_S
    node.proof.note_read(node.now)
    assert not node.exchange.is_confirmed
    node.held = freshness_proof.Held(node.held.offset + 1, 3)
    assert node.exchange.is_confirmed


def test_peer_that_has_not_seen_a_restore_proves_nothing():
    node = _Node()
    _restore(node)
    node.now += 1.0
    _ask(node)
    node.answer(0.0, next_offset=5)
    assert node.exchange.age_s == 1.0


@pytest.mark.parametrize(
    "answer", [lambda n: n.answer(-60.0), lambda n: n.answer(9.0)]
)
def test_odd_answer_proves_nothing(answer: Callable[[_Node], None]):
    node = _Node()
    _ask(node)
    answer(node)
    answer(node)
    assert not node.exchange.is_confirmed


def test_node_without_a_fresh_proof_does_not_answer():
    node = _Node()
    request = control_messages.ProofRequest(1)
    assert node.exchange.age_s == math.inf
    assert node.exchange.answer(request) is None
    node.proof.note_read(node.now)
    node.now += 1.0
    assert node.exchange.answer(request).age_s == 1.0
    node.now += 5.0
    assert node.exchange.answer(request) is None


def test_node_without_local_peers_asks_others_and_then_the_store():
    """Guards against refusals in a data centre whose other nodes are lost."""

    async def run() -> tuple[_Node, float]:
        node = _Node()
        node.proof.note_read(node.now)
        first_read_s = math.inf
        for _ in range(40):
            node.now += 0.25
            node.exchange.tick((), ("remote",))
            await asyncio.sleep(0)
            if node.reads:
                first_read_s = min(first_read_s, node.exchange.age_s)
        return node, first_read_s

    node, first_read_s = asyncio.run(run())
    assert len(node.sent) >= 30
    assert first_read_s < 4.0
    # At most one a second.
    assert 3 <= node.reads <= 8
