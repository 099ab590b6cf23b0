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
LEAVING_BOUND_S = 3.0
# Time for leases and links to recover after the last fault.
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
_NODE_IDS = tuple(node_id for node_id, _ in NODES)
_node_ids = strategies.sampled_from(_NODE_IDS)


class DistributionFuzz(stateful.RuleBasedStateMachine):
    """Compares nodes under faults with a reference model."""

    def __init__(self) -> None:
        super().__init__()
        self.mesh = mesh_lib.Mesh(seed=1)
        self.oracle = oracle_lib.Oracle()
        self.reference = [state_lib.State()]
        self.checked: dict[str, tuple] = {}
        self.versions: dict[mesh_lib.Node, int] = {}
        self.leaving_since: dict[str, float] = {}
        self.last_fault_at = 0.0
        self.last_change_at = 0.0
        self.record_count = 0
        for node_id, data_centre in NODES:
            self.mesh.start(node_id, data_centre)
        self.record_fault()
        self.run(CONVERGENCE_S)
        self.publish_valid()
        self.run(CONVERGENCE_S)

    # Progress of time and checks.

    def record_fault(self) -> None:
        self.last_fault_at = self.mesh.clock.monotonic()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / mesh_lib.TICK_S)):
            if self.is_faulty():
                self.record_fault()
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
            self.oracle.apply(offset, record.record_id)
            if self.oracle.version != before:
                self.last_change_at = self.mesh.clock.monotonic()

    def check(self) -> None:
        assert self.reference[-1].version == self.oracle.version
        now = self.mesh.clock.monotonic()
        stable_since = max(self.last_fault_at, self.last_change_at)
        must_have_converged = now - stable_since > CONVERGENCE_S
        for node_id, node in self.mesh.nodes.items():
            board = node.board
            inputs = (board.state.value, board.members.value)
            known = self.checked.get(node_id, ())
            pairs = zip(inputs, known, strict=False)
            if not known or not all(a is b for a, b in pairs):
                self.check_node(node)
            self.checked[node_id] = inputs
            if must_have_converged:
                assert board.state.value.version == self.oracle.version, node_id
            self.check_leaving(node, now)

    def check_node(self, node: mesh_lib.Node) -> None:
        state = node.board.state.value
        assert state.version >= self.versions.get(node, -1), "version decreased"
        self.versions[node] = state.version
        assert state == self.reference[state.next_offset], (
            "state is not that of a log prefix"
        )
        accepted = self.oracle.accepted[state.version]
        assert state.configuration == accepted, (
            "configuration applied partially"
        )
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
        for node_id, leaving_since in self.leaving_since.items():
            # After a fault the links must reconnect before the push arrives.
            bound = max(
                leaving_since + LEAVING_BOUND_S,
                self.last_fault_at + CONVERGENCE_S,
            )
            if now <= bound:
                continue
            member = members.by_node.get(node_id)
            gets_calls = member and member.service and not member.leaving
            assert not gets_calls, f"{node_id} is leaving but still gets calls"

    # Actions of operators.

    def append(self, body: records.Body, record_id: str) -> None:
        payload = records.encode(record_id, "operator", body)
        node = next(iter(self.mesh.nodes.values()))
        node.appender.add(record_id, payload)

    def next_id(self) -> str:
        self.record_count += 1
        return f"operator/{self.record_count}"

    def publish(self, base: int, configuration, is_valid: bool) -> None:
        record_id = self.next_id()
        self.oracle.published[record_id] = oracle_lib.Published(
            base, configuration, is_valid
        )
        self.append(records.Publication(base, configuration), record_id)

    def timeout_s(self) -> float:
        return 1.0 + self.record_count / 100

    @stateful.rule()
    def publish_valid(self) -> None:
        configuration = oracle_lib.configuration(self.timeout_s())
        self.publish(self.oracle.version, configuration, True)

    @stateful.rule()
    def publish_two_on_one_base(self) -> None:
        self.publish_valid()
        self.publish_valid()

    @stateful.rule()
    def publish_on_old_base(self) -> None:
        base = min(self.oracle.accepted)
        configuration = oracle_lib.configuration(self.timeout_s())
        self.publish(base, configuration, True)

    @stateful.rule()
    def publish_invalid(self) -> None:
        configuration = oracle_lib.with_missing_class(self.timeout_s())
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
    def advance_time(self, seconds: float) -> None:
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
    def expire_records(self, kept: int) -> None:
        """Expire old records, but none that the last checkpoint lacks."""
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

    @stateful.rule(
        node_id=_node_ids, seconds=strategies.sampled_from((2.0, 30.0))
    )
    def pause(self, node_id: str, seconds: float) -> None:
        self.mesh.pause(node_id, seconds)

    @stateful.rule(seconds=strategies.sampled_from((2.0, 30.0)))
    def pause_lease_holder(self, seconds: float) -> None:
        lease = self.reference[-1].lease(fold.CHECKPOINT_LEASE)
        if lease is not None:
            self.pause(lease.holder.partition("#")[0], seconds)

    @stateful.rule(node_id=_node_ids)
    def restart(self, node_id: str) -> None:
        self.record_fault()
        self.mesh.kill(node_id)
        self.leaving_since.pop(node_id, None)
        self.checked.pop(node_id, None)
        self.mesh.start(node_id, dict(NODES)[node_id])

    @stateful.rule(node_ids=strategies.sets(_node_ids, min_size=3, max_size=5))
    def restart_several(self, node_ids: set[str]) -> None:
        for node_id in sorted(node_ids):
            self.restart(node_id)

    @stateful.rule(one=_node_ids, other=_node_ids)
    def silence_stream(self, one: str, other: str) -> None:
        if other in self.mesh.nodes[one].connected:
            self.mesh.silence(one, other)

    @stateful.rule(node_id=_node_ids)
    def leave(self, node_id: str) -> None:
        node = self.mesh.nodes[node_id]
        if node.is_paused:
            return
        node.announcement = None
        node.control.receive(messages.Withdrawal())
        self.leaving_since.setdefault(node_id, self.mesh.clock.monotonic())

    def teardown(self) -> None:
        self.heal()
        self.run(SETTLE_S + CONVERGENCE_S)


class TestDistributionFuzz(DistributionFuzz.TestCase):
    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=25,
        # Shrinking takes minutes; the printed steps reproduce the failure.
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
