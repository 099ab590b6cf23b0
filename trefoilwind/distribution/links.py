"""Controller of a node's control links, whose number is bounded.

A control link is a stream on which control messages are exchanged.
"""

from collections.abc import Iterable
import dataclasses
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind.distribution import backoff
from trefoilwind.distribution import messages
from trefoilwind.distribution import ports
from trefoilwind.distribution import topology
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import records

logger = logging.getLogger(__name__)

MAX_LINKS = 24
CONTACTS_IN_REFUSAL = 3
OPEN_INTERVAL_S = 5.0
REQUESTED_LINK_LEASE_S = 3 * OPEN_INTERVAL_S
PUSH_LEASE_S = 6.0
BRIDGE_INTERVAL_S = 3.0
REFUSED_BACKOFF_S = 10.0
PROBE_INTERVAL_S = 2.0
FIRST_PROBE_WAIT_S = 0.2
LOST_RETENTION_S = 900.0
MAX_LOST_NODES = 1024
PASSIVE_WAIT_S = 2.0
TOPOLOGY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class _LostNode:
    """Address of a node that vanished without leaving, to be probed."""

    address: addresses.Address
    deadline: float


@dataclasses.dataclass(frozen=True)
class _Retry:
    """Number of connection attempts, and the time of the next one."""

    attempt: int
    deadline: float


