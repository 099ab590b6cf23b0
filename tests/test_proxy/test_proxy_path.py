"""Calls from an entry node to a target node over one real stream."""

import contextlib
import hashlib
import itertools
import socket
import threading
import time

import pytest

from tests.test_proxy import fakes
from trefoilwind import errors
from trefoilwind.distribution import frames
from trefoilwind.proxy import calls
from trefoilwind.proxy import workers

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture(name="connect")
def fixture_connect():
    with contextlib.ExitStack() as stack:

        def connect(script, sockets=None, **proxy):
            backend = fakes.ScriptedBackend(script)
            stack.callback(backend.close)
            path = fakes.Path(backend, sockets, **proxy)
            stack.callback(path.close)
            return path

        yield connect


def _run_on_thread(path, sent):
    results = []
    thread = threading.Thread(target=lambda: results.append(path.call(sent)))
    thread.start()
    return thread, results


def _delayed_answers(started, released):
    """Return a script that answers once `released` is set."""

    def script(connection):
        while fakes.read_head(connection):
            started.release()
            released.wait(fakes.WAIT_S)
            connection.sendall(_OK)

    return script


@pytest.mark.parametrize("length", [0, 1, 65536, 65537, 3_000_000])
@pytest.mark.parametrize("is_length_known", [True, False])
def test_bodies_arrive_whole_in_both_directions(
    connect, length, is_length_known
):
    data = bytes(itertools.islice(itertools.cycle(range(251)), length))
    received = hashlib.sha256()

    def script(connection):
        file = connection.makefile("rb")
        head = list(iter(file.readline, b"\r\n"))
        is_chunked = any(b"chunked" in line for line in head)
        while is_chunked:
            size = int(file.readline(), 16)
            received.update(file.read(size))
            file.readline()
            is_chunked = size > 0
        if is_length_known:
            received.update(file.read(length))
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + data
        )

    path = connect(script)
    chunks = (data[i : i + 100_000] for i in range(0, length, 100_000))
    known = length if is_length_known else -1
    answer = path.call(fakes.request(chunks, known, "POST"))
    assert b"".join(answer.body) == data
    assert received.digest() == hashlib.sha256(data).digest()
    answer.close()
    assert not path.near.answer_sinks


