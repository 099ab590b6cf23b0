"""Bounded store of a keeper's records of idempotency keys, with deadlines."""

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
    """Record of one key at a keeper.

    Attributes:
        digest: Digest of the request.
        token: Claim that the record belongs to; empty if records of two claims
            were merged, so that neither can release it.
        status: HELD, DONE or UNKNOWN.
        held_until: Monotonic time in seconds after which HELD becomes UNKNOWN.
        expires_at: Monotonic time in seconds at which the record expires.
        answer: Recorded answer, if it was stored.
    """

    digest: str
    token: str
    status: key_messages.KeyStatus
    held_until: float
    expires_at: float
    answer: key_messages.RecordedAnswer | None = None


class KeyStore:
    """Records by key.

    A live record is never evicted: a full store refuses new keys. Recorded
    answers are evicted, oldest first; their records stay.
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
        self._answer_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """Total size of all recorded answers in bytes."""
        return self._answer_bytes

    def claim(
        self, claim: key_messages.KeyClaim, now: float
    ) -> key_messages.Decision:
        """Record a claim, or return the state that conflicts with it."""
        existing = self._records.get(claim.key)
        if existing is not None and existing.expires_at > now:
            return _decide(existing, claim, now)
        if existing is None and len(self._records) >= self._max_keys:
            return key_messages.Decision(_Status.REFUSED)
        self._remove(claim.key)
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
        existing = self._records.get(settle.key)
        if settle.status is _Status.RELEASED:
            if _is_held_by(existing, settle.token):
                self._remove(settle.key)
            return
        if existing is not None and existing.status is _Status.DONE:
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
        """Merge a record of another keeper; the more restrictive state wins."""
        received = KeyRecord(
            entry.digest,
            entry.token,
            entry.status,
            now + entry.held_s,
            now + entry.lifetime_s,
            entry.answer,
        )
        existing = self._records.get(entry.key)
        if existing is None or existing.expires_at <= now:
            self._put(entry.key, received)
        elif existing.status is not _Status.DONE:
            self._put(entry.key, _merge_records(existing, received))

    def entries(self, now: float) -> list[tuple[str, key_messages.LeasedKey]]:
        """Return all live records with their keys."""
        return [
            (key, _leased(key, record, now))
            for key, record in self._records.items()
            if record.expires_at > now
        ]

    def expire(self, now: float) -> None:
        """Remove the records whose deadline has passed."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is not None and record.expires_at <= now:
                self._remove(key)

    def _put(self, key: str, record: KeyRecord) -> None:
        existing = self._records.get(key)
        self._remove_answer(key)
        self._records[key] = record
        if existing is None or existing.expires_at != record.expires_at:
            heapq.heappush(self._expiries, (record.expires_at, key))
        if record.answer is not None:
            size = len(record.answer.body)
            self._answer_sizes[key] = size
            self._answer_bytes += size
            self._evict_answers()

    def _remove(self, key: str) -> None:
        self._remove_answer(key)
        self._records.pop(key, None)

    def _remove_answer(self, key: str) -> None:
        self._answer_bytes -= self._answer_sizes.pop(key, 0)

    def _evict_answers(self) -> None:
        while self._answer_bytes > self._max_answer_bytes:
            key = next(iter(self._answer_sizes))
            self._remove_answer(key)
            record = self._records[key]
            self._records[key] = dataclasses.replace(record, answer=None)


def _decide(
    existing: KeyRecord, claim: key_messages.KeyClaim, now: float
) -> key_messages.Decision:
    if existing.digest != claim.digest:
        return key_messages.Decision(_Status.MISMATCH)
    if existing.status is not _Status.HELD:
        return key_messages.Decision(existing.status, existing.answer)
    if existing.token == claim.token:
        return key_messages.Decision(_Status.NEW)
    if existing.held_until <= now:
        return key_messages.Decision(_Status.UNKNOWN)
    return key_messages.Decision(_Status.HELD)


def _is_held_by(existing: KeyRecord | None, token: str) -> bool:
    return (
        existing is not None
        and existing.status is _Status.HELD
        and existing.token == token
    )


def _merge_records(existing: KeyRecord, received: KeyRecord) -> KeyRecord:
    if received.status is _Status.DONE:
        return received
    is_same = existing.token == received.token
    is_unknown = _Status.UNKNOWN in (existing.status, received.status)
    return dataclasses.replace(
        existing,
        token=existing.token if is_same else "",
        status=_Status.UNKNOWN if is_unknown else _Status.HELD,
        held_until=max(existing.held_until, received.held_until),
        expires_at=max(existing.expires_at, received.expires_at),
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
