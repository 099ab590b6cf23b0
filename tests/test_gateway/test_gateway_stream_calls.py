"""Calls of peers whose bodies find no room."""

import asyncio

import uvloop

from trefoilwind.distribution import frames
from trefoilwind.gateway import buffer_account
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import stream_calls

_CHUNK = bytes(frames.MAX_CHUNK_BYTES)
_TERMS = buffer_account.Terms(
    large_bytes=4 * len(_CHUNK),
    reserve_bytes=0,
    max_waiting=2,
    max_connections=10,
)


class _Stream:
    """Keeps what is sent to the peer."""

    peer = "n2"
    silence_s = 0.0

    def __init__(self):
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        self.sent.append(frame)

    def queueing_delay_s(self, sent_at: float) -> float:
        return 0.0

    def begin_run(self) -> None:
        pass

    def end_run(self) -> None:
        pass


def _open(call_id: int) -> frames.CallOpen:
    return frames.CallOpen(
        call_id, "PUT", "/", [], 9.0, "r", 0, "", _CHUNK, False, target_s=9.0
    )


def test_bodies_of_peers_are_bounded_and_refused_as_not_run():
    """Each was bounded, their sum was not."""

    async def run_call(call: calls.Call) -> calls.Outcome:
        return calls.Outcome(http_types.HttpAnswer(200, (), b""))

    async def scenario() -> None:
        account = buffer_account.BufferAccount(_TERMS)
        incoming = stream_calls.IncomingCalls(
            run_call, lambda: 1 << 30, account=account
        )
        stream = _Stream()
        for call_id in range(1, 5):
            incoming.handle_frame(stream, _open(call_id))
        assert not stream.sent
        incoming.handle_frame(stream, _open(5))
        incoming.handle_frame(stream, frames.CallBody(4, _CHUNK, False))
        refused = stream.sent
        assert [frame.call_id for frame in refused] == [5, 4]
        assert all(frame.not_run for frame in refused)
        incoming.handle_frame(stream, frames.CallBody(3, _CHUNK, True))
        await asyncio.sleep(0.01)
        assert stream.sent[-1].status == 200
        assert account.used_bytes == 2 * len(_CHUNK)
        incoming.closed(stream)
        assert account.used_bytes == 0

    uvloop.run(scenario())
