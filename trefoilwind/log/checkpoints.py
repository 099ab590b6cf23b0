"""Checkpoints: the folded state as a record of the log."""

import logging
import zlib

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.log import fold
from trefoilwind.log import port
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

logger = logging.getLogger(__name__)

PAGE_RECORDS = 200
_STEP = "log.checkpoint"


def make(state: state_lib.State, epoch: int) -> records.Checkpoint:
    """Return the checkpoint of a state.

    Args:
        state: State to store.
        epoch: Epoch of the writer's lease.
    """
    data = zlib.compress(codec.encode(state))
    return records.Checkpoint(epoch, state.next_offset, data)


def decode_state(
    checkpoint: records.Checkpoint,
) -> state_lib.State | errors.RecordError:
    """Return the state in a checkpoint; never raises."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(
            checkpoint.state, codec.MAX_MESSAGE_BYTES
        )
    except zlib.error as error:
        return _error(errors.Reason.UNDECODABLE, str(error))
    state = codec.decode(data, _STEP)
    if not isinstance(state, state_lib.State):
        return _error(
            errors.Reason.UNDECODABLE, "checkpoint does not contain a state"
        )
    if state.next_offset != checkpoint.next_offset:
        return _error(
            errors.Reason.UNDECODABLE, "offsets of state and record differ"
        )
    lease = state.lease(fold.CHECKPOINT_LEASE)
    if lease is None or lease.epoch != checkpoint.epoch:
        return _error(
            errors.Reason.STALE_EPOCH, "epoch is not that of the lease"
        )
    return state


def find_next(
    log: port.LogPort, own_offset: int
) -> state_lib.State | errors.Error:
    """Return the state of the first checkpoint that a reader can resume from.

    Args:
        log: The platform's log.
        own_offset: Offset that the reader has reached; only later states are
            returned.
    """
    first = log.first_offset()
    if isinstance(first, errors.LogError):
        return first
    offset = first
    while True:
        page = log.read(offset, PAGE_RECORDS)
        if isinstance(page, errors.LogError):
            return page
        for entry in page.entries:
            state = _decode_usable_state(entry, max(first, own_offset + 1))
            if state is not None:
                return state
        if page.next_offset >= page.end_offset:
            return _error(
                errors.Reason.OFFSET_EXPIRED, "no usable checkpoint in the log"
            )
        offset = page.next_offset


def _decode_usable_state(
    entry: port.Entry, min_offset: int
) -> state_lib.State | None:
    record = codec.decode(entry.payload, _STEP)
    if not isinstance(record, records.Record):
        return None
    if record.kind != records.Checkpoint.__name__:
        return None
    body = codec.decode(record.body, _STEP, record.writer)
    if (
        not isinstance(body, records.Checkpoint)
        or body.next_offset < min_offset
    ):
        return None
    state = decode_state(body)
    if isinstance(state, errors.RecordError):
        logger.warning(
            "log: rejected checkpoint at offset %s: %s", entry.offset, state
        )
        return None
    return state


def _error(reason: errors.Reason, detail: str) -> errors.RecordError:
    return errors.RecordError(reason, _STEP, detail=detail)
