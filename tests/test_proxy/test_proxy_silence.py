"""Streams whose peer stops answering, over a link that discards bytes."""

import contextlib
import socket
import threading

import pytest

from tests.test_proxy import fakes
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import frames
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.proxy import backend as backend_lib
from trefoilwind.proxy import remote as remote_lib
from trefoilwind.proxy import target as target_lib

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_STREAMS = settings_lib.StreamSettings(
    heartbeat_interval_s=0.1, silence_timeout_s=0.8
)


class _Node:
    """Transport, entry and target side of a node, without controllers."""

    def __init__(self, node_id: str, stack: contextlib.ExitStack):
        self.environment = fakes.environment(node_id, _STREAMS)
        self.transport = transport_lib.Transport(self.environment)
        self.target = target_lib.Target(self.environment)
        self.remote = remote_lib.RemoteCaller(self.transport, 262144)
        self.transport.on_call_frame = self._handle_frame
        self.transport.on_stream_closed = self._handle_closed
        self.address = self.transport.listen()
        self.transport.start()
        stack.callback(self.target.stop)
        stack.callback(self.transport.stop)

    def member(self, address: addresses.Address) -> members.Member:
        node_id = self.environment.node_id
        return members.Member(node_id, 1, 1, "perth-a", address)

    def _handle_frame(self, stream, frame):
        if isinstance(frame, (frames.CallOpen, frames.CallBody, frames.Cancel)):
            self.target.handle_frame(stream, frame)
        elif not isinstance(frame, (frames.Credit, frames.GoAway)):
            self.remote.handle_frame(stream, frame)

    def _handle_closed(self, stream):
        self.remote.stream_closed(stream)
        self.target.stream_closed(stream)


@pytest.fixture(name="nodes")
def fixture_nodes():
    with contextlib.ExitStack() as stack:
        backend = fakes.ScriptedBackend(fakes.answers(_OK))
        stack.callback(backend.close)
        nodes = [_Node(name, stack) for name in ("entry", "near", "far")]
        for node in nodes:
            client = backend_lib.BackendClient(backend.address, 4)
            node.target.set_backend(client)
        link = fakes.Link(nodes[2].address)
        stack.callback(link.close)
        yield nodes, link


def _call(node, member, timeout_s=fakes.WAIT_S):
    return node.remote.call(member, fakes.request(timeout_s=timeout_s))


def test_a_silent_stream_is_replaced_while_other_calls_continue(nodes):
    (entry, near, far), link = nodes
    far_member_by_link = far.member(link.address)
    near_member = near.member(near.address)
    assert _call(entry, far_member_by_link).status == 200
    silent = entry.transport.find("far")
    link.is_silent = True
    results = []
    thread = threading.Thread(
        target=lambda: results.append(_call(entry, far_member_by_link))
    )
    thread.start()
    while thread.is_alive():
        assert _call(entry, near_member).status == 200
    assert results[0].reason is errors.Reason.PEER_UNREACHABLE
    assert not results[0].not_run
    assert silent.is_closed
    assert _call(entry, far.member(far.address)).status == 200
    assert entry.transport.find("far") is not silent


def test_a_call_on_a_silent_stream_ends_by_its_deadline(nodes):
    (entry, _, far), link = nodes
    far_member_by_link = far.member(link.address)
    assert _call(entry, far_member_by_link).status == 200
    link.is_silent = True
    error = _call(entry, far_member_by_link, timeout_s=0.2)
    assert error.reason is errors.Reason.DEADLINE_EXCEEDED
    assert not error.not_run


def test_an_idle_stream_that_answers_heartbeats_is_kept(nodes):
    (entry, near, _), _ = nodes
    near_member = near.member(near.address)
    assert _call(entry, near_member).status == 200
    stream = entry.transport.find("near")
    started = stream.last_received
    fakes.wait_until(
        lambda: (
            stream.is_closed
            or stream.last_received > started + 2 * _STREAMS.silence_timeout_s
        )
    )
    assert not stream.is_closed


def test_a_busy_stream_without_answers_to_heartbeats_is_replaced(nodes):
    (entry, _, _), _ = nodes
    connection = socket.create_connection(
        (entry.address.host, entry.address.port)
    )
    hello = frames.Hello(frames.PROTOCOL_VERSION, "stuck", "perth-a")
    connection.sendall(frames.encode(hello))
    fakes.wait_until(lambda: entry.transport.find("stuck") is not None)
    stream = entry.transport.find("stuck")
    call_id = stream.open_call(lambda frame: None)

    def is_closed():
        # Bytes flow in both directions, but heartbeats are not answered.
        with contextlib.suppress(OSError):
            connection.sendall(frames.encode(frames.Ping()))
            connection.recv(65536)
        stream.send(frames.CallBody(call_id, b"x", False))
        return stream.is_closed

    fakes.wait_until(is_closed)
    connection.close()
