"""Newest operator records, shared with nodes that do not read the store."""

from collections.abc import Callable
import logging
import zlib

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.gateway import control_messages
from trefoilwind.log import keyed

logger = logging.getLogger(__name__)

# Seconds between two requests of a node that does not reach the store.
ASK_INTERVAL_S = 0.5
# Level of the compression: configurations are text that repeats itself, and
# the fastest level does for it.
_COMPRESSION_LEVEL = 1
_STEP = "records.unpack"


class RecordSharing:
    """Keeps the newest record of each key, from the store or from peers."""

    def __init__(self, take: Callable[[keyed.KeyedRecord], None]):
        """Keep records.

        Args:
            take: Called with each record that is newer than the one kept.
        """
        self._take = take
        self._newest: dict[str, keyed.KeyedRecord] = {}
        self._ask_at = 0.0
        # What was packed last, and the offsets between which it lies.
        self._packed = b""
        self._packed_offsets = (-1, -1)

    @property
    def last_offset(self) -> int:
        """Largest offset kept; -1 for none."""
        return max((r.offset for r in self._newest.values()), default=-1)

    def add(self, record: keyed.KeyedRecord) -> None:
        """Take a record of the store or of a peer."""
        known = self._newest.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        self._newest[record.key] = record
        self._take(record)

    def wanted(
        self, is_lost: bool, now: float
    ) -> control_messages.RecordsWanted | None:
        """Return what to ask a peer, or None.

        Args:
            is_lost: True while the store does not answer this node.
            now: Monotonic time in seconds.
        """
        if not is_lost or now < self._ask_at:
            return None
        self._ask_at = now + ASK_INTERVAL_S
        return control_messages.RecordsWanted(self.last_offset)

    def answer(
        self, wanted: control_messages.RecordsWanted, next_offset: int | None
    ) -> control_messages.SharedRecords | None:
        """Return the records that a peer lacks, or None.

        Args:
            wanted: What the peer asked for.
            next_offset: Offset up to which this node has read; None if that
                is not known.
        """
        last = self.last_offset
        if last <= wanted.offset:
            return None
        offsets = (wanted.offset, last)
        if self._packed_offsets != offsets:
            self._packed = self._pack(wanted.offset)
            self._packed_offsets = offsets
        return control_messages.SharedRecords(self._packed, next_offset or 0)

    def take_shared(self, shared: control_messages.SharedRecords) -> None:
        """Take the records of a peer."""
        records = _unpack(shared.packed)
        if isinstance(records, errors.Error):
            logger.warning("store: %s", records)
            return
        logger.info("store: %d records from a peer", len(records))
        for record in records:
            self.add(keyed.KeyedRecord(record.key, record.value, record.offset))

    def _pack(self, after: int) -> bytes:
        newer = sorted(
            (r for r in self._newest.values() if r.offset > after),
            key=lambda record: record.offset,
        )
        bundle = control_messages.RecordBundle(
            tuple(
                control_messages.SharedRecord(r.key, r.value, r.offset)
                for r in newer
            )
        )
        return zlib.compress(codec.encode(bundle), _COMPRESSION_LEVEL)


def _unpack(
    packed: bytes,
) -> tuple[control_messages.SharedRecord, ...] | errors.Error:
    """Return the records, or an error if they are malformed."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(packed, codec.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return _malformed(str(error))
    bundle = codec.decode(plain, _STEP)
    if isinstance(bundle, errors.Error):
        return bundle
    if not isinstance(bundle, control_messages.RecordBundle):
        return _malformed(type(bundle).__name__)
    return bundle.records


def _malformed(detail: str) -> errors.Error:
    return errors.Error(errors.Reason.UNDECODABLE, _STEP, "", detail)
