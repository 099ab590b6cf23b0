"""Headers and statuses of callers and backend servers."""

import math

import pytest

from trefoilwind import errors
from trefoilwind.gateway import http_types
from trefoilwind.model import mesh
from trefoilwind.platform import headers

_PORT = headers.port()
_REQUEST = (
    (b"Host", b"ficu.example"),
    (b"X-Request-Id", b"9c41"),
    (b"X-Deadline-Ms", b"1500"),
    (b"X-Caller-Service", b"forged"),
    (b"X-Expect-Instance", b"forged"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Accept", b"*/*"),
)


def test_request_is_read_without_node_and_hop_headers():
    metadata = _PORT.read(_REQUEST)
    assert metadata.request_id == b"9c41"
    assert metadata.host == "ficu.example"
    assert metadata.remaining_s == 1.5
    assert metadata.forwarded == (
        (b"Host", b"ficu.example"),
        (b"X-Request-Id", b"9c41"),
        (b"Accept", b"*/*"),
    )


@pytest.mark.parametrize("value", [b"", b"soon", b"1,5"])
def test_malformed_deadline_is_ignored(value: bytes):
    assert _PORT.read(((b"X-Deadline-Ms", value),)).remaining_s is None


def test_headers_for_the_backend_server():
    assert _PORT.entry_headers("s") == ((b"X-Caller-Service", b"s"),)
    assert _PORT.target_headers("i-1", 0.25) == (
        (b"X-Deadline-Ms", b"250"),
        (b"X-Expect-Instance", b"i-1"),
    )


@pytest.mark.parametrize(
    ("status", "marked", "reason"),
    [
        (200, False, None),
        (500, False, None),
        (503, False, None),
        (503, True, errors.Reason.OVERLOADED),
        (429, True, errors.Reason.OVERLOADED),
        (400, True, errors.Reason.BAD_REQUEST),
        (421, False, errors.Reason.BACKEND_CHANGED),
    ],
)
def test_statuses_that_prove_that_a_request_did_not_run(
    status: int, marked: bool, reason: errors.Reason | None
):
    marks = ((b"X-Not-Executed", b"1"),) if marked else ()
    assert _PORT.refusal(http_types.HttpAnswer(status, marks)) is reason


def test_answer_belongs_to_the_request_with_its_id():
    own = http_types.HttpAnswer(200, ((b"x-request-id", b"9c41"),))
    other = http_types.HttpAnswer(500, ((b"X-Request-Id", b"9c42"),))
    without_id = http_types.HttpAnswer(200, ())
    assert _PORT.match_answer(_REQUEST, own) is http_types.Match.OWN
    assert _PORT.match_answer(_REQUEST, other) is http_types.Match.OTHER
    assert _PORT.match_answer(_REQUEST, without_id) is http_types.Match.OTHER


def test_refusal_without_an_id_is_not_taken_for_that_of_the_request():
    refusal = http_types.HttpAnswer(503, ((b"X-Not-Executed", b"1"),))
    match = _PORT.match_answer(_REQUEST, refusal)
    assert match is http_types.Match.UNIDENTIFIED


def test_retry_after_is_in_seconds():
    assert _PORT.retry_headers(0.25) == ((b"Retry-After", b"0.250"),)


def test_parent_id_of_a_nested_call():
    own = ((b"X-Request-Id", b"9c41"),)
    nested = ((b"X-Request-Id", b"9c41.77"),)
    assert _PORT.read(own).parent_id == b""
    assert _PORT.read(nested).parent_id == b"9c41"
    assert _PORT.read(nested).request_id == b"9c41.77"
    # A call of a nested call waits for that one, which runs elsewhere.
    deeper = ((b"X-Request-Id", b"9c41.77.3"),)
    assert _PORT.read(deeper).parent_id == b"9c41.77"


@pytest.mark.parametrize(
    ("sent", "limit_per_s", "is_leaving"),
    [
        ((), math.inf, False),
        (((b"Server-Limit", b"2.7"),), 2.7, False),
        (((b"server-limit", b"0"),), 0.0, False),
        (((b"Server-Limit", b"-1"),), math.inf, False),
        (((b"Server-Limit", b"nan"),), math.inf, False),
        (((b"Server-Limit", b"many"),), math.inf, False),
        (((b"Server-Leaving", b"1"),), math.inf, True),
        (((b"Server-Leaving", b"0"),), math.inf, False),
    ],
)
def test_limit_and_leaving_are_read_from_answers(
    sent: tuple[http_types.Header, ...], limit_per_s: float, is_leaving: bool
):
    notice = _PORT.notice(http_types.HttpAnswer(200, sent))
    assert notice == mesh.ServerNotice(limit_per_s, is_leaving)


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([], b""),
        ([b"Bearer k-1"], b"k-1"),
        ([b"bEARER   k-1 "], b"k-1"),
        ([b""], None),
        ([b"Bearer"], None),
        ([b"Bearer a b"], None),
        ([b"Basic k-1"], None),
        ([b"Bearer k-1", b"Bearer k-2"], None),
    ],
)
def test_ambiguous_or_malformed_key_is_not_taken(values, key):
    metadata = _PORT.read(tuple((b"AUTHORIZATION", v) for v in values))
    assert metadata.key == key
    assert "k-1" not in repr(metadata).replace(repr(metadata.forwarded), "")


def test_customer_named_by_a_caller_is_removed():
    sent = (
        (b"X-TENANT", b"forged"),
        (b"authorization", b"Bearer k"),
        (b"Accept", b"*/*"),
    )
    assert _PORT.customer_headers(sent, "") == ((b"Accept", b"*/*"),)
    assert _PORT.customer_headers(sent, "ana") == (
        (b"Accept", b"*/*"),
        (b"X-Tenant", b"ana"),
    )
