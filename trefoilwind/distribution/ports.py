"""Ports between controllers and the network.

A controller does no input or output: it receives messages and ticks, and
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
        address: Address to connect to if there is no stream yet; None to use
            the address in the membership.
    """

    peer: str
    message: Any
    address: addresses.Address | None = None


class Controller(Protocol):
    """Part of a node that handles messages and periodic ticks.

    All methods of a node's controllers run on one thread.
    """

    @property
    def handles(self) -> tuple[type, ...]:
        """Message classes that this controller handles."""

    def handle(self, peer: str, message: Any) -> list[Envelope]:
        """Handle a message from a peer."""

    def peer_connected(self, peer: str) -> list[Envelope]:
        """Handle the first stream with a peer."""

    def peer_lost(self, peer: str) -> list[Envelope]:
        """Handle the loss of the last stream with a peer."""

    def tick(self) -> list[Envelope]:
        """Do periodic work; called several times a second."""
