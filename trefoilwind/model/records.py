"""Records of the platform's log and their encoding."""

import dataclasses

from trefoilwind import codec
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves


@dataclasses.dataclass(frozen=True)
class Publication:
    """An operator's new configuration.

    Attributes:
        base_version: Version that the change is based on; -1 for the first.
        configuration: The complete new configuration.
    """

    base_version: int
    configuration: configuration_lib.Configuration


@dataclasses.dataclass(frozen=True)
class MoveRequest:
    """An operator's request for a move; fields as in `moves.Move`."""

    service: str
    version: str
    deadline: float
    started: float
    half: str = ""
    to_half: str = ""


@dataclasses.dataclass(frozen=True)
class LeaseClaim:
    """A claim or renewal of a lease.

    Attributes:
        name: Name of the lease.
        holder: Node that claims it.
        expires_at: Wall time in seconds at which the lease ends.
        claimed_at: Wall time in seconds of the claim.
    """

    name: str
    holder: str
    expires_at: float
    claimed_at: float


@dataclasses.dataclass(frozen=True)
class Checkpoint:
    """The folded state of all records before `next_offset`.

    Attributes:
        epoch: Epoch of the writer's lease.
        next_offset: Offset of the first record that is not in the state.
        state: Encoded state.
    """

    epoch: int
    next_offset: int
    state: bytes


@dataclasses.dataclass(frozen=True)
class Contact:
    """A node to which a starting node can connect to find its peers."""

    node_id: str
    data_centre: str
    peer_address: addresses.Address


@dataclasses.dataclass(frozen=True)
class Contacts:
    """Contact list of one data centre, written by its registrar.

    Attributes:
        epoch: Epoch of the writer's lease.
        data_centre: Data centre of all contacts.
        contacts: Some live nodes of the data centre.
    """

    epoch: int
    data_centre: str
    contacts: tuple[Contact, ...]


Body = (
    Publication
    | MoveRequest
    | moves.Outcome
    | LeaseClaim
    | Checkpoint
    | Contacts
)


@codec.message("record")
@dataclasses.dataclass(frozen=True)
class Record:
    """One record of the log.

    Attributes:
        record_id: Unique id assigned by the writer; a publication, move
            request or outcome with a repeated id is rejected.
        writer: Node or operator that appended it.
        kind: Name of the body's class.
        body: Encoded body.
        wall_ms: Wall part of the writer's hybrid time; 0 if unknown.
        counter: Counter of the writer's hybrid time.
    """

    record_id: str
    writer: str
    kind: str
    body: bytes
    wall_ms: int = 0
    counter: int = 0


def _register_bodies() -> None:
    for body in Body.__args__:
        codec.message(f"record.{body.__name__}")(body)


_register_bodies()


def encode(
    record_id: str,
    writer: str,
    body: Body,
    wall_ms: int = 0,
    counter: int = 0,
) -> bytes:
    """Return the bytes of a record for the log.

    Args:
        record_id: Unique id assigned by the writer.
        writer: Node or operator that appends it.
        body: Content of the record.
        wall_ms: Wall part of the writer's hybrid time.
        counter: Counter of the writer's hybrid time.
    """
    kind = type(body).__name__
    data = codec.encode(body)
    record = Record(record_id, writer, kind, data, wall_ms, counter)
    return codec.encode(record)
