"""HTTP endpoints of a node: readiness probe and heartbeats."""

import asyncio
from collections.abc import Callable
import http
import json
import logging

from trefoilwind import errors
from trefoilwind.gateway import http_types
from trefoilwind.gateway import node as node_lib
from trefoilwind.model import addresses
from trefoilwind.model import mesh
from trefoilwind.platform import documents

logger = logging.getLogger(__name__)

_READINESS_PATH = b"/-/readiness"
_INSTANCE_PATH = "/-/instances/"
_JSON = ((b"Content-Type", b"application/json"),)
# Seconds until the answer to a leaving that is not stored yet; a backend server
# waits for one second.
STORE_WAIT_S = 0.8
# Seconds after which a backend server may repeat it.
_RETRY_AFTER = ((b"Retry-After", b"0.2"),)
_DONE = http_types.HttpAnswer(http.HTTPStatus.OK, _JSON, b"{}")
_READY = http_types.HttpAnswer(http.HTTPStatus.OK, ())
_NOT_READY = http_types.HttpAnswer(http.HTTPStatus.SERVICE_UNAVAILABLE, ())
_NOT_STORED = http_types.HttpAnswer(
    http.HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER
)
_NOT_FOUND = http_types.HttpAnswer(http.HTTPStatus.NOT_FOUND, ())


class Readiness:
    """Readiness probe: whether the platform may send callers to the node."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        """Return the answer to one probe."""
        if request.target.partition(b"?")[0] != _READINESS_PATH:
            return _NOT_FOUND
        return _READY if self._is_ready() else _NOT_READY


class Heartbeats:
    """Receives the heartbeats of the backend server beside the node."""

    def __init__(
        self, node: node_lib.MeshNode, address: addresses.Address, service: str
    ):
        self._node = node
        self._address = address
        self._service = service

    async def serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        """Return the answer to a heartbeat or a deregistration."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        instance_id = path.removeprefix(_INSTANCE_PATH)
        if instance_id == path or not instance_id:
            return _NOT_FOUND
        if request.method == b"PUT":
            return await self._handle_heartbeat(instance_id, request.body)
        if request.method == b"DELETE":
            return await self._deregister(instance_id)
        return http_types.HttpAnswer(http.HTTPStatus.METHOD_NOT_ALLOWED, ())

    async def _handle_heartbeat(
        self, instance_id: str, body: bytes
    ) -> http_types.HttpAnswer:
        decoded = documents.decode_heartbeat(instance_id, body)
        if isinstance(decoded, errors.Error):
            return _reject(decoded)
        problem = self._check_sender(decoded)
        if problem is not None:
            return _reject(problem)
        if self._is_current(decoded):
            self._node.announce(decoded)
        if decoded.is_leaving:
            return await self._acknowledge_leaving(instance_id)
        return _DONE

    def _check_sender(self, server: mesh.BackendServer) -> errors.Error | None:
        """Return an error if another backend server sent the heartbeat."""
        is_local = (
            server.address == self._address and server.service == self._service
        )
        if is_local:
            return None
        return errors.Error(
            errors.Reason.OUT_OF_RANGE,
            "heartbeat.check",
            server.instance_id,
            f"{server.service} at {server.address}",
        )

    def _is_current(self, server: mesh.BackendServer) -> bool:
        """Return False for a heartbeat that a newer one superseded."""
        current = self._node.server
        if current is None:
            return True
        if server.precedence <= current.precedence:
            return False
        is_same_process = current.process == server.process
        # A process that is leaving does not become ready again.
        return not (
            is_same_process and current.is_leaving and not server.is_leaving
        )

    async def _deregister(self, instance_id: str) -> http_types.HttpAnswer:
        current = self._node.server
        logger.info(
            "heartbeat: %s deregistered; the known backend server is %s",
            instance_id,
            current.instance_id if current else "none",
        )
        self._node.deregister(instance_id)
        return await self._acknowledge_leaving(instance_id)

    async def _acknowledge_leaving(
        self, instance_id: str
    ) -> http_types.HttpAnswer:
        """Return the answer to a leaving that was applied.

        An acknowledgement binds all later processes of this node, so it waits
        until the store has the leaving. Without it, the backend server
        repeats its message.
        """
        deadline = asyncio.get_running_loop().time() + STORE_WAIT_S
        if await self._node.wait_server_stored(deadline):
            return _DONE
        logger.warning(
            "heartbeat: leaving of %s not acknowledged, as it is not stored",
            instance_id,
        )
        return _NOT_STORED


def _reject(problem: errors.Error) -> http_types.HttpAnswer:
    logger.warning("heartbeat: rejected; %s", problem)
    body = json.dumps({"error": problem.reason.value}).encode()
    return http_types.HttpAnswer(http.HTTPStatus.BAD_REQUEST, _JSON, body)
