import itertools
import select
import socket
import threading

import pytest

from tests.test_proxy import fakes
from trefoilwind import errors
from trefoilwind.model import addresses
from trefoilwind.proxy import backend as backend_lib
from trefoilwind.proxy import calls

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture(name="serve")
def fixture_serve():
    started = []

    def serve(script, idle_s=4.0):
        server = fakes.ScriptedBackend(script)
        started.append(server)
        return server, backend_lib.BackendClient(server.address, 4, idle_s)

    yield serve
    for server in started:
        server.close()


@pytest.mark.parametrize(
    ("text", "method", "body"),
    [
        (_OK, "GET", b"ok"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "GET", b""),
        (b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", "GET", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", "HEAD", b""),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
            "GET",
            b"abcde",
        ),
    ],
    ids=["length", "204", "304", "head", "chunked"],
)
def test_answers_leave_the_connection_usable(serve, text, method, body):
    server, client = serve(fakes.answers(text))
    for _ in range(3):
        answer = client.call(fakes.request(method=method))
        assert b"".join(answer.body) == body
        answer.close()
    assert len(server.connections) == 1


def test_an_answer_without_length_ends_with_the_connection(serve):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200_000)
        connection.close()

    server, client = serve(script)
    answer = client.call(fakes.request())
    assert len(b"".join(answer.body)) == 200_000


def test_a_truncated_answer_raises_while_it_is_read(serve):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 100
        )
        connection.close()

    _, client = serve(script)
    answer = client.call(fakes.request())
    with pytest.raises(calls.BodyCut):
        list(answer.body)


def test_a_truncated_head_fails_the_call(serve):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
        connection.close()

    _, client = serve(script)
    error = client.call(fakes.request())
    assert error.reason is errors.Reason.BACKEND_FAILED
    assert not error.not_run


def test_an_interim_answer_does_not_reach_the_next_call(serve):
    text = b"HTTP/1.1 103 Early Hints\r\n\r\n" + _OK
    server, client = serve(fakes.answers(text))
    for _ in range(2):
        error = client.call(fakes.request())
        assert error.reason is errors.Reason.BACKEND_FAILED
    assert len(server.connections) == 2


def test_an_early_answer_ends_the_upload(serve):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(
            b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"
        )
        connection.recv(1)
        threading.Event().wait(fakes.WAIT_S)

    _, client = serve(script)
    sent = itertools.count()

    def chunks():
        while True:
            next(sent)
            yield b"x" * 65536

    answer = client.call(fakes.request(chunks(), -1, "POST"))
    assert answer.status == 413
    assert next(sent) < 1000


def test_a_call_whose_connection_is_refused_is_not_run(serve):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    client = backend_lib.BackendClient(addresses.Address("127.0.0.1", port), 4)
    error = client.call(fakes.request())
    assert error.reason is errors.Reason.BACKEND_UNREACHABLE
    assert error.not_run


def test_a_stale_connection_is_replaced_before_anything_is_sent(serve):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(_OK)
        connection.close()

    server, client = serve(script)
    for _ in range(5):
        answer = client.call(fakes.request())
        assert isinstance(answer, calls.Answer)
        fakes.wait_until(lambda: _has_ended(client))
    assert len(server.connections) == 5


def _has_ended(client: backend_lib.BackendClient) -> bool:
    """Return True if the end of the pooled connection has arrived."""
    (pooled,) = client._pool._idle
    readable, _, _ = select.select((pooled.sock,), (), (), 0.0)
    return bool(readable)


def test_an_idle_connection_is_not_used_after_its_idle_time(serve):
    server, client = serve(fakes.answers(_OK), idle_s=0.0)
    for _ in range(3):
        client.call(fakes.request())
    assert len(server.connections) == 3


def test_a_call_is_unknown_if_its_connection_closes_after_the_head(serve):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(_OK)
        fakes.read_head(connection)
        connection.close()

    _, client = serve(script)
    assert isinstance(client.call(fakes.request()), calls.Answer)
    error = client.call(fakes.request())
    assert error.reason is errors.Reason.BACKEND_FAILED
    assert not error.not_run


def test_an_answer_head_sent_byte_by_byte_ends_at_the_deadline(serve):
    stopped = threading.Event()

    def script(connection):
        fakes.read_head(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\n")
        while not stopped.wait(0.02):
            connection.sendall(b"x")

    _, client = serve(script)
    sent = fakes.request(timeout_s=0.3)
    timer = threading.Timer(
        0.3, sent.cancellation.cancel, (errors.Reason.DEADLINE_EXCEEDED,)
    )
    timer.start()
    error = client.call(sent)
    stopped.set()
    assert error.reason is errors.Reason.DEADLINE_EXCEEDED
    assert not error.not_run


def test_the_remaining_time_is_sent_to_the_backend_server(serve):
    heads = []

    def script(connection):
        heads.append(fakes.read_head(connection))
        connection.sendall(_OK)

    _, client = serve(script)
    client.call(fakes.request(timeout_s=5.0))
    line = next(
        x for x in heads[0].split(b"\r\n") if x.startswith(b"Trefoilwind-Time")
    )
    assert 0 < float(line.split(b":")[1]) <= 5.0


def test_cancellation_closes_the_connection(serve):
    closed = threading.Event()
    received = threading.Event()

    def script(connection):
        fakes.read_head(connection)
        received.set()
        assert connection.recv(1) == b""
        closed.set()

    _, client = serve(script)
    sent = fakes.request()
    results = []
    thread = threading.Thread(target=lambda: results.append(client.call(sent)))
    thread.start()
    assert received.wait(fakes.WAIT_S)
    sent.cancellation.cancel(errors.Reason.CANCELLED)
    thread.join(fakes.WAIT_S)
    assert closed.wait(fakes.WAIT_S)
    assert results[0].reason is errors.Reason.CANCELLED
    assert not results[0].not_run


def test_a_call_with_an_invalid_path_is_not_run(serve):
    _, client = serve(fakes.answers(_OK))
    error = client.call(fakes.request(path="/a b\r\nx: y"))
    assert error.reason is errors.Reason.BAD_REQUEST
    assert error.not_run


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize(
    "status", [b"000", b"99", b"600", b"1000", b"0200", b"2_00", b"+200"]
)
def test_an_answer_with_an_odd_status_fails_the_call(serve, status, interim):
    text = b"HTTP/1.1 %b X\r\nContent-Length: 4\r\n\r\nodd!" % status
    _, client = serve(fakes.answers(interim + text))
    error = client.call(fakes.request())
    assert isinstance(error, errors.CallError)
    assert error.reason is errors.Reason.BACKEND_FAILED
    assert not error.not_run


def test_a_part_of_an_answer_that_a_reset_ends_in_an_upload_is_not_whole(serve):
    _, client = serve(fakes.cut_upload)
    fakes.check_no_part_is_whole(client.call)
