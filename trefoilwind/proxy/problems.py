"""Representation of errors to callers: status, headers, problem document."""

from collections.abc import Callable
import http
import json
from typing import Any

from trefoilwind import errors

RESULT_HEADER = "Trefoilwind-Result"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
CONTENT_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    errors.Reason.NO_ROUTE: 404,
    errors.Reason.DEADLINE_EXCEEDED: 504,
    errors.Reason.BACKEND_FAILED: 502,
    errors.Reason.PEER_UNREACHABLE: 502,
    errors.Reason.PROTOCOL: 502,
    errors.Reason.CANCELLED: 499,
    errors.Reason.POISON_REQUEST: 422,
    errors.Reason.DUPLICATE_KEY: 409,
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.BAD_REQUEST: 400,
}
DEFAULT_STATUS = 503

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_STATUS_LINES = {
    status.value: f"{status.value} {status.phrase}"
    for status in http.HTTPStatus
}


def status_line(status: int) -> str:
    """Return the status and its phrase, such as "200 OK"."""
    return _STATUS_LINES.get(status) or f"{status} Unknown"


def status(error: errors.CallError) -> int:
    """Return the HTTP status for an error."""
    return STATUS_BY_REASON.get(error.reason, DEFAULT_STATUS)


def result(error: errors.CallError) -> str:
    """Return the value of the result header: whether the call may have run."""
    return NOT_RUN if error.not_run else UNKNOWN


def document(error: errors.CallError) -> bytes:
    """Return the problem document of an error, encoded as JSON."""
    return json.dumps(
        {
            "title": error.reason.value,
            "status": status(error),
            "result": result(error),
            "step": error.step,
            "peer": error.peer,
            "detail": error.detail,
        }
    ).encode()
