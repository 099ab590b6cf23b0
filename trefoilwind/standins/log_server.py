"""HTTP interface of the log stand-in."""

from collections.abc import Iterable
import json
import urllib.parse

import msgpack

from trefoilwind import errors
from trefoilwind.proxy import callers
from trefoilwind.standins import log_service

_STATUS_BY_REASON = {
    errors.Reason.OFFSET_EXPIRED: 410,
    errors.Reason.BAD_REQUEST: 400,
}
_UNAVAILABLE = 503


class LogApplication:
    """WSGI application over a `MemoryLog`."""

    def __init__(self, log: log_service.MemoryLog):
        self._log = log

    def __call__(
        self, environ: dict, start_response: callers.StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        try:
            result = self._handle(environ)
        except (KeyError, ValueError) as error:
            detail = f"{type(error).__name__} {error}"
            reason = errors.Reason.BAD_REQUEST
            result = errors.LogError(reason, "standin.log", detail=detail)
        status = 200
        if isinstance(result, errors.Error):
            status = _STATUS_BY_REASON.get(result.reason, _UNAVAILABLE)
            result = str(result).encode()
        headers = [("Content-Length", str(len(result)))]
        start_response(callers.status_line(status), headers)
        return [result]

    def _handle(self, environ: dict) -> bytes | errors.LogError:
        path = environ["PATH_INFO"]
        if path == "/v1/first":
            return _offset(self._log.first_offset())
        if environ["REQUEST_METHOD"] == "POST":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            payload = environ["wsgi.input"].read(length)
            return _offset(self._log.append(payload))
        return self._read(environ)

    def _read(self, environ: dict) -> bytes | errors.LogError:
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        page = self._log.read(
            int(query["offset"]),
            int(query["limit"]),
            float(query.get("wait", "0")),
        )
        if isinstance(page, errors.Error):
            return page
        entries = [(e.offset, e.payload) for e in page.entries]
        return msgpack.packb((entries, page.next_offset, page.end_offset))


def _offset(result: int | errors.LogError) -> bytes | errors.LogError:
    if isinstance(result, errors.Error):
        return result
    return json.dumps({"offset": result}).encode()
