"""Selection of the node that reads the operator's topic for a data centre.

In a small data centre each node reads for itself and announces its reads to the
others, as a read may hang. All but the first node wait long for a record; the
short waits of the first one show the others that they are not behind.

In a large one, reads by all nodes would fill the link to the store with copies
of one configuration, so one node reads and announces its offset, and the others
request the records that they lack. There is no election: each node ranks the
nodes that it is connected to.

Nodes that are leaving, and nodes that said that their reads fail, are passed
over. While nobody announces reads, nodes read one after the other, in the order
of their ranks: if all of them read at once, the reads could fill the link, time
out and be repeated.

Records spread from the reader over a tree of fixed degree, so that no node
sends copies to the whole data centre.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from trefoilwind.distribution import topology
from trefoilwind.gateway import follower

# Smallest number of nodes of a data centre with which one reads for the others.
MIN_NODES = 5
# Seconds for which a read that others rely on waits for a record. Its
# completion, with or without a record, is announced and shows that the reader
# is alive.
READ_WAIT_S = 0.5
# Seconds without an announcement after which the next node reads. Longer than a
# read and the interval before it.
READER_TIMEOUT_S = 1.6
# Seconds between the nodes that read after the reader's timeout.
TAKEOVER_STEP_S = 0.4
# Seconds between the nodes that read at the start of a data centre.
START_STEP_S = 0.1
# Seconds from the start for which the other nodes are awaited before a read.
DISCOVERY_S = 1.0
# Nodes to which a node passes records on.
RELAY_DEGREE = 5


class ReaderSelection:
    """Decides whether this node reads, and from which peer it gets records."""

    def __init__(
        self,
        node_id: str,
        data_centre: str,
        interval_s: float,
        is_leaving: Callable[[str], bool],
        now: float,
    ):
        """Initialize the selection.

        Args:
            node_id: Id of this node.
            data_centre: Data centre of this node.
            interval_s: Seconds between two reads of a node.
            is_leaving: Returns True if a node accepts no new calls.
            now: Monotonic time in seconds.
        """
        self._node_id = node_id
        self._key = f"reader/{data_centre}"
        self._interval_s = interval_s
        self._is_leaving = is_leaving
        self._started_at = now
        self._last_announcement_at = -float("inf")
        self._failing: set[str] = set()
        # True while this node reads in place of a silent reader.
        self._has_taken_over = False

    def order(self, local_peers: Iterable[str]) -> tuple[str, ...]:
        """Return the nodes in the order in which they are to read.

        Args:
            local_peers: Other nodes of the data centre.

        Returns:
            All nodes, those that are passed over last; empty if each node
            reads for itself.
        """
        ranked = self._ranked(local_peers)
        return ranked if len(ranked) >= MIN_NODES else ()

    def reader(self, local_peers: Iterable[str]) -> str:
        """Return the node that reads for all; empty if each node reads."""
        order = self.order(local_peers)
        return order[0] if order else ""

    def parent(self, local_peers: Iterable[str]) -> str:
        """Return the node from which this one gets records; empty for none."""
        order = self.order(local_peers)
        position = order.index(self._node_id) if order else 0
        return order[(position - 1) // RELAY_DEGREE] if position else ""

    def children(self, local_peers: Iterable[str]) -> tuple[str, ...]:
        """Return the nodes to which this one passes records on."""
        order = self.order(local_peers)
        if not order:
            return ()
        first = order.index(self._node_id) * RELAY_DEGREE + 1
        return order[first : first + RELAY_DEGREE]

    def plan(
        self, local_peers: Sequence[str], now: float, known_peers: int = 0
    ) -> follower.ReadPlan:
        """Return the parameters of the next read.

        Args:
            local_peers: Connected nodes of the data centre.
            now: Monotonic time in seconds.
            known_peers: Number of its other nodes, connected or not.
        """
        ranked = self._ranked(local_peers)
        rank = ranked.index(self._node_id)
        if len(ranked) < MIN_NODES:
            # Long waits of nodes that are about to connect to a large data
            # centre would all be answered with copies of the next record.
            waits_long = rank > 0 and known_peers + 1 < MIN_NODES
            wait_s = follower.READ_WAIT_S if waits_long else READ_WAIT_S
            return follower.ReadPlan(self._interval_s, wait_s)
        is_silent = self._silence_s(now) > _takeover_s(rank)
        self._has_taken_over = rank > 0 and is_silent
        is_due = rank == 0 or is_silent or self._node_id in self._failing
        return follower.ReadPlan(self._interval_s, READ_WAIT_S, is_due)

    def first_plan(
        self, known_peers: Sequence[str], has_discovered: bool, now: float
    ) -> follower.ReadPlan:
        """Return the parameters of the first read of this process.

        Args:
            known_peers: Nodes of the data centre, connected or not.
            has_discovered: True once this node has read who is in the mesh.
            now: Monotonic time in seconds.
        """
        elapsed_s = now - self._started_at
        if not has_discovered:
            is_due = elapsed_s > DISCOVERY_S
            return follower.ReadPlan(self._interval_s, READ_WAIT_S, is_due)
        order = self.order(known_peers)
        rank = order.index(self._node_id) if order else 0
        is_due = elapsed_s >= rank * START_STEP_S
        return follower.ReadPlan(self._interval_s, READ_WAIT_S, is_due)

    def is_reader(self, local_peers: Sequence[str]) -> bool:
        """Return True if this node reads for the others."""
        return self.reader(local_peers) == self._node_id

    def is_silent(self, now: float) -> bool:
        """Return True if announcements of reads are missing."""
        return self._silence_s(now) > READER_TIMEOUT_S

    def handle_announcement(self, node_id: str, now: float) -> None:
        """Handle the announcement that a node has read.

        Of several nodes that have taken over, the first in rank goes on.

        Args:
            node_id: Node that has read.
            now: Monotonic time in seconds.
        """
        self.handle_success(node_id)
        is_first = self._precedence(self._node_id) < self._precedence(node_id)
        if not (self._has_taken_over and is_first):
            self._last_announcement_at = now

    def handle_success(self, node_id: str) -> None:
        """Consider a node as a reader again."""
        self._failing.discard(node_id)

    def handle_failure(self, node_id: str) -> None:
        """Pass over a node until it announces a read again."""
        self._failing.add(node_id)

    def _ranked(self, local_peers: Iterable[str]) -> tuple[str, ...]:
        """Return all nodes, those that are passed over last."""
        nodes = {*local_peers, self._node_id}
        return tuple(sorted(nodes, key=self._precedence))

    def _precedence(self, node_id: str) -> tuple[bool, int]:
        """Return the key that orders the nodes; the reader has the least."""
        is_passed_over = node_id in self._failing or self._is_leaving(node_id)
        return is_passed_over, -topology.rank(self._key, node_id)

    def _silence_s(self, now: float) -> float:
        return now - max(self._last_announcement_at, self._started_at)


def _takeover_s(rank: int) -> float:
    """Return the silence in seconds after which a node reads."""
    return READER_TIMEOUT_S + (rank - 1) * TAKEOVER_STEP_S
