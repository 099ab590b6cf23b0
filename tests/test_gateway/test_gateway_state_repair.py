"""Tests of the repair of members and decisions over lossy streams."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from trefoilwind import codec
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import member_table
from trefoilwind.gateway import state_repair
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh as mesh_lib

_TICK_S = 0.25
_DATA_CENTRES = 3
# Rounds of a tick within which tables are equal after the last loss: two
# digests in the own data centre, two among the relays, two for the way back.
_MAX_ROUNDS = 40


class _Stream:
    """Stream that delivers control messages at once unless they are lost."""

    def __init__(self, mesh: "_Mesh", source: str, target: str):
        self._mesh = mesh
        self._source = source
        self._target = target
        self.peer = target

    def send(self, frame) -> None:
        """Queue a frame for the target."""
        self._mesh.queue.append((self._source, self._target, frame.payload))


class _Spreading:
    """Sends to the nodes of a mesh in memory."""

    def __init__(self, mesh: "_Mesh", node_id: str):
        self._mesh = mesh
        self._node_id = node_id

    def send_local(self, message) -> None:
        """Send to the own data centre."""
        own = self._mesh.data_centre(self._node_id)
        local = [
            node
            for node in self._mesh.nodes
            if self._mesh.data_centre(node) == own
        ]
        self._send(local, message)

    def send_remote(self, message) -> None:
        """Send to the relay of each other data centre."""
        own = self._mesh.data_centre(self._node_id)
        relays = (f"n{number}" for number in range(_DATA_CENTRES))
        self._send(
            (relay for relay in relays if self._mesh.data_centre(relay) != own),
            message,
        )

    def _send(self, targets, message) -> None:
        payload = codec.encode(message)
        for target in targets:
            if target != self._node_id:
                self._mesh.queue.append((self._node_id, target, payload))


class _Mesh:
    """Member tables and their repair on a virtual clock."""

    def __init__(self, size: int, seed: int):
        self.now = 10.0
        self.loss = 0.0
        self.bytes_sent = 0
        self.queue: list[tuple[str, str, bytes]] = []
        self._random = random.Random(seed)
        self.nodes = {f"n{number}": None for number in range(size)}
        self.tables = {}
        # Services whose stable version a node knows, by node.
        self.decided: dict[str, set[str]] = {}
        for node in self.nodes:
            table = member_table.MemberTable(
                _member(node), board_lib.MeshBoard()
            )
            self.tables[node] = table
            known = self.decided[node] = set()
            number = int(node[1:])
            self.nodes[node] = state_repair.StateRepair(
                table,
                state_repair.RolloutState(
                    lambda known=known: repr(sorted(known)),
                    lambda known=known: [
                        control_messages.StableVersion(each, "v1")
                        for each in sorted(known)
                    ],
                ),
                _Spreading(self, node),
                lambda is_relay=number < _DATA_CENTRES: is_relay,
                table.merge_all,
                lambda: self.now,
            )

    def data_centre(self, node: str) -> int:
        """Return the number of a node's data centre."""
        return int(node[1:]) % _DATA_CENTRES

    def change(self, node: str, is_leaving: bool) -> None:
        """Change the server in a node's own record; nobody is told."""
        table = self.tables[node]
        own = table.own
        server = mesh_lib.BackendServer(
            "i",
            own.service,
            own.version,
            own.peer_address,
            own.slots + 1,
            is_leaving,
        )
        table.set_server(server)

    def run(self, rounds: int) -> None:
        """Run some ticks and deliver all messages, in any order."""
        for _ in range(rounds):
            self.now += _TICK_S
            for repair in self.nodes.values():
                repair.tick()
            while self.queue:
                index = self._random.randrange(len(self.queue))
                source, target, payload = self.queue.pop(index)
                self.bytes_sent += len(payload)
                if self._random.random() < self.loss:
                    continue
                message = codec.decode(payload, "test", source)
                if isinstance(message, control_messages.StableVersion):
                    self.decided[target].add(message.service)
                    continue
                self.nodes[target].handle_message(
                    _Stream(self, target, source), message
                )

    @property
    def is_converged(self) -> bool:
        """True if all tables hold the same records."""
        tables = {table.digest for table in self.tables.values()}
        decided = {frozenset(each) for each in self.decided.values()}
        return len(tables) == len(decided) == 1


def _member(node: str) -> members.Member:
    number = int(node[1:])
    return members.Member(
        node,
        1,
        1,
        f"d{number % _DATA_CENTRES}",
        addresses.Address(f"10.0.{number // 200}.{number % 200}", 1),
        "s",
        "v1",
        4,
    )


@pytest.mark.parametrize("size", [3, 30, 200])
def test_tables_that_know_only_themselves_converge(size: int):
    mesh = _Mesh(size, 1)
    mesh.run(_MAX_ROUNDS)
    assert mesh.is_converged
    assert len(mesh.tables["n0"].records) == size


def test_decision_that_one_node_missed_reaches_it_without_a_change():
    """Guards against a node that was cut off while a decision spread."""
    mesh = _Mesh(30, 1)
    mesh.run(_MAX_ROUNDS)
    for node in mesh.nodes:
        if node not in ("n7", "n0"):
            mesh.decided[node].add("s")
    mesh.run(_MAX_ROUNDS)
    assert mesh.is_converged
    assert mesh.decided["n7"] == {"s"}


def test_equal_tables_exchange_nothing_but_digests():
    mesh = _Mesh(30, 1)
    mesh.run(_MAX_ROUNDS)
    mesh.bytes_sent = 0
    mesh.run(4)
    # One digest per node and one between each pair of relays.
    assert mesh.bytes_sent < 100 * (30 + _DATA_CENTRES**2)


@hypothesis.given(
    size=strategies.integers(3, 40),
    seed=strategies.integers(0, 10**6),
    changes=strategies.lists(
        strategies.tuples(strategies.integers(0, 39), strategies.booleans()),
        max_size=20,
    ),
    loss=strategies.sampled_from([0.0, 0.1, 0.5]),
)
@hypothesis.settings(max_examples=40, deadline=None)
def test_fuzz_tables_converge_after_losses_and_nobody_who_left_returns(
    size, seed, changes, loss
):
    mesh = _Mesh(size, seed)
    mesh.loss = loss
    left = set()
    for number, is_leaving in changes:
        node = f"n{number % size}"
        mesh.change(node, is_leaving)
        (left.add if is_leaving else left.discard)(node)
        mesh.run(2)
    mesh.loss = 0.0
    mesh.run(_MAX_ROUNDS)
    assert mesh.is_converged
    for table in mesh.tables.values():
        assert {each.node_id for each in table.records if each.leaving} == left
