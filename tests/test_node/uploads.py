"""A mesh of three nodes over real sockets, and uploads through it."""

import contextlib
import http.client
import json

from tests.test_proxy import fakes
from trefoilwind.admin import views
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import state as state_lib
from trefoilwind.standins import mesh as mesh_lib

UPLOAD_BYTES = 50 * 1024 * 1024
# Sending and receiving are limited by `fakes.WAIT_S` each; the whole of a call
# may take long on a busy machine.
CALL_TIMEOUT_S = 300.0
PIECE = bytes(256 * 1024)


def configuration() -> configuration_lib.Configuration:
    lookup = configuration_lib.ClassTarget(
        "lookup", True, 0.2, 0.99, 2, timeout_s=CALL_TIMEOUT_S
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
def started_mesh():
    """Start a mesh whose first node has no backend server of artwork."""
    mesh = mesh_lib.Mesh()
    try:
        mesh.add_node("perth-a", "perth", "catalogue", "v1")
        for _ in range(2):
            mesh.add_node("perth-a", "perth", "artwork", "v1")
        fakes.wait_until(lambda: all(serving(x) == 3 for x in mesh.nodes))
        mesh.admin_client(0).publish(
            views.PublicationRequest(
                "test/1", state_lib.NO_VERSION, configuration()
            )
        )
        fakes.wait_until(
            lambda: all(
                x.environment.blackboard.state.value.version >= 0
                for x in mesh.nodes
            )
        )
        fakes.wait_until(lambda: get(mesh).status == 200)
        yield mesh
    finally:
        mesh.stop()


def serving(node) -> int:
    members = node.environment.blackboard.members.value.members
    return sum(bool(m.service) and not m.leaving for m in members)


def connect(mesh, index=0) -> http.client.HTTPConnection:
    address = mesh.bound[index].caller
    return http.client.HTTPConnection(
        address.host, address.port, timeout=fakes.WAIT_S
    )


def get(mesh, index=0, path="/artwork/x", **headers):
    connection = connect(mesh, index)
    connection.request("GET", path, headers=headers)
    response = connection.getresponse()
    response.body = response.read()
    return response


class Upload:
    """An upload of 50 MB that is sent in several parts."""

    def __init__(self, mesh):
        self._connection = connect(mesh)
        self._connection.putrequest("POST", "/artwork/photo")
        self._connection.putheader("Content-Length", str(UPLOAD_BYTES))
        self._connection.endheaders()
        self._remaining_bytes = UPLOAD_BYTES

    def send(self, count: int) -> None:
        """Send further bytes."""
        end = self._remaining_bytes - count
        while self._remaining_bytes > end:
            self._connection.send(PIECE)
            self._remaining_bytes -= len(PIECE)

    def finish(self) -> int:
        """Send the rest; return the number of bytes the server received."""
        self.send(self._remaining_bytes)
        response = self._connection.getresponse()
        assert response.status == 200
        return json.loads(response.read())["received"]
