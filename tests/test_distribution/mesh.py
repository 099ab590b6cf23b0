"""Simulated mesh: node controllers over in-memory streams, log and clock."""

import collections
import dataclasses
import random

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import ports
from trefoilwind.log import appender as appender_lib
from trefoilwind.log import port as port_lib
from trefoilwind.model import addresses
from trefoilwind.node import control as control_lib
from trefoilwind.node import log_actor
from trefoilwind.node import messages
from trefoilwind.rollout import controller as rollout_lib
from trefoilwind.standins import log_service

TICK_S = 0.2
SILENCE_TIMEOUT_S = 3.0
LATE_APPEND_DELAY_S = 2.0
MAX_REPEAT_DELAY_S = 4.0
ANNOUNCE_INTERVAL_S = 1.0
LOG_REGION = "perth"
REGIONS = {"perth-a": "perth", "perth-b": "perth", "pilbara-a": "pilbara"}


class NodeTarget:
    """Stub of the call path."""

    def set_backend(self, backend) -> None:
        """Ignore the backend server, as no calls are made."""

    def withdraw(self) -> None:
        """Ignore the withdrawal."""


class LogView:
    """Log port of one region, with the faults of the mesh."""

    def __init__(self, mesh: "Mesh", region: str):
        self._mesh = mesh
        self._region = region

    def append(self, payload: bytes) -> int | errors.LogError:
        """Append at once or with a delay; see `port.LogPort`."""
        if not self._is_reachable():
            return self._error(errors.Reason.LOG_UNAVAILABLE)
        if self._mesh.is_log_slow:
            due = self._mesh.clock.monotonic() + LATE_APPEND_DELAY_S
            self._mesh.late_appends.append((due, payload))
            return self._error(errors.Reason.LOG_UNKNOWN_RESULT)
        return self._mesh.log.append(payload)

    def read(
        self, offset: int, limit: int, wait_s: float = 0.0
    ) -> port_lib.Page | errors.LogError:
        """Read without waiting; see `port.LogPort`."""
        if not self._is_reachable() or self._times_out():
            return self._error(errors.Reason.LOG_UNAVAILABLE)
        return self._mesh.log.read(offset, limit)

    def first_offset(self) -> int | errors.LogError:
        """Return the first offset; see `port.LogPort`."""
        if not self._is_reachable():
            return self._error(errors.Reason.LOG_UNAVAILABLE)
        return self._mesh.log.first_offset()

    def _is_reachable(self) -> bool:
        return not self._mesh.is_split or self._region == LOG_REGION

    def _times_out(self) -> bool:
        return self._mesh.is_log_slow and self._mesh.rng.random() < 0.7

    def _error(self, reason: errors.Reason) -> errors.LogError:
        return errors.LogError(reason, "fake.log")


class Node:
    """One process of a node; a restart creates another instance."""

    def __init__(self, mesh: "Mesh", node_id: str, data_centre: str):
        self.mesh = mesh
        self.node_id = node_id
        self.region = REGIONS[data_centre]
        self.address = addresses.Address("127.0.0.1", mesh.next_port())
        settings = settings_lib.NodeSettings(
            node_id=node_id,
            data_centre=data_centre,
            region=self.region,
            log=settings_lib.LogSettings(
                url="",
                region=LOG_REGION,
                lease_s=20.0,
                checkpoint_records=12,
                checkpoint_interval_s=30.0,
            ),
            peer_address=self.address,
            contacts=mesh.contacts(),
        )
        seed = mesh.rng.randrange(1 << 30)
        self.environment = environment_lib.make(settings, mesh.clock, seed)
        log = LogView(mesh, self.region)
        self._reader = log_actor.Reader(self.environment, log)
        self.appender = appender_lib.Appender(
            log, mesh.clock, random.Random(seed)
        )
        self._next_read = 0.0
        self._next_announcement = 0.0
        self.announcement: messages.Announcement | None = None
        self.connected: set[str] = set()
        self.resume_at = 0.0
        self.inbox: collections.deque = collections.deque()
        self.control = control_lib.Control(
            self.environment,
            self,
            NodeTarget(),
            rollout_lib.RolloutController(self.environment),
            self._handle_log_message,
        )

    @property
    def board(self):
        """Blackboard of the node."""
        return self.environment.blackboard

    @property
    def is_paused(self) -> bool:
        """True while the process does not run."""
        return self.mesh.clock.monotonic() < self.resume_at

    @property
    def peers(self) -> tuple[str, ...]:
        """Ids of the connected peers, as the transport reports them."""
        return tuple(sorted(self.connected))

    def send(self, envelope: ports.Envelope) -> None:
        """Send like the transport: without a stream only connect."""
        if envelope.peer in self.connected:
            data = codec.encode(envelope.message)
            self.mesh.post(self.node_id, envelope.peer, data)
        elif envelope.address is not None:
            self.mesh.connect(self, envelope.address)

    def run(self) -> None:
        """Handle received messages, tick, announce, read the log and append."""
        while self.inbox:
            self.control.receive(self.inbox.popleft())
        self.control.receive(messages.Tick())
        now = self.mesh.clock.monotonic()
        if self.announcement is not None and now >= self._next_announcement:
            self._next_announcement = now + ANNOUNCE_INTERVAL_S
            self.control.receive(self.announcement)
        may_read = now >= self._next_read
        if may_read and not self._reader.read_page(self.control.receive, 0.0):
            self._next_read = now + self._reader.idle_wait_s
        self.appender.run(self.board.state.value.next_offset)

    def _handle_log_message(self, message) -> None:
        if isinstance(message, messages.Append):
            self.appender.add(
                message.record_id, message.payload, message.deadline
            )


