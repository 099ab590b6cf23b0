"""Streams between nodes: dials the known nodes and accepts their streams."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import random
from typing import Any

from trefoilwind import codec
from trefoilwind.distribution import backoff
from trefoilwind.distribution import frames
from trefoilwind.gateway import streams as streams_lib
from trefoilwind.model import addresses

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
# Bounds of the full-jitter backoff between attempts to connect to a node.
DIAL_BACKOFF_BASE_S = 0.1
DIAL_BACKOFF_CAP_S = 2.0
LISTEN_BACKLOG = 256


def control_frame(message: Any) -> frames.Control:
    """Return the frame that carries a registered message."""
    return frames.Control(0, 0, codec.encode(message))


@dataclasses.dataclass(frozen=True)
class PeerEvents:
    """Callbacks for events of peer streams; none of them may block.

    Attributes:
        opened: Called when the handshake of a stream is complete, in either
            direction.
        received: Called with each frame that a stream does not handle itself.
        silent: Called with a stream that is replaced because its peer is
            silent; it is closed when the calls in flight on it have ended.
        closed: Called when a stream closes after its handshake.
        displaced: Called with the id of a node at whose address another node
            answered.
    """

    opened: Callable[[streams_lib.Stream], None]
    received: Callable[[streams_lib.Stream, frames.Frame], None]
    silent: Callable[[streams_lib.Stream], None]
    closed: Callable[[streams_lib.Stream], None]
    displaced: Callable[[str], None]


class Peers:
    """Owns all streams of a node; calls are sent on the dialed ones."""

    def __init__(
        self,
        hello: frames.Hello,
        times: streams_lib.StreamTimes,
        events: PeerEvents,
        rng: random.Random,
    ):
        self._hello = hello
        self._times = times
        self._peer_events = events
        self._random = rng
        self._loop = asyncio.get_running_loop()
        self._events = streams_lib.StreamEvents(
            self._opened,
            self._received,
            self._silent,
            self._closed,
            events.displaced,
        )
        self._peer_addresses: dict[str, addresses.Address] = {}
        self._dialers: dict[str, asyncio.Task] = {}
        self._dialed: dict[str, streams_lib.Stream] = {}
        self._accepted: set[streams_lib.Stream] = set()
        # Dialed streams that were replaced while calls were in flight on them.
        self._replaced: set[streams_lib.Stream] = set()
        self._server: asyncio.Server | None = None

    @property
    def accepted(self) -> tuple[streams_lib.Stream, ...]:
        """Open streams that peers dialed."""
        return tuple(self._accepted)

    @property
    def connected(self) -> tuple[streams_lib.Stream, ...]:
        """Open streams that this node dialed."""
        return tuple(self._dialed.values())

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be sent on all streams."""
        return sum(stream.unsent_bytes for stream in self._all_streams())

    def dialed(self, node_id: str) -> streams_lib.Stream | None:
        """Return the open stream for calls to a node, or None."""
        return self._dialed.get(node_id)

    async def listen(self, address: addresses.Address) -> None:
        """Accept streams.

        Raises:
            OSError: The address is in use or not local.
        """
        self._server = await self._loop.create_server(
            self._new_stream,
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
        )

    def set_peers(self, peer_addresses: dict[str, addresses.Address]) -> None:
        """Maintain streams to these nodes.

        Streams to other nodes are closed once no call waits for an answer on
        them; see `close_unused`.

        Args:
            peer_addresses: Addresses by node id.
        """
        self._peer_addresses = dict(peer_addresses)
        for node_id in list(self._dialers):
            if node_id not in peer_addresses:
                self._dialers.pop(node_id).cancel()
        for node_id in peer_addresses:
            if node_id not in self._dialers:
                self._dialers[node_id] = self._loop.create_task(
                    self._maintain_stream(node_id)
                )
        self.close_unused()

    def is_maintained(self, node_id: str) -> bool:
        """Return True if a stream to a node is to be kept open."""
        return node_id in self._dialers

    def close_unused(self) -> None:
        """Close the dialed streams that are neither maintained nor in use."""
        for node_id, stream in list(self._dialed.items()):
            if node_id not in self._dialers and not stream.pending_answers:
                stream.close()

    @property
    def has_streams(self) -> bool:
        """True while a stream is open."""
        return any(True for _ in self._all_streams())

    def finish(self) -> None:
        """Stop listening and end this side of all streams.

        The peers close them once they have read everything.
        """
        self._stop_listening()
        for stream in self._all_streams():
            stream.finish()

    def _stop_listening(self) -> None:
        self.set_peers({})
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close all streams and stop listening."""
        self._stop_listening()
        for stream in self._all_streams():
            stream.close()

    def _all_streams(self) -> Iterable[streams_lib.Stream]:
        return (*self._dialed.values(), *self._accepted, *self._replaced)

    def _new_stream(self, expected: str = "") -> streams_lib.Stream:
        return streams_lib.Stream(
            self._hello, self._times, self._events, expected
        )

    async def _maintain_stream(self, node_id: str) -> None:
        failures = 0
        while True:
            stream = self._dialed.get(node_id) or await self._dial(
                node_id, self._peer_addresses[node_id]
            )
            if stream is not None:
                started = self._loop.time()
                await stream.wait_ended()
                if self._loop.time() - started > self._times.silence_s:
                    failures = 0
            failures += 1
            delay_s = backoff.full_jitter_s(
                failures, DIAL_BACKOFF_BASE_S, DIAL_BACKOFF_CAP_S, self._random
            )
            await asyncio.sleep(delay_s)

    async def _dial(
        self, node_id: str, address: addresses.Address
    ) -> streams_lib.Stream | None:
        stream = self._new_stream(node_id)
        is_established = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(
                    lambda: stream, address.host, address.port
                )
            is_established = True
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The address comes from another node and may be malformed.
            logger.debug("peers: connecting to %s failed; %s", address, error)
            return None
        finally:
            if not is_established:
                stream.end()
        return stream

    def _opened(self, stream: streams_lib.Stream) -> None:
        if stream.is_dialed:
            self._dialed[stream.peer] = stream
        else:
            self._accepted.add(stream)
        self._peer_events.opened(stream)

    def _received(
        self, stream: streams_lib.Stream, frame: frames.Frame
    ) -> None:
        self._peer_events.received(stream, frame)

    def _silent(self, stream: streams_lib.Stream) -> None:
        if self._dialed.get(stream.peer) is stream:
            del self._dialed[stream.peer]
            self._replaced.add(stream)
        self._peer_events.silent(stream)

    def _closed(self, stream: streams_lib.Stream) -> None:
        self._accepted.discard(stream)
        self._replaced.discard(stream)
        if self._dialed.get(stream.peer) is stream:
            del self._dialed[stream.peer]
        if stream.peer:
            self._peer_events.closed(stream)
