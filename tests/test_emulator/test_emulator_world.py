"""Tests of emulations on a virtual clock."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from trefoilwind.emulator import bounds
from trefoilwind.emulator import event_queue
from trefoilwind.emulator import policies
from trefoilwind.emulator import report
from trefoilwind.emulator import results as results_lib
from trefoilwind.emulator import scenario as scenario_lib
from trefoilwind.emulator import world
from trefoilwind.routing import placement

_NEAR_CENTRE = scenario_lib.DataCentre("near", "one", 60.0)
_FAR_CENTRE = scenario_lib.DataCentre("far", "two", 60.0)
_READ = scenario_lib.CallClass(
    "read", "s", 1.0, 0.1, 0.3, 0.4, 1.5, 1.0, 0.3, 2, 1
)
_WRITE = dataclasses.replace(_READ, name="write", weight=0.3, worth=2.0, rank=1)
_SCENARIO = scenario_lib.Scenario(
    name="small",
    length_s=6.0,
    data_centres=(_NEAR_CENTRE, _FAR_CENTRE),
    servers=(
        scenario_lib.ServerGroup("s", "near", 8, (1.0, 1.0)),
        scenario_lib.ServerGroup("s", "far", 8, (1.0,)),
    ),
    classes=(_READ, _WRITE),
)
# Overload: 350 requests per second of 0.1 s of work each for 24 slots; 160 per
# second would use 67% of the slots.
_OVERLOADED = dataclasses.replace(
    _SCENARIO,
    data_centres=(
        dataclasses.replace(_NEAR_CENTRE, per_s=220.0),
        dataclasses.replace(_FAR_CENTRE, per_s=130.0),
    ),
)


def _run(
    scenario: scenario_lib.Scenario, policy: str = "product", seed: int = 1
) -> results_lib.Results:
    return world.World(scenario, policy, seed).run()


def test_events_run_by_time_then_in_the_order_of_scheduling():
    queue = event_queue.EventQueue()
    seen = []
    queue.call_later(2.0, lambda: seen.append((queue.now, "late")))
    queue.call_later(1.0, lambda: seen.append((queue.now, "first")))
    queue.call_later(
        1.0, lambda: queue.call_later(0.5, lambda: seen.append(queue.now))
    )
    queue.run()
    assert seen == [(1.0, "first"), 1.5, (2.0, "late")]


def test_light_load_is_served_in_time():
    found = _run(_SCENARIO)
    assert found.total() > 500
    assert found.served_share() == 1.0
    assert found.credit_share() > 0.99


def test_an_emulation_is_reproducible():
    one, other = _run(_OVERLOADED, seed=3), _run(_OVERLOADED, seed=3)
    assert one.credit_shares_by_window() == other.credit_shares_by_window()
    assert one.attempts == other.attempts


def test_all_policies_get_the_same_requests():
    totals = {
        name: _run(_OVERLOADED, name).arrivals() for name in policies.NAMES
    }
    assert totals["product"] == totals["fifo"] == totals["asks-on"]


def test_overload_refuses_less_important_calls_first_and_earns_more_than_fifo():
    found = _run(_OVERLOADED)
    plain = _run(_OVERLOADED, "fifo")
    assert found.served_share("write") > 0.95
    assert found.served_share("read") < 0.9
    assert found.credit_share() > plain.credit_share() + 0.1
    assert found.credit_share() / bounds.credit_share(_OVERLOADED, found) > 0.8


def test_refused_calls_end_sooner_without_trying_other_full_regions():
    overloaded = dataclasses.replace(
        _OVERLOADED,
        data_centres=tuple(
            dataclasses.replace(c, per_s=2.5 * c.per_s)
            for c in _SCENARIO.data_centres
        ),
    )
    any_region = _run(overloaded, "asks-on")
    found = _run(overloaded)
    assert found.refusal_quantile_s(0.5) < any_region.refusal_quantile_s(0.5)
    assert found.credit_share() > any_region.credit_share() - 0.01


def test_calls_to_a_server_that_is_down_are_served_by_the_others():
    down = scenario_lib.Trouble("s", "near", 0, 1.0, 3.0, 0.0)
    found = _run(dataclasses.replace(_SCENARIO, troubles=(down,)))
    assert found.served_share() > 0.99


def test_a_slow_server_makes_calls_wait():
    slow = scenario_lib.Trouble("s", "near", 0, 0.0, 6.0, 8.0)
    found = _run(dataclasses.replace(_SCENARIO, troubles=(slow,)))
    usual = _run(_SCENARIO)
    assert found.credit_share() < usual.credit_share()


def test_a_server_that_fails_fast_does_not_attract_calls(monkeypatch):
    trouble = scenario_lib.Trouble("s", "near", 0, 0.5, 5.0, 1.0, 1.0)
    scenario = dataclasses.replace(_SCENARIO, troubles=(trouble,))
    found = _run(scenario)
    monkeypatch.setattr(placement, "FAILURE_COST_S", 0.0)
    without_failure_cost = _run(scenario)
    assert found.served_share() > 0.9
    assert without_failure_cost.served_share() < found.served_share() - 0.2


def test_many_entry_nodes_do_not_choose_the_same_fast_servers(monkeypatch):
    speeds = (0.5, 1.0, 1.0, 1.5) * 4
    group = scenario_lib.ServerGroup("s", "near", 4, speeds)
    centre = dataclasses.replace(_NEAR_CENTRE, per_s=240.0)
    scenario = dataclasses.replace(
        _SCENARIO, data_centres=(centre,), servers=(group,)
    )
    found = _run(scenario)
    monkeypatch.setattr(placement, "SAMPLE_SIZE", len(speeds))
    unsampled = _run(scenario)
    assert (
        found.wait_quantile_s("read", 0.99)
        < unsampled.wait_quantile_s("read", 0.99) / 2
    )


def test_a_failed_nested_call_fails_the_call_that_made_it():
    inner = dataclasses.replace(
        _READ, name="inner", service="t", weight=0.0, deadline_s=0.2
    )
    outer = dataclasses.replace(_READ, calls="inner", call_share=1.0)
    group = scenario_lib.ServerGroup("t", "far", 1, (1.0,))
    found = _run(
        dataclasses.replace(
            _SCENARIO,
            classes=(outer, inner),
            servers=(*_SCENARIO.servers, group),
        )
    )
    assert found.count(results_lib.Status.FAILED) > 0
    assert found.class_names == ("read",)


@hypothesis.settings(max_examples=20)
@hypothesis.given(
    strategies.integers(0, 1000),
    strategies.floats(0.2, 6.0),
    strategies.sampled_from(policies.NAMES),
)
def test_each_request_ends_once_with_a_credit_share_of_at_most_one(
    seed: int, load: float, policy: str
):
    scenario = dataclasses.replace(
        _SCENARIO,
        length_s=2.0,
        data_centres=tuple(
            dataclasses.replace(c, per_s=load * c.per_s)
            for c in _SCENARIO.data_centres
        ),
    )
    found = _run(scenario, policy, seed)
    arrived = sum(
        count for each in found.arrivals().values() for count in each.values()
    )
    assert found.total() == arrived
    assert 0.0 <= found.credit_share() <= 1.0
    assert found.attempts >= found.total()


def test_bound_fills_the_slots_by_worth():
    found = results_lib.Results(2.0)
    for name, worth in (("read", 1.0), ("write", 2.0)):
        for _ in range(400):
            found.record_end(
                results_lib.EndedRequest(
                    name, 0.5, results_lib.Status.IN_TIME, worth, worth
                )
            )
    # 24 slots complete 480 runs of 0.1 s in 2 s: all 400 writes and 80 reads.
    share = bounds.credit_share(_SCENARIO, found)
    assert share == pytest.approx((400 * 2 + 80) / 1200)


def test_drawn_work_has_the_configured_mean():
    rng = random.Random(5)
    draws = [scenario_lib.draw_work_s(_READ, rng) for _ in range(20000)]
    assert sum(draws) / len(draws) == pytest.approx(0.1, rel=0.02)
    even = dataclasses.replace(_READ, work_spread=0.0)
    assert scenario_lib.draw_work_s(even, rng) == 0.1


def test_a_burst_raises_the_rate_of_its_data_centre():
    burst = scenario_lib.Burst(1.0, 2.0, 3.0, "near")
    scenario = dataclasses.replace(_SCENARIO, bursts=(burst,))
    assert scenario_lib.arrival_rate_per_s(
        scenario, _NEAR_CENTRE, 1.5
    ) == pytest.approx(180.0)
    assert scenario_lib.arrival_rate_per_s(
        scenario, _NEAR_CENTRE, 3.5
    ) == pytest.approx(60.0)
    assert scenario_lib.arrival_rate_per_s(
        scenario, _FAR_CENTRE, 1.5
    ) == pytest.approx(60.0)


def test_report_names_each_run():
    found = _run(dataclasses.replace(_SCENARIO, length_s=2.0))
    run = report.Run("product", 1, found, bounds.credit_share(_SCENARIO, found))
    page = report.page(_SCENARIO, (run,), "small.svg")
    assert "| product | 1 | 1.000 |" in page
    assert "| product | 1 | write |" in page
    assert report.plot(_SCENARIO, (run,)).startswith("<svg ")


def test_a_customer_above_its_usual_load_does_not_displace_the_others():
    customers = (
        scenario_lib.CustomerGroup("large", 1, 3.0),
        scenario_lib.CustomerGroup("small", 6, 1.0),
    )
    burst = scenario_lib.Burst(1.0, 5.0, 7.5, customer="large-0")
    scenario = dataclasses.replace(
        _SCENARIO, customers=customers, bursts=(burst,)
    )
    found = _run(scenario, "rank-and-fit")
    unfair = _run(scenario, "rank")
    assert found.arrivals() == unfair.arrivals()

    def small_share(results: results_lib.Results) -> float:
        names = [f"small-{index}" for index in range(6)]
        return min(results.customer_served_share(name) for name in names)

    assert small_share(found) > small_share(unfair)
    assert found.least_served_customer() > 0.25
