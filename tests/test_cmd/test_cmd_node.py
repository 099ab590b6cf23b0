"""Test of `trefoilwind-node` as a subprocess."""

import contextlib
import http.client
import json
import signal
import subprocess
import sys
import threading

from cheroot import wsgi
import pytest

from tests.test_proxy import fakes
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import views
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import state as state_lib
from trefoilwind.standins import log_server
from trefoilwind.standins import log_service

_TOKEN = "test"
_UPLOAD_BYTES = 50 * 1024 * 1024


def _configuration() -> configuration_lib.Configuration:
    target = configuration_lib.ClassTarget(
        "upload", False, 1.0, 0.99, 2, timeout_s=60.0
    )
    routes = (configuration_lib.Route("/", "upload"),)
    return configuration_lib.Configuration(
        data_centres=(configuration_lib.DataCentre("perth-a", "perth"),),
        halves=("north",),
        classes=(target,),
        services=(configuration_lib.Service("artwork", "v1", routes),),
        ownership=(configuration_lib.Ownership("north"),),
    )


def _count_body(connection):
    while head := fakes.read_head(connection):
        count = 0
        if b"content-length" in head.lower():
            count = fakes.read_body(connection, head)
        text = str(count).encode()
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text
        )


@pytest.fixture(name="node")
def fixture_node(tmp_path):
    """Start a node; yield its process, its printed words and its backend."""
    with contextlib.ExitStack() as stack:
        log = wsgi.Server(
            ("127.0.0.1", 0),
            log_server.LogApplication(log_service.MemoryLog()),
        )
        log.prepare()
        threading.Thread(target=log.serve, daemon=True).start()
        stack.callback(log.stop)
        backend = fakes.ScriptedBackend(_count_body)
        stack.callback(backend.close)
        settings = {
            "node_id": "a",
            "data_centre": "perth-a",
            "region": "perth",
            "log": {"url": f"http://127.0.0.1:{log.bind_addr[1]}"},
            "admin_token": _TOKEN,
            "membership": {"announcement_lease_s": 120.0},
        }
        path = tmp_path / "node.jsonc"
        path.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "trefoilwind.cmd.node", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        stack.callback(process.wait)
        stack.callback(process.kill)
        words = process.stdout.readline().replace(",", "").split()
        yield process, words, backend


def _after(words, word):
    return words[words.index(word) + 1]


def _request(address, method, path, body=None):
    connection = http.client.HTTPConnection(address, timeout=fakes.WAIT_S)
    connection.request(method, path, body=body)
    response = connection.getresponse()
    response.read()
    return response.status


def test_sigterm_does_not_interrupt_an_upload(node):
    process, words, backend = node
    admin = _after(words, "administration")
    callers = _after(words, "callers")
    announcement = {
        "service": "artwork",
        "version": "v1",
        "port": backend.address.port,
    }
    body = json.dumps(announcement)
    assert _request(admin, "POST", "/v1/announcement", body) == 200
    client = client_lib.AdminClient(f"http://{admin}", _TOKEN)
    client.publish(
        views.PublicationRequest("x", state_lib.NO_VERSION, _configuration())
    )
    fakes.wait_until(lambda: _request(callers, "GET", "/artwork/x") == 200)
    upload = http.client.HTTPConnection(callers, timeout=fakes.WAIT_S)
    upload.putrequest("POST", "/artwork/photo")
    upload.putheader("Content-Length", str(_UPLOAD_BYTES))
    upload.endheaders()
    upload.send(bytes(_UPLOAD_BYTES // 2))
    process.send_signal(signal.SIGTERM)
    fakes.wait_until(lambda: _request(callers, "GET", "/artwork/x") == 503)
    upload.send(bytes(_UPLOAD_BYTES // 2))
    response = upload.getresponse()
    assert response.status == 200
    assert int(response.read()) == _UPLOAD_BYTES
    assert process.wait(fakes.WAIT_S) == 0
