import pytest

from tests.test_distribution import mesh as mesh_lib
from trefoilwind.log import fold
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

LEASE_S = 20.0
NAME = fold.CHECKPOINT_LEASE


@pytest.fixture
def mesh():
    mesh = mesh_lib.Mesh(seed=1)
    for node_id in ("a", "b", "c"):
        mesh.start(node_id, "perth-a")
    run(mesh, 5.0)
    return mesh


def run(mesh: mesh_lib.Mesh, seconds: float) -> None:
    for _ in range(round(seconds / mesh_lib.TICK_S)):
        mesh.step()


def lease_of(mesh: mesh_lib.Mesh) -> state_lib.Lease:
    node = next(n for n in mesh.nodes.values() if not n.is_paused)
    return node.board.state.value.lease(NAME)


def test_paused_holder_loses_its_lease_and_epoch(mesh):
    held = lease_of(mesh)
    holder = held.holder.partition("#")[0]
    mesh.pause(holder, 3 * LEASE_S)
    run(mesh, 2.5 * LEASE_S)
    successor = lease_of(mesh)
    assert successor.holder != held.holder
    assert successor.epoch > held.epoch


def test_claim_with_a_far_future_wall_time_does_not_block_the_lease(mesh):
    wall = mesh.clock.wall() + 1e6
    claim = records.LeaseClaim(NAME, "fast#1", wall + LEASE_S, wall)
    mesh.log.append(records.encode("fast", "fast", claim))
    run(mesh, 1.0)
    assert lease_of(mesh).holder == "fast#1"
    run(mesh, 2 * LEASE_S)
    assert lease_of(mesh).holder != "fast#1"
