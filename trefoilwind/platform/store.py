"""Client of the platform's store: adapter of the port `log.keyed`."""

import asyncio
import base64
import dataclasses
import json
import logging
import struct
from typing import Any
import urllib.parse

from trefoilwind import errors
from trefoilwind.gateway import http_client
from trefoilwind.gateway import http_types
from trefoilwind.gateway import interruption
from trefoilwind.log import keyed
from trefoilwind.logs import decisions
from trefoilwind.model import addresses
from trefoilwind.model import positions

logger = logging.getLogger(__name__)

# Topics with this prefix keep the newest record of each key.
_KEYED_PREFIX = "keyed."
OPERATOR_TOPIC = "op"
STATUS_TOPIC = "status"
# Timeout of an answer in seconds, beyond the wait that the call requests, and
# of each further part of an answer that has begun.
CALL_TIMEOUT_S = 2.0
# Idle connections kept to the store: one to read each topic, one to write.
_MAX_IDLE_CONNECTIONS = 4
# Number of times that the store was restored from a copy, in all its answers.
_ERA = b"store-era"
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
_MS_PER_S = 1000
_OK = 200
# The length of a key is one byte.
_MAX_KEY_BYTES = 255
# Exceptions that decoding a malformed answer may raise.
_MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
    struct.error,
)

_REASON_BY_STATUS = {
    409: errors.Reason.STALE_EPOCH,
    410: errors.Reason.OFFSET_EXPIRED,
    412: errors.Reason.STALE_BASE,
}
# Errors of a connection after which a call may have been executed.
_UNKNOWN_RESULT_REASONS = frozenset(
    {errors.Reason.BACKEND_FAILED, errors.Reason.DEADLINE_EXCEEDED}
)


class PlatformStore:
    """Client of the store; a call without an answer closes its connection."""

    def __init__(self, address: addresses.Address):
        self._address = address
        self._host = str(address).encode()
        self._client = http_client.HttpClient(
            address, _MAX_IDLE_CONNECTIONS, has_keepalive=True
        )
        self._calls = 0
        # Latest era of the store; None before its first answer.
        self._era: int | None = None
        # Reads that wait for records, with the era of their offset.
        self._waiting_reads: dict[asyncio.Future[None], int] = {}

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._calls

    async def newest(self, topic: str) -> keyed.KeyedPage | errors.LogError:
        """Return the newest record of each key."""
        records: list[keyed.KeyedRecord] = []
        after = ""
        first_end: int | None = None
        while True:
            query = {"topic": _KEYED_PREFIX + topic, "part": "0"}
            if after:
                query["after"] = after
            answer = await self._call("GET", "/-/log-newest", query)
            if isinstance(answer, errors.LogError):
                return answer
            page = _decode_newest(answer.body, _era(answer))
            if isinstance(page, errors.LogError):
                return page
            if records and _has_other_era(page, records[0].offset):
                return _restored(errors.Reason.LOG_UNAVAILABLE, "log-newest")
            records.extend(page.records)
            # Pages are not one snapshot: records appended after the first page
            # was made are read again.
            if first_end is None:
                first_end = page.end_offset
            if not page.has_more or page.last_key in ("", after):
                return keyed.KeyedPage(tuple(records), first_end)
            after = page.last_key

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        """Return the records from an offset onwards.

        Ends early if another call finds that the store was restored.
        """
        era = positions.era(offset)
        if self._era is not None and era < self._era:
            return _restored(errors.Reason.OFFSET_EXPIRED, "log-read")
        restored = asyncio.get_running_loop().create_future()
        self._waiting_reads[restored] = era
        try:
            page = await interruption.run_until(
                self._read(topic, offset, wait_s), restored
            )
        finally:
            del self._waiting_reads[restored]
        if page is None:
            return _restored(errors.Reason.OFFSET_EXPIRED, "log-read")
        return page

    async def _read(
        self, topic: str, offset: int, wait_s: float
    ) -> keyed.KeyedPage | errors.LogError:
        query = {
            "topic": _KEYED_PREFIX + topic,
            "part": "0",
            "from": str(positions.offset(offset)),
            "wait_ms": str(int(wait_s * _MS_PER_S)),
        }
        answer = await self._call("GET", "/-/log-read", query, wait_s=wait_s)
        if isinstance(answer, errors.LogError):
            return answer
        if _era(answer) != positions.era(offset):
            return _restored(errors.Reason.OFFSET_EXPIRED, "log-read")
        return _decode_page(answer.body, offset)

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int | errors.LogError:
        """Append a record and return its offset."""
        query = {"topic": _KEYED_PREFIX + topic, "part": "0"}
        if at is not None:
            if positions.era(at) < (self._era or 0):
                return _restored(errors.Reason.STALE_BASE, "log-append")
            query["at"] = str(positions.offset(at))
        body = _encode_record(key, value)
        if isinstance(body, errors.LogError):
            return body
        answer = await self._call("POST", "/-/log-append", query, body)
        if isinstance(answer, errors.LogError):
            return answer
        era = _era(answer)
        if at is not None and era != positions.era(at):
            # Stored, but after records that the caller has not read.
            return _restored(errors.Reason.STALE_BASE, "log-append")
        try:
            offset = int(json.loads(answer.body)["offset"])
            return positions.position(era, offset)
        except _MALFORMED_ERRORS as error:
            return _undecodable(error)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> http_types.HttpAnswer | errors.LogError:
        self._calls += 1
        # The key of another writer need not be valid UTF-8.
        fields = urllib.parse.urlencode(query, errors="surrogatepass")
        target = f"{path}?{fields}"
        head = b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (
            method.encode(),
            target.encode(),
            self._host,
        )
        if method == "POST":
            head += b"Content-Length: %d\r\n" % len(body)
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S + wait_s
        answer = await self._client.call(
            head + b"\r\n", body, deadline, progress_s=CALL_TIMEOUT_S
        )
        step = f"store.{path.rpartition('/')[2]}"
        if isinstance(answer, errors.CallError):
            return self._connection_error(answer, step)
        self._note_era(_era(answer))
        if answer.status == _OK:
            return answer
        reason = _REASON_BY_STATUS.get(
            answer.status, errors.Reason.LOG_UNAVAILABLE
        )
        return errors.LogError(
            reason, step, str(self._address), f"status {answer.status}"
        )

    def _note_era(self, era: int) -> None:
        old_era = self._era
        if old_era is not None and era <= old_era:
            return
        self._era = era
        if old_era is None:
            return
        decisions.failure(
            logger,
            "store_restored",
            "store: restored from a copy",
            era=era,
            old_era=old_era,
        )
        for restored, read_era in self._waiting_reads.items():
            if read_era < era and not restored.done():
                restored.set_result(None)

    def _connection_error(
        self, error: errors.CallError, step: str
    ) -> errors.LogError:
        reason = errors.Reason.LOG_UNAVAILABLE
        if error.reason in _UNKNOWN_RESULT_REASONS:
            reason = errors.Reason.LOG_UNKNOWN_RESULT
        detail = f"{error.reason.value} {error.detail}".strip()
        return errors.LogError(reason, step, str(self._address), detail)


