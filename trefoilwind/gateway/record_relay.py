"""Who reads the operator's topic for a data centre.

In a small data centre each node reads for itself and tells the others of news,
as a read may hang. In a large one, reads of all nodes would fill the way to
the store with copies of one configuration, so one node reads, tells the others
how far it is, and they ask it for what they lack. Nobody is elected: each node
ranks those that it reaches, and reads for itself while it hears of no reading.
"""

from collections.abc import Sequence

from trefoilwind.distribution import topology
from trefoilwind.gateway import follower

# Nodes of a data centre from which on one of them reads for the others.
LEAST_NODES = 8
# Seconds for which a read made for others waits for a record: its answer, with
# or without one, shows that the reading goes on.
READ_WAIT_S = 0.5
# Seconds without news of a reading after which a node reads for itself. Longer
# than a read and the gathering before it; with a read of its own it stays
# within the time until a configuration must be in force, 2.5 s.
SILENCE_S = 1.6
# Seconds between two requests for records.
ASK_INTERVAL_S = 0.3


class RecordRelay:
    """Decides whether this node reads, and when it asks a peer instead."""

    def __init__(self, node_id: str, data_centre: str, gather_s: float):
        self._node_id = node_id
        self._key = f"reader/{data_centre}"
        self._gather_s = gather_s
        self._heard_at = -float("inf")
        self._ask_at = -float("inf")

    def reader(self, nearby: Sequence[str]) -> str:
        """Return the node that reads for all; empty if each one reads.

        Args:
            nearby: Nodes of the data centre that this one reaches.
        """
        nodes = {*nearby, self._node_id}
        if len(nodes) < LEAST_NODES:
            return ""
        return topology.rendezvous(self._key, nodes, 1)[0]

    def plan(
        self, nearby: Sequence[str], has_read: bool, now: float
    ) -> follower.ReadPlan:
        """Return how the next read is made.

        Args:
            nearby: Nodes of the data centre that this one reaches.
            has_read: True once this node has read the newest records.
            now: Monotonic time in seconds.
        """
        reader = self.reader(nearby)
        if not reader:
            return follower.ReadPlan(self._gather_s)
        is_silent = now - self._heard_at > SILENCE_S
        is_due = reader == self._node_id or is_silent or not has_read
        return follower.ReadPlan(self._gather_s, READ_WAIT_S, is_due)

    def is_reader(self, nearby: Sequence[str]) -> bool:
        """Return True if this node reads for the others."""
        return self.reader(nearby) == self._node_id

    def heard(self, is_behind: bool, now: float) -> bool:
        """Take news of a reading; return True if its records are wanted.

        Args:
            is_behind: True if this node lacks records that were read.
            now: Monotonic time in seconds.
        """
        self._heard_at = now
        if not is_behind or now < self._ask_at:
            return False
        self._ask_at = now + ASK_INTERVAL_S
        return True
