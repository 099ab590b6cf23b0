"""Graceful shutdown over real sockets."""

import dataclasses
import threading

import pytest_bdd

from tests.test_node import uploads
from tests.test_proxy import fakes
from trefoilwind.node import process
from trefoilwind.standins import mesh as mesh_lib

pytest_bdd.scenarios("features/10_graceful_shutdown.feature")


@dataclasses.dataclass
class Stop:
    """A planned stop in progress."""

    node: process.Node
    thread: threading.Thread
    calls_before: int


@pytest_bdd.given(
    "a mesh of nodes with real network connections",
    target_fixture="mesh",
)
def start_mesh(request) -> mesh_lib.Mesh:
    started = uploads.started_mesh()
    request.addfinalizer(lambda: started.__exit__(None, None, None))
    return started.__enter__()


@pytest_bdd.given(
    "a caller has sent half of a drawing of 50 megabytes",
    target_fixture="upload",
)
def start_upload(mesh) -> uploads.Upload:
    upload = uploads.Upload(mesh)
    upload.send(uploads.UPLOAD_BYTES // 2)
    fakes.wait_until(lambda: _uploading_node_index(mesh) is not None)
    return upload


def _uploading_node_index(mesh) -> int | None:
    return next((i for i in (1, 2) if mesh.nodes[i].in_flight), None)


@pytest_bdd.when(
    "the node beside the backend server is stopped",
    target_fixture="stop",
)
def stop_node(mesh) -> Stop:
    index = _uploading_node_index(mesh)
    node = mesh.nodes[index]
    thread = threading.Thread(target=node.drain)
    thread.start()
    fakes.wait_until(lambda: uploads.serving(mesh.nodes[0]) == 2)
    return Stop(node, thread, mesh.backends[index].calls)


@pytest_bdd.then("new calls go to another backend server")
def check_new_calls(mesh, stop):
    for _ in range(20):
        assert uploads.get(mesh).status == 200
    index = mesh.nodes.index(stop.node)
    assert mesh.backends[index].calls == stop.calls_before


@pytest_bdd.then("the drawing is received completely")
def check_upload(upload):
    assert upload.finish() == uploads.UPLOAD_BYTES


@pytest_bdd.then("the node finishes without further action")
def check_end(stop):
    stop.thread.join(fakes.WAIT_S)
    assert not stop.thread.is_alive()