@dataclasses.dataclass(frozen=True)
class _NewestPage:
    """A page of the newest records.

    Attributes:
        records: Newest records of some keys, without those with odd keys.
        end_offset: End of the topic when the page was made.
        has_more: True if further keys follow.
        last_key: Key after which they follow; empty if unknown.
    """

    records: tuple[keyed.KeyedRecord, ...]
    end_offset: int
    has_more: bool
    last_key: str


def _era(answer: http_types.HttpAnswer) -> int:
    """Return the era in an answer; 0 if it names none."""
    text = answer.header(_ERA)
    return int(text) if text.isdigit() else 0


def _encode_record(key: str, value: bytes) -> bytes | errors.LogError:
    name = key.encode(errors="replace")
    if not _is_key(key) or len(name) > _MAX_KEY_BYTES:
        return errors.LogError(
            errors.Reason.OUT_OF_RANGE, "store.encode", detail="odd key"
        )
    content = bytes((len(name),)) + name + value
    return _RECORD_LENGTH.pack(len(content)) + content


def _has_other_era(page: _NewestPage, offset: int) -> bool:
    return positions.era(page.end_offset) != positions.era(offset)


def _restored(reason: errors.Reason, call: str) -> errors.LogError:
    return errors.LogError(
        reason, f"store.{call}", detail="the store was restored from a copy"
    )


def _is_key(text: str) -> bool:
    """Return True if a text can be sent back to the store and be logged.

    The store accepts any bytes as a key, also of other writers.
    """
    return text.isprintable()


def _decode_newest(body: bytes, era: int = 0) -> _NewestPage | errors.LogError:
    records = []
    last_key = ""
    try:
        plain: Any = json.loads(body)
        for item in plain["items"]:
            key = item["key"]
            value = base64.b64decode(item.get("value") or "")
            offset = positions.position(era, int(item["offset"]))
            if _is_key(key):
                records.append(keyed.KeyedRecord(key, value, offset))
            else:
                last_key = key
                _report_odd(offset, key)
        if records:
            last_key = records[-1].key
        end = positions.position(era, int(plain["end_offset"]))
        has_more = bool(plain.get("has_more"))
    except _MALFORMED_ERRORS as error:
        return _undecodable(error)
    return _NewestPage(tuple(records), end, has_more, last_key)


def _decode_page(body: bytes, offset: int) -> keyed.KeyedPage | errors.LogError:
    records = []
    try:
        _PAGE_HEADER.unpack_from(body)
        position = _PAGE_HEADER.size
        while position < len(body):
            (length,) = _RECORD_LENGTH.unpack_from(body, position)
            position += _RECORD_LENGTH.size
            content = body[position : position + length]
            if len(content) != length:
                raise ValueError("truncated record")
            record = _decode_record(content, offset)
            if record is not None:
                records.append(record)
            position += length
            offset += 1
    except _MALFORMED_ERRORS as error:
        return _undecodable(error)
    return keyed.KeyedPage(tuple(records), offset)


def _decode_record(content: bytes, offset: int) -> keyed.KeyedRecord | None:
    """Return a record, or None if another writer gave it an odd key."""
    end = 1 + content[0] if content else 1
    name = content[1:end]
    key = name.decode(errors="surrogateescape")
    if len(content) < end or not _is_key(key):
        _report_odd(offset, key)
        return None
    return keyed.KeyedRecord(key, content[end:], offset)


def _report_odd(offset: int, key: str) -> None:
    logger.warning(
        "store: record left out; odd key %a at offset %d", key, offset
    )


def _undecodable(error: Exception) -> errors.LogError:
    return errors.LogError(
        errors.Reason.UNDECODABLE,
        "store.decode",
        detail=f"{type(error).__name__}: {error}",
    )
