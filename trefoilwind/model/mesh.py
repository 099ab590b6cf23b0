"""Routes by host, rollout orders and backend servers of a platform."""

import dataclasses
import enum
import math

from trefoilwind.model import addresses
from trefoilwind.model import positions


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that runs a share of a route's calls.

    Attributes:
        service: Service that runs the calls.
        weight: Weight relative to the other destinations of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostRoute:
    """Route of the calls to a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        is_idempotent: True if a call may run more than once.
        timeout_s: Longest time in seconds until a call is answered.
        target_s: Latency target in seconds; a later answer is worth less.
        rank: Priority of the calls; 0 is the highest.
        destinations: Services among which the calls are divided.
        max_attempts: Largest number of backend servers that one call is sent
            to.
        is_public: True if calls need no customer's key.
        allowed_regions: Regions whose backend servers may run the calls; empty
            for all.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    target_s: float
    rank: int
    destinations: tuple[Destination, ...]
    max_attempts: int
    is_public: bool = False
    allowed_regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Limits of all backend servers of a service.

    Attributes:
        name: Name of the service.
        max_connections: Largest number of connections that a backend server
            accepts.
        cold_s: Seconds for which a backend server is cold after its start.
        cold_per_s: Calls per second that a cold backend server accepts; 0 for
            no limit.
    """

    name: str
    max_connections: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer whose callers identify themselves by a key.

    Attributes:
        name: Name of the customer.
        keys: Keys of its callers; never logged or passed on.
        rank: Priority of its calls, which goes before that of their route;
            None to use the route's.
        rate_per_s: Calls per second that it may send to all nodes together; 0
            for no limit.
        burst: Calls that it may send beyond the rate.
        allowed_regions: Regions whose backend servers may run its calls; empty
            for all.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of a caller.

    Attributes:
        max_header_bytes: Largest head of a request in bytes.
        max_body_bytes: Largest body of a request in bytes.
        header_timeout_s: Longest time in seconds to receive a head.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class MeshConfiguration:
    """One complete configuration; version 0 if there is none yet.

    Attributes:
        version: Version of the configuration.
        routes: Routes.
        services: Limits of the services.
        limits: Limits on the requests of callers.
        customers: Customers, sorted by name.
        has_customers: True if requests need a customer's key, except on public
            routes; there may be no customer yet.
    """

    version: int = 0
    routes: tuple[HostRoute, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()
    has_customers: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's order to send no calls to a data centre.

    Attributes:
        data_centre: The data centre.
        is_active: False once the operator has taken the order back.
        offset: Position of the record in the operators' topic.
    """

    data_centre: str
    is_active: bool
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to shift a service's traffic to a version.

    Attributes:
        order_id: Position of the order's record; a later order has a larger
            one.
        service: Service whose traffic is shifted.
        version: Version that is to receive the traffic.
        duration_s: Seconds from the order to its deadline.
    """

    order_id: int
    service: str
    version: str
    duration_s: float

    @property
    def rollout_id(self) -> str:
        """Id of the rollout in the evidence; the same if written again."""
        return f"{self.service}/{self.version}"

    def is_of_later_era(self, order_id: int) -> bool:
        """Return True if the store was restored since an order was written."""
        return positions.era(order_id) < positions.era(self.order_id)


@enum.unique
class RolloutState(enum.Enum):
    """Progress of a rollout."""

    RUNNING = "running"
    DONE = "done"
    UNDONE = "undone"


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Status of a rollout as reported to operators."""

    service: str
    version: str
    state: RolloutState


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as described by its latest heartbeat.

    Attributes:
        instance_id: Id of the process; usually a new one after a restart.
        service: Service that it runs.
        version: Version of its software.
        address: Address of its HTTP server.
        slots: Number of calls that it runs concurrently.
        is_leaving: True if it accepts no new calls.
        started_ms: Wall clock in milliseconds at its start; 0 if unknown.
        sequence: Counter of its heartbeats since its start.
        cold_s: Remaining warm-up time in seconds, in which it is slow.
    """

    instance_id: str
    service: str
    version: str
    address: addresses.Address
    slots: int
    is_leaving: bool = False
    started_ms: int = 0
    sequence: int = 0
    cold_s: float = 0.0

    @property
    def process(self) -> tuple[str, int]:
        """Key of the process, which is kept over its heartbeats."""
        return (self.instance_id, self.started_ms)

    @property
    def precedence(self) -> tuple[int, int]:
        """Key that orders the heartbeats of backend servers at one address."""
        return (self.started_ms, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server says about itself in an answer.

    Attributes:
        limit_per_s: Number of calls per second that it accepts from all nodes
            together; infinity if it names no limit.
        is_leaving: True if it accepts no new calls.
    """

    limit_per_s: float = math.inf
    is_leaving: bool = False

    def or_stricter(self, other: "ServerNotice | None") -> "ServerNotice":
        """Return the notice with the stricter values of both."""
        if other is None:
            return self
        return ServerNotice(
            min(self.limit_per_s, other.limit_per_s),
            self.is_leaving or other.is_leaving,
        )

    def followed_by(self, later: "ServerNotice") -> "ServerNotice":
        """Return the notice after a later one of the same process.

        A limit ends with the first answer that does not name it; a process
        that is leaving does not stay.
        """
        return ServerNotice(
            later.limit_per_s, self.is_leaving or later.is_leaving
        )
