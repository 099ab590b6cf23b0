"""Fold of the log into the state, with the same result on every node.

Each record is accepted or rejected as a whole.
"""

from collections.abc import Callable
import dataclasses

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.log import validation
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

_STEP = "log.fold"
MAX_RECENT_IDS = 1024
MAX_LEASE_S = 600.0
MAX_RECORD_BYTES = 2 * 1024 * 1024
MAX_ENDED_MOVES = 64

_Handler = Callable[
    [state_lib.State, int, records.Record, object],
    state_lib.State | errors.RecordError,
]


@dataclasses.dataclass(frozen=True)
class FoldResult:
    """Result of folding one record.

    Attributes:
        state: The new state; its next offset is past the record in any case.
        error: Why the record was rejected, or None.
        body: The decoded body, or None if it could not be decoded.
    """

    state: state_lib.State
    error: errors.RecordError | None
    body: object | None = None


def fold(state: state_lib.State, offset: int, payload: bytes) -> FoldResult:
    """Fold one record into the state.

    Args:
        state: State before the record; `offset` is not before its next offset.
        offset: Offset of the record.
        payload: Bytes of the record.
    """
    advanced = dataclasses.replace(state, next_offset=offset + 1)
    if len(payload) > MAX_RECORD_BYTES:
        return FoldResult(
            advanced,
            _error(errors.Reason.UNDECODABLE, "", "record is too large"),
        )
    record = codec.decode(payload, _STEP)
    if not isinstance(record, records.Record):
        return FoldResult(
            advanced, _error(errors.Reason.UNDECODABLE, "", str(offset))
        )
    if record.record_id in state.recent_ids:
        reason = errors.Reason.REPEATED_RECORD
        return FoldResult(
            advanced, _error(reason, record.writer, record.record_id)
        )
    body = codec.decode(record.body, _STEP, record.writer)
    handler = _HANDLERS.get(type(body))
    if handler is None or type(body).__name__ != record.kind:
        reason = errors.Reason.UNDECODABLE
        return FoldResult(advanced, _error(reason, record.writer, record.kind))
    if type(body) in _DEDUPLICATED_TYPES:
        advanced = _add_recent_id(advanced, record.record_id)
    result = handler(advanced, offset, record, body)
    if isinstance(result, errors.RecordError):
        return FoldResult(advanced, result, body)
    return FoldResult(result, None, body)


def _error(
    reason: errors.Reason, peer: str, detail: str = ""
) -> errors.RecordError:
    return errors.RecordError(reason, _STEP, peer, detail)


def _add_recent_id(state: state_lib.State, record_id: str) -> state_lib.State:
    ids = (*state.recent_ids, record_id)[-MAX_RECENT_IDS:]
    return dataclasses.replace(state, recent_ids=ids)


def _fold_publication(
    state: state_lib.State,
    offset: int,
    record: records.Record,
    body: records.Publication,
) -> state_lib.State | errors.RecordError:
    if body.base_version != state.version:
        return _error(
            errors.Reason.STALE_BASE,
            record.writer,
            f"based on {body.base_version}, current is {state.version}",
        )
    problems = validation.validate(body.configuration)
    problems += validation.validate_open_moves(state, body.configuration)
    if problems:
        return _error(problems[0].reason, record.writer, str(problems[0]))
    return dataclasses.replace(
        state,
        version=offset,
        configuration=body.configuration,
        stable=_remove_undefined_stable(state.stable, body.configuration),
    )


def _remove_undefined_stable(
    stable: tuple[state_lib.StableVersion, ...],
    configuration: configuration_lib.Configuration,
) -> tuple[state_lib.StableVersion, ...]:
    halves = ("", *configuration.halves)
    return tuple(
        s
        for s in stable
        if configuration.service(s.service) is not None
        and s.half in halves
        and s.to_half in halves
    )


def _fold_move(
    state: state_lib.State,
    offset: int,
    record: records.Record,
    body: records.MoveRequest,
) -> state_lib.State | errors.RecordError:
    problem = validation.validate_move(state, body)
    if problem is not None:
        return dataclasses.replace(problem, peer=record.writer)
    move = moves.Move(
        move_id=record.record_id,
        service=body.service,
        version=body.version,
        from_version=state.stable_version(body.service, body.half),
        deadline=body.deadline,
        started=body.started,
        half=body.half,
        to_half=body.to_half,
    )
    kept = _trim_ended(state.moves)
    return dataclasses.replace(state, moves=(*kept, moves.MoveStatus(move)))


def _trim_ended(
    statuses: tuple[moves.MoveStatus, ...],
) -> tuple[moves.MoveStatus, ...]:
    ended = [status for status in statuses if not status.is_open]
    dropped = {s.move.move_id for s in ended[:-MAX_ENDED_MOVES]}
    return tuple(s for s in statuses if s.move.move_id not in dropped)


