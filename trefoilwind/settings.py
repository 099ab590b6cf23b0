"""Settings of a node with their types, defaults and limits."""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import TypeVar

from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind.model import addresses

_T = TypeVar("_T")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
LOG_FORMATS = ("text", "json")

POSITIVE = json_documents.Limits(minimum=0.0, above_minimum=True)
ANY = json_documents.Limits()
NAME = json_documents.Limits(is_name=True)
URL = json_documents.Limits(is_url=True)
RATIO = json_documents.Limits(minimum=0.0, maximum=1.0, above_minimum=True)


def setting(
    doc: str,
    unit: str = "",
    default: Any = dataclasses.MISSING,
    limits: json_documents.Limits | None = None,
    is_secret: bool = False,
):
    """Return a data class field that describes a setting.

    Args:
        doc: Description for the reference page.
        unit: Unit of the value; empty if it has none.
        default: Default; a setting without one is required.
        limits: Constraints on the value; without them a number with a unit
            must be positive.
        is_secret: True if the value must not appear in logs.
    """
    if limits is None:
        limits = POSITIVE if unit else ANY
    return dataclasses.field(
        default=default,
        repr=not is_secret,
        metadata={"doc": doc, "unit": unit, "limits": limits},
    )


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Access to the platform's log."""

    url: str = setting("Base URL of the log service.", limits=URL)
    timeout_s: float = setting(
        "Longest time to wait for an answer from the log.", "s", 2.0
    )
    readers_per_data_centre: int = setting(
        "Number of nodes that read the log in each data centre of its region.",
        "nodes",
        2,
    )
    region: str = setting(
        "Region in which the log runs; in each other region one node reads it. "
        "If empty, every region is treated as the log's region.",
        "",
        "",
    )
    checkpoint_records: int = setting(
        "Number of records after which a checkpoint is written.",
        "records",
        1000,
    )
    checkpoint_interval_s: float = setting(
        "Longest time between two checkpoints while records arrive.",
        "s",
        300.0,
    )
    lease_s: float = setting("Duration of a lease in the log.", "s", 60.0)
    clock_margin_s: float = setting(
        "Largest assumed difference between the wall clocks of two nodes.",
        "s",
        1.0,
    )


@dataclasses.dataclass(frozen=True)
class MembershipSettings:
    """Leases of members."""

    lease_s: float = setting("Duration of a member's lease.", "s", 60.0)
    refresh_ratio: float = setting(
        "Fraction of the lease after which it is renewed.", "", 0.75, RATIO
    )
    coalesce_s: float = setting(
        "Time for which lease renewals are collected into one message.",
        "s",
        0.5,
    )
    announcement_lease_s: float = setting(
        "Time without an announcement after which a backend server is removed.",
        "s",
        5.0,
    )


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """Streams between nodes."""

    heartbeat_interval_s: float = setting(
        "Time between heartbeats on an idle stream.", "s", 1.0
    )
    silence_timeout_s: float = setting(
        "Time without received frames after which a stream is closed.",
        "s",
        3.0,
    )
    connect_timeout_s: float = setting("Longest time to connect.", "s", 1.0)
    backoff_base_s: float = setting("Initial reconnect backoff.", "s", 0.05)
    backoff_cap_s: float = setting("Largest reconnect backoff.", "s", 5.0)
    max_accepts_per_s: int = setting(
        "Largest rate at which a node accepts new streams.", "streams/s", 50
    )
    credit_window_bytes: int = setting(
        "Largest number of bytes of one body in flight on a stream.",
        "bytes",
        262144,
    )


