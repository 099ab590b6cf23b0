"""Tests of the exchange of operator records between nodes."""

import zlib

import pytest

from trefoilwind import codec
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import record_sharing
from trefoilwind.log import keyed
from trefoilwind.model import positions

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
        zlib.compress(
            codec.encode(
                control_messages.DeltaBundle(
                    (control_messages.RecordDelta("config", b"\xc1", 9, 7),)
                )
            )
        ),
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
    request = control_messages.DeltasRequest(7)
    assert sharing.request(7, False, 1.0) is None
    assert sharing.request(7, True, 1.0) == request
    assert sharing.request(7, True, 1.1) is None
    later = 1.0 + record_sharing.REQUEST_INTERVAL_S
    assert sharing.request(7, True, later) == request


def _document(version: int) -> bytes:
    rows = [f'["route-{row}","host-{row}.example"]' for row in range(800)]
    return f'{{"version":{version},"rows":[{",".join(rows)}]}}'.encode()


def test_a_changed_configuration_is_sent_as_a_delta():
    sender, receiver = _Node(), _Node()
    first = keyed.KeyedRecord("config", _document(1), 3)
    second = keyed.KeyedRecord("config", _document(2), 8)
    for node in (sender, receiver):
        node.sharing.add(first)
    sender.sharing.add(second)
    shared = sender.sharing.answer(control_messages.DeltasRequest(3), 9)
    whole = sender.sharing.answer(_request(3), 9)
    assert len(shared.packed) < len(whole.packed) / 10
    assert receiver.sharing.apply_shared(shared)
    assert receiver.received == [first, second]


def test_a_peer_without_records_receives_whole_ones_as_deltas():
    sender, receiver = _filled_node(), _Node()
    shared = sender.sharing.answer(control_messages.DeltasRequest(-1), 9)
    assert receiver.sharing.apply_shared(shared)
    assert receiver.received == [_ORDER, _NEW]


def test_a_delta_of_an_unknown_base_is_rejected_and_changes_nothing():
    sender, receiver = _filled_node(), _Node()
    receiver.sharing.add(keyed.KeyedRecord("config", b"skipped", 6))
    before = list(receiver.received)
    shared = sender.sharing.answer(control_messages.DeltasRequest(6), 9)
    assert not receiver.sharing.apply_shared(shared)
    assert receiver.received == before
    whole = sender.sharing.answer(_request(6), 9)
    assert receiver.sharing.apply_shared(whole)
    assert receiver.received[-1] == _NEW


def test_bases_of_deltas_are_limited():
    sender = _Node()
    kept = record_sharing.HISTORY_RECORDS
    records = [
        keyed.KeyedRecord("config", _document(number), number)
        for number in range(kept + 1)
    ]
    for record in records:
        sender.sharing.add(record)
    outdated, current = _Node(), _Node()
    outdated.sharing.add(records[0])
    current.sharing.add(records[1])
    for node, offset in ((outdated, 0), (current, 1)):
        request = control_messages.DeltasRequest(offset)
        assert node.sharing.apply_shared(sender.sharing.answer(request, 9))
        assert node.received[-1] == records[-1]


def _make_evacuation_node() -> _Node:
    node = _Node()
    node.sharing = record_sharing.RecordSharing(
        node.received.append, lambda key: key.startswith("evacuate/")
    )
    return node


_EVACUATION = keyed.KeyedRecord("evacuate/d", b"{}", 5)


@pytest.mark.parametrize("era", [0, 1])
def test_key_absent_in_a_newest_only_read_is_not_kept(era):
    node = _make_evacuation_node()
    for record in (_OLD, _EVACUATION):
        node.sharing.add(record)
    end = positions.position(era, 9)
    node.sharing.note_newest(keyed.KeyedPage((_OLD,), 6))
    assert node.received[-1] == _EVACUATION
    node.sharing.note_newest(keyed.KeyedPage((_OLD, _EVACUATION), 8))
    assert node.received[-1] == _EVACUATION
    node.sharing.note_newest(keyed.KeyedPage((_OLD,), end))
    removed = keyed.KeyedRecord("evacuate/d", b"", end - 1)
    assert node.received == [_OLD, _EVACUATION, removed]
    again = keyed.KeyedRecord("evacuate/d", b"{}", end + 1)
    node.sharing.add(again)
    assert node.received[-1] == again


def test_deletion_reaches_a_peer_from_a_node_that_never_had_the_key():
    sender, receiver = _make_evacuation_node(), _make_evacuation_node()
    for record in (_OLD, _EVACUATION):
        receiver.sharing.add(record)
    sender.sharing.add(_NEW)
    sender.sharing.note_newest(keyed.KeyedPage((_NEW,), 9))
    shared = sender.sharing.answer(control_messages.DeltasRequest(5), 9)
    assert receiver.sharing.apply_shared(shared)
    assert receiver.received[-1] == keyed.KeyedRecord("evacuate/d", b"", 8)


def test_outdated_peer_does_not_bring_a_deleted_key_back():
    sender, receiver = _make_evacuation_node(), _make_evacuation_node()
    for record in (_OLD, _EVACUATION):
        sender.sharing.add(record)
    receiver.sharing.note_newest(keyed.KeyedPage((), 9))
    assert receiver.sharing.apply_shared(sender.sharing.answer(_request(-1), 6))
    assert receiver.received == [_OLD]
