"""Central typed table of settings with their defaults, and its loader."""

import dataclasses
import pathlib
import types
from typing import Any
from typing import TypeVar
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import pyjson5

from trefoilwind import errors
from trefoilwind.model import addresses

_T = TypeVar("_T")
_STEP = "settings.load"


def setting(doc: str, unit: str = "", default: Any = dataclasses.MISSING):
    """Return a field of the table.

    Args:
        doc: One sentence for the reference page.
        unit: Unit of the value; empty if it has none.
        default: Default; a field without one must be in the file.
    """
    return dataclasses.field(
        default=default, metadata={"doc": doc, "unit": unit}
    )


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Access to the platform's log."""

    url: str = setting("Base URL of the log service.")
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
        "Part of the lease after which it is refreshed.", "", 0.75
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

    node_id: str = setting("Unique id of the node.")
    data_centre: str = setting("Data centre of the node.")
    region: str = setting("Region of the data centre.")
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
        "Bearer token of the administration API; empty disables it.", "", ""
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
    log_level: str = setting("Smallest level that is logged.", "", "INFO")


def load(path: str, cls: type[_T]) -> _T | errors.SettingsError:
    """Read a file of JSON with comments into a frozen data class.

    Args:
        path: Path of the file.
        cls: Data class that describes it.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return errors.SettingsError(
            errors.Reason.FILE_MISSING, _STEP, path, type(error).__name__
        )
    return parse(text, cls, path)


def parse(text: str, cls: type[_T], source: str) -> _T | errors.SettingsError:
    """Parse JSON with comments into a frozen data class; never raises.

    Args:
        text: The text.
        cls: Data class that describes it.
        source: Name of the file for errors.
    """
    try:
        plain = pyjson5.decode(text, maxdepth=64)
    except (pyjson5.Json5Exception, ValueError) as error:
        return errors.SettingsError(
            errors.Reason.SYNTAX,
            _STEP,
            source,
            str(error.args[0]) if error.args else "",
            line=_line_of(error, text),
        )
    value = _structure(plain, cls, "")
    if isinstance(value, errors.SettingsError):
        line = _line_of_key(text, value.path)
        return dataclasses.replace(value, peer=source, line=line)
    return value


def _line_of(error: Exception, text: str) -> int:
    """Return the line of a syntax error; pyjson5 tells an offset."""
    digits = [
        word
        for word in str(error).replace(",", " ").replace(".", " ").split()
        if word.isdigit()
    ]
    if not digits:
        return 0
    return text.count("\n", 0, int(digits[-1])) + 1


def _line_of_key(text: str, path: str) -> int:
    """Return the line of the path's last key if that name stands once."""
    name = path.rpartition(".")[2].partition("[")[0]
    lines = [
        number
        for number, line in enumerate(text.splitlines(), start=1)
        if f'"{name}"' in line
    ]
    return lines[0] if name and len(lines) == 1 else 0


def _error(
    reason: errors.Reason, path: str, detail: str = ""
) -> errors.SettingsError:
    return errors.SettingsError(reason, _STEP, detail=detail, path=path)


def _structure(value: Any, expected: Any, path: str) -> Any:
    if dataclasses.is_dataclass(expected):
        return _structure_class(value, expected, path)
    if get_origin(expected) is tuple:
        return _structure_tuple(value, get_args(expected)[0], path)
    if isinstance(expected, types.UnionType):
        return _structure(value, get_args(expected)[0], path)
    return _structure_scalar(value, expected, path)


def _structure_class(value: Any, cls: type, path: str) -> Any:
    if not isinstance(value, dict):
        return _error(errors.Reason.WRONG_TYPE, path, "object expected")
    hints = get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    prefix = f"{path}." if path else ""
    for key in value:
        if key not in fields:
            return _error(errors.Reason.UNKNOWN_KEY, f"{prefix}{key}")
    arguments = {}
    for name, field in fields.items():
        if name in value:
            item = _structure(value[name], hints[name], f"{prefix}{name}")
            if isinstance(item, errors.SettingsError):
                return item
            arguments[name] = item
        elif _is_required(field):
            return _error(errors.Reason.MISSING_KEY, f"{prefix}{name}")
    return cls(**arguments)


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _structure_tuple(value: Any, item_type: Any, path: str) -> Any:
    if not isinstance(value, list):
        return _error(errors.Reason.WRONG_TYPE, path, "list expected")
    items = []
    for index, plain in enumerate(value):
        item = _structure(plain, item_type, f"{path}[{index}]")
        if isinstance(item, errors.SettingsError):
            return item
        items.append(item)
    return tuple(items)


def _structure_scalar(value: Any, expected: type, path: str) -> Any:
    if expected is float and type(value) is int:
        return float(value)
    if type(value) is not expected:
        return _error(
            errors.Reason.WRONG_TYPE, path, f"{expected.__name__} expected"
        )
    return value
