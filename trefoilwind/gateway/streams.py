"""Peer streams on the event loop, carrying frames of `distribution.frames`."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import logging
import socket

from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.gateway import unread
from trefoilwind.logs import decisions
from trefoilwind.routing import path_latency

logger = logging.getLogger(__name__)

_PING = frames.Ping()
_PONG = frames.Pong()
_BODY_FRAMES = (frames.CallBody, frames.AnswerBody)
# Unsent bytes, without those in the kernel, above which a stream accepts no new
# calls: on a congested link between regions, more bytes would take longer than
# callers wait.
MAX_UNSENT_BYTES = 128 * 1024


@dataclasses.dataclass(frozen=True)
class StreamTimes:
    """Timeouts of a stream.

    Attributes:
        heartbeat_s: Seconds between heartbeats on an idle stream.
        silence_s: Seconds without a received byte after which a stream is
            replaced, and closed unless calls are in flight on it.
        probe_s: Seconds without a received byte after which a peer with
            pending answers is probed.
        probe_timeout_s: Seconds without an answer to a probe after which a
            peer is sent no new calls.
    """

    heartbeat_s: float
    silence_s: float
    probe_s: float = 0.25
    probe_timeout_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class StreamEvents:
    """Callbacks for events of a stream; none of them may block.

    Attributes:
        opened: Called when the peer has identified itself.
        received: Called with each frame that the stream does not handle
            itself.
        silent: Called when nothing was received within the silence timeout
            while calls are in flight; the stream is not to be used for others.
        closed: Called when the stream is closed.
        displaced: Called with the id of the expected node if another node
            answered at its address.
    """

    opened: Callable[["Stream"], None]
    received: Callable[["Stream", frames.Frame], None]
    silent: Callable[["Stream"], None]
    closed: Callable[["Stream"], None]
    displaced: Callable[[str], None]


class Stream(asyncio.Protocol):
    """A connection to a peer.

    Frames sent within one iteration of the event loop are written together.
    Bodies are written one after the other, by chunks, whenever all earlier
    bytes are in the kernel, so that other frames do not wait behind them.
    """

    def __init__(
        self,
        hello: frames.Hello,
        times: StreamTimes,
        events: StreamEvents,
        expected: str = "",
    ):
        """Initialize a stream.

        Args:
            hello: First frame sent by this side.
            times: Timeouts of the stream.
            events: Callbacks for events of the stream.
            expected: Id of the node that was dialed; empty if the peer
                opened the stream. The stream is closed if another node
                answers.
        """
        self._hello = hello
        self._times = times
        self._events = events
        self._expected = expected
        self._loop = asyncio.get_running_loop()
        self._decoder = frames.Decoder()
        self._transport: asyncio.Transport | None = None
        self._peer: str = ""
        self._peer_data_centre: str = ""
        self._unsent: list[bytes] = []
        # Unsent chunks of bodies by call id, the next body first.
        self._bodies: dict[
            int, collections.deque[frames.CallBody | frames.AnswerBody]
        ] = {}
        self._body_bytes = 0
        self._is_write_paused = False
        self._last_received = self._loop.time()
        self._last_sent = self._last_received
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        self._is_silent = False
        self._probed_at = 0.0
        # Bytes sent since the last byte was received.
        self._sent_since_received = 0
        self._min_latency_s = float("inf")
        # Time at which a frame was sent whose answer gives a round trip; 0 if
        # none is awaited.
        self._round_trip_since = 0.0
        self._round_trips = path_latency.RoundTrips()
        # Calls sent to the peer that have no answer yet.
        self._pending_answers = 0
        # Calls of the peer that arrive or run here; end of the last one.
        self._running_calls = 0
        self._run_ended = self._last_received
        self._is_silence_reported = False
        self._is_finished = False
        self._is_ending = False
        # Largest id of a call of the peer.
        self._last_call_id = 0
        # Done once the stream is silent or closed.
        self._ended = self._loop.create_future()

    @property
    def peer(self) -> str:
        """Id of the peer; empty until it has identified itself."""
        return self._peer

    @property
    def peer_data_centre(self) -> str:
        """Data centre of the peer; empty until it has identified itself."""
        return self._peer_data_centre

    @property
    def is_dialed(self) -> bool:
        """True if this side opened the stream."""
        return bool(self._expected)

    @property
    def is_closed(self) -> bool:
        """True once the stream is closed."""
        return self._is_closed

    @property
    def is_silent(self) -> bool:
        """True if the stream only stays open for the calls in flight on it."""
        return self._is_silent

    @property
    def is_ending(self) -> bool:
        """True once the peer has said that it accepts no further calls."""
        return self._is_ending

    @property
    def pending_answers(self) -> int:
        """Number of calls sent to the peer that have no answer yet."""
        return self._pending_answers

    @property
    def silence_s(self) -> float:
        """Seconds since the last byte of the peer was received."""
        return self._loop.time() - self._last_received

    @property
    def round_trip_s(self) -> float:
        """Round trip in seconds without delays; negative if unknown."""
        return self._round_trips.seconds

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be sent, without those in the kernel."""
        return self._transport.get_write_buffer_size() + self._body_bytes

    def is_congested(self, has_chunks: bool) -> bool:
        """Return True if a new call would wait too long behind unsent bytes.

        Args:
            has_chunks: True if its body is sent in chunks, after the bodies of
                other calls.
        """
        waiting = self._transport.get_write_buffer_size()
        if has_chunks:
            waiting += self._body_bytes
        return waiting > MAX_UNSENT_BYTES

    @property
    def is_unresponsive(self) -> bool:
        """True if the peer has not answered a probe in time."""
        if self._probed_at <= self._last_received:
            return False
        elapsed_s = self._loop.time() - self._probed_at
        if elapsed_s <= self._times.probe_timeout_s:
            return False
        return not self.has_unread

    @property
    def has_unread(self) -> bool:
        """True if bytes of the peer wait to be read, as this node is late."""
        return unread.is_readable(self._transport)

    def queueing_delay_s(self, sent_at: float) -> float:
        """Return the latency of a frame above the minimum of this stream.

        The clocks of the two nodes need not agree: only the difference to the
        smallest latency seen on this stream is used, in which the offset
        between the clocks cancels out.

        Args:
            sent_at: Event loop time in seconds of the peer at which it was
                sent.
        """
        latency_s = self._last_received - sent_at
        self._min_latency_s = min(self._min_latency_s, latency_s)
        return latency_s - self._min_latency_s

    async def wait_ended(self) -> None:
        """Wait until the stream is closed or must not be used any more."""
        await asyncio.shield(self._ended)

    def begin_call(self) -> None:
        """Count a call sent to the peer; its answer is awaited.

        The peer is probed sooner while it has calls to answer.
        """
        self._pending_answers += 1
        if self._pending_answers == 1 and self._timer is not None:
            self._schedule()

    def end_call(self) -> None:
        """Count the end of a call sent to the peer."""
        self._pending_answers -= 1
        self._close_if_unused()

    def begin_run(self) -> None:
        """Count a call of the peer that arrives or runs here."""
        self._running_calls += 1

    def end_run(self) -> None:
        """Count the end of a call of the peer."""
        self._running_calls -= 1
        self._run_ended = self._loop.time()

    def send(self, frame: frames.Frame) -> None:
        """Send a frame at the end of this iteration of the event loop."""
        if self._is_closed or self._is_finished:
            return
        if not self._unsent and not self._bodies:
            self._loop.call_soon(self._flush)
        if isinstance(frame, _BODY_FRAMES):
            # Encoded when it is written, so that the body is not copied.
            chunks = self._bodies.setdefault(frame.call_id, collections.deque())
            chunks.append(frame)
            self._body_bytes += len(frame.chunk)
            return
        self._unsent.append(frames.encode(frame))

    def discard_body(self, call_id: int) -> None:
        """Do not send the rest of the body of a call that has ended."""
        for frame in self._bodies.pop(call_id, ()):
            self._body_bytes -= len(frame.chunk)

    def finish(self) -> None:
        """Send the unsent frames and end this side of the connection.

        The peer closes it once it has read everything. Closed by this side,
        the connection would be reset by the next frame of the peer, and what
        the peer has not received yet would be lost. The calls that this side
        has not received have not run, which the last frame tells.
        """
        if self._transport is None or self._is_closed or self._is_finished:
            return
        self.send(frames.GoAway(self._last_call_id))
        self._flush_all()
        self._is_finished = True
        if not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        """Send the unsent frames and close the stream."""
        if self._transport is not None and not self._is_closed:
            self._flush_all()
            self._transport.close()

    def abort(self) -> None:
        """Close the stream at once, discarding unsent frames."""
        if self._transport is not None:
            self._transport.abort()

    def end(self) -> None:
        """End a stream whose connection was not established completely.

        The event loop closes such a connection without a callback, also if the
        peer has identified itself already.
        """
        self.abort()
        self.connection_lost(None)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello frame and start the liveness checks."""
        self._transport = transport
        # Reports each time that the kernel has taken all bytes.
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.send(self._hello)
        self._last_received = self._loop.time()
        if self.is_dialed:
            # The peer says hello when it learns of the connection.
            self._round_trip_since = self._last_received
        self._schedule()

    def pause_writing(self) -> None:
        """Send no bodies until the kernel has taken all bytes."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Send bodies again."""
        self._is_write_paused = False
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Decode and handle frames."""
        self._last_received = self._loop.time()
        self._sent_since_received = 0
        self._is_silence_reported = False
        received = self._decoder.feed(data)
        if isinstance(received, errors.StreamError):
            logger.warning(
                "stream: invalid bytes: %s; closing the stream with %s",
                received,
                self._peer,
            )
            self.abort()
            return
        for frame in received:
            self._handle_frame(frame)
        if self._owes_receipt(received):
            self.send(_PONG)

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the stream is closed."""
        if self._is_closed:
            return
        self._is_closed = True
        self._unsent.clear()
        self._bodies.clear()
        self._body_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._end()
        self._events.closed(self)

    def _handle_frame(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Ping):
            self.send(_PONG)
        elif isinstance(frame, frames.Pong):
            self._end_round_trip()
        elif isinstance(frame, frames.Hello):
            self._handle_hello(frame)
        elif self._peer:
            if isinstance(frame, frames.CallOpen):
                self._last_call_id = max(self._last_call_id, frame.call_id)
            elif isinstance(frame, frames.GoAway):
                self._is_ending = True
            self._events.received(self, frame)
        else:
            logger.warning("stream: received a frame before the hello; closing")
            self.abort()

    def _handle_hello(self, hello: frames.Hello) -> None:
        if hello.protocol != frames.PROTOCOL_VERSION or self._peer:
            logger.warning(
                "stream: unexpected hello from %s; closing", hello.node_id
            )
            self.abort()
            return
        if self._expected not in ("", hello.node_id):
            logger.info(
                "stream: node %s answered at the address of node %s; closing",
                hello.node_id,
                self._expected,
            )
            self._events.displaced(self._expected)
            self.abort()
            return
        self._peer = hello.node_id
        self._peer_data_centre = hello.data_centre
        self._end_round_trip()
        self._events.opened(self)

    def _end_round_trip(self) -> None:
        if self._round_trip_since:
            elapsed_s = self._loop.time() - self._round_trip_since
            self._round_trips = self._round_trips.with_sample(elapsed_s)
            self._round_trip_since = 0.0

    def _flush(self) -> None:
        """Write all frames except bodies, then bodies while they are taken."""
        if self._is_closed or self._transport.is_closing():
            return
        if self._unsent:
            data = b"".join(self._unsent)
            self._unsent.clear()
            self._write(data)
        while self._bodies and not self._is_write_paused:
            self._write(self._next_chunk())

    def _flush_all(self) -> None:
        """Write all frames, also bodies that the kernel does not take yet."""
        self._flush()
        while self._bodies and not self._transport.is_closing():
            self._write(self._next_chunk())

    def _write(self, data: bytes) -> None:
        self._last_sent = self._loop.time()
        self._sent_since_received += len(data)
        self._transport.write(data)

    def _next_chunk(self) -> bytes:
        """Remove a chunk of the next body.

        Bodies that took turns would all arrive late on a full path.
        """
        call_id, chunks = next(iter(self._bodies.items()))
        frame = chunks.popleft()
        self._body_bytes -= len(frame.chunk)
        if not chunks:
            del self._bodies[call_id]
        return frames.encode(frame)

    def _schedule(self) -> None:
        """Set the timer to the time at which the peer may have to be probed.

        A node has many streams and most are idle, so their timers run once per
        heartbeat, not once per probe interval.
        """
        check_at = self._next_check_at()
        if self._timer is not None:
            if self._timer.when() <= check_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(check_at, self._check_liveness)

    def _next_check_at(self) -> float:
        now = self._loop.time()
        if self._probed_at > self._last_received:
            silent_at = self._last_received + self._times.silence_s
            return min(silent_at, now + self._times.heartbeat_s)
        due_at = self._last_received + self._probe_after_s
        return max(due_at, now + self._times.probe_s / 2)

    def _check_liveness(self) -> None:
        self._timer = None
        now = self._loop.time()
        if now - self._last_received >= self._times.silence_s:
            if self.has_unread and not self._transport.is_closing():
                self._timer = self._loop.call_later(
                    unread.READ_DELAY_S, self._check_liveness
                )
            else:
                self._handle_silence(now)
            return
        if self._needs_probe(now):
            self._probed_at = now
            self._round_trip_since = now
            self.send(_PING)
        self._schedule()

    def _owes_receipt(self, received: list[frames.Frame]) -> bool:
        """Return True if the peer has to be told that its bytes arrive.

        Its probes wait behind the body of a call, which may take longer than
        the silence timeout.
        """
        if self._unsent or self._is_closed:
            return False
        if received and all(isinstance(f, frames.Pong) for f in received):
            return False
        interval_s = self._times.heartbeat_s
        if self._running_calls:
            interval_s = min(interval_s, self._times.probe_timeout_s)
        return self._loop.time() - self._last_sent >= interval_s

    def _handle_silence(self, now: float) -> None:
        """Replace the stream; calls in flight may still be answered on it."""
        if not self._is_silence_reported:
            self._is_silence_reported = True
            self._report_silence()
        if self._pending_answers:
            self._is_silent = True
            self._end()
            self._events.silent(self)
            self._close_if_unused()
        elif self._running_calls or now - self._run_ended < (
            self._times.silence_s
        ):
            # The peer may still wait for their answers.
            self._timer = self._loop.call_later(
                self._times.heartbeat_s, self._check_liveness
            )
        elif self.unsent_bytes and not self._transport.is_closing():
            # The rest of an answer; the peer may only be slow to read.
            self.close()
            self._timer = self._loop.call_later(
                self._times.silence_s, self.abort
            )
        else:
            self.abort()

    def _close_if_unused(self) -> None:
        if self._is_silent and not self._pending_answers:
            self.abort()

    def _end(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)

    def _report_silence(self) -> None:
        decisions.failure(
            logger,
            "stream_silent",
            "stream: no data from the peer within the silence timeout",
            peer=self._peer,
            dialed=self.is_dialed,
            pending_answers=self._pending_answers,
            running_calls=self._running_calls,
            unsent_bytes=self.unsent_bytes,
            sent_bytes=self._sent_since_received,
        )

    @property
    def _probe_after_s(self) -> float:
        """Seconds without a received byte after which the peer is probed."""
        if self._pending_answers:
            return self._times.probe_s
        return self._times.heartbeat_s

    def _needs_probe(self, now: float) -> bool:
        if self._probed_at > self._last_received:
            return False
        return now - self._last_received >= self._probe_after_s
