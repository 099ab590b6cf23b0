"""Tests of calls over paths that are slow or full, but not silent."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from tests import virtual_time
from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import stream_calls
from trefoilwind.gateway import streams
from trefoilwind.logs import json_lines

_TIMES = streams.StreamTimes(1.0, 3.0)
_PACKET_BYTES = 1500
_ANSWER = http_types.HttpAnswer(200, (), b"done")
_DEADLINE_S = 30.0

Run = Callable[[calls.Call], Awaitable[calls.Outcome]]


class _Link(asyncio.Transport):
    """One direction of a connection; sends packets at a limited rate."""

    def __init__(self, bytes_per_s: float):
        super().__init__()
        self._bytes_per_s = bytes_per_s
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0
        self._unsent = 0
        # Bytes written so far.
        self.bytes = 0
        self._is_paused = False
        self._is_cut = False
        self.receiver: streams.Stream | None = None
        self.sender: streams.Stream | None = None

    def cut(self) -> None:
        """Lose all packets from now on."""
        self._is_cut = True

    def stall(self, seconds: float) -> None:
        """Send nothing for some seconds."""
        now = self._loop.time()
        self._free_at = max(now, self._free_at) + seconds

    def get_extra_info(self, name, default=None):
        """Return nothing."""
        return default

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits; both are 0."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait to be sent."""
        return self._unsent

    def is_closing(self) -> bool:
        """Return True once the sender's stream is closed."""
        return self.sender.is_closed

    def write(self, data) -> None:
        """Send bytes, one packet after the other."""
        for start in range(0, len(data), _PACKET_BYTES):
            packet = bytes(data[start : start + _PACKET_BYTES])
            start_at = max(self._loop.time(), self._free_at)
            self._free_at = start_at + len(packet) / self._bytes_per_s
            self._unsent += len(packet)
            self.bytes += len(packet)
            self._loop.call_at(self._free_at, self._deliver, packet)
        if self._unsent and not self._is_paused:
            self._is_paused = True
            self.sender.pause_writing()

    def close(self) -> None:
        """Close the connection at both ends."""
        self.abort()

    def abort(self) -> None:
        """Close the connection; the peer learns it after the sent bytes."""
        if not self.sender.is_closed:
            self._loop.call_soon(self.sender.connection_lost, None)
            self._loop.call_at(
                max(self._loop.time(), self._free_at), self._end_receiver
            )

    def _deliver(self, packet: bytes) -> None:
        self._unsent -= len(packet)
        if not self._unsent and not self.sender.is_closed:
            self._is_paused = False
            self.sender.resume_writing()
        if not self._is_cut and not self.receiver.is_closed:
            self.receiver.data_received(packet)

    def _end_receiver(self) -> None:
        if not self._is_cut and not self.receiver.is_closed:
            self.receiver.connection_lost(None)


class _Pair:
    """An entry node's and a target node's stream over a pair of links."""

    def __init__(
        self,
        run: Run,
        bytes_per_s: float,
        answer_bytes_per_s: float,
        refuse: Callable[[calls.Call], calls.Outcome | None] = lambda call: (
            None
        ),
    ):
        self.remote = stream_calls.RemoteCalls()
        self.incoming = stream_calls.IncomingCalls(run, lambda: 1 << 30, refuse)
        self.entry = self._stream("entry", "target", self.remote)
        self.target = self._stream("target", "", self.incoming)
        self.forward = _Link(bytes_per_s)
        self.backward = _Link(answer_bytes_per_s)
        self.forward.sender, self.forward.receiver = self.entry, self.target
        self.backward.sender, self.backward.receiver = self.target, self.entry
        self.entry.connection_made(self.forward)
        self.target.connection_made(self.backward)

    def _stream(self, name: str, expected: str, handler) -> streams.Stream:
        hello = frames.Hello(frames.PROTOCOL_VERSION, name, "d")
        events = streams.StreamEvents(
            lambda stream: None,
            handler.handle_frame,
            getattr(handler, "end_repeatable", lambda stream: None),
            handler.closed,
            lambda node_id: None,
        )
        return streams.Stream(hello, _TIMES, events, expected)

    async def call(self, size: int, **changes) -> calls.Outcome:
        """Run a call with a body of some bytes; return its outcome."""
        await asyncio.sleep(0.1)
        deadline = asyncio.get_running_loop().time() + _DEADLINE_S
        call = fakes.call(body=b"x" * size, deadline=deadline, **changes)
        return await self.remote.run(self.entry, call)


