"""HTTP requests and answers with complete bodies, for the event-loop path."""

import dataclasses
import enum

Header = tuple[bytes, bytes]

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: All headers, in order.
        body: The body.
        received: Event loop time in seconds at which the head was complete.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    received: float

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or empty bytes."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An answer with its complete body.

    Attributes:
        status: HTTP status.
        headers: Headers without hop-by-hop headers.
        body: The body.
        is_last: True if the connection is closed after it.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = b""
    is_last: bool = False

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or empty bytes."""
        return find_header(self.headers, name)


@enum.unique
class Match(enum.Enum):
    """Relation of an answer to the pending request of its connection.

    OWN answers it, OTHER answers another one. An UNIDENTIFIED one names no
    request, so it answers the pending one only if the connection has had no
    earlier request.
    """

    OWN = enum.auto()
    OTHER = enum.auto()
    UNIDENTIFIED = enum.auto()


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes:
    """Return the first header of a lower-case name, or empty bytes."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def end_to_end(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are forwarded over the next connection."""
    dropped = HOP_BY_HOP_HEADERS
    named = find_header(headers, b"connection").lower()
    if named and named not in (b"close", b"keep-alive"):
        dropped = dropped | {name.strip() for name in named.split(b",")}
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
