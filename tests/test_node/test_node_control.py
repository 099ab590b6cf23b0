"""The controllers of a node, driven one message at a time."""

from tests.joint import configurations
from trefoilwind.node import messages
from trefoilwind.routing import table


def test_routes_are_built_only_after_a_change(monkeypatch):
    world = configurations.start_world(seed=3)
    node = world.nodes["catalogue-0"]
    builds = []
    build = table.build

    def counting_build(*inputs):
        builds.append(inputs)
        return build(*inputs)

    monkeypatch.setattr(table, "build", counting_build)
    for _ in range(5):
        node.control.receive(messages.Tick())
    assert len(builds) <= 1
    node.control.receive(messages.Withdrawal())
    assert len(builds) >= 1
