"""Whole nodes over real sockets: callers' HTTP and planned stops."""

import concurrent.futures
import contextlib
import http.client
import json
import socket
import threading

import pytest

from tests.test_proxy import fakes
from trefoilwind.admin import views
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import state as state_lib
from trefoilwind.proxy import callers
from trefoilwind.standins import mesh as mesh_lib

_UPLOAD_BYTES = 50 * 1024 * 1024
_PIECE = bytes(256 * 1024)


def _configuration() -> configuration_lib.Configuration:
    lookup = configuration_lib.ClassTarget(
        "lookup", True, 0.2, 0.99, 2, timeout_s=30.0
    )
    services = tuple(
        configuration_lib.Service(
            name, "v1", (configuration_lib.Route("/", "lookup"),)
        )
        for name in ("catalogue", "artwork")
    )
    return configuration_lib.Configuration(
        data_centres=(configuration_lib.DataCentre("perth-a", "perth"),),
        halves=("north",),
        classes=(lookup,),
        services=services,
        ownership=(configuration_lib.Ownership("north"),),
    )


@contextlib.contextmanager
def _started_mesh():
    """An entry without a backend server of artwork, and two with one."""
    mesh = mesh_lib.Mesh()
    try:
        mesh.add_node("perth-a", "perth", "catalogue", "v1")
        for _ in range(2):
            mesh.add_node("perth-a", "perth", "artwork", "v1")
        fakes.wait_until(lambda: all(_serving(x) == 3 for x in mesh.nodes))
        mesh.admin_client(0).publish(
            views.PublicationRequest(
                "test/1", state_lib.NO_VERSION, _configuration()
            )
        )
        fakes.wait_until(
            lambda: all(
                x.environment.blackboard.state.value.version >= 0
                for x in mesh.nodes
            )
        )
        fakes.wait_until(lambda: _get(mesh).status == 200)
        yield mesh
    finally:
        mesh.stop()


@pytest.fixture(name="mesh")
def fixture_mesh():
    with _started_mesh() as mesh:
        yield mesh


@pytest.fixture(name="lasting_mesh", scope="module")
def fixture_lasting_mesh():
    with _started_mesh() as mesh:
        yield mesh


@pytest.fixture(name="shared_mesh")
def fixture_shared_mesh(lasting_mesh):
    yield lasting_mesh
    for server in lasting_mesh.backends:
        server.faults.delay_s = 0.0


def _serving(node) -> int:
    members = node.environment.blackboard.members.value.members
    return sum(bool(m.service) and not m.leaving for m in members)


def _connect(mesh, index=0) -> http.client.HTTPConnection:
    address = mesh.bound[index].caller
    return http.client.HTTPConnection(
        address.host, address.port, timeout=fakes.WAIT_S
    )


def _get(mesh, index=0, path="/artwork/x", **headers):
    connection = _connect(mesh, index)
    connection.request("GET", path, headers=headers)
    response = connection.getresponse()
    response.body = response.read()
    return response


class _Upload:
    """An upload of 50 MB that is sent in two parts."""

    def __init__(self, mesh):
        self._connection = _connect(mesh)
        self._connection.putrequest("POST", "/artwork/photo")
        self._connection.putheader("Content-Length", str(_UPLOAD_BYTES))
        self._connection.endheaders()
        self._left = _UPLOAD_BYTES

    def send(self, count: int) -> None:
        """Send further bytes."""
        end = self._left - count
        while self._left > end:
            self._connection.send(_PIECE)
            self._left -= len(_PIECE)

    def finish(self) -> int:
        """Send the rest; return how many bytes the backend server got."""
        self.send(self._left)
        response = self._connection.getresponse()
        assert response.status == 200
        return json.loads(response.read())["received"]


