"""Fuzz tests of HTTP: answers of the log, requests of callers and operators."""

import contextlib
import io
import socket
import threading

from cheroot import wsgi
import hypothesis
from hypothesis import strategies
import pytest
import urllib3

from tests.test_fuzz import values
from trefoilwind import errors
from trefoilwind.log import http_client
from trefoilwind.log import port
from trefoilwind.standins import log_server
from trefoilwind.standins import log_service
from trefoilwind.standins import mesh

_READ_BYTES = 65536
_TIMEOUT_S = 5.0
_PAGE = values.pack(([(7, b"a"), (8, b"b")], 9, 9))


class _AnswerServer:
    """HTTP server whose answer the test sets."""

    def __init__(self):
        self.status = "200 OK"
        self.body = b""
        self._server = wsgi.Server(("127.0.0.1", 0), self._answer)
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self._server.bind_addr[1]}"

    def stop(self):
        self._server.stop()

    def _answer(self, environ, start_response):
        environ["wsgi.input"].read()
        length = ("Content-Length", str(len(self.body)))
        start_response(self.status, [length])
        return [self.body]


@pytest.fixture(scope="module")
def answers():
    server = _AnswerServer()
    yield server
    server.stop()


@pytest.fixture(scope="module")
def system():
    started = mesh.Mesh()
    started.add_node("perth-a", "perth", "catalogue", "v1")
    yield started
    started.stop()


@hypothesis.given(
    strategies.sampled_from(["200 OK", "410 Gone", "500 Error", "302 Found"]),
    strategies.binary(max_size=40)
    | values.PLAIN.map(values.pack)
    | values.corrupted(strategies.just(_PAGE)),
)
def test_fuzz_log_answer(answers, status, body):
    answers.status = status
    answers.body = body
    log = http_client.HttpLog(answers.url, _TIMEOUT_S)
    page = log.read(7, 10)
    if isinstance(page, port.Page):
        offsets = [entry.offset for entry in page.entries]
        assert offsets == sorted(set(offsets))
        assert all(7 <= offset < page.next_offset for offset in offsets)
        assert all(type(entry.payload) is bytes for entry in page.entries)
    for result in (log.append(b"x"), log.first_offset()):
        if not isinstance(result, errors.LogError):
            assert result >= 0


def test_fuzz_log_answer_with_invalid_payload_allocates_nothing(answers):
    answers.status = "200 OK"
    log = http_client.HttpLog(answers.url, _TIMEOUT_S)
    for payload in (2**33, [0] * 3, "text", None):
        answers.body = values.pack(([(7, payload)], 8, 8))
        result = log.read(7, 10)
        assert isinstance(result, errors.LogError)
        assert result.reason is errors.Reason.UNDECODABLE


_HEADERS = strategies.sampled_from(
    [
        b"Trefoilwind-Timeout",
        b"Idempotency-Key",
        b"Content-Length",
        b"Transfer-Encoding",
        b"Content-Type",
        b"Connection",
        b"Expect",
        b"Host",
        b"X",
    ]
)
_HEADER_LINES = strategies.tuples(
    _HEADERS,
    strategies.binary(max_size=12)
    | strategies.sampled_from(
        [b"nan", b"inf", b"-1", b"1e999", b"chunked", b"\xc2\xb2", b"0"]
    ),
).map(lambda pair: pair[0] + b": " + pair[1].replace(b"\n", b""))
_REQUESTS = strategies.tuples(
    strategies.sampled_from([b"GET", b"POST", b"PUT", b"X", b""]),
    strategies.sampled_from([b"/catalogue/a", b"/", b"//", b"*", b"/%ff?%zz"]),
    strategies.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/9.9", b""]),
    strategies.lists(_HEADER_LINES, max_size=4),
    strategies.binary(max_size=16),
).map(
    lambda r: (
        b" ".join(r[:3]) + b"\r\n" + b"\r\n".join(r[3]) + b"\r\n\r\n" + r[4]
    )
)


@pytest.mark.parametrize("listener", ["caller", "admin"])
@hypothesis.given(strategies.data())
def test_fuzz_connection(system, listener, data):
    request = data.draw(_REQUESTS | values.corrupted(_REQUESTS))
    address = getattr(system.bound[0], listener)
    with contextlib.redirect_stderr(io.StringIO()) as stderr:
        answer = _send_request((address.host, address.port), request)
    assert answer == b"" or answer.startswith(b"HTTP/1.")
    assert "Traceback" not in stderr.getvalue()


def _send_request(address, request: bytes) -> bytes:
    """Send a request; return all bytes until the server closes."""
    received = b""
    with socket.create_connection(address, timeout=_TIMEOUT_S) as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        try:
            while chunk := connection.recv(_READ_BYTES):
                received += chunk
        except ConnectionResetError:
            pass
    return received


def test_fuzz_node_still_serves(system):
    health = f"http://{system.bound[0].admin}/v1/health"
    assert urllib3.request("GET", health).status in (200, 503)


@hypothesis.given(
    strategies.sampled_from(["GET", "POST", "X"]),
    strategies.sampled_from(["/v1/first", "/v1/records", "/"]),
    strategies.sampled_from(["offset=0&limit=1", "offset=x&limit=1", ""])
    | strategies.text(max_size=12),
    strategies.sampled_from(["", "x", "-1", "3"]),
)
def test_fuzz_log_standin_request(method, path, query, length):
    application = log_server.LogApplication(log_service.MemoryLog())
    statuses = []
    application(
        {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": length,
            "wsgi.input": io.BytesIO(b"payload"),
        },
        lambda status, headers: statuses.append(status[:3]),
    )
    assert statuses in (["200"], ["400"], ["410"])
