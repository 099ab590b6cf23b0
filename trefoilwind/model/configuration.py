"""Configuration as operators publish it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class ClassTarget:
    """A class of calls and its targets.

    Attributes:
        name: Name of the class.
        idempotent: True if a call may safely run more than once.
        latency_target_s: Latency in seconds that the share `success_target`
            of the calls must meet.
        success_target: Share of calls, 0 to 1, that must succeed in time.
        importance: Priority under overload; calls of the class with the
            lowest value are refused first.
        timeout_s: Time-out in seconds of a call that specifies none.
        retry_ratio: Retries allowed per first attempt, 0 to 1.
    """

    name: str
    idempotent: bool
    latency_target_s: float
    success_target: float
    importance: int = 1
    timeout_s: float = 10.0
    retry_ratio: float = 0.1


@dataclasses.dataclass(frozen=True)
class Route:
    """Assignment of calls of a service to a class.

    Attributes:
        path_prefix: Prefix of the path after the service's name.
        class_name: Class of the calls.
        methods: HTTP methods; empty for all.
    """

    path_prefix: str
    class_name: str
    methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Service:
    """A service with its initial version and its routes.

    Attributes:
        name: Name of the service; the first segment of a caller's path.
        version: Version that runs the calls until the first move is done.
        routes: Routes; the longest matching prefix wins.
    """

    name: str
    version: str
    routes: tuple[Route, ...]


@dataclasses.dataclass(frozen=True)
class Ownership:
    """Rule that assigns backend servers to one half; the first match wins.

    Attributes:
        half: Owner.
        service: Service of the backend servers; empty for any.
        data_centre: Data centre of the backend servers; empty for any.
        label: Label of the backend servers as "key=value"; empty for any.
    """

    half: str
    service: str = ""
    data_centre: str = ""
    label: str = ""


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete configuration.

    Attributes:
        data_centres: All data centres.
        halves: Names of the owners.
        classes: Classes of calls with their targets.
        services: Services with their routes.
        ownership: Rules that assign backend servers to halves.
    """

    data_centres: tuple[DataCentre, ...] = ()
    halves: tuple[str, ...] = ()
    classes: tuple[ClassTarget, ...] = ()
    services: tuple[Service, ...] = ()
    ownership: tuple[Ownership, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def target(self, class_name: str) -> ClassTarget | None:
        """Return the class of calls of that name, or None."""
        return next((c for c in self.classes if c.name == class_name), None)

    def region(self, data_centre: str) -> str:
        """Return the region of a data centre, or the empty string."""
        return next(
            (d.region for d in self.data_centres if d.name == data_centre), ""
        )
