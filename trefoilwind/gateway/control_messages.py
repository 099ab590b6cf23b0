"""Control messages between nodes on the event-loop path."""

import dataclasses
import math

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.model import bounds
from trefoilwind.model import members
from trefoilwind.model import mesh

_STEP = "rollout.check"
# Characters of an odd name that a log line shows.
_SHOWN = 40


@codec.message("mesh.member")
@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """A member record: the sender's own, or a newer one than the receiver's."""

    member: members.Member


@codec.message("mesh.state_digest")
@dataclasses.dataclass(frozen=True)
class StateDigest:
    """Digests of what the sender knows; equal state has equal digests.

    Attributes:
        members: Digest of the member table.
        rollouts: Digest of stable versions and decisions.
    """

    members: str
    rollouts: str


@codec.message("mesh.state_wanted")
@dataclasses.dataclass(frozen=True)
class StateWanted:
    """Request for all members, stable versions and decisions."""


@codec.message("mesh.members")
@dataclasses.dataclass(frozen=True)
class MembersShared:
    """Member records that the receiver may lack.

    Attributes:
        members: The records.
        is_complete: True if they are all that the sender has.
    """

    members: tuple[members.Member, ...]
    is_complete: bool


@codec.message("mesh.store_restored")
@dataclasses.dataclass(frozen=True)
class StoreRestored:
    """Notice that the store was restored from a copy and may lack records."""


@codec.message("mesh.server_notice")
@dataclasses.dataclass(frozen=True)
class ServerNoticeSeen:
    """Notice of the receiver's backend server, as seen in its answers.

    Attributes:
        instance_id: Id of the backend server's process.
        started_ms: Wall clock in milliseconds at its start.
        limit_per_s: Limit in its latest answer, in calls per second; negative
            if there was none.
        is_leaving: True if it said that it is leaving.
    """

    instance_id: str
    started_ms: int
    limit_per_s: float
    is_leaving: bool

    @property
    def notice(self) -> mesh.ServerNotice:
        """The notice."""
        is_limited = self.limit_per_s >= 0.0
        return mesh.ServerNotice(
            self.limit_per_s if is_limited else math.inf, self.is_leaving
        )


@codec.message("mesh.stable")
@dataclasses.dataclass(frozen=True)
class StableVersion:
    """Version of a service that is stable before its first rollout."""

    service: str
    version: str


@codec.message("mesh.decision")
@dataclasses.dataclass(frozen=True)
class RolloutDecision:
    """Result of a rollout; the first one in the order of the store is valid.

    Attributes:
        order_id: Id of the rollout order.
        service: Service of the rollout order.
        version: Version that was rolled out.
        is_done: True if the version became stable, False if it was rolled
            back.
        reason: Public name of the cause.
    """

    order_id: int
    service: str
    version: str
    is_done: bool
    reason: str


def check(
    message: StableVersion | RolloutDecision,
) -> errors.RecordError | None:
    """Return an error if a message of another writer has odd values.

    The names are parts of the keys under which it is reported.
    """
    is_valid = bounds.is_name(message.service) and bounds.is_name(
        message.version
    )
    if isinstance(message, RolloutDecision):
        is_valid = is_valid and bounds.is_count(message.order_id)
    if is_valid:
        return None
    return errors.RecordError(
        errors.Reason.OUT_OF_RANGE,
        _STEP,
        detail=f"{message.service[:_SHOWN]!a} {message.version[:_SHOWN]!a}",
    )


@dataclasses.dataclass(frozen=True)
class SharedRecord:
    """A record of the operator's topic as stored."""

    key: str
    value: bytes
    offset: int


@codec.message("mesh.record_bundle")
@dataclasses.dataclass(frozen=True)
class RecordBundle:
    """Newest records of the operator's topic, in the order of offsets."""

    records: tuple[SharedRecord, ...]


@dataclasses.dataclass(frozen=True)
class RecordDelta:
    """A record of the operator's topic, as a change of an earlier one.

    Attributes:
        key: Key of the record.
        delta: Difference to the value at `base_offset`, as made by
            `distribution.deltas`; the value itself without a base.
        offset: Position in the topic.
        base_offset: Position of the base, a record of the same key; -1 for
            none.
    """

    key: str
    delta: bytes
    offset: int
    base_offset: int = -1


@codec.message("mesh.record_deltas")
@dataclasses.dataclass(frozen=True)
class DeltaBundle:
    """Newest records of the operator's topic as deltas, ordered by offset."""

    records: tuple[RecordDelta, ...]


@codec.message("mesh.records_read")
@dataclasses.dataclass(frozen=True)
class RecordsRead:
    """Announcement that the sender has just read the operator's topic.

    Attributes:
        next_offset: Offset up to which the sender has read the topic.
    """

    next_offset: int


@codec.message("mesh.records_held")
@dataclasses.dataclass(frozen=True)
class RecordsHeld:
    """Announcement that the sender has received operator records.

    Attributes:
        next_offset: Offset up to which the sender has the topic.
    """

    next_offset: int


@codec.message("mesh.records_unreadable")
@dataclasses.dataclass(frozen=True)
class RecordsUnreadable:
    """Announcement that the sender's reads of the operator's topic fail."""


@codec.message("mesh.proof_wanted")
@dataclasses.dataclass(frozen=True)
class ProofRequest:
    """Question as of when the receiver's operator records are the newest.

    Attributes:
        token: Number that the answer repeats.
    """

    token: int


@codec.message("mesh.proof")
@dataclasses.dataclass(frozen=True)
class ProofAnswer:
    """Answer to a question for a proof.

    Attributes:
        token: Number of the question.
        age_s: Age of the sender's proof in seconds when it answered.
        next_offset: Position up to which the sender has all records.
        version: Version of the sender's configuration in force.
    """

    token: int
    age_s: float
    next_offset: int
    version: int


@codec.message("mesh.records_wanted")
@dataclasses.dataclass(frozen=True)
class RecordsRequest:
    """Request for records of the operator's topic.

    Attributes:
        offset: Largest offset of the topic that the sender has seen; -1 for
            none.
    """

    offset: int


@codec.message("mesh.record_deltas_wanted")
@dataclasses.dataclass(frozen=True)
class DeltasRequest:
    """Request for records of the operator's topic, as deltas if possible.

    Attributes:
        offset: Largest offset of the topic that the sender has seen; -1 for
            none.
    """

    offset: int


@codec.message("mesh.records")
@dataclasses.dataclass(frozen=True)
class SharedRecords:
    """Answer to a request for records of the operator's topic.

    Attributes:
        packed: `RecordBundle` or `DeltaBundle`, encoded and compressed.
        next_offset: Offset up to which the sender has read; 0 if unknown.
    """

    packed: bytes
    next_offset: int
