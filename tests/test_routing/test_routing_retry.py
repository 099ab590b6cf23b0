import dataclasses

from tests.test_routing import fake_mesh
from trefoilwind import errors
from trefoilwind.proxy import dispatcher as dispatcher_lib
from trefoilwind.routing import retries
from trefoilwind.routing import suspects

CALLS = 300


def _mesh(nodes=4, **faults):
    mesh = fake_mesh.FakeMesh(1, fake_mesh.Faults(**faults))
    for number in range(nodes):
        mesh.add(f"n{number}", "perth-a")
    mesh.run(8.0)
    return mesh


def test_retries_stay_under_their_budget_when_everything_fails():
    mesh = _mesh()
    for node in mesh.nodes.values():
        node.backend.is_alive = False
    for number in range(CALLS):
        _, result = mesh.make_call("n0", fake_mesh.LOOKUPS, f"r{number}")
        assert result.not_run
    attempts = len(mesh.nodes["n0"].observations)
    ratio = fake_mesh.LOOKUPS.retry_ratio
    assert attempts > CALLS
    assert attempts <= CALLS * (1 + ratio) + retries.RESERVE_TOKENS


def test_a_retry_that_cannot_end_in_time_is_not_started():
    budgets = retries.RetryBudgets()
    for _ in range(100):
        budgets.answered(fake_mesh.LOOKUPS, 0.2)
    assert not budgets.withdraw(fake_mesh.LOOKUPS, 0.1)
    assert budgets.withdraw(fake_mesh.LOOKUPS, 0.3)


def test_a_non_idempotent_call_is_retried_only_if_proven_not_run():
    mesh = _mesh(answer_loss=1.0)
    for number in range(20):
        request_id = f"order-{number}"
        mesh.make_call("n0", fake_mesh.ORDERS, request_id)
        assert mesh.executions[request_id] <= 1


def test_a_refused_attempt_after_one_that_may_have_run_is_unknown():
    mesh = _mesh()
    entry = mesh.nodes["n0"]
    entry.member = dataclasses.replace(entry.member, version="v0")
    mesh.run(1.0)
    lost = errors.CallError(errors.Reason.PEER_UNREACHABLE, "fake")
    refused = dataclasses.replace(lost, not_run=True)
    results = [lost, refused, refused]
    mesh.call_remote = lambda *_: results.pop(0)
    _, result = mesh.make_call("n0", fake_mesh.LOOKUPS, "lookup")
    assert results == []
    assert not result.not_run


def test_a_poison_request_crashes_two_servers_and_is_counted_once_at_most():
    mesh = _mesh()
    for node_id in ("n0", "n1", "n2", "n3"):
        _, result = mesh.make_call(
            node_id, fake_mesh.LOOKUPS, "poison", path="/poison"
        )
        assert not result.not_run
        mesh.run(1.0)
    deaths = sum(n.backend.deaths for n in mesh.nodes.values())
    assert deaths == suspects.DEATHS_TO_REFUSE
    assert result.reason is errors.Reason.POISON_REQUEST
    counted = [
        observation
        for node in mesh.nodes.values()
        for observation in node.observations
        if observation.failed and not observation.shed
    ]
    assert len(counted) <= 1


def test_a_success_clears_a_suspect():
    mesh = _mesh()
    call = ("n0", fake_mesh.LOOKUPS, "lookup")
    mesh.make_call(*call, path="/poison")
    section = mesh.nodes["n1"].environment.blackboard.suspects
    mesh.run(1.0)
    (suspect,) = section.value.suspects
    cleared = dataclasses.replace(suspect, cleared=suspect.deaths)
    assert suspect.count >= 1
    assert cleared.count == 0
    assert not cleared.is_refused


def test_a_suspect_is_removed_when_its_lease_ends():
    mesh = _mesh()
    mesh.make_call("n0", fake_mesh.LOOKUPS, "poison", path="/poison")
    mesh.run(1.0)
    section = mesh.nodes["n3"].environment.blackboard.suspects
    assert section.value.suspects
    mesh.run(310.0)
    assert not section.value.suspects


def test_a_call_makes_a_bounded_number_of_attempts():
    mesh = _mesh(unreachable=1.0)
    mesh.make_call("n0", fake_mesh.LOOKUPS, "lookup")
    attempts = len(mesh.nodes["n0"].observations)
    assert 1 <= attempts <= dispatcher_lib.MAX_ATTEMPTS


def test_an_unreachable_server_does_not_attract_calls():
    mesh = _mesh()
    mesh.nodes["n3"].backend.is_alive = False
    for number in range(CALLS):
        mesh.make_call("n0", fake_mesh.LOOKUPS, f"r{number}")
    attempted = [o.node_id for o in mesh.nodes["n0"].observations]
    assert 0 < attempted.count("n3") < CALLS / 10
