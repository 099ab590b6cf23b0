"""Selection of the node that reads the operator's topic for a data centre.

In a small data centre each node reads for itself and announces new records to
the others, as a read may hang. In a large one, reads by all nodes would fill
the link to the store with copies of one configuration, so one node reads and
announces its offset, and the others request the records that they lack. There
is no election: each node ranks the nodes that it is connected to, and reads for
itself while it receives no announcements.
"""

from collections.abc import Sequence

from trefoilwind.distribution import topology
from trefoilwind.gateway import follower

# Smallest number of nodes of a data centre with which one reads for the others.
MIN_NODES = 8
# Seconds for which a read made for others waits for a record. Its completion,
# with or without a record, is announced and shows that the reader is alive.
READ_WAIT_S = 0.5
# Seconds without an announcement after which a node reads for itself. Longer
# than a read and the interval before it; together with a read of its own it
# stays within the 2.5 s in which a configuration must be in force.
READER_TIMEOUT_S = 1.6
# Seconds between two requests for records to the reader.
REQUEST_INTERVAL_S = 0.3


class ReaderSelection:
    """Decides whether this node reads or requests records from a peer."""

    def __init__(self, node_id: str, data_centre: str, interval_s: float):
        self._node_id = node_id
        self._key = f"reader/{data_centre}"
        self._interval_s = interval_s
        self._last_announcement_at = -float("inf")
        self._next_request_at = -float("inf")

    def reader(self, local_peers: Sequence[str]) -> str:
        """Return the node that reads for all; empty if each node reads.

        Args:
            local_peers: Connected nodes of the data centre.
        """
        nodes = {*local_peers, self._node_id}
        if len(nodes) < MIN_NODES:
            return ""
        return topology.rendezvous(self._key, nodes, 1)[0]

    def plan(
        self, local_peers: Sequence[str], has_read: bool, now: float
    ) -> follower.ReadPlan:
        """Return the parameters of the next read.

        Args:
            local_peers: Connected nodes of the data centre.
            has_read: True once this node has read the newest records.
            now: Monotonic time in seconds.
        """
        reader = self.reader(local_peers)
        if not reader:
            return follower.ReadPlan(self._interval_s)
        has_timed_out = now - self._last_announcement_at > READER_TIMEOUT_S
        is_due = reader == self._node_id or has_timed_out or not has_read
        return follower.ReadPlan(self._interval_s, READ_WAIT_S, is_due)

    def is_reader(self, local_peers: Sequence[str]) -> bool:
        """Return True if this node reads for the others."""
        return self.reader(local_peers) == self._node_id

    def handle_announcement(self, is_behind: bool, now: float) -> bool:
        """Handle an announced read; return True if records must be requested.

        Args:
            is_behind: True if this node lacks records that were read.
            now: Monotonic time in seconds.
        """
        self._last_announcement_at = now
        if not is_behind or now < self._next_request_at:
            return False
        self._next_request_at = now + REQUEST_INTERVAL_S
        return True
