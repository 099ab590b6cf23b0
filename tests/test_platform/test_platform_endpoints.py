"""Readiness and heartbeats."""

import asyncio
import dataclasses
import json

from trefoilwind.gateway import http_types
from trefoilwind.model import addresses
from trefoilwind.platform import endpoints

_ADDRESS = addresses.Address("10.0.0.1", 8080)


class _Node:
    """Fake of the part of a node that the heartbeats use.

    Attributes:
        server: The backend server.
        is_stored: True if the store has what is known of it.
    """

    def __init__(self) -> None:
        self.server = None
        self.is_stored = True

    async def wait_server_stored(self, deadline: float) -> bool:
        """Return whether the backend server is stored, without waiting."""
        return self.is_stored

    def announce(self, server) -> None:
        """Record the backend server."""
        self.server = server

    def deregister(self, instance_id: str) -> None:
        """Mark the backend server as leaving if it is the named one."""
        if self.server is not None and self.server.instance_id == instance_id:
            self.server = dataclasses.replace(self.server, is_leaving=True)


class _Sender:
    """Sends heartbeats to a node."""

    def __init__(self) -> None:
        self.node = _Node()
        self._heartbeats = endpoints.Heartbeats(self.node, _ADDRESS, "s")

    def call(self, method: bytes, path: str, body: bytes = b"") -> int:
        """Return the status of a call."""
        request = http_types.HttpRequest(method, path.encode(), (), body, 0.0)
        return asyncio.run(self._heartbeats.serve(request)).status

    def send_heartbeat(
        self,
        instance_id: str = "i-1",
        born: int = 5,
        seq: int = 1,
        state: str = "ready",
        service: str = "s",
        address: str = "10.0.0.1:8080",
    ) -> int:
        """Send a heartbeat and return the status."""
        info = {"service": service, "version": "v1", "slots": 4}
        status = {"state": state, "seq": seq, "cold_left_s": 0}
        document = {
            "address": address,
            "info": info,
            "status": status,
            "born": born,
        }
        body = json.dumps(document).encode()
        return self.call(b"PUT", f"/-/instances/{instance_id}", body)

    def deregister(self, instance_id: str = "i-1") -> int:
        """Deregister a backend server and return the status."""
        return self.call(b"DELETE", f"/-/instances/{instance_id}")


def test_heartbeat_is_acknowledged_and_announced():
    sender = _Sender()
    assert sender.send_heartbeat() == 200
    assert sender.node.server.instance_id == "i-1"


def test_late_heartbeat_is_ignored():
    sender = _Sender()
    sender.send_heartbeat(seq=5, state="draining")
    assert sender.send_heartbeat(seq=4) == 200
    assert sender.node.server.is_leaving
    sender.send_heartbeat("i-0", born=4, seq=99)
    assert sender.node.server.instance_id == "i-1"


def test_restarted_process_with_the_same_id_is_announced():
    sender = _Sender()
    sender.send_heartbeat(seq=9, state="draining")
    sender.send_heartbeat(born=6, seq=1)
    assert not sender.node.server.is_leaving


def test_deregistered_process_is_not_announced_again():
    sender = _Sender()
    sender.send_heartbeat()
    assert sender.deregister() == 200
    sender.send_heartbeat(seq=2)
    assert sender.node.server.is_leaving
    sender.send_heartbeat("i-2", born=9)
    assert not sender.node.server.is_leaving


def test_leaving_is_acknowledged_once_it_is_stored():
    # Guards against an acknowledgement that the end of all nodes takes back.
    for leave in (
        _Sender.deregister,
        lambda sender: sender.send_heartbeat(seq=2, state="draining"),
    ):
        sender = _Sender()
        sender.send_heartbeat()
        sender.node.is_stored = False
        assert leave(sender) == 503
        assert sender.node.server.is_leaving
        sender.node.is_stored = True
        assert leave(sender) == 200


def test_ready_heartbeat_does_not_wait_for_the_store():
    # Guards against a store outage that makes servers look for other nodes.
    sender = _Sender()
    sender.node.is_stored = False
    assert sender.send_heartbeat() == 200


def test_foreign_and_malformed_heartbeats_are_rejected():
    sender = _Sender()
    assert sender.send_heartbeat(service="other") == 400
    assert sender.send_heartbeat(address="10.0.0.2:8080") == 400
    assert sender.send_heartbeat(state="asleep") == 400
    assert sender.call(b"PUT", "/-/instances/i-1", b"\xff") == 400
    assert sender.call(b"PUT", "/-/instances/", b"{}") == 404
    assert sender.call(b"POST", "/-/instances/i-1") == 405
    assert sender.deregister("unknown") == 200
    assert sender.node.server is None


def test_readiness():
    is_ready = False
    readiness = endpoints.Readiness(lambda: is_ready)

    def get_status(path: bytes) -> int:
        request = http_types.HttpRequest(b"GET", path, (), b"", 0.0)
        return asyncio.run(readiness.serve(request)).status

    assert get_status(b"/-/readiness") == 503
    is_ready = True
    assert get_status(b"/-/readiness") == 200
    assert get_status(b"/other") == 404
