"""Calls of the event-loop path and how the platform's headers tell of them."""

from collections.abc import Callable
import dataclasses

from trefoilwind import errors
from trefoilwind.gateway import http_types

Result = http_types.HttpAnswer | errors.CallError


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a request say.

    Attributes:
        request_id: Id of the caller's try; empty if it has none.
        parent_id: Id of the request that waits for this one, if its own id
            tells it; else empty.
        host: Host that the request is for.
        remaining_s: Seconds for which the caller waits; None if not told.
        forwarded: Headers that go on to the backend server.
    """

    request_id: bytes
    parent_id: bytes
    host: str
    remaining_s: float | None
    forwarded: tuple[http_types.Header, ...]


@dataclasses.dataclass(frozen=True)
class HeaderPort:
    """Functions that read and write the platform's headers.

    Attributes:
        read: Returns what a request's headers say.
        request_id: Returns the id of a request, given its headers.
        entry_headers: Returns the headers that the entry node adds, given the
            service beside it.
        target_headers: Returns the headers that the target node adds, given
            the id of the backend server and the seconds left.
        refusal: Returns why a backend server did not run the request, or None
            if it may have run it.
        is_own: Tells whether an answer belongs to a request, given its
            headers.
        retry_headers: Returns the headers that tell a caller when to return.
    """

    read: Callable[[tuple[http_types.Header, ...]], RequestFacts]
    request_id: Callable[[tuple[http_types.Header, ...]], bytes]
    entry_headers: Callable[[str], tuple[http_types.Header, ...]]
    target_headers: Callable[[str, float], tuple[http_types.Header, ...]]
    refusal: Callable[[http_types.HttpAnswer], errors.Reason | None]
    is_own: Callable[
        [tuple[http_types.Header, ...], http_types.HttpAnswer], bool
    ]
    retry_headers: Callable[[float], tuple[http_types.Header, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request on its way to a backend server.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: Headers for the backend server, but those of the target node.
        body: The whole body.
        service: Service that is to run it.
        version: Version that is to run it; empty for any.
        kind: Name of its route.
        rank: Rank of the call; 0 is the most important.
        is_nested: True if a running call waits for it.
        target_deadline: Event loop time in seconds at which it comes late.
        deadline: Event loop time in seconds by which it must be answered.
        received: Event loop time in seconds at which this node got it.
    """

    method: str
    target: str
    headers: tuple[http_types.Header, ...]
    body: bytes
    service: str
    version: str
    kind: str
    rank: int
    is_nested: bool
    target_deadline: float
    deadline: float
    received: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.

    Attributes:
        result: Answer of the backend server, or an error.
        served_s: Seconds that the backend server took; negative if not known.
        occupied: Calls at the backend server after it; negative if not known.
        failing: Share of the backend server's recent calls that failed, as
            the node beside it saw them.
        mean_s: Average time in seconds of its calls, as that node measured
            it; negative if not known.
    """

    result: Result
    served_s: float = -1.0
    occupied: int = -1
    failing: float = 0.0
    mean_s: float = -1.0


# Status from which on an answer of a backend server is a failure.
FIRST_FAILURE = 500
# Errors of an attempt that are a failure of the backend server.
_FAULTS = frozenset(
    {errors.Reason.BACKEND_FAILED, errors.Reason.DEADLINE_EXCEEDED}
)


def has_failed(result: Result) -> bool | None:
    """Return whether a backend server failed; None if that is not told."""
    if not isinstance(result, errors.CallError):
        return result.status >= FIRST_FAILURE
    if result.not_run or result.reason not in _FAULTS:
        return None
    return True


def was_shed(result: Result) -> bool:
    """Return True if a backend server got a call and refused it for load."""
    return (
        isinstance(result, errors.CallError)
        and result.has_arrived
        and result.reason is errors.Reason.OVERLOADED
    )
