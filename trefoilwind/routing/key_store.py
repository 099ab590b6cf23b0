"""Keeper's records of idempotency keys; bounded, with stored deadlines."""

import collections
import dataclasses
import heapq

from trefoilwind.routing import key_messages

MAX_KEYS = 100_000
MAX_ANSWER_BYTES = 16 * 1024
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024

_Status = key_messages.KeyStatus


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """What a keeper knows of one key.

    Attributes:
        digest: Digest of the request.
        token: Claim that the record belongs to; empty if two claims met, so
            that neither can release it.
        status: HELD, DONE or UNKNOWN.
        held_until: Monotonic time in seconds after which HELD is UNKNOWN.
        expires_at: Monotonic time in seconds at which the record ends.
        answer: The recorded answer, if it was kept.
    """

    digest: str
    token: str
    status: key_messages.KeyStatus
    held_until: float
    expires_at: float
    answer: key_messages.RecordedAnswer | None = None


class KeyStore:
    """Records by key.

    A live record is never evicted: a full store refuses new keys. Answers
    are evicted, oldest first; their records stay.
    """

    def __init__(
        self,
        max_keys: int = MAX_KEYS,
        max_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ):
        self._max_keys = max_keys
        self._max_answer_bytes = max_answer_bytes
        self._records: dict[str, KeyRecord] = {}
        self._expiries: list[tuple[float, str]] = []
        self._answered: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """Bytes of all recorded answers."""
        return self._answer_bytes

    def claim(
        self, claim: key_messages.KeyClaim, now: float
    ) -> key_messages.Decision:
        """Record a claim, or return what stands against it."""
        known = self._records.get(claim.key)
        if known is not None and known.expires_at > now:
            return _judge(known, claim, now)
        if known is None and len(self._records) >= self._max_keys:
            return key_messages.Decision(_Status.REFUSED)
        self._drop(claim.key)
        record = KeyRecord(
            claim.digest,
            claim.token,
            _Status.HELD,
            now + claim.held_s,
            now + claim.lifetime_s,
        )
        self._put(claim.key, record)
        return key_messages.Decision(_Status.NEW)

    def settle(self, settle: key_messages.KeySettle, now: float) -> None:
        """Record how a claim ended."""
        known = self._records.get(settle.key)
        if settle.status is _Status.RELEASED:
            if _is_held_by(known, settle.token):
                self._drop(settle.key)
            return
        if known is not None and known.status is _Status.DONE:
            return
        record = KeyRecord(
            settle.digest,
            settle.token,
            settle.status,
            now,
            now + settle.lifetime_s,
            settle.answer,
        )
        self._put(settle.key, record)

    def merge(self, entry: key_messages.LeasedKey, now: float) -> None:
        """Take a record of another keeper; what blocks more holds."""
        received = KeyRecord(
            entry.digest,
            entry.token,
            entry.status,
            now + entry.held_s,
            now + entry.lifetime_s,
            entry.answer,
        )
        known = self._records.get(entry.key)
        if known is None or known.expires_at <= now:
            self._put(entry.key, received)
        elif known.status is not _Status.DONE:
            self._put(entry.key, _merge_records(known, received))

    def entries(self, now: float) -> list[tuple[str, key_messages.LeasedKey]]:
        """Return all live records with their keys."""
        return [
            (key, _leased(key, record, now))
            for key, record in self._records.items()
            if record.expires_at > now
        ]

    def expire(self, now: float) -> None:
        """Drop the records whose deadline passed."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is not None and record.expires_at <= now:
                self._drop(key)

    def _put(self, key: str, record: KeyRecord) -> None:
        known = self._records.get(key)
        self._forget_answer(key)
        self._records[key] = record
        if known is None or known.expires_at != record.expires_at:
            heapq.heappush(self._expiries, (record.expires_at, key))
        if record.answer is not None:
            size = len(record.answer.body)
            self._answered[key] = size
            self._answer_bytes += size
            self._evict_answers()

    def _drop(self, key: str) -> None:
        self._forget_answer(key)
        self._records.pop(key, None)

    def _forget_answer(self, key: str) -> None:
        self._answer_bytes -= self._answered.pop(key, 0)

    def _evict_answers(self) -> None:
        while self._answer_bytes > self._max_answer_bytes:
            key = next(iter(self._answered))
            self._forget_answer(key)
            record = self._records[key]
            self._records[key] = dataclasses.replace(record, answer=None)


def _judge(
    known: KeyRecord, claim: key_messages.KeyClaim, now: float
) -> key_messages.Decision:
    if known.digest != claim.digest:
        return key_messages.Decision(_Status.MISMATCH)
    if known.status is not _Status.HELD:
        return key_messages.Decision(known.status, known.answer)
    if known.token == claim.token:
        return key_messages.Decision(_Status.NEW)
    if known.held_until <= now:
        return key_messages.Decision(_Status.UNKNOWN)
    return key_messages.Decision(_Status.HELD)


def _is_held_by(known: KeyRecord | None, token: str) -> bool:
    return (
        known is not None
        and known.status is _Status.HELD
        and known.token == token
    )


def _merge_records(known: KeyRecord, received: KeyRecord) -> KeyRecord:
    if received.status is _Status.DONE:
        return received
    is_same = known.token == received.token
    is_unknown = _Status.UNKNOWN in (known.status, received.status)
    return dataclasses.replace(
        known,
        token=known.token if is_same else "",
        status=_Status.UNKNOWN if is_unknown else _Status.HELD,
        held_until=max(known.held_until, received.held_until),
        expires_at=max(known.expires_at, received.expires_at),
    )


def _leased(key: str, record: KeyRecord, now: float) -> key_messages.LeasedKey:
    return key_messages.LeasedKey(
        key,
        record.digest,
        record.token,
        record.status,
        max(0.0, record.held_until - now),
        record.expires_at - now,
        record.answer,
    )
