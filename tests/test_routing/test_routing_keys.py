import dataclasses
import itertools

import hypothesis
from hypothesis import strategies

from tests.test_routing import fake_mesh
from trefoilwind import codec
from trefoilwind import errors
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members as members_lib
from trefoilwind.routing import key_messages
from trefoilwind.routing import key_placement
from trefoilwind.routing import key_store

Status = key_messages.KeyStatus
LIFETIME_S = 600.0
PLACES = ("perth-a", "perth-b", "pilbara-a")


def _claim(key="k", token="t1", digest="d"):
    return key_messages.KeyClaim(key, digest, token, 1, 5.0, LIFETIME_S)


def _settle(status, token="t1", key="k", body=b"", delivery=1):
    answer = key_messages.RecordedAnswer(200, (), body) if body else None
    return key_messages.KeySettle(
        delivery, key, "d", token, status, LIFETIME_S, answer
    )


def test_a_second_claim_is_held_until_the_first_one_ends():
    store = key_store.KeyStore()
    assert store.claim(_claim(), 0.0).status is Status.NEW
    assert store.claim(_claim(), 0.0).status is Status.NEW
    assert store.claim(_claim(token="t2"), 1.0).status is Status.HELD
    assert store.claim(_claim(token="t2"), 6.0).status is Status.UNKNOWN
    store.settle(_settle(Status.DONE, body=b"answer"), 7.0)
    decision = store.claim(_claim(token="t2"), 8.0)
    assert decision.status is Status.DONE
    assert decision.answer.body == b"answer"


def test_only_the_holder_releases_a_key():
    store = key_store.KeyStore()
    store.claim(_claim(), 0.0)
    store.settle(_settle(Status.RELEASED, token="t2"), 0.0)
    assert store.claim(_claim(token="t2"), 0.0).status is Status.HELD
    store.settle(_settle(Status.RELEASED), 0.0)
    assert store.claim(_claim(token="t2"), 0.0).status is Status.NEW


def test_a_key_used_for_another_request_is_a_mismatch():
    store = key_store.KeyStore()
    store.claim(_claim(), 0.0)
    decision = store.claim(_claim(token="t2", digest="other"), 0.0)
    assert decision.status is Status.MISMATCH


def test_a_full_store_refuses_and_never_evicts_a_live_key():
    store = key_store.KeyStore(max_keys=2)
    for key in ("a", "b"):
        assert store.claim(_claim(key), 0.0).status is Status.NEW
    assert store.claim(_claim("c"), 1.0).status is Status.REFUSED
    assert store.claim(_claim("a", "t2"), 1.0).status is Status.HELD
    store.expire(LIFETIME_S)
    assert len(store) == 0
    assert store.claim(_claim("c"), LIFETIME_S).status is Status.NEW


def test_recorded_answers_are_bounded_but_their_keys_stay():
    store = key_store.KeyStore(max_answer_bytes=100)
    for number in range(10):
        key = f"k{number}"
        store.settle(_settle(Status.DONE, key=key, body=bytes(30)), 0.0)
        assert store.answer_bytes <= 100
    decision = store.claim(_claim("k0", "t2"), 0.0)
    assert (decision.status, decision.answer) == (Status.DONE, None)


def test_two_claims_merged_in_a_handover_block_each_other():
    store = key_store.KeyStore()
    store.claim(_claim(token="t2"), 0.0)
    other = key_store.KeyStore()
    other.claim(_claim(token="t1"), 0.0)
    for _, entry in other.entries(0.0):
        store.merge(entry, 0.0)
    store.settle(_settle(Status.RELEASED, token="t2"), 0.0)
    assert store.claim(_claim(token="t3"), 0.0).status is Status.HELD


def _snapshot(names, leaving=()):
    return directory.snapshot(
        members_lib.Member(
            name,
            1,
            1,
            PLACES[int(name[1:]) % len(PLACES)],
            addresses.Address(),
            leaving=name in leaving,
        )
        for name in names
    )


def _majorities(group):
    count = len(group) // 2 + 1
    return [set(c) for c in itertools.combinations(group, count)]


