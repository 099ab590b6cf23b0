"""Tests of the exchange of operator records between nodes."""

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
    """Records of one node, and those passed to its callback."""

    def __init__(self):
        self.received: list[keyed.KeyedRecord] = []
        self.sharing = record_sharing.RecordSharing(self.received.append)


def _filled_node() -> _Node:
    node = _Node()
    for record in (_OLD, _ORDER, _NEW):
        node.sharing.add(record)
    return node


def _request(offset: int) -> control_messages.RecordsRequest:
    return control_messages.RecordsRequest(offset)


def test_a_peer_receives_missing_records_in_order():
    sender, receiver = _filled_node(), _Node()
    shared = sender.sharing.answer(_request(-1), 9)
    assert shared.next_offset == 9
    receiver.sharing.apply_shared(codec.decode(codec.encode(shared), "test"))
    assert receiver.received == [_ORDER, _NEW]
    assert sender.sharing.answer(_request(7), 9) is None


def test_cached_bundle_does_not_hide_a_newer_record():
    sender, receiver = _Node(), _Node()
    sender.sharing.add(_OLD)
    receiver.sharing.apply_shared(sender.sharing.answer(_request(-1), None))
    sender.sharing.add(_NEW)
    receiver.sharing.apply_shared(sender.sharing.answer(_request(4), None))
    assert receiver.received == [_OLD, _NEW]


def test_an_older_record_never_replaces_a_newer_one():
    sender, receiver = _Node(), _Node()
    sender.sharing.add(_OLD)
    receiver.sharing.add(_NEW)
    receiver.sharing.apply_shared(sender.sharing.answer(_request(-1), None))
    assert receiver.received == [_NEW]


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"no zlib",
        zlib.compress(b"no message"),
        zlib.compress(codec.encode(_request(1))),
    ],
)
def test_malformed_records_change_nothing(packed, caplog):
    receiver = _filled_node()
    before = list(receiver.received)
    receiver.sharing.apply_shared(control_messages.SharedRecords(packed, 99))
    assert receiver.received == before
    assert "undecodable" in caplog.text


def test_records_are_requested_from_peers_only_without_the_store():
    sharing = _filled_node().sharing
    assert sharing.request(False, 1.0) is None
    assert sharing.request(True, 1.0) == _request(7)
    assert sharing.request(True, 1.1) is None
    later = 1.0 + record_sharing.REQUEST_INTERVAL_S
    assert sharing.request(True, later) == _request(7)
