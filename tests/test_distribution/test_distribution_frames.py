"""Property tests of the frame codec."""

import dataclasses
import tracemalloc

import hypothesis
from hypothesis import strategies as st
import msgpack

from trefoilwind import errors
from trefoilwind.distribution import frames

_BY_TYPE = {
    int: st.integers(0, 2**63 - 1),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=300),
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    list: st.lists(st.lists(st.text(max_size=9), min_size=2, max_size=2)),
}


def _frames_of(cls):
    fields = {f.name: _BY_TYPE[f.type] for f in dataclasses.fields(cls)}
    return st.builds(cls, **fields)


_FRAMES = st.one_of([_frames_of(cls) for cls in frames.Frame.__args__])


@hypothesis.given(st.lists(_FRAMES, max_size=8), st.data())
def test_frames_decode_from_any_split_of_the_bytes(sent, data):
    encoded = b"".join(frames.encode(frame) for frame in sent)
    decoder = frames.Decoder()
    received = []
    while encoded:
        count = data.draw(st.integers(1, len(encoded)))
        received.extend(decoder.feed(encoded[:count]))
        encoded = encoded[count:]
    assert received == sent


@hypothesis.given(st.lists(st.binary(max_size=200), max_size=10))
def test_garbage_never_raises(pieces):
    decoder = frames.Decoder()
    for piece in pieces:
        received = decoder.feed(piece)
        if isinstance(received, errors.Error):
            assert received.reason is errors.Reason.PROTOCOL
            return
        assert all(isinstance(x, frames.Frame) for x in received)


_PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 20) | st.binary(max_size=9),
    lambda inner: st.lists(inner, max_size=12),
    max_leaves=20,
)


@hypothesis.given(_PLAIN)
def test_wrong_arrays_never_raise(plain):
    received = frames.Decoder().feed(msgpack.packb(plain))
    if not isinstance(received, errors.Error):
        assert all(isinstance(x, frames.Frame) for x in received)


def test_an_unfinished_frame_does_not_exhaust_memory():
    # Start of an array with a binary of 2 GB that is not sent.
    start = b"\x92\x06\xc6\x7f\xff\xff\xff"
    decoder = frames.Decoder()
    tracemalloc.start()
    received = decoder.feed(start)
    fed = 0
    while not isinstance(received, errors.Error):
        received = decoder.feed(bytes(1024 * 1024))
        fed += 1
        assert fed < 64
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 4 * frames.MAX_FRAME_BYTES
