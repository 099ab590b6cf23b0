"""Callers' HTTP server: cheroot, with its costs for each request cut.

- The library's files are written in Python; those here are the interpreter's.
- A thread that has answered stays with its connection for a moment, as the
  next request often follows: that saves two changes of thread.
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

_STAY_MS = 50


class _Reader(io.BufferedReader):
    """What the library asks of a connection's reading side."""

    bytes_read = 0

    def __init__(self, sock: socket.socket, size: int):
        super().__init__(socket.SocketIO(sock, "rb"), size)
        self._sock = sock

    def has_data(self) -> bool:
        """Return True if bytes can be read without waiting."""
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
    return _Reader(sock, size) if "r" in mode else _Writer(sock)


class _Connection(cheroot_server.HTTPConnection):
    """Connection whose thread waits a moment for the next request."""

    def __init__(self, server: "CallerServer", sock: socket.socket, _: Any):
        super().__init__(server, sock, _make_file)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def communicate(self) -> bool:
        """Answer requests; return True if the connection is to be kept."""
        while super().communicate():
            if not self._is_next_near():
                return True
        return False

    def _is_next_near(self) -> bool:
        if self.rfile.has_data():
            return True
        # The others are left for connections that have a request.
        staying = self.server.staying
        if not staying.acquire(blocking=False):
            return False
        try:
            return bool(self._poll.poll(_STAY_MS))
        finally:
            staying.release()


class DateHeader:
    """Value of the header Date, made once a second."""

    def __init__(self) -> None:
        self._second = 0
        self._value = b""

    @property
    def value(self) -> bytes:
        """The present time as HTTP writes it."""
        second = int(time.time())
        if second != self._second:
            self._value = email.utils.formatdate(second, usegmt=True).encode()
            self._second = second
        return self._value


class CallerServer(cheroot_server.HTTPServer):
    """HTTP server with a fixed number of threads."""

    ConnectionClass = _Connection

    def __init__(self, address: addresses.Address, gateway: Any, threads: int):
        super().__init__(
            (address.host, address.port),
            gateway=gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="trefoilwind",
        )
        self.staying = threading.Semaphore(threads // 2)
