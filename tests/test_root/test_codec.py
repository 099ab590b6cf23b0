"""Messages are decoded unchanged; other bytes become an error value."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.distribution import messages as distribution_messages
from trefoilwind.log import port
from trefoilwind.membership import messages
from trefoilwind.model import addresses
from trefoilwind.model import configuration
from trefoilwind.model import members
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state

_names = st.text(max_size=8)
_counts = st.integers(0, 2**63 - 1)
_members = st.builds(
    members.Member,
    node_id=_names,
    incarnation=_counts,
    sequence=_counts,
    data_centre=_names,
    peer_address=st.builds(addresses.Address, _names, _counts),
    labels=st.lists(st.builds(members.Label, _names, _names)).map(tuple),
    leaving=st.booleans(),
)
_messages = st.one_of(
    st.builds(
        messages.MemberUpdate,
        st.lists(
            st.builds(
                messages.LeasedMember, _members, st.floats(0, 100, width=32)
            ),
            max_size=3,
        ).map(tuple),
    ),
    st.builds(
        distribution_messages.RecordBatch,
        _counts,
        st.lists(st.builds(port.Entry, _counts, st.binary())).map(tuple),
        _counts,
    ),
    st.builds(moves.Outcome, _names, st.sampled_from(moves.Result), _names),
)


@hypothesis.given(_messages)
def test_message_round_trip(message):
    assert codec.decode(codec.encode(message), "test") == message


def test_state_round_trip():
    move = moves.Move("m", "s", "v2", "v1", 2.0, 1.0)
    outcome = moves.Outcome("m", moves.Result.UNDONE, "deadline")
    folded = state.State(
        next_offset=7,
        version=3,
        configuration=configuration.Configuration(halves=("north",)),
        moves=(moves.MoveStatus(move, outcome), moves.MoveStatus(move)),
    )
    assert codec.decode(codec.encode(folded), "test") == folded


@hypothesis.given(st.binary(max_size=64))
def test_fuzz_arbitrary_bytes_never_raise(data):
    result = codec.decode(data, "step", "peer")
    if isinstance(result, errors.Error):
        assert (result.step, result.peer) == ("step", "peer")


@pytest.mark.parametrize(
    "fields",
    [
        ["move", "done", "reason", "", "", 0.0, "", "one too many"],
        ["move", "done"],
        ["move", "finished", "reason"],
        [1, "done", "reason"],
        "move",
    ],
)
def test_wrong_fields_are_undecodable(fields):
    data = msgpack.packb(("record.Outcome", fields))
    result = codec.decode(data, "step")
    assert isinstance(result, errors.StreamError)
    assert result.reason is errors.Reason.UNDECODABLE


def test_fields_with_defaults_may_be_missing():
    data = msgpack.packb(("record.Outcome", ["move", "done", "reason"]))
    assert codec.decode(data, "step") == moves.Outcome(
        "move", moves.Result.DONE, "reason"
    )


def test_record_contains_its_body():
    body = records.MoveRequest("s", "v2", 2.0, 1.0)
    record = codec.decode(records.encode("id", "operator", body), "step")
    assert dataclasses.astuple(record)[:3] == ("id", "operator", "MoveRequest")
    assert codec.decode(record.body, "step") == body
