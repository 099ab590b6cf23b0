"""Settings of a node on the event loop."""

import dataclasses

from trefoilwind.gateway import streams
from trefoilwind.model import addresses
from trefoilwind.routing import shared_budget

# Topic of the store for records that nodes write for each other.
MESH_TOPIC = "mesh"
# Settings that can change while the node runs.
LIVE_SETTINGS = ("budget", "stop_timeout_s", "service")


@dataclasses.dataclass(frozen=True)
class CustomerTerms:
    """Bounds on the calls of customers.

    Attributes:
        is_revocation_strict: True if a keyed request may run only while this
            node is known to have the keys in force `revocation_s` ago.
        revocation_s: Maximum seconds from the withdrawal of a key to the last
            request that runs with it.
        quota_window_s: Seconds over which the calls of a customer are counted.
        quota_overage: Share by which they may exceed its limit.
        quota_slack: Calls by which they may exceed it in addition.
    """

    is_revocation_strict: bool = False
    revocation_s: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclasses.dataclass(frozen=True)
class ColdTerms:
    """Bound on the calls that a cold backend server receives in a second.

    Attributes:
        overage: Factor by which they may exceed the limit of its service.
        slack: Calls by which they may exceed it in addition.
    """

    overage: float = 1.5
    slack: float = 8.0


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """Limits of the process.

    Attributes:
        memory_bytes: Memory that it may use.
        descriptors: File descriptors that it may open.
    """

    memory_bytes: int = 300_000_000
    descriptors: int = 4100


@dataclasses.dataclass(frozen=True)
class MeshSettings:
    """Settings of a node on the event loop.

    Attributes:
        node_id: Unique id of the node.
        data_centre: Data centre of the node.
        region: Region of the data centre.
        service: Service of the node's backend server.
        caller_address: Address on which requests of callers are accepted.
        peer_address: Address on which streams of other nodes are accepted.
        backend_address: Address of the node's backend server.
        operator_topic: Topic with configurations and rollout orders.
        status_topic: Topic to which the status of rollouts is reported.
        stream_times: Timeouts of peer streams.
        budget: Limits on retries.
        stop_timeout_s: Seconds from a stop request until the process is
            killed.
        heartbeat_interval_s: Seconds between heartbeats of the backend server.
        customers: Bounds on the calls of customers.
        cold: Bound on the calls of cold backend servers.
        evacuation_s: Maximum seconds from the evacuation of a data centre to
            the last call that is sent there.
        data_centres: Data centres of the mesh and their regions; empty if
            unknown.
        process: Limits of the process.
    """

    node_id: str
    data_centre: str
    region: str
    service: str
    caller_address: addresses.Address
    peer_address: addresses.Address
    backend_address: addresses.Address
    operator_topic: str
    status_topic: str
    stream_times: streams.StreamTimes
    budget: shared_budget.BudgetTerms
    stop_timeout_s: float
    heartbeat_interval_s: float
    customers: CustomerTerms = CustomerTerms()
    cold: ColdTerms = ColdTerms()
    evacuation_s: float = 5.0
    data_centres: dict[str, str] = dataclasses.field(default_factory=dict)
    process: ProcessLimits = ProcessLimits()

    def changed_names(self, other: "MeshSettings") -> tuple[str, ...]:
        """Return the names of the fields that differ."""
        return tuple(
            field.name
            for field in dataclasses.fields(self)
            if getattr(self, field.name) != getattr(other, field.name)
        )
