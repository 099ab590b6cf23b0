import dataclasses

import pytest

from tests.test_distribution import mesh as mesh_lib
from trefoilwind import clock as clock_lib
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import links as links_lib
from trefoilwind.membership import controller as membership_lib
from trefoilwind.membership import messages as membership_messages
from trefoilwind.model import members as members_lib
from trefoilwind.node import messages

SUSPICION_WAIT_S = 10.0


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


def member_at(mesh, at: str, node_id: str) -> members_lib.Member | None:
    return mesh.nodes[at].board.members.value.by_node.get(node_id)


def test_a_dead_node_is_removed_before_its_lease_ends(mesh):
    mesh.kill("a")
    run(mesh, SUSPICION_WAIT_S)
    assert all(member_at(mesh, at, "a") is None for at in "bcd")


def test_a_live_node_refutes_a_suspicion(mesh):
    member = member_at(mesh, "b", "a")
    suspicion = membership_messages.Suspicion("a", member.incarnation, 999)
    for at in "bcd":
        peer = next(iter(mesh.nodes[at].connected))
        mesh.nodes[at].control.receive(messages.PeerMessage(peer, suspicion))
    run(mesh, SUSPICION_WAIT_S)
    assert all(member_at(mesh, at, "a") is not None for at in "bcd")


def test_a_restart_with_an_earlier_wall_clock_supersedes_the_old_member(mesh):
    old = member_at(mesh, "b", "a")
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
    assert member_at(mesh, "b", "a").incarnation == 10**15 + 1


def test_a_leaving_node_gets_no_calls_after_a_second(mesh):
    mesh.nodes["a"].announcement = None
    mesh.nodes["a"].control.receive(messages.Withdrawal())
    run(mesh, 1.0)
    assert all(member_at(mesh, at, "a").leaving for at in "bcd")


def test_a_suspected_node_pushes_a_later_renewal_at_once():
    settings = settings_lib.NodeSettings(
        node_id="a",
        data_centre="perth-a",
        region="perth",
        log=settings_lib.LogSettings(url=""),
    )
    environment = environment_lib.make(settings, clock_lib.VirtualClock(), 1)
    links = links_lib.LinkController(environment)
    controller = membership_lib.MembershipController(environment, links)
    links.peer_connected("b")
    suspicion = membership_messages.Suspicion("a", environment.incarnation, 99)
    (envelope,) = controller.handle("b", suspicion)
    (leased,) = envelope.message.leased_members
    assert (envelope.peer, leased.renewal) == ("b", 100)
