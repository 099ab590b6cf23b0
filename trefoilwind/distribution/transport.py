"""Peer streams of a node: listening, connecting and heartbeats."""

import collections
from collections.abc import Callable
import contextlib
import logging
import socket
import threading

from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.distribution import admission
from trefoilwind.distribution import frames
from trefoilwind.distribution import links
from trefoilwind.distribution import messages
from trefoilwind.distribution import ports
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.model import addresses

logger = logging.getLogger(__name__)

_STEP = "stream.connect"
_LISTEN_BACKLOG = 128
_HEARTBEAT_CHECK_S = 0.25
_MAX_REFUSED_OPEN = 32
_FINISH_CHECK_S = 0.01


class Transport:
    """All peer streams of a node. Methods may be called by any thread."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings.streams
        self._clock = environment.clock
        self._lock = threading.Lock()
        self._streams: dict[str, list[stream_lib.PeerStream]] = {}
        self._connecting: set[str] = set()
        self._stopped = threading.Event()
        self._listener: socket.socket | None = None
        self._accept_limit = admission.AcceptLimit(
            self._clock, self._settings.max_accepts_per_s
        )
        self._refused_connections: collections.deque[socket.socket] = (
            collections.deque()
        )
        self.on_message: Callable = lambda peer, message: None
        self.on_call_frame: Callable = lambda stream, frame: None
        self.on_connected: Callable = lambda peer: None
        self.on_lost: Callable = lambda peer: None
        self.on_stream_closed: Callable = lambda stream: None

    @property
    def peers(self) -> tuple[str, ...]:
        """Ids of the peers with a live stream, sorted."""
        with self._lock:
            return tuple(sorted(self._streams))

    @property
    def streams(self) -> tuple[stream_lib.PeerStream, ...]:
        """All live streams."""
        with self._lock:
            return tuple(s for group in self._streams.values() for s in group)

    def listen(self) -> addresses.Address | errors.StreamError:
        """Bind the peer address; return it with its port, or an error."""
        address = self._environment.settings.peer_address
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((address.host, address.port))
            listener.listen(_LISTEN_BACKLOG)
        except OSError as error:
            listener.close()
            return errors.StreamError(
                errors.Reason.ADDRESS_IN_USE,
                "stream.listen",
                str(address),
                error.strerror or "",
            )
        self._listener = listener
        bound = addresses.Address(address.host, listener.getsockname()[1])
        self._environment.peer_address = bound
        return bound

    def start(self) -> None:
        """Accept streams and send heartbeats until `stop`."""
        for target in (self._accept, self._send_heartbeats):
            threading.Thread(
                target=target, name=target.__name__, daemon=True
            ).start()

    def stop(self) -> None:
        """Close the listener and all streams."""
        self._stopped.set()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
        for stream in self.streams:
            stream.close()

    def finish(self, deadline: float) -> None:
        """Write queued frames on all streams and shut down their sending sides.

        Args:
            deadline: Monotonic time in seconds until which to wait.
        """
        for stream in self.streams:
            stream.finish(deadline)
        # A peer closes its side once it has read everything.
        while self.streams and self._clock.monotonic() < deadline:
            self._stopped.wait(_FINISH_CHECK_S)

    def send(self, envelope: ports.Envelope) -> None:
        """Send a control message.

        Without a stream to the peer the message is dropped and a connection
        is attempted.
        """
        stream = self.find(envelope.peer)
        if stream is None:
            self.connect_later(envelope.peer, envelope.address)
            return
        stamp = self._environment.events.hybrid_clock.now()
        payload = codec.encode(envelope.message)
        self._environment.metrics.control_sent(len(payload))
        stream.send(frames.Control(stamp.wall_ms, stamp.counter, payload))

    def find(self, peer: str) -> stream_lib.PeerStream | None:
        """Return a live stream to a peer, or None."""
        with self._lock:
            streams = self._streams.get(peer)
            return streams[-1] if streams else None

    def connect(
        self, address: addresses.Address
    ) -> stream_lib.PeerStream | errors.StreamError:
        """Connect to an address and wait for the peer's `Hello`."""
        try:
            connection = socket.create_connection(
                (address.host, address.port),
                timeout=self._settings.connect_timeout_s,
            )
        except OSError as error:
            return errors.StreamError(
                errors.Reason.PEER_UNREACHABLE,
                _STEP,
                str(address),
                error.strerror or type(error).__name__,
            )
        connection.settimeout(None)
        hello_received = threading.Event()
        stream = self._start_stream(connection, hello_received)
        if not hello_received.wait(self._settings.connect_timeout_s):
            stream.close()
            return errors.StreamError(
                errors.Reason.PEER_SILENT, _STEP, str(address)
            )
        return stream

    def connect_later(
        self, peer: str, address: addresses.Address | None = None
    ) -> None:
        """Connect on a new thread, unless an attempt is in progress.

        There is a single attempt: callers that want a stream repeat it with
        a backoff.
        """
        member = self._environment.blackboard.members.value.by_node.get(peer)
        target = address or (member.peer_address if member else None)
        key = str(target)
        with self._lock:
            if target is None or key in self._connecting:
                return
            if peer in self._streams or self._stopped.is_set():
                return
            self._connecting.add(key)
        threading.Thread(
            target=self._connect_once,
            args=(target, key),
            name=f"connect-{key}",
            daemon=True,
        ).start()

    def _connect_once(self, address: addresses.Address, key: str) -> None:
        result = self.connect(address)
        if isinstance(result, errors.Error):
            logger.debug("stream: %s", result)
        with self._lock:
            self._connecting.discard(key)

    def _start_stream(
        self,
        connection: socket.socket,
        hello_received: threading.Event | None = None,
    ) -> stream_lib.PeerStream:
        stream = stream_lib.PeerStream(connection, self._clock)

        def on_frame(stream, frame):
            if isinstance(frame, frames.Hello):
                self._register(stream)
                if hello_received is not None:
                    hello_received.set()
                return
            self._dispatch(stream, frame)

        # `Hello` must be the first frame: once the reader thread runs, other
        # threads may send.
        stream.send(self._hello())
        stream.start(on_frame, self._unregister)
        return stream

    def _hello(self) -> frames.Hello:
        return frames.Hello(
            frames.PROTOCOL_VERSION,
            self._environment.node_id,
            self._environment.settings.data_centre,
        )

    def _register(self, stream: stream_lib.PeerStream) -> None:
        with self._lock:
            streams = self._streams.setdefault(stream.peer, [])
            streams.append(stream)
            is_first = len(streams) == 1
        if is_first:
            self._environment.events.emit(
                events.PEER_CONNECTED, peer=stream.peer
            )
            self.on_connected(stream.peer)

    def _unregister(self, stream: stream_lib.PeerStream) -> None:
        with self._lock:
            streams = self._streams.get(stream.peer, [])
            was_registered = stream in streams
            if was_registered:
                streams.remove(stream)
            is_last = was_registered and not streams
            if is_last:
                del self._streams[stream.peer]
        self.on_stream_closed(stream)
        if is_last:
            self._environment.events.emit(events.PEER_LOST, peer=stream.peer)
            self.on_lost(stream.peer)

    def _dispatch(
        self, stream: stream_lib.PeerStream, frame: frames.Frame
    ) -> None:
        if isinstance(frame, frames.Control):
            self._handle_control(stream, frame)
        elif isinstance(frame, frames.Ping):
            stream.send(frames.Pong())
        elif not isinstance(frame, frames.Pong):
            self.on_call_frame(stream, frame)

    def _handle_control(
        self, stream: stream_lib.PeerStream, frame: frames.Control
    ) -> None:
        self._environment.metrics.control_received(len(frame.payload))
        message = codec.decode(frame.payload, "stream.control", stream.peer)
        if isinstance(message, errors.Error):
            logger.warning("stream: %s", message)
            return
        stamp = events.Stamp(frame.wall_ms, frame.counter)
        self._environment.events.hybrid_clock.merge(stamp)
        self.on_message(stream.peer, message)

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            if self._accept_limit.admit():
                self._start_stream(connection)
            else:
                self._refuse(connection)

    def _refuse(self, connection: socket.socket) -> None:
        """Refuse a connection and send contacts; starts no thread for it."""
        contacts = links.sample_contacts(
            self._environment, exclude="", count=links.CONTACTS_IN_REFUSAL
        )
        payload = codec.encode(messages.Refusal(contacts))
        stamp = self._environment.events.hybrid_clock.now()
        control = frames.Control(stamp.wall_ms, stamp.counter, payload)
        data = frames.encode(self._hello()) + frames.encode(control)
        with contextlib.suppress(OSError):
            connection.setblocking(False)
            connection.send(data)
            connection.shutdown(socket.SHUT_WR)
        # Closing at once could reset the connection before the peer reads.
        self._refused_connections.append(connection)
        while len(self._refused_connections) > _MAX_REFUSED_OPEN:
            self._refused_connections.popleft().close()

    def _send_heartbeats(self) -> None:
        checked = self._clock.monotonic()
        while not self._stopped.wait(_HEARTBEAT_CHECK_S):
            now = self._clock.monotonic()
            # A pause of this process is no evidence that the peers are silent.
            was_paused = now - checked > self._settings.silence_timeout_s / 2
            checked = now
            for stream in self.streams:
                if was_paused:
                    stream.reset_silence(now)
                self._check_stream(stream, now)

    def _check_stream(self, stream: stream_lib.PeerStream, now: float) -> None:
        if stream.silence_s(now) > self._settings.silence_timeout_s:
            logger.warning(
                "stream: peer %s exceeded the silence timeout; closing",
                stream.peer,
            )
            stream.close()
            return
        # While calls are in flight, received frames do not prove that sent
        # frames arrive, so heartbeats continue.
        is_busy = bool(stream.answer_sinks)
        since = stream.last_ping if is_busy else stream.last_sent
        if now - since > self._settings.heartbeat_interval_s:
            stream.ping()