def test_an_upload_crosses_the_stop_of_its_target(mesh):
    uploads = [_Upload(mesh) for _ in range(4)]
    for upload in uploads:
        upload.send(_UPLOAD_BYTES // 2)
    targets = mesh.nodes[1:]
    fakes.wait_until(lambda: sum(x.in_flight for x in targets) == 4)
    leaving, staying = sorted(targets, key=lambda x: -x.in_flight)
    before = leaving.in_flight
    assert before >= 2
    drain = threading.Thread(target=leaving.drain)
    drain.start()
    fakes.wait_until(lambda: _serving(mesh.nodes[0]) == 2)
    for _ in range(20):
        assert _get(mesh).status == 200
    assert leaving.in_flight == before
    with concurrent.futures.ThreadPoolExecutor() as executor:
        received = list(executor.map(_Upload.finish, uploads))
    assert received == [_UPLOAD_BYTES] * 4
    drain.join(fakes.WAIT_S)
    assert not drain.is_alive()
    leaving.stop()
    assert _get(mesh).status == 200


def test_an_upload_crosses_the_stop_of_its_entry(mesh):
    upload = _Upload(mesh)
    upload.send(_UPLOAD_BYTES // 2)
    idle = _connect(mesh)
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
    assert upload.finish() == _UPLOAD_BYTES
    drain.join(fakes.WAIT_S)
    assert not drain.is_alive()


def test_a_backend_server_that_leaves_gets_no_new_work(mesh):
    upload = _Upload(mesh)
    upload.send(_UPLOAD_BYTES // 2)
    fakes.wait_until(lambda: sum(x.in_flight for x in mesh.nodes[1:]) == 1)
    index = 1 if mesh.nodes[1].in_flight else 2
    mesh.backends[index].stop_announcing()
    admin = mesh.bound[index].admin
    connection = http.client.HTTPConnection(admin.host, admin.port)
    connection.request("DELETE", "/v1/announcement")
    assert connection.getresponse().status == 200
    fakes.wait_until(lambda: _serving(mesh.nodes[0]) == 2)
    before = mesh.backends[index].calls
    for _ in range(30):
        assert _get(mesh).status == 200
    assert mesh.backends[index].calls == before
    assert upload.finish() == _UPLOAD_BYTES


def test_unknown_routes_are_refused_as_not_run(shared_mesh):
    response = _get(shared_mesh, path="/nothing/x")
    assert response.status == 404
    assert response.getheader("Content-Type") == "application/problem+json"
    document = json.loads(response.body)
    assert document["title"] == "no-route"
    assert document["result"] == "not-run"


def test_a_deadline_of_the_caller_is_kept(shared_mesh):
    for server in shared_mesh.backends:
        server.faults.delay_s = 1.0
    response = _get(shared_mesh, **{"Trefoilwind-Timeout": "0.1"})
    assert response.status == 504
    assert response.getheader("Trefoilwind-Result") == "unknown"


def test_a_chunked_upload_arrives(shared_mesh):
    connection = _connect(shared_mesh)
    connection.request(
        "POST", "/artwork/x", body=iter([_PIECE] * 8), encode_chunked=True
    )
    response = connection.getresponse()
    assert response.status == 200
    assert json.loads(response.read())["received"] == 8 * len(_PIECE)


def test_a_chunk_over_the_limit_is_refused(shared_mesh):
    connection = _connect(shared_mesh)
    connection.putrequest("POST", "/artwork/x")
    connection.putheader("Transfer-Encoding", "chunked")
    connection.endheaders()
    size = callers.MAX_CHUNK_BYTES + 1
    connection.send(b"%x\r\n" % size)
    assert connection.getresponse().status == 413


def test_many_requests_share_a_connection(shared_mesh):
    connection = _connect(shared_mesh)
    for index in range(20):
        body = bytes(index * 7)
        connection.request("POST", f"/artwork/a%20b/{index}?q=1", body=body)
        answer = json.loads(connection.getresponse().read())
        assert answer["path"] == f"/a b/{index}"
        assert answer["received"] == len(body)


def test_a_caller_that_leaves_cancels_its_call(shared_mesh):
    for server in shared_mesh.backends:
        server.faults.delay_s = 2.0
    connection = _connect(shared_mesh)
    connection.request("GET", "/artwork/x")
    targets = shared_mesh.nodes[1:]
    fakes.wait_until(lambda: sum(x.in_flight for x in targets) == 1)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    fakes.wait_until(lambda: sum(x.in_flight for x in shared_mesh.nodes) == 0)
