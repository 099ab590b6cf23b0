"""Ports between controllers and the network.

A controller does no input or output: it is given messages and ticks, and
returns the messages to send. The node runs it over sockets, tests run it over
in-memory queues.
"""

import dataclasses
from typing import Any
from typing import Protocol

from trefoilwind.model import addresses


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message to a peer.

    Attributes:
        peer: Node id of the receiver.
        message: A data class registered with `codec`.
        address: Where to connect if there is no stream yet; None to look the
            peer up in the membership.
    """

    peer: str
    message: Any
    address: addresses.Address | None = None


class Controller(Protocol):
    """Part of a node that reacts to messages and to time.

    All methods of a node's controllers run on one thread.
    """

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""

    def handle(self, peer: str, message: Any) -> list[Envelope]:
        """React to a message of a peer."""

    def peer_connected(self, peer: str) -> list[Envelope]:
        """React to a new stream with a peer."""

    def peer_lost(self, peer: str) -> list[Envelope]:
        """React to the loss of the last stream with a peer."""

    def tick(self) -> list[Envelope]:
        """React to the passing of time; called several times a second."""
