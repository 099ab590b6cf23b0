"""Pooled HTTP connections to one backend server."""

import collections
from collections.abc import Iterable
import dataclasses
import http.client
import re
import select
import socket
import time
from typing import Any

from urllib3 import connection as connection_lib

from trefoilwind.model import addresses

_MAX_CONNECTION_AGE_S = 60.0
_SOCKET_OPTIONS = ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),)


# Start of a status line; `http.client` also accepts statuses such as 600, 0200
# and 2_00.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d +[1-5]\d\d[ \r\n]")


class _LineReader:
    """Records the last line and the last status line read from a head."""

    def __init__(self, file: Any):
        self._file = file
        self.status_line = b""
        self.last_line = b""

    def readline(self, limit: int) -> bytes:
        """Read a line of at most `limit` bytes."""
        line = self._file.readline(limit)
        # The head of an interim answer may precede that of the final one.
        if not self.last_line.strip():
            self.status_line = line
        self.last_line = line
        return line


class _CompleteHeadResponse(http.client.HTTPResponse):
    """Response that fails if its head is incomplete or has an odd status.

    `http.client` accepts such a head as complete, and therefore a truncated
    answer without a length as an empty one.
    """

    def begin(self) -> None:
        """Read the head.

        Raises:
            http.client.HTTPException: The head is incomplete, malformed or
                that of an interim answer (status 1xx).
            OSError: The connection failed.
        """
        file = self.fp
        reader = _LineReader(file)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = file
        if not reader.last_line:
            raise http.client.IncompleteRead(b"")
        if not _STATUS_LINE.match(reader.status_line):
            raise http.client.BadStatusLine(str(self.status))
        if self.status < http.HTTPStatus.OK:
            # The final answer follows; it must not be read as the answer to the
            # next request.
            raise http.client.BadStatusLine(str(self.status))


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """A connection that is in use or idle.

    Attributes:
        connection: The connection.
        sock: Its socket; kept here, as `connection` drops its reference.
        expires: Monotonic time in seconds after which it is not used again.
        idle_until: Monotonic time in seconds until which it may be reused.
        is_fresh: True if it has carried no request.
    """

    connection: connection_lib.HTTPConnection
    sock: socket.socket
    expires: float
    idle_until: float = 0.0
    is_fresh: bool = True

    def send_head(
        self, method: str, path: str, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Send a request's head, bypassing the methods of urllib3.

        Raises:
            ValueError: The head is invalid; nothing was sent.
            http.client.HTTPException: Likewise.
            OSError: The connection failed before the complete head was sent.
        """
        connection = self.connection
        base = http.client.HTTPConnection
        base.putrequest(connection, method, path, skip_accept_encoding=True)
        for name, value in headers:
            base.putheader(connection, name, value)
        connection.endheaders()

    def send_chunk(self, chunk: bytes, is_chunked: bool) -> None:
        """Send bytes of a body; an empty chunk ends a chunked body.

        Raises:
            OSError: The connection failed.
        """
        if is_chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self.connection.send(chunk)

    def receive_head(self) -> http.client.HTTPResponse:
        """Return an answer with its body unread.

        This calls the method of `http.client`: what urllib3's override adds to
        each answer (header dicts, decoders, checks) is expensive and is not
        needed to forward an answer.

        Raises:
            http.client.HTTPException: The backend server sent no valid answer.
            OSError: The connection failed.
        """
        return http.client.HTTPConnection.getresponse(self.connection)

    def abort(self) -> None:
        """Shut the connection down at once, also while a thread waits on it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def discard(self) -> None:
        """Close the connection."""
        self.connection.close()
        self.sock.close()


class ConnectionPool:
    """Idle connections, reused newest first after a check."""

    def __init__(
        self, address: addresses.Address, max_idle: int, idle_s: float
    ):
        self._address = address
        self._max_idle = max_idle
        self._idle_s = idle_s
        self._idle: collections.deque[PooledConnection] = collections.deque()

    def acquire_idle(self) -> PooledConnection | None:
        """Return an idle connection that is still open, or None."""
        while True:
            try:
                pooled = self._idle.pop()
            except IndexError:
                return None
            now = time.monotonic()
            is_usable = now < min(pooled.idle_until, pooled.expires)
            # An idle connection is readable only if the peer has closed it.
            if is_usable and not is_readable(pooled.sock):
                return pooled
            pooled.discard()

    def connect(self, timeout_s: float) -> PooledConnection:
        """Return a new connection.

        Args:
            timeout_s: Connect timeout in seconds.

        Raises:
            OSError: The backend server cannot be reached.
            urllib3.exceptions.HTTPError: Likewise.
        """
        connection = connection_lib.HTTPConnection(
            self._address.host,
            self._address.port,
            timeout=timeout_s,
            socket_options=_SOCKET_OPTIONS,
        )
        connection.response_class = _CompleteHeadResponse
        connection.connect()
        return PooledConnection(
            connection,
            connection.sock,
            time.monotonic() + _MAX_CONNECTION_AGE_S,
        )

    def put_back(self, pooled: PooledConnection) -> None:
        """Return a connection whose last answer was read to its end."""
        if pooled.connection.sock is None or len(self._idle) >= self._max_idle:
            pooled.discard()
            return
        pooled.is_fresh = False
        pooled.idle_until = time.monotonic() + self._idle_s
        self._idle.append(pooled)


def is_readable(sock: socket.socket) -> bool:
    """Return True if bytes or the end of the connection can be read now."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
