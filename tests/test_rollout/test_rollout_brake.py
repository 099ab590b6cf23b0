"""A brake stops calls to a version on all nodes and is never lifted."""

from tests.joint import configurations
from trefoilwind.model import records
from trefoilwind.node import messages as node_messages
from trefoilwind.rollout import evidence
from trefoilwind.rollout import messages

_SPREAD_S = 3.0


def _shares(node) -> list[float]:
    entries = node.environment.blackboard.routes.value.entries
    return [
        split.share
        for entry in entries
        for split in entry.splits
        if split.version == "v2"
    ]


def _call(world, seconds):
    for _ in range(seconds * 10):
        for entry in sorted(world.nodes):
            world.call(entry, "catalogue")
        world.step()


def test_a_brake_of_a_peer_stops_the_version_without_the_log():
    world = configurations.start_world(seed=5)
    now = world.clock.wall()
    move_id = world.append(
        records.MoveRequest("catalogue", "v2", now + 300, now)
    )
    _call(world, 10)
    nodes = world.nodes.values()
    assert all(_shares(node) for node in nodes)

    world.log.faults.is_down = True
    brake = evidence.Brake(move_id, "failures", "/", "catalogue-1")
    first = world.nodes["catalogue-0"]
    first.control.receive(
        node_messages.PeerMessage("catalogue-1", messages.pack((), (brake,)))
    )
    assert not _shares(first)
    world.run(_SPREAD_S)
    assert not any(_shares(node) for node in nodes)

    # The version has no fault, but the brake stays.
    world.log.faults.is_down = False
    _call(world, 30)
    assert not any(_shares(node) for node in nodes)
    for node in nodes:
        (status,) = node.environment.blackboard.state.value.moves
        assert status.outcome.result.value == "undone"
        assert status.outcome.reason == "failures"
