"""Upper bound of the credit share, computed from slots and work times."""

from trefoilwind.emulator import results as results_lib
from trefoilwind.emulator import scenario as scenario_lib


def credit_share(
    scenario: scenario_lib.Scenario, results: results_lib.Results
) -> float:
    """Return the largest share of the requests' worth that can be earned.

    In each window and service, the slots are filled with the requests of the
    highest worth per second of work. Waiting, network latency and nested calls
    are ignored, and no work moves between windows, so a policy that lets work
    wait into the next window may slightly exceed the bound.

    Args:
        scenario: Scenario that was emulated.
        results: Results of an emulation, for the requests that arrived.
    """
    total_worth = 0.0
    earned = 0.0
    for window, arrivals in results.arrivals().items():
        for service in {group.service for group in scenario.servers}:
            capacity_s = _capacity_s(scenario, service, window)
            for call_class in _by_worth_per_work(scenario, service):
                count = arrivals.get(call_class.name, 0)
                served = min(count, capacity_s / call_class.work_s)
                capacity_s -= served * call_class.work_s
                total_worth += count * call_class.worth
                earned += served * call_class.worth
    return earned / max(total_worth, 1e-9)


def _by_worth_per_work(
    scenario: scenario_lib.Scenario, service: str
) -> list[scenario_lib.CallClass]:
    found = [c for c in scenario.classes if c.service == service and c.weight]
    return sorted(found, key=lambda c: c.worth / c.work_s, reverse=True)


def _capacity_s(
    scenario: scenario_lib.Scenario, service: str, window: int
) -> float:
    """Return the seconds of work that a service can do in a window."""
    start = window * scenario.window_s
    total_s = 0.0
    for group in scenario.servers:
        if group.service != service:
            continue
        for index, speed in enumerate(group.speeds):
            speed_share = _speed_share(scenario, group, index, start)
            total_s += group.slots * speed * speed_share * scenario.window_s
    return total_s


def _speed_share(
    scenario: scenario_lib.Scenario,
    group: scenario_lib.ServerGroup,
    index: int,
    start: float,
) -> float:
    """Return the share of its usual speed that a server has in a window."""
    end = start + scenario.window_s
    speed_share = 1.0
    for trouble in scenario.troubles:
        is_affected = (
            trouble.service == group.service
            and trouble.data_centre == group.data_centre
            and trouble.index == index
        )
        overlap_s = min(end, trouble.at_s + trouble.for_s) - max(
            start, trouble.at_s
        )
        if is_affected and overlap_s > 0:
            relative_speed = 1 / trouble.slow if trouble.slow else 0.0
            speed_share -= (1 - relative_speed) * overlap_s / scenario.window_s
    return max(0.0, speed_share)
