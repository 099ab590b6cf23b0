"""Tests of merging member records."""

import dataclasses
import logging

import pytest

from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import member_table
from trefoilwind.model import addresses
from trefoilwind.model import bounds
from trefoilwind.model import members
from trefoilwind.model import mesh

_OWN = members.Member(
    "n0", 5, 0, "d", addresses.Address("10.0.0.1", 1), region="r"
)
_OTHER = members.Member(
    "n1", 5, 3, "d", addresses.Address("10.0.0.2", 1), "s", "v1", 4, region="r"
)


def _table() -> tuple[member_table.MemberTable, board_lib.MeshBoard]:
    board = board_lib.MeshBoard()
    return member_table.MemberTable(_OWN, board), board


def test_older_member_record_is_ignored():
    table, board = _table()
    assert table.merge(_OTHER)
    assert not table.merge(dataclasses.replace(_OTHER, sequence=2))
    assert not table.merge(_OTHER)
    assert board.members.value.by_node["n1"] == _OTHER
    restarted = dataclasses.replace(_OTHER, incarnation=6, sequence=0)
    assert table.merge(restarted)


def test_node_at_the_address_of_another_replaces_it():
    table, board = _table()
    table.merge(_OTHER)
    successor = dataclasses.replace(_OTHER, node_id="n2", incarnation=9)
    table.merge(successor)
    assert set(board.members.value.by_node) == {"n0", "n2"}
    # The order in which the records arrive does not matter.
    table.merge(dataclasses.replace(_OTHER, sequence=9))
    assert set(board.members.value.by_node) == {"n0", "n2"}


def test_newer_record_of_the_own_node_is_superseded():
    table, _ = _table()
    ahead = dataclasses.replace(_OWN, incarnation=50, sequence=7)
    assert table.merge(ahead)
    assert table.own.precedence > ahead.precedence


def test_heartbeat_during_a_stop_does_not_end_the_leaving_of_the_node():
    # Guards against a stopping node that looks available to other nodes.
    table, _ = _table()
    address = addresses.Address("10.0.0.9", 1)
    server = mesh.BackendServer("i1", "s", "v1", address, 4)
    table.mark_leaving()
    assert table.set_server(server)
    assert table.own.leaving
    assert not table.own.has_left


def test_records_of_one_page_are_published_once():
    table, board = _table()
    before = board.members.value
    published = []
    others = [
        dataclasses.replace(
            _OTHER,
            node_id=f"m{number}",
            peer_address=addresses.Address("10.0.1.1", number),
        )
        for number in range(3)
    ]

    def received():
        for other in others:
            published.append(board.members.value is before)
            yield other

    assert table.merge_all(received()) == tuple(others)
    assert published == [True, True, True]
    assert len(board.members.value.members) == 4


def test_digests_of_tables_are_equal_once_they_hold_the_same_records():
    table, _ = _table()
    other, _ = _table()
    assert table.digest == other.digest
    table.merge(_OTHER)
    assert table.digest != other.digest
    other.merge_all(table.records)
    assert table.digest == other.digest
    # A record hidden by a successor at its address counts all the same.
    table.merge(dataclasses.replace(_OTHER, node_id="n2", incarnation=9))
    assert table.digest != other.digest


def test_displaced_member_does_not_hide_a_successor_with_a_slow_clock():
    table, board = _table()
    table.merge(_OTHER)
    behind = dataclasses.replace(_OTHER, node_id="n2", incarnation=4)
    table.merge(behind)
    assert set(board.members.value.by_node) == {"n0", "n1"}
    table.displace("n1")
    assert set(board.members.value.by_node) == {"n0", "n2"}
    table.merge(dataclasses.replace(_OTHER, incarnation=6))
    assert set(board.members.value.by_node) == {"n0", "n1"}


def test_own_member_is_never_omitted():
    table, board = _table()
    previous = dataclasses.replace(
        _OTHER, peer_address=_OWN.peer_address, incarnation=99
    )
    table.merge(previous)
    assert set(board.members.value.by_node) == {"n0"}


@pytest.mark.parametrize(
    "change",
    [
        {"incarnation": 2**64 - 1},
        {"incarnation": -1},
        {"sequence": 2**64 - 1},
        {"sequence": -1},
        {"started_ms": 2**63},
        {"slots": -1},
        {"slots": 2**40},
        {"peer_address": addresses.Address("10.0.0.9", 0)},
        {"peer_address": addresses.Address("10.0.0.9", 65536)},
        {"peer_address": addresses.Address("10.0.0.9", -1)},
        {"peer_address": addresses.Address("a.example", 1)},
        {"peer_address": addresses.Address("", 1)},
        {"node_id": ""},
        {"node_id": "x" * 300},
        {"node_id": "a\nb"},
        {"data_centre": ""},
        {"instance_id": "a\r\nb: c"},
        {"version": "v" * 100_000},
    ],
    ids=lambda change: repr(change)[:40],
)
def test_record_with_an_odd_value_is_left_out_and_the_others_hold(
    change: dict, caplog: pytest.LogCaptureFixture
):
    odd = dataclasses.replace(_OTHER, **({"node_id": "odd"} | change))
    with caplog.at_level(logging.WARNING):
        assert member_table.usable((_OWN, odd, _OTHER)) == (_OWN, _OTHER)
    (line,) = [record.getMessage() for record in caplog.records]
    assert "\n" not in line
    assert len(line) < 200


def test_record_that_supersedes_one_with_the_largest_values_is_usable():
    table, _ = _table()
    last = dataclasses.replace(
        _OWN, incarnation=bounds.MAX_TIME_MS, sequence=7, slots=1
    )
    for _ in range(3):
        assert member_table.usable((last,))
        table.merge(last)
        assert table.own.precedence > last.precedence
        assert member_table.usable((table.own,))
        last = dataclasses.replace(table.own, slots=1)
