"""Mesh of complete nodes with stand-ins for backend servers, in one process."""

import time

from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.admin import client as client_lib
from trefoilwind.node import process
from trefoilwind.standins import backend
from trefoilwind.standins import log_service

TOKEN = "demo-token"
_SLOTS = 16


class Mesh:
    """Nodes that share one log in memory and use real sockets on loopback."""

    def __init__(self) -> None:
        self.log = log_service.MemoryLog()
        self.nodes: list[process.Node] = []
        self.backends: list[backend.BackendServer] = []
        self.bound: list[process.Addresses] = []

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """Base URLs at which the nodes accept calls."""
        return tuple(f"http://{b.caller}" for b in self.bound)

    def add_node(
        self,
        data_centre: str,
        region: str,
        service: str,
        version: str,
        faults: backend.BackendFaults | None = None,
    ) -> process.Node:
        """Start a node and its backend server.

        Raises:
            RuntimeError: The node could not start.
        """
        settings = settings_lib.NodeSettings(
            node_id=f"{data_centre}-{service}-{version}-{len(self.nodes)}",
            data_centre=data_centre,
            region=region,
            log=settings_lib.LogSettings(url=""),
            admin_token=TOKEN,
            contacts=tuple(b.peer for b in self.bound[:2]),
        )
        node = process.Node(settings, self.log)
        bound = node.start()
        if isinstance(bound, errors.Error):
            raise RuntimeError(str(bound))
        self.nodes.append(node)
        self.bound.append(bound)
        server = backend.BackendServer(service, version, faults)
        server.start()
        server.announce_until_stopped(f"http://{bound.admin}", _SLOTS)
        self.backends.append(server)
        return node

    def admin_client(self, index: int) -> client_lib.AdminClient:
        """Return a client of a node's administration API."""
        return client_lib.AdminClient(
            f"http://{self.bound[index].admin}", TOKEN
        )

    def wait_until(self, condition, timeout_s: float = 10.0) -> bool:
        """Wait for a condition; return False if the timeout ends first."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                return False
            time.sleep(0.02)
        return True

    def stop(self) -> None:
        """Stop all nodes and backend servers."""
        for server in self.backends:
            server.stop_announcing()
        for node in self.nodes:
            node.stop()
        for server in self.backends:
            server.stop()