class LinkController:
    """Decides with which peers control messages are exchanged.

    Links follow the topology. Nodes without links, relays and gateways probe
    the addresses of contacts and of vanished nodes.
    """

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings.streams
        self._members = environment.blackboard.members
        self._connected: set[str] = set()
        self._wanted: frozenset[str] = frozenset()
        self._tree: frozenset[str] = frozenset()
        self._requesters: dict[str, float] = {}
        self._push_deadlines: dict[str, float] = {}
        self._next_bridge = 0.0
        self._refused: dict[str, float] = {}
        self._next_open: dict[str, float] = {}
        self._retries: dict[str, _Retry] = {}
        self._lost: dict[str, _LostNode] = {}
        self._offered_contacts: tuple[addresses.Address, ...] = ()
        self._last_members = directory.Snapshot()
        self._next_topology = 0.0
        self._next_probe = 0.0
        self._isolated_probes = 0

    @property
    def handles(self) -> tuple[type, ...]:
        """Message classes that this controller handles."""
        return (
            messages.LinkOpen,
            messages.LinkClose,
            messages.Refusal,
            messages.PushRequest,
        )

    @property
    def active(self) -> frozenset[str]:
        """Peers with which control messages are exchanged."""
        wanted = self._wanted - self._refused.keys()
        return frozenset(self._connected & (wanted | self._requesters.keys()))

    def eager(self, exclude: str = "") -> list[str]:
        """Return the links on which messages are pushed, sorted.

        These are the links of the tree and those on which a push was
        requested; all links while a tree link of this node is missing.
        """
        active = self.active
        if not self._tree <= active:
            return sorted(active - {exclude})
        chosen = active & (self._tree | self._push_deadlines.keys())
        return sorted(chosen - {exclude})

    def lazy(self, exclude: str = "") -> list[str]:
        """Return the links that carry digests only, sorted."""
        return sorted(self.active - set(self.eager()) - {exclude})

    def request_push(self, peer: str) -> list[ports.Envelope]:
        """Push messages on a link for a while, in both directions."""
        self._extend_push(peer)
        return [ports.Envelope(peer, messages.PushRequest())]

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """Handle a message from a peer."""
        if isinstance(message, messages.LinkOpen):
            return self._handle_open(peer)
        if isinstance(message, messages.PushRequest):
            self._extend_push(peer)
        elif isinstance(message, messages.LinkClose):
            self._requesters.pop(peer, None)
        else:
            self._handle_refusal(peer, message)
        return []

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Open a link if the new peer is wanted or not a member yet."""
        self._connected.add(peer)
        self._retries.pop(peer, None)
        self._lost.pop(peer, None)
        is_non_member = peer not in self._members.value.by_node
        if is_non_member and len(self.active) < MAX_LINKS:
            self._wanted |= {peer}
        return self._open(peer) if peer in self._wanted else []

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Remove a peer; `tick` reconnects if the peer is wanted."""
        self._connected.discard(peer)
        self._requesters.pop(peer, None)
        self._next_open.pop(peer, None)
        self._push_deadlines.pop(peer, None)
        self._next_bridge = 0.0
        return []

    def tick(self) -> list[ports.Envelope]:
        """Update the topology, connect, renew open links and probe."""
        now = self._environment.clock.monotonic()
        self._drop_expired(self._requesters, now)
        self._drop_expired(self._refused, now)
        self._drop_expired(self._push_deadlines, now)
        envelopes = self._update_topology(now)
        for peer in sorted(self._wanted):
            if peer in self._connected:
                if self._next_open.get(peer, 0.0) <= now:
                    envelopes += self._open(peer)
            elif peer not in self._refused:
                envelopes += self._connect(peer, now)
        if now >= self._next_probe:
            envelopes += self._probe(now)
        return envelopes + self._bridge_tree(now)

    def _bridge_tree(self, now: float) -> list[ports.Envelope]:
        """Request pushes on all links while a tree link is missing here."""
        is_complete = self._tree <= self.active
        if is_complete or now < self._next_bridge:
            return []
        self._next_bridge = now + BRIDGE_INTERVAL_S
        return [
            envelope
            for peer in sorted(self.active)
            for envelope in self.request_push(peer)
        ]

    def _extend_push(self, peer: str) -> None:
        now = self._environment.clock.monotonic()
        self._push_deadlines[peer] = now + PUSH_LEASE_S

    def _handle_open(self, peer: str) -> list[ports.Envelope]:
        is_known = peer in self._requesters or peer in self._wanted
        if not is_known and len(self.active) >= MAX_LINKS:
            contacts = sample_contacts(
                self._environment, exclude=peer, count=CONTACTS_IN_REFUSAL
            )
            return [ports.Envelope(peer, messages.Refusal(contacts))]
        now = self._environment.clock.monotonic()
        self._requesters[peer] = now + REQUESTED_LINK_LEASE_S
        return []

    def _handle_refusal(self, peer: str, message: messages.Refusal) -> None:
        now = self._environment.clock.monotonic()
        wait_s = self._environment.random.uniform(0.5, 1.0) * REFUSED_BACKOFF_S
        self._refused[peer] = now + wait_s
        self._offered_contacts = tuple(c.peer_address for c in message.contacts)
        if not self.active:
            self._next_probe = now

    def _update_topology(self, now: float) -> list[ports.Envelope]:
        members = self._members.value
        if members is self._last_members or now < self._next_topology:
            return []
        self._next_topology = now + TOPOLOGY_INTERVAL_S
        self._record_lost(members, now)
        self._last_members = members
        own_id = self._environment.node_id
        wanted = topology.neighbours(members, own_id)
        retained = self._connected - members.by_node.keys()
        if not wanted & self._connected:
            # The first links stay until a link of the topology is connected.
            retained |= self._wanted & self._connected
        closed = sorted((self._wanted - wanted - retained) & self._connected)
        self._wanted = wanted | retained
        self._tree = topology.tree(members, own_id)
        for peer in closed:
            self._next_open.pop(peer, None)
        return [ports.Envelope(p, messages.LinkClose()) for p in closed]

    def _record_lost(self, members: directory.Snapshot, now: float) -> None:
        self._lost = {
            node_id: lost
            for node_id, lost in self._lost.items()
            if lost.deadline > now and node_id not in members.by_node
        }
        for member in self._last_members.members:
            if member.node_id in members.by_node or member.leaving:
                continue
            if len(self._lost) < MAX_LOST_NODES:
                self._lost[member.node_id] = _LostNode(
                    member.peer_address, now + LOST_RETENTION_S
                )

    def _open(self, peer: str) -> list[ports.Envelope]:
        now = self._environment.clock.monotonic()
        self._next_open[peer] = now + OPEN_INTERVAL_S
        return [ports.Envelope(peer, messages.LinkOpen())]

    def _connect(self, peer: str, now: float) -> list[ports.Envelope]:
        member = self._members.value.by_node.get(peer)
        if member is None:
            self._wanted -= {peer}
            return []
        retry = self._retries.get(peer)
        if retry is None:
            # Only one side connects at first, so that two nodes share a stream.
            is_passive = peer < self._environment.node_id
            wait_s = PASSIVE_WAIT_S if is_passive else 0.0
            retry = _Retry(0, now + wait_s)
            self._retries[peer] = retry
        if now < retry.deadline:
            return []
        self._retries[peer] = self._after_attempt(retry, now)
        return [ports.Envelope(peer, messages.LinkOpen(), member.peer_address)]

    def _after_attempt(self, retry: _Retry, now: float) -> _Retry:
        delay_s = self._settings.connect_timeout_s + backoff.full_jitter_s(
            retry.attempt,
            self._settings.backoff_base_s,
            self._settings.backoff_cap_s,
            self._environment.random,
        )
        return _Retry(retry.attempt + 1, now + delay_s)

    def _probe(self, now: float) -> list[ports.Envelope]:
        """Connect to the address of a contact or of a vanished node.

        Addresses of current members are excluded unless this node is isolated.
        """
        is_isolated = not self.active
        self._isolated_probes = self._isolated_probes + 1 if is_isolated else 0
        self._next_probe = now + self._probe_wait_s()
        own_id = self._environment.node_id
        if not is_isolated and not topology.is_relay_or_gateway(
            self._members.value, own_id
        ):
            return []
        candidates = self._candidates(is_isolated)
        if not candidates:
            return []
        address = self._environment.random.choice(candidates)
        self._offered_contacts = ()
        return [ports.Envelope(str(address), messages.LinkOpen(), address)]

    def _probe_wait_s(self) -> float:
        if not self._isolated_probes:
            return PROBE_INTERVAL_S
        return FIRST_PROBE_WAIT_S + backoff.full_jitter_s(
            self._isolated_probes,
            self._settings.backoff_base_s,
            self._settings.backoff_cap_s,
            self._environment.random,
        )

    def _candidates(self, is_isolated: bool) -> list[addresses.Address]:
        if self._offered_contacts and is_isolated:
            return list(self._offered_contacts)
        found = {lost.address for lost in self._lost.values()}
        members = self._members.value
        for contacts in self._environment.blackboard.state.value.contacts:
            found.update(
                contact.peer_address
                for contact in contacts.contacts
                if contact.node_id not in members.by_node
            )
        known = {member.peer_address for member in members.members}
        found.update(a for a in self._environment.settings.contacts)
        if not is_isolated:
            found -= known
        found.discard(self._environment.peer_address)
        return sorted(found, key=str)

    def _drop_expired(self, deadlines: dict[str, float], now: float) -> None:
        for peer in [p for p, deadline in deadlines.items() if deadline <= now]:
            del deadlines[peer]


def sample_contacts(
    environment: environment_lib.Environment, exclude: str, count: int
) -> tuple[records.Contact, ...]:
    """Return a few other live nodes of the own data centre.

    Args:
        environment: The node's environment.
        exclude: Node that must not be among the contacts.
        count: Largest number of contacts.
    """
    members = environment.blackboard.members.value
    data_centre = environment.settings.data_centre
    others = _other_nodes(members, data_centre, (environment.node_id, exclude))
    chosen = environment.random.sample(others, min(count, len(others)))
    return tuple(
        records.Contact(node_id, data_centre, address)
        for node_id, address in chosen
    )


def _other_nodes(
    members: directory.Snapshot, data_centre: str, exclude: Iterable[str]
) -> list[tuple[str, addresses.Address]]:
    return [
        (member.node_id, member.peer_address)
        for member in members.members
        if member.data_centre == data_centre
        and member.node_id not in exclude
        and not member.leaving
    ]
