"""Pooled HTTP connections to one backend server."""

import collections
from collections.abc import Iterable
import dataclasses
import http.client
import select
import socket
import time
from typing import Any

from urllib3 import connection as connection_lib

from trefoilwind.model import addresses

_MAX_AGE_S = 60.0
_NODELAY = ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),)


class _LineReader:
    """Remembers the last line that was read of a head."""

    def __init__(self, file: Any):
        self._file = file
        self.last = b""

    def readline(self, limit: int) -> bytes:
        """Read a line."""
        self.last = self._file.readline(limit)
        return self.last


class _WholeHeadResponse(http.client.HTTPResponse):
    """Response that fails if the connection ended inside its head.

    The library takes such a head for a whole one, and so a cut answer without
    a length for an empty one.
    """

    def begin(self) -> None:
        """Read the head.

        Raises:
            http.client.HTTPException: The head is not that of an answer.
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
        if not reader.last:
            raise http.client.IncompleteRead(b"")
        if self.status < http.HTTPStatus.OK:
            # The answer follows; it must not meet the next request.
            raise http.client.BadStatusLine(str(self.status))


@dataclasses.dataclass(slots=True)
class Pooled:
    """A connection that is in use or idle.

    Attributes:
        connection: The connection.
        sock: Its socket; kept here, as `connection` drops it.
        expires: Monotonic time after which it is not used again.
        idle_until: Monotonic time until which it may lie idle.
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
        """Send a request's head, by the methods that are inherited.

        Raises:
            ValueError: The head cannot be sent as it is; nothing was sent.
            http.client.HTTPException: Likewise.
            OSError: The connection failed; the head was not sent whole.
        """
        connection = self.connection
        base = http.client.HTTPConnection
        base.putrequest(connection, method, path, skip_accept_encoding=True)
        for name, value in headers:
            base.putheader(connection, name, value)
        connection.endheaders()

    def send_chunk(self, chunk: bytes, is_chunked: bool) -> None:
        """Send bytes of a body; an empty chunk ends a chunked one.

        Raises:
            OSError: The connection failed.
        """
        if is_chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self.connection.send(chunk)

    def receive_head(self) -> http.client.HTTPResponse:
        """Return an answer with its body unread.

        This is the method that the connection inherits: what its own adds
        for each answer (header dicts, decoders, checks) costs much and is not
        needed to pass an answer on.

        Raises:
            http.client.HTTPException: The backend server sent no answer.
            OSError: The connection failed.
        """
        return http.client.HTTPConnection.getresponse(self.connection)

    def abort(self) -> None:
        """End the connection at once, also under a thread that waits for it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def discard(self) -> None:
        """Close the connection."""
        self.connection.close()
        self.sock.close()


class ConnectionPool:
    """Idle connections, newest first; validated before use."""

    def __init__(
        self, address: addresses.Address, max_idle: int, idle_s: float
    ):
        self._address = address
        self._max_idle = max_idle
        self._idle_s = idle_s
        self._idle: collections.deque[Pooled] = collections.deque()

    def take_idle(self) -> Pooled | None:
        """Return an idle connection that seems to work, or None."""
        while True:
            try:
                pooled = self._idle.pop()
            except IndexError:
                return None
            now = time.monotonic()
            is_young = now < min(pooled.idle_until, pooled.expires)
            # An idle connection has nothing to read unless it ended.
            if is_young and not is_readable(pooled.sock):
                return pooled
            pooled.discard()

    def connect(self, timeout_s: float) -> Pooled:
        """Return a new connection.

        Args:
            timeout_s: Longest time to connect, in seconds.

        Raises:
            OSError: The backend server cannot be reached.
            urllib3.exceptions.HTTPError: Likewise.
        """
        connection = connection_lib.HTTPConnection(
            self._address.host,
            self._address.port,
            timeout=timeout_s,
            socket_options=_NODELAY,
        )
        connection.response_class = _WholeHeadResponse
        connection.connect()
        return Pooled(
            connection, connection.sock, time.monotonic() + _MAX_AGE_S
        )

    def put_back(self, pooled: Pooled) -> None:
        """Keep a connection whose last answer was read to its end."""
        if pooled.connection.sock is None or len(self._idle) >= self._max_idle:
            pooled.discard()
            return
        pooled.is_fresh = False
        pooled.idle_until = time.monotonic() + self._idle_s
        self._idle.append(pooled)


def is_readable(sock: socket.socket) -> bool:
    """Return True if bytes or the end of a connection can be read now."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
