"""Messages that spread the log between nodes."""

import dataclasses

from trefoilwind import codec
from trefoilwind.log import port


@codec.message("batch")
@dataclasses.dataclass(frozen=True)
class RecordBatch:
    """Consecutive records of the log.

    Attributes:
        from_offset: Offset that the first record follows or has; there is no
            record between it and the first one.
        entries: Records in order.
        next_offset: Offset to continue from.
    """

    from_offset: int
    entries: tuple[port.Entry, ...]
    next_offset: int


@codec.message("digest")
@dataclasses.dataclass(frozen=True)
class Digest:
    """What a node has folded, so that a peer can send what is missing.

    Attributes:
        next_offset: First offset that the sender lacks.
        wants_answer: True if the receiver should answer with its own digest.
    """

    next_offset: int
    wants_answer: bool = False


@codec.message("snapshot")
@dataclasses.dataclass(frozen=True)
class StateTransfer:
    """Whole state, for a node whose offset is older than the kept records.

    Attributes:
        state: Encoded state.
    """

    state: bytes
