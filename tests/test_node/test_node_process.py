"""Complete nodes over real sockets: HTTP of callers and planned stops."""

import concurrent.futures
import http.client
import json
import socket
import threading
import time

from cheroot import wsgi
import pytest

from tests.test_node import uploads
from tests.test_proxy import fakes
from trefoilwind.proxy import callers

_READ_TIMEOUT_S = 0.25


@pytest.fixture(name="mesh")
def fixture_mesh():
    with uploads.started_mesh() as mesh:
        yield mesh


@pytest.fixture(name="lasting_mesh", scope="module")
def fixture_lasting_mesh():
    with uploads.started_mesh() as mesh:
        yield mesh


@pytest.fixture(name="shared_mesh")
def fixture_shared_mesh(lasting_mesh):
    yield lasting_mesh
    for server in lasting_mesh.backends:
        server.faults.delay_s = 0.0


def test_an_upload_completes_during_a_stop_of_its_target_node(mesh):
    running = [uploads.Upload(mesh) for _ in range(4)]
    for upload in running:
        upload.send(uploads.UPLOAD_BYTES // 2)
    targets = mesh.nodes[1:]
    fakes.wait_until(lambda: sum(x.in_flight for x in targets) == 4)
    leaving, staying = sorted(targets, key=lambda x: -x.in_flight)
    before = leaving.in_flight
    assert before >= 2
    drain = threading.Thread(target=leaving.drain)
    drain.start()
    fakes.wait_until(lambda: uploads.serving(mesh.nodes[0]) == 2)
    for _ in range(20):
        assert uploads.get(mesh).status == 200
    assert leaving.in_flight == before
    with concurrent.futures.ThreadPoolExecutor() as executor:
        received = list(executor.map(uploads.Upload.finish, running))
    assert received == [uploads.UPLOAD_BYTES] * 4
    drain.join(fakes.WAIT_S)
    assert not drain.is_alive()
    leaving.stop()
    assert uploads.get(mesh).status == 200


def test_an_upload_whose_caller_pauses_is_not_ended_by_the_backend_server(
    monkeypatch,
):
    """The library's default, 10 s, limits each pause within a request."""
    initialize = wsgi.Server.__init__

    def initialize_with_short_default(server, *args, **kwargs):
        initialize(server, *args, **kwargs)
        server.timeout = _READ_TIMEOUT_S

    monkeypatch.setattr(wsgi.Server, "__init__", initialize_with_short_default)
    with uploads.started_mesh() as mesh:
        upload = uploads.Upload(mesh)
        upload.send(uploads.UPLOAD_BYTES // 2)
        time.sleep(4 * _READ_TIMEOUT_S)
        assert upload.finish() == uploads.UPLOAD_BYTES


def test_an_upload_completes_during_a_stop_of_its_entry_node(mesh):
    upload = uploads.Upload(mesh)
    upload.send(uploads.UPLOAD_BYTES // 2)
    idle = uploads.connect(mesh)
    idle.request("GET", "/artwork/x")
    idle.getresponse().read()
    entry = mesh.nodes[0]
    drain = threading.Thread(target=entry.drain)
    drain.start()
    fakes.wait_until(
        lambda: entry.environment.blackboard.lifecycle.value.draining
    )
    idle.request("GET", "/artwork/x")
    refused = idle.getresponse()
    assert refused.status == 503
    assert refused.getheader("Trefoilwind-Result") == "not-run"
    assert refused.getheader("Connection") == "close"
    assert json.loads(refused.read())["title"] == "draining"
    assert upload.finish() == uploads.UPLOAD_BYTES
    drain.join(fakes.WAIT_S)
    assert not drain.is_alive()


def test_a_withdrawn_backend_server_gets_no_new_calls(mesh):
    upload = uploads.Upload(mesh)
    upload.send(uploads.UPLOAD_BYTES // 2)
    fakes.wait_until(lambda: sum(x.in_flight for x in mesh.nodes[1:]) == 1)
    index = 1 if mesh.nodes[1].in_flight else 2
    mesh.backends[index].stop_announcing()
    admin = mesh.bound[index].admin
    connection = http.client.HTTPConnection(admin.host, admin.port)
    connection.request("DELETE", "/v1/announcement")
    assert connection.getresponse().status == 200
    fakes.wait_until(lambda: uploads.serving(mesh.nodes[0]) == 2)
    before = mesh.backends[index].calls
    for _ in range(30):
        assert uploads.get(mesh).status == 200
    assert mesh.backends[index].calls == before
    assert upload.finish() == uploads.UPLOAD_BYTES


def test_unknown_routes_are_refused_as_not_run(shared_mesh):
    response = uploads.get(shared_mesh, path="/nothing/x")
    assert response.status == 404
    assert response.getheader("Content-Type") == "application/problem+json"
    document = json.loads(response.body)
    assert document["title"] == "no-route"
    assert document["result"] == "not-run"


def test_the_deadline_given_by_the_caller_is_enforced(shared_mesh):
    for server in shared_mesh.backends:
        server.faults.delay_s = 1.0
    response = uploads.get(shared_mesh, **{"Trefoilwind-Timeout": "0.1"})
    assert response.status == 504
    assert response.getheader("Trefoilwind-Result") == "unknown"


def test_a_chunked_upload_arrives(shared_mesh):
    connection = uploads.connect(shared_mesh)
    connection.request(
        "POST",
        "/artwork/x",
        body=iter([uploads.PIECE] * 8),
        encode_chunked=True,
    )
    response = connection.getresponse()
    assert response.status == 200
    assert json.loads(response.read())["received"] == 8 * len(uploads.PIECE)


def test_a_chunk_over_the_limit_is_refused(shared_mesh):
    connection = uploads.connect(shared_mesh)
    connection.putrequest("POST", "/artwork/x")
    connection.putheader("Transfer-Encoding", "chunked")
    connection.endheaders()
    size = callers.MAX_CHUNK_BYTES + 1
    connection.send(b"%x\r\n" % size)
    assert connection.getresponse().status == 413


def test_many_requests_share_a_connection(shared_mesh):
    connection = uploads.connect(shared_mesh)
    for index in range(20):
        body = bytes(index * 7)
        connection.request("POST", f"/artwork/a%20b/{index}?q=1", body=body)
        answer = json.loads(connection.getresponse().read())
        assert answer["path"] == f"/a b/{index}"
        assert answer["received"] == len(body)


def test_a_call_is_cancelled_when_its_caller_disconnects(shared_mesh):
    for server in shared_mesh.backends:
        server.faults.delay_s = 2.0
    connection = uploads.connect(shared_mesh)
    connection.request("GET", "/artwork/x")
    targets = shared_mesh.nodes[1:]
    fakes.wait_until(lambda: sum(x.in_flight for x in targets) == 1)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    fakes.wait_until(lambda: sum(x.in_flight for x in shared_mesh.nodes) == 0)
