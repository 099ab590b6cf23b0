"""Fuzz tests of merging member records of other writers."""

import hypothesis
from hypothesis import strategies

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import control_messages
from trefoilwind.gateway import member_table
from trefoilwind.model import addresses
from trefoilwind.model import bounds
from trefoilwind.model import members

_OWN = members.Member("n0", 5, 0, "d", addresses.Address("10.0.0.1", 1))
# All integers that a message can carry, most of them near a bound.
_INTEGERS = strategies.integers(-(2**63), 2**64 - 1) | strategies.sampled_from(
    [
        -(2**63),
        -1,
        0,
        1,
        bounds.MAX_SLOTS,
        65536,
        bounds.MAX_TIME_MS - 1,
        bounds.MAX_TIME_MS,
        bounds.MAX_COUNT,
        2**63 - 1,
        2**63,
        2**64 - 1,
    ]
)
_TEXTS = strategies.text(max_size=8) | strategies.sampled_from(
    ["", "n0", "n1", "s", "10.0.0.1", "::1", "a.example", "x" * 300, "a\nb"]
)
_MEMBERS = strategies.builds(
    members.Member,
    node_id=_TEXTS,
    incarnation=_INTEGERS,
    sequence=_INTEGERS,
    data_centre=_TEXTS,
    peer_address=strategies.builds(addresses.Address, _TEXTS, _INTEGERS),
    service=_TEXTS,
    version=_TEXTS,
    slots=_INTEGERS,
    region=_TEXTS,
    instance_id=_TEXTS,
    started_ms=_INTEGERS,
)
_VALID_INTEGERS = strategies.sampled_from(
    [0, 1, bounds.MAX_TIME_MS - 1, bounds.MAX_TIME_MS]
)
_PLAUSIBLE = strategies.builds(
    members.Member,
    node_id=strategies.sampled_from(["n0", "n1"]),
    incarnation=_VALID_INTEGERS,
    sequence=_VALID_INTEGERS,
    data_centre=strategies.just("d"),
    peer_address=strategies.builds(
        addresses.Address,
        strategies.just("10.0.0.2"),
        strategies.sampled_from([1, 65535]),
    ),
)


@hypothesis.given(strategies.lists(_MEMBERS | _PLAUSIBLE, max_size=6))
def test_fuzz_odd_members_leave_the_own_record_usable(received):
    board = board_lib.MeshBoard()
    table = member_table.MemberTable(_OWN, board)
    for member in received:
        message = control_messages.MemberChanged(member)
        decoded = codec.decode(codec.encode(message), "test")
        assert not isinstance(decoded, errors.Error)
        table.merge_all(member_table.usable((decoded.member,)))
    own = control_messages.MemberChanged(table.own)
    assert codec.decode(codec.encode(own), "test") == own
    assert member_table.usable((table.own,)) == (table.own,)
    assert board.members.value.by_node["n0"] == table.own
    for member in board.members.value.members:
        assert 0 < member.peer_address.port <= addresses.MAX_PORT
        assert len(member.node_id.encode()) <= bounds.MAX_NAME_BYTES
