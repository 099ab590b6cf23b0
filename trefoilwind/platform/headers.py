"""Headers and statuses of callers and backend servers."""

import http
import logging
import math

from trefoilwind import errors
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.logs import decisions
from trefoilwind.model import mesh

logger = logging.getLogger(__name__)

REQUEST_ID = b"x-request-id"
# Milliseconds that the caller still waits, counted from the time of sending.
_DEADLINE = b"x-deadline-ms"
_DEADLINE_NAME = b"X-Deadline-Ms"
# A backend server with another id answers 421 without running the request.
_EXPECTED_INSTANCE = b"x-expect-instance"
_EXPECTED_INSTANCE_NAME = b"X-Expect-Instance"
_CALLER_SERVICE = b"x-caller-service"
_CALLER_SERVICE_NAME = b"X-Caller-Service"
# Sent only by a backend server that did not run the request.
_NOT_EXECUTED = b"x-not-executed"
# Requests per second that a backend server accepts from all nodes together, as
# a decimal number; it ends with the first answer that does not name it.
_LIMIT = b"server-limit"
# "1" in the answers of a backend server that is leaving.
_LEAVING = b"server-leaving"
_IS_LEAVING = b"1"
# Set only by nodes; the values that a caller sends are not forwarded.
_NODE_HEADERS = frozenset({_DEADLINE, _EXPECTED_INSTANCE, _CALLER_SERVICE})
# Key of a customer's caller, and name of the customer for the backend server.
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"bearer"
_CHALLENGE = ((b"WWW-Authenticate", b"Bearer"),)
_CUSTOMER = b"x-tenant"
_CUSTOMER_NAME = b"X-Tenant"
_CUSTOMER_HEADERS = frozenset({_AUTHORIZATION, _CUSTOMER})
_MS_PER_S = 1000


def port() -> calls.HeaderPort:
    """Return the functions that read and write the headers."""
    return calls.HeaderPort(
        read=_read,
        request_id=_request_id,
        entry_headers=_entry_headers,
        target_headers=_target_headers,
        refusal=_refusal,
        match_answer=_match_answer,
        notice=_notice,
        retry_headers=_retry_headers,
        customer_headers=_customer_headers,
        challenge=_CHALLENGE,
    )


def _read(headers: tuple[http_types.Header, ...]) -> calls.RequestMetadata:
    deadline = http_types.find_header(headers, _DEADLINE)
    host = http_types.find_header(headers, b"host")
    request_id = _request_id(headers)
    # Observed in traffic but not documented by the platform: the id of a call
    # that a backend server makes is the id of the request that waits for it,
    # followed by a dot and a suffix.
    parent_id, dot, _ = request_id.rpartition(b".")
    return calls.RequestMetadata(
        request_id=request_id,
        parent_id=parent_id if dot else b"",
        host=host.decode("latin-1"),
        remaining_s=_seconds(deadline),
        forwarded=tuple(
            pair
            for pair in http_types.end_to_end(headers)
            if pair[0].lower() not in _NODE_HEADERS
        ),
        key=_key(headers),
    )


def _key(headers: tuple[http_types.Header, ...]) -> bytes | None:
    """Return the key of a request; empty if it has none, None if malformed.

    Of several headers it would be unclear which one names the caller.
    """
    values = [v for name, v in headers if name.lower() == _AUTHORIZATION]
    if not values:
        return b""
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    is_valid = scheme.lower() == _KEY_SCHEME and len(key.split()) == 1
    return key if is_valid and len(values) == 1 else None


def _customer_headers(
    forwarded: tuple[http_types.Header, ...], customer: str
) -> tuple[http_types.Header, ...]:
    kept = tuple(
        pair for pair in forwarded if pair[0].lower() not in _CUSTOMER_HEADERS
    )
    if not customer:
        return kept
    return (*kept, (_CUSTOMER_NAME, customer.encode()))


def _request_id(headers: tuple[http_types.Header, ...]) -> bytes:
    return http_types.find_header(headers, REQUEST_ID)


def _seconds(text: bytes) -> float | None:
    try:
        return max(0.0, float(text) / _MS_PER_S)
    except ValueError:
        return None


def _entry_headers(service: str) -> tuple[http_types.Header, ...]:
    return ((_CALLER_SERVICE_NAME, service.encode()),)


def _target_headers(
    instance_id: str, remaining_s: float
) -> tuple[http_types.Header, ...]:
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    return (
        (_DEADLINE_NAME, b"%d" % remaining_ms),
        (_EXPECTED_INSTANCE_NAME, instance_id.encode()),
    )


def _refusal(answer: http_types.HttpAnswer) -> errors.Reason | None:
    if answer.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return errors.Reason.BACKEND_CHANGED
    if not answer.header(_NOT_EXECUTED):
        return None
    if answer.status == http.HTTPStatus.BAD_REQUEST:
        return errors.Reason.BAD_REQUEST
    return errors.Reason.OVERLOADED


def _match_answer(
    headers: tuple[http_types.Header, ...], answer: http_types.HttpAnswer
) -> http_types.Match:
    answer_id = answer.header(REQUEST_ID)
    if answer_id == _request_id(headers):
        return http_types.Match.OWN
    if not answer_id and answer.status >= http.HTTPStatus.BAD_REQUEST:
        return http_types.Match.UNIDENTIFIED
    return http_types.Match.OTHER


def _notice(answer: http_types.HttpAnswer) -> mesh.ServerNotice:
    return mesh.ServerNotice(
        _limit_per_s(answer.header(_LIMIT)),
        answer.header(_LEAVING) == _IS_LEAVING,
    )


def _limit_per_s(text: bytes) -> float:
    """Return a limit, or infinity if there is none or it is malformed."""
    if not text:
        return math.inf
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = math.nan
    if limit_per_s >= 0.0:
        return limit_per_s
    decisions.failure(
        logger,
        "limit_malformed",
        "backend: malformed limit ignored",
        value=text.decode("latin-1"),
    )
    return math.inf


def _retry_headers(retry_s: float) -> tuple[http_types.Header, ...]:
    return ((b"Retry-After", f"{retry_s:.3f}".encode()),)
