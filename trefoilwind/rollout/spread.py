"""Distribution of evidence within data centres and between regions.

An entry node sends its counters to the aggregators of its data centre. They
send the sums to the nodes of the data centre and to the aggregators of the
region. One gate per region exchanges the region's sums with the other gates,
so that only sums by data centre are sent between regions.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools

from trefoilwind.distribution import topology as topology_lib
from trefoilwind.membership import directory
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.rollout import evidence

AGGREGATORS_PER_DATA_CENTRE = 2
INTERVAL_S = 0.5
REGION_INTERVAL_S = 1.0
# All counters are sent again at this interval, as some may be lost with a
# stream.
REFRESH_INTERVAL_S = 15.0


@dataclasses.dataclass(frozen=True)
class Topology:
    """Roles of all nodes in the view of one node.

    Attributes:
        node_id: The node.
        data_centre: Its data centre.
        nodes: Nodes of its data centre.
        regions: Regions by data centre.
        aggregators: Aggregators by data centre; the first one is the leader.
    """

    node_id: str
    data_centre: str
    nodes: tuple[str, ...]
    regions: dict[str, str]
    aggregators: dict[str, tuple[str, ...]]

    @property
    def region(self) -> str:
        """Region of the node."""
        return self.regions.get(self.data_centre, "")

    @property
    def is_aggregator(self) -> bool:
        """True if the node sums the counters of its data centre."""
        return self.node_id in self.aggregators.get(self.data_centre, ())

    @property
    def is_gate(self) -> bool:
        """True if the node exchanges evidence with other regions."""
        return self.gates.get(self.region) == self.node_id

    @functools.cached_property
    def gates(self) -> dict[str, str]:
        """Gate of each region: the leader of its first data centre."""
        gates: dict[str, str] = {}
        for data_centre in sorted(self.aggregators):
            leaders = self.aggregators[data_centre]
            if leaders:
                gates.setdefault(self.regions.get(data_centre, ""), leaders[0])
        return gates


def topology(
    node_id: str,
    data_centre: str,
    members: directory.Snapshot,
    configuration: configuration_lib.Configuration,
) -> Topology:
    """Return the roles derived from the live members.

    Args:
        node_id: The own node.
        data_centre: Its data centre.
        members: Live members.
        configuration: Current configuration.
    """
    names = {member.data_centre for member in members.members} | {data_centre}
    aggregators = {
        name: topology_lib.relays(members, name, AGGREGATORS_PER_DATA_CENTRE)
        for name in names
    }
    return Topology(
        node_id,
        data_centre,
        members.in_data_centre(data_centre),
        {name: configuration.region(name) for name in names},
        aggregators,
    )


@dataclasses.dataclass(frozen=True)
class Link:
    """Selection of counters that a node sends to one receiver.

    Attributes:
        peer: The receiver.
        interval_s: Seconds between two messages.
        includes: Returns True for the keys that are sent to the receiver.
    """

    peer: str
    interval_s: float
    includes: Callable[[evidence.Key], bool]


def links(roles: Topology) -> list[Link]:
    """Return all links of a node; a pure function of the roles."""
    own = roles.data_centre
    found = [
        Link(peer, INTERVAL_S, _own_counters(roles))
        for peer in roles.aggregators.get(own, ())
    ]
    if roles.is_aggregator:
        found += [Link(p, INTERVAL_S, _sums) for p in roles.nodes]
        found += _links_in_region(roles)
    if roles.is_gate:
        found += [
            Link(peer, REGION_INTERVAL_S, _sums_of_region(roles))
            for region, peer in roles.gates.items()
            if region != roles.region
        ]
    return [link for link in found if link.peer != roles.node_id]


def _links_in_region(roles: Topology) -> list[Link]:
    found = []
    for data_centre, peers in roles.aggregators.items():
        if data_centre == roles.data_centre:
            continue
        if roles.regions.get(data_centre) != roles.region:
            continue
        includes = (
            _sums_except(data_centre)
            if roles.is_gate
            else _sums_of(roles.data_centre)
        )
        found += [Link(peer, INTERVAL_S, includes) for peer in peers]
    return found


def _own_counters(roles: Topology) -> Callable[[evidence.Key], bool]:
    prefix = f"{roles.node_id}@"
    return lambda key: key.entry.startswith(prefix)


def _sums(key: evidence.Key) -> bool:
    return not key.entry


def _sums_of(data_centre: str) -> Callable[[evidence.Key], bool]:
    return lambda key: not key.entry and key.data_centre == data_centre


def _sums_except(data_centre: str) -> Callable[[evidence.Key], bool]:
    return lambda key: not key.entry and key.data_centre != data_centre


def _sums_of_region(roles: Topology) -> Callable[[evidence.Key], bool]:
    def includes(key: evidence.Key) -> bool:
        is_own = roles.regions.get(key.data_centre) == roles.region
        return not key.entry and is_own

    return includes


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Counters for one receiver."""

    peer: str
    entries: tuple[evidence.Entry, ...]


class Sender:
    """Tracks which revision each receiver was sent."""

    def __init__(self, ledger: evidence.Ledger):
        self._ledger = ledger
        self._sent_revisions: dict[str, int] = {}
        self._next_send_at: dict[str, float] = {}
        self._refresh_at: dict[str, float] = {}

    def reset_peer(self, peer: str) -> None:
        """Send all counters to a peer again, as sent ones may be lost."""
        self._sent_revisions.pop(peer, None)

    def deliveries(self, now: float, found: Iterable[Link]) -> list[Delivery]:
        """Return the deliveries that are due.

        Args:
            now: Monotonic time in seconds.
            found: Links of the node; links to the same peer share a message.
        """
        by_peer: dict[str, list[Link]] = {}
        for link in found:
            by_peer.setdefault(link.peer, []).append(link)
        due = [self._deliver(now, p, group) for p, group in by_peer.items()]
        return [delivery for delivery in due if delivery.entries]

    def _deliver(self, now: float, peer: str, group: list[Link]) -> Delivery:
        if now < self._next_send_at.get(peer, now):
            return Delivery(peer, ())
        self._next_send_at[peer] = now + min(link.interval_s for link in group)
        if now >= self._refresh_at.setdefault(peer, now + REFRESH_INTERVAL_S):
            self._refresh_at[peer] = now + REFRESH_INTERVAL_S
            self._sent_revisions.pop(peer, None)
        changed = self._ledger.changed_since(self._sent_revisions.get(peer, 0))
        self._sent_revisions[peer] = self._ledger.revision
        wanted = tuple(
            entry
            for entry in changed
            if any(link.includes(entry.key) for link in group)
        )
        return Delivery(peer, wanted)
