"""HTTP server for callers: cheroot with a lower cost for each request.

- Connections use the buffered files of `io`, which are implemented in C; those
  of cheroot are written in Python.
- After an answer, the thread waits briefly for the next request of the same
  connection, which often follows at once. That saves two thread switches.
"""

import email.utils
import io
import select
import socket
import threading
import time
from typing import Any

from cheroot import server as cheroot_server

from trefoilwind.model import addresses

_NEXT_REQUEST_WAIT_MS = 50


class _BufferedReader(io.BufferedReader):
    """Reading side of a connection, with the methods that cheroot calls."""

    bytes_read = 0

    def __init__(self, sock: socket.socket, size: int):
        super().__init__(socket.SocketIO(sock, "rb"), size)
        self._sock = sock

    def has_data(self) -> bool:
        """Return True if bytes can be read without blocking."""
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0.0)
        try:
            return bool(self.peek(1))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout_s)


class _Writer:
    """Unbuffered writing side of a connection."""

    bytes_written = 0

    def __init__(self, sock: socket.socket):
        self._sock = sock

    def write(self, data: bytes) -> int:
        """Write all of the bytes."""
        self._sock.sendall(data)
        return len(data)


def _make_file(sock: socket.socket, mode: str, size: int) -> Any:
    return _BufferedReader(sock, size) if "r" in mode else _Writer(sock)


class _Connection(cheroot_server.HTTPConnection):
    """Connection whose thread waits briefly for the next request."""

    def __init__(self, server: "CallerServer", sock: socket.socket, _: Any):
        super().__init__(server, sock, _make_file)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def communicate(self) -> bool:
        """Answer requests; return True if the connection is kept open."""
        while super().communicate():
            if not self._has_next_request():
                return True
        return False

    def _has_next_request(self) -> bool:
        if self.rfile.has_data():
            return True
        # The remaining threads stay free for connections that have a request.
        waiting_threads = self.server.waiting_threads
        if not waiting_threads.acquire(blocking=False):
            return False
        try:
            return bool(self._poll.poll(_NEXT_REQUEST_WAIT_MS))
        finally:
            waiting_threads.release()


class DateHeader:
    """Value of the Date header, formatted once a second."""

    def __init__(self) -> None:
        self._second = 0
        self._value = b""

    @property
    def value(self) -> bytes:
        """The current time in the format of HTTP dates."""
        second = int(time.time())
        if second != self._second:
            self._value = email.utils.formatdate(second, usegmt=True).encode()
            self._second = second
        return self._value


class CallerServer(cheroot_server.HTTPServer):
    """HTTP server with a fixed number of threads.

    At most half of them wait for the next request of a connection.
    """

    ConnectionClass = _Connection

    def __init__(self, address: addresses.Address, gateway: Any, threads: int):
        super().__init__(
            (address.host, address.port),
            gateway=gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="trefoilwind",
        )
        self.waiting_threads = threading.Semaphore(threads // 2)
