"""Preview of a request: where it would go now and why, without sending it."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any
import urllib.parse

from trefoilwind import errors
from trefoilwind.customers import access as access_lib
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import entry as entry_lib
from trefoilwind.gateway import http_types
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.gateway import quotas as quotas_lib
from trefoilwind.gateway import request_checks
from trefoilwind.model import mesh
from trefoilwind.routing import placement
from trefoilwind.routing import regions

PATH = b"/where"
_STATUS_BAD_REQUEST = 400
_STATUS_UNAUTHORIZED = 401
_STATUS_NOT_FOUND = 404
_STATUS_TOO_LARGE = 413
_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503
_JSON = ((b"Content-Type", b"application/json"),)
_DIGITS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """The request that is asked about.

    Attributes:
        host: Host of the request.
        path: Its path, with or without a query.
        method: Its HTTP method.
        body_bytes: Size of its body.
        customer: Name of its customer; empty for none.
    """

    host: str
    path: str
    method: str = "GET"
    body_bytes: int = 0
    customer: str = ""


class PlacementPreview:
    """Explains the decisions of an entry node; changes none of its state."""

    def __init__(
        self,
        board: board_lib.MeshBoard,
        entry: entry_lib.Entry,
        picker: picker_lib.Picker,
        access: access_lib.Access,
        quotas: quotas_lib.Quotas | None,
        now: Callable[[], float],
    ):
        """Initialize the preview.

        Args:
            board: Board of the node.
            entry: Its entry part.
            picker: Picker of the entry part.
            access: Customers in force.
            quotas: Quotas of customers; None for none.
            now: Returns the event loop time in seconds.
        """
        self._board = board
        self._entry = entry
        self._picker = picker
        self._access = access
        self._quotas = quotas
        self._now = now

    async def serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        """Return the preview that the query of a request asks for."""
        query = parse(request.target)
        if isinstance(query, str):
            return _answer(_STATUS_BAD_REQUEST, {"error": query})
        return _answer(200, self.explain(query))

    def explain(self, query: Query) -> dict[str, Any]:
        """Return the decisions on a request as plain data."""
        configuration = self._board.configuration.value
        table = self._board.routes.value
        evacuated = sorted(self._board.evacuations.value.evacuated)
        document: dict[str, Any] = {
            "configuration": table.version,
            "evacuated": evacuated,
        }
        if self._entry.is_stopping:
            return document | _refusal(
                errors.Reason.DRAINING,
                _STATUS_UNAVAILABLE,
                entry_lib.NO_BACKEND_RETRY_S,
            )
        if not table.version:
            return document | _refusal(
                errors.Reason.RECORDS_UNKNOWN,
                _STATUS_UNAVAILABLE,
                entry_lib.NO_CONFIGURATION_RETRY_S,
            )
        route = table.match(query.host, query.path.partition("?")[0])
        if route is None:
            return document | _refusal(
                errors.Reason.NO_ROUTE, _STATUS_NOT_FOUND
            )
        document["route"] = _route(route)
        customer = self._customer(query.customer, route)
        if isinstance(customer, access_lib.Refusal):
            if customer.is_temporary:
                return document | _refusal(
                    customer.reason,
                    _STATUS_UNAVAILABLE,
                    request_checks.KEYS_UNCONFIRMED_RETRY_S,
                )
            return document | _refusal(customer.reason, _STATUS_UNAUTHORIZED)
        if query.body_bytes > configuration.limits.max_body_bytes:
            return document | _refusal(
                errors.Reason.BODY_TOO_LARGE, _STATUS_TOO_LARGE
            )
        request = http_types.HttpRequest(
            query.method.encode("latin-1"),
            query.path.encode("latin-1"),
            ((b"host", query.host.encode("latin-1")),),
            b"",
            self._now(),
        )
        call, comparison = self._entry.preview(
            request, route, customer, query.body_bytes
        )
        document["customer"] = _customer(customer)
        document["rank"] = call.rank
        document["allowed_regions"] = (
            None
            if call.allowed_regions is None
            else sorted(call.allowed_regions)
        )
        document["service"] = call.service
        document["version"] = self._version(call)
        quota = self._quota(call.customer)
        document["quota"] = quota
        if quota is not None and quota["retry_s"] is not None:
            return document | _refusal(
                errors.Reason.QUOTA_EXCEEDED,
                _STATUS_TOO_MANY,
                quota["retry_s"],
            )
        return document | self._placement(call, comparison)

    def _customer(
        self, name: str, route: mesh.HostRoute
    ) -> mesh.Customer | access_lib.Refusal | None:
        """Return what the check of a valid key of a customer returns."""
        if not name or not self._access.is_required or route.is_public:
            return self._access.check(b"", route, is_nested=False)
        if not self._access.is_confirmed:
            return access_lib.Refusal(
                errors.Reason.KEYS_UNCONFIRMED, is_temporary=True
            )
        customers = self._board.configuration.value.customers
        found = (each for each in customers if each.name == name)
        unknown = access_lib.Refusal(errors.Reason.KEY_UNKNOWN)
        return next(found, unknown)

    def _quota(self, customer: str) -> dict[str, Any] | None:
        quotas = self._quotas
        if quotas is None or not quotas.is_limited(customer):
            return None
        has_token, retry_s = quotas.preview(customer)
        return {"has_token": has_token, "retry_s": retry_s}

    def _version(self, call: calls.Call) -> dict[str, Any]:
        plan = self._board.versions.value.by_service.get(call.service)
        if plan is None:
            return {"name": call.version, "share": 1.0, "banned": []}
        share = 0.0
        if call.version == plan.stable:
            share = 1.0 - plan.share if plan.candidate else 1.0
        elif call.version == plan.candidate:
            share = plan.share
        return {
            "name": call.version,
            "share": share,
            "banned": sorted(plan.banned),
        }

    def _placement(
        self, call: calls.Call, comparison: picker_lib.Comparison
    ) -> dict[str, Any]:
        candidates = comparison.candidates
        cost_s = placement.comparison_cost_s(
            candidates, comparison.transfer_bytes
        )
        document = {
            "transfer_bytes": comparison.transfer_bytes,
            "excluded": self._excluded(call),
            "candidates": [
                self._candidate(each, cost_s(each), comparison.transfer_bytes)
                for each in candidates
            ],
        }
        chosen = comparison.chosen
        if chosen is None:
            return document | _refusal(
                errors.Reason.NO_BACKEND,
                _STATUS_UNAVAILABLE,
                entry_lib.NO_BACKEND_RETRY_S,
            )
        return document | {
            "chosen": {
                "node": chosen.node_id,
                "wait_s": round(placement.wait_s(chosen), _DIGITS),
            }
        }

    def _excluded(self, call: calls.Call) -> dict[str, int]:
        """Return how many backend servers the operators' orders exclude."""
        evacuations = self._board.evacuations.value
        counts: dict[str, int] = {}
        for member in self._board.members.value.members:
            if member.service != call.service:
                continue
            reason = regions.refusal(
                member.data_centre,
                member.region,
                call.allowed_regions,
                evacuations,
            )
            if reason is not None:
                counts[reason.value] = counts.get(reason.value, 0) + 1
        return counts

    def _candidate(
        self, candidate: placement.Candidate, total_s: float, size: int
    ) -> dict[str, Any]:
        sound = dataclasses.replace(candidate, failure_share=0.0)
        sound_s = placement.cost_s(sound, size)
        local_s = placement.cost_s(sound, 0)
        path_s = placement.PATH_LATENCY_S[candidate.distance]
        path_s += candidate.extra_path_s
        parts_s = {
            "path": path_s,
            "transfer": sound_s - local_s,
            "service": candidate.service_s,
            "occupancy": local_s - path_s - candidate.service_s,
            "failures": total_s - sound_s,
        }
        load_age_s, time_age_s = self._picker.ages_s(
            candidate.node_id, self._now()
        )
        return {
            "node": candidate.node_id,
            "distance": candidate.distance.name.lower(),
            "slots": candidate.slots,
            "occupied": candidate.occupied,
            "failure_share": round(candidate.failure_share, _DIGITS),
            "cost_s": round(total_s, _DIGITS),
            "parts_s": {
                # The sum turns a negative zero into zero.
                name: round(each, _DIGITS) + 0.0
                for name, each in parts_s.items()
            },
            "load_age_s": _rounded(load_age_s),
            "service_time_age_s": _rounded(time_age_s),
        }