@dataclasses.dataclass(frozen=True)
class ProxySettings:
    """Handling of calls."""

    caller_threads: int = setting(
        "Number of threads that handle the calls of callers.", "threads", 64
    )
    target_threads: int = setting(
        "Number of threads that handle calls from other nodes.", "threads", 64
    )
    max_header_bytes: int = setting(
        "Largest size of the headers of a request.", "bytes", 65536
    )
    idle_connection_s: float = setting(
        "Idle time after which a connection to a backend server is not reused.",
        "s",
        4.0,
    )
    stop_timeout_s: float = setting(
        "Longest time to finish calls after a stop request.", "s", 60.0
    )
    key_lifetime_s: float = setting(
        "Time for which an idempotency key is stored.", "s", 600.0
    )


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one node."""

    node_id: str = setting("Unique id of the node.", limits=NAME)
    data_centre: str = setting("Data centre of the node.", limits=NAME)
    region: str = setting("Region of the data centre.", limits=NAME)
    log: LogSettings = setting("Access to the platform's log.")
    caller_address: addresses.Address = setting(
        "Address that accepts the HTTP requests of callers.",
        "",
        addresses.Address(),
    )
    peer_address: addresses.Address = setting(
        "Address to which other nodes connect.", "", addresses.Address()
    )
    admin_address: addresses.Address = setting(
        "Address to which operators and the backend server connect.",
        "",
        addresses.Address(),
    )
    admin_token: str = setting(
        "Bearer token of the administration API; if empty, all requests of "
        "operators are refused.",
        "",
        "",
        is_secret=True,
    )
    contacts: tuple[addresses.Address, ...] = setting(
        "Peer addresses of other nodes for the first connections.", "", ()
    )
    membership: MembershipSettings = setting(
        "Leases of members.", "", MembershipSettings()
    )
    streams: StreamSettings = setting(
        "Streams between nodes.", "", StreamSettings()
    )
    proxy: ProxySettings = setting("Handling of calls.", "", ProxySettings())
    log_level: str = setting(
        "Lowest level that is logged.",
        "",
        "INFO",
        json_documents.Limits(choices=LOG_LEVELS),
    )
    log_format: str = setting(
        "Format of log lines: text or JSON.",
        "",
        "text",
        json_documents.Limits(choices=LOG_FORMATS),
    )


def load(path: str, cls: type[_T]) -> _T | errors.SettingsError:
    """Read a file of JSON with comments into a frozen data class.

    Args:
        path: Path of the file.
        cls: Data class that describes it.
    """
    return json_documents.load(path, cls, _CHECKS)


def parse(text: str, cls: type[_T], source: str) -> _T | errors.SettingsError:
    """Parse JSON with comments into a frozen data class; never raises.

    Args:
        text: Content of the file.
        cls: Data class that describes it.
        source: Name of the file for errors.
    """
    return json_documents.parse(text, cls, source, _CHECKS)


def with_line(error: errors.SettingsError) -> errors.SettingsError:
    """Return the error with the line of its key in its file, if found."""
    return json_documents.with_line_of_file(error)


def _problems_of_address(
    address: addresses.Address,
) -> Iterator[tuple[str, str]]:
    if addresses.parse_ip_address(address.host) is None:
        yield "host", "IP address expected"
    if not 0 <= address.port <= addresses.MAX_PORT:
        yield "port", f"0 to {addresses.MAX_PORT} expected"


def _problems_of_node(settings: NodeSettings) -> Iterator[tuple[str, str]]:
    listening = {
        "caller_address": settings.caller_address,
        "peer_address": settings.peer_address,
        "admin_address": settings.admin_address,
    }
    yield from _port_conflicts(listening)
    if addresses.parse_ip_address(settings.peer_address.host).is_unspecified:
        yield "peer_address.host", "address that other nodes can reach expected"
    admin_host = addresses.parse_ip_address(settings.admin_address.host)
    if not admin_host.is_loopback and not settings.admin_token:
        yield "admin_token", "required unless admin_address is on loopback"
    for index, contact in enumerate(settings.contacts):
        if contact.port == 0:
            yield f"contacts[{index}].port", "1 or more expected"


def _port_conflicts(
    listening: dict[str, addresses.Address],
) -> Iterator[tuple[str, str]]:
    listeners_by_port: dict[int, list[tuple[str, str]]] = {}
    for name, address in listening.items():
        if address.port == 0:
            continue
        others = listeners_by_port.setdefault(address.port, [])
        for other_name, other_host in others:
            if _overlap(address.host, other_host):
                yield f"{name}.port", f"same port as {other_name}"
        others.append((name, address.host))


def _overlap(host: str, other: str) -> bool:
    return host == other or any(
        addresses.parse_ip_address(each).is_unspecified
        for each in (host, other)
    )


def _problems_of_membership(
    settings: MembershipSettings,
) -> Iterator[tuple[str, str]]:
    if settings.refresh_ratio >= 1.0:
        yield "refresh_ratio", "less than 1 expected"


def _problems_of_streams(
    settings: StreamSettings,
) -> Iterator[tuple[str, str]]:
    if settings.silence_timeout_s <= settings.heartbeat_interval_s:
        yield "silence_timeout_s", "longer than heartbeat_interval_s expected"
    if settings.backoff_cap_s < settings.backoff_base_s:
        yield "backoff_cap_s", "at least backoff_base_s expected"


_CHECKS: json_documents.Checks = {
    addresses.Address: _problems_of_address,
    NodeSettings: _problems_of_node,
    MembershipSettings: _problems_of_membership,
    StreamSettings: _problems_of_streams,
}
