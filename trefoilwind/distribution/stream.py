"""One TCP stream to a peer, with a reader thread."""

from collections.abc import Callable
import contextlib
import logging
import socket
import threading
from typing import Any

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind.distribution import frames

logger = logging.getLogger(__name__)

_RECEIVE_BYTES = 256 * 1024


class PeerStream:
    """Duplex stream of frames. `send` may be called by any thread."""

    def __init__(
        self,
        connection: socket.socket,
        clock: clock_lib.Clock,
        peer: str = "",
    ):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection = connection
        self._clock = clock
        self._peer = peer
        self._write_lock = threading.Lock()
        self._is_closed = False
        self._last_received = clock.monotonic()
        self._last_sent = clock.monotonic()
        self._decoder = frames.Decoder()
        self._next_call_id = 1
        # Frames of calls that this side opened, by call id.
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
    def last_received(self) -> float:
        """Monotonic time of the last received byte."""
        return self._last_received

    @property
    def last_sent(self) -> float:
        """Monotonic time of the last sent frame."""
        return self._last_sent

    def start(
        self,
        on_frame: Callable[["PeerStream", frames.Frame], None],
        on_close: Callable[["PeerStream"], None],
    ) -> None:
        """Start the reader thread.

        Args:
            on_frame: Called on the reader thread with each frame but `Hello`.
            on_close: Called once, on the reader thread.
        """
        thread = threading.Thread(
            target=self._read,
            args=(on_frame, on_close),
            name=f"stream-{self._peer or 'incoming'}",
            daemon=True,
        )
        thread.start()

    def send(self, frame: frames.Frame) -> errors.StreamError | None:
        """Send a frame; return an error if the stream is closed."""
        data = frames.encode(frame)
        try:
            with self._write_lock:
                self._connection.sendall(data)
        except OSError as error:
            self.close()
            return self._error(errors.Reason.PEER_UNREACHABLE, str(error))
        self._last_sent = self._clock.monotonic()
        return None

    def open_call(self, sink: Callable[[Any], None]) -> int:
        """Register the receiver of a call's frames; return the call's id."""
        with self._write_lock:
            call_id = self._next_call_id
            self._next_call_id += 1
        self.answer_sinks[call_id] = sink
        return call_id

    def close(self) -> None:
        """End the stream; the reader thread reports it."""
        if self._is_closed:
            return
        self._is_closed = True
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def _error(self, reason: errors.Reason, detail: str) -> errors.StreamError:
        return errors.StreamError(reason, "stream.send", self._peer, detail)

    def _read(self, on_frame: Any, on_close: Any) -> None:
        try:
            while not self._is_closed:
                data = self._connection.recv(_RECEIVE_BYTES)
                if not data or not self._take(data, on_frame):
                    break
        except OSError as error:
            logger.debug("stream: peer %s ended: %s", self._peer, error)
        finally:
            self._is_closed = True
            self._connection.close()
            on_close(self)

    def _take(self, data: bytes, on_frame: Any) -> bool:
        self._last_received = self._clock.monotonic()
        received = self._decoder.feed(data)
        if isinstance(received, errors.Error):
            logger.warning("stream: peer %s: %s", self._peer, received)
            return False
        for frame in received:
            if isinstance(frame, frames.Hello):
                if frame.protocol != frames.PROTOCOL_VERSION:
                    return False
                self._peer = frame.node_id
            elif not self._peer:
                return False
            on_frame(self, frame)
        return True
