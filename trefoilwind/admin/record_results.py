"""Results of the records that operators submitted."""

import collections
import dataclasses
import enum
import threading

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.log import fold
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

MAX_RESULTS = 1024
_STEP = "admin.records"


@enum.unique
class Progress(enum.Enum):
    """Progress of a record at one node."""

    PENDING = "pending"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    # In the log, but folded by another node, whose state this node applied.
    FOLDED = "folded"


@dataclasses.dataclass(frozen=True)
class RecordResult:
    """Result of one record.

    Attributes:
        record_id: Id of the record.
        progress: Progress of the record.
        offset: Offset in the log; -1 if unknown.
        reason: Value of the `errors.Reason` of a rejection; empty if none.
        detail: Short description for operators.
    """

    record_id: str
    progress: Progress
    offset: int = -1
    reason: str = ""
    detail: str = ""


class RecordResults:
    """Results of recent records. Safe for use by many threads."""

    def __init__(self, hybrid_clock: events.HybridClock):
        self._hybrid_clock = hybrid_clock
        self._lock = threading.Lock()
        self._results: collections.OrderedDict[str, RecordResult] = (
            collections.OrderedDict()
        )

    def add(self, payload: bytes, offset: int, folded: fold.FoldResult) -> None:
        """Add a folded record.

        Advances the hybrid clock past the writer's stamp. The result is kept
        if the record is a publication or a move; of several records with the
        same id the first one counts.
        """
        record = codec.decode(payload, _STEP)
        if not isinstance(record, records.Record):
            return
        self._hybrid_clock.merge(events.Stamp(record.wall_ms, record.counter))
        if not isinstance(
            folded.body, (records.Publication, records.MoveRequest)
        ):
            return
        result = _result(record.record_id, offset, folded.error)
        with self._lock:
            if record.record_id in self._results:
                return
            self._results[record.record_id] = result
            while len(self._results) > MAX_RESULTS:
                self._results.popitem(last=False)

    def find(self, record_id: str, state: state_lib.State) -> RecordResult:
        """Return the result of a record; pending if this node has none.

        Args:
            record_id: Id of the record.
            state: Current state of this node.
        """
        with self._lock:
            result = self._results.get(record_id)
        if result is not None:
            return result
        if any(s.move.move_id == record_id for s in state.moves):
            return RecordResult(record_id, Progress.ACCEPTED)
        if record_id in state.recent_ids:
            return RecordResult(record_id, Progress.FOLDED)
        return RecordResult(record_id, Progress.PENDING)


def _result(
    record_id: str, offset: int, error: errors.RecordError | None
) -> RecordResult:
    if error is None:
        return RecordResult(record_id, Progress.ACCEPTED, offset)
    return RecordResult(
        record_id,
        Progress.REJECTED,
        offset,
        error.reason.value,
        error.detail,
    )
