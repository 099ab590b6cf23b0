"""Tests of the selection of the node that reads the operator's topic."""

from trefoilwind.distribution import topology
from trefoilwind.gateway import reader_selection

_NODES = tuple(f"n{number}" for number in range(12))
_READ_INTERVAL_S = 0.8
_READER = topology.rendezvous("reader/d", _NODES, 1)[0]
_OTHER = next(node for node in _NODES if node != _READER)


def _selection(
    node: str, leaving: tuple[str, ...] = ()
) -> reader_selection.ReaderSelection:
    return reader_selection.ReaderSelection(
        node, "d", _READ_INTERVAL_S, leaving.__contains__, 0.0
    )


def _others(node: str) -> tuple[str, ...]:
    return tuple(each for each in _NODES if each != node)


def test_each_node_of_a_small_data_centre_reads_with_long_waits():
    selection = _selection("n0")
    plan = selection.plan(_NODES[1:4], 10.0)
    assert plan.is_due
    assert plan.wait_s > reader_selection.READER_TIMEOUT_S
    assert not selection.is_reader(_NODES[1:4])
    assert selection.order(_NODES[1:4]) == ()
    assert selection.parent(_NODES[1:4]) == ""
    assert selection.children(_NODES[1:4]) == ()


def test_node_with_few_streams_in_a_large_data_centre_does_not_wait_long():
    selection = _selection(_OTHER)
    few = [node for node in _others(_OTHER) if node != _READER][:3] + [_READER]
    plan = selection.plan(few, 10.0, len(_NODES) - 1)
    assert plan.is_due
    assert plan.wait_s == reader_selection.READ_WAIT_S


def test_first_node_of_a_small_data_centre_does_not_wait_long():
    waits = [_selection(n).plan(_NODES[:3], 1.0).wait_s for n in _NODES[:3]]
    assert waits.count(reader_selection.READ_WAIT_S) == 1


def test_one_node_of_a_large_data_centre_reads():
    readers = [n for n in _NODES if _selection(n).is_reader(_others(n))]
    assert readers == [_READER]
    assert _selection(_READER).plan(_others(_READER), 10.0).is_due


def test_only_the_next_node_reads_after_the_timeout_of_the_reader():
    order = _selection(_OTHER).order(_others(_OTHER))
    late = 10.0 + reader_selection.READER_TIMEOUT_S + 0.01
    due = {10.1: [], late: [], late + reader_selection.TAKEOVER_STEP_S: []}
    for node in order[1:]:
        selection = _selection(node)
        selection.handle_announcement(_READER, 10.0)
        for now, nodes in due.items():
            if selection.plan(_others(node), now).is_due:
                nodes.append(node)
    assert list(due.values()) == [[], [order[1]], list(order[1:3])]


def test_the_first_of_two_nodes_that_took_over_goes_on():
    order = _selection(_OTHER).order(_others(_OTHER))
    late = reader_selection.READER_TIMEOUT_S + 0.01
    late += reader_selection.TAKEOVER_STEP_S
    due = {}
    for node, other in ((order[1], order[2]), (order[2], order[1])):
        selection = _selection(node)
        assert selection.plan(_others(node), late).is_due
        selection.handle_announcement(other, late)
        due[node] = selection.plan(_others(node), late + 0.1).is_due
        selection.handle_announcement(_READER, late + 0.2)
        assert not selection.plan(_others(node), late + 0.3).is_due
    assert due == {order[1]: True, order[2]: False}


def test_every_node_reads_in_the_end_if_nobody_announces_reads():
    limit_s = reader_selection.READER_TIMEOUT_S
    limit_s += len(_NODES) * reader_selection.TAKEOVER_STEP_S
    for node in _NODES:
        assert _selection(node).plan(_others(node), limit_s).is_due


def test_a_reader_that_fails_is_replaced_at_once_until_it_reads_again():
    nodes = {name: _selection(name) for name in _NODES}
    for selection in nodes.values():
        selection.handle_announcement(_READER, 10.0)
        selection.handle_failure(_READER)
    due = [n for n in _NODES if nodes[n].plan(_others(n), 10.1).is_due]
    reader = nodes[_OTHER].reader(_others(_OTHER))
    assert reader != _READER
    # The failing node tries again, as only its own reads show a recovery.
    assert sorted(due) == sorted([reader, _READER])
    for selection in nodes.values():
        selection.handle_announcement(_READER, 10.2)
    due = [n for n in _NODES if nodes[n].plan(_others(n), 10.3).is_due]
    assert due == [_READER]


def test_leaving_nodes_neither_read_nor_pass_records_on():
    leaving = (_READER, _NODES[0], _NODES[1])
    for node in _NODES:
        selection = _selection(node, leaving)
        order = selection.order(_others(node))
        assert set(order[-3:]) == set(leaving)
        assert selection.parent(_others(node)) not in leaving
    selection = _selection(_READER, leaving)
    selection.handle_announcement(_OTHER, 10.0)
    assert not selection.plan(_others(_READER), 10.1).is_due


def test_all_nodes_try_while_the_reads_of_all_fail():
    for node in _NODES:
        selection = _selection(node)
        for failing in _NODES:
            selection.handle_failure(failing)
        assert selection.reader(_others(node)) == _READER
        assert selection.plan(_others(node), 0.1).is_due


def test_first_reads_of_a_data_centre_do_not_start_at_once():
    order = _selection(_OTHER).order(_others(_OTHER))
    for rank, node in enumerate(order):
        selection = _selection(node)
        start = rank * reader_selection.START_STEP_S
        assert selection.first_plan(_others(node), True, start).is_due
        if rank:
            early = start - 0.01
            assert not selection.first_plan(_others(node), True, early).is_due


def test_first_read_waits_for_the_members_but_not_for_long():
    selection = _selection(_OTHER)
    assert not selection.first_plan((), False, 0.5).is_due
    late = reader_selection.DISCOVERY_S + 0.01
    assert selection.first_plan((), False, late).is_due
    assert selection.first_plan((), True, 0.0).is_due


def test_idle_reader_announces_within_the_timeout():
    read_s = reader_selection.READ_WAIT_S + _READ_INTERVAL_S
    assert read_s < reader_selection.READER_TIMEOUT_S


def test_records_reach_each_node_over_a_tree_of_limited_degree():
    parents = {n: _selection(n).parent(_others(n)) for n in _NODES}
    assert [n for n, parent in parents.items() if not parent] == [_READER]
    for node in _NODES:
        children = _selection(node).children(_others(node))
        assert len(children) <= reader_selection.RELAY_DEGREE
        assert set(children) == {n for n in _NODES if parents[n] == node}
    reached = {_READER}
    for _ in _NODES:
        reached |= {n for n, parent in parents.items() if parent in reached}
    assert reached == set(_NODES)


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
        plan = self.selection.plan(local_peers, now)
        if not plan.is_due or now < self._next_read:
            return
        self.reads += 1
        has_new_records = self.read_to < end
        self.read_to = end
        wait_s = 0.0 if has_new_records else plan.wait_s
        self._next_read = now + wait_s + plan.interval_s
        for other in alive:
            other.receive_announcement(self.name, self.read_to, now)

    def receive_announcement(self, node: str, read_to: int, now: float) -> None:
        """Handle an announcement of a read."""
        self.selection.handle_announcement(node, now)
        self.read_to = max(self.read_to, read_to)


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
