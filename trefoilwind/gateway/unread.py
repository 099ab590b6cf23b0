"""Sockets with bytes that an event loop has not read yet.

An event loop that was busy among its sockets runs its expired timers before it
reads the other sockets. What a timer decides must not rest on bytes that have
arrived but wait to be read.
"""

import asyncio
from collections.abc import Iterable
import select

# Seconds after which a late timer acts, in which the event loop reads its
# sockets.
READ_DELAY_S = 0.001


def count_readable(descriptors: Iterable[int]) -> int:
    """Return how many sockets have bytes, an end or connections that wait."""
    poller = select.poll()
    for descriptor in descriptors:
        if descriptor >= 0:
            poller.register(descriptor, select.POLLIN)
    return len(poller.poll(0))


def is_readable(transport: asyncio.Transport) -> bool:
    """Return True if bytes, or the end, of a connection wait to be read."""
    sock = transport.get_extra_info("socket")
    return sock is not None and bool(count_readable((sock.fileno(),)))