def test_an_upload_stops_when_the_backend_server_stops_reading(connect):
    reads = threading.Semaphore(0)

    def script(connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        head = fakes.read_head(connection)
        reads.acquire(timeout=fakes.WAIT_S)
        fakes.read_body(connection, head)
        connection.sendall(_OK)

    path = connect(script)
    total = 64 * 1024 * 1024
    sent = itertools.count()

    def chunks():
        for _ in range(total // 65536):
            next(sent)
            yield bytes(65536)

    thread, results = _run_on_thread(
        path, fakes.request(chunks(), total, "POST")
    )
    last = -1
    while (now := int(repr(sent)[6:-1])) != last or now == 0:
        last = now
        time.sleep(0.2)
    assert last < total // 65536 // 2
    reads.release()
    thread.join(fakes.WAIT_S)
    assert results[0].status == 200


def test_a_download_stops_when_the_caller_stops_reading(connect):
    def script(connection):
        fakes.read_head(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        with contextlib.suppress(OSError):
            for _ in range(1000):
                connection.sendall(bytes(65536))
        connection.close()

    path = connect(script)
    answer = path.call(fakes.request())
    chunks = iter(answer.body)
    next(chunks)
    other = path.call(fakes.request())
    window = path.environment.settings.streams.credit_window_bytes
    count = sum(len(x) for x in itertools.islice(chunks, 20))
    assert path.near.queued_bytes + path.far.queued_bytes < 2 * window
    count += sum(len(x) for x in chunks)
    assert count > 0
    other.close()


def test_an_answer_reports_the_time_of_the_backend_server(connect):
    path = connect(fakes.answers(_OK))
    started = time.monotonic()
    answer = path.call(fakes.request())
    assert 0 < answer.served_s <= time.monotonic() - started


def test_a_cancelled_call_ends_at_the_backend_server(connect):
    received = threading.Event()
    closed = threading.Event()

    def script(connection):
        fakes.read_head(connection)
        received.set()
        if connection.recv(1) == b"":
            closed.set()

    path = connect(script)
    sent = fakes.request()
    thread, results = _run_on_thread(path, sent)
    assert received.wait(fakes.WAIT_S)
    sent.cancellation.cancel(errors.Reason.CANCELLED)
    thread.join(fakes.WAIT_S)
    assert results[0].reason is errors.Reason.CANCELLED
    assert not results[0].not_run
    assert closed.wait(fakes.WAIT_S)


def test_the_target_ends_a_call_at_its_deadline(connect):
    closed = threading.Event()

    def script(connection):
        fakes.read_head(connection)
        if connection.recv(1) == b"":
            closed.set()

    path = connect(script)
    error = path.call(fakes.request(timeout_s=0.2))
    assert error.reason is errors.Reason.DEADLINE_EXCEEDED
    assert not error.not_run
    assert closed.wait(fakes.WAIT_S)
    fakes.wait_until(lambda: path.target.in_flight == 0)


def test_a_call_is_refused_at_once_if_all_threads_are_busy(connect):
    started = threading.Semaphore(0)
    released = threading.Event()
    path = connect(_delayed_answers(started, released), target_threads=2)
    running = [_run_on_thread(path, fakes.request()) for _ in range(2)]
    for _ in running:
        assert started.acquire(timeout=fakes.WAIT_S)
    error = path.call(fakes.request())
    assert error.reason is errors.Reason.OVERLOADED
    assert error.not_run
    released.set()
    for thread, results in running:
        thread.join(fakes.WAIT_S)
        assert results[0].status == 200


def test_an_upload_that_is_refused_can_be_sent_again(connect):
    path = connect(fakes.answers(_OK))
    path.target.withdraw()
    sent = fakes.request((bytes(65536) for _ in range(32)), -1, "POST")
    error = path.call(sent)
    assert error.not_run
    assert sent.is_repeatable


def test_an_accepted_call_is_in_flight_before_its_thread_runs(
    connect, monkeypatch
):
    accepted = threading.Event()
    released = threading.Event()
    run = workers.Workers._run

    def run_late(self):
        accepted.set()
        released.wait(fakes.WAIT_S)
        run(self)

    monkeypatch.setattr(workers.Workers, "_run", run_late)
    path = connect(fakes.answers(_OK))
    thread, results = _run_on_thread(path, fakes.request())
    assert accepted.wait(fakes.WAIT_S)
    in_flight = path.target.in_flight
    released.set()
    thread.join()
    assert in_flight == 1
    assert results[0].status == 200
    fakes.wait_until(lambda: path.target.in_flight == 0)


def test_go_away_refuses_new_calls_and_finishes_calls_in_flight(connect):
    started = threading.Semaphore(0)
    released = threading.Event()
    path = connect(_delayed_answers(started, released))
    thread, results = _run_on_thread(path, fakes.request())
    assert started.acquire(timeout=fakes.WAIT_S)
    path.target.send_go_away((path.far,))
    fakes.wait_until(lambda: path.near.is_leaving)
    error = path.call(fakes.request())
    assert error.reason is errors.Reason.DRAINING
    assert error.not_run
    released.set()
    thread.join(fakes.WAIT_S)
    assert results[0].status == 200


def test_calls_are_refused_while_the_backend_server_is_withdrawn(connect):
    path = connect(fakes.answers(_OK))
    path.target.withdraw()
    error = path.call(fakes.request())
    assert error.reason is errors.Reason.DRAINING
    assert error.not_run
    path.target.set_backend(path.client)
    assert path.call(fakes.request()).status == 200


def test_a_call_sent_after_the_last_accepted_one_is_not_run(connect):
    path = connect(fakes.answers(_OK))
    received = []
    call_id = path.near.open_call(received.append)
    path.target.send_go_away((path.far,))
    fakes.wait_until(lambda: received)
    assert received[0].not_run
    path.near.close()
    fakes.wait_until(lambda: len(received) > 1)
    assert received[1].not_run
    assert path.near.is_proven_unaccepted(call_id)


def test_a_lost_stream_leaves_a_sent_call_unknown(connect):
    started = threading.Semaphore(0)
    path = connect(_delayed_answers(started, threading.Event()))
    thread, results = _run_on_thread(path, fakes.request())
    assert started.acquire(timeout=fakes.WAIT_S)
    path.near.close()
    thread.join(fakes.WAIT_S)
    assert results[0].reason is errors.Reason.PEER_UNREACHABLE
    assert not results[0].not_run
    assert path.call(fakes.request()).not_run


def test_frames_of_unknown_calls_are_dropped_and_counted(connect):
    path = connect(fakes.answers(_OK))
    path.far.send(frames.AnswerBody(77, b"late", True))
    path.near.send(frames.CallBody(78, b"late", True))
    path.near.send(frames.Cancel(78))
    fakes.wait_until(lambda: path.target.dropped_frames == 2)
    fakes.wait_until(lambda: path.remote.dropped_frames == 1)
    assert path.call(fakes.request()).status == 200


def test_an_upload_aborted_by_its_caller_is_not_completed(connect):
    ended = threading.Event()
    counts = []

    def script(connection):
        head = fakes.read_head(connection)
        counts.append(fakes.read_body(connection, head))
        ended.set()

    path = connect(script)

    def chunks():
        yield bytes(200_000)
        raise calls.BodyCut("gone", errors.Reason.CANCELLED)

    error = path.call(fakes.request(chunks(), 400_000, "POST"))
    assert error.reason is errors.Reason.CANCELLED
    assert not error.not_run
    assert ended.wait(fakes.WAIT_S)
    assert counts[0] < 400_000


def test_a_call_whose_sender_exceeds_its_credit_is_cancelled(connect):
    def script(connection):
        fakes.read_head(connection)
        while connection.recv(65536):
            pass

    path = connect(script)
    received = []
    call_id = path.near.open_call(received.append)
    opened = frames.CallOpen(
        call_id, "POST", "/x", [], 60.0, "lookup", 1, "", b"", False
    )
    path.near.send(opened)
    path.near.send(frames.CallBody(call_id, bytes(16_000_000), False))
    failures = []

    def has_failed():
        failures.extend(x for x in received if isinstance(x, frames.CallFailed))
        return bool(failures)

    fakes.wait_until(has_failed)
    assert failures[0].reason == errors.Reason.PROTOCOL.value


def test_a_part_of_an_answer_that_a_reset_ends_is_not_whole_on_a_path(connect):
    path = connect(fakes.cut_upload)
    fakes.check_no_part_is_whole(path.call)


@pytest.mark.parametrize("status", [b"000", b"99", b"600", b"1000", b"0200"])
def test_an_answer_with_an_odd_status_fails_the_call_on_a_path(connect, status):
    text = b"HTTP/1.1 %b X\r\nContent-Length: 4\r\n\r\nodd!" % status
    error = connect(fakes.answers(text)).call(fakes.request())
    assert isinstance(error, errors.CallError)
    assert not error.not_run
