"""The controllers of a node, tested one message at a time."""

from tests.joint import configurations
from trefoilwind.model import records
from trefoilwind.node import messages
from trefoilwind.routing import table


def _count_builds(monkeypatch) -> list:
    builds = []
    build = table.build

    def counting_build(*inputs):
        builds.append(inputs)
        return build(*inputs)

    monkeypatch.setattr(table, "build", counting_build)
    return builds


def test_a_lease_in_the_log_builds_no_routes(monkeypatch):
    world = configurations.start_world(seed=3)
    builds = _count_builds(monkeypatch)
    before = world.nodes["catalogue-0"].environment.blackboard.state.value
    now = world.clock.wall()
    world.append(records.LeaseClaim("test", "catalogue-0", now + 5, now))
    world.run(2.0)
    after = world.nodes["catalogue-0"].environment.blackboard.state.value
    assert after.next_offset > before.next_offset
    assert not builds


def test_routes_are_built_only_after_a_change(monkeypatch):
    world = configurations.start_world(seed=3)
    node = world.nodes["catalogue-0"]
    builds = _count_builds(monkeypatch)
    for _ in range(5):
        node.control.receive(messages.Tick())
    assert len(builds) <= 1
    node.control.receive(messages.Withdrawal())
    assert len(builds) >= 1
