"""Ramp of a rollout that lasts seconds."""

import dataclasses

from trefoilwind.rollout import ramp
from trefoilwind.rollout import verdicts

_SOUND = ramp.Progress(0.0, 500, 4, verdicts.Verdict())


def _at(elapsed_fraction: float, **changes) -> ramp.Progress:
    return dataclasses.replace(
        _SOUND, elapsed_fraction=elapsed_fraction, **changes
    )


def test_share_grows_to_the_final_one():
    shares = [
        ramp.share(_at(elapsed_fraction / 100))
        for elapsed_fraction in range(120)
    ]
    assert shares == sorted(shares)
    assert shares[-1] == ramp.FINAL_SHARE


def test_calls_stay_bounded_for_a_version_that_fails_only_under_load():
    # The fault shows at the final share, and the version is braked 0.6 s later
    # in a rollout of 15 s.
    shares = [
        ramp.share(_at(elapsed_fraction / 1000))
        for elapsed_fraction in range(630)
    ]
    assert sum(shares) / 1000 <= 0.1


def test_brake_ends_the_share_and_the_rollout():
    braked = _at(0.7, is_braked=True)
    assert ramp.share(braked) == 0.0
    assert ramp.decide(braked) is ramp.Decision.UNDONE


def test_suspect_version_is_held_back():
    suspect = verdicts.Verdict(log_evidence=3.5)
    assert ramp.share(_at(0.7, verdict=suspect)) == ramp.SUSPECT_SHARE
    assert ramp.decide(_at(0.9, verdict=suspect)) is None
    assert ramp.decide(_at(1.1, verdict=suspect)) is ramp.Decision.UNDONE


def test_sound_version_is_done_before_the_deadline():
    assert ramp.decide(_at(0.5)) is None
    assert ramp.decide(_at(0.8)) is ramp.Decision.DONE


def test_version_without_backend_servers_gets_no_calls():
    empty = _at(0.8, servers=0)
    assert ramp.share(empty) == 0.0
    assert ramp.decide(empty) is None
    assert ramp.decide(_at(1.0, servers=0)) is ramp.Decision.UNDONE
