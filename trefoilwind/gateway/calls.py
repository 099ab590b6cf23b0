"""Types of the event-loop path: calls, outcomes and header conversion."""

from collections.abc import Callable
import dataclasses

from trefoilwind import errors
from trefoilwind.gateway import http_types
from trefoilwind.model import mesh

Result = http_types.HttpAnswer | errors.CallError


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values read from the headers of a request.

    Attributes:
        request_id: Id of the caller's attempt; empty if it has none.
        parent_id: Id of the request that waits for this one, if it can be
            derived from the request id; else empty.
        host: Value of the Host header.
        remaining_s: Seconds for which the caller waits; None if not given.
        forwarded: Headers that are forwarded to the backend server.
        key: Key that the caller sent; empty if none, None if malformed. Never
            logged or passed on.
    """

    request_id: bytes
    parent_id: bytes
    host: str
    remaining_s: float | None
    forwarded: tuple[http_types.Header, ...]
    key: bytes | None = dataclasses.field(default=b"", repr=False)


@dataclasses.dataclass(frozen=True)
class HeaderPort:
    """Functions that read and write the platform's headers.

    Attributes:
        read: Returns the values in a request's headers.
        request_id: Returns the id of a request, given its headers.
        entry_headers: Returns the headers that the entry node adds, given the
            service of its backend server.
        target_headers: Returns the headers that the target node adds, given
            the id of the backend server and the remaining time in seconds.
        refusal: Returns why a backend server did not run the request, or None
            if it may have run it.
        match_answer: Returns whether an answer belongs to a request, given the
            headers of the request.
        notice: Returns what a backend server says about itself in an answer.
        retry_headers: Returns the headers that give the caller the time in
            seconds until its next attempt.
        customer_headers: Returns the forwarded headers of a request without
            its key, and with the name of its customer unless that is empty;
            used only where the configuration has customers.
        challenge: Headers of an answer to a request without a valid key.
    """

    read: Callable[[tuple[http_types.Header, ...]], RequestMetadata]
    request_id: Callable[[tuple[http_types.Header, ...]], bytes]
    entry_headers: Callable[[str], tuple[http_types.Header, ...]]
    target_headers: Callable[[str, float], tuple[http_types.Header, ...]]
    refusal: Callable[[http_types.HttpAnswer], errors.Reason | None]
    match_answer: Callable[
        [tuple[http_types.Header, ...], http_types.HttpAnswer], http_types.Match
    ]
    notice: Callable[[http_types.HttpAnswer], mesh.ServerNotice]
    retry_headers: Callable[[float], tuple[http_types.Header, ...]]
    customer_headers: Callable[
        [tuple[http_types.Header, ...], str], tuple[http_types.Header, ...]
    ]
    challenge: tuple[http_types.Header, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that is to be run by a backend server.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: Headers for the backend server, without those that the target
            node adds.
        body: The complete body.
        service: Service that is to run it.
        version: Version that is to run it; empty for any.
        route_name: Name of its route.
        rank: Rank of the call; 0 is the most important.
        is_nested: True if a running call waits for it.
        target_deadline: Event loop time in seconds after which an answer
            misses the latency target.
        deadline: Event loop time in seconds by which it must be answered.
        received: Event loop time in seconds at which this node received it.
        may_repeat: True if the entry node may send it to another node though
            this attempt may have run it.
        customer: Name of the customer whose caller sent it; empty for none.
        allowed_regions: Regions whose backend servers may run it; None for
            all.
    """

    method: str
    target: str
    headers: tuple[http_types.Header, ...]
    body: bytes
    service: str
    version: str
    route_name: str
    rank: int
    is_nested: bool
    target_deadline: float
    deadline: float
    received: float = 0.0
    may_repeat: bool = False
    customer: str = ""
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one attempt to run a call.

    Attributes:
        result: Answer of the backend server, or an error.
        served_s: Seconds that the backend server took; negative if unknown.
        occupied: Calls running or queued at the backend server after this
            attempt, or the number that would delay a call as long as its rate
            limit does; negative if unknown.
        failure_share: Share of the backend server's recent calls that failed,
            as measured by the target node.
        mean_s: Average time in seconds of the backend server's calls of the
            same route, as measured by the target node; negative if unknown.
    """

    result: Result
    served_s: float = -1.0
    occupied: int = -1
    failure_share: float = 0.0
    mean_s: float = -1.0


# Lowest HTTP status that counts as a failure of the backend server.
FIRST_FAILURE_STATUS = 500
# Reasons of call errors that count as a failure of the backend server.
_BACKEND_FAILURES = frozenset(
    {errors.Reason.BACKEND_FAILED, errors.Reason.DEADLINE_EXCEEDED}
)


def has_failed(result: Result) -> bool | None:
    """Return whether the backend server failed; None if unknown."""
    if not isinstance(result, errors.CallError):
        return result.status >= FIRST_FAILURE_STATUS
    if result.not_run or result.reason not in _BACKEND_FAILURES:
        return None
    return True


def was_shed(result: Result) -> bool:
    """Return True if a backend server received a call and shed it."""
    return (
        isinstance(result, errors.CallError)
        and result.has_arrived
        and result.reason is errors.Reason.OVERLOADED
    )