def parse(target: bytes) -> Query | str:
    """Return the query in a request target, or what is wrong with it."""
    text = target.partition(b"?")[2].decode("latin-1")
    try:
        fields = dict(
            urllib.parse.parse_qsl(
                text, keep_blank_values=True, errors="strict"
            )
        )
        query = Query(
            fields.get("host", ""),
            fields.get("path", ""),
            fields.get("method", "GET"),
            int(fields.get("bytes", "0")),
            fields.get("customer", ""),
        )
        for each in (query.host, query.path, query.method):
            each.encode("latin-1")
    except ValueError:
        return "malformed query"
    if not query.host or not query.path.startswith("/"):
        return "host and a path that begins with a slash expected"
    if query.body_bytes < 0:
        return "bytes: number of at least 0 expected"
    return query


def _answer(status: int, document: dict[str, Any]) -> http_types.HttpAnswer:
    return http_types.HttpAnswer(status, _JSON, json.dumps(document).encode())


def _refusal(
    reason: errors.Reason, status: int, retry_s: float | None = None
) -> dict[str, Any]:
    """Return a refusal; Retry-After is random between the two times."""
    refusal: dict[str, Any] = {"reason": reason.value, "status": status}
    if retry_s is not None:
        latest_s = retry_s * (1.0 + entry_lib.RETRY_JITTER)
        refusal["retry_after_s"] = [_rounded(retry_s), _rounded(latest_s)]
    return {"refusal": refusal}


def _route(route: mesh.HostRoute) -> dict[str, Any]:
    total = sum(each.weight for each in route.destinations)
    return {
        "name": route.name,
        "path_prefix": route.path_prefix,
        "rank": route.rank,
        "is_public": route.is_public,
        "is_idempotent": route.is_idempotent,
        "allowed_regions": list(route.allowed_regions),
        "shares": {
            each.service: round(each.weight / total, _DIGITS)
            for each in route.destinations
        },
    }


def _customer(customer: mesh.Customer | None) -> dict[str, Any] | None:
    if customer is None:
        return None
    return {
        "name": customer.name,
        "rank": customer.rank,
        "rate_per_s": customer.rate_per_s,
        "burst": customer.burst,
        "allowed_regions": list(customer.allowed_regions),
    }


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, _DIGITS)
