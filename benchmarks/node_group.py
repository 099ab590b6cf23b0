"""Runs nodes of one data centre in one process, without the call path."""

import collections
import dataclasses
import os
import random
import resource
import threading
import time
from typing import Any

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import frames
from trefoilwind.distribution import messages as distribution_messages
from trefoilwind.distribution import ports
from trefoilwind.distribution import stream as stream_lib
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.log import fold
from trefoilwind.log import http_client
from trefoilwind.membership import messages as membership_messages
from trefoilwind.model import addresses
from trefoilwind.model import members as members_lib
from trefoilwind.model import state as state_lib
from trefoilwind.node import control as control_lib
from trefoilwind.node import control_actor
from trefoilwind.node import log_actor
from trefoilwind.node import messages
from trefoilwind.rollout import controller as rollout_lib

TICK_S = 0.1
NAIVE_PUSH_S = 1.0
NAIVE_LINKS = 4
NAIVE_WAIT_S = 2.0
LOG_REGION = "perth"
# Longer than a run, as backend servers do not repeat their announcement.
ANNOUNCEMENT_LEASE_S = 3600.0


@dataclasses.dataclass(frozen=True)
class Group:
    """Nodes that one process of the benchmark runs.

    Attributes:
        data_centre: Data centre of all its nodes.
        region: Region of the data centre.
        name: Prefix of the ids of its nodes.
        count: Number of nodes.
        log_url: URL of the log in this region.
        is_naive: True for the baseline design.
    """

    data_centre: str
    region: str
    name: str
    count: int
    log_url: str
    is_naive: bool


@dataclasses.dataclass(frozen=True)
class Usage:
    """Counters since a process started, with its current memory and threads."""

    control_bytes: int
    heartbeat_bytes: int
    region_link_bytes: int
    cpu_s: float
    rss_bytes: int
    threads: int


class _Target:
    """Placeholder for the call path."""

    def set_backend(self, backend: Any) -> None:
        """Ignore the backend server."""


class _Counters:
    """Counts the bytes that the process sends on peer streams."""

    def __init__(self, region: str):
        self._region = region
        self._lock = threading.Lock()
        self.by_kind: collections.Counter[str] = collections.Counter()

    def install(self) -> None:
        """Count the frames sent on all streams of the process."""
        original = stream_lib.PeerStream.send

        def send(stream: stream_lib.PeerStream, frame: frames.Frame):
            size = len(frames.encode(frame))
            is_control = isinstance(frame, frames.Control)
            kind = "control" if is_control else "heartbeat"
            is_other_region = stream.peer and not stream.peer.startswith(
                self._region
            )
            with self._lock:
                self.by_kind[kind] += size
                self.by_kind["region"] += size if is_other_region else 0
            return original(stream, frame)

        stream_lib.PeerStream.send = send


def _settings(
    group: Group, node_id: str, contacts: tuple[addresses.Address, ...]
) -> settings_lib.NodeSettings:
    return settings_lib.NodeSettings(
        node_id=node_id,
        data_centre=group.data_centre,
        region=group.region,
        log=settings_lib.LogSettings(url=group.log_url, region=LOG_REGION),
        contacts=contacts,
        membership=settings_lib.MembershipSettings(
            announcement_lease_s=ANNOUNCEMENT_LEASE_S
        ),
    )


