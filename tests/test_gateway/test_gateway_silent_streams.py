"""Tests of silent streams that stay open for the calls in flight on them."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import time

import uvloop

from tests import virtual_time
from tests.test_gateway import fakes
from tests.test_gateway import test_gateway_entry
from trefoilwind.distribution import frames
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import stream_calls
from trefoilwind.gateway import streams

_TIMES = streams.StreamTimes(1.0, 3.0)
_PACKET_BYTES = 1500
# Bytes of each direction that the kernel has accepted; it sends them even after
# a process has closed the connection at once.
_KERNEL_BYTES = 64 * 1024
_ANSWER = http_types.HttpAnswer(200, (), b"done")
_DEADLINE_S = 30.0

Run = Callable[[calls.Call], Awaitable[calls.Outcome]]


class _Link(asyncio.Transport):
    """One direction of a connection, at a limited rate; it can be held."""

    def __init__(self, bytes_per_s: float):
        super().__init__()
        self._bytes_per_s = bytes_per_s
        self._loop = asyncio.get_running_loop()
        self._queue: collections.deque[bytes] = collections.deque()
        self._is_sending = False
        self._held_until = 0.0
        self._is_ended = False
        self._is_paused = False
        self.writes = 0
        self.receiver: streams.Stream | None = None
        self.sender: streams.Stream | None = None

    def hold(self, seconds: float) -> None:
        """Deliver nothing for some seconds, not even queued packets."""
        self._held_until = self._loop.time() + seconds

    def get_extra_info(self, name, default=None):
        """Return nothing."""
        return default

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits; writing is paused while bytes wait."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the kernel has not accepted."""
        return max(0, sum(map(len, self._queue)) - _KERNEL_BYTES)

    def is_closing(self) -> bool:
        """Return True once the sender's stream is closed."""
        return self.sender.is_closed

    def write(self, data) -> None:
        """Send bytes, one packet after the other."""
        if self._is_ended:
            return
        self.writes += 1
        for start in range(0, len(data), _PACKET_BYTES):
            self._queue.append(bytes(data[start : start + _PACKET_BYTES]))
        if self.get_write_buffer_size() and not self._is_paused:
            self._is_paused = True
            self.sender.pause_writing()
        self._send_next()

    def close(self) -> None:
        """Close the connection at both ends."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; only the kernel's bytes are sent."""
        if self._is_ended:
            return
        self._is_ended = True
        while self.get_write_buffer_size():
            self._queue.pop()
        self._loop.call_soon(self._end, self.sender)
        self._send_next()

    def _end(self, stream: streams.Stream) -> None:
        if not stream.is_closed:
            stream.connection_lost(None)

    def _send_next(self) -> None:
        if self._is_sending:
            return
        if not self._queue:
            if self._is_ended:
                self._end(self.receiver)
            return
        self._is_sending = True
        start_at = max(self._loop.time(), self._held_until)
        sent_at = start_at + len(self._queue[0]) / self._bytes_per_s
        self._loop.call_at(sent_at, self._deliver)

    def _deliver(self) -> None:
        self._is_sending = False
        if self._loop.time() >= self._held_until and self._queue:
            packet = self._queue.popleft()
            if not self.receiver.is_closed:
                self.receiver.data_received(packet)
            if self._is_paused and not self.get_write_buffer_size():
                self._is_paused = False
                if not self._is_ended:
                    self.sender.resume_writing()
        self._send_next()


