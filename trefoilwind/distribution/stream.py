"""One TCP stream to a peer, with a reader thread.

Sending never blocks on the socket: bytes that the kernel does not accept at
once are queued, and a writer thread writes them. Frames of calls wait for room
in the queue; heartbeats and credits overtake it.
"""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import logging
import select
import socket
import threading
from typing import Any

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind.distribution import frames

logger = logging.getLogger(__name__)

_RECEIVE_BYTES = 256 * 1024
# Frames of calls wait while more bytes than this are queued.
MAX_QUEUED_BYTES = 1024 * 1024
# A stream whose queue would exceed this is closed: its peer does not read.
MAX_BACKLOG_BYTES = 32 * 1024 * 1024
# Keeps the kernel's queue short, so that heartbeats are not delayed by bodies.
_NOTSENT_LOWAT_BYTES = 128 * 1024
_POLL_MS = 200
_NO_CALL = 0

_URGENT_FRAMES = frozenset(
    {frames.Ping, frames.Pong, frames.Credit, frames.GoAway}
)
_CALL_FRAMES = frozenset(
    {
        frames.CallOpen,
        frames.CallBody,
        frames.AnswerHead,
        frames.AnswerBody,
    }
)


@dataclasses.dataclass(slots=True)
class _Pending:
    """Queued bytes of one frame.

    Attributes:
        data: Bytes of the frame that are not written yet.
        opened: Id of the call that the frame opens; 0 if it opens none.
    """

    data: memoryview
    opened: int


