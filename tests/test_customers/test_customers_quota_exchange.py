"""Quotas of whole meshes on a virtual clock: the bound and unused limits."""

import hypothesis
from hypothesis import strategies
import pytest

from tests.test_customers import quota_mesh
from trefoilwind.customers import quota_exchange
from trefoilwind.customers import quota_ownership
from trefoilwind.distribution import topology
from trefoilwind.model import mesh

# Usual demand of a customer as a part of its limit.
_USUAL = 1 / 1.6
_SURGE = 7.5 * _USUAL


def _customer(rate_per_s: float, name: str = "c") -> mesh.Customer:
    return mesh.Customer(name, rate_per_s=rate_per_s, burst=rate_per_s)


def _started(customer: mesh.Customer, nodes: int = 84) -> quota_mesh.Mesh:
    made = quota_mesh.Mesh(nodes, 6)
    made.start_all([customer])
    return made


def _owner(made: quota_mesh.Mesh, name: str) -> str:
    return quota_ownership.slot(name, quota_ownership.candidates(made.snapshot))


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["kill", "freeze", "cut centre", "cut nodes", "cut pair", "restart"]
        ),
        strategies.floats(1.0, 12.0),
        strategies.floats(0.1, 6.0),
        strategies.integers(0, 1000),
    ),
    max_size=6,
)


def _apply(made: quota_mesh.Mesh, event: tuple) -> None:
    kind, begin, duration_s, choice = event
    node_ids = made.node_ids
    candidates = quota_ownership.candidates(made.snapshot)
    # Voters are chosen more often than other nodes.
    targets = (*candidates, *candidates, *node_ids)
    chosen = targets[choice % len(targets)]
    other = candidates[choice % len(candidates)]
    end = begin + duration_s
    if kind == "kill":
        made.at(begin, lambda: made.kill(chosen))
        made.at(end, lambda: made.start(chosen))
    elif kind == "restart":
        made.at(begin, lambda: [made.kill(each) for each in node_ids])
        made.at(begin + 1.0, lambda: [made.start(each) for each in node_ids])
    elif kind == "freeze":
        made.at(begin, lambda: made.freeze(chosen, end))
    elif kind == "cut pair":
        pair = frozenset((chosen, other))
        made.at(begin, lambda: made.cut_pairs.add(pair))
        made.at(end, lambda: made.cut_pairs.discard(pair))
    else:
        centre = made.snapshot.by_node[chosen].data_centre
        cut = made.in_data_centre(centre)
        if kind == "cut nodes":
            cut = set(node_ids[: 1 + choice % len(node_ids)])
        made.at(begin, lambda: made.cut_off.update(cut))
        made.at(end, lambda: made.cut_off.difference_update(cut))


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    nodes=strategies.integers(6, 24),
    centres=strategies.integers(1, 6),
    rate_per_s=strategies.sampled_from([4.0, 8.0, 25.0, 60.0]),
    load=strategies.sampled_from([1.0, 3.0, _SURGE]),
    part=strategies.integers(1, 24),
    events=_EVENTS,
    seed=strategies.integers(0, 1000),
)
def test_more_calls_run_than_the_bound(
    nodes, centres, rate_per_s, load, part, events, seed
):
    """Guards against two owners, lost reports and tokens that outlive a loan.

    In any window, with any partition, freeze, kill and restart.
    """
    customer = _customer(rate_per_s)
    made = quota_mesh.Mesh(nodes, centres, seed)
    made.start_all([customer])
    for event in events:
        _apply(made, event)
    made.load("c", load * rate_per_s, 0.1, 15, made.node_ids[:part], 0.1)
    made.run(16)
    assert made.largest_excess(customer) <= 0


@pytest.mark.parametrize("rate_per_s", [3.0, 8.0, 30.0, 150.0])
def test_usual_demand_is_refused(rate_per_s):
    """Guards against refusals below the limit while nothing fails."""
    made = _started(_customer(rate_per_s))
    made.load("c", rate_per_s * _USUAL, 3, 20)
    made.run(21)
    assert not made.refused["c"]


@pytest.mark.parametrize("part", [1, 84])
@pytest.mark.parametrize("rate_per_s", [8.0, 30.0, 150.0])
def test_customer_above_its_limit_gets_less_than_it(rate_per_s, part):
    """Guards against tokens that end unused while calls are refused."""
    made = _started(_customer(rate_per_s))
    made.load("c", rate_per_s * _SURGE, 3, 9.5, made.node_ids[:part])
    made.run(11)
    assert made.count(made.served, "c", 3, 9.5) >= rate_per_s * 6.5
    # After the burst, too.
    assert made.count(made.served, "c", 5, 9.5) >= 0.95 * rate_per_s * 4.5


