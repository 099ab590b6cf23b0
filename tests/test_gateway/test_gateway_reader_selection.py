"""Tests of the selection of the node that reads the operator's topic."""

from trefoilwind.distribution import topology
from trefoilwind.gateway import reader_selection

_NODES = tuple(f"n{number}" for number in range(12))
_READ_INTERVAL_S = 0.8
_READER = topology.rendezvous("reader/d", _NODES, 1)[0]
_OTHER = next(node for node in _NODES if node != _READER)


def _selection(node: str) -> reader_selection.ReaderSelection:
    return reader_selection.ReaderSelection(node, "d", _READ_INTERVAL_S)


def _others(node: str) -> tuple[str, ...]:
    return tuple(each for each in _NODES if each != node)


def test_each_node_of_a_small_data_centre_reads_with_long_waits():
    selection = _selection("n0")
    plan = selection.plan(_NODES[1:4], True, 10.0)
    assert plan.is_due
    assert plan.wait_s > reader_selection.READER_TIMEOUT_S
    assert not selection.is_reader(_NODES[1:4])


def test_one_node_of_a_large_data_centre_reads():
    readers = [n for n in _NODES if _selection(n).is_reader(_others(n))]
    assert readers == [_READER]
    assert _selection(_READER).plan(_others(_READER), True, 10.0).is_due


def test_other_nodes_read_before_the_first_announcement_and_after_the_timeout():
    selection = _selection(_OTHER)
    local_peers = _others(_OTHER)
    assert selection.plan(local_peers, True, 10.0).is_due
    selection.handle_announcement(False, 10.0)
    assert not selection.plan(local_peers, True, 10.1).is_due
    assert selection.plan(local_peers, False, 10.1).is_due
    late = 10.0 + reader_selection.READER_TIMEOUT_S + 0.01
    assert selection.plan(local_peers, True, late).is_due


def test_idle_reader_announces_within_the_timeout():
    read_s = reader_selection.READ_WAIT_S + _READ_INTERVAL_S
    assert read_s < reader_selection.READER_TIMEOUT_S


def test_record_requests_are_rate_limited():
    selection = _selection(_OTHER)
    assert not selection.handle_announcement(False, 1.0)
    assert selection.handle_announcement(True, 1.1)
    assert not selection.handle_announcement(True, 1.2)
    assert selection.handle_announcement(
        True, 1.1 + reader_selection.REQUEST_INTERVAL_S
    )


def test_exactly_one_node_replaces_an_unreachable_reader():
    remaining = tuple(node for node in _NODES if node != _READER)
    successors = [
        node
        for node in remaining
        if _selection(node).is_reader(tuple(n for n in remaining if n != node))
    ]
    assert len(successors) == 1


_STEP_S = 0.05
_APPLY_LIMIT_S = 2.5


class _SimulatedNode:
    """A node that reads, announces and requests on a virtual clock."""

    def __init__(self, name: str):
        self.name = name
        self.selection = _selection(name)
        self.read_to = 0
        self.reads = 0
        self._next_read = 0.0

    def step(self, alive: "list[_SimulatedNode]", end: int, now: float) -> None:
        """Read if a read is due, and announce it to the other nodes."""
        local_peers = tuple(n.name for n in alive if n is not self)
        plan = self.selection.plan(local_peers, self.reads > 0, now)
        if not plan.is_due or now < self._next_read:
            return
        self.reads += 1
        has_new_records = self.read_to < end
        self.read_to = end
        wait_s = 0.0 if has_new_records else plan.wait_s
        self._next_read = now + wait_s + plan.interval_s
        if self.selection.is_reader(local_peers):
            for other in alive:
                other.receive_announcement(self.read_to, now)

    def receive_announcement(self, read_to: int, now: float) -> None:
        """Handle an announcement of the reader."""
        if self.selection.handle_announcement(self.read_to < read_to, now):
            self.read_to = read_to


def test_reader_failures_delay_a_configuration_by_less_than_the_limit():
    nodes = [_SimulatedNode(name) for name in _NODES]
    alive = list(nodes)
    written: dict[int, float] = {}
    lost = 0
    for tick in range(1200):
        now = tick * _STEP_S
        if tick % 30 == 7:
            written[len(written) + 1] = now
        if tick % 250 == 249:
            reader = _selection("").reader(tuple(n.name for n in alive))
            alive = [node for node in alive if node.name != reader]
            lost += 1
        for node in alive:
            node.step(alive, len(written), now)
        late = [
            node.name
            for node in alive
            for number, at in written.items()
            if number > node.read_to and now - at > _APPLY_LIMIT_S
        ]
        assert not late, (now, late)
    assert lost == 4
    reads_without_selection = 1200 * _STEP_S / _READ_INTERVAL_S * len(_NODES)
    assert sum(node.reads for node in nodes) < reads_without_selection / 4
