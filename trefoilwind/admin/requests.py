"""Requests to the administration API, parsed from a WSGI environment."""

import dataclasses
import hmac
from typing import Any
import urllib.parse

from trefoilwind import errors
from trefoilwind.model import addresses

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_OFFSET_DIGITS = 18
STEP = "admin.request"


@dataclasses.dataclass(frozen=True)
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        query: Query string, not decoded.
        peer: IP address of the client.
        authorization: Value of the Authorization header; empty if absent.
        length: Length of the body in bytes; -1 if unknown.
        stream: Stream of the body, not yet read.
    """

    method: str
    path: str
    query: str
    peer: str
    authorization: str
    length: int
    stream: Any


def read(environ: dict) -> Request:
    """Return the request of a WSGI environment; never raises."""
    path = environ.get("PATH_INFO", "").encode("latin-1", "replace")
    return Request(
        method=environ.get("REQUEST_METHOD", ""),
        path=path.decode("utf-8", "replace"),
        query=environ.get("QUERY_STRING", ""),
        peer=environ.get("REMOTE_ADDR", ""),
        authorization=environ.get("HTTP_AUTHORIZATION", ""),
        length=_length(environ),
        stream=environ.get("wsgi.input"),
    )


def _length(environ: dict) -> int:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return -1
    return decimal(environ.get("CONTENT_LENGTH") or "0")


def decimal(text: str) -> int:
    """Return the value of a string of ASCII digits; -1 if it is not one."""
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_OFFSET_DIGITS else -1


def body(request: Request) -> str | errors.AdminError:
    """Return the body as text, or an error; reads no more than the limit."""
    if request.length < 0:
        return error(errors.Reason.LENGTH_REQUIRED)
    if request.length > MAX_BODY_BYTES:
        return error(errors.Reason.BODY_TOO_LARGE)
    try:
        data = request.stream.read(request.length) if request.length else b""
        return data.decode("utf-8")
    except UnicodeDecodeError:
        return error(errors.Reason.SYNTAX, "UTF-8 expected")
    except OSError as failure:
        return error(errors.Reason.BAD_REQUEST, type(failure).__name__)


def query_value(request: Request, name: str, default: str) -> str:
    """Return the last value of a query parameter, or the default."""
    try:
        fields = urllib.parse.parse_qsl(request.query, max_num_fields=16)
    except ValueError:
        return ""
    return dict(fields).get(name, default)


def is_local(request: Request) -> bool:
    """Return True if the client runs on the same VM."""
    address = addresses.parse_ip_address(request.peer)
    return address is not None and address.is_loopback


def is_authorized(request: Request, token: str) -> bool:
    """Return True if the bearer token matches; compares in constant time."""
    given = request.authorization.encode("utf-8", "surrogatepass")
    expected = f"Bearer {token}".encode()
    return bool(token) and hmac.compare_digest(given, expected)


def error(reason: errors.Reason, detail: str = "") -> errors.AdminError:
    """Return an error of the step `admin.request`."""
    return errors.AdminError(reason, STEP, detail=detail)
