"""Messages between entry nodes and the keepers of idempotency keys."""

from collections.abc import Callable
import dataclasses
import enum

from trefoilwind import codec


@enum.unique
class KeyStatus(enum.Enum):
    """State of a key at a keeper."""

    NEW = "new"  # Recorded for the requesting claim; there is no other.
    HELD = "held"  # Another claim may be running the request.
    DONE = "done"  # The request ran and its answer was received.
    UNKNOWN = "unknown"  # The request may have run.
    RELEASED = "released"  # The claim ended; the request was proven not to run.
    MISMATCH = "mismatch"  # The key belongs to a different request.
    REFUSED = "refused"  # The keeper is full, not ready or not responsible.


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Complete answer of a backend server.

    Attributes:
        status: HTTP status.
        headers: Pairs of names and values.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@codec.message("key-claim")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaim:
    """Requests a keeper to record a key before the request is forwarded.

    Attributes:
        key: Service and idempotency key.
        digest: Digest of the request.
        token: Unique id of the claim.
        incarnation: Incarnation of the keeper that the claim is for.
        held_s: Seconds, from receipt, after which the claim's outcome counts
            as unknown.
        lifetime_s: Seconds, from receipt, for which the key is kept.
    """

    key: str
    digest: str
    token: str
    incarnation: int
    held_s: float
    lifetime_s: float


@codec.message("key-verdict")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyVerdict:
    """Answer of a keeper to a `KeyClaim`.

    Attributes:
        token: Id of the claim.
        incarnation: Incarnation of the keeper.
        status: State of the key at the keeper.
        answer: Recorded answer, if it was stored.
    """

    token: str
    incarnation: int
    status: KeyStatus
    answer: RecordedAnswer | None = None


@codec.message("key-settle")
@dataclasses.dataclass(frozen=True, slots=True)
class KeySettle:
    """Reports to a keeper how a claim ended.

    Attributes:
        delivery_id: Id to acknowledge.
        key: Service and idempotency key.
        digest: Digest of the request.
        token: Id of the claim.
        status: DONE, UNKNOWN or RELEASED.
        lifetime_s: Seconds, from receipt, for which the key is kept.
        answer: Answer, if it is small enough to store.
    """

    delivery_id: int
    key: str
    digest: str
    token: str
    status: KeyStatus
    lifetime_s: float
    answer: RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedKey:
    """Record of a keeper, with its deadlines as remaining seconds."""

    key: str
    digest: str
    token: str
    status: KeyStatus
    held_s: float
    lifetime_s: float
    answer: RecordedAnswer | None = None


@codec.message("key-transfer")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyTransfer:
    """Records for a node that became a keeper of their keys."""

    delivery_id: int
    entries: tuple[LeasedKey, ...]


@codec.message("key-ack")
@dataclasses.dataclass(frozen=True, slots=True)
class KeyAck:
    """Acknowledges a `KeySettle` or a `KeyTransfer`."""

    delivery_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of a claim.

    Attributes:
        status: NEW if it was granted; REFUSED if too few keepers answered in
            time; otherwise the state of the key that blocks it.
        answer: Recorded answer if the status is DONE and it was stored.
    """

    status: KeyStatus
    answer: RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartClaim:
    """Request of a call thread to its node's controller to claim a key.

    Attributes:
        key: Service and idempotency key.
        digest: Digest of the request.
        token: Unique id of the claim.
        deadline: Monotonic time in seconds of the call's deadline.
        decide: Called with the decision; must not block.
    """

    key: str
    digest: str
    token: str
    deadline: float
    decide: Callable[[Decision], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EndClaim:
    """Report of a call thread to its node's controller that a claim ended."""

    token: str
    status: KeyStatus
    answer: RecordedAnswer | None = None
