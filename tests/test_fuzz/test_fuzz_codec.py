"""Bytes of peers and of the log: messages, frames and records."""

import dataclasses

import hypothesis
from hypothesis import strategies

from tests.test_fuzz import values
from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.cmd import demo
from trefoilwind.distribution import frames
from trefoilwind.log import checkpoints
from trefoilwind.log import fold
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.node import control  # noqa: F401 - registers all messages.

_TAGS = strategies.sampled_from([tag for tag, _ in codec.registry()])
strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**63 - 1))
_RIGHT = strategies.sampled_from([cls for _, cls in codec.registry()]).flatmap(
    strategies.from_type
)
_MESSAGES = strategies.tuples(_TAGS, values.PLAIN).map(values.pack)
_STATE = state_lib.State(
    next_offset=5, version=3, configuration=demo.configuration()
)
_BODIES = (
    records.Publication(3, demo.configuration()),
    records.MoveRequest("catalogue", "v2", 9.0, 1.0),
    records.LeaseClaim("checkpoint", "n", 2.0, 1.0),
    records.Checkpoint(1, 5, b"x"),
    records.Contacts(1, "perth-a", ()),
)
_RECORDS = strategies.sampled_from(_BODIES).map(
    lambda body: records.encode("r", "w", body)
)
_FRAMES = strategies.sampled_from(
    (
        frames.Hello(1, "n", "d"),
        frames.Control(1, 2, b"payload"),
        frames.Ping(),
        frames.Cancel(3),
        frames.GoAway(4),
    )
).map(frames.encode)


def _all_fields_are_plain(value: object) -> bool:
    return dataclasses.is_dataclass(value) and isinstance(
        codec.to_plain(value), list
    )


@hypothesis.given(
    strategies.binary(max_size=64)
    | _MESSAGES
    | _RIGHT.map(codec.encode)
    | values.damaged(_RIGHT.map(codec.encode))
)
def test_fuzz_message(data):
    result = codec.decode(data, "test", "peer")
    if isinstance(result, errors.StreamError):
        assert result.reason is errors.Reason.UNDECODABLE
        return
    assert _all_fields_are_plain(result)
    assert codec.decode(codec.encode(result), "test") == result


@hypothesis.given(values.damaged(_RECORDS) | strategies.binary(max_size=64))
def test_fuzz_record_is_folded_whole_or_not_at_all(payload):
    folded = fold.fold(_STATE, 5, payload)
    assert folded.state.next_offset == 6
    if folded.error is not None:
        unchanged = dataclasses.replace(
            folded.state,
            next_offset=_STATE.next_offset,
            recent_ids=_STATE.recent_ids,
        )
        assert unchanged == _STATE
    assert codec.decode(codec.encode(folded.state), "t") == folded.state


@hypothesis.given(strategies.binary(max_size=64))
def test_fuzz_checkpoint(data):
    checkpoint = records.Checkpoint(1, 5, data)
    assert isinstance(checkpoints.decode_state(checkpoint), errors.Error)


@hypothesis.given(
    strategies.lists(
        values.damaged(_FRAMES)
        | strategies.binary(max_size=32)
        | values.PLAIN.map(values.pack),
        max_size=8,
    ),
    strategies.integers(1, 16),
)
def test_fuzz_frames_do_not_depend_on_chunks(parts, size):
    data = b"".join(parts)
    whole = _feed(frames.Decoder(), [data])
    chunks = [data[i : i + size] for i in range(0, len(data), size)]
    pieces = _feed(frames.Decoder(), chunks)
    # A chunk that ends in an error gives no frame; those before it do.
    if isinstance(whole, errors.Error):
        assert isinstance(pieces, errors.Error)
    else:
        assert repr(pieces) == repr(whole)


def _feed(decoder, chunks):
    found = []
    for chunk in chunks:
        result = decoder.feed(chunk)
        if isinstance(result, errors.Error):
            return result
        found += result
    return found


def test_fuzz_frame_without_end_is_refused_in_bounded_memory():
    decoder = frames.Decoder()
    chunk = bytes(1024 * 1024)
    fed = 0
    result = decoder.feed(b"\xc6\x7f\xff\xff\xff")
    while not isinstance(result, errors.Error):
        fed += len(chunk)
        assert fed <= frames.MAX_FRAME_BYTES + len(chunk)
        result = decoder.feed(chunk)


def test_fuzz_claimed_lengths_allocate_nothing():
    for header in (b"\xdd\x00\xff\xff\xff", b"\xdf\x00\xff\xff\xff"):
        result = frames.Decoder().feed(header * 400)
        assert isinstance(result, errors.Error)
        result = codec.decode(header * 400, "test")
        assert isinstance(result, errors.Error)
