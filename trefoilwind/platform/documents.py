"""JSON documents of the platform, decoded once into this project's types."""

import json
from typing import Any

from trefoilwind import errors
from trefoilwind.log import keyed
from trefoilwind.model import addresses
from trefoilwind.model import bounds
from trefoilwind.model import mesh
from trefoilwind.platform import settings as settings_lib
from trefoilwind.routing import host_routes

CONFIGURATION_KEY = "config"
ROLLOUT_KEY = "rollout/"
EVACUATION_KEY = "evacuate/"
_STEP = "platform.decode"
# The only kind of calls that may run more than once.
_IDEMPOTENT_KIND = "safe"
_LEAVING_STATE = "draining"
_STATES = frozenset({"ready", _LEAVING_STATE})

_STATE_NAMES = {
    mesh.RolloutState.RUNNING: "running",
    mesh.RolloutState.DONE: "completed",
    mesh.RolloutState.UNDONE: "rolled_back",
}

# Exceptions that decoding a malformed document of another writer may raise; the
# last one is that of a deeply nested document.
_MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    RecursionError,
)


class RouteCache:
    """Routes of the last configuration, by the text of their rows.

    A change of one customer leaves hundreds of rows as they are, and decoding
    them takes ten times as long as parsing the document.
    """

    def __init__(self) -> None:
        self._columns = ""
        self._known: dict[str, mesh.HostRoute] = {}

    def decode(self, table: Any) -> tuple[mesh.HostRoute, ...]:
        """Return the routes of a table.

        Raises:
            ValueError: A row is malformed, or another of `_MALFORMED_ERRORS`.
        """
        # Unlike equality, the text tells 1, 1.0 and true apart.
        columns = repr(table["columns"])
        known = self._known if columns == self._columns else {}
        decoded: dict[str, mesh.HostRoute] = {}
        routes = []
        for row in table["rows"]:
            text = repr(row)
            route = known.get(text)
            if route is None:
                one_row = {"columns": table["columns"], "rows": [row]}
                route = _decode_route(_table_rows(one_row)[0])
            decoded[text] = route
            routes.append(route)
        self._columns = columns
        self._known = decoded
        return tuple(routes)


def decode_operator_record(
    record: keyed.KeyedRecord, routes: RouteCache | None = None
) -> (
    mesh.MeshConfiguration
    | mesh.RolloutOrder
    | mesh.Evacuation
    | errors.RecordError
    | None
):
    """Decode a record of the operator; never raises.

    Args:
        record: The record.
        routes: Routes of the last configuration, which are not decoded again;
            None to decode all.

    Returns:
        The configuration, rollout order or evacuation, an error if the record
        is malformed, or None if it has another key or, other than an
        evacuation, was deleted.
    """
    try:
        if record.key.startswith(EVACUATION_KEY):
            return _decode_evacuation(record)
        if not record.value:
            return None
        if record.key == CONFIGURATION_KEY:
            return _decode_configuration(
                json.loads(record.value), routes or RouteCache()
            )
        if record.key.startswith(ROLLOUT_KEY):
            return _decode_rollout_order(
                json.loads(record.value), record.offset
            )
    except _MALFORMED_ERRORS as error:
        return errors.RecordError(
            errors.Reason.UNDECODABLE,
            _STEP,
            record.key,
            f"{type(error).__name__}: {error}",
        )
    return None


def is_removable(key: str) -> bool:
    """Return True for a key whose deletion nodes have to learn of."""
    return key.startswith(EVACUATION_KEY)


def _decode_evacuation(record: keyed.KeyedRecord) -> mesh.Evacuation:
    return mesh.Evacuation(
        data_centre=_require_name(record.key.removeprefix(EVACUATION_KEY)),
        is_active=bool(record.value),
        offset=record.offset,
    )


