"""Tests of the streams that a node keeps open to others."""

import asyncio
import random

import pytest
import uvloop

from tests import virtual_time
from tests.test_gateway import fakes
from trefoilwind.distribution import frames
from trefoilwind.gateway import peers as peers_lib
from trefoilwind.gateway import streams
from trefoilwind.gateway import supervision
from trefoilwind.model import addresses

_TIMES = streams.StreamTimes(1.0, 3.0)
_PEER_HELLO = frames.encode(frames.Hello(frames.PROTOCOL_VERSION, "n2", "d"))


async def _greet(reader, writer) -> None:
    writer.write(_PEER_HELLO)
    await reader.read()


def _peers(times: streams.StreamTimes = _TIMES) -> peers_lib.Peers:
    return peers_lib.Peers(
        frames.Hello(frames.PROTOCOL_VERSION, "n1", "d"),
        times,
        peers_lib.PeerEvents(
            lambda stream: None,
            lambda stream, frame: None,
            lambda stream: None,
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


@pytest.mark.parametrize(
    "malformed",
    [
        addresses.Address("127.0.0.1", 70_000),
        addresses.Address("127.0.0.1", -1),
        addresses.Address("no address\0", 1),
        addresses.Address("x" * 70, 1),
    ],
)
def test_node_with_a_malformed_address_is_dialed_once_that_is_corrected(
    malformed: addresses.Address,
):
    """Guards against a dialing task that one malformed record ends."""

    async def run() -> None:
        async with fakes.RawServer(_greet) as server:
            peers = _peers()
            peers.set_peers({"n2": malformed})
            await asyncio.sleep(0.1)
            peers.set_peers({"n2": server.address})
            await _until(lambda: peers.dialed("n2"))
            peers.close()

    uvloop.run(run())


def test_component_is_restarted_after_an_exception():
    runs = []

    async def component() -> None:
        runs.append(len(runs))
        if len(runs) == 1:
            raise RuntimeError("unexpected")
        await asyncio.Event().wait()

    async def run() -> None:
        task = asyncio.ensure_future(supervision.supervise(component))
        await asyncio.sleep(0)
        await asyncio.sleep(2 * supervision.RESTART_DELAY_S)
        assert not task.done()
        task.cancel()

    virtual_time.run(run())
    assert runs == [0, 1]


def test_silent_stream_with_a_call_is_replaced_and_closed_at_the_stop():
    """Guards against calls that are sent on a silent stream."""
    times = streams.StreamTimes(0.1, 0.3)

    async def run() -> None:
        async with fakes.RawServer(_greet) as server:
            peers = _peers(times)
            peers.set_peers({"n2": server.address})
            await _until(lambda: peers.dialed("n2"))
            silent = peers.dialed("n2")
            silent.begin_call()
            await _until(lambda: peers.dialed("n2") not in (None, silent))
            assert silent.is_silent
            assert not silent.is_closed
            peers.close()
            await _until(lambda: silent.is_closed)

    uvloop.run(run())


class _InterruptedLoop:
    """Event loop whose connections are open before their dialer knows it."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.streams: list[streams.Stream] = []

    def __getattr__(self, name: str):
        return getattr(self._loop, name)

    async def create_connection(self, factory, host, port):
        """Open a connection and wait until cancelled."""
        stream = factory()
        self.streams.append(stream)
        stream.connection_made(_Transport())
        hello = frames.Hello(frames.PROTOCOL_VERSION, "n2", "d")
        stream.data_received(frames.encode(hello))
        await asyncio.Event().wait()


class _Transport(asyncio.Transport):
    """Transport that discards all bytes."""

    def get_extra_info(self, name, default=None):
        """Return nothing."""
        return default

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits."""

    def get_write_buffer_size(self) -> int:
        """Return 0."""
        return 0

    def is_closing(self) -> bool:
        """Return False, as the event loop does for such a connection."""
        return False

    def write(self, data) -> None:
        """Discard bytes."""

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


def test_node_whose_dialer_was_interrupted_is_dialed_again():
    """Guards against a stream that is closed but counts as open for ever."""

    async def run() -> None:
        peers = _peers()
        loop = peers._loop = _InterruptedLoop()
        address = addresses.Address("127.0.0.1", 1)
        peers.set_peers({"n2": address})
        await asyncio.sleep(0.01)
        assert peers.dialed("n2") is loop.streams[0]
        # Keeps the stream from being closed as unused.
        loop.streams[0].begin_call()
        peers.set_peers({})
        await asyncio.sleep(0.01)
        peers.set_peers({"n2": address})
        await asyncio.sleep(0.01)
        assert loop.streams[0].is_closed
        assert peers.dialed("n2") is loop.streams[1]
        peers.close()
        await asyncio.sleep(0.01)

    virtual_time.run(run())