class TreeNode:
    """Node with the production controllers and real sockets."""

    def __init__(
        self,
        group: Group,
        node_id: str,
        contacts: tuple[addresses.Address, ...],
    ):
        settings = _settings(group, node_id, contacts)
        clock = clock_lib.SystemClock()
        self.environment = environment_lib.make(settings, clock)
        self.applied: dict[int, float] = {}
        self.environment.blackboard.state.subscribe(self._record_time)
        self._stopped = threading.Event()
        self._transport = transport_lib.Transport(self.environment)
        self.address = self._transport.listen()
        log = http_client.HttpLog(group.log_url, settings.log.timeout_s)
        self._log_actor = log_actor.LogActor.start(self.environment, log)
        control = control_lib.Control(
            self.environment,
            self._transport,
            _Target(),
            rollout_lib.RolloutController(self.environment),
            self._log_actor.tell,
        )
        self._actor = control_actor.ControlActor.start(control)
        self._reader = log_actor.Reader(
            self.environment,
            http_client.HttpLog(group.log_url, settings.log.timeout_s),
        )
        self._transport.on_message = lambda peer, message: self._send(
            messages.PeerMessage(peer, message)
        )
        self._transport.on_connected = lambda peer: self._send(
            messages.PeerConnected(peer)
        )
        self._transport.on_lost = lambda peer: self._send(
            messages.PeerLost(peer)
        )
        self._transport.start()
        self.announce(16)
        for target in (self._tick, self._read):
            threading.Thread(target=target, daemon=True).start()

    @property
    def version(self) -> int:
        """Configuration version that the node has applied."""
        return self.environment.blackboard.state.value.version

    @property
    def known_incarnations(self) -> dict[str, int]:
        """Incarnations of all listed members by node id."""
        members = self.environment.blackboard.members.value.members
        return {m.node_id: m.incarnation for m in members}

    def announce(self, slots: int) -> None:
        """Announce the backend server with a number of slots."""
        self._send(messages.Announcement("catalogue", "v1", 1, slots=slots))

    def stop(self) -> None:
        """Stop the node immediately."""
        self._stopped.set()
        self._transport.stop()
        self._actor.stop(block=False)
        self._log_actor.stop(block=False)

    def _send(self, message: Any) -> None:
        if not self._stopped.is_set():
            self._actor.tell(message)

    def _record_time(self, state: state_lib.State) -> None:
        self.applied.setdefault(state.version, time.monotonic())

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._send(messages.Tick())

    def _read(self) -> None:
        while not self._stopped.is_set():
            if not self._reader.read_page(self._send_and_wait):
                self._stopped.wait(self._reader.idle_wait_s)

    def _send_and_wait(self, message: Any) -> None:
        if not self._stopped.is_set():
            self._actor.ask(message)


class NaiveNode:
    """Baseline that reads the log and pushes its full state every second."""

    def __init__(
        self,
        group: Group,
        node_id: str,
        contacts: tuple[addresses.Address, ...],
    ):
        settings = _settings(group, node_id, contacts)
        clock = clock_lib.SystemClock()
        self.environment = environment_lib.make(settings, clock)
        self.applied: dict[int, float] = {}
        self._state = state_lib.State()
        self._members: dict[str, members_lib.Member] = {}
        self._stopped = threading.Event()
        self._transport = transport_lib.Transport(self.environment)
        self.address = self._transport.listen()
        self._log = http_client.HttpLog(group.log_url, settings.log.timeout_s)
        self._transport.on_message = self._handle_message
        self._transport.start()
        self._sequence = 0
        self.announce(16)
        for target in (self._push, self._read):
            threading.Thread(target=target, daemon=True).start()

    @property
    def version(self) -> int:
        """Configuration version that the node has applied."""
        return self._state.version

    @property
    def known_incarnations(self) -> dict[str, int]:
        """Incarnations of all listed members by node id."""
        return {m.node_id: m.incarnation for m in list(self._members.values())}

    def announce(self, slots: int) -> None:
        """Announce the backend server with a number of slots."""
        self._sequence += 1
        settings = self.environment.settings
        self._members[settings.node_id] = members_lib.Member(
            settings.node_id,
            self.environment.incarnation,
            self._sequence,
            settings.data_centre,
            self.address,
            "catalogue",
            "v1",
            slots,
            region=settings.region,
        )

    def stop(self) -> None:
        """Stop the node immediately."""
        self._stopped.set()
        self._transport.stop()

    def _handle_message(self, peer: str, message: Any) -> None:
        if not isinstance(message, membership_messages.MemberUpdate):
            return
        for entry in message.leased_members:
            current = self._members.get(entry.member.node_id)
            if current is None or current.precedence < entry.member.precedence:
                self._members[entry.member.node_id] = entry.member

    def _push(self) -> None:
        rng = random.Random(self.environment.node_id)
        while not self._stopped.wait(NAIVE_PUSH_S):
            self._connect(rng)
            peers = self._transport.peers
            if not peers:
                continue
            leased_members = tuple(
                membership_messages.LeasedMember(m, 60.0)
                for m in list(self._members.values())
            )
            state = codec.encode(self._state)
            for message in (
                membership_messages.MemberUpdate(leased_members),
                distribution_messages.StateTransfer(state),
            ):
                peer = rng.choice(peers)
                self._transport.send(ports.Envelope(peer, message))

    def _connect(self, rng: random.Random) -> None:
        own_id = self.environment.node_id
        candidates = {
            str(m.peer_address): m.peer_address
            for m in list(self._members.values())
            if m.node_id != own_id
        }
        for contact in self.environment.settings.contacts:
            candidates[str(contact)] = contact
        if candidates and len(self._transport.peers) < NAIVE_LINKS:
            address = rng.choice(list(candidates.values()))
            self._transport.connect_later(str(address), address)

    def _read(self) -> None:
        while not self._stopped.is_set():
            offset = self._state.next_offset
            page = self._log.read(offset, log_actor.PAGE_RECORDS, NAIVE_WAIT_S)
            if not hasattr(page, "entries"):
                self._stopped.wait(log_actor.IDLE_WAIT_S)
                continue
            state = self._state
            for entry in page.entries:
                state = fold.fold(state, entry.offset, entry.payload).state
            if state.version != self._state.version:
                self.applied[state.version] = time.monotonic()
            self._state = state


