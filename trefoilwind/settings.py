"""Central typed table of settings with their defaults and limits."""

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
    """Return a field of the table.

    Args:
        doc: One sentence for the reference page.
        unit: Unit of the value; empty if it has none.
        default: Default; a field without one must be in the file.
        limits: What the value must meet; a number with a unit must be
            positive if none are given.
        is_secret: True if the value must not stand in logs.
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
    timeout_s: float = setting("Longest wait for an answer.", "s", 2.0)
    readers_per_data_centre: int = setting(
        "Nodes of a data centre that read the log.", "nodes", 2
    )
    region: str = setting(
        "Region of the log; in others one node reads it. Empty for any.", "", ""
    )
    checkpoint_records: int = setting(
        "Records between two checkpoints.", "records", 1000
    )
    checkpoint_interval_s: float = setting(
        "Longest time between two checkpoints while records come.", "s", 300.0
    )
    lease_s: float = setting("Length of a lease in the log.", "s", 60.0)
    clock_margin_s: float = setting(
        "Largest difference assumed between two wall clocks.", "s", 1.0
    )


@dataclasses.dataclass(frozen=True)
class MembershipSettings:
    """Leases of members."""

    lease_s: float = setting("Length of a member's lease.", "s", 60.0)
    refresh_ratio: float = setting(
        "Part of the lease after which it is refreshed.", "", 0.75, RATIO
    )
    coalesce_s: float = setting(
        "Time for which renewals of leases are gathered.", "s", 0.5
    )
    announcement_lease_s: float = setting(
        "Time after which a silent backend server counts as gone.", "s", 5.0
    )


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """Streams between nodes."""

    heartbeat_interval_s: float = setting(
        "Time between heartbeats on an idle stream.", "s", 1.0
    )
    silence_timeout_s: float = setting(
        "Silence after which a stream is replaced.", "s", 3.0
    )
    connect_timeout_s: float = setting("Longest time to connect.", "s", 1.0)
    backoff_base_s: float = setting("First reconnect backoff.", "s", 0.05)
    backoff_cap_s: float = setting("Largest reconnect backoff.", "s", 5.0)
    max_accepts_per_s: int = setting(
        "New streams that a node accepts.", "streams/s", 50
    )
    credit_window_bytes: int = setting(
        "Bytes of one body in flight on a stream.", "bytes", 262144
    )


@dataclasses.dataclass(frozen=True)
class ProxySettings:
    """The path of a call."""

    caller_threads: int = setting(
        "Calls that the entry handles at once.", "threads", 64
    )
    target_threads: int = setting(
        "Calls from peers handled at once.", "threads", 64
    )
    max_header_bytes: int = setting(
        "Largest header of a request.", "bytes", 65536
    )
    idle_connection_s: float = setting(
        "Age at which an idle connection to a backend server is not used.",
        "s",
        4.0,
    )
    stop_timeout_s: float = setting(
        "Longest time to finish work after a stop was asked for.", "s", 60.0
    )
    key_lifetime_s: float = setting(
        "Time for which an idempotency key is remembered.", "s", 600.0
    )


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one node."""

    node_id: str = setting("Unique id of the node.", limits=NAME)
    data_centre: str = setting("Data centre of the node.", limits=NAME)
    region: str = setting("Region of the data centre.", limits=NAME)
    log: LogSettings = setting("Access to the platform's log.")
    caller_address: addresses.Address = setting(
        "Where callers' HTTP requests are taken.", "", addresses.Address()
    )
    peer_address: addresses.Address = setting(
        "Where other nodes connect.", "", addresses.Address()
    )
    admin_address: addresses.Address = setting(
        "Where operators and the backend server connect.",
        "",
        addresses.Address(),
    )
    admin_token: str = setting(
        "Bearer token of the administration API; empty refuses operators.",
        "",
        "",
        is_secret=True,
    )
    contacts: tuple[addresses.Address, ...] = setting(
        "Peer addresses to try first.", "", ()
    )
    membership: MembershipSettings = setting(
        "Leases of members.", "", MembershipSettings()
    )
    streams: StreamSettings = setting(
        "Streams between nodes.", "", StreamSettings()
    )
    proxy: ProxySettings = setting("The path of a call.", "", ProxySettings())
    log_level: str = setting(
        "Smallest level that is logged.",
        "",
        "INFO",
        json_documents.Limits(choices=LOG_LEVELS),
    )
    log_format: str = setting(
        "Form of the log: lines of text or of JSON.",
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
        text: The text.
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
        yield "host", "IP number expected"
    if not 0 <= address.port <= addresses.MAX_PORT:
        yield "port", f"0 to {addresses.MAX_PORT} expected"


def _problems_of_node(settings: NodeSettings) -> Iterator[tuple[str, str]]:
    listening = {
        "caller_address": settings.caller_address,
        "peer_address": settings.peer_address,
        "admin_address": settings.admin_address,
    }
    yield from _clashes(listening)
    if addresses.parse_ip_address(settings.peer_address.host).is_unspecified:
        yield "peer_address.host", "an address that peers can reach expected"
    admin_host = addresses.parse_ip_address(settings.admin_address.host)
    if not admin_host.is_loopback and not settings.admin_token:
        yield "admin_token", "needed unless admin_address is on loopback"
    for index, contact in enumerate(settings.contacts):
        if contact.port == 0:
            yield f"contacts[{index}].port", "1 or more expected"


def _clashes(
    listening: dict[str, addresses.Address],
) -> Iterator[tuple[str, str]]:
    taken: dict[int, list[tuple[str, str]]] = {}
    for name, address in listening.items():
        if address.port == 0:
            continue
        others = taken.setdefault(address.port, [])
        for other_name, other_host in others:
            if _overlap(address.host, other_host):
                yield f"{name}.port", f"the port of {other_name}"
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
        yield "refresh_ratio", "under 1 expected"


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
