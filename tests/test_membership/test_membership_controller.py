import dataclasses

import pytest

from tests.test_distribution import mesh as mesh_lib
from trefoilwind.membership import messages as membership_messages
from trefoilwind.model import members as members_lib
from trefoilwind.node import messages

SUSPECTED_S = 10.0


@pytest.fixture
def mesh():
    mesh = mesh_lib.Mesh(seed=1)
    for node_id in ("a", "b", "c", "d"):
        mesh.start(node_id, "perth-a")
    run(mesh, 9.0)
    return mesh


def run(mesh: mesh_lib.Mesh, seconds: float) -> None:
    for _ in range(round(seconds / mesh_lib.TICK_S)):
        mesh.step()


def entry(mesh, at: str, node_id: str) -> members_lib.Member | None:
    return mesh.nodes[at].board.members.value.by_node.get(node_id)


def test_a_dead_node_is_taken_out_before_its_lease_ends(mesh):
    mesh.kill("a")
    run(mesh, SUSPECTED_S)
    assert all(entry(mesh, at, "a") is None for at in "bcd")


def test_a_live_node_refutes_a_suspicion(mesh):
    member = entry(mesh, "b", "a")
    suspicion = membership_messages.Suspicion("a", member.incarnation, 999)
    for at in "bcd":
        peer = next(iter(mesh.nodes[at].connected))
        mesh.nodes[at].control.receive(messages.PeerMessage(peer, suspicion))
    run(mesh, SUSPECTED_S)
    assert all(entry(mesh, at, "a") is not None for at in "bcd")


def test_a_restart_with_an_earlier_wall_clock_outdoes_the_old_entry(mesh):
    old = entry(mesh, "b", "a")
    mesh.kill("a")
    node = mesh.start("a", "perth-a")
    assert node.environment.incarnation > old.incarnation
    later = dataclasses.replace(old, incarnation=10**15)
    update = membership_messages.MemberUpdate(
        (membership_messages.LeasedMember(later, 30.0, 1),)
    )
    run(mesh, 3.0)
    peer = next(iter(node.connected))
    node.control.receive(messages.PeerMessage(peer, update))
    run(mesh, 3.0)
    assert entry(mesh, "b", "a").incarnation == 10**15 + 1


def test_a_leaving_node_gets_no_work_after_a_second(mesh):
    mesh.nodes["a"].announcement = None
    mesh.nodes["a"].control.receive(messages.Withdrawal())
    run(mesh, 1.0)
    assert all(entry(mesh, at, "a").leaving for at in "bcd")