@dataclasses.dataclass(frozen=True)
class _InFlight:
    sender: str
    receiver: str
    data: bytes
    due: float


class Mesh:
    """Nodes, their streams and the log, with injected faults.

    The faults are attributes that a test sets.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.clock = clock_lib.VirtualClock()
        self.log = log_service.MemoryLog()
        self.late_appends: list[tuple[float, bytes]] = []
        self.nodes: dict[str, Node] = {}
        self.data_centres: dict[str, str] = {}
        self.is_split = False
        self.is_log_slow = False
        self.message_loss = 0.0
        self.message_repeats = 0.0
        self.silent: dict[frozenset[str], float] = {}
        self._in_flight: list[_InFlight] = []
        self._port = 0

    def next_port(self) -> int:
        """Return a port that no process has used before."""
        self._port += 1
        return self._port

    def contacts(self) -> tuple[addresses.Address, ...]:
        """Return contacts for the settings of a new process."""
        return tuple(n.address for n in list(self.nodes.values())[:2])

    def start(self, node_id: str, data_centre: str) -> Node:
        """Start a process of a node with a backend server."""
        node = Node(self, node_id, data_centre)
        self.nodes[node_id] = node
        self.data_centres[node_id] = data_centre
        version = f"v{1 + len(self.nodes) % 2}"
        node.announcement = messages.Announcement("catalogue", version, 1)
        return node

    def kill(self, node_id: str) -> None:
        """End a process without notice to its peers."""
        del self.nodes[node_id]
        for other in self.nodes.values():
            self._disconnect(other, node_id)

    def pause(self, node_id: str, seconds: float) -> None:
        """Suspend a process for some seconds."""
        self.nodes[node_id].resume_at = self.clock.monotonic() + seconds

    def silence(self, one: str, other: str) -> None:
        """Drop all messages between two nodes until the stream times out."""
        deadline = self.clock.monotonic() + SILENCE_TIMEOUT_S
        self.silent[frozenset((one, other))] = deadline

    def split(self) -> None:
        """Partition the regions from each other."""
        self.is_split = True
        for node in self.nodes.values():
            for peer in node.peers:
                if not self._can_reach(node.node_id, peer):
                    self._disconnect(node, peer)

    def connect(self, node: Node, address: addresses.Address) -> None:
        """Open a stream to an address if a reachable node listens there."""
        peer = next(
            (x for x in self.nodes.values() if x.address == address), None
        )
        if peer is None or peer is node or peer.is_paused:
            return
        if not self._can_reach(node.node_id, peer.node_id):
            return
        for one, other in ((node, peer), (peer, node)):
            if other.node_id not in one.connected:
                one.connected.add(other.node_id)
                one.inbox.append(messages.PeerConnected(other.node_id))

    def post(self, sender: str, receiver: str, data: bytes) -> None:
        """Queue a message for delivery, once or twice."""
        now = self.clock.monotonic()
        self._in_flight.append(_InFlight(sender, receiver, data, now))
        if self.rng.random() < self.message_repeats:
            due = now + self.rng.uniform(0.0, MAX_REPEAT_DELAY_S)
            self._in_flight.append(_InFlight(sender, receiver, data, due))

    def entry_at(self, offset: int) -> port_lib.Entry:
        """Return a stored record, bypassing the faults of the log."""
        faults, self.log.faults = self.log.faults, log_service.LogFaults()
        entry = self.log.read(offset, 1).entries[0]
        self.log.faults = faults
        return entry

    def step(self) -> None:
        """Advance the clock by one tick and run all nodes."""
        self.clock.advance(TICK_S)
        now = self.clock.monotonic()
        for due, payload in list(self.late_appends):
            if due <= now:
                self.late_appends.remove((due, payload))
                self.log.append(payload)
        self._close_silent(now)
        self._deliver()
        for node in list(self.nodes.values()):
            if not node.is_paused:
                node.run()

    def _close_silent(self, now: float) -> None:
        for pair in [p for p, due in self.silent.items() if due <= now]:
            del self.silent[pair]
            one, other = sorted(pair)
            for node_id, peer in ((one, other), (other, one)):
                if node_id in self.nodes:
                    self._disconnect(self.nodes[node_id], peer)

    def _deliver(self) -> None:
        now = self.clock.monotonic()
        in_flight = [item for item in self._in_flight if item.due <= now]
        self._in_flight = [item for item in self._in_flight if item.due > now]
        if self.message_repeats:
            self.rng.shuffle(in_flight)
        for item in in_flight:
            node = self.nodes.get(item.receiver)
            if node is None or item.sender not in node.connected:
                continue
            if frozenset((item.sender, item.receiver)) in self.silent:
                continue
            if self.rng.random() < self.message_loss:
                continue
            message = codec.decode(item.data, "fake.stream", item.sender)
            node.inbox.append(messages.PeerMessage(item.sender, message))

    def _can_reach(self, one: str, other: str) -> bool:
        if not self.is_split:
            return True
        regions = {REGIONS[self.data_centres[x]] for x in (one, other)}
        return len(regions) == 1

    def _disconnect(self, node: Node, peer: str) -> None:
        if peer in node.connected:
            node.connected.discard(peer)
            node.inbox.append(messages.PeerLost(peer))
