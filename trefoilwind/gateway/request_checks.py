"""Checks of a request by its head, before it becomes a call."""

from collections.abc import Callable
import logging

from trefoilwind.customers import access as access_lib
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.logs import decisions
from trefoilwind.model import mesh
from trefoilwind.telemetry import counts as counts_lib

logger = logging.getLogger(__name__)

_STEP = "entry.access"
# Retry time given to callers while the keys in force may be outdated.
KEYS_UNCONFIRMED_RETRY_S = 0.5
_STATUS_UNAUTHORIZED = 401
_SAFE_METHODS = frozenset({b"GET", b"HEAD"})


class RequestChecks:
    """Finds the customer of a request, or its refusal."""

    def __init__(
        self,
        access: access_lib.Access,
        board: board_lib.MeshBoard,
        headers: calls.HeaderPort,
        is_running: Callable[[bytes], bool],
        counts: counts_lib.MeshCounts,
        unavailable: Callable[[float], http_types.HttpAnswer],
    ):
        """Initialize the checks.

        Args:
            access: Customers in force.
            board: Snapshots of the node's components.
            headers: Header functions of the platform.
            is_running: Returns True if a request with an id runs at the
                backend server of this node.
            counts: Counters of the node.
            unavailable: Returns the refusal with a retry time in seconds.
        """
        self._access = access
        self._board = board
        self._headers = headers
        self._is_running = is_running
        self._counts = counts
        self._unavailable = unavailable

    def customer(
        self, metadata: calls.RequestMetadata, route: mesh.HostRoute
    ) -> mesh.Customer | http_types.HttpAnswer | None:
        """Return the customer of a request, None for none, or a refusal."""
        is_nested = self._is_running(metadata.parent_id)
        found = self._access.check(metadata.key, route, is_nested)
        if isinstance(found, access_lib.Refusal):
            return self._refused(found, metadata, route)
        return found

    def check_head(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer | None:
        """Return the answer to a request that is refused before its body.

        Args:
            request: The request, without its body.

        Returns:
            A refusal, or None if the body is to be read.
        """
        if not self._access.is_required:
            return None
        metadata = self._headers.read(request.headers)
        route = self._board.routes.value.match(
            metadata.host, _path(request.target)
        )
        if route is None:
            return None
        found = self.customer(metadata, route)
        return found if isinstance(found, http_types.HttpAnswer) else None

    def may_overlap(self, request: http_types.HttpRequest) -> bool:
        """Return True if a request may run beside others of its connection."""
        if request.method not in _SAFE_METHODS:
            return False
        host = request.header(b"host").decode("latin-1")
        route = self._board.routes.value.match(host, _path(request.target))
        return route is not None and route.is_idempotent

    def forwarded(
        self, metadata: calls.RequestMetadata, customer: mesh.Customer | None
    ) -> tuple[http_types.Header, ...]:
        """Return the caller's headers, with its customer instead of its key."""
        if not self._access.is_required:
            return metadata.forwarded
        name = customer.name if customer is not None else ""
        return self._headers.customer_headers(metadata.forwarded, name)

    def _refused(
        self,
        refusal: access_lib.Refusal,
        metadata: calls.RequestMetadata,
        route: mesh.HostRoute,
    ) -> http_types.HttpAnswer:
        self._counts.access_refused(refusal.reason.value)
        if refusal.is_temporary:
            answer = self._unavailable(KEYS_UNCONFIRMED_RETRY_S)
        else:
            answer = http_types.HttpAnswer(
                _STATUS_UNAUTHORIZED, self._headers.challenge
            )
        decisions.failure(
            logger,
            "access_refused",
            "entry: access refused",
            id=metadata.request_id,
            route=route.name,
            configuration=self._board.configuration.value.version,
            reason=refusal.reason.value,
            step=_STEP,
            status=answer.status,
        )
        return answer


def _path(target: bytes) -> str:
    return target.partition(b"?")[0].decode("latin-1")
