"""Control messages between nodes on the event-loop path."""

import dataclasses

from trefoilwind import codec
from trefoilwind.model import members


@codec.message("mesh.member")
@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """The sender's entry, or one that the receiver holds an older form of."""

    member: members.Member


@codec.message("mesh.stable")
@dataclasses.dataclass(frozen=True)
class StableVersion:
    """Version that serves a service before any rollout of it."""

    service: str
    version: str


@codec.message("mesh.decision")
@dataclasses.dataclass(frozen=True)
class RolloutDecision:
    """End of a rollout; the first one in the store's order holds.

    Attributes:
        order_id: Id of the order.
        service: Service of the order.
        version: Version that was to take over.
        is_done: True if it took over, False if it was taken back.
        reason: Public name of the cause.
    """

    order_id: int
    service: str
    version: str
    is_done: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class SharedRecord:
    """A record of the operator's topic as the store holds it."""

    key: str
    value: bytes
    offset: int


@codec.message("mesh.record_bundle")
@dataclasses.dataclass(frozen=True)
class RecordBundle:
    """Newest records of the operator's topic, in the order of offsets."""

    records: tuple[SharedRecord, ...]


@codec.message("mesh.records_read")
@dataclasses.dataclass(frozen=True)
class RecordsRead:
    """The sender has read the operator's topic just now.

    Attributes:
        next_offset: Offset up to which it has.
    """

    next_offset: int


@codec.message("mesh.records_wanted")
@dataclasses.dataclass(frozen=True)
class RecordsWanted:
    """The sender does not read the operator's topic itself.

    Attributes:
        offset: Largest offset of the topic that it has seen; -1 for none.
    """

    offset: int


@codec.message("mesh.records")
@dataclasses.dataclass(frozen=True)
class SharedRecords:
    """The records that the receiver asked for.

    Attributes:
        packed: Their bundle, encoded and compressed.
        next_offset: Offset up to which the sender has read; 0 if not known.
    """

    packed: bytes
    next_offset: int
