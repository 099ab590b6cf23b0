"""Exchange of operator records with nodes that do not read the store."""

from collections.abc import Callable
import logging
import zlib

from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.gateway import control_messages
from trefoilwind.log import keyed
from trefoilwind.logs import decisions

logger = logging.getLogger(__name__)

# Seconds between two requests of a node whose store is unavailable.
REQUEST_INTERVAL_S = 0.5
# Configurations are repetitive text, for which the fastest level is
# sufficient.
_COMPRESSION_LEVEL = 1
_STEP = "records.unpack"


class RecordSharing:
    """Keeps the newest record of each key, from the store or from peers."""

    def __init__(self, on_record: Callable[[keyed.KeyedRecord], None]):
        """Initialize an empty set of records.

        Args:
            on_record: Called with each record that is newer than the stored
                one of its key.
        """
        self._on_record = on_record
        self._newest: dict[str, keyed.KeyedRecord] = {}
        self._next_request_at = 0.0
        # Last packed bundle, cached with the offsets that it covers.
        self._packed = b""
        self._packed_offsets = (-1, -1)

    @property
    def last_offset(self) -> int:
        """Largest offset of a stored record; -1 for none."""
        return max((r.offset for r in self._newest.values()), default=-1)

    def add(self, record: keyed.KeyedRecord) -> None:
        """Add a record from the store or a peer unless it is outdated."""
        known = self._newest.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        self._newest[record.key] = record
        self._on_record(record)

    def request(
        self, is_unavailable: bool, now: float
    ) -> control_messages.RecordsRequest | None:
        """Return the request to send to a peer, or None.

        Args:
            is_unavailable: True while this node's reads of the store fail.
            now: Monotonic time in seconds.
        """
        if not is_unavailable or now < self._next_request_at:
            return None
        self._next_request_at = now + REQUEST_INTERVAL_S
        return control_messages.RecordsRequest(self.last_offset)

    def answer(
        self, request: control_messages.RecordsRequest, next_offset: int | None
    ) -> control_messages.SharedRecords | None:
        """Return the records that a peer lacks, or None.

        Args:
            request: Request of the peer.
            next_offset: Offset up to which this node has read; None if
                unknown.
        """
        last = self.last_offset
        if last <= request.offset:
            return None
        offsets = (request.offset, last)
        if self._packed_offsets != offsets:
            self._packed = self._pack(request.offset)
            self._packed_offsets = offsets
        return control_messages.SharedRecords(self._packed, next_offset or 0)

    def apply_shared(
        self, shared: control_messages.SharedRecords, peer: str = ""
    ) -> None:
        """Add the records received from a peer."""
        records = _unpack(shared.packed)
        if isinstance(records, errors.Error):
            logger.warning("store: invalid records from a peer; %s", records)
            return
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
