"""Messages to a node's actors."""

import dataclasses
import math
from typing import Any

from trefoilwind.log import port
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import state as state_lib


@dataclasses.dataclass(frozen=True)
class Tick:
    """The periodic tick, on which controllers check their timers."""


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A control message of a peer."""

    peer: str
    message: Any


@dataclasses.dataclass(frozen=True)
class PeerConnected:
    """A stream with a peer was opened."""

    peer: str


@dataclasses.dataclass(frozen=True)
class PeerLost:
    """The last stream with a peer was closed."""

    peer: str


@dataclasses.dataclass(frozen=True)
class PageRead:
    """Records were read from the log."""

    from_offset: int
    page: port.Page


@dataclasses.dataclass(frozen=True)
class CheckpointRead:
    """A checkpoint was read from the log, as the node's offset had expired."""

    state: state_lib.State


@dataclasses.dataclass(frozen=True)
class Announcement:
    """An announcement of a backend server.

    Attributes:
        service: Service of the backend server.
        version: Version of the backend server.
        port: Port of its HTTP server.
        host: Address of its HTTP server.
        slots: Number of calls that it runs concurrently.
        labels: Labels for ownership rules.
    """

    service: str
    version: str
    port: int
    host: str = "127.0.0.1"
    slots: int = 16
    labels: tuple[members.Label, ...] = ()

    @property
    def address(self) -> addresses.Address:
        """Address of the backend server's HTTP server."""
        return addresses.Address(self.host, self.port)


@dataclasses.dataclass(frozen=True)
class Withdrawal:
    """The backend server is shutting down."""


@dataclasses.dataclass(frozen=True)
class Append:
    """A record to append to the log; retried until success is confirmed.

    Attributes:
        record_id: Id of the record.
        payload: Bytes of the record.
        deadline: Monotonic time in seconds at which the append is abandoned;
            infinity for never.
    """

    record_id: str
    payload: bytes
    deadline: float = math.inf


@dataclasses.dataclass(frozen=True)
class Drain:
    """The node accepts no new calls from now on.

    Attributes:
        stop_deadline: Monotonic time in seconds at which the remaining calls
            are cancelled.
    """

    stop_deadline: float