async def _run_at_once(call: calls.Call) -> calls.Outcome:
    return calls.Outcome(_ANSWER)


def test_call_whose_body_arrives_slowly_is_not_given_up():
    """Guards against probes that wait behind the body they are to judge."""

    async def scenario() -> calls.Outcome:
        pair = _Pair(_run_at_once, 60_000.0, 1e6)
        return await pair.call(300_000)

    outcome = virtual_time.run(scenario())
    assert outcome.result == _ANSWER


def test_small_call_behind_a_slow_body_is_not_given_up():
    async def scenario() -> list[calls.Outcome]:
        pair = _Pair(_run_at_once, 20_000.0, 1e6)
        large = asyncio.create_task(pair.call(100_000))
        await asyncio.sleep(0.2)
        return [await pair.call(10), await large]

    outcomes = virtual_time.run(scenario())
    assert [outcome.result for outcome in outcomes] == [_ANSWER, _ANSWER]


def test_small_call_does_not_wait_behind_a_large_body():
    """Guards against calls that are late because others send large bodies."""

    async def scenario() -> tuple[calls.Outcome, float]:
        pair = _Pair(_run_at_once, 60_000.0, 1e6)
        large = asyncio.create_task(pair.call(300_000))
        await asyncio.sleep(0.2)
        started = asyncio.get_running_loop().time()
        outcome = await pair.call(10)
        elapsed_s = asyncio.get_running_loop().time() - started
        assert (await large).result == _ANSWER
        return outcome, elapsed_s

    outcome, elapsed_s = virtual_time.run(scenario())
    assert outcome.result == _ANSWER
    # The rest of two chunks, of which one is in the kernel.
    assert elapsed_s <= 2 * frames.MAX_CHUNK_BYTES / 60_000.0 + 0.2


def test_call_that_is_refused_is_told_before_its_body_has_arrived():
    """Guards against paths that are filled with bodies of refused calls."""
    refusal = errors.CallError(
        errors.Reason.DRAINING, "target.admit", "target", not_run=True
    )

    async def scenario() -> tuple[calls.Outcome, float, int]:
        pair = _Pair(
            _run_at_once, 60_000.0, 1e6, lambda call: calls.Outcome(refusal)
        )
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome = await pair.call(600_000)
        elapsed_s = loop.time() - started
        await asyncio.sleep(20.0)
        return outcome, elapsed_s, pair.forward.bytes

    outcome, elapsed_s, sent = virtual_time.run(scenario())
    assert outcome.result == refusal
    assert elapsed_s <= frames.MAX_CHUNK_BYTES / 60_000.0 + 0.2
    assert sent <= 3 * frames.MAX_CHUNK_BYTES


def test_bodies_on_one_stream_arrive_one_after_the_other():
    """Guards against bodies that share a full path until all are late."""

    async def scenario() -> tuple[float, float]:
        pair = _Pair(_run_at_once, 60_000.0, 1e6)
        loop = asyncio.get_running_loop()
        started = loop.time()
        ends = []
        for _ in range(2):
            call = asyncio.create_task(pair.call(190_000))
            call.add_done_callback(lambda _: ends.append(loop.time()))
        await asyncio.sleep(10.0)
        return ends[0] - started, ends[1] - started

    first_s, second_s = virtual_time.run(scenario())
    # A chunk of each body travels with the head of its call.
    assert first_s <= (190_000 + frames.MAX_CHUNK_BYTES) / 60_000.0 + 0.5
    assert second_s <= 380_000 / 60_000.0 + 0.5


def test_bodies_on_their_way_count_as_load():
    """Guards against a node that looks idle while its path is full."""

    async def scenario() -> tuple[int, int]:
        pair = _Pair(_run_at_once, 60_000.0, 1e6)
        sizes = (90_000, 100_000)
        pending = [asyncio.create_task(pair.call(size)) for size in sizes]
        await asyncio.sleep(2.5)
        arriving = pair.incoming.arriving
        await asyncio.gather(*pending)
        return arriving, pair.incoming.arriving

    assert virtual_time.run(scenario()) == (2, 0)


def test_body_of_a_call_that_was_given_up_is_not_sent_to_its_end():
    """Guards against links that are filled with bodies nobody waits for."""

    async def scenario() -> int:
        pair = _Pair(_run_at_once, 60_000.0, 1e6)
        large = asyncio.create_task(pair.call(600_000))
        await asyncio.sleep(1.0)
        large.cancel()
        await asyncio.sleep(20.0)
        assert pair.incoming.in_flight == 0
        assert pair.entry.unsent_bytes == 0
        return pair.forward.bytes

    assert virtual_time.run(scenario()) <= 3 * frames.MAX_CHUNK_BYTES


