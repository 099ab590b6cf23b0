"""Rollout controllers with reordered, lost and repeated messages."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind import settings as settings_lib
from trefoilwind.log import fold
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.proxy import calls
from trefoilwind.rollout import controller as controller_lib
from trefoilwind.rollout import stages

_LENGTH_S = 120.0
_NAMES = ("a1", "a2", "b1", "c1")
_REGIONS = {"a": "east", "b": "east", "c": "west"}


def _configuration() -> configuration_lib.Configuration:
    lookup = configuration_lib.ClassTarget("lookup", True, 0.2, 0.99)
    route = configuration_lib.Route("/", "lookup")
    return configuration_lib.Configuration(
        data_centres=tuple(
            configuration_lib.DataCentre(name, region)
            for name, region in _REGIONS.items()
        ),
        classes=(lookup,),
        services=(configuration_lib.Service("s", "v1", (route,)),),
    )


def _members() -> directory.Snapshot:
    return directory.snapshot(
        members_lib.Member(
            node_id=name,
            incarnation=1,
            sequence=1,
            data_centre=name[0],
            region=_REGIONS[name[0]],
            peer_address=addresses.Address(),
            service="s",
            version="v2" if name in ("a2", "b1") else "v1",
            slots=4,
        )
        for name in _NAMES
    )


class _Node:
    """A controller, the part of the log that it has read, and its results."""

    def __init__(self, name: str, clock: clock_lib.Clock):
        settings = settings_lib.NodeSettings(
            node_id=name,
            data_centre=name[0],
            region=_REGIONS[name[0]],
            log=settings_lib.LogSettings(url=""),
        )
        self.environment = environment_lib.make(settings, clock, seed=1)
        board = self.environment.blackboard
        self.publish_state = board.state.claim("test")
        board.members.claim("test")(_members())
        self.controller = controller_lib.RolloutController(self.environment)
        self.unsent: list[bytes] = []
        self.braked = False
        self.environment.events.subscribe(
            events.MOVE_BRAKED, self._record_brake
        )

    def _record_brake(self, event: events.Event) -> None:
        self.braked = True

    @property
    def state(self) -> state_lib.State:
        return self.environment.blackboard.state.value


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Four nodes in three data centres, one move, a log and a network."""

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.VirtualClock()
        self.rng = random.Random(0)
        self.log: list[bytes] = []
        self.is_log_available = True
        self.in_flight: list[tuple[str, str, bytes]] = []
        self.nodes = {name: _Node(name, self.clock) for name in _NAMES}
        now = self.clock.wall()
        publication = records.Publication(-1, _configuration())
        request = records.MoveRequest("s", "v2", now + _LENGTH_S, now)
        self.log.append(records.encode("p", "operator", publication))
        self.log.append(records.encode("m", "operator", request))
        for node in self.nodes.values():
            self._read(node, 2)
            for peer in _NAMES:
                if peer != node.environment.node_id:
                    self._send(node, node.controller.peer_connected(peer))

    def _send(self, node: _Node, envelopes) -> None:
        sender = node.environment.node_id
        for envelope in envelopes:
            data = codec.encode(envelope.message)
            self.in_flight.append((sender, envelope.peer, data))

    def _read(self, node: _Node, count: int) -> None:
        state = node.state
        for _ in range(count):
            if state.next_offset >= len(self.log):
                break
            offset = state.next_offset
            state = fold.fold(state, offset, self.log[offset]).state
        node.publish_state(state)

    def _deliver_message(self, index: int, is_repeated: bool) -> None:
        sender, receiver, data = self.in_flight[index]
        if not is_repeated:
            del self.in_flight[index]
        node = self.nodes[receiver]
        message = codec.decode(data, "test", sender)
        self._send(node, node.controller.handle(sender, message))
        self._check_share(node)

    def _tick(self) -> None:
        for name, node in self.nodes.items():
            self._send(node, node.controller.tick())
            for outcome in node.controller.drain_outcomes():
                stamp_ms = int(outcome.at * 1000)
                record_id = f"outcome/m/{name}/{stamp_ms}"
                node.unsent.append(records.encode(record_id, name, outcome))
            if self.is_log_available:
                self.log += node.unsent
                node.unsent.clear()

    def _call(self, name: str, count: int, failing: float) -> None:
        node = self.nodes[name]
        table = node.environment.blackboard.shares.value
        share = max((e.share for e in table.entries), default=0.0)
        for _ in range(count):
            is_new = self.rng.random() < share
            target = self.rng.choice(("a2", "b1") if is_new else ("a1", "c1"))
            node.controller.observe(
                calls.Observation(
                    move_id="m",
                    service="s",
                    half="",
                    path_prefix="/",
                    class_name="lookup",
                    version="v2" if is_new else "v1",
                    node_id=target,
                    latency_s=0.01,
                    failed=is_new and self.rng.random() < failing,
                    is_new=is_new,
                )
            )

    @stateful.rule(
        name=strategies.sampled_from(_NAMES),
        failing=strategies.sampled_from([0.0, 0.02, 0.6]),
    )
    def call(self, name, failing):
        self._call(name, 300, failing)

    @stateful.rule(
        seconds=strategies.integers(5, 30),
        failing=strategies.sampled_from([0.0, 0.0, 0.6]),
    )
    def run_for_a_while(self, seconds, failing):
        for _ in range(seconds):
            for name in _NAMES:
                self._call(name, 10, failing)
            self.clock.advance(1.0)
            self._tick()
            self.deliver_all()

    @stateful.rule(
        result=strategies.sampled_from(list(moves.Result)),
        late_s=strategies.sampled_from([0.0, 3.0, 200.0]),
    )
    def another_node_appends(self, result, late_s):
        at = self.clock.wall() + late_s
        outcome = moves.Outcome("m", result, "other", at=at)
        record_id = f"other/{len(self.log)}"
        self.log.append(records.encode(record_id, "other", outcome))

    @stateful.rule(seconds=strategies.sampled_from([0.5, 1.0, 5.0, 20.0]))
    def advance_time(self, seconds):
        self.clock.advance(seconds)
        self._tick()

    @stateful.rule(
        index=strategies.integers(0, 10_000), repeats=strategies.booleans()
    )
    def deliver(self, index, repeats):
        if self.in_flight:
            self._deliver_message(index % len(self.in_flight), repeats)

    @stateful.rule()
    def deliver_all(self):
        for _ in range(len(self.in_flight)):
            self._deliver_message(
                self.rng.randrange(len(self.in_flight)), False
            )

    @stateful.rule(index=strategies.integers(0, 10_000))
    def lose_message(self, index):
        if self.in_flight:
            del self.in_flight[index % len(self.in_flight)]

    @stateful.rule()
    def toggle_log(self):
        self.is_log_available = not self.is_log_available

    @stateful.rule(
        name=strategies.sampled_from(_NAMES), count=strategies.integers(1, 4)
    )
    def read_log(self, name, count):
        self._read(self.nodes[name], count)

    @stateful.invariant()
    def share_is_bounded_and_never_rises_after_a_brake(self):
        for node in self.nodes.values():
            self._check_share(node)

    def _check_share(self, node: _Node) -> None:
        if not node.state.is_open("m"):
            return
        table = node.environment.blackboard.shares.value
        highest = max((e.share for e in table.entries), default=0.0)
        assert highest <= stages.SHARES[-1]
        if node.braked:
            assert "m" in table.braked
            assert highest == 0.0

    @stateful.invariant()
    def nodes_agree_on_the_outcome(self):
        final_outcomes = {
            status.outcome
            for node in self.nodes.values()
            for status in node.state.moves
            if not status.is_open
        }
        assert len(final_outcomes) <= 1

    @stateful.invariant()
    def the_first_undone_before_a_confirmation_wins(self):
        proposed_at = None
        expected = None
        for payload in self.log[2:]:
            record = codec.decode(payload, "test")
            outcome = codec.decode(record.body, "test")
            if expected is not None:
                break
            if outcome.result is moves.Result.UNDONE:
                expected = moves.Result.UNDONE
            elif proposed_at is None:
                if outcome.at <= self.nodes["a1"].state.moves[0].move.deadline:
                    proposed_at = outcome.at
            elif outcome.at >= proposed_at + moves.CONFIRMATION_DELAY_S:
                expected = moves.Result.DONE
        for node in self.nodes.values():
            for status in node.state.moves:
                if not status.is_open:
                    assert status.outcome.result is expected

    def teardown(self):
        """Recover the network and the log; every move must end."""
        self.is_log_available = True
        for _ in range(40):
            self.clock.advance(5.0)
            self._tick()
            self.deliver_all()
            for node in self.nodes.values():
                self._read(node, len(self.log))
        states = [node.state for node in self.nodes.values()]
        assert all(state == states[0] for state in states)
        assert not states[0].is_open("m")
        self.nodes_agree_on_the_outcome()
        self.the_first_undone_before_a_confirmation_wins()


class TestRolloutFuzz(RolloutMachine.TestCase):
    settings = hypothesis.settings(stateful_step_count=25)
