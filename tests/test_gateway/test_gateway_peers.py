"""Tests of the streams that a node keeps open to others."""

import asyncio
import random

import uvloop

from tests.test_gateway import fakes
from trefoilwind.distribution import frames
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import streams

_TIMES = streams.StreamTimes(1.0, 3.0)
_PEER_HELLO = frames.encode(frames.Hello(frames.PROTOCOL_VERSION, "n2", "d"))


async def _greet(reader, writer) -> None:
    writer.write(_PEER_HELLO)
    await reader.read()


def _peers() -> peers_lib.Peers:
    return peers_lib.Peers(
        frames.Hello(frames.PROTOCOL_VERSION, "n1", "d"),
        _TIMES,
        peers_lib.PeerEvents(
            lambda stream: None,
            lambda stream, frame: None,
            lambda stream: None,
            lambda node_id: None,
        ),
        random.Random(1),
    )


async def _until(condition) -> None:
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.005)


def test_stream_in_use_stays_open_until_its_calls_are_answered():
    async def run() -> None:
        async with fakes.RawServer(_greet) as server:
            peers = _peers()
            peers.set_peers({"n2": server.address})
            await _until(lambda: peers.dialed("n2"))
            stream = peers.dialed("n2")
            stream.begin_call()
            peers.set_peers({})
            await asyncio.sleep(0.05)
            assert not stream.is_closed
            assert not peers.is_maintained("n2")
            stream.end_call()
            peers.close_unused()
            await _until(lambda: stream.is_closed)
            assert peers.dialed("n2") is None
            peers.close()

    uvloop.run(run())


def test_stream_that_is_wanted_again_is_kept():
    async def run() -> None:
        async with fakes.RawServer(_greet) as server:
            peers = _peers()
            peers.set_peers({"n2": server.address})
            await _until(lambda: peers.dialed("n2"))
            stream = peers.dialed("n2")
            stream.begin_call()
            peers.set_peers({})
            peers.set_peers({"n2": server.address})
            stream.end_call()
            peers.close_unused()
            await asyncio.sleep(0.3)
            assert peers.dialed("n2") is stream
            assert server.connections == 1
            peers.close()

    uvloop.run(run())


def test_closed_stream_is_opened_again_at_once():
    """Guards against polling of each stream for its end."""

    async def run() -> None:
        async with fakes.RawServer(_greet) as server:
            peers = _peers()
            peers.set_peers({"n2": server.address})
            await _until(lambda: peers.dialed("n2"))
            first = peers.dialed("n2")
            first.abort()
            await _until(lambda: peers.dialed("n2") not in (None, first))
            peers.close()

    uvloop.run(run())
