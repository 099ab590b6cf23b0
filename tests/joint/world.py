"""Simulation of complete nodes on one thread with a virtual clock.

Everything above the sockets is the production code. Streams, the log and the
backend servers are small in-memory fakes with faults that the tests set.
"""

from collections.abc import Callable
import dataclasses
import random

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import ports
from trefoilwind.log import appender as appender_lib
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.model import records
from trefoilwind.node import control as control_lib
from trefoilwind.node import log_actor
from trefoilwind.node import messages
from trefoilwind.proxy import calls
from trefoilwind.proxy import dispatcher as dispatcher_lib
from trefoilwind.proxy import target as target_lib
from trefoilwind.rollout import controller as rollout_lib
from trefoilwind.standins import log_service

TICK_S = 0.1
ANNOUNCE_TICKS = 10
CHECKPOINT_INTERVAL_S = 20.0
REGIONS = {"perth-a": "perth", "perth-b": "perth", "pilbara-a": "pilbara"}


@dataclasses.dataclass
class FakeBackend:
    """A backend server that records the requests it ran.

    Attributes:
        version: Its version, which is part of each answer.
        fail_share: Share of calls that it answers with status 500.
        crashes_on: Prefix of the request ids that crash it; empty for none.
        is_alive: False after a crash.
    """

    version: str
    rng: random.Random
    fail_share: float = 0.0
    crashes_on: str = ""
    is_alive: bool = True
    executed: list[str] = dataclasses.field(default_factory=list)

    def call(self, request: calls.Request) -> calls.Answer | errors.CallError:
        """Run a request like `backend.BackendClient.call`."""
        if not self.is_alive:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return errors.CallError(reason, "fake", not_run=True)
        request_id = dict(request.headers)["Request-Id"]
        self.executed.append(request_id)
        if self.crashes_on and request_id.startswith(self.crashes_on):
            self.is_alive = False
            return errors.CallError(errors.Reason.BACKEND_FAILED, "fake")
        status = 500 if self.rng.random() < self.fail_share else 200
        body = f"{self.version} {request_id}".encode()
        return calls.Answer(status, (), iter((body,)), lambda: None)


class FakeTransport:
    """Streams of one node with the interface used by its controllers."""

    def __init__(self, world: "World", node_id: str):
        self._world = world
        self._node_id = node_id
        self.connected: set[str] = set()

    @property
    def peers(self) -> tuple[str, ...]:
        """Ids of the connected peers, sorted."""
        return tuple(sorted(self.connected))

    def send(self, envelope: ports.Envelope) -> None:
        """Queue a message, or connect first like the real transport."""
        if envelope.peer in self.connected:
            data = codec.encode(envelope.message)
            self._world.post(self._node_id, envelope.peer, data)
        else:
            self.connect_later(envelope.peer, envelope.address)

    def connect_later(
        self, peer: str, address: addresses.Address | None = None
    ) -> None:
        """Connect to a peer if its address is known and reachable."""
        member = self._world.nodes[
            self._node_id
        ].environment.blackboard.members.value.by_node.get(peer)
        target = address or (member.peer_address if member else None)
        if target is not None:
            self._world.connect(self._node_id, target)


