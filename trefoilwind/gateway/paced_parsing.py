"""Parsing of received bytes in slices, at a bounded rate of items.

The processor time of a parser depends on the number of items, such as headers
and chunks, rather than on the bytes. Without a bound, a peer that sends tiny
chunks without end occupies the event loop for as long as it sends.
"""

import asyncio
from collections.abc import Callable

# Bytes that are parsed at once.
SLICE_BYTES = 16 * 1024
# Items per second, and the time in seconds for which they may be saved up.
ITEMS_PER_S = 50_000
BURST_S = 0.1
# Items of a slice that is never followed by a pause, so that a flood on one
# connection does not delay ordinary messages on the others.
FREE_ITEMS = 64


class ItemRate:
    """Rate of the items that all connections of a client or server parse."""

    def __init__(self, clock: Callable[[], float]):
        """Initialize the rate.

        Args:
            clock: Returns the monotonic time in seconds.
        """
        self._clock = clock
        self._used_until = clock() - BURST_S

    def pause_s(self, items: int) -> float:
        """Return the seconds to wait after items were parsed."""
        now = self._clock()
        start = max(self._used_until, now - BURST_S)
        self._used_until = start + items / ITEMS_PER_S
        return max(0.0, self._used_until - now)


class PacedParser:
    """Feeds a parser; pauses reading while its items exceed their rate."""

    def __init__(self, rate: ItemRate, parse: Callable[[memoryview], bool]):
        """Initialize the parser without a transport.

        Args:
            rate: Rate of the items.
            parse: Parses a slice; returns False to discard the bytes after
                it.
        """
        self._rate = rate
        self._parse = parse
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._rest = memoryview(b"")
        self._items = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_held = False

    @property
    def has_rest(self) -> bool:
        """True if received bytes have not been parsed yet."""
        return bool(self._rest)

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport whose reading is paused."""
        self._transport = transport

    def count_item(self) -> None:
        """Count an item of the slice that is being parsed."""
        self._items += 1

    def feed(self, data: bytes) -> None:
        """Parse received bytes, now or after a pause."""
        if self._timer is not None or self._is_held:
            # Received before the pause took effect.
            self._rest = memoryview(bytes(self._rest) + data)
            return
        self._rest = memoryview(data)
        self._parse_rest()

    def hold(self) -> None:
        """Pause reading, and parsing after this slice, until `release`."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Resume parsing and reading, unless the parsing is paused."""
        self._is_held = False
        if self._timer is None:
            self._resume()

    def close(self) -> None:
        """Discard the bytes that have not been parsed."""
        self._rest = memoryview(b"")
        if self._timer is not None:
            self._timer.cancel()

    def _parse_rest(self) -> None:
        while self._rest and not self._is_held:
            part = self._rest[:SLICE_BYTES]
            self._rest = self._rest[SLICE_BYTES:]
            self._items = 0
            if not self._parse(part):
                self._rest = memoryview(b"")
            pause_s = self._rate.pause_s(self._items)
            if pause_s > 0.0 and self._items > FREE_ITEMS:
                self._pause(pause_s)
                return

    def _pause(self, pause_s: float) -> None:
        if self._transport is not None:
            if self._transport.is_closing():
                return
            self._transport.pause_reading()
        self._timer = self._loop.call_later(pause_s, self._resume)

    def _resume(self) -> None:
        self._timer = None
        self._parse_rest()
        if self._timer is not None or self._transport is None:
            return
        if not self._is_held and not self._transport.is_closing():
            self._transport.resume_reading()
