"""Exchange of operator records with nodes that do not read the store."""

from collections.abc import Callable
import logging
import zlib

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.distribution import deltas
from trefoilwind.gateway import control_messages
from trefoilwind.log import keyed
from trefoilwind.logs import decisions

logger = logging.getLogger(__name__)

# Seconds between two requests to any peer.
REQUEST_INTERVAL_S = 0.5
# Records of each key that are kept as bases of deltas.
HISTORY_RECORDS = 4
# Configurations are repetitive text, for which the fastest level is
# sufficient.
_COMPRESSION_LEVEL = 1
# Key of a record that nodes make for each other: the removable keys that had a
# value at its position. The store's adapter accepts no key with this character.
PRESENT_KEY = "\0present"
_STEP = "records.unpack"

RecordsRequest = (
    control_messages.RecordsRequest | control_messages.DeltasRequest
)


class RecordSharing:
    """Keeps the newest record of each key, from the store or from peers."""

    def __init__(
        self,
        on_record: Callable[[keyed.KeyedRecord], None],
        is_removable: Callable[[str], bool] | None = None,
    ):
        """Initialize an empty set of records.

        Args:
            on_record: Called with each record that is newer than the stored
                one of its key.
            is_removable: Returns True for a key whose deletion matters; None
                if there is no such key.
        """
        self._on_record = on_record
        self._is_removable = is_removable
        # Last records of each key, the newest one last.
        self._history: dict[str, list[keyed.KeyedRecord]] = {}
        self._next_request_at = 0.0
        # Packed answers to requests, for the newest records only.
        self._packed: dict[RecordsRequest, bytes] = {}

    @property
    def last_offset(self) -> int:
        """Largest offset of a stored record; -1 for none."""
        newest = (records[-1] for records in self._history.values())
        return max((record.offset for record in newest), default=-1)

    def add(self, record: keyed.KeyedRecord) -> None:
        """Add a record from the store or a peer unless it is outdated."""
        if self._was_removed(record):
            _report_drop(record, self._history[PRESENT_KEY][-1])
            return
        known = self._history.setdefault(record.key, [])
        if known and known[-1].offset >= record.offset:
            if known[-1].value != record.value:
                _report_drop(record, known[-1])
            return
        known.append(record)
        del known[:-HISTORY_RECORDS]
        self._packed.clear()
        if record.key == PRESENT_KEY:
            self._remove_absent()
        else:
            self._on_record(record)

    def note_newest(self, page: keyed.KeyedPage) -> None:
        """Note a page with the newest records of all keys.

        A removable key that is absent from it was deleted. Peers learn of that
        from a record with the keys that are present, as this node does not know
        which deleted keys they have.
        """
        if self._is_removable is None or not page.next_offset:
            return
        present = sorted(
            record.key
            for record in page.records
            if record.value and self._is_removable(record.key)
        )
        value = "\n".join(present).encode()
        self.add(keyed.KeyedRecord(PRESENT_KEY, value, page.next_offset - 1))

    def _was_removed(self, record: keyed.KeyedRecord) -> bool:
        """Return True if a later read of all keys did not find a record."""
        history = self._history.get(PRESENT_KEY)
        if self._is_removable is None or not history or not record.value:
            return False
        present = history[-1]
        return (
            record.offset < present.offset
            and self._is_removable(record.key)
            and record.key not in _keys(present)
        )

    def _remove_absent(self) -> None:
        present = self._history[PRESENT_KEY][-1]
        for records in list(self._history.values()):
            if self._was_removed(records[-1]):
                key = records[-1].key
                self.add(keyed.KeyedRecord(key, b"", present.offset))

    def request(
        self, held_offset: int, needs_peer: bool, now: float
    ) -> control_messages.DeltasRequest | None:
        """Return the request to send to any peer, or None.

        Args:
            held_offset: Largest offset up to which this node has all records.
            needs_peer: True while neither the store nor a reader provides
                the newest records.
            now: Monotonic time in seconds.
        """
        if not needs_peer or now < self._next_request_at:
            return None
        self._next_request_at = now + REQUEST_INTERVAL_S
        return control_messages.DeltasRequest(held_offset)

    def answer(
        self, request: RecordsRequest, next_offset: int | None
    ) -> control_messages.SharedRecords | None:
        """Return the records that a peer lacks, or None.

        Args:
            request: Request of the peer.
            next_offset: Offset up to which this node has read; None if
                unknown.
        """
        if self.last_offset <= request.offset:
            return None
        packed = self._packed.get(request)
        if packed is None:
            packed = self._packed[request] = self._pack(request)
        return control_messages.SharedRecords(packed, next_offset or 0)

    def apply_shared(
        self, shared: control_messages.SharedRecords, peer: str = ""
    ) -> bool:
        """Add the records received from a peer.

        Args:
            shared: Records received.
            peer: Node that sent them.

        Returns:
            True unless the records are malformed, or deltas of records that
            this node does not have.
        """
        records = self._unpack(shared.packed)
        if isinstance(records, errors.Error):
            logger.warning("records: records of a peer not added; %s", records)
            return False
        decisions.failure(
            logger,
            "records_received",
            "records: received from a peer",
            peer=peer,
            records=len(records),
            last_offset=max((r.offset for r in records), default=-1),
            bytes=len(shared.packed),
        )
        for record in records:
            self.add(record)
        return True

    def _pack(self, request: RecordsRequest) -> bytes:
        newest = (records[-1] for records in self._history.values())
        newer = sorted(
            (record for record in newest if record.offset > request.offset),
            key=lambda record: record.offset,
        )
        if isinstance(request, control_messages.DeltasRequest):
            bundle = control_messages.DeltaBundle(
                tuple(self._delta(record, request.offset) for record in newer)
            )
        else:
            bundle = control_messages.RecordBundle(
                tuple(
                    control_messages.SharedRecord(r.key, r.value, r.offset)
                    for r in newer
                )
            )
        return zlib.compress(codec.encode(bundle), _COMPRESSION_LEVEL)

    def _delta(
        self, record: keyed.KeyedRecord, offset: int
    ) -> control_messages.RecordDelta:
        """Return a record as a change of the one that a peer has.

        Args:
            record: Record to send.
            offset: Largest offset that the peer has seen.
        """
        known = [r for r in self._history[record.key] if r.offset <= offset]
        if not known:
            return control_messages.RecordDelta(
                record.key, record.value, record.offset
            )
        delta = deltas.encode(known[-1].value, record.value)
        return control_messages.RecordDelta(
            record.key, delta, record.offset, known[-1].offset
        )

    def _unpack(
        self, packed: bytes
    ) -> tuple[keyed.KeyedRecord, ...] | errors.Error:
        """Return the records, or an error if they cannot be restored."""
        bundle = _unpack_bundle(packed)
        if isinstance(bundle, errors.Error):
            return bundle
        if isinstance(bundle, control_messages.RecordBundle):
            return tuple(
                keyed.KeyedRecord(r.key, r.value, r.offset)
                for r in bundle.records
            )
        restored = []
        for each in bundle.records:
            value = self._restore(each)
            if isinstance(value, errors.Error):
                return value
            restored.append(keyed.KeyedRecord(each.key, value, each.offset))
        return tuple(restored)

    def _restore(
        self, record: control_messages.RecordDelta
    ) -> bytes | errors.Error:
        if record.base_offset < 0:
            return record.delta
        for base in self._history.get(record.key, ()):
            if base.offset == record.base_offset:
                return deltas.apply(base.value, record.delta)
        return _malformed(f"unknown base {record.base_offset}")


def _keys(present: keyed.KeyedRecord) -> list[str]:
    return present.value.decode(errors="replace").split("\n")


def _report_drop(record: keyed.KeyedRecord, newer: keyed.KeyedRecord) -> None:
    decisions.failure(
        logger,
        "record_dropped",
        "records: older than the stored one; dropped",
        key=record.key,
        offset=record.offset,
        stored_offset=newer.offset,
    )


def _unpack_bundle(
    packed: bytes,
) -> (
    control_messages.RecordBundle | control_messages.DeltaBundle | errors.Error
):
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(packed, codec.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return _malformed(str(error))
    bundle = codec.decode(plain, _STEP)
    if isinstance(bundle, errors.Error):
        return bundle
    if not isinstance(
        bundle, control_messages.RecordBundle | control_messages.DeltaBundle
    ):
        return _malformed(type(bundle).__name__)
    return bundle


def _malformed(detail: str) -> errors.Error:
    return errors.Error(errors.Reason.UNDECODABLE, _STEP, "", detail)
