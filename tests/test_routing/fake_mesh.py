"""Entry and target nodes on a virtual clock, with fake streams and servers.

While a call thread waits, the simulation advances and other calls may start.
Thus a single thread reproduces the interleavings of many, the same in each run.
"""

import collections
from collections.abc import Callable
import dataclasses
import queue
import random

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.model import state as state_lib
from trefoilwind.proxy import calls
from trefoilwind.proxy import dispatcher as dispatcher_lib
from trefoilwind.routing import guard as guard_lib
from trefoilwind.routing import keepers as keepers_lib
from trefoilwind.routing import key_client
from trefoilwind.routing import suspect_controller as suspect_lib
from trefoilwind.routing import table

STEP_S = 0.02
TICK_S = 0.1
LEASE_S = 12.0
TIMEOUT_S = 2.0
SLOTS = 4
REGIONS = {"perth-a": "perth", "perth-b": "perth", "pilbara-a": "pilbara"}
ORDERS = configuration_lib.ClassTarget(
    "orders", False, 0.2, 0.99, importance=2, timeout_s=TIMEOUT_S
)
LOOKUPS = configuration_lib.ClassTarget(
    "lookups", True, 0.2, 0.99, importance=1, timeout_s=TIMEOUT_S
)


def entry_of(target: configuration_lib.ClassTarget) -> table.Entry:
    """Return a route entry with a single version."""
    return table.Entry(
        "catalogue", "", "/", (), target, (table.Split("v1", 1.0),)
    )


@dataclasses.dataclass
class Faults:
    """Probabilities of faults, 0 to 1."""

    message_loss: float = 0.0
    message_repeat: float = 0.0
    unreachable: float = 0.0
    answer_loss: float = 0.0
    answer_cut: float = 0.0
    late_run: float = 0.0


class FakeBackend:
    """Backend server that counts executions and dies on poison requests."""

    def __init__(self, mesh: "FakeMesh"):
        self._mesh = mesh
        self.is_alive = True
        self.deaths = 0

    def call(self, request: calls.Request) -> calls.Answer | errors.CallError:
        if not self.is_alive:
            reason = errors.Reason.BACKEND_UNREACHABLE
            return errors.CallError(reason, "fake", not_run=True)
        headers = dict(request.headers)
        self._mesh.executions[headers["Request"]] += 1
        self._mesh.executions_by_call[headers["Call"]] += 1
        if "poison" in request.path:
            self.is_alive = False
            self.deaths += 1
            return errors.CallError(errors.Reason.BACKEND_FAILED, "fake")
        body = headers["Request"].encode()
        return calls.Answer(200, (), iter((body,)), lambda: None)


class _Waiter:
    """Waits by advancing the mesh."""

    def __init__(self, mesh: "FakeMesh"):
        self._mesh = mesh

    def wait(self, inbox: queue.SimpleQueue, until: float):
        while inbox.empty() and self._mesh.clock.monotonic() < until:
            self._mesh.step()
        return None if inbox.empty() else inbox.get()