class FakeRemote:
    """Calls to other nodes, without sockets."""

    def __init__(self, world: "World", node_id: str):
        self._world = world
        self._node_id = node_id

    def call(
        self, member: members_lib.Member, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        """Run a request on the node of a member."""
        node = self._world.nodes.get(member.node_id)
        lost = errors.CallError(
            errors.Reason.PEER_UNREACHABLE, "fake.remote", member.node_id
        )
        if node is None or not self._world.reaches(
            self._node_id, member.node_id
        ):
            return dataclasses.replace(lost, not_run=True)
        self._world.clock.advance(self._world.one_way_latency_s)
        result = node.target.run(request)
        self._world.clock.advance(self._world.one_way_latency_s)
        if self._world.rng.random() < self._world.answer_loss:
            # The target node has sent the complete answer, so it releases it.
            _read(result)
            return lost
        return result


def _read(
    result: calls.Answer | errors.CallError,
) -> calls.Answer | errors.CallError:
    """Read an answer and release it, like the server for callers."""
    if isinstance(result, errors.CallError):
        return result
    body = b"".join(result.body)
    result.close()
    return dataclasses.replace(result, body=iter((body,)))


class Node:
    """One simulated node."""

    def __init__(
        self, world: "World", node_id: str, data_centre: str, port: int
    ):
        self.address = addresses.Address("127.0.0.1", port)
        settings = settings_lib.NodeSettings(
            node_id=node_id,
            data_centre=data_centre,
            region=REGIONS[data_centre],
            log=settings_lib.LogSettings(
                url="",
                region="perth",
                checkpoint_interval_s=CHECKPOINT_INTERVAL_S,
            ),
            peer_address=self.address,
            contacts=world.contacts(),
        )
        self.environment = environment_lib.make(
            settings, world.clock, seed=world.rng.randrange(1 << 30)
        )
        self.transport = FakeTransport(world, node_id)
        self.target = target_lib.Target(self.environment)
        self.rollout = rollout_lib.RolloutController(self.environment)
        self._appender = appender_lib.Appender(
            world.log, world.clock, random.Random(port)
        )
        self._reader = log_actor.Reader(self.environment, world.log)
        self.control = control_lib.Control(
            self.environment,
            self.transport,
            self.target,
            self.rollout,
            self._append_record,
        )
        self.dispatcher = dispatcher_lib.Dispatcher(
            self.environment,
            self.target,
            FakeRemote(world, node_id),
            self.rollout.observe,
        )
        self.dispatcher.keys.post = self._post
        self.target.guard.post = self._post
        self.backend: FakeBackend | None = None
        self.announcement: messages.Announcement | None = None

    @property
    def version(self) -> int:
        """Configuration version in force on this node."""
        return self.environment.blackboard.state.value.version

    def announce(self) -> None:
        """Announce the backend server if it is alive."""
        if self.announcement is None or not self.backend.is_alive:
            return
        self.control.receive(self.announcement)
        self.target.set_backend(self.backend)

    def run_log_threads(self) -> None:
        """Read the log and append to it like the node's log threads."""
        self._reader.read_page(self.control.receive, wait_s=0.0)
        offset = self.environment.blackboard.state.value.next_offset
        self._appender.run(offset)

    def _post(self, message) -> None:
        """Handle a message of this node's call threads."""
        own_id = self.environment.node_id
        self.control.receive(messages.PeerMessage(own_id, message))

    def _append_record(self, message) -> None:
        if isinstance(message, messages.Append):
            self._appender.add(
                message.record_id, message.payload, message.deadline
            )


class World:
    """Simulated nodes with their network and the log."""

    def __init__(self, seed: int = 0):
        self.clock = clock_lib.VirtualClock()
        self.rng = random.Random(seed)
        self.log = log_service.MemoryLog()
        self.nodes: dict[str, Node] = {}
        self.backends: list[FakeBackend] = []
        self.regions_disconnected = False
        self.message_loss = 0.0
        self.message_repeats = 0.0
        # Share of the queued messages that each tick delays to the next one.
        self.message_delay = 0.0
        self.answer_loss = 0.0
        self.one_way_latency_s = 0.0
        self._queue: list[tuple[str, str, bytes]] = []
        self._ticks = 0
        self._next_port = 1
        self._next_request = 0
        self._next_record = 0

    def contacts(self) -> tuple[addresses.Address, ...]:
        """Return the contacts for the settings of a new node."""
        return tuple(node.address for node in list(self.nodes.values())[:2])

    def start_node(
        self, node_id: str, data_centre: str, service: str, version: str
    ) -> Node:
        """Start a node and the backend server beside it."""
        node = Node(self, node_id, data_centre, self._next_port)
        self._next_port += 1
        self.nodes[node_id] = node
        node.backend = FakeBackend(version, random.Random(self._next_port))
        self.backends.append(node.backend)
        node.announcement = messages.Announcement(service, version, 1)
        node.announce()
        return node

    def kill(self, node_id: str) -> None:
        """Remove a node and its backend server without a shutdown."""
        del self.nodes[node_id]
        for other in self.nodes.values():
            if node_id in other.transport.connected:
                self._drop_stream(other, node_id)

    def reaches(self, one: str, other: str) -> bool:
        """Return True if two nodes can exchange messages."""
        if one not in self.nodes or other not in self.nodes:
            return False
        return not self.regions_disconnected or self._region(
            one
        ) == self._region(other)

    def connect(self, node_id: str, address: addresses.Address) -> None:
        """Open a stream from a node to an address."""
        peer = next(
            (n for n, x in self.nodes.items() if x.address == address), None
        )
        if peer is None or peer == node_id or not self.reaches(node_id, peer):
            return
        for one, other in ((node_id, peer), (peer, node_id)):
            node = self.nodes[one]
            if other not in node.transport.connected:
                node.transport.connected.add(other)
                node.control.receive(messages.PeerConnected(other))

    def split_regions(self) -> None:
        """Disconnect the regions and report the lost streams."""
        self.regions_disconnected = True
        for node_id, node in self.nodes.items():
            for peer in list(node.transport.connected):
                if not self.reaches(node_id, peer):
                    self._drop_stream(node, peer)

    def post(self, sender: str, receiver: str, data: bytes) -> None:
        """Queue a message for delivery."""
        self._queue.append((sender, receiver, data))
        if self.rng.random() < self.message_repeats:
            self._queue.append((sender, receiver, data))

    def run(self, seconds: float) -> None:
        """Advance the simulation by a number of seconds."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Run until a condition holds; return False at the timeout."""
        for _ in range(round(seconds / TICK_S)):
            if condition():
                return True
            self.step()
        return condition()

    def step(self) -> None:
        """Run one tick on every node and deliver the queued messages."""
        self.clock.advance(TICK_S)
        self._ticks += 1
        for node in list(self.nodes.values()):
            self._connect_contacts(node)
            if self._ticks % ANNOUNCE_TICKS == 0:
                node.announce()
            node.control.receive(messages.Tick())
            node.run_log_threads()
        self._deliver()

    def append(self, body: records.Body) -> str:
        """Append an operator's record; return its id."""
        self._next_record += 1
        record_id = f"operator/{self._next_record}"
        self.log.append(records.encode(record_id, "operator", body))
        return record_id

    def publish(
        self, base: int, configuration: configuration_lib.Configuration
    ) -> int:
        """Append a publication; return its offset."""
        self.append(records.Publication(base, configuration))
        return self.log.end_offset - 1

    def call(
        self,
        entry_id: str,
        service: str,
        method: str = "GET",
        path: str = "/",
        request_id: str = "",
    ) -> tuple[str, calls.Answer | errors.CallError]:
        """Make a call through a node; return the request id and the result."""
        self._next_request += 1
        request_id = request_id or f"request-{self._next_request}"
        dispatcher = self.nodes[entry_id].dispatcher
        entry = dispatcher.route(service, method, path)
        if entry is None:
            reason = errors.Reason.NO_ROUTE
            return request_id, errors.CallError(reason, "route", not_run=True)
        request = calls.Request(
            service=service,
            method=method,
            path=path,
            headers=(("Request-Id", request_id),),
            body=calls.Body(buffered=b""),
            body_length=0,
            target=entry.target,
            deadline=self.clock.monotonic() + entry.target.timeout_s,
        )
        return request_id, _read(dispatcher.call(entry, request))

    def executions(self, request_id: str) -> int:
        """Return how many times backend servers ran a request."""
        return sum(
            backend.executed.count(request_id) for backend in self.backends
        )

    def _region(self, node_id: str) -> str:
        return self.nodes[node_id].environment.settings.region

    def _drop_stream(self, node: Node, peer: str) -> None:
        node.transport.connected.discard(peer)
        node.control.receive(messages.PeerLost(peer))

    def _connect_contacts(self, node: Node) -> None:
        if not node.transport.connected:
            for contact in node.environment.settings.contacts:
                self.connect(node.environment.node_id, contact)

    def _deliver(self) -> None:
        queued, self._queue = self._queue, []
        self.rng.shuffle(queued)
        for sender, receiver, data in queued:
            if not self.reaches(sender, receiver):
                continue
            if self.rng.random() < self.message_delay:
                self._queue.append((sender, receiver, data))
                continue
            if self.rng.random() < self.message_loss:
                continue
            message = codec.decode(data, "fake.stream", sender)
            node = self.nodes[receiver]
            node.control.receive(messages.PeerMessage(sender, message))