def _table_rows(table: Any) -> list[dict[str, Any]]:
    """Return the rows of a table as dictionaries, without null values."""
    columns = table["columns"]
    return [
        {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in table["rows"]
    ]


def _decode_configuration(
    document: Any, routes: RouteCache
) -> mesh.MeshConfiguration:
    version = _require_integer(document["version"])
    limits = document.get("limits") or {}
    default = mesh.CallerLimits()
    return mesh.MeshConfiguration(
        version=version,
        routes=routes.decode(document["routes"]),
        services=tuple(
            mesh.ServicePolicy(
                _require_text(row["name"]),
                _require_integer(row.get("max_conns", 0)),
                _require_number(row.get("cold_s", 0)),
                _require_number(row.get("cold_per_s", 0)),
            )
            for row in _table_rows(document["services"])
        ),
        limits=mesh.CallerLimits(
            max_header_bytes=_require_integer(
                limits.get("max_header_bytes", default.max_header_bytes)
            ),
            max_body_bytes=_require_integer(
                limits.get("max_body_bytes", default.max_body_bytes)
            ),
            header_timeout_s=_require_number(
                limits.get("header_timeout_s", default.header_timeout_s)
            ),
            idle_timeout_s=_require_number(
                limits.get("idle_timeout_s", default.idle_timeout_s)
            ),
        ),
        customers=_decode_customers(document.get("tenants")),
        has_customers=document.get("tenants") is not None,
    )


def _decode_customers(table: Any) -> tuple[mesh.Customer, ...]:
    """Return the customers, sorted by name.

    Raises:
        ValueError: A name stands twice, or a key has two customers.
    """
    if table is None:
        return ()
    customers = tuple(
        mesh.Customer(
            name=_require_name(row["name"]),
            keys=tuple(_require_text(key) for key in row.get("api_keys", ())),
            rank=_require_integer(row["priority"])
            if "priority" in row
            else None,
            rate_per_s=_require_number(row.get("rate_per_s", 0)),
            burst=_require_number(row.get("burst", 0)),
            allowed_regions=_decode_regions(row),
        )
        for row in _table_rows(table)
    )
    names = {customer.name for customer in customers}
    if len(names) < len(customers):
        raise ValueError("a customer's name stands twice")
    keys = [key for customer in customers for key in set(customer.keys)]
    if len(set(keys)) < len(keys):
        raise ValueError("a key has two customers")
    if len(keys) > bounds.MAX_KEYS:
        raise ValueError("too many keys")
    return tuple(sorted(customers, key=lambda customer: customer.name))


def _decode_regions(row: dict[str, Any]) -> tuple[str, ...]:
    regions = row.get("allowed_regions", [])
    if type(regions) is not list:
        raise TypeError("list of regions expected")
    return tuple(_require_text(region) for region in regions)


def _decode_route(row: dict[str, Any]) -> mesh.HostRoute:
    if "backends" in row:
        destinations = tuple(
            mesh.Destination(
                _require_text(each["service"]), _require_number(each["weight"])
            )
            for each in row["backends"]
        )
    else:
        destinations = (mesh.Destination(_require_text(row["service"]), 1.0),)
    if not sum(each.weight for each in destinations) > 0:
        raise ValueError("sum of the weights must be positive")
    return mesh.HostRoute(
        name=_require_text(row["name"]),
        host=host_routes.normalize_host(_require_text(row["host"])),
        path_prefix=_require_text(row["path_prefix"]),
        is_idempotent=_require_text(row["kind"]) == _IDEMPOTENT_KIND,
        timeout_s=_require_number(row["timeout_s"]),
        target_s=_require_number(row["target_latency_s"]),
        rank=_require_integer(row.get("priority", 0)),
        destinations=destinations,
        max_attempts=max(1, _require_integer(row.get("max_attempts", 1))),
        is_public=_require_flag(row.get("public", False)),
        allowed_regions=_decode_regions(row),
    )


def _decode_rollout_order(document: Any, offset: int) -> mesh.RolloutOrder:
    return mesh.RolloutOrder(
        order_id=offset,
        service=_require_name(document["service"]),
        version=_require_name(document["target_version"]),
        duration_s=_require_number(document["duration_s"]),
    )


def encode_rollout_status(status: mesh.RolloutStatus) -> keyed.KeyedRecord:
    """Return the record that reports a rollout; it has no offset yet."""
    value = json.dumps(
        {
            "state": _STATE_NAMES[status.state],
            "target_version": status.version,
        }
    )
    return keyed.KeyedRecord(ROLLOUT_KEY + status.service, value.encode(), -1)


def decode_heartbeat(
    instance_id: str, body: bytes
) -> mesh.BackendServer | errors.RecordError:
    """Decode a heartbeat of a backend server; never raises."""
    try:
        return _decode_backend_server(instance_id, json.loads(body))
    except _MALFORMED_ERRORS as error:
        return errors.RecordError(
            errors.Reason.UNDECODABLE,
            _STEP,
            instance_id,
            f"{type(error).__name__}: {error}",
        )


def _decode_backend_server(
    instance_id: str, document: Any
) -> mesh.BackendServer:
    info = document["info"]
    status = document["status"]
    state = _require_text(status["state"])
    if state not in _STATES:
        raise ValueError("unknown state of the backend server")
    address = settings_lib.address(_require_text(document["address"]))
    if address is None:
        raise ValueError("address expected")
    slots = _require_integer(info["slots"])
    if not 0 < slots <= bounds.MAX_SLOTS:
        raise ValueError("slots out of range")
    started_ms = _require_integer(document.get("born", 0))
    if not bounds.is_time_ms(started_ms):
        raise ValueError("time of the start out of range")
    return mesh.BackendServer(
        instance_id=_require_name(instance_id),
        service=_require_name(info["service"]),
        version=_require_name(info["version"]),
        address=addresses.Address(address.host, address.port),
        slots=slots,
        is_leaving=state == _LEAVING_STATE,
        started_ms=started_ms,
        sequence=_require_integer(status["seq"]),
        cold_s=_require_number(status.get("cold_left_s", 0)),
    )


def _require_text(value: Any) -> str:
    if type(value) is not str or not value:
        raise TypeError("non-empty string expected")
    # JSON can hold halves of surrogate pairs, which cannot be encoded.
    value.encode()
    return value


def _require_name(value: Any) -> str:
    text = _require_text(value)
    if not bounds.is_name(text):
        raise ValueError("short printable name expected")
    return text


def _require_flag(value: Any) -> bool:
    if type(value) is not bool:
        raise TypeError("true or false expected")
    return value


def _require_integer(value: Any) -> int:
    if type(value) is not int or not bounds.is_count(value):
        raise TypeError("non-negative integer of at most 53 bits expected")
    return value


def _require_number(value: Any) -> float:
    is_number = type(value) in (int, float)
    if not is_number or not 0 <= value <= bounds.MAX_COUNT:
        raise TypeError("non-negative number of at most 53 bits expected")
    return float(value)
