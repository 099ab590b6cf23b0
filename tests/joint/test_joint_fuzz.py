"""Stateful fuzz test of complete nodes against an oracle that reads the log."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.joint import configurations
from tests.joint import world as world_lib
from trefoilwind import errors
from trefoilwind.log import fold
from trefoilwind.log import port
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.node import messages
from trefoilwind.proxy import calls
from trefoilwind.routing import table

PROPAGATION_TIMEOUT_S = 9.0
MAX_CALLS_PER_RULE = 8
_seconds = st.sampled_from((0.1, 0.5, 2.0, 5.0))
_shares = st.sampled_from((0.0, 0.1, 0.3))


class Oracle:
    """Applies the complete log in order, without any faults."""

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.configurations: dict[int, configuration_lib.Configuration] = {
            state_lib.NO_VERSION: configuration_lib.Configuration()
        }

    def read(self, entries: tuple[port.Entry, ...]) -> None:
        """Apply the entries that were not applied yet."""
        for entry in entries:
            if entry.offset < self.state.next_offset:
                continue
            folded = fold.fold(self.state, entry.offset, entry.payload)
            self.state = folded.state
            self.configurations[folded.state.version] = (
                folded.state.configuration
            )


class Mesh(stateful.RuleBasedStateMachine):
    """Applies faults in any order, repeatedly and in combination."""

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.world = configurations.start_world(seed)
        self.oracle = Oracle()
        self.versions: dict[world_lib.Node, int] = {}
        self.results: dict[str, calls.Answer | errors.CallError] = {}
        self.orders: set[str] = set()
        self.first_retained_offset = 0
        self.withdrawn: dict[str, tuple[world_lib.FakeBackend, int]] = {}
        self._read_log()

    @stateful.rule(seconds=_seconds)
    def pass_time(self, seconds):
        self.world.run(seconds)

    @stateful.rule(timeout_s=st.integers(1, 9))
    def publish(self, timeout_s):
        if not self.world.log.faults.is_down:
            self.world.publish(
                self.oracle.state.version,
                configurations.with_timeout(float(timeout_s)),
            )

    @stateful.rule(versions_behind=st.integers(1, 3))
    def publish_on_a_stale_base(self, versions_behind):
        if not self.world.log.faults.is_down:
            base = self.oracle.state.version - versions_behind
            self.world.publish(base, configurations.with_timeout(99.0))

    @stateful.rule()
    def publish_an_invalid_configuration(self):
        if not self.world.log.faults.is_down:
            self.world.publish(
                self.oracle.state.version, configurations.with_unknown_class()
            )

    @stateful.rule(
        version=st.sampled_from(("v1", "v2", "v9")),
        deadline_s=st.sampled_from((5.0, 60.0)),
    )
    def move(self, version, deadline_s):
        if not self.world.log.faults.is_down:
            now = self.world.clock.wall()
            self.world.append(
                records.MoveRequest("catalogue", version, now + deadline_s, now)
            )

    @stateful.rule(share=_shares)
    def break_version(self, share):
        for backend in self.world.backends:
            if backend.version == "v2":
                backend.fail_share = share

    @stateful.rule(is_down=st.booleans())
    def log_outage(self, is_down):
        self.world.log.faults.is_down = is_down

    @stateful.rule(is_losing=st.booleans())
    def lose_append_answers(self, is_losing):
        self.world.log.faults.lose_append_answers = is_losing

    @stateful.rule()
    def end_retention(self):
        page = self.world.log.read(self.first_retained_offset, 1 << 20)
        if isinstance(page, errors.Error):
            return
        offsets = [
            entry.offset
            for entry in page.entries
            if b"record.Checkpoint" in entry.payload
        ]
        if offsets:
            self.first_retained_offset = offsets[-1]
            self.world.log.expire_before(offsets[-1])

    @stateful.rule(
        loss=_shares, repeats=_shares, delay=st.sampled_from((0.0, 0.5, 0.95))
    )
    def disturb_messages(self, loss, repeats, delay):
        self.world.message_loss = loss
        self.world.message_repeats = repeats
        self.world.message_delay = delay

    @stateful.rule(loss=_shares)
    def lose_answers(self, loss):
        self.world.answer_loss = loss

    @stateful.rule()
    def disconnect_regions(self):
        self.world.split_regions()

    @stateful.rule()
    def reconnect_regions(self):
        self.world.regions_disconnected = False

    @stateful.rule(data=st.data())
    def restart_node(self, data):
        node_id = data.draw(st.sampled_from(sorted(self.world.nodes)))
        self._restart(node_id)

    @stateful.rule()
    def restart_every_second_node(self):
        for node_id in sorted(self.world.nodes)[::2]:
            self._restart(node_id)

    @stateful.rule(data=st.data())
    def withdraw(self, data):
        node_id = data.draw(st.sampled_from(sorted(self.world.nodes)))
        node = self.world.nodes[node_id]
        node.announcement = None
        node.control.receive(messages.Withdrawal())
        self.withdrawn[node_id] = (node.backend, len(node.backend.executed))

    @stateful.rule(
        count=st.integers(1, MAX_CALLS_PER_RULE), is_order=st.booleans()
    )
    def call(self, count, is_order):
        method, path = ("POST", "/orders") if is_order else ("GET", "/proofs")
        for _ in range(count):
            entry = self.world.rng.choice(sorted(self.world.nodes))
            request_id, result = self.world.call(
                entry, "catalogue", method, path
            )
            self.results[request_id] = result
            if is_order:
                self.orders.add(request_id)

    @stateful.invariant()
    def versions_never_decrease(self):
        for node in self.world.nodes.values():
            assert node.version >= self.versions.get(node, node.version)
            self.versions[node] = node.version

    @stateful.invariant()
    def configurations_match_the_log(self):
        self._read_log()
        for node in self.world.nodes.values():
            state = node.environment.blackboard.state.value
            expected = self.oracle.configurations[state.version]
            assert state.configuration == expected

    @stateful.invariant()
    def routes_have_resources(self):
        for node in self.world.nodes.values():
            board = node.environment.blackboard
            for entry in board.routes.value.entries:
                for split in entry.splits:
                    assert board.members.value.serving(
                        entry.service, split.version
                    )

    @stateful.invariant()
    def routes_equal_a_full_rebuild(self):
        for node in self.world.nodes.values():
            board = node.environment.blackboard
            assert board.routes.value == table.build(
                board.state.value, board.members.value, board.shares.value
            )

    @stateful.invariant()
    def orders_run_at_most_once(self):
        for request_id in self.orders:
            assert self.world.executions(request_id) <= 1

    @stateful.invariant()
    def results_match_executions(self):
        for request_id, result in self.results.items():
            if isinstance(result, calls.Answer):
                body = b"".join(result.body).decode()
                assert body.partition(" ")[2] == request_id
            elif result.not_run:
                assert self.world.executions(request_id) == 0
        self.results.clear()

    @stateful.invariant()
    def leaving_servers_get_no_new_calls(self):
        for backend, executed in self.withdrawn.values():
            assert len(backend.executed) == executed

    @stateful.invariant()
    def outcomes_match_the_log(self):
        expected = {s.move.move_id: s.outcome for s in self.oracle.state.moves}
        for node in self.world.nodes.values():
            for status in node.environment.blackboard.state.value.moves:
                if status.outcome is not None:
                    assert status.outcome == expected[status.move.move_id]

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        world.log.faults.is_down = False
        world.log.faults.lose_append_answers = False
        world.regions_disconnected = False
        world.message_loss = world.message_repeats = world.message_delay = 0.0
        self._read_log()
        newest_version = self.oracle.state.version
        assert world.run_until(
            lambda: all(
                n.version >= newest_version for n in world.nodes.values()
            ),
            PROPAGATION_TIMEOUT_S,
        ), {n: x.version for n, x in world.nodes.items()}
        self.configurations_match_the_log()

    def _restart(self, node_id):
        old = self.world.nodes[node_id]
        data_centre = old.environment.settings.data_centre
        service = node_id.partition("-")[0]
        version = old.backend.version
        self.withdrawn.pop(node_id, None)
        self.world.kill(node_id)
        self.world.step()
        self.world.start_node(node_id, data_centre, service, version)

    def _read_log(self):
        log = self.world.log
        was_down, log.faults.is_down = log.faults.is_down, False
        page = log.read(self.oracle.state.next_offset, 1 << 20)
        log.faults.is_down = was_down
        assert not isinstance(page, errors.Error), page
        self.oracle.read(page.entries)


TestJointFuzz = Mesh.TestCase
TestJointFuzz.settings = hypothesis.settings(
    hypothesis.settings.get_profile("ci"),
    max_examples=int(os.environ.get("TREFOILWIND_FUZZ_EXAMPLES", "25")),
    stateful_step_count=40,
    # Shrinking takes minutes, and the failing steps are printed without it.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
