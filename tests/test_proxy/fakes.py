"""Scripted backend servers, a link that can go silent, a path of two nodes."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import struct
import threading
import time

import pytest

from trefoilwind import clock as clock_lib
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import frames
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members
from trefoilwind.proxy import backend as backend_lib
from trefoilwind.proxy import calls
from trefoilwind.proxy import remote as remote_lib
from trefoilwind.proxy import target as target_lib

WAIT_S = 10.0
LOOKUP = configuration_lib.ClassTarget("lookup", True, 1.0, 0.99, 1, 10.0)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; fail if it is not met within `WAIT_S`."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.005)


class ScriptedBackend:
    """Backend server that runs a script function for each connection."""

    def __init__(self, script: Callable[[socket.socket], None]):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> addresses.Address:
        return addresses.Address("127.0.0.1", self._listener.getsockname()[1])

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self.connections:
            connection.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections.append(connection)
                threading.Thread(
                    target=self._run, args=(connection,), daemon=True
                ).start()

    def _run(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            self._script(connection)


def read_head(connection: socket.socket) -> bytes:
    """Return a request's head and any bytes received with it."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            return data
        data += received
    return data


def cut_upload(connection: socket.socket) -> None:
    """Answer while an upload arrives, and reset the connection.

    The answer and the reset arrive while the client is blocked in sending.
    """
    read_head(connection)
    time.sleep(0.02)
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
    # With a linger time of zero, closing sends a reset.
    option = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    connection.close()


def check_no_part_is_whole(
    call: Callable[[calls.Request], calls.Answer | errors.CallError],
) -> None:
    """Upload to a server with the script `cut_upload`, and check the results.

    Args:
        call: Sends a request and returns its answer or an error.
    """
    for _ in range(20):
        chunks = (b"x" * 65536 for _ in range(1000))
        result = call(request(chunks, 65_536_000, "POST"))
        if isinstance(result, errors.CallError):
            assert not result.not_run
            continue
        with pytest.raises(calls.BodyCut):
            list(result.body)
        result.close()


def answers(text: bytes) -> Callable[[socket.socket], None]:
    """Return a script that answers each request with the same bytes."""

    def script(connection: socket.socket) -> None:
        while read_head(connection):
            connection.sendall(text)

    return script


def read_body(connection: socket.socket, received: bytes) -> int:
    """Read a body by its Content-Length; return the number of bytes read."""
    head, _, rest = received.partition(b"\r\n\r\n")
    if not head:
        return 0
    length = int(head.lower().split(b"content-length:")[1].split()[0])
    count = len(rest)
    while count < length:
        data = connection.recv(65536)
        if not data:
            return count
        count += len(data)
    return count


def request(
    chunks: Iterator[bytes] | None = None,
    length: int = 0,
    method: str = "GET",
    timeout_s: float = WAIT_S,
    path: str = "/x",
) -> calls.Request:
    """Return a request; a known body length is sent as Content-Length."""
    headers = (("Content-Length", str(length)),) if length > 0 else ()
    return calls.Request(
        service="catalogue",
        method=method,
        path=path,
        headers=headers,
        body=calls.Body(buffered=b"") if chunks is None else calls.Body(chunks),
        body_length=length,
        target=LOOKUP,
        deadline=time.monotonic() + timeout_s,
    )


def environment(
    node_id: str,
    streams: settings_lib.StreamSettings | None = None,
    **proxy,
) -> environment_lib.Environment:
    """Return the environment of a node without a log."""
    settings = settings_lib.NodeSettings(
        node_id=node_id,
        data_centre="perth-a",
        region="perth",
        log=settings_lib.LogSettings(url=""),
        streams=streams or settings_lib.StreamSettings(),
        proxy=settings_lib.ProxySettings(**proxy),
    )
    return environment_lib.make(settings, clock_lib.SystemClock(), seed=1)


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
        return near, far


class Link:
    """Forwards bytes in both directions; discards them while `is_silent`."""

    def __init__(self, target: addresses.Address):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._sockets: list[socket.socket] = []
        self.is_silent = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> addresses.Address:
        return addresses.Address("127.0.0.1", self._listener.getsockname()[1])

    def close(self) -> None:
        for connection in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(
                    (self._target.host, self._target.port)
                )
                self._sockets.extend((near, far))
                for ends in ((near, far), (far, near)):
                    threading.Thread(
                        target=self._forward, args=ends, daemon=True
                    ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                # While silent, neither bytes nor the end of the connection are
                # forwarded.
                if not self.is_silent:
                    sink.sendall(data)


class FakeTransport:
    """Transport that returns the same stream for any peer."""

    def __init__(self, stream: stream_lib.PeerStream):
        self.stream = stream

    def find(self, peer: str) -> stream_lib.PeerStream:
        return self.stream


class Path:
    """Entry and target side of calls, connected by one stream."""

    def __init__(
        self,
        backend: ScriptedBackend,
        sockets: tuple[socket.socket, socket.socket] | None = None,
        **proxy,
    ):
        self.member = members.Member(
            "target", 1, 1, "perth-a", addresses.Address()
        )
        clock = clock_lib.SystemClock()
        near, far = sockets or tcp_pair()
        self.near = stream_lib.PeerStream(near, clock)
        self.far = stream_lib.PeerStream(far, clock)
        self.environment = environment("target", **proxy)
        window = self.environment.settings.streams.credit_window_bytes
        self.target = target_lib.Target(self.environment)
        self.client = backend_lib.BackendClient(backend.address, 4)
        self.target.set_backend(self.client)
        self.remote = remote_lib.RemoteCaller(FakeTransport(self.near), window)
        for stream, name in ((self.near, "entry"), (self.far, "target")):
            stream.send(frames.Hello(frames.PROTOCOL_VERSION, name, "perth-a"))
        self.near.start(self._near_frame, self.remote.stream_closed)
        self.far.start(self._far_frame, self.target.stream_closed)
        wait_until(lambda: self.near.peer and self.far.peer)

    def call(self, sent: calls.Request):
        return self.remote.call(self.member, sent)

    def close(self) -> None:
        self.near.close()
        self.far.close()
        self.target.stop()

    def _near_frame(self, stream, frame) -> None:
        if isinstance(frame, frames.GoAway):
            self.remote.handle_go_away(stream)
        elif not isinstance(frame, frames.Hello):
            self.remote.handle_frame(stream, frame)

    def _far_frame(self, stream, frame) -> None:
        if not isinstance(frame, frames.Hello):
            self.target.handle_frame(stream, frame)
