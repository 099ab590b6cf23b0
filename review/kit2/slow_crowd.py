"""Crowd of slow callers: each begins an upload and then pauses.

A process of its own. Each caller opens a connection, sends the head of an
upload and waits. It comes back at once when its connection ends.
"""

import selectors
import socket
import sys
import time

_HOST = "127.0.0.1"
_PAUSE_S = 0.1


def main() -> None:
    """Run until the process is ended; arguments: port, callers."""
    port, count = map(int, sys.argv[1:3])
    selector = selectors.DefaultSelector()
    waiting = [(0.0, number) for number in range(count)]
    sent = 0
    while True:
        now = time.monotonic()
        due = [number for at, number in waiting if at <= now]
        waiting = [each for each in waiting if each[0] > now]
        for number in due:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((_HOST, port))
            selector.register(sock, selectors.EVENT_WRITE, number)
        for key, events in selector.select(0.05):
            try:
                if events & selectors.EVENT_WRITE:
                    sent += 1
                    key.fileobj.send(_head(sent))
                    selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
                elif not key.fileobj.recv(4096):
                    raise ConnectionResetError
            except OSError:
                selector.unregister(key.fileobj)
                key.fileobj.close()
                waiting.append((time.monotonic() + _PAUSE_S, key.data))


def _head(number: int) -> bytes:
    return (
        b"POST /up/1 HTTP/1.1\r\nHost: mesh.example\r\n"
        b"X-Request-Id: slow-%d\r\nX-Deadline-Ms: 2000\r\n"
        b"Content-Length: 60000\r\n\r\n" % number
    )


if __name__ == "__main__":
    main()
