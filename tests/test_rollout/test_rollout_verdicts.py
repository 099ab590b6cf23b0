"""Sequential tests: which evidence brakes a version and which does not."""

import random

from trefoilwind.rollout import comparison
from trefoilwind.rollout import evidence
from trefoilwind.rollout import history as history_lib
from trefoilwind.rollout import verdicts

_ROUTE = evidence.RouteKey("/", "lookup")


def _key(arm: evidence.Arm, target: str) -> evidence.Key:
    return evidence.Key("m", _ROUTE, "a", "", arm, target)


def _judge(
    old: evidence.Counter, new: dict[str, evidence.Counter], servers: int = 7
) -> verdicts.Verdict:
    history = history_lib.History(10.0, 0.0)
    cells = {_key(evidence.Arm.OLD, ""): old}
    cells.update({_key(evidence.Arm.NEW, t): c for t, c in new.items()})
    history.update(1.0, cells)
    return verdicts.judge(history, servers)


def _timed(calls: int, latency_s: float, failures: int = 0):
    buckets = list(evidence.NO_CALLS)
    buckets[evidence.bucket(latency_s)] = calls
    return evidence.Counter(failures, 0, tuple(buckets))


def test_repeated_evaluation_of_equal_versions_seldom_brakes():
    rng = random.Random(1)
    braked = 0
    for _ in range(400):
        running = comparison.RunningEvidence()
        highest = 0.0
        for _ in range(60):
            new = sum(rng.random() < 0.05 for _ in range(20))
            old = sum(rng.random() < 0.05 for _ in range(60))
            stratum = comparison.Stratum(20, new, 60, old)
            running = running.advance((stratum,))
            highest = max(highest, running.log_evidence)
        braked += highest >= verdicts.BRAKE_LOG_EVIDENCE
    assert braked <= 400 * verdicts.FALSE_BRAKE_PROBABILITY


def test_overload_of_both_versions_is_no_evidence():
    blocks = []
    for failing in (0.0, 0.4, 0.8, 0.1):
        events = round(100 * failing)
        blocks.append([comparison.Stratum(100, events, 900, 9 * events)])
    assert comparison.log_evidence(blocks) < 1.0


def test_a_late_fault_shows_after_many_good_blocks():
    good = [[comparison.Stratum(100, 1, 100, 1)]] * 40
    bad = [[comparison.Stratum(100, 30, 100, 1)]]
    assert comparison.log_evidence(good + bad) > verdicts.BRAKE_LOG_EVIDENCE


def test_failures_on_several_targets_brake():
    new = {f"t{i}": _timed(4, 0.003, failures=2) for i in range(5)}
    verdict = _judge(_timed(1000, 0.003, failures=2), new)
    assert verdict.is_faulty
    assert verdict.reason == "failures"


def test_one_bad_vm_does_not_brake():
    new = {f"t{i}": _timed(40, 0.003) for i in range(6)}
    new["t6"] = _timed(20, 0.003, failures=20)
    assert not _judge(_timed(1000, 0.003, failures=2), new).is_suspect


def test_one_slow_vm_does_not_brake():
    new = {f"t{i}": _timed(40, 0.003) for i in range(6)}
    new["t6"] = _timed(40, 0.3)
    assert not _judge(_timed(1000, 0.003), new).is_suspect


def test_failures_on_the_only_vm_of_a_version_brake():
    new = {"t": _timed(20, 0.003, failures=20)}
    assert _judge(_timed(1000, 0.003, failures=2), new, servers=1).is_faulty


def test_high_latency_brakes():
    new = {f"t{i}": _timed(20, 0.03) for i in range(5)}
    verdict = _judge(_timed(1000, 0.003), new)
    assert verdict.is_faulty
    assert verdict.reason == "latency"


def test_cold_calls_are_no_evidence():
    new = {f"t{i}": evidence.Counter(untimed=50) for i in range(5)}
    assert not _judge(_timed(1000, 0.003), new).is_suspect


def test_incremental_and_full_judgements_agree():
    rng = random.Random(2)
    history = history_lib.History(2.0, 0.0)
    judge = verdicts.Judge()
    cells: dict[evidence.Key, evidence.Counter] = {}
    for second in range(40):
        for arm, target in ((0, ""), (1, "t1"), (1, "t2"), (1, "t3")):
            key = _key(evidence.Arm(arm), target)
            fresh = _timed(20, rng.choice((0.002, 0.005)), rng.randrange(3))
            cells[key] = cells.get(key, evidence.Counter()).plus(fresh)
        history.update(float(second), dict(cells))
        incremental = judge.judge(history, 3).log_evidence
        assert abs(incremental - verdicts.judge(history, 3).log_evidence) < 1e-9
