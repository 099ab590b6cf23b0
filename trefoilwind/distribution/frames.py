"""Frames of a peer stream: msgpack arrays that start with a tag."""

import dataclasses
import operator
from typing import Any

import msgpack

from trefoilwind import errors

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 17 * 1024 * 1024
MAX_CHUNK_BYTES = 64 * 1024
MAX_ARRAY_ITEMS = 16384
# Bytes of a body that may be sent before its first `Credit`.
INITIAL_CREDIT_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First frame of each side."""

    protocol: int
    node_id: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """A message between controllers, with the sender's hybrid time."""

    wall_ms: int
    counter: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat; the receiver answers with a `Pong`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class GoAway:
    """The sender accepts no further calls.

    Attributes:
        last_call_id: Largest id of a call that the sender accepted on this
            stream; calls with a larger id did not run.
    """

    last_call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallOpen:
    """Start of a call.

    Attributes:
        call_id: Id of the call on this stream; increases by one.
        method: HTTP method.
        path: Path and query, after the service's name.
        headers: Pairs of names and values.
        remaining_s: Seconds until the call's deadline, counted from receipt.
        class_name: Class of the call.
        importance: Importance of the class.
        fingerprint: Digest of the request; empty if the body is unknown.
        body: First bytes of the body.
        is_last: True if the body ends here.
        service: Service that is to run the call; empty for any.
        version: Version that is to run it; empty for any.
        target_s: Seconds until its answer is late, counted from receipt.
        is_nested: True if another running call waits for this one.
        sent_at: Sender's monotonic time in seconds; 0 if unknown.
        customer: Name of the caller's customer; empty for none.
        allowed_regions: Regions whose backend servers may run it; empty for
            all, unless `is_restricted`.
        is_restricted: True if `allowed_regions` is to be obeyed also if empty.
    """

    call_id: int
    method: str
    path: str
    headers: list
    remaining_s: float
    class_name: str
    importance: int
    fingerprint: str
    body: bytes
    is_last: bool
    service: str = ""
    version: str = ""
    target_s: float = 0.0
    is_nested: bool = False
    sent_at: float = 0.0
    customer: str = ""
    allowed_regions: list = dataclasses.field(default_factory=list)
    is_restricted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallBody:
    """Further bytes of a call's body."""

    call_id: int
    chunk: bytes
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes:
        call_id: Id of the call.
        status: HTTP status.
        headers: Pairs of names and values.
        body: First bytes of the body.
        is_last: True if the body ends here.
        served_s: Time in seconds until the backend server sent the answer's
            head; -1 if unknown.
        occupied: Number of calls that the backend server runs or that are
            queued for it, more while a limit delays calls longer; -1 if
            unknown.
        failure_share: Share of its recent calls that failed.
        mean_s: Mean time in seconds of its calls of the same class; -1 if
            unknown.
    """

    call_id: int
    status: int
    headers: list
    body: bytes
    is_last: bool
    served_s: float
    occupied: int = -1
    failure_share: float = 0.0
    mean_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBody:
    """Bytes of an answer's body."""

    call_id: int
    chunk: bytes
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The call ended without a complete answer.

    Attributes:
        call_id: Id of the call.
        reason: Value of an `errors.Reason`.
        step: Step at which it failed.
        peer: Node or address at which it failed.
        detail: Short description for operators.
        not_run: True if no byte reached a backend server.
        retry_s: Seconds after which a retry may be accepted; 0 if unknown.
        occupied: Number of calls that the backend server runs or that are
            queued for it, more while a limit delays calls longer; -1 if
            unknown.
        has_arrived: True if a backend server received the call and refused
            it.
        failure_share: Share of its recent calls that failed.
        mean_s: Mean time in seconds of its calls of the same class; -1 if
            unknown.
    """

    call_id: int
    reason: str
    step: str
    peer: str
    detail: str
    not_run: bool
    retry_s: float = 0.0
    occupied: int = -1
    has_arrived: bool = False
    failure_share: float = 0.0
    mean_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller disconnected or its deadline passed."""

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """The receiver of a body accepts more bytes.

    Attributes:
        call_id: Id of the call.
        count: Further bytes that may be sent.
        of_answer: True for the answer's body, False for the call's body.
    """

    call_id: int
    count: int
    of_answer: bool


Frame = (
    Hello
    | Control
    | Ping
    | Pong
    | GoAway
    | CallOpen
    | CallBody
    | AnswerHead
    | AnswerBody
    | CallFailed
    | Cancel
    | Credit
)

_CLASSES: tuple[type, ...] = Frame.__args__


def _getter(cls: type):
    names = [field.name for field in dataclasses.fields(cls)]
    if not names:
        return lambda frame: ()
    if len(names) == 1:
        return lambda frame: (getattr(frame, names[0]),)
    return operator.attrgetter(*names)


_TAGS = {cls: (tag, _getter(cls)) for tag, cls in enumerate(_CLASSES)}
_TYPES = tuple(
    tuple(field.type for field in dataclasses.fields(cls)) for cls in _CLASSES
)
# Fields that a node of the previous release does not know, at the end of their
# frame. They are sent only if one of them has a value of its own.
_LATER_FIELDS = {CallOpen: ("", [], False)}
_LATER_COUNTS = tuple(len(_LATER_FIELDS.get(cls, ())) for cls in _CLASSES)


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    tag, getter = _TAGS[type(frame)]
    values = getter(frame)
    defaults = _LATER_FIELDS.get(type(frame))
    if defaults is not None and values[-len(defaults) :] == defaults:
        values = values[: -len(defaults)]
    return msgpack.packb((tag, *values))


class Decoder:
    """Incremental decoder of the frames of one stream, with bounded memory."""

    def __init__(self) -> None:
        # The unpacker allocates memory for a declared length before the
        # items arrive, so lengths are limited.
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES,
            max_array_len=MAX_ARRAY_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> list[Frame] | errors.StreamError:
        """Return the frames completed by `data`, or an error; never raises."""
        try:
            self._unpacker.feed(data)
            return [_structure(array) for array in self._unpacker]
        except Exception as error:  # A peer can send any input.
            return errors.StreamError(
                errors.Reason.PROTOCOL,
                "stream.decode",
                detail=type(error).__name__,
            )


def _structure(array: Any) -> Frame:
    tag, *fields = array
    if type(tag) is not int or not 0 <= tag < len(_CLASSES):
        raise ValueError("unknown frame tag")
    expected = _TYPES[tag]
    missing = len(expected) - len(fields)
    if missing not in (0, _LATER_COUNTS[tag]):
        raise ValueError("wrong number of frame fields")
    for value, type_ in zip(fields, expected, strict=missing == 0):
        if type(value) is not type_ and (type_, type(value)) != (float, int):
            raise ValueError("wrong type of a frame field")
    return _CLASSES[tag](*fields)
