"""Most that backend servers could earn, from slots and work times alone."""

from trefoilwind.emulator import results as results_lib
from trefoilwind.emulator import scenario as scenario_lib


def credit_share(
    scenario: scenario_lib.Scenario, results: results_lib.Results
) -> float:
    """Return the largest part of the worth owed that could be earned.

    In each window and service the slots are filled by what is worth most for
    its time. Waiting, ways and the calls of runs are left out, and nothing
    moves between windows, so a policy that lets work wait into the next
    window may come a little above it.

    Args:
        scenario: What was emulated.
        results: An emulation of it, for the requests that came.
    """
    owed = 0.0
    earned = 0.0
    for window, arrivals in results.arrivals().items():
        for service in {group.service for group in scenario.servers}:
            room_s = _room_s(scenario, service, window)
            for each in _by_density(scenario, service):
                count = arrivals.get(each.name, 0)
                served = min(count, room_s / each.work_s)
                room_s -= served * each.work_s
                owed += count * each.worth
                earned += served * each.worth
    return earned / max(owed, 1e-9)


def _by_density(
    scenario: scenario_lib.Scenario, service: str
) -> list[scenario_lib.CallClass]:
    found = [c for c in scenario.classes if c.service == service and c.weight]
    return sorted(found, key=lambda c: c.worth / c.work_s, reverse=True)


def _room_s(
    scenario: scenario_lib.Scenario, service: str, window: int
) -> float:
    """Return the work in seconds that a service's servers do in a window."""
    start = window * scenario.window_s
    total = 0.0
    for group in scenario.servers:
        if group.service != service:
            continue
        for index, speed in enumerate(group.speeds):
            part = _part(scenario, group, index, start)
            total += group.slots * speed * part * scenario.window_s
    return total


def _part(
    scenario: scenario_lib.Scenario,
    group: scenario_lib.ServerGroup,
    index: int,
    start: float,
) -> float:
    """Return the part of its speed that a server has in a window."""
    end = start + scenario.window_s
    part = 1.0
    for trouble in scenario.troubles:
        is_here = (
            trouble.service == group.service
            and trouble.data_centre == group.data_centre
            and trouble.index == index
        )
        overlap_s = min(end, trouble.at_s + trouble.for_s) - max(
            start, trouble.at_s
        )
        if is_here and overlap_s > 0:
            left = 1 / trouble.slow if trouble.slow else 0.0
            part -= (1 - left) * overlap_s / scenario.window_s
    return max(0.0, part)
