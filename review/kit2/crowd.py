"""Crowd of callers that pipeline safe requests; a process of its own.

Each caller opens one connection, sends many small requests without waiting for
the answers, and reads all answers. It comes back when its connection ends.
"""

import selectors
import socket
import sys
import time

_HOST = "127.0.0.1"
_PAUSE_S = 0.3
# Bytes that all callers together send in a second: a quarter of a link of
# 1,000 Mbit/s, so that no packet waits there.
_RATE = 30_000_000
# Time for which unused bytes are saved up.
_SAVED_S = 0.05
_SEND_BYTES = 16 * 1024
_READ_BYTES = 64 * 1024


class _Caller:
    """A caller, its connection and what it has still to send."""

    def __init__(self, number: int, per_connection: int):
        self._number = number
        self._per_connection = per_connection
        self._sent = 0
        self.sock: socket.socket | None = None
        self.rest = memoryview(b"")
        self.due = 0.0

    def connect(self, port: int) -> socket.socket:
        """Open a connection and prepare its requests."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex((_HOST, port))
        requests = []
        for _ in range(self._per_connection):
            self._sent += 1
            requests.append(
                b"GET /look/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                b"X-Request-Id: crowd-%d-%d-%d\r\nX-Deadline-Ms: 1500\r\n"
                b"User-Agent: %s\r\n\r\n"
                % (port, self._number, self._sent, b"u" * 1000)
            )
        self.rest = memoryview(b"".join(requests))
        return self.sock


def main() -> None:
    """Run until the process is ended; arguments: port, callers, requests."""
    port, count, per_connection = map(int, sys.argv[1:4])
    selector = selectors.DefaultSelector()
    callers = [_Caller(number, per_connection) for number in range(count)]
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    allowed = 0.0
    last = time.monotonic()
    while True:
        now = time.monotonic()
        allowed = min(_RATE * _SAVED_S, allowed + _RATE * (now - last))
        last = now
        if allowed < 0.0:
            time.sleep(0.005)
            continue
        for caller in callers:
            if caller.sock is None and now >= caller.due:
                selector.register(caller.connect(port), both, caller)
        for key, events in selector.select(0.1):
            caller = key.data
            try:
                allowed -= _serve(selector, caller, events)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(caller.sock)
                caller.sock.close()
                caller.sock = None
                caller.due = time.monotonic() + _PAUSE_S


def _serve(
    selector: selectors.BaseSelector, caller: _Caller, events: int
) -> int:
    """Read answers and send requests; return the number of bytes sent.

    Raises:
        OSError: The connection has ended.
    """
    if events & selectors.EVENT_READ and not caller.sock.recv(_READ_BYTES):
        raise ConnectionResetError
    count = 0
    if events & selectors.EVENT_WRITE and caller.rest:
        count = caller.sock.send(caller.rest[:_SEND_BYTES])
        caller.rest = caller.rest[count:]
        if not caller.rest:
            selector.modify(caller.sock, selectors.EVENT_READ, caller)
    return count


if __name__ == "__main__":
    main()