@hypothesis.given(
    size=strategies.integers(3, 9),
    changed=strategies.integers(0, 9),
    is_join=strategies.booleans(),
    key=strategies.text(max_size=8),
)
def test_majorities_before_and_after_a_change_share_a_keeper(
    size, changed, is_join, key
):
    names = [f"n{i}" for i in range(size)]
    placement = key_placement.Placement(LIFETIME_S)
    placement.update(_snapshot(names), 0.0)
    (before,) = placement.keeper_sets(key, 0.0)
    other = [*names, "n9"] if is_join else names[:]
    if not is_join:
        other.remove(f"n{changed % size}")
    placement.update(_snapshot(other), 1.0)
    after = placement.keeper_sets(key, 1.0)
    assert before in after
    assert len({k.data_centre for k in after[0]}) == 3
    # A lost node stays a keeper for the lifetime of a key; after a join the
    # earlier view is in effect only until the handover has ended.
    later = placement.keeper_sets(key, LIFETIME_S - 1)
    if not is_join:
        for one in _majorities(before):
            assert all(one & two for two in _majorities(later[0]))


def _known(group):
    return {k for k in group if k != key_placement.UNKNOWN}


def _placement(names, data_centres=PLACES):
    placement = key_placement.Placement(LIFETIME_S)
    placement.update(_snapshot(names), 0.0, frozenset(data_centres))
    return placement


@hypothesis.given(
    names=strategies.lists(
        strategies.sampled_from([f"n{i}" for i in range(9)]),
        min_size=1,
        unique=True,
    ),
    key=strategies.text(max_size=8),
)
def test_nodes_that_saw_one_side_of_a_cut_grant_nothing_against_the_other(
    names, key
):
    every = [f"n{i}" for i in range(9)]
    (whole,) = _placement(every).keeper_sets(key, 0.0)
    seen = {PLACES[int(name[1:]) % len(PLACES)] for name in names}
    side = [
        name for name in every if PLACES[int(name[1:]) % len(PLACES)] in seen
    ]
    (group,) = _placement(side).keeper_sets(key, 0.0)
    needed = len(group) // 2 + 1
    majorities = itertools.combinations(_known(group), needed)
    assert all(
        set(one) & other for one in majorities for other in _majorities(whole)
    )
    if len(seen) == 1:
        assert len(_known(group)) < needed


def test_nodes_of_one_of_two_data_centres_are_no_majority():
    placement = _placement(["n0", "n3"], PLACES[:2])
    (group,) = placement.keeper_sets("k", 0.0)
    assert len(group) == key_placement.KEEPERS
    assert len(_known(group)) == 1


def test_a_view_without_a_possible_majority_blocks_no_later_one():
    placement = _placement(["n0"])
    placement.update(_snapshot(["n0", "n1", "n2"]), 1.0, frozenset(PLACES))
    (group,) = placement.keeper_sets("k", 1.0)
    assert len(_known(group)) == 3


def test_a_view_with_a_possible_majority_is_satisfied_during_a_handover():
    placement = _placement(["n0", "n1"])
    (before,) = placement.keeper_sets("k", 0.0)
    placement.update(_snapshot(["n0", "n1", "n2"]), 1.0, frozenset(PLACES))
    after = placement.keeper_sets("k", 1.0)
    assert before in after
    assert len(after) == 2


def test_a_data_centre_whose_nodes_left_as_planned_still_counts_as_seen():
    placement = _placement(["n0", "n1", "n2"])
    left = _snapshot(["n0", "n1", "n2"], leaving=["n2"])
    placement.update(left, 1.0, frozenset(PLACES))
    placement.update(_snapshot(["n0", "n1"]), 2.0, frozenset(PLACES))
    assert placement.view.unseen_count == 0


def test_a_call_right_after_a_configuration_counts_its_data_centres():
    mesh = fake_mesh.FakeMesh(1)
    node = mesh.add("n0", "perth-a")
    mesh.run(8.0)
    mesh.add("n1", "perth-b")
    mesh.kill("n1")
    decisions = []
    deadline = mesh.clock.monotonic() + 1.0
    node.post(
        key_messages.StartClaim("k", "d", "t1", deadline, decisions.append)
    )
    mesh.run(1.0)
    assert [d.status for d in decisions] == [Status.REFUSED]


def test_keepers_are_spread_over_nodes_and_data_centres():
    names = [f"n{i}" for i in range(9)]
    placement = key_placement.Placement(LIFETIME_S)
    placement.update(_snapshot(names), 0.0)
    counts = dict.fromkeys(names, 0)
    for number in range(3000):
        (group,) = placement.keeper_sets(f"key-{number}", 0.0)
        for keeper in group:
            counts[keeper.node_id] += 1
    assert min(counts.values()) > 500
    assert max(counts.values()) < 1500


def _mesh(**faults):
    mesh = fake_mesh.FakeMesh(1, fake_mesh.Faults(**faults))
    for number, place in enumerate((*PLACES, *PLACES)):
        mesh.add(f"n{number}", place)
    mesh.run(8.0)
    return mesh