class _Pair:
    """An entry node's and a target node's stream over a pair of links."""

    def __init__(
        self,
        run: Run,
        bytes_per_s: float = 1e6,
        times: streams.StreamTimes = _TIMES,
    ):
        self._times = times
        self.remote = stream_calls.RemoteCalls()
        self.incoming = stream_calls.IncomingCalls(run, lambda: 1 << 30)
        self.entry = self._stream(
            "entry", "target", self.remote, self.remote.end_repeatable
        )
        self.target = self._stream(
            "target", "", self.incoming, lambda stream: None
        )
        self.forward = _Link(bytes_per_s)
        self.backward = _Link(1e6)
        self.forward.sender, self.forward.receiver = self.entry, self.target
        self.backward.sender, self.backward.receiver = self.target, self.entry
        self.entry.connection_made(self.forward)
        self.target.connection_made(self.backward)

    def _stream(self, name, expected, handler, silent) -> streams.Stream:
        events = streams.StreamEvents(
            lambda stream: None,
            handler.handle_frame,
            silent,
            handler.closed,
            lambda node_id: None,
        )
        hello = frames.Hello(frames.PROTOCOL_VERSION, name, "d")
        return streams.Stream(hello, self._times, events, expected)

    async def call(self, size: int, **changes) -> calls.Outcome:
        """Run a call with a body of some bytes; return its outcome."""
        deadline = asyncio.get_running_loop().time() + _DEADLINE_S
        call = fakes.call(body=b"x" * size, deadline=deadline, **changes)
        return await self.remote.run(self.entry, call)


def _run_for(seconds: float) -> Run:
    async def run(call: calls.Call) -> calls.Outcome:
        await asyncio.sleep(seconds)
        return calls.Outcome(_ANSWER)

    return run


def test_upload_is_not_given_up_by_its_target_while_the_path_stalls():
    """Guards against a target node that drops the bytes of an upload.

    Only complete calls keep its side of a silent stream open.
    """

    async def scenario() -> calls.Outcome:
        pair = _Pair(_run_for(0.0), 100_000.0)
        await asyncio.sleep(0.1)
        call = asyncio.create_task(pair.call(300_000))
        await asyncio.sleep(1.0)
        pair.forward.hold(_TIMES.silence_s + 0.5)
        return await call

    assert virtual_time.run(scenario()).result == _ANSWER


def test_call_after_a_stall_is_not_cut_when_an_older_run_ends():
    """Guards against a stream that is closed though its peer speaks again."""

    async def scenario() -> list[calls.Outcome]:
        pair = _Pair(_run_for(4.5), 100_000.0)
        await asyncio.sleep(0.1)
        first = asyncio.create_task(pair.call(10))
        await asyncio.sleep(0.1)
        pair.forward.hold(_TIMES.silence_s + 0.3)
        await asyncio.sleep(_TIMES.silence_s + 0.1)
        assert pair.target.silence_s >= _TIMES.silence_s
        await asyncio.sleep(0.4)
        assert not pair.entry.is_silent
        second = asyncio.create_task(pair.call(300_000))
        return [await first, await second]

    outcomes = virtual_time.run(scenario())
    assert [outcome.result for outcome in outcomes] == [_ANSWER, _ANSWER]


def test_repeatable_call_that_ended_early_is_cancelled_at_its_target():
    """Guards against runs whose answer nobody waits for."""

    async def scenario() -> int:
        pair = _Pair(_run_for(10.0))
        await asyncio.sleep(0.1)
        other = asyncio.create_task(pair.call(10))
        repeatable = asyncio.create_task(pair.call(10, may_repeat=True))
        await asyncio.sleep(0.1)
        pair.backward.hold(_TIMES.silence_s + 2.0)
        await repeatable
        assert not other.done()
        await asyncio.sleep(0.5)
        running = pair.incoming.in_flight
        await other
        return running

    assert virtual_time.run(scenario()) == 1


def test_safe_call_is_not_given_up_when_no_attempt_can_follow():
    """Guards against 502 for a call that its target node still runs.

    The budget for retries is spent, so the entry node gains nothing from
    ending the attempt.
    """
    # The silence timeout has to be shorter than the route's timeout.
    times = streams.StreamTimes(0.3, 0.9)

    class _SilentEntry(test_gateway_entry._Entry):
        async def _run(self, node_id, call):
            pair = _Pair(_run_for(0.0), times=times)
            await asyncio.sleep(0.1)
            pair.backward.hold(times.silence_s + 0.3)
            return await pair.remote.run(pair.entry, call)

    async def scenario() -> http_types.HttpAnswer:
        entry = _SilentEntry([], extra=0.0)
        return await entry.serve()

    assert virtual_time.run(scenario()).status == 200