def test_call_that_may_not_be_repeated_waits_for_a_late_answer():
    """Guards against giving up a call at which its backend server works."""

    async def scenario() -> calls.Outcome:
        pair = _Pair(_run_at_once, 1e6, 1e6)
        await asyncio.sleep(0.1)
        pair.backward.stall(_TIMES.silence_s + 1.0)
        return await pair.call(10)

    outcome = virtual_time.run(scenario())
    assert outcome.result == _ANSWER


def test_call_that_may_be_repeated_ends_when_its_peer_is_silent():
    async def scenario() -> tuple[calls.Outcome, float, bool]:
        pair = _Pair(_run_at_once, 1e6, 1e6)
        await asyncio.sleep(0.1)
        pair.forward.cut()
        pair.backward.cut()
        started = asyncio.get_running_loop().time()
        outcome = await pair.call(10, may_repeat=True)
        elapsed_s = asyncio.get_running_loop().time() - started
        await asyncio.sleep(0.1)
        return outcome, elapsed_s, pair.entry.is_closed

    outcome, elapsed_s, is_closed = virtual_time.run(scenario())
    assert outcome.result.reason is errors.Reason.PEER_UNREACHABLE
    assert not outcome.result.not_run
    assert elapsed_s <= _TIMES.silence_s + 0.5
    assert is_closed


def test_silent_stream_takes_no_new_calls_and_closes_after_its_last_one():
    async def scenario() -> None:
        pair = _Pair(_run_at_once, 1e6, 1e6)
        await asyncio.sleep(0.1)
        pair.backward.stall(_TIMES.silence_s + 2.0)
        first = asyncio.create_task(pair.call(10))
        await pair.entry.wait_ended()
        assert pair.entry.is_silent
        assert not pair.entry.is_closed
        refused = (await pair.call(10)).result
        assert refused.reason is errors.Reason.PEER_UNREACHABLE
        assert refused.not_run
        assert (await first).result == _ANSWER
        await asyncio.sleep(0.01)
        assert pair.entry.is_closed

    virtual_time.run(scenario())


def test_run_of_a_call_is_not_cut_while_its_entry_node_is_silent():
    """Guards against cutting a run that the entry node still waits for."""

    async def run_slowly(call: calls.Call) -> calls.Outcome:
        await asyncio.sleep(_TIMES.silence_s + 1.0)
        return calls.Outcome(_ANSWER)

    async def scenario() -> calls.Outcome:
        pair = _Pair(run_slowly, 1e6, 1e6)
        call = asyncio.create_task(pair.call(10))
        await asyncio.sleep(0.2)
        pair.forward.stall(_TIMES.silence_s + 3.0)
        return await call

    assert virtual_time.run(scenario()).result == _ANSWER


def test_call_cancelled_on_arrival_is_no_longer_in_flight():
    """Guards against calls that are counted as running for ever."""

    async def scenario() -> int:
        pair = _Pair(_run_at_once, 1e6, 1e6)
        await asyncio.sleep(0.1)
        call = frames.CallOpen(1, "GET", "/", [], 5.0, "r", 1, "", b"", True)
        both = frames.encode(call) + frames.encode(frames.Cancel(1))
        pair.target.data_received(both)
        assert pair.incoming.in_flight == 1
        await asyncio.sleep(0.1)
        return pair.incoming.in_flight

    assert virtual_time.run(scenario()) == 0


def test_closed_silent_stream_is_reported_with_the_bytes_on_their_way(caplog):
    async def scenario() -> None:
        pair = _Pair(_run_at_once, 1e6, 1e6)
        await asyncio.sleep(0.1)
        pair.forward.cut()
        pair.backward.cut()
        await pair.call(300_000, may_repeat=True)
        await pair.entry.wait_ended()

    with caplog.at_level("INFO"):
        virtual_time.run(scenario())
    fields = [getattr(r, json_lines.FIELDS, {}) for r in caplog.records]
    silent = {
        each["peer"]: each
        for each in fields
        if each.get("kind") == "stream_silent"
    }
    assert silent["target"]["dialed"]
    assert silent["target"]["pending_answers"] == 1
    assert silent["target"]["sent_bytes"] >= 300_000
    assert not silent["entry"]["dialed"]
