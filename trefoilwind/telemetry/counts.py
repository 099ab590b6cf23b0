"""Counters of a node: a few additions per call on the event loop."""

import collections

from trefoilwind.telemetry import durations
from trefoilwind.telemetry import prometheus

# Number of services with a label of their own. The operator names services, so
# their number is limited here; the others share one label.
MAX_SERVICES = 32
OTHER_SERVICES = "other"
# Number of customers with a label of their own.
MAX_CUSTOMERS = 100
OTHER_CUSTOMERS = "other"


class MeshCounts:
    """Counters of one node, as entry node and as target node."""

    def __init__(self) -> None:
        self._services: set[str] = set()
        self._requests: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self._attempts: collections.Counter[tuple[str]] = collections.Counter()
        self._request_times: dict[str, durations.Durations] = {}
        self._wait_times: dict[str, durations.Durations] = {}
        self._store_reads: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._store_bytes: collections.Counter[tuple[str]] = (
            collections.Counter()
        )
        self._store_times: dict[str, durations.Durations] = {}
        self._shared_bytes: collections.Counter[tuple[str]] = (
            collections.Counter()
        )
        self._rejected: collections.Counter[tuple[str]] = collections.Counter()
        self._access_refused: collections.Counter[tuple[str]] = (
            collections.Counter()
        )
        self._quota_refusals: collections.Counter[tuple[str]] = (
            collections.Counter()
        )

    def request_ended(
        self, service: str, result: str, attempts: int, seconds: float
    ) -> None:
        """Count a caller's request.

        Args:
            service: Service of the request.
            result: "answered", or the public name of the reason.
            attempts: Nodes to which the request was sent.
            seconds: Time from its receipt to its end.
        """
        name = self._service_label(service)
        self._requests[name, result] += 1
        self._attempts[(name,)] += attempts
        _durations(self._request_times, name).add(seconds)

    def run_ended(self, service: str, result: str) -> None:
        """Count a call for this node's backend server, also a refused one."""
        self._runs[self._service_label(service), result] += 1

    def slot_acquired(self, service: str, seconds: float) -> None:
        """Record the time in seconds that a call waited for a slot."""
        _durations(self._wait_times, self._service_label(service)).add(seconds)

    def store_read(
        self, topic: str, result: str, size: int, seconds: float
    ) -> None:
        """Count a read of a topic of the store.

        Args:
            topic: Name of the topic.
            result: "answered", or the public name of the reason.
            size: Bytes of the values that were read.
            seconds: Time from the read to its result.
        """
        self._store_reads[topic, result] += 1
        self._store_bytes[(topic,)] += size
        _durations(self._store_times, topic).add(seconds)

    def records_shared(self, direction: str, size: int) -> None:
        """Count bytes of operator records exchanged with a peer.

        Args:
            direction: "sent" or "received".
            size: Bytes of the packed records.
        """
        self._shared_bytes[(direction,)] += size

    def record_rejected(self, reason: str) -> None:
        """Count an operator record that was not put in force.

        Args:
            reason: Public name of the reason.
        """
        self._rejected[(reason,)] += 1

    def access_refused(self, reason: str) -> None:
        """Count a request that was refused for its key.

        Args:
            reason: Public name of the reason.
        """
        self._access_refused[(reason,)] += 1

    def quota_refused(self, customer: str) -> None:
        """Count a call above the limit of its customer."""
        label = (customer,)
        is_known = label in self._quota_refusals
        if not is_known and len(self._quota_refusals) >= MAX_CUSTOMERS:
            label = (OTHER_CUSTOMERS,)
        self._quota_refusals[label] += 1

    def families(self) -> tuple[prometheus.Family, ...]:
        """Return the metric families of all counters."""
        counter = prometheus.Kind.COUNTER
        histogram = prometheus.Kind.HISTOGRAM
        return (
            prometheus.Family(
                counter,
                "requests_total",
                "Requests of callers by service and result.",
                ("service", "result"),
                self._requests,
            ),
            prometheus.Family(
                counter,
                "attempts_total",
                "Nodes to which requests of callers were sent, by service.",
                ("service",),
                self._attempts,
            ),
            prometheus.Family(
                counter,
                "runs_total",
                "Calls for this node's backend server, also refused ones.",
                ("service", "result"),
                self._runs,
            ),
            prometheus.Family(
                histogram,
                "request_duration_seconds",
                "Time from the receipt of a request to its end, by service.",
                ("service",),
                _all_latencies(self._request_times),
            ),
            prometheus.Family(
                histogram,
                "slot_wait_seconds",
                "Time that calls waited for a slot, by service.",
                ("service",),
                _all_latencies(self._wait_times),
            ),
            prometheus.Family(
                counter,
                "access_refused_total",
                "Requests of callers refused for their key, by reason.",
                ("reason",),
                self._access_refused,
            ),
            prometheus.Family(
                counter,
                "quota_refusals_total",
                "Requests above the limit of their customer, by customer.",
                ("customer",),
                self._quota_refusals,
            ),
            *self._store_families(),
        )

    def _store_families(self) -> tuple[prometheus.Family, ...]:
        counter = prometheus.Kind.COUNTER
        return (
            prometheus.Family(
                counter,
                "store_reads_total",
                "Reads of the store by topic and result.",
                ("topic", "result"),
                self._store_reads,
            ),
            prometheus.Family(
                counter,
                "store_read_bytes_total",
                "Bytes of values read from the store, by topic.",
                ("topic",),
                self._store_bytes,
            ),
            prometheus.Family(
                prometheus.Kind.HISTOGRAM,
                "store_read_duration_seconds",
                "Time from a read of the store to its result, by topic.",
                ("topic",),
                _all_latencies(self._store_times),
            ),
            prometheus.Family(
                counter,
                "shared_record_bytes_total",
                "Bytes of operator records exchanged with peers.",
                ("direction",),
                self._shared_bytes,
            ),
            prometheus.Family(
                counter,
                "operator_records_rejected_total",
                "Operator records that were not put in force, by reason.",
                ("reason",),
                self._rejected,
            ),
        )

    def _service_label(self, service: str) -> str:
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICES:
            return OTHER_SERVICES
        self._services.add(service)
        return service


def _durations(
    times: dict[str, durations.Durations], name: str
) -> durations.Durations:
    found = times.get(name)
    if found is None:
        found = times[name] = durations.Durations()
    return found


def _all_latencies(
    times: dict[str, durations.Durations],
) -> dict[tuple[str, ...], prometheus.Latencies]:
    return {(name,): found.latencies() for name, found in times.items()}
