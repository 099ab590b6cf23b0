"""Tests of the rate at which received items are parsed."""

import asyncio

import uvloop

from trefoilwind.gateway import paced_parsing


class _Transport:
    """Fake transport that notes whether reading is paused."""

    def __init__(self) -> None:
        self.is_paused = False

    def is_closing(self) -> bool:
        """Return False."""
        return False

    def pause_reading(self) -> None:
        """Pause reading."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Resume reading."""
        self.is_paused = False


class _Parser:
    """Parser with one item per byte.

    Attributes:
        parsed: Bytes parsed so far.
        accepts: False to discard what follows.
    """

    def __init__(self, rate: paced_parsing.ItemRate | None = None) -> None:
        clock = asyncio.get_running_loop().time
        rate = rate or paced_parsing.ItemRate(clock)
        self.paced = paced_parsing.PacedParser(rate, self._parse)
        self.transport = _Transport()
        self.paced.attach(self.transport)
        self.parsed = b""
        self.accepts = True

    def _parse(self, data: memoryview) -> bool:
        self.parsed += bytes(data)
        for _ in range(len(data)):
            self.paced.count_item()
        return self.accepts


_BURST = int(paced_parsing.ITEMS_PER_S * paced_parsing.BURST_S)


def test_rate_allows_a_burst_and_then_its_items_per_second():
    now = 5.0
    rate = paced_parsing.ItemRate(lambda: now)
    assert rate.pause_s(_BURST) < 1e-9
    assert abs(rate.pause_s(paced_parsing.ITEMS_PER_S) - 1.0) < 1e-9
    now += 60.0
    assert rate.pause_s(_BURST) < 1e-9
    assert rate.pause_s(1) > 0.0


def test_all_bytes_are_parsed_in_order_over_pauses():
    # Guards against bytes that are lost or parsed twice around a pause.
    async def run() -> None:
        parser = _Parser()
        first = bytes(range(256)) * 96
        parser.paced.feed(first)
        assert parser.transport.is_paused
        assert len(parser.parsed) == paced_parsing.SLICE_BYTES
        assert parser.paced.has_rest
        parser.paced.feed(b"more")
        async with asyncio.timeout(10.0):
            while parser.paced.has_rest or parser.transport.is_paused:
                await asyncio.sleep(0.01)
        assert parser.parsed == first + b"more"

    uvloop.run(run())


def test_ordinary_message_is_not_delayed_by_a_flood_on_another_connection():
    async def run() -> None:
        rate = paced_parsing.ItemRate(asyncio.get_running_loop().time)
        flood = _Parser(rate)
        other = _Parser(rate)
        flood.paced.feed(bytes(10 * paced_parsing.SLICE_BYTES))
        other.paced.feed(bytes(paced_parsing.FREE_ITEMS))
        assert flood.transport.is_paused
        assert not other.transport.is_paused

    uvloop.run(run())


def test_held_reading_stays_paused_after_the_pause_of_the_parsing():
    async def run() -> None:
        parser = _Parser()
        parser.paced.feed(bytes(paced_parsing.SLICE_BYTES))
        parser.paced.hold()
        await asyncio.sleep(0.5)
        assert parser.transport.is_paused
        parser.paced.release()
        assert not parser.transport.is_paused

    uvloop.run(run())


def test_bytes_after_the_last_wanted_slice_are_discarded():
    async def run() -> None:
        parser = _Parser()
        parser.accepts = False
        parser.paced.feed(b"x" * (paced_parsing.SLICE_BYTES + 1))
        assert not parser.paced.has_rest
        assert len(parser.parsed) == paced_parsing.SLICE_BYTES

    uvloop.run(run())


def test_closed_parser_parses_nothing_more():
    async def run() -> None:
        parser = _Parser()
        parser.paced.feed(b"x" * (paced_parsing.SLICE_BYTES + 1))
        parser.paced.close()
        await asyncio.sleep(0.5)
        assert len(parser.parsed) == paced_parsing.SLICE_BYTES

    uvloop.run(run())
