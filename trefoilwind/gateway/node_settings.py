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

    def changed_names(self, other: "MeshSettings") -> tuple[str, ...]:
        """Return the names of the fields that differ."""
        return tuple(
            field.name
            for field in dataclasses.fields(self)
            if getattr(self, field.name) != getattr(other, field.name)
        )