def test_a_repeat_through_any_node_gets_the_recorded_answer():
    mesh = _mesh()
    for node_id in mesh.nodes:
        _, result = mesh.make_call(node_id, fake_mesh.ORDERS, "order", "key")
        assert result == b"order"
        mesh.run(0.5)
    assert mesh.executions["order"] == 1


def test_a_repeat_after_a_lost_answer_never_runs_again():
    mesh = _mesh(answer_loss=1.0)
    results = [
        mesh.make_call(node_id, fake_mesh.ORDERS, "order", "key")[1]
        for node_id in mesh.nodes
    ]
    assert mesh.executions["order"] == 1
    for result in results:
        assert isinstance(result, bytes) or not result.not_run


def test_a_lost_keeper_neither_blocks_nor_loses_a_key():
    for lost in range(6):
        mesh = _mesh()
        mesh.make_call("n0", fake_mesh.ORDERS, "order", "key")
        mesh.run(1.0)
        mesh.kill(f"n{lost}")
        entry = next(iter(mesh.nodes))
        _, repeat = mesh.make_call(entry, fake_mesh.ORDERS, "order", "key")
        assert repeat == b"order"
        _, other = mesh.make_call(entry, fake_mesh.ORDERS, "next", "key-2")
        assert isinstance(other, bytes) or other.not_run
        assert mesh.executions["order"] == 1


def test_keys_are_handed_over_when_members_are_replaced_as_planned():
    mesh = _mesh()
    mesh.make_call("n0", fake_mesh.ORDERS, "order", "key")
    for number in range(6):
        node_id = f"n{number}"
        mesh.leave(node_id)
        mesh.run(8.0)
        mesh.remove(node_id)
        mesh.add(node_id, PLACES[number % 3])
        mesh.run(8.0)
    _, repeat = mesh.make_call("n3", fake_mesh.ORDERS, "order", "key")
    assert repeat == b"order"
    assert mesh.executions["order"] == 1


def test_a_partition_side_without_a_majority_refuses_the_call():
    mesh = _mesh()
    mesh.cut_regions(True)
    mesh.run(20.0)
    _, majority_result = mesh.make_call("n0", fake_mesh.ORDERS, "order", "key")
    _, minority_result = mesh.make_call("n2", fake_mesh.ORDERS, "order", "key")
    assert majority_result == b"order"
    assert minority_result.reason is errors.Reason.KEEPER_UNAVAILABLE
    assert not minority_result.not_run
    assert mesh.executions["order"] == 1


def test_a_new_node_refuses_claims_until_the_handover_period_has_passed():
    mesh = fake_mesh.FakeMesh(1)
    mesh.add("n0", "perth-a")
    _, result = mesh.make_call("n0", fake_mesh.ORDERS, "order", "key")
    assert result.reason is errors.Reason.KEEPER_UNAVAILABLE
    assert mesh.executions["order"] == 0


def test_a_claim_for_an_earlier_incarnation_of_a_keeper_is_not_recorded():
    mesh = fake_mesh.FakeMesh(1)
    node = mesh.add("n0", "perth-a")
    mesh.run(8.0)
    incarnation = node.environment.incarnation
    counts = []
    for claimed in (incarnation - 1, incarnation):
        claim = dataclasses.replace(_claim(), incarnation=claimed)
        node.receive("n1", claim)
        counts.append(len(node.keepers.store))
    assert counts == [0, 1]


def test_a_granted_claim_that_is_never_ended_becomes_unknown():
    mesh = fake_mesh.FakeMesh(1)
    node = mesh.add("n0", "perth-a")
    mesh.run(8.0)
    decisions = []
    deadline = mesh.clock.monotonic() + 1.0
    start = key_messages.StartClaim("k", "d", "t1", deadline, decisions.append)
    node.post(start)
    mesh.run(40.0)
    node.post(dataclasses.replace(start, token="t2"))
    mesh.run(1.0)
    assert [d.status for d in decisions] == [Status.NEW, Status.UNKNOWN]


def test_messages_round_trip_through_the_codec():
    answer = key_messages.RecordedAnswer(200, (("A", "b"),), b"body")
    messages = (
        _claim(),
        key_messages.KeyVerdict("t", 1, Status.DONE, answer),
        dataclasses.replace(_settle(Status.DONE), answer=answer),
        key_messages.KeyTransfer(
            1,
            (
                key_messages.LeasedKey(
                    "k", "d", "t", Status.HELD, 1.0, 2.0, answer
                ),
            ),
        ),
        key_messages.KeyAck(1),
    )
    for message in messages:
        assert codec.decode(codec.encode(message), "test") == message
