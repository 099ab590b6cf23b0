"""Nodes with quotas on a virtual clock, with links that can be cut."""

import collections
import heapq
import itertools
import random

from trefoilwind import codec
from trefoilwind.customers import quota_exchange
from trefoilwind.customers import quota_limits
from trefoilwind.distribution import topology
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh

TERMS = quota_limits.QuotaTerms()
_REGIONS = 2
# Seconds after which a frozen node is found to be unresponsive.
_SILENCE_S = 1.0


class Mesh:
    """Nodes in data centres, divided between two regions.

    Attributes:
        served: Times of the calls that got a token, by customer.
        refused: Times of the calls that were refused, by customer.
        messages: Number of messages sent, by node.
    """

    def __init__(self, nodes: int, centres: int, seed: int = 1):
        self.now = 0.0
        self.random = random.Random(seed)
        self._queue: list = []
        self._order = itertools.count()
        self._members = [
            members.Member(
                f"n{number}",
                1,
                1,
                f"d{number % centres}",
                addresses.Address(),
                "s",
                "v1",
                4,
                region=f"r{number % centres % _REGIONS}",
            )
            for number in range(nodes)
        ]
        self.snapshot = directory.snapshot(self._members)
        self.customers: tuple[mesh.Customer, ...] = ()
        self.exchanges: dict[str, quota_exchange.Exchange] = {}
        self._epochs: collections.Counter[str] = collections.Counter()
        # Begin and end of the last freeze, by node.
        self._frozen: dict[str, tuple[float, float]] = {}
        # Nodes that reach only each other; all others reach each other too.
        self.cut_off: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        # Nodes that reach no other one, while others reach them.
        self.mute: set[str] = set()
        self.served = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.messages: collections.Counter[str] = collections.Counter()

    @property
    def node_ids(self) -> list[str]:
        """Ids of all nodes."""
        return [each.node_id for each in self._members]

    def in_data_centre(self, centre: str) -> set[str]:
        """Return the nodes of a data centre."""
        return set(self.snapshot.in_data_centre(centre))

    def start(self, node_id: str) -> None:
        """Start a process of a node; it replaces the earlier one."""
        self._epochs[node_id] += 1
        epoch = self._epochs[node_id]

        def send(peer: str, message: object) -> None:
            if self._epochs[node_id] == epoch:
                self._send(node_id, peer, message)

        def call_later(delay_s: float, function) -> None:
            def run():
                if self._epochs[node_id] == epoch:
                    function()

            self.at(self.now + delay_s, run, node_id)

        ports = quota_exchange.Ports(
            lambda: self.now,
            call_later,
            send,
            lambda peer: self._reaches(node_id, peer),
            lambda: self.snapshot,
        )
        exchange = quota_exchange.Exchange(
            node_id, epoch, TERMS, ports, self.now
        )
        self.exchanges[node_id] = exchange
        exchange.set_customers(self.customers)

    def kill(self, node_id: str) -> None:
        """End the process of a node."""
        self._epochs[node_id] += 1
        self.exchanges.pop(node_id, None)

    def freeze(self, node_id: str, until: float) -> None:
        """Stop a node's process until a time; its messages wait."""
        self._frozen[node_id] = (self.now, until)

    def start_all(self, customers: list[mesh.Customer]) -> None:
        """Start all nodes with customers."""
        self.customers = tuple(customers)
        for node_id in self.node_ids:
            self.start(node_id)

    def at(self, when: float, function, node_id: str = "") -> None:
        """Call a function at a time, later if the node is frozen then."""
        item = (when, next(self._order), function, node_id)
        heapq.heappush(self._queue, item)

    def run(self, end: float) -> None:
        """Run until a time."""
        while self._queue and self._queue[0][0] <= end:
            when, order, function, node_id = heapq.heappop(self._queue)
            begin, thaw = self._frozen.get(node_id, (0.0, 0.0))
            if begin <= when < thaw:
                heapq.heappush(self._queue, (thaw, order, function, node_id))
                continue
            self.now = when
            function()
        self.now = end

    def call(self, node_id: str, customer: str, is_run: bool = True) -> None:
        """Make a call; one that is not run returns its token."""
        exchange = self.exchanges.get(node_id)
        if exchange is None:
            return
        sent = self.now

        def resolve(retry_s: float | None) -> None:
            if retry_s is not None:
                assert retry_s > 0.0
                self.refused[customer].append(sent)
            elif is_run:
                self.served[customer].append(sent)
            else:
                exchange.give_back(customer)

        exchange.take(customer, resolve)

    def load(
        self,
        customer: str,
        rate_per_s: float,
        begin: float,
        end: float,
        nodes: list[str] | None = None,
        not_run: float = 0.0,
    ) -> None:
        """Plan calls at random nodes with exponential gaps."""
        nodes = nodes or self.node_ids
        when = begin
        while (when := when + self.random.expovariate(rate_per_s)) < end:
            node_id = self.random.choice(nodes)
            is_run = self.random.random() >= not_run
            self.at(
                when,
                lambda node_id=node_id, is_run=is_run: self.call(
                    node_id, customer, is_run
                ),
                node_id,
            )

    def largest_excess(self, customer: mesh.Customer) -> float:
        """Return by how many calls the bound was exceeded in any window."""
        window_s = TERMS.window_s
        limit = customer.rate_per_s * window_s + customer.burst
        bound = limit * (1.0 + TERMS.overage) + TERMS.slack
        times = sorted(self.served[customer.name])
        most, first = 0, 0
        for index, when in enumerate(times):
            while when - times[first] > window_s:
                first += 1
            most = max(most, index - first + 1)
        return most - bound

    def count(
        self, calls: dict[str, list[float]], name: str, begin: float, end: float
    ) -> int:
        """Return the calls of a customer that were sent in an interval."""
        return sum(begin <= when < end for when in calls[name])

    def _reaches(self, node_id: str, peer: str) -> bool:
        """Return True if there is a stream, open and responsive."""
        if peer not in self.exchanges or peer == node_id:
            return False
        by_node = self.snapshot.by_node
        is_local = by_node[node_id].data_centre == by_node[peer].data_centre
        if not is_local and not (
            self._is_relay(node_id) and self._is_relay(peer)
        ):
            return False
        begin, end = self._frozen.get(peer, (0.0, 0.0))
        if begin + _SILENCE_S < self.now < end:
            return False
        return self._is_linked(node_id, peer)

    def _is_linked(self, node_id: str, peer: str) -> bool:
        if node_id in self.mute:
            return False
        if frozenset((node_id, peer)) in self.cut_pairs:
            return False
        return (node_id in self.cut_off) == (peer in self.cut_off)

    def _is_relay(self, node_id: str) -> bool:
        centre = self.snapshot.by_node[node_id].data_centre
        return node_id in topology.relays(self.snapshot, centre, 2)

    def _send(self, node_id: str, peer: str, message: object) -> None:
        self.messages[node_id] += 1
        if peer not in self.exchanges or not self._is_linked(node_id, peer):
            return
        decoded = codec.decode(codec.encode(message), "test")
        by_node = self.snapshot.by_node
        own, other = by_node[node_id], by_node[peer]
        latency_s = 0.0005
        if own.data_centre != other.data_centre:
            latency_s = 0.0014 if own.region == other.region else 0.03
        epoch = self._epochs[peer]

        def arrive():
            if self._epochs[peer] == epoch:
                self.exchanges[peer].handle_message(node_id, decoded)

        self.at(self.now + latency_s, arrive, peer)
