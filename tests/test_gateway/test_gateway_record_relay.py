"""Who reads the operator's topic, as one node decides it."""

from trefoilwind.distribution import topology
from trefoilwind.gateway import record_relay

_NODES = tuple(f"n{number}" for number in range(12))
_GATHER_S = 0.8
_READER = topology.rendezvous("reader/d", _NODES, 1)[0]
_OTHER = next(node for node in _NODES if node != _READER)


def _relay(node: str) -> record_relay.RecordRelay:
    return record_relay.RecordRelay(node, "d", _GATHER_S)


def _others(node: str) -> tuple[str, ...]:
    return tuple(each for each in _NODES if each != node)


def test_each_node_of_a_small_data_centre_reads_with_long_waits():
    relay = _relay("n0")
    plan = relay.plan(_NODES[1:4], True, 10.0)
    assert plan.is_due
    assert plan.wait_s > record_relay.SILENCE_S
    assert not relay.is_reader(_NODES[1:4])


def test_one_node_of_a_large_data_centre_reads():
    readers = [n for n in _NODES if _relay(n).is_reader(_others(n))]
    assert readers == [_READER]
    assert _relay(_READER).plan(_others(_READER), True, 10.0).is_due


def test_others_read_until_they_hear_of_a_reading_and_once_it_is_silent():
    relay = _relay(_OTHER)
    nearby = _others(_OTHER)
    assert relay.plan(nearby, True, 10.0).is_due
    relay.heard(False, 10.0)
    assert not relay.plan(nearby, True, 10.1).is_due
    assert relay.plan(nearby, False, 10.1).is_due
    late = 10.0 + record_relay.SILENCE_S + 0.01
    assert relay.plan(nearby, True, late).is_due


def test_news_of_a_calm_reader_come_before_silence():
    read_s = record_relay.READ_WAIT_S + _GATHER_S
    assert read_s < record_relay.SILENCE_S


def test_records_are_asked_for_once_in_a_while():
    relay = _relay(_OTHER)
    assert not relay.heard(False, 1.0)
    assert relay.heard(True, 1.1)
    assert not relay.heard(True, 1.2)
    assert relay.heard(True, 1.1 + record_relay.ASK_INTERVAL_S)


def test_the_next_node_reads_when_the_reader_is_out_of_reach():
    left = tuple(node for node in _NODES if node != _READER)
    heirs = [
        node
        for node in left
        if _relay(node).is_reader(tuple(n for n in left if n != node))
    ]
    assert len(heirs) == 1


_STEP_S = 0.05
_APPLY_S = 2.5


class _SimulatedNode:
    """A node that reads, tells and asks on a virtual clock."""

    def __init__(self, name: str):
        self.name = name
        self.relay = _relay(name)
        self.read_to = 0
        self.reads = 0
        self._next_read = 0.0

    def step(self, alive: "list[_SimulatedNode]", end: int, now: float) -> None:
        """Read if that is due, and tell the others."""
        nearby = tuple(n.name for n in alive if n is not self)
        plan = self.relay.plan(nearby, self.reads > 0, now)
        if not plan.is_due or now < self._next_read:
            return
        self.reads += 1
        has_news = self.read_to < end
        self.read_to = end
        wait_s = 0.0 if has_news else plan.wait_s
        self._next_read = now + wait_s + plan.gather_s
        if self.relay.is_reader(nearby):
            for other in alive:
                other.take_news(self.read_to, now)

    def take_news(self, read_to: int, now: float) -> None:
        """Take what the reader tells."""
        if self.relay.heard(self.read_to < read_to, now):
            self.read_to = read_to


def test_losing_readers_delays_a_configuration_by_less_than_allowed():
    nodes = [_SimulatedNode(name) for name in _NODES]
    alive = list(nodes)
    written: dict[int, float] = {}
    lost = 0
    for tick in range(1200):
        now = tick * _STEP_S
        if tick % 30 == 7:
            written[len(written) + 1] = now
        if tick % 250 == 249:
            reader = _relay("").reader(tuple(n.name for n in alive))
            alive = [node for node in alive if node.name != reader]
            lost += 1
        for node in alive:
            node.step(alive, len(written), now)
        late = [
            node.name
            for node in alive
            for number, at in written.items()
            if number > node.read_to and now - at > _APPLY_S
        ]
        assert not late, (now, late)
    assert lost == 4
    each_alone = 1200 * _STEP_S / _GATHER_S * len(_NODES)
    assert sum(node.reads for node in nodes) < each_alone / 4
