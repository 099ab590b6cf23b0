"""Configuration as operators publish it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A data centre and the region that it stands in."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class ClassTarget:
    """A class of work and its target.

    Attributes:
        name: Name of the class.
        idempotent: True if a call may safely run more than once.
        latency_target_s: Latency in seconds that `success_target` of the
            calls must meet.
        success_target: Share of calls, 0 to 1, that must succeed in time.
        importance: The least important class is shed first.
        timeout_s: Deadline in seconds given to a call that brings none.
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
    """Calls of one service that belong to one class.

    Attributes:
        path_prefix: Prefix of the path after the service's name.
        class_name: Class of work.
        methods: HTTP methods; empty for all.
    """

    path_prefix: str
    class_name: str
    methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Service:
    """A service, the version it starts on, and its routes.

    Attributes:
        name: Name of the service; the first segment of a caller's path.
        version: Version that serves until the first move is done.
        routes: Routes; the longest matching prefix wins.
    """

    name: str
    version: str
    routes: tuple[Route, ...]


@dataclasses.dataclass(frozen=True)
class Ownership:
    """Rule that gives backend servers to one half; the first match wins.

    Attributes:
        half: Owner.
        service: Service of the backend servers; empty for any.
        data_centre: Data centre of the backend servers; empty for any.
        label: "key=value" that they carry; empty for any.
    """

    half: str
    service: str = ""
    data_centre: str = ""
    label: str = ""


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One whole configuration.

    Attributes:
        data_centres: All data centres.
        halves: Names of the owners.
        classes: Classes of work with their targets.
        services: Services with their routes.
        ownership: Rules that give backend servers to halves.
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
        """Return the class of that name, or None."""
        return next((c for c in self.classes if c.name == class_name), None)

    def region(self, data_centre: str) -> str:
        """Return the region of a data centre, or the empty string."""
        return next(
            (d.region for d in self.data_centres if d.name == data_centre), ""
        )
