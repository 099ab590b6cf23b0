"""Metrics page of a node on the event loop, served over HTTP."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from trefoilwind.gateway import http_types
from trefoilwind.telemetry import counts as counts_lib
from trefoilwind.telemetry import prometheus

PATH = b"/metrics"
_NOT_FOUND = http_types.HttpAnswer(404, ())

Handler = Callable[[http_types.HttpRequest], Awaitable[http_types.HttpAnswer]]


@dataclasses.dataclass(frozen=True)
class Gauges:
    """Current state of a node, exported as gauges.

    Attributes:
        is_ready: True if callers may send requests.
        configuration_version: Version in force; 0 if none.
        configuration_age_s: Seconds since it was last known to be the newest.
        operator_read_s: Seconds since the start of the read of the operator's
            topic that is in flight; 0 for none.
        members: Known nodes, including this one.
        peer_streams: Nodes with an open stream.
        in_flight: Requests of callers and calls of peers in flight.
        loop_delay_s: Seconds by which the last periodic timer of the event loop
            was late.
        requests_dropped: Requests that were read and not answered, as their
            connection was closed after an earlier answer.
        buffered_bytes: Bytes reserved for requests and unread answers.
        buffer_bytes: Bytes that may be reserved.
        buffers_waiting: Requests whose reading is paused for lack of room.
        buffers_refused: Requests refused and answers cut off for lack of room
            or progress.
        caller_connections: Open connections of callers.
        connections_refused: Connections closed as there were too many.
        slots: Calls that the backend server runs at once.
        occupied: Calls running at the backend server or waiting for a slot.
        limit_per_s: Calls per second that the backend server accepts; infinity
            if it names no limit.
        is_store_unavailable: True while reads of the store fail.
        proof_age_s: Seconds since the time as of which the operator's records
            are proven to be the newest; infinity for none.
        evacuated: Evacuated data centres, sorted.
        quota_customers: Customers with a limit that are at work here.
        quota_tokens_lent: Tokens that this node has lent as an owner.
    """

    is_ready: bool
    configuration_version: int
    configuration_age_s: float
    operator_read_s: float
    members: int
    peer_streams: int
    in_flight: int
    loop_delay_s: float
    requests_dropped: int
    buffered_bytes: int
    buffer_bytes: int
    buffers_waiting: int
    buffers_refused: int
    caller_connections: int
    connections_refused: int
    slots: int
    occupied: int
    limit_per_s: float
    is_store_unavailable: bool
    proof_age_s: float
    evacuated: tuple[str, ...] = ()
    quota_customers: int = 0
    quota_tokens_lent: int = 0


class MetricsPage:
    """Renders the metrics for HTTP requests."""

    def __init__(
        self,
        counts: counts_lib.MeshCounts,
        gauges: Callable[[], Gauges],
        pages: Mapping[bytes, Handler] | None = None,
    ):
        """Initialize the page.

        Args:
            counts: Counters of the node.
            gauges: Returns its gauges.
            pages: Handlers of further paths; None for none.
        """
        self._counts = counts
        self._gauges = gauges
        self._pages = dict(pages or {})

    async def serve(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpAnswer:
        """Return the metrics as text."""
        path = request.target.partition(b"?")[0]
        if path in self._pages:
            return await self._pages[path](request)
        if path != PATH:
            return _NOT_FOUND
        families = (*self._counts.families(), *_families(self._gauges()))
        media_type = prometheus.content_type().encode("latin-1")
        return http_types.HttpAnswer(
            200, ((b"Content-Type", media_type),), prometheus.render(families)
        )


def _families(gauges: Gauges) -> Iterable[prometheus.Family]:
    yield prometheus.gauge(
        "ready", "1 if callers may send requests, else 0.", int(gauges.is_ready)
    )
    yield prometheus.gauge(
        "configuration_version",
        "Configuration version in force; 0 if none.",
        gauges.configuration_version,
    )
    yield prometheus.gauge(
        "configuration_age_seconds",
        "Time since the configuration was last known to be the newest one.",
        gauges.configuration_age_s,
    )
    yield prometheus.gauge(
        "operator_read_seconds",
        "Time since the start of the read of the operator's topic; 0 if none.",
        gauges.operator_read_s,
    )
    yield prometheus.gauge(
        "members", "Known nodes, including this one.", gauges.members
    )
    yield prometheus.gauge(
        "peer_streams", "Nodes with an open stream.", gauges.peer_streams
    )
    yield prometheus.gauge(
        "calls_in_flight",
        "Requests of callers and calls of peers in flight.",
        gauges.in_flight,
    )
    yield prometheus.gauge(
        "event_loop_delay_seconds",
        "Time by which the last periodic timer was late.",
        gauges.loop_delay_s,
    )
    yield prometheus.gauge(
        "requests_dropped",
        "Requests read and not answered behind the last answer of their"
        " connection, since the start.",
        gauges.requests_dropped,
    )
    yield prometheus.gauge(
        "buffered_bytes",
        "Bytes reserved for requests and unread answers.",
        gauges.buffered_bytes,
    )
    yield prometheus.gauge(
        "buffer_limit_bytes",
        "Bytes that may be reserved for them.",
        gauges.buffer_bytes,
    )
    yield prometheus.gauge(
        "buffers_waiting",
        "Requests whose reading is paused for lack of room.",
        gauges.buffers_waiting,
    )
    yield prometheus.gauge(
        "buffers_refused",
        "Requests refused and answers cut off for lack of room or progress,"
        " since the start.",
        gauges.buffers_refused,
    )
    yield prometheus.gauge(
        "caller_connections",
        "Open connections of callers.",
        gauges.caller_connections,
    )
    yield prometheus.gauge(
        "caller_connections_refused",
        "Connections closed as there were too many, since the start.",
        gauges.connections_refused,
    )
    yield prometheus.gauge(
        "backend_slots",
        "Calls that the backend server runs at once.",
        gauges.slots,
    )
    yield prometheus.gauge(
        "backend_occupied",
        "Calls running at the backend server or waiting for a slot.",
        gauges.occupied,
    )
    yield prometheus.gauge(
        "backend_limit_per_second",
        "Calls per second that the backend server accepts; +Inf for no limit.",
        gauges.limit_per_s,
    )
    yield prometheus.gauge(
        "store_available",
        "0 while reads of the store fail, else 1.",
        int(not gauges.is_store_unavailable),
    )
    yield prometheus.gauge(
        "operator_records_proof_age_seconds",
        "Age of the proof that the operator's records are the newest ones;"
        " +Inf for none.",
        gauges.proof_age_s,
    )
    # Without evacuations the page is the same as before there were any.
    if gauges.evacuated:
        yield prometheus.Family(
            prometheus.Kind.GAUGE,
            "data_centre_evacuated",
            "1 while nothing is sent to the backend servers of a data centre.",
            ("data_centre",),
            {(name,): 1 for name in gauges.evacuated},
        )
    yield prometheus.gauge(
        "quota_customers",
        "Customers with a limit that are at work at this node.",
        gauges.quota_customers,
    )
    yield prometheus.gauge(
        "quota_tokens_lent",
        "Tokens that this node has lent as an owner and that may be held.",
        gauges.quota_tokens_lent,
    )