class FakeNode:
    """Controllers, dispatcher and guard of one node."""

    def __init__(self, mesh: "FakeMesh", node_id: str, data_centre: str):
        self._mesh = mesh
        settings = settings_lib.NodeSettings(
            node_id=node_id,
            data_centre=data_centre,
            region=REGIONS[data_centre],
            log=settings_lib.LogSettings(url=""),
        )
        self.environment = environment_lib.make(
            settings, mesh.clock, seed=mesh.rng.randrange(1 << 30)
        )
        mesh.incarnation_count += 1
        self.environment.incarnation += mesh.incarnation_count
        self.member = members_lib.Member(
            node_id,
            self.environment.incarnation,
            1,
            data_centre,
            addresses.Address(),
            "catalogue",
            "v1",
            SLOTS,
        )
        self.backend = FakeBackend(mesh)
        self.publish_members = self.environment.blackboard.members.claim("test")
        self.publish_members(directory.snapshot((self.member,)))
        self.publish_state = self.environment.blackboard.state.claim("test")
        self.publish_state(mesh.state)
        self.keepers = keepers_lib.KeeperController(self.environment)
        self.suspects = suspect_lib.SuspectController(self.environment)
        self.guard = guard_lib.Guard(self.environment, _Waiter(mesh))
        self.guard.post = self.post
        keys = key_client.KeyClient(self.environment, _Waiter(mesh))
        keys.post = self.post
        self.observations: list[calls.Observation] = []
        self.dispatcher = dispatcher_lib.Dispatcher(
            self.environment, self, self, self.observations.append, keys
        )
        self.next_view_at = 0.0
        self.next_tick_at = 0.0
        self.connected: set[str] = set()

    @property
    def node_id(self) -> str:
        return self.environment.node_id

    @property
    def region(self) -> str:
        return self.environment.settings.region

    def post(self, message) -> None:
        """Handle a message from this node's call threads."""
        self.receive(self.node_id, message)

    def receive(self, sender: str, message) -> None:
        for controller in (self.keepers, self.suspects):
            if type(message) in controller.handles:
                self._send(controller.handle(sender, message))

    def tick(self) -> None:
        for controller in (self.keepers, self.suspects):
            for peer in self._mesh.reachable(self) - self.connected:
                self._send(controller.peer_connected(peer))
            self._send(controller.tick())
        self.connected = self._mesh.reachable(self)

    def run(self, request: calls.Request) -> calls.Answer | errors.CallError:
        """Run a call on the local backend server."""
        return self.guard.run(request, self.backend.call)

    def call(
        self, member: members_lib.Member, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        """Run a call on another node."""
        return self._mesh.call_remote(self, member.node_id, request)

    def _send(self, envelopes) -> None:
        for envelope in envelopes:
            data = codec.encode(envelope.message)
            self._mesh.post(self.node_id, envelope.peer, data)


class FakeMesh:
    """Nodes, the messages in transit between them, and execution counts."""

    def __init__(self, seed: int, faults: Faults | None = None):
        self.clock = clock_lib.VirtualClock()
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.nodes: dict[str, FakeNode] = {}
        self.incarnation_count = 0
        self.executions: collections.Counter[str] = collections.Counter()
        self.executions_by_call: collections.Counter[str] = (
            collections.Counter()
        )
        self.on_step: Callable[[], None] = lambda: None
        # Known to all nodes, as the log has it.
        self.state = state_lib.State()
        self._removed: dict[str, tuple[members_lib.Member, float]] = {}
        self._cut_since: float | None = None
        self._messages: list[tuple[float, str, str, bytes]] = []
        self._late_runs: list[tuple[float, Callable[[], None]]] = []
        self._call_count = 0

    def add(self, node_id: str, data_centre: str) -> FakeNode:
        self._configure(data_centre)
        node = FakeNode(self, node_id, data_centre)
        self.nodes[node_id] = node
        self._removed.pop(node_id, None)
        return node

    def _configure(self, data_centre: str) -> None:
        """Publish a configuration with a data centre unless it has it."""
        configured = self.state.configuration.data_centres
        if any(each.name == data_centre for each in configured):
            return
        # Without a region, so that calls go to the nodes of all regions alike.
        added = configuration_lib.DataCentre(data_centre, "")
        self.state = dataclasses.replace(
            self.state,
            version=self.state.version + 1,
            configuration=configuration_lib.Configuration((*configured, added)),
        )
        for node in self.nodes.values():
            node.publish_state(self.state)

    def kill(self, node_id: str) -> None:
        """Kill a node; its lease stays valid until it expires."""
        node = self.nodes.pop(node_id)
        until = self.clock.monotonic() + LEASE_S
        self._removed[node_id] = (node.member, until)

    def leave(self, node_id: str) -> None:
        """Begin a planned shutdown; `remove` completes it."""
        node = self.nodes[node_id]
        node.member = dataclasses.replace(node.member, leaving=True)

    def remove(self, node_id: str) -> None:
        node = self.nodes.pop(node_id)
        until = self.clock.monotonic() + LEASE_S
        self._removed[node_id] = (node.member, until)

    def cut_regions(self, is_cut: bool) -> None:
        self._cut_since = self.clock.monotonic() if is_cut else None

    def reaches(self, one: str, other: str) -> bool:
        if one not in self.nodes or other not in self.nodes:
            return False
        if self._cut_since is None:
            return True
        return self.nodes[one].region == self.nodes[other].region

    def reachable(self, node: FakeNode) -> set[str]:
        return {
            peer
            for peer in self.nodes
            if peer != node.node_id and self.reaches(node.node_id, peer)
        }

    def post(self, sender: str, receiver: str, data: bytes) -> None:
        for _ in range(1 + int(self._happens(self.faults.message_repeat))):
            if not self._happens(self.faults.message_loss):
                due = self.clock.monotonic() + self.rng.random() * 0.1
                self._messages.append((due, sender, receiver, data))

    def run(self, seconds: float) -> None:
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            self.step()

    def step(self) -> None:
        self.clock.advance(STEP_S)
        now = self.clock.monotonic()
        for node in list(self.nodes.values()):
            if now >= node.next_view_at:
                node.next_view_at = now + self.rng.uniform(0.2, 0.8)
                node.publish_members(self._view(node, now))
            if now >= node.next_tick_at:
                node.next_tick_at = now + TICK_S
                node.tick()
        self._deliver(now)
        due = [run for due_at, run in self._late_runs if due_at <= now]
        self._late_runs = [
            (due_at, run) for due_at, run in self._late_runs if due_at > now
        ]
        for run in due:
            run()
        self.on_step()

    def make_call(
        self,
        node_id: str,
        target: configuration_lib.ClassTarget,
        request_id: str,
        key: str = "",
        path: str = "/orders",
    ) -> tuple[str, calls.Answer | errors.CallError | bytes]:
        """Call through a node; return the call's id and its result.

        The result is the complete body, the answer if its body was truncated,
        or the error.
        """
        self._call_count += 1
        call_id = f"call-{self._call_count}"
        body = request_id.encode()
        request = calls.Request(
            service="catalogue",
            method="POST",
            path=path,
            headers=(("Request", request_id), ("Call", call_id)),
            body=calls.Body(buffered=body),
            body_length=len(body),
            target=target,
            deadline=self.clock.monotonic() + TIMEOUT_S,
            idempotency_key=key,
        )
        node = self.nodes[node_id]
        result = node.dispatcher.call(entry_of(target), request)
        if isinstance(result, errors.CallError):
            return call_id, result
        try:
            return call_id, b"".join(result.body)
        except calls.BodyCut:
            return call_id, result
        finally:
            result.close()

    def call_remote(
        self, source: FakeNode, node_id: str, request: calls.Request
    ) -> calls.Answer | errors.CallError:
        lost = errors.CallError(
            errors.Reason.PEER_UNREACHABLE, "fake.remote", node_id
        )
        is_down = not self.reaches(source.node_id, node_id)
        if is_down or self._happens(self.faults.unreachable):
            return dataclasses.replace(lost, not_run=True)
        node = self.nodes[node_id]
        if self._happens(self.faults.late_run):
            due_at = self.clock.monotonic() + self.rng.random() * TIMEOUT_S
            self._late_runs.append(
                (due_at, lambda: self._run_late(node, request))
            )
            return lost
        self.step()
        result = node.run(request)
        self.step()
        if isinstance(result, errors.CallError):
            return result
        if self._happens(self.faults.answer_loss):
            body = b"".join(result.body)
            result.close()
            return lost
        if self._happens(self.faults.answer_cut):
            body = b"".join(result.body)
            return dataclasses.replace(result, body=_cut(body))
        return result

    def _run_late(self, node: FakeNode, request: calls.Request) -> None:
        if request.deadline <= self.clock.monotonic():
            return
        if self.nodes.get(node.node_id) is not node:
            return
        result = node.run(request)
        if isinstance(result, calls.Answer):
            b"".join(result.body)
            result.close()

    def _view(self, node: FakeNode, now: float) -> directory.Snapshot:
        is_cut_seen = (
            self._cut_since is not None and now - self._cut_since > LEASE_S
        )
        members = [
            other.member
            for other in self.nodes.values()
            if not is_cut_seen or other.region == node.region
        ]
        members += [
            member for member, until in self._removed.values() if until > now
        ]
        return directory.snapshot(members)

    def _deliver(self, now: float) -> None:
        due = [item for item in self._messages if item[0] <= now]
        self._messages = [item for item in self._messages if item[0] > now]
        self.rng.shuffle(due)
        for _, sender, receiver, data in due:
            if self.reaches(sender, receiver):
                message = codec.decode(data, "fake.stream", sender)
                self.nodes[receiver].receive(sender, message)

    def _happens(self, probability: float) -> bool:
        return self.rng.random() < probability


def _cut(body: bytes):
    yield body[:1]
    raise calls.BodyCut("fake")
