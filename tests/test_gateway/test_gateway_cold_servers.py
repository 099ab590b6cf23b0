"""Cold backend servers: what entry nodes send there, and who knows of them.

60 entry nodes send the calls of a service with 12 backend servers, of which
one is cold. Each entry node learns of it after a time of its own, or never.
"""

import dataclasses
import random

import pytest

from tests.test_gateway import test_gateway_picker_cold_start as replay
from trefoilwind import codec
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import cold_servers
from trefoilwind.gateway import http_types
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh
from trefoilwind.routing import cold_limit

_COLD_PER_S = 6.5
_COLD_S = 8.0
_ENTRY_NODES = 60
_SERVERS = 12
_SLOTS = 3
_WORK_S = 0.1
_CALLS_PER_S = 200.0
_TERMS = node_settings.ColdTerms()
_CALL = calls.Call("GET", "/", (), b"", "s", "", "r", 1, False, 1e9, 1e9, 0.0)
_OK = http_types.HttpAnswer(200, ())
_SERVER = mesh.BackendServer(
    "i1", "s", "v1", addresses.Address("10.0.0.1", 1), _SLOTS, False, 7, 1
)
_NOTICE = cold_servers.ColdServer("n1", "i1", 7, 1, _COLD_S)


def _board(cold_per_s: float = _COLD_PER_S) -> board_lib.MeshBoard:
    board = board_lib.MeshBoard()
    policy = mesh.ServicePolicy("s", 100, _COLD_S, cold_per_s)
    board.configuration.claim("test")(
        mesh.MeshConfiguration(1, services=(policy,))
    )
    nodes = [
        dataclasses.replace(replay._member(n), slots=_SLOTS)
        for n in range(1, _SERVERS + 1)
    ]
    board.members.claim("test")(directory.snapshot(nodes))
    return board


def _replay(seed: int, ages: list[float]) -> tuple[int, int, float]:
    """Return most calls in a second, all calls, share of all refused."""
    rng = random.Random(seed)
    board = _board()
    entries = []
    for number in range(_ENTRY_NODES):
        known = cold_servers.ColdServers(f"e{number}", board, _TERMS)
        own = members.Member(
            f"e{number}", 1, 1, "d", addresses.Address("10.0.0.2", number)
        )
        picker = picker_lib.Picker(
            own, board, lambda n: True, lambda: 0, rng.random, known.share
        )
        entries.append((known, picker))
    limiter = cold_limit.ColdLimiter()
    limiter.note_heartbeat(("i1", 7), 1, _COLD_S, 0.0)
    bound = cold_limit.limit(_COLD_PER_S, _TERMS.overage, _TERMS.slack, _SLOTS)
    running: list[tuple[float, int, str]] = []
    passed: list[float] = []
    sent = refused = 0
    now = 0.0
    while now < _COLD_S:
        now += rng.expovariate(_CALLS_PER_S)
        for end, entry, node_id in [r for r in running if r[0] <= now]:
            outcome = calls.Outcome(_OK, _WORK_S, 1, 0.0, _WORK_S)
            entries[entry][1].ended(node_id, outcome, end)
        running = [r for r in running if r[0] > now]
        entry = rng.randrange(_ENTRY_NODES)
        known, picker = entries[entry]
        if now >= ages[entry]:
            left_s = _COLD_S - ages[entry]
            known.merge(dataclasses.replace(_NOTICE, cold_s=left_s), now)
        node_id = picker.pick(_CALL, (), now)
        sent += 1
        if node_id == "n1" and not limiter.take(bound, now):
            refused += 1
            continue
        if node_id == "n1":
            passed.append(now)
        picker.started(node_id)
        running.append((now + _WORK_S, entry, node_id))
    most = max(sum(t <= p < t + 1.0 for p in passed) for t in passed)
    return most, len(passed), refused / sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_server_gets_more_than_its_bound_from_60_entry_nodes(seed):
    rng = random.Random(seed)
    ages = [rng.choice([0.0, 0.5, 4.0, 1e9]) for _ in range(_ENTRY_NODES)]
    most, _, _ = _replay(seed, ages)
    assert most <= _COLD_PER_S * _TERMS.overage + _TERMS.slack


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_are_sent_to_a_cold_server_only_to_be_refused(seed):
    _, _, unaware = _replay(seed, [1e9] * _ENTRY_NODES)
    _, passed, aware = _replay(seed, [0.0] * _ENTRY_NODES)
    assert aware <= 0.01 < unaware
    assert passed >= 0.3 * _COLD_PER_S * _COLD_S


def test_only_cold_servers_are_left_and_get_no_calls():
    known = cold_servers.ColdServers("e1", _board(), _TERMS)
    for number in range(1, _SERVERS + 1):
        notice = cold_servers.ColdServer(f"n{number}", f"i{number}", 0, 1, 9.0)
        assert known.merge(notice, 0.0)
    own = members.Member("e1", 1, 1, "d", addresses.Address("10.0.0.2", 1))
    picker = picker_lib.Picker(
        own, _board(), lambda n: True, lambda: 0, lambda: 0.99, known.share
    )
    assert picker.pick(_CALL, (), 1.0)


def test_service_without_a_limit_is_told_about():
    known = cold_servers.ColdServers("n1", _board(0.0), _TERMS)
    server = dataclasses.replace(_SERVER, cold_s=5.0)
    assert known.note_own(server, 0.0) is None
    assert known.limit(server) is None


def test_cold_state_is_told_with_each_heartbeat_or_not_at_all():
    known = cold_servers.ColdServers("n1", _board(), _TERMS)
    told = []
    for sequence, now, cold_s in (
        (1, 0.0, 5.0),
        (2, 1.5, 3.5),
        (3, 3.0, 2.1),
        (4, 4.5, 0.4),
        (5, 6.0, 0.0),
        (6, 7.5, 0.0),
        (7, 9.0, 4.0),
        (8, 10.5, 0.0),
    ):
        server = dataclasses.replace(_SERVER, sequence=sequence, cold_s=cold_s)
        if known.note_own(server, now) is not None:
            told.append(sequence)
    assert told == [1, 7, 8]


def test_server_without_a_heartbeat_counts_as_warm():
    known = cold_servers.ColdServers("n1", _board(), _TERMS)
    assert known.cold_s(dataclasses.replace(_SERVER, sequence=0)) == _COLD_S
    assert known.cold_s(_SERVER) == 0.0
    unknown = cold_servers.ColdServers("n1", board_lib.MeshBoard(), _TERMS)
    assert unknown.cold_s(dataclasses.replace(_SERVER, sequence=0)) > 0.0


def test_outdated_or_odd_notice_is_applied():
    known = cold_servers.ColdServers("e1", _board(), _TERMS)
    member = dataclasses.replace(replay._member(1), instance_id="i1")
    assert known.merge(dataclasses.replace(_NOTICE, sequence=5), 0.0)
    assert not known.merge(dataclasses.replace(_NOTICE, cold_s=99.0), 1.0)
    assert not known.merge(dataclasses.replace(_NOTICE, node_id=""), 1.0)
    replaced = dataclasses.replace(_NOTICE, instance_id="i0", started_ms=6)
    assert not known.merge(replaced, 1.0)
    assert known.is_cold(member, 1.0)
    warm = dataclasses.replace(_NOTICE, sequence=6, cold_s=0.0)
    assert known.merge(warm, 2.0)
    assert not known.is_cold(member, 2.0)
    decoded = codec.decode(codec.encode(_NOTICE), "test")
    assert decoded == _NOTICE
