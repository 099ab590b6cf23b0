"""A few cases of the decision benchmark with fixed seeds."""

import pytest

from benchmarks import rollout_catalogue as catalogue
from benchmarks import rollout_decisions as decisions

_CASES = {case.name: case for case in catalogue.CASES}


def _run(name: str, policy: str = decisions.SEQUENTIAL):
    job = decisions.Job(policy, _CASES[name], catalogue.SIZES[1], seed=100)
    return decisions.run_job(job)


@pytest.mark.parametrize(
    "name", ["good, one call a minute", "good, one bad VM", "good, poison"]
)
def test_a_good_version_is_done_in_time(name):
    result = _run(name)
    assert 0 <= result.done_at <= result.length_s


@pytest.mark.parametrize(
    "name", ["bad at once", "bad by slowness", "bad on one route"]
)
def test_a_bad_version_is_undone_early(name):
    result = _run(name)
    assert result.undone_at >= 0
    assert result.new_calls <= 0.02 * result.planned_calls
    assert result.late_calls == 0


def test_the_fixed_schedule_completes_a_bad_version():
    result = _run("bad on one route", decisions.SCHEDULE)
    assert result.done_at >= 0
