"""Tests of one stream over a real connection."""

import threading

import pytest

from tests.test_proxy import fakes
from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.distribution import stream as stream_lib


def _opened(call_id, body=b""):
    return frames.CallOpen(
        call_id, "GET", "/", [], 1.0, "lookup", 1, "", body, True
    )


@pytest.fixture(name="stream_ends")
def fixture_stream_ends():
    """Yield a stream with a virtual clock, its peer's socket and the clock."""
    near, far = fakes.tcp_pair()
    clock = clock_lib.VirtualClock()
    stream = stream_lib.PeerStream(near, clock, "peer")
    yield stream, far, clock
    stream.close()
    far.close()


def _fill(stream):
    """Send bodies until the queue of the stream is full."""
    while stream.queued_bytes <= stream_lib.MAX_QUEUED_BYTES:
        assert stream.send(frames.CallBody(1, bytes(65536), False)) is None


def _read_frames(connection, until):
    decoder = frames.Decoder()
    received = []
    connection.settimeout(fakes.WAIT_S)
    while not until(received):
        data = connection.recv(1024 * 1024)
        assert data
        received.extend(decoder.feed(data))
    return received


def test_a_peer_that_does_not_read_does_not_block_senders(stream_ends):
    stream, _, clock = stream_ends
    _fill(stream)
    assert stream.send(frames.Ping()) is None
    assert stream.send(frames.Control(1, 1, b"x")) is None
    error = stream.send(_opened(7), deadline=clock.monotonic())
    assert error.reason is errors.Reason.PEER_SILENT


def test_a_peer_that_does_not_read_counts_as_silent(stream_ends):
    stream, _, clock = stream_ends
    _fill(stream)
    clock.advance(2.0)
    assert stream.silence_s(clock.monotonic()) >= 2.0
    stream.reset_silence(clock.monotonic())
    assert stream.silence_s(clock.monotonic()) == 0.0


def test_a_heartbeat_without_answer_counts_as_silence(stream_ends):
    stream, far, clock = stream_ends
    stream.start(lambda stream, frame: None, lambda stream: None)
    stream.ping()
    clock.advance(2.0)
    far.sendall(frames.encode(frames.Ping()))
    fakes.wait_until(lambda: stream.last_received == clock.monotonic())
    assert stream.silence_s(clock.monotonic()) == 2.0
    far.sendall(frames.encode(frames.Pong()))
    fakes.wait_until(lambda: stream.silence_s(clock.monotonic()) == 0.0)


def test_heartbeats_overtake_queued_bodies(stream_ends):
    stream, far, _ = stream_ends
    _fill(stream)
    stream.send(frames.Ping())
    last = frames.CallBody(1, b"last", True)
    stream.send(frames.Control(1, 1, b"after the bodies"))
    received = _read_frames(
        far, lambda x: x and isinstance(x[-1], frames.Control)
    )
    position = received.index(frames.Ping())
    assert position < len(received) - stream_lib.MAX_QUEUED_BYTES // 65536
    assert last not in received


def test_a_waiting_sender_resumes_once_the_peer_reads(stream_ends):
    stream, far, clock = stream_ends
    _fill(stream)
    results = []

    def send():
        results.append(stream.send(_opened(9), clock.monotonic() + 60.0))

    thread = threading.Thread(target=send)
    thread.start()
    _read_frames(far, lambda x: _opened(9) in x)
    thread.join(fakes.WAIT_S)
    assert results == [None]


def test_calls_that_were_not_written_are_proven_unaccepted(stream_ends):
    stream, far, _ = stream_ends
    stream.send(_opened(1))
    while not stream.queued_bytes:
        stream.send(frames.CallBody(1, bytes(65536), False))
    stream.send(_opened(2))
    stream.close()
    assert not stream.is_proven_unaccepted(1)
    assert stream.is_proven_unaccepted(2)
    assert stream.send(_opened(3)).reason is errors.Reason.PEER_UNREACHABLE


def test_finish_writes_queued_frames(stream_ends):
    stream, far, clock = stream_ends
    _fill(stream)
    thread = threading.Thread(
        target=stream.finish, args=(clock.monotonic() + fakes.WAIT_S,)
    )
    thread.start()
    far.settimeout(fakes.WAIT_S)
    count = 0
    while data := far.recv(1024 * 1024):
        count += len(data)
    thread.join(fakes.WAIT_S)
    assert count > stream_lib.MAX_QUEUED_BYTES


def test_a_stream_with_an_excessive_backlog_is_closed(stream_ends):
    stream, _, _ = stream_ends
    error = None
    while error is None:
        error = stream.send(frames.Control(1, 1, bytes(1024 * 1024)))
    assert stream.is_closed
    assert stream.queued_bytes <= stream_lib.MAX_BACKLOG_BYTES


def test_garbage_ends_the_stream(stream_ends):
    stream, far, _ = stream_ends
    closed = threading.Event()
    stream.start(lambda stream, frame: None, lambda stream: closed.set())
    far.sendall(b"\xc1" * 10)
    assert closed.wait(fakes.WAIT_S)
    far.settimeout(fakes.WAIT_S)
    assert far.recv(1) == b""


def test_peer_that_reads_a_slow_body_is_not_silent(stream_ends):
    """Guards against heartbeats that wait behind bytes on their way."""
    stream, far, clock = stream_ends
    _fill(stream)
    stream.ping()
    for _ in range(4):
        clock.advance(1.0)
        # One read may let the kernel accept all that is queued.
        _fill(stream)
        queued = stream.queued_bytes
        while stream.queued_bytes == queued:
            assert far.recv(65536)
        assert stream.silence_s(clock.monotonic()) < 3.0


def test_peer_that_has_read_a_body_owes_the_answer_to_a_heartbeat(stream_ends):
    stream, far, clock = stream_ends
    _fill(stream)
    stream.ping()
    clock.advance(1.0)
    stream.send(frames.Control(1, 1, b"after the bodies"))
    _read_frames(far, lambda x: x and isinstance(x[-1], frames.Control))
    fakes.wait_until(lambda: stream.silence_s(clock.monotonic()) == 0.0)
    clock.advance(3.0)
    assert stream.silence_s(clock.monotonic()) == 3.0
