"""Settings file of the platform: TOML decoded into frozen data classes."""

from collections.abc import Iterator
import dataclasses
import os
import tomllib

from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind.model import addresses

_STEP = "settings.load"
PATH_VARIABLE = "TREFOILWIND_SETTINGS"
_NAME = json_documents.Limits(is_name=True)
_POSITIVE = json_documents.Limits(minimum=0.0, above_minimum=True)


def _field(limits: json_documents.Limits, default=dataclasses.MISSING):
    return dataclasses.field(default=default, metadata={"limits": limits})


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """Table `self.limits`.

    Attributes:
        memory_mb: Memory of the process in megabytes.
        max_fds: File descriptors of the process.
        link_mbps: Rate of the machine's link in megabits per second.
    """

    memory_mb: float = _field(_POSITIVE, 300.0)
    max_fds: int = _field(_POSITIVE, 4100)
    link_mbps: float = _field(_POSITIVE, 1000.0)


@dataclasses.dataclass(frozen=True)
class Machine:
    """Table `self`: the machine and the backend server on it.

    Attributes:
        node: Id of the node.
        zone: Data centre.
        region: Region of the data centre.
        ip: IP address of the machine.
        app_addr: Address of the backend server.
        service: Service of the backend server.
        limits: Limits of the process.
    """

    node: str = _field(_NAME)
    zone: str = _field(_NAME)
    region: str = _field(_NAME)
    ip: str = _field(_NAME)
    app_addr: str = _field(_NAME)
    service: str = _field(_NAME)
    limits: ProcessLimits = ProcessLimits()


@dataclasses.dataclass(frozen=True)
class Listen:
    """Table `network.listen`: addresses that the node serves.

    Attributes:
        inbound: Address to which other nodes connect.
        outbound: Address to which callers on the machine connect.
        ready: Address of the readiness probe of the platform.
        control: Address to which the backend server sends heartbeats.
    """

    inbound: str = _field(_NAME)
    outbound: str = _field(_NAME)
    ready: str = _field(_NAME)
    control: str = _field(_NAME)


@dataclasses.dataclass(frozen=True)
class Network:
    """Table `network`.

    Attributes:
        listen: Addresses that the node serves.
        zones: Region of each data centre.
    """

    listen: Listen
    zones: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Store:
    """Table `platform.platform`: the store.

    Attributes:
        address: Address of the store.
    """

    address: str = _field(_NAME)


@dataclasses.dataclass(frozen=True)
class Platform:
    """Table `platform`.

    Attributes:
        platform: The store.
        heartbeat_interval_s: Seconds between heartbeats of a backend server.
    """

    platform: Store
    heartbeat_interval_s: float = _field(_POSITIVE, 1.5)


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Table `terms.bounds`; the defaults are the users' requirements.

    Attributes:
        grace_s: Seconds from SIGTERM to SIGKILL.
        budget_ratio: Retries allowed per request.
        budget_window_s: Seconds over which requests and retries are counted.
        budget_extra_retries: Additional retries allowed to all nodes together.
        expose_share: Maximum share of a service's requests that a faulty
            version may receive.
        expose_slack: Requests that it may receive beyond that share.
        rollback_s: Maximum seconds from the fault of a version to the last
            request that it receives.
        strict_revoke: True if no request with a withdrawn key may run later
            than `revoke_s`, whatever the node knows.
        revoke_s: Maximum seconds from the withdrawal of a key to the last
            request that runs with it.
        config_apply_s: Maximum seconds until a configuration is in force.
        quota_window_s: Seconds over which the calls of a customer are counted.
        quota_overage: Share by which they may exceed its limit.
        quota_slack: Calls by which they may exceed it in addition.
        cold_overage: Factor by which the calls of a second may exceed the
            limit of a cold backend server.
        cold_slack: Calls by which they may exceed it in addition.
        evacuation_s: Maximum seconds from the evacuation of a data centre to
            the last call that is sent there.
    """

    grace_s: float = _field(_POSITIVE, 6.0)
    budget_ratio: float = 0.2
    budget_window_s: float = _field(_POSITIVE, 10.0)
    budget_extra_retries: float = 0.0
    expose_share: float = 0.1
    expose_slack: float = 50.0
    rollback_s: float = 5.0
    strict_revoke: bool = False
    revoke_s: float = _field(_POSITIVE, 5.0)
    config_apply_s: float = _field(_POSITIVE, 3.0)
    quota_window_s: float = _field(_POSITIVE, 5.0)
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    cold_overage: float = 1.5
    cold_slack: float = 8.0
    evacuation_s: float = _field(_POSITIVE, 5.0)


@dataclasses.dataclass(frozen=True)
class Terms:
    """Table `terms`."""

    bounds: Bounds = Bounds()


# A field of a data class cannot be named `self`.
@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Contents of the settings file.

    Attributes:
        machine: Table `self`.
        network: Table `network`.
        platform: Table `platform`.
        terms: Table `terms`.
    """

    machine: Machine
    network: Network
    platform: Platform
    terms: Terms = Terms()


def load_from_environment() -> PlatformSettings | errors.SettingsError:
    """Load the file whose path is in the environment; never raises."""
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        missing = errors.Reason.MISSING_KEY
        return errors.SettingsError(missing, _STEP, PATH_VARIABLE)
    return load(path)


def file_signature() -> tuple[int, int]:
    """Return modification time in ns and size, to detect file changes."""
    try:
        status = os.stat(os.environ.get(PATH_VARIABLE, ""))
    except OSError:
        # The file is being replaced or does not exist.
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def load(path: str) -> PlatformSettings | errors.SettingsError:
    """Load a file; never raises."""
    text = json_documents.read_text(path)
    if isinstance(text, errors.SettingsError):
        return text
    return parse(text, path)


def parse(text: str, source: str) -> PlatformSettings | errors.SettingsError:
    """Parse the text of a file; never raises.

    Args:
        text: The text.
        source: Name of the file for error messages.
    """
    try:
        plain = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # A number of too many digits, or a value that is nested too deeply,
        # is no error of its own.
        syntax = errors.Reason.SYNTAX
        return errors.SettingsError(syntax, _STEP, source, str(error))
    if "self" in plain:
        plain["machine"] = plain.pop("self")
    result = json_documents.structure(
        plain, PlatformSettings, source, _CHECKS, ignores_unknown=True
    )
    if isinstance(result, errors.SettingsError):
        path = result.path
        if path.partition(".")[0] == "machine":
            path = f"self{path.removeprefix('machine')}"
        return dataclasses.replace(result, path=path)
    return result


def address(text: str) -> addresses.Address | None:
    """Return the address in "host:port", or None if it is malformed."""
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if addresses.parse_ip_address(host) is None or not is_port:
        return None
    number = int(port)
    if not 0 < number <= addresses.MAX_PORT:
        return None
    return addresses.Address(host, number)


def _address_check(*names: str):
    def check(table) -> Iterator[tuple[str, str]]:
        for name in names:
            if address(getattr(table, name)) is None:
                yield name, "IP address and port expected"

    return check


_CHECKS: json_documents.Checks = {
    Machine: _address_check("app_addr"),
    Listen: _address_check("inbound", "outbound", "ready", "control"),
    Store: _address_check("address"),
}
