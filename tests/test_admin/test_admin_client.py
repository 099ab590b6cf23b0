"""Tests of the client over real connections."""

from collections.abc import Iterator
import itertools
import socket

import pytest

from tests.test_proxy import fakes
from trefoilwind import errors
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import views

_BODY = b'{"node_id": "n", "moves": [], "progress": []}'
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    len(_BODY),
    _BODY,
)


class _Node:
    """Answers a given number of requests on each connection.

    The next request on that connection meets its close.
    """

    def __init__(self, *answers: int):
        self._answers = itertools.chain(answers, itertools.repeat(answers[-1]))
        self.requests = 0
        self._server = fakes.ScriptedBackend(self._serve)
        self.client = client_lib.AdminClient(
            f"http://{self._server.address}", "", fakes.WAIT_S
        )

    def close(self) -> None:
        self._server.close()

    def _serve(self, connection: socket.socket) -> None:
        for remaining in range(next(self._answers), -1, -1):
            if not fakes.read_head(connection):
                return
            self.requests += 1
            if remaining:
                connection.sendall(_ANSWER)
        connection.shutdown(socket.SHUT_RDWR)


@pytest.fixture(name="make_node")
def fixture_make_node() -> Iterator:
    nodes = []

    def make(*answers: int) -> _Node:
        nodes.append(_Node(*answers))
        return nodes[-1]

    yield make
    for node in nodes:
        node.close()


def test_request_that_meets_the_close_of_an_idle_connection_is_answered(
    make_node,
):
    """A node that was up was reported as unreachable, and ended the demo."""
    node = make_node(1)
    for _ in range(3):
        assert node.client.moves() == views.Moves("n", (), ())
    assert node.requests == 5


def test_node_that_closes_each_connection_unanswered_is_unreachable(make_node):
    node = make_node(0)
    error = node.client.moves()
    assert isinstance(error, errors.AdminError)
    assert error.reason is errors.Reason.PEER_UNREACHABLE
    assert node.requests == 2
