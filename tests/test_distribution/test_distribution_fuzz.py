import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.test_distribution import mesh as mesh_lib
from tests.test_distribution import oracle as oracle_lib
from trefoilwind import codec
from trefoilwind.log import fold
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.node import messages

CONVERGENCE_S = 9.0
LEAVING_S = 3.0
# Time for leases and links to come right after the last fault.
SETTLE_S = 30.0
EXAMPLES = max(8, hypothesis.settings().max_examples // 2)
NODES = (
    ("a1", "perth-a"),
    ("a2", "perth-a"),
    ("a3", "perth-a"),
    ("b1", "perth-b"),
    ("b2", "perth-b"),
    ("c1", "pilbara-a"),
    ("c2", "pilbara-a"),
)
_IDS = tuple(node_id for node_id, _ in NODES)
_ids = strategies.sampled_from(_IDS)


class DistributionFuzz(stateful.RuleBasedStateMachine):
    """Nodes under faults against a simple oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.mesh = mesh_lib.Mesh(seed=1)
        self.oracle = oracle_lib.Oracle()
        self.reference = [state_lib.State()]
        self.checked: dict[str, tuple] = {}
        self.versions: dict[int, int] = {}
        self.left_at: dict[str, float] = {}
        self.disturbed_at = 0.0
        self.changed_at = 0.0
        self.numbers = 0
        for node_id, data_centre in NODES:
            self.mesh.start(node_id, data_centre)
        self.disturb()
        self.run(CONVERGENCE_S)
        self.publish_whole()
        self.run(CONVERGENCE_S)

    # Time and checks.

    def disturb(self) -> None:
        self.disturbed_at = self.mesh.clock.monotonic()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / mesh_lib.TICK_S)):
            if self.is_faulty():
                self.disturb()
            self.mesh.step()
            self.follow_log()
            self.check()

    def is_faulty(self) -> bool:
        mesh = self.mesh
        return bool(
            mesh.is_split
            or mesh.is_log_slow
            or mesh.log.faults.is_down
            or mesh.message_loss
            or mesh.silent
            or mesh.late_appends
            or any(node.is_paused for node in mesh.nodes.values())
        )

    def follow_log(self) -> None:
        while len(self.reference) <= self.mesh.log.end_offset:
            offset = len(self.reference) - 1
            entry = self.mesh.entry_at(offset)
            state = fold.fold(self.reference[-1], offset, entry.payload).state
            self.reference.append(state)
            record = codec.decode(entry.payload, "fuzz")
            before = self.oracle.version
            self.oracle.take(offset, record.record_id)
            if self.oracle.version != before:
                self.changed_at = self.mesh.clock.monotonic()

    def check(self) -> None:
        assert self.reference[-1].version == self.oracle.version
        now = self.mesh.clock.monotonic()
        calm_since = max(self.disturbed_at, self.changed_at)
        must_have_latest = now - calm_since > CONVERGENCE_S
        for node_id, node in self.mesh.nodes.items():
            board = node.board
            inputs = (board.state.value, board.members.value)
            known = self.checked.get(node_id, ())
            pairs = zip(inputs, known, strict=False)
            if not known or not all(a is b for a, b in pairs):
                self.check_node(node)
            self.checked[node_id] = inputs
            if must_have_latest:
                assert board.state.value.version == self.oracle.version, node_id
            self.check_leaving(node, now)

    def check_node(self, node: mesh_lib.Node) -> None:
        state = node.board.state.value
        assert state.version >= self.versions.get(id(node), -1), "went back"
        self.versions[id(node)] = state.version
        assert state == self.reference[state.next_offset], "not a prefix"
        accepted = self.oracle.accepted[state.version]
        assert state.configuration == accepted, "applied in part"
        routes = node.board.routes.value
        assert routes.version == state.version
        for entry in routes.entries:
            assert state.configuration.service(entry.service) is not None
            assert entry.target in state.configuration.classes
            for split in entry.splits:
                members = node.board.members.value
                assert members.serving(entry.service, split.version)

    def check_leaving(self, node: mesh_lib.Node, now: float) -> None:
        members = node.board.members.value
        for node_id, left_at in self.left_at.items():
            # After a fault the links have to come back before the push.
            bound = max(left_at + LEAVING_S, self.disturbed_at + CONVERGENCE_S)
            if now <= bound:
                continue
            member = members.by_node.get(node_id)
            gets_work = member and member.service and not member.leaving
            assert not gets_work, f"{node_id} gets work"

    # Operators.

    def append(self, body: records.Body, record_id: str) -> None:
        payload = records.encode(record_id, "operator", body)
        node = next(iter(self.mesh.nodes.values()))
        node.appender.add(record_id, payload)

    def next_id(self) -> str:
        self.numbers += 1
        return f"operator/{self.numbers}"

    def publish(self, base: int, configuration, is_whole: bool) -> None:
        record_id = self.next_id()
        self.oracle.published[record_id] = oracle_lib.Published(
            base, configuration, is_whole
        )
        self.append(records.Publication(base, configuration), record_id)

    def timeout_s(self) -> float:
        return 1.0 + self.numbers / 100

    @stateful.rule()
    def publish_whole(self) -> None:
        configuration = oracle_lib.configuration(self.timeout_s())
        self.publish(self.oracle.version, configuration, True)

    @stateful.rule()
    def publish_two_on_one_base(self) -> None:
        self.publish_whole()
        self.publish_whole()

    @stateful.rule()
    def publish_on_old_base(self) -> None:
        base = min(self.oracle.accepted)
        configuration = oracle_lib.configuration(self.timeout_s())
        self.publish(base, configuration, True)

    @stateful.rule()
    def publish_broken(self) -> None:
        configuration = oracle_lib.broken(self.timeout_s())
        self.publish(self.oracle.version, configuration, False)

    @stateful.rule()
    def publish_without_service(self) -> None:
        configuration = oracle_lib.configuration(self.timeout_s(), False)
        self.publish(self.oracle.version, configuration, True)

    @stateful.rule()
    def start_move(self) -> None:
        record_id = self.next_id()
        self.oracle.moves.add(record_id)
        now = self.mesh.clock.wall()
        body = records.MoveRequest(oracle_lib.SERVICE, "v2", now + 3600.0, now)
        self.append(body, record_id)

    @stateful.rule(result=strategies.sampled_from(moves.Result))
    def end_move(self, result: moves.Result) -> None:
        move_id = self.oracle.open_move
        if not move_id:
            return
        record_id = self.next_id()
        now = self.mesh.clock.wall()
        outcome = moves.Outcome(move_id, result, "test", at=now)
        self.oracle.outcomes[record_id] = outcome
        self.append(outcome, record_id)

    # Faults.

    @stateful.rule(seconds=strategies.sampled_from((0.2, 1.0, 5.0, 12.0)))
    def let_time_pass(self, seconds: float) -> None:
        self.run(seconds)

    @stateful.rule(is_down=strategies.booleans())
    def set_log_down(self, is_down: bool) -> None:
        self.mesh.log.faults.is_down = is_down

    @stateful.rule(is_slow=strategies.booleans())
    def set_log_slow(self, is_slow: bool) -> None:
        self.mesh.is_log_slow = is_slow

    @stateful.rule(is_lost=strategies.booleans())
    def set_answers_lost(self, is_lost: bool) -> None:
        self.mesh.log.faults.lose_append_answers = is_lost

    @stateful.rule(kept=strategies.integers(0, 20))
    def cut_retention(self, kept: int) -> None:
        """Remove old records, but none after the last checkpoint."""
        checkpoint = self.reference[-1].checkpoint_offset
        base = 0
        if checkpoint >= 0:
            entry = self.mesh.entry_at(checkpoint)
            record = codec.decode(entry.payload, "fuzz")
            base = codec.decode(record.body, "fuzz").next_offset
        self.mesh.log.expire_before(
            min(base, max(0, self.mesh.log.end_offset - kept))
        )

    @stateful.rule(
        loss=strategies.sampled_from((0.0, 0.0, 0.3)),
        repeats=strategies.sampled_from((0.0, 0.3)),
    )
    def set_message_faults(self, loss: float, repeats: float) -> None:
        self.mesh.message_loss = loss
        self.mesh.message_repeats = repeats

    @stateful.rule()
    def split_regions(self) -> None:
        self.mesh.split()

    @stateful.rule()
    def heal(self) -> None:
        self.mesh.is_split = False
        self.mesh.is_log_slow = False
        self.mesh.message_loss = 0.0
        self.mesh.log.faults.is_down = False

    @stateful.rule(node_id=_ids, seconds=strategies.sampled_from((2.0, 30.0)))
    def pause(self, node_id: str, seconds: float) -> None:
        self.mesh.pause(node_id, seconds)

    @stateful.rule(seconds=strategies.sampled_from((2.0, 30.0)))
    def pause_lease_holder(self, seconds: float) -> None:
        lease = self.reference[-1].lease(fold.CHECKPOINT_LEASE)
        if lease is not None:
            self.pause(lease.holder.partition("#")[0], seconds)

    @stateful.rule(node_id=_ids)
    def restart(self, node_id: str) -> None:
        self.disturb()
        self.mesh.kill(node_id)
        self.left_at.pop(node_id, None)
        self.checked.pop(node_id, None)
        self.mesh.start(node_id, dict(NODES)[node_id])

    @stateful.rule(node_ids=strategies.sets(_ids, min_size=3, max_size=5))
    def restart_herd(self, node_ids: set[str]) -> None:
        for node_id in sorted(node_ids):
            self.restart(node_id)

    @stateful.rule(one=_ids, other=_ids)
    def silence_stream(self, one: str, other: str) -> None:
        if other in self.mesh.nodes[one].connected:
            self.mesh.silence(one, other)

    @stateful.rule(node_id=_ids)
    def leave(self, node_id: str) -> None:
        node = self.mesh.nodes[node_id]
        if node.is_paused:
            return
        node.announcement = None
        node.control.receive(messages.Withdrawal())
        self.left_at.setdefault(node_id, self.mesh.clock.monotonic())

    def teardown(self) -> None:
        self.heal()
        self.run(SETTLE_S + CONVERGENCE_S)


class TestDistributionFuzz(DistributionFuzz.TestCase):
    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=25,
        # Shrinking takes minutes; the printed steps repeat the failure.
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
