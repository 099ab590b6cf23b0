"""Operator records from one node to another."""

import zlib

import pytest

from trefoilwind import codec
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import record_sharing
from trefoilwind.log import keyed

_OLD = keyed.KeyedRecord("config", b"old" * 1000, 4)
_NEW = keyed.KeyedRecord("config", b"new" * 1000, 7)
_ORDER = keyed.KeyedRecord("rollout", b"order", 5)


class _Node:
    """Records of one node, and what it took."""

    def __init__(self):
        self.taken: list[keyed.KeyedRecord] = []
        self.sharing = record_sharing.RecordSharing(self.taken.append)


def _filled() -> _Node:
    node = _Node()
    for record in (_OLD, _ORDER, _NEW):
        node.sharing.add(record)
    return node


def _wanted(offset: int) -> control_messages.RecordsWanted:
    return control_messages.RecordsWanted(offset)


def test_a_peer_gets_what_it_lacks_in_order():
    giver, taker = _filled(), _Node()
    shared = giver.sharing.answer(_wanted(-1), 9)
    assert shared.next_offset == 9
    taker.sharing.take_shared(codec.decode(codec.encode(shared), "test"))
    assert taker.taken == [_ORDER, _NEW]
    assert giver.sharing.answer(_wanted(7), 9) is None


def test_a_newer_record_is_not_held_back_by_what_was_packed_before():
    giver, taker = _Node(), _Node()
    giver.sharing.add(_OLD)
    taker.sharing.take_shared(giver.sharing.answer(_wanted(-1), None))
    giver.sharing.add(_NEW)
    taker.sharing.take_shared(giver.sharing.answer(_wanted(4), None))
    assert taker.taken == [_OLD, _NEW]


def test_an_older_record_never_replaces_a_newer_one():
    giver, taker = _Node(), _Node()
    giver.sharing.add(_OLD)
    taker.sharing.add(_NEW)
    taker.sharing.take_shared(giver.sharing.answer(_wanted(-1), None))
    assert taker.taken == [_NEW]


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"no zlib",
        zlib.compress(b"no message"),
        zlib.compress(codec.encode(_wanted(1))),
    ],
)
def test_malformed_records_change_nothing(packed, caplog):
    taker = _filled()
    before = list(taker.taken)
    taker.sharing.take_shared(control_messages.SharedRecords(packed, 99))
    assert taker.taken == before
    assert "undecodable" in caplog.text


def test_records_are_wanted_from_peers_only_without_the_store():
    sharing = _filled().sharing
    assert sharing.wanted(False, 1.0) is None
    assert sharing.wanted(True, 1.0) == _wanted(7)
    assert sharing.wanted(True, 1.1) is None
    later = 1.0 + record_sharing.ASK_INTERVAL_S
    assert sharing.wanted(True, later) == _wanted(7)
