"""Controller of the control links: a bounded number of peers per node."""

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
ASKED_LEASE_S = 3 * OPEN_INTERVAL_S
PUSH_LEASE_S = 6.0
BRIDGE_INTERVAL_S = 3.0
REFUSED_WAIT_S = 10.0
PROBE_INTERVAL_S = 2.0
FIRST_PROBE_WAIT_S = 0.2
LOST_KEPT_S = 900.0
MAX_LOST = 1024
PASSIVE_WAIT_S = 2.0
TOPOLOGY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class _Lost:
    """Address of a node that left the membership, to be probed."""

    address: addresses.Address
    deadline: float


@dataclasses.dataclass(frozen=True)
class _Retry:
    """Failed attempts to connect, and the time of the next one."""

    attempt: int
    deadline: float


class LinkController:
    """Decides with which peers control messages are exchanged."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings.streams
        self._members = environment.blackboard.members
        self._connected: set[str] = set()
        self._wanted: frozenset[str] = frozenset()
        self._tree: frozenset[str] = frozenset()
        self._asked: dict[str, float] = {}
        self._pushed: dict[str, float] = {}
        self._next_bridge = 0.0
        self._refused: dict[str, float] = {}
        self._opened: dict[str, float] = {}
        self._retries: dict[str, _Retry] = {}
        self._lost: dict[str, _Lost] = {}
        self._offered: tuple[addresses.Address, ...] = ()
        self._known = directory.Snapshot()
        self._next_topology = 0.0
        self._next_probe = 0.0
        self._lonely_probes = 0

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""
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
        return frozenset(self._connected & (wanted | self._asked.keys()))

    def eager(self, exclude: str = "") -> list[str]:
        """Return the links that messages are pushed on, sorted.

        These are the tree's, those that were asked for, and all links while
        the tree is broken here.
        """
        active = self.active
        if not self._tree <= active:
            return sorted(active - {exclude})
        chosen = active & (self._tree | self._pushed.keys())
        return sorted(chosen - {exclude})

    def lazy(self, exclude: str = "") -> list[str]:
        """Return the links that carry digests only, sorted."""
        return sorted(self.active - set(self.eager()) - {exclude})

    def ask_to_push(self, peer: str) -> list[ports.Envelope]:
        """Let messages be pushed on a link for a while, both ways."""
        self._note_push(peer)
        return [ports.Envelope(peer, messages.PushRequest())]

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """React to a message of a peer."""
        if isinstance(message, messages.LinkOpen):
            return self._take_open(peer)
        if isinstance(message, messages.PushRequest):
            self._note_push(peer)
        elif isinstance(message, messages.LinkClose):
            self._asked.pop(peer, None)
        else:
            self._take_refusal(peer, message)
        return []

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Open a link if the new peer is wanted or not a member yet."""
        self._connected.add(peer)
        self._retries.pop(peer, None)
        self._lost.pop(peer, None)
        is_stranger = peer not in self._members.value.by_node
        if is_stranger and len(self.active) < MAX_LINKS:
            self._wanted |= {peer}
        return self._open(peer) if peer in self._wanted else []

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Forget a stream; `tick` connects again if the peer is wanted."""
        self._connected.discard(peer)
        self._asked.pop(peer, None)
        self._opened.pop(peer, None)
        self._pushed.pop(peer, None)
        self._next_bridge = 0.0
        return []

    def tick(self) -> list[ports.Envelope]:
        """Follow the membership, connect, repeat opens and probe."""
        now = self._environment.clock.monotonic()
        self._drop_passed(self._asked, now)
        self._drop_passed(self._refused, now)
        self._drop_passed(self._pushed, now)
        envelopes = self._follow_members(now)
        for peer in sorted(self._wanted):
            if peer in self._connected:
                if self._opened.get(peer, 0.0) <= now:
                    envelopes += self._open(peer)
            elif peer not in self._refused:
                envelopes += self._connect(peer, now)
        if now >= self._next_probe:
            envelopes += self._probe(now)
        return envelopes + self._bridge(now)

    def _bridge(self, now: float) -> list[ports.Envelope]:
        """Ask all links to push while the tree is broken here."""
        is_whole = self._tree <= self.active
        if is_whole or now < self._next_bridge:
            return []
        self._next_bridge = now + BRIDGE_INTERVAL_S
        return [
            envelope
            for peer in sorted(self.active)
            for envelope in self.ask_to_push(peer)
        ]

    def _note_push(self, peer: str) -> None:
        now = self._environment.clock.monotonic()
        self._pushed[peer] = now + PUSH_LEASE_S

    def _take_open(self, peer: str) -> list[ports.Envelope]:
        is_known = peer in self._asked or peer in self._wanted
        if not is_known and len(self.active) >= MAX_LINKS:
            contacts = sample_contacts(
                self._environment, exclude=peer, count=CONTACTS_IN_REFUSAL
            )
            return [ports.Envelope(peer, messages.Refusal(contacts))]
        now = self._environment.clock.monotonic()
        self._asked[peer] = now + ASKED_LEASE_S
        return []

    def _take_refusal(self, peer: str, message: messages.Refusal) -> None:
        now = self._environment.clock.monotonic()
        wait_s = self._environment.random.uniform(0.5, 1.0) * REFUSED_WAIT_S
        self._refused[peer] = now + wait_s
        self._offered = tuple(c.peer_address for c in message.contacts)
        if not self.active:
            self._next_probe = now

    def _follow_members(self, now: float) -> list[ports.Envelope]:
        members = self._members.value
        if members is self._known or now < self._next_topology:
            return []
        self._next_topology = now + TOPOLOGY_INTERVAL_S
        self._remember_lost(members, now)
        self._known = members
        own_id = self._environment.node_id
        wanted = topology.neighbours(members, own_id)
        strangers = self._connected - members.by_node.keys()
        if not wanted & self._connected:
            # The first links stay until the topology's own links are up.
            strangers |= self._wanted & self._connected
        closed = sorted((self._wanted - wanted - strangers) & self._connected)
        self._wanted = wanted | strangers
        self._tree = topology.tree(members, own_id)
        for peer in closed:
            self._opened.pop(peer, None)
        return [ports.Envelope(p, messages.LinkClose()) for p in closed]

    def _remember_lost(self, members: directory.Snapshot, now: float) -> None:
        self._lost = {
            node_id: lost
            for node_id, lost in self._lost.items()
            if lost.deadline > now and node_id not in members.by_node
        }
        for member in self._known.members:
            if member.node_id in members.by_node or member.leaving:
                continue
            if len(self._lost) < MAX_LOST:
                self._lost[member.node_id] = _Lost(
                    member.peer_address, now + LOST_KEPT_S
                )

    def _open(self, peer: str) -> list[ports.Envelope]:
        now = self._environment.clock.monotonic()
        self._opened[peer] = now + OPEN_INTERVAL_S
        return [ports.Envelope(peer, messages.LinkOpen())]

    def _connect(self, peer: str, now: float) -> list[ports.Envelope]:
        member = self._members.value.by_node.get(peer)
        if member is None:
            self._wanted -= {peer}
            return []
        retry = self._retries.get(peer)
        if retry is None:
            # One side connects first, so that two nodes share one stream.
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
        """Try an address of which no member is known."""
        is_alone = not self.active
        self._lonely_probes = self._lonely_probes + 1 if is_alone else 0
        self._next_probe = now + self._probe_wait_s()
        own_id = self._environment.node_id
        if not is_alone and not topology.acts_for_others(
            self._members.value, own_id
        ):
            return []
        candidates = self._candidates(is_alone)
        if not candidates:
            return []
        address = self._environment.random.choice(candidates)
        self._offered = ()
        return [ports.Envelope(str(address), messages.LinkOpen(), address)]

    def _probe_wait_s(self) -> float:
        if not self._lonely_probes:
            return PROBE_INTERVAL_S
        return FIRST_PROBE_WAIT_S + backoff.full_jitter_s(
            self._lonely_probes,
            self._settings.backoff_base_s,
            self._settings.backoff_cap_s,
            self._environment.random,
        )

    def _candidates(self, is_alone: bool) -> list[addresses.Address]:
        if self._offered and is_alone:
            return list(self._offered)
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
        if not is_alone:
            found -= known
        found.discard(self._environment.peer_address)
        return sorted(found, key=str)

    def _drop_passed(self, deadlines: dict[str, float], now: float) -> None:
        for peer in [p for p, deadline in deadlines.items() if deadline <= now]:
            del deadlines[peer]


def sample_contacts(
    environment: environment_lib.Environment, exclude: str, count: int
) -> tuple[records.Contact, ...]:
    """Return a few other live nodes of the own data centre.

    Args:
        environment: The node's environment.
        exclude: Node that is not to be named.
        count: Largest number of contacts.
    """
    members = environment.blackboard.members.value
    data_centre = environment.settings.data_centre
    others = _others(members, data_centre, (environment.node_id, exclude))
    chosen = environment.random.sample(others, min(count, len(others)))
    return tuple(
        records.Contact(node_id, data_centre, address)
        for node_id, address in chosen
    )


def _others(
    members: directory.Snapshot, data_centre: str, exclude: Iterable[str]
) -> list[tuple[str, addresses.Address]]:
    return [
        (member.node_id, member.peer_address)
        for member in members.members
        if member.data_centre == data_centre
        and member.node_id not in exclude
        and not member.leaving
    ]