class PeerStream:
    """Duplex stream of frames. `send` may be called by any thread."""

    def __init__(
        self,
        connection: socket.socket,
        clock: clock_lib.Clock,
        peer: str = "",
    ):
        _set_options(connection)
        self._connection = connection
        self._clock = clock
        self._peer = peer
        # Held only across system calls that do not block.
        self._lock = threading.Lock()
        self._queue_has_room = threading.Condition(self._lock)
        self._queue_has_data = threading.Condition(self._lock)
        self._urgent: collections.deque[_Pending] = collections.deque()
        self._queue: collections.deque[_Pending] = collections.deque()
        self._queued_bytes = 0
        self._has_writer = False
        self._is_closed = False
        self._unsent: frozenset[int] = frozenset()
        now = clock.monotonic()
        self._last_received = now
        self._last_sent = now
        self._stalled_since: float | None = None
        # Time of the last write of queued bytes.
        self._last_progress = -float("inf")
        self._last_ping = now
        # Time of the first heartbeat that is not answered yet.
        self._ping_sent: float | None = None
        self._decoder = frames.Decoder()
        self._next_call_id = 1
        self._last_accepted: int | None = None
        # Receivers of the frames of calls that this side opened, by call id.
        self.answer_sinks: dict[int, Callable[[Any], None]] = {}

    @property
    def peer(self) -> str:
        """Node id of the peer; empty before its `Hello`."""
        return self._peer

    @property
    def is_closed(self) -> bool:
        """True once the stream ended."""
        return self._is_closed

    @property
    def is_leaving(self) -> bool:
        """True once the peer announced that it accepts no further calls."""
        return self._last_accepted is not None

    @property
    def last_received(self) -> float:
        """Monotonic time of the last received byte."""
        return self._last_received

    @property
    def last_sent(self) -> float:
        """Monotonic time of the last sent frame."""
        return self._last_sent

    @property
    def last_ping(self) -> float:
        """Monotonic time of the last heartbeat."""
        return self._last_ping

    @property
    def queued_bytes(self) -> int:
        """Number of bytes in the send queue."""
        return self._queued_bytes

    def start(
        self,
        on_frame: Callable[["PeerStream", frames.Frame], None],
        on_close: Callable[["PeerStream"], None],
    ) -> None:
        """Start the reader thread.

        Args:
            on_frame: Called on the reader thread with each frame; it must not
                block.
            on_close: Called once, on the reader thread.
        """
        thread = threading.Thread(
            target=self._read,
            args=(on_frame, on_close),
            name=f"stream-{self._peer or 'incoming'}",
            daemon=True,
        )
        thread.start()

    def send(
        self, frame: frames.Frame, deadline: float | None = None
    ) -> errors.StreamError | None:
        """Send a frame or queue it.

        Args:
            frame: The frame.
            deadline: Monotonic time in seconds until which a frame of a call
                waits for room in the queue; None not to wait.

        Returns:
            None, or an error if the frame will not be sent completely.
        """
        kind = type(frame)
        data = frames.encode(frame)
        opened = frame.call_id if kind is frames.CallOpen else _NO_CALL
        with self._lock:
            if deadline is not None and kind in _CALL_FRAMES:
                self._wait_for_room(deadline)
            if self._is_closed:
                return self._error(
                    errors.Reason.PEER_UNREACHABLE, "stream is closed"
                )
            if self._queued_bytes > MAX_QUEUED_BYTES and kind in _CALL_FRAMES:
                return self._error(
                    errors.Reason.PEER_SILENT, "send queue is full"
                )
            failed = self._write(data, opened, kind in _URGENT_FRAMES)
        if failed is not None:
            self.close()
        return failed

    def ping(self) -> None:
        """Send a heartbeat; until it is answered the peer counts as silent."""
        self._last_ping = self._clock.monotonic()
        if self._ping_sent is None:
            self._ping_sent = self._last_ping
        self.send(frames.Ping())

    def silence_s(self, now: float) -> float:
        """Return the seconds since the stream last proved to work.

        An unanswered heartbeat and queued bytes that make no progress count
        as silence, even if the peer sends other frames. While the peer reads
        queued bytes, its answer to a heartbeat is not due: the heartbeat waits
        behind the bytes that are on their way.

        Args:
            now: Monotonic time in seconds.
        """
        since = max(self._last_received, self._last_progress)
        if self._ping_sent is not None:
            since = min(since, max(self._ping_sent, self._last_progress))
        if self._stalled_since is not None:
            since = min(since, self._stalled_since)
        return now - since

    def reset_silence(self, now: float) -> None:
        """Reset the measured silence, after a pause of this process.

        Args:
            now: Monotonic time in seconds.
        """
        self._last_received = now
        self._ping_sent = None
        if self._stalled_since is not None:
            self._stalled_since = now

    def open_call(self, sink: Callable[[Any], None]) -> int:
        """Register the receiver of a call's frames; return the call's id."""
        with self._lock:
            call_id = self._next_call_id
            self._next_call_id += 1
        self.answer_sinks[call_id] = sink
        return call_id

    def is_proven_unaccepted(self, call_id: int) -> bool:
        """Return True if the peer is proven not to have accepted a call.

        Either its first frame was not written completely, or the peer
        announced that it did not accept the call.

        Args:
            call_id: Id of a call that this side opened.
        """
        if call_id in self._unsent:
            return True
        return self._last_accepted is not None and call_id > self._last_accepted

    def finish(self, deadline: float) -> None:
        """Write queued frames, then shut down the sending side.

        Args:
            deadline: Monotonic time in seconds until which to wait.
        """
        with self._lock:
            while self._queued_bytes and not self._is_closed:
                remaining_s = deadline - self._clock.monotonic()
                if remaining_s <= 0 or not self._queue_has_room.wait(
                    remaining_s
                ):
                    break
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the stream; the reader thread then calls `on_close`."""
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
            self._unsent = frozenset(
                pending.opened for pending in self._queue if pending.opened
            )
            self._queue.clear()
            self._urgent.clear()
            self._queued_bytes = 0
            self._queue_has_room.notify_all()
            self._queue_has_data.notify_all()
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def _error(self, reason: errors.Reason, detail: str) -> errors.StreamError:
        return errors.StreamError(reason, "stream.send", self._peer, detail)

    def _wait_for_room(self, deadline: float) -> None:
        while self._queued_bytes > MAX_QUEUED_BYTES and not self._is_closed:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0 or not self._queue_has_room.wait(remaining_s):
                return

    def _write(
        self, data: bytes, opened: int, is_urgent: bool
    ) -> errors.StreamError | None:
        sent = 0
        if not self._queued_bytes:
            try:
                sent = self._connection.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                pass
            except OSError as error:
                return self._error(errors.Reason.PEER_UNREACHABLE, str(error))
            self._last_sent = self._clock.monotonic()
            if sent == len(data):
                return None
        rest = memoryview(data)[sent:]
        return self._enqueue(rest, opened, is_urgent and not sent)

    def _enqueue(
        self, data: memoryview, opened: int, is_urgent: bool
    ) -> errors.StreamError | None:
        if self._queued_bytes + len(data) > MAX_BACKLOG_BYTES:
            return self._error(
                errors.Reason.PEER_SILENT, "send backlog too large"
            )
        if not self._queued_bytes:
            self._stalled_since = self._clock.monotonic()
        queue = self._urgent if is_urgent else self._queue
        queue.append(_Pending(data, opened))
        self._queued_bytes += len(data)
        if not self._has_writer:
            self._has_writer = True
            threading.Thread(
                target=self._write_queued,
                name=f"stream-writer-{self._peer}",
                daemon=True,
            ).start()
        self._queue_has_data.notify()
        return None

    def _write_queued(self) -> None:
        poll = select.poll()
        poll.register(self._connection, select.POLLOUT)
        while True:
            with self._lock:
                while not self._queued_bytes and not self._is_closed:
                    self._queue_has_data.wait()
                if self._is_closed:
                    return
            if not poll.poll(_POLL_MS):
                continue
            with self._lock:
                failed = self._write_pending()
            if failed:
                self.close()
                return

    def _write_pending(self) -> bool:
        """Write until the kernel accepts no more; return True on failure."""
        try:
            while self._queued_bytes:
                queue = self._next_queue()
                pending = queue[0]
                sent = self._connection.send(pending.data, socket.MSG_DONTWAIT)
                self._record_written(sent)
                pending.data = pending.data[sent:]
                if pending.data:
                    self._requeue_partial(queue, pending)
                    return False
                queue.popleft()
        except BlockingIOError:
            return False
        except OSError as error:
            logger.debug(
                "stream: connection to peer %s failed: %s", self._peer, error
            )
            return True
        return False

    def _next_queue(self) -> collections.deque[_Pending]:
        # Urgent frames go first, but never into the middle of a frame.
        is_partial = bool(self._queue) and self._is_partial(self._queue[0])
        return self._queue if is_partial or not self._urgent else self._urgent

    @staticmethod
    def _is_partial(pending: _Pending) -> bool:
        return len(pending.data) != len(pending.data.obj)

    def _requeue_partial(
        self, queue: collections.deque[_Pending], pending: _Pending
    ) -> None:
        """Queue the rest of a frame before any other frame."""
        if queue is self._urgent:
            queue.popleft()
            self._queue.appendleft(pending)

    def _record_written(self, count: int) -> None:
        now = self._clock.monotonic()
        self._queued_bytes -= count
        self._last_sent = self._last_progress = now
        self._stalled_since = now if self._queued_bytes else None
        if self._queued_bytes <= MAX_QUEUED_BYTES:
            self._queue_has_room.notify_all()

    def _read(self, on_frame: Any, on_close: Any) -> None:
        try:
            while not self._is_closed:
                data = self._connection.recv(_RECEIVE_BYTES)
                if not data or not self._handle_data(data, on_frame):
                    break
        except OSError as error:
            logger.debug(
                "stream: connection to peer %s failed: %s", self._peer, error
            )
        finally:
            self.close()
            self._connection.close()
            on_close(self)

    def _handle_data(self, data: bytes, on_frame: Any) -> bool:
        self._last_received = self._clock.monotonic()
        received = self._decoder.feed(data)
        if isinstance(received, errors.Error):
            logger.warning(
                "stream: peer %s sent an invalid frame: %s",
                self._peer,
                received,
            )
            return False
        for frame in received:
            if isinstance(frame, frames.Hello):
                if frame.protocol != frames.PROTOCOL_VERSION:
                    return False
                self._peer = frame.node_id
            elif not self._peer:
                return False
            elif isinstance(frame, frames.Pong):
                self._ping_sent = None
            elif isinstance(frame, frames.GoAway):
                self._last_accepted = frame.last_call_id
            on_frame(self, frame)
        return True


def _set_options(connection: socket.socket) -> None:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _NOTSENT_LOWAT_BYTES
    )
