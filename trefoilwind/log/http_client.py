"""Adapter of the log port to the platform's HTTP interface.

Only this file depends on the interface:
    POST /v1/records            body: payload -> {"offset": n}
    GET  /v1/records?offset=&limit=&wait=  -> msgpack page, or 410
    GET  /v1/first              -> {"offset": n}
"""

import json

import msgpack
import urllib3

from trefoilwind import errors
from trefoilwind.log import port

_GONE = 410
_OK = 200


class HttpLog:
    """Log port over HTTP. Each thread should use its own instance."""

    def __init__(self, url: str, timeout_s: float):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)

    def append(self, payload: bytes) -> int | errors.LogError:
        """Append a record and return its offset; see `port.LogPort`."""
        try:
            response = self._request("POST", "/v1/records", payload, 0.0)
        except urllib3.exceptions.NewConnectionError:
            return self._error(errors.Reason.LOG_UNAVAILABLE, "log.append")
        except urllib3.exceptions.HTTPError as error:
            reason = errors.Reason.LOG_UNKNOWN_RESULT
            return self._error(reason, "log.append", type(error).__name__)
        if response.status != _OK:
            # The server may have stored the record before it failed.
            reason = errors.Reason.LOG_UNKNOWN_RESULT
            return self._error(reason, "log.append", str(response.status))
        offset = self._offset(response.data, "log.append")
        if isinstance(offset, errors.LogError):
            reason = errors.Reason.LOG_UNKNOWN_RESULT
            return self._error(reason, "log.append", str(offset))
        return offset

    def read(
        self, offset: int, limit: int, wait_s: float = 0.0
    ) -> port.Page | errors.LogError:
        """Return records from `offset` on; see `port.LogPort`."""
        path = f"/v1/records?offset={offset}&limit={limit}&wait={wait_s}"
        try:
            response = self._request("GET", path, b"", wait_s)
        except urllib3.exceptions.HTTPError as error:
            reason = errors.Reason.LOG_UNAVAILABLE
            return self._error(reason, "log.read", type(error).__name__)
        if response.status == _GONE:
            return self._error(errors.Reason.OFFSET_EXPIRED, "log.read")
        if response.status != _OK:
            reason = errors.Reason.LOG_UNAVAILABLE
            return self._error(reason, "log.read", str(response.status))
        return self._page(response.data, offset)

    def first_offset(self) -> int | errors.LogError:
        """Return the oldest retained offset; see `port.LogPort`."""
        try:
            response = self._request("GET", "/v1/first", b"", 0.0)
        except urllib3.exceptions.HTTPError as error:
            reason = errors.Reason.LOG_UNAVAILABLE
            return self._error(reason, "log.first", type(error).__name__)
        return self._offset(response.data, "log.first")

    def _request(self, method: str, path: str, body: bytes, wait_s: float):
        return self._pool.request(
            method,
            self._url + path,
            body=body or None,
            timeout=self._timeout_s + wait_s,
            redirect=False,
        )

    def _offset(self, data: bytes, step: str) -> int | errors.LogError:
        try:
            offset = json.loads(data)["offset"]
        except (ValueError, KeyError, TypeError, RecursionError):
            return self._error(errors.Reason.UNDECODABLE, step)
        if not _is_offset(offset):
            return self._error(errors.Reason.UNDECODABLE, step)
        return offset

    def _page(self, data: bytes, offset: int) -> port.Page | errors.LogError:
        try:
            entries, next_offset, end_offset = msgpack.unpackb(data)
            page = port.Page(
                tuple(port.Entry(o, payload) for o, payload in entries),
                next_offset,
                end_offset,
            )
            is_valid = _is_valid_page(page, offset)
        except Exception:  # Any malformed page is an error of the log.
            is_valid = False
        if not is_valid:
            return self._error(errors.Reason.UNDECODABLE, "log.read")
        return page

    def _error(
        self, reason: errors.Reason, step: str, detail: str = ""
    ) -> errors.LogError:
        return errors.LogError(reason, step, self._url, detail)


def _is_offset(value: object) -> bool:
    return type(value) is int and value >= 0


def _is_valid_page(page: port.Page, offset: int) -> bool:
    """Return whether a page is well-formed.

    Offsets must increase from the requested one, and payloads must be bytes.
    """
    min_offset = offset
    for entry in page.entries:
        if not _is_offset(entry.offset) or entry.offset < min_offset:
            return False
        if type(entry.payload) is not bytes:
            return False
        min_offset = entry.offset + 1
    has_offsets = _is_offset(page.next_offset) and _is_offset(page.end_offset)
    return has_offsets and min_offset <= page.next_offset
