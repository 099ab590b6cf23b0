"""Messages that manage control links and spread the log over them."""

import dataclasses
import zlib

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.log import port
from trefoilwind.model import records

COMPRESS_FROM_BYTES = 256
_STEP = "distribution.unpack"


@codec.message("batch")
@dataclasses.dataclass(frozen=True)
class RecordBatch:
    """Consecutive records of the log.

    Attributes:
        from_offset: Offset of the first record or an earlier one; no record
            lies between it and the first one.
        entries: Records in order.
        next_offset: Offset to continue from.
    """

    from_offset: int
    entries: tuple[port.Entry, ...]
    next_offset: int


@codec.message("packed")
@dataclasses.dataclass(frozen=True)
class Packed:
    """Another message, compressed.

    Attributes:
        data: Compressed bytes of the encoded message.
    """

    data: bytes


@codec.message("digest")
@dataclasses.dataclass(frozen=True)
class Digest:
    """Progress of a node, so that a peer can send the missing records.

    Attributes:
        next_offset: First offset that the sender lacks.
        wants_answer: True if the receiver should answer with its own digest.
    """

    next_offset: int
    wants_answer: bool = False


@codec.message("snapshot")
@dataclasses.dataclass(frozen=True)
class StateTransfer:
    """Complete state, for a node that lags behind the recent records.

    Attributes:
        state: Encoded state.
    """

    state: bytes


@codec.message("push")
@dataclasses.dataclass(frozen=True)
class PushRequest:
    """Requests that the receiver push messages on this link for a while."""


@codec.message("link-open")
@dataclasses.dataclass(frozen=True)
class LinkOpen:
    """Request for a control link; repeated for as long as it is wanted."""


@codec.message("link-close")
@dataclasses.dataclass(frozen=True)
class LinkClose:
    """The sender no longer wants a control link."""


@codec.message("refusal")
@dataclasses.dataclass(frozen=True)
class Refusal:
    """The sender accepts no further control link at present.

    Attributes:
        contacts: Other nodes to try.
    """

    contacts: tuple[records.Contact, ...]


def pack(message: RecordBatch | StateTransfer):
    """Return the message, compressed if that makes it smaller."""
    data = codec.encode(message)
    if len(data) < COMPRESS_FROM_BYTES:
        return message
    compressed = zlib.compress(data)
    return Packed(compressed) if len(compressed) < len(data) else message


def unpack(
    packed: Packed, peer: str
) -> RecordBatch | StateTransfer | errors.StreamError:
    """Return the decompressed message or an error; never raises."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed.data, codec.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return _undecodable(peer, str(error))
    if not decompressor.eof:
        return _undecodable(
            peer, "compressed message is truncated or too large"
        )
    message = codec.decode(data, _STEP, peer)
    if isinstance(message, (RecordBatch, StateTransfer, errors.StreamError)):
        return message
    return _undecodable(peer, type(message).__name__)


def _undecodable(peer: str, detail: str) -> errors.StreamError:
    return errors.StreamError(errors.Reason.UNDECODABLE, _STEP, peer, detail)