def test_answer_is_not_discarded_when_the_last_run_on_a_silent_stream_ends():
    """Guards against closing a silent stream before its bytes are sent."""
    times = streams.StreamTimes(0.1, 0.3)
    body = b"x" * 16_000_000

    async def run_call(call: calls.Call) -> calls.Outcome:
        await asyncio.sleep(0.6)
        return calls.Outcome(http_types.HttpAnswer(200, (), body))

    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        incoming = stream_calls.IncomingCalls(run_call, lambda: 1 << 30)
        events = streams.StreamEvents(
            lambda stream: None,
            incoming.handle_frame,
            lambda stream: None,
            incoming.closed,
            lambda node_id: None,
        )
        hello = frames.Hello(frames.PROTOCOL_VERSION, "target", "d")
        server = await loop.create_server(
            lambda: streams.Stream(hello, times, events), fakes.HOST, 0
        )
        address = server.sockets[0].getsockname()
        return await asyncio.to_thread(_read_answer, address)

    assert uvloop.run(scenario()) == len(body)


def _read_answer(address: tuple[str, int]) -> int:
    """Send a call, be silent, then read; return the bytes of its answer."""
    decoder = frames.Decoder()
    received = 0
    with socket.create_connection(address) as connection:
        hello = frames.Hello(frames.PROTOCOL_VERSION, "entry", "d")
        call = frames.CallOpen(1, "GET", "/", [], 5.0, "r", 1, "", b"", True)
        connection.sendall(frames.encode(hello) + frames.encode(call))
        time.sleep(1.0)
        while data := connection.recv(1 << 18):
            for frame in decoder.feed(data):
                if isinstance(frame, frames.AnswerHead):
                    received += len(frame.body)
                elif isinstance(frame, frames.AnswerBody):
                    received += len(frame.chunk)
                if getattr(frame, "is_last", False):
                    return received
    return received


def test_repeatable_call_whose_body_arrives_slowly_is_not_given_up():
    """Guards against receivers that do not acknowledge a long body."""

    async def scenario() -> calls.Outcome:
        # The bytes in the kernel take longer than the silence timeout.
        pair = _Pair(_run_for(0.0), 15_000.0)
        await asyncio.sleep(0.1)
        return await pair.call(150_000, may_repeat=True)

    assert virtual_time.run(scenario()).result == _ANSWER


def test_peer_is_not_unresponsive_while_a_body_arrives():
    """Guards against a node that gets no calls while it receives an upload."""

    async def scenario() -> int:
        pair = _Pair(_run_for(0.0), 100_000.0)
        await asyncio.sleep(0.1)
        call = asyncio.create_task(pair.call(500_000))
        checks = 0
        while not call.done():
            await asyncio.sleep(0.01)
            checks += pair.entry.is_unresponsive
        return checks

    assert virtual_time.run(scenario()) == 0


def test_unsafe_call_is_not_marked_as_repeatable():
    """Guards against ending the only attempt of a call early."""

    async def scenario() -> list[bool]:
        entry = test_gateway_entry._Entry([_ANSWER, _ANSWER, _ANSWER])
        await entry.serve(is_idempotent=False)
        await entry.serve(max_attempts=1)
        await entry.serve(max_attempts=2)
        return [call.may_repeat for call in entry.sent]

    assert virtual_time.run(scenario()) == [False, False, True]


def test_receipts_do_not_answer_receipts():
    """Guards against two nodes that send pongs to each other for ever."""

    async def scenario() -> int:
        pair = _Pair(_run_for(0.0), 10_000.0)
        await asyncio.sleep(10.0)
        before = pair.forward.writes + pair.backward.writes
        await asyncio.sleep(10.0)
        return pair.forward.writes + pair.backward.writes - before

    # One probe or answer of each side in a heartbeat interval.
    assert virtual_time.run(scenario()) <= 4 * 10
