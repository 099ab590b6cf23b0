"""Counters of a node and their text format."""

import random

import hypothesis
from hypothesis import strategies

from trefoilwind.telemetry import counts as counts_lib
from trefoilwind.telemetry import durations
from trefoilwind.telemetry import prometheus


def _text(counts: counts_lib.MeshCounts) -> list[str]:
    return prometheus.render(counts.families()).decode().split("\n")


def test_requests_are_counted_by_service_and_result():
    counts = counts_lib.MeshCounts()
    counts.request_ended("s", "answered", 1, 0.02)
    counts.request_ended("s", "answered", 2, 0.04)
    counts.request_ended("s", "overloaded", 3, 0.001)
    counts.run_ended("s", "answered")
    lines = _text(counts)
    name = "trefoilwind_requests_total"
    assert f'{name}{{result="answered",service="s"}} 2' in lines
    assert f'{name}{{result="overloaded",service="s"}} 1' in lines
    assert 'trefoilwind_attempts_total{service="s"} 6' in lines
    run = 'trefoilwind_runs_total{result="answered",service="s"} 1'
    assert run in lines


def test_histogram_buckets_are_cumulative_and_have_a_sum():
    counts = counts_lib.MeshCounts()
    for seconds in (0.0004, 0.02, 0.02, 99.0):
        counts.slot_acquired("s", seconds)
    lines = _text(counts)
    name = "trefoilwind_slot_wait_seconds"
    assert f'{name}_bucket{{le="0.0005",service="s"}} 1.0' in lines
    assert f'{name}_bucket{{le="0.025",service="s"}} 3.0' in lines
    assert f'{name}_bucket{{le="10.0",service="s"}} 3.0' in lines
    assert f'{name}_count{{service="s"}} 4.0' in lines
    assert f'{name}_sum{{service="s"}} 99.0404' in lines


def test_services_beyond_the_limit_share_a_label():
    counts = counts_lib.MeshCounts()
    for number in range(3 * counts_lib.MAX_SERVICES):
        counts.request_ended(f"s{number}", "answered", 1, 0.01)
    requests = counts.families()[0].samples
    assert len(requests) == counts_lib.MAX_SERVICES + 1
    other = (counts_lib.OTHER_SERVICES, "answered")
    assert requests[other] == 2 * counts_lib.MAX_SERVICES


def test_label_values_are_escaped():
    counts = counts_lib.MeshCounts()
    counts.run_ended('a"b\\c\n', "answered")
    text = "\n".join(_text(counts))
    assert r'service="a\"b\\c\n"' in text


@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 60.0), min_size=1, max_size=50)
)
def test_quantiles_agree_with_sorted_durations(times: list[float]):
    counted = durations.Durations()
    for seconds in times:
        counted.add(seconds)
    times.sort()
    share = random.Random(len(times)).choice((0.5, 0.9, 1.0))
    rank = max(0, round(share * len(times) + 0.5) - 1)
    expected = times[min(rank, len(times) - 1)]
    found = counted.quantile_s(share)
    lower = times[max(0, min(rank, len(times) - 1) - 1)]
    assert lower * 0.98 - 2e-6 <= found <= expected * 1.02 + 2e-6