class Worker:
    """Runs a group of nodes as commanded by the main process."""

    def __init__(self, group: Group):
        self._group = group
        self._make = NaiveNode if group.is_naive else TreeNode
        self._counters = _Counters(group.region)
        self._counters.install()
        self._nodes: dict[str, Any] = {}
        self._contacts: tuple[addresses.Address, ...] = ()
        self._slots = 16
        self._churn_stop = threading.Event()

    def start_first(self, contacts: tuple[addresses.Address, ...]):
        """Start one node and return its address."""
        self._contacts = contacts
        return self._start(0).address

    def start_rest(self, contacts: tuple[addresses.Address, ...]) -> None:
        """Start all other nodes without waiting in between."""
        self._contacts = contacts
        for index in range(1, self._group.count):
            self._start(index)

    def restart_half(self) -> None:
        """Stop every second node, then start these nodes again."""
        indexes = range(1, self._group.count, 2)
        for index in indexes:
            self._nodes[self._id(index)].stop()
        for index in indexes:
            self._start(index)

    def incarnations(self) -> dict[str, int]:
        """Return the incarnations of this group's nodes by node id."""
        return {
            node_id: node.environment.incarnation
            for node_id, node in self._nodes.items()
        }

    def is_settled(self, version: int, incarnations: dict[str, int]) -> bool:
        """Return True if all nodes applied the version and list all members."""
        return all(
            node.version == version and node.known_incarnations == incarnations
            for node in self._nodes.values()
        )

    def applied(self, version: int) -> list[float]:
        """Return the monotonic times at which the nodes applied a version."""
        nodes = self._nodes.values()
        return [n.applied[version] for n in nodes if version in n.applied]

    def start_churn(self, changes_per_node_s: float) -> None:
        """Start announcing changed slots of random nodes at a steady rate."""
        self._churn_stop.clear()
        rng = random.Random(self._group.name)
        interval_s = 1.0 / (changes_per_node_s * self._group.count)

        def churn() -> None:
            while not self._churn_stop.wait(interval_s):
                self._slots += 1
                node = self._nodes[self._id(rng.randrange(self._group.count))]
                node.announce(self._slots)

        threading.Thread(target=churn, daemon=True).start()

    def stop_churn(self) -> None:
        """Stop the announcements of changed slots."""
        self._churn_stop.set()

    def usage(self) -> Usage:
        """Return the counters of this process."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
        by_kind = self._counters.by_kind
        return Usage(
            control_bytes=by_kind["control"],
            heartbeat_bytes=by_kind["heartbeat"],
            region_link_bytes=by_kind["region"],
            cpu_s=used.ru_utime + used.ru_stime,
            rss_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
            threads=threading.active_count(),
        )

    def _id(self, index: int) -> str:
        return f"{self._group.name}-{index:03d}"

    def _start(self, index: int):
        node_id = self._id(index)
        node = self._make(self._group, node_id, self._contacts)
        self._nodes[node_id] = node
        return node


def serve(connection: Any, group: Group) -> None:
    """Run commands of the pipe until it sends None or is closed."""
    worker = Worker(group)
    while True:
        try:
            command = connection.recv()
        except EOFError:
            return
        if command is None:
            return
        name, arguments = command
        connection.send(getattr(worker, name)(*arguments))