def _fold_outcome(
    state: state_lib.State,
    offset: int,
    record: records.Record,
    body: moves.Outcome,
) -> state_lib.State | errors.RecordError:
    status = next(
        (s for s in state.moves if s.move.move_id == body.move_id), None
    )
    if status is None:
        reason = errors.Reason.MOVE_UNKNOWN
        return _error(reason, record.writer, body.move_id)
    if not status.is_open:
        reason = errors.Reason.MOVE_ENDED
        return _error(reason, record.writer, body.move_id)
    if body.result is moves.Result.UNDONE:
        return _with_status(
            state, dataclasses.replace(status, outcome=body, proposal=None)
        )
    if status.proposal is None:
        if body.at > status.move.deadline:
            reason = errors.Reason.DEADLINE_EXCEEDED
            return _error(reason, record.writer, body.move_id)
        return _with_status(state, dataclasses.replace(status, proposal=body))
    if body.at < status.proposal.at + moves.CONFIRMATION_DELAY_S:
        reason = errors.Reason.REPEATED_RECORD
        return _error(reason, record.writer, body.move_id)
    ended = dataclasses.replace(status, outcome=status.proposal, proposal=None)
    return dataclasses.replace(
        _with_status(state, ended),
        stable=_with_stable(state.stable, status.move),
    )


def _with_status(
    state: state_lib.State, changed: moves.MoveStatus
) -> state_lib.State:
    statuses = tuple(
        changed if s.move.move_id == changed.move.move_id else s
        for s in state.moves
    )
    return dataclasses.replace(state, moves=statuses)


def _with_stable(
    stable: tuple[state_lib.StableVersion, ...], move: moves.Move
) -> tuple[state_lib.StableVersion, ...]:
    # A move of both halves replaces the stable versions of single halves.
    kept = tuple(
        s
        for s in stable
        if s.service != move.service or (move.half and s.half != move.half)
    )
    entry = state_lib.StableVersion(
        move.service, move.half, move.version, move.to_half
    )
    return (*kept, entry)


def _fold_lease(
    state: state_lib.State,
    offset: int,
    record: records.Record,
    body: records.LeaseClaim,
) -> state_lib.State | errors.RecordError:
    length_s = body.expires_at - body.claimed_at
    if not 0.0 < length_s <= MAX_LEASE_S or not body.holder:
        return _error(errors.Reason.OUT_OF_RANGE, record.writer, body.name)
    current = state.lease(body.name)
    is_held = current is not None and body.claimed_at < current.expires_at
    if is_held and current.holder != body.holder:
        return _error(errors.Reason.LEASE_HELD, record.writer, current.holder)
    if is_held and body.expires_at <= current.expires_at:
        return _error(errors.Reason.REPEATED_RECORD, record.writer, body.name)
    epoch = current.epoch if is_held else offset
    lease = state_lib.Lease(body.name, body.holder, epoch, body.expires_at)
    others = tuple(x for x in state.leases if x.name != body.name)
    return dataclasses.replace(state, leases=(*others, lease))


def _fold_checkpoint(
    state: state_lib.State,
    offset: int,
    record: records.Record,
    body: records.Checkpoint,
) -> state_lib.State | errors.RecordError:
    lease = state.lease(CHECKPOINT_LEASE)
    if lease is None or lease.epoch != body.epoch:
        return _error(errors.Reason.STALE_EPOCH, record.writer)
    return dataclasses.replace(state, checkpoint_offset=offset)


def _fold_contacts(
    state: state_lib.State,
    offset: int,
    record: records.Record,
    body: records.Contacts,
) -> state_lib.State | errors.RecordError:
    lease = state.lease(registrar_lease(body.data_centre))
    if lease is None or lease.epoch != body.epoch:
        return _error(errors.Reason.STALE_EPOCH, record.writer)
    others = tuple(
        c for c in state.contacts if c.data_centre != body.data_centre
    )
    return dataclasses.replace(state, contacts=(*others, body))


CHECKPOINT_LEASE = "checkpoint"


def registrar_lease(data_centre: str) -> str:
    """Return the name of the lease of a data centre's registrar."""
    return f"registrar/{data_centre}"


_HANDLERS: dict[type, _Handler] = {
    records.Publication: _fold_publication,
    records.MoveRequest: _fold_move,
    moves.Outcome: _fold_outcome,
    records.LeaseClaim: _fold_lease,
    records.Checkpoint: _fold_checkpoint,
    records.Contacts: _fold_contacts,
}

# Types whose record ids are kept to reject duplicates. Duplicates of the other
# types change nothing, so their ids need not be kept.
_DEDUPLICATED_TYPES = (records.Publication, records.MoveRequest, moves.Outcome)