@pytest.mark.parametrize("fault", ["kill", "cut off", "freeze"])
def test_lost_owner_stops_its_customers(fault):
    """Guards against an owner that is not replaced."""
    made = _started(_customer(30.0))
    owner = _owner(made, "c")
    made.load("c", 30.0 * _USUAL, 3, 14)
    if fault == "kill":
        made.at(6, lambda: made.kill(owner))
    elif fault == "cut off":
        made.at(6, lambda: made.cut_off.add(owner))
    else:
        made.at(6, lambda: made.freeze(owner, 20.0))
    made.run(14.5)
    late = made.count(made.refused, "c", 9.5, 14)
    served = made.count(made.served, "c", 9.5, 14)
    # Callers of the lost node itself are not served by the others.
    assert late <= 0.05 * served


def test_owner_that_no_other_node_hears_goes_on_lending():
    """Guards against two owners while messages pass in one direction only."""
    customer = _customer(25.0)
    made = _started(customer, 12)
    owner = _owner(made, "c")
    made.load("c", 60.0, 3, 20, [owner])
    made.load("c", 60.0, 3, 20)
    made.at(8, lambda: made.mute.add(owner))
    made.at(16, made.mute.clear)
    made.run(21)
    assert made.largest_excess(customer) <= 0


def test_candidates_disagree_after_they_have_not_heard_of_each_other():
    """Guards against a half that keeps to owners which can't lend."""
    customers = [_customer(8.0, f"c{each}") for each in range(20)]
    made = quota_mesh.Mesh(84, 6, 3)
    made.start_all(customers)
    candidates = quota_ownership.candidates(made.snapshot)
    for node_id in made.node_ids:
        made.kill(node_id)
        # Three candidates of six start first.
        begin = 4 if node_id in candidates[3:] else 1
        made.at(begin, lambda node_id=node_id: made.start(node_id))
    # Neither half hears the other one for three seconds.
    pairs = {frozenset((a, b)) for a in candidates[:3] for b in candidates[3:]}
    made.at(3, lambda: made.cut_pairs.update(pairs))
    made.at(6, made.cut_pairs.clear)
    for customer in customers:
        made.load(customer.name, 8.0 * _USUAL, 9, 13)
    made.run(14)
    assert not any(made.refused.values())


def test_lowered_limit_is_exceeded():
    """Guards against tokens that were lent or kept under an earlier limit."""
    made = _started(_customer(100.0))
    made.load("c", 200.0, 3, 20)
    lowered = _customer(10.0)

    def lower():
        for exchange in made.exchanges.values():
            exchange.set_customers((lowered,))

    made.at(8, lower)
    made.run(21)
    # One window after the change was in force everywhere.
    made.served["c"] = [each for each in made.served["c"] if each >= 8.0]
    assert made.largest_excess(lowered) <= 0


def test_customer_that_is_removed_and_added_again_gets_a_full_bucket():
    """Guards against tokens that are lent again after each configuration."""
    customer = _customer(20.0)
    made = _started(customer)
    made.load("c", 150.0, 3, 20)

    def replace():
        for exchange in made.exchanges.values():
            exchange.set_customers((_customer(1.0, "other"),))
            exchange.set_customers((customer,))

    for step in range(10):
        made.at(8.0 + 0.5 * step, replace)
    made.run(21)
    assert made.largest_excess(customer) <= 0


def test_call_that_waits_while_its_limit_is_removed_gets_no_result():
    """Guards against a request without an answer after a new configuration."""
    made = quota_mesh.Mesh(4, 1)
    relay = topology.relays(made.snapshot, "d0", 1)[0]
    node_id = next(each for each in made.node_ids if each != relay)
    ports = quota_exchange.Ports(
        lambda: made.now,
        lambda delay_s, function: made.at(made.now + delay_s, function),
        lambda peer, message: None,
        lambda peer: True,
        lambda: made.snapshot,
    )
    exchange = quota_exchange.Exchange(node_id, 1, quota_mesh.TERMS, ports, 0.0)
    exchange.set_customers((_customer(10.0),))
    results = []
    made.run(0.1)
    for _ in range(20):
        exchange.take("c", results.append)
    assert len(results) < 20
    exchange.set_customers(())
    made.run(1.0)
    assert results == [None] * 20


def test_message_without_a_limited_customer():
    """Guards against a cost where no customer has a limit."""
    made = _started(mesh.Customer("c"))
    made.run(10)
    assert not made.messages


def test_idle_customers_cost_messages():
    """Guards against messages for customers that are not at work."""
    made = quota_mesh.Mesh(30, 3)
    made.start_all([_customer(10.0, f"c{each}") for each in range(1000)])
    made.run(10)
    candidates = set(quota_ownership.candidates(made.snapshot))
    assert set(made.messages) <= candidates


def test_requests_of_a_node_grow_with_its_calls():
    """Guards against a message for each call of many customers."""
    made = quota_mesh.Mesh(30, 3)
    names = [f"c{each}" for each in range(300)]
    made.start_all([_customer(10.0, name) for name in names])
    for name in names:
        made.load(name, 3.0, 3, 8, ["n0"])
    candidates = quota_ownership.candidates(made.snapshot)
    assert "n0" not in candidates
    made.run(8)
    most = quota_exchange.REQUEST_BURST + 5 * quota_exchange.REQUESTS_PER_S
    assert made.messages["n0"] <= most
