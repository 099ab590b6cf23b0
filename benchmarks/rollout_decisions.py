"""Benchmark of decisions on moves: `python -m benchmarks.rollout_decisions`.

Prints one line per case, the totals per policy, and the weighted scores of
both deployments. The columns of a line are the attributes of `CaseSummary`.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import functools
import multiprocessing
import statistics
import sys
import time

import cyclopts

from benchmarks import rollout_catalogue as catalogue
from benchmarks import rollout_policies as policies
from benchmarks import rollout_world as world

SEQUENTIAL = "sequential"
SCHEDULE = "fixed steps"
THRESHOLD = "error threshold"
_POLICIES = (SEQUENTIAL, SCHEDULE, THRESHOLD)
_EXPOSURE_TARGET = 0.02
_BYTES_PER_S_FOR_ZERO_SCORE = 6000.0

app = cyclopts.App(help="Measure the decisions on moves.")


@dataclasses.dataclass(frozen=True)
class Weights:
    """Weights of the measures for one deployment; they add up to 1.

    Attributes:
        name: Owner.
        convergence: Weight of the time until good versions are done.
        control_bytes: Weight of the bytes of evidence between regions.
        good: Weight of the share of good versions done in time.
        bad: Weight of the share of bad versions undone in time.
    """

    name: str
    convergence: float
    control_bytes: float
    good: float
    bad: float


WEIGHTS = (
    Weights("highwater", 0.35, 0.15, 0.15, 0.35),
    Weights("authority", 0.15, 0.35, 0.35, 0.15),
)


@dataclasses.dataclass(frozen=True)
class Job:
    """Policy, case, size and seed of one run."""

    policy: str
    case: catalogue.Case
    size: catalogue.Size
    seed: int


def _make_policy(name: str) -> world.MakePolicy:
    def make(move, routes, servers, region) -> policies.Policy:
        if name == SEQUENTIAL:
            return policies.SequentialPolicy(move, routes, servers, region)
        return policies.SchedulePolicy(move, routes, name == THRESHOLD)

    return make


@functools.cache
def _cases() -> dict[str, catalogue.Case]:
    return {case.name: case for case in catalogue.CASES}


def run_job(job: Job) -> world.Result:
    """Run one job and return its results."""
    return world.World(
        job.case, job.size, job.seed, _make_policy(job.policy)
    ).run()


def _run_job_key(
    job_key: tuple[str, str, catalogue.Size, int],
) -> world.Result:
    policy, case, size, seed = job_key
    return run_job(Job(policy, _cases()[case], size, seed))


def run_all(
    sizes: Sequence[catalogue.Size],
    seeds: int,
    policy: str,
    workers: int,
    name_filter: str = "",
) -> dict[str, list[world.Result]]:
    """Return the results of all seeds and sizes by case.

    Args:
        sizes: Deployments.
        seeds: Runs per case and size.
        policy: Name of the policy.
        workers: Number of worker processes.
        name_filter: Run only cases with this text in their name.
    """
    job_keys = [
        (policy, case.name, size, seed)
        for case in catalogue.CASES
        if name_filter in case.name
        for size in sizes
        for seed in range(seeds)
    ]
    if workers > 1:
        with multiprocessing.Pool(workers) as pool:
            results = pool.map(_run_job_key, job_keys, chunksize=4)
    else:
        results = [_run_job_key(n) for n in job_keys]
    found: dict[str, list[world.Result]] = {}
    for (_, case, _, _), result in zip(job_keys, results, strict=True):
        found.setdefault(case, []).append(result)
    return found


@dataclasses.dataclass(frozen=True)
class CaseSummary:
    """Figures of one case.

    Attributes:
        correct: Share of runs that reach the expected result in time.
        time_fraction: Mean time to the result as fraction of the move's
            length.
        exposed: Mean share of the planned calls run by the new version.
        exposed_until_end: Mean share of the calls until the end of the move
            run by the new version.
        worst_exposed: Largest share of the planned calls run by the new
            version.
        over_target: Share of runs in which the new version runs more than 2%
            of the planned calls.
        faulty: Mean share of faulty calls in the planned calls.
        calls_after_detectable: Mean calls run by the new version after its
            fault is detectable.
        late_runs: Share of runs with calls to the new version more than 3 s
            after its fault is detectable.
        stop_delay_s: 99th percentile of the seconds from a detectable fault
            to a zero share; -1 without such runs.
        bytes_per_s: Mean bytes of evidence per second between regions.
    """

    correct: float
    time_fraction: float
    exposed: float
    exposed_until_end: float
    worst_exposed: float
    over_target: float
    faulty: float
    calls_after_detectable: float
    late_runs: float
    stop_delay_s: float
    bytes_per_s: float


def summarise(good: bool, results: Sequence[world.Result]) -> CaseSummary:
    """Return the figures of the runs of one case."""
    ends = [_end(good, r) for r in results]
    correct = [
        0 <= end <= r.length_s for end, r in zip(ends, results, strict=True)
    ]
    stopped = [r for r in results if r.detectable_at >= 0 and r.undone_at >= 0]
    stop_delays_s = sorted(
        max(0.0, r.undone_at - r.detectable_at) for r in stopped
    )
    exposed = [r.new_calls / r.planned_calls for r in results]
    return CaseSummary(
        statistics.mean(correct),
        statistics.mean(
            min(1.0, end / r.length_s) if end >= 0 else 1.0
            for end, r in zip(ends, results, strict=True)
        ),
        statistics.mean(exposed),
        statistics.mean(r.new_calls / max(r.calls, 1) for r in results),
        max(exposed),
        statistics.mean(e > _EXPOSURE_TARGET for e in exposed),
        statistics.mean(r.faulty_calls / r.planned_calls for r in results),
        statistics.mean(r.calls_after_detectable for r in results),
        statistics.mean(r.late_calls > 0 for r in results),
        stop_delays_s[int(0.99 * (len(stop_delays_s) - 1))]
        if stop_delays_s
        else -1.0,
        statistics.mean(
            r.region_bytes / max(_ended_at(r), world.STEP_S) for r in results
        ),
    )


def _end(good: bool, result: world.Result) -> float:
    return result.done_at if good else result.undone_at


def _ended_at(result: world.Result) -> float:
    if result.done_at >= 0:
        return result.done_at
    return result.undone_at if result.undone_at >= 0 else result.length_s


def scores(summaries: Iterable[tuple[bool, CaseSummary]]) -> dict[str, float]:
    """Return the weighted score, 0 to 1, of each deployment."""
    pairs = list(summaries)
    good = [summary for is_good, summary in pairs if is_good]
    bad = [summary for is_good, summary in pairs if not is_good]
    traffic = statistics.mean(summary.bytes_per_s for _, summary in pairs)
    measures = (
        1.0 - statistics.mean(summary.time_fraction for summary in good),
        max(0.0, 1.0 - traffic / _BYTES_PER_S_FOR_ZERO_SCORE),
        statistics.mean(summary.correct for summary in good),
        statistics.mean(summary.correct for summary in bad),
    )
    return {
        w.name: sum(
            weight * measure
            for weight, measure in zip(
                (w.convergence, w.control_bytes, w.good, w.bad),
                measures,
                strict=True,
            )
        )
        for w in WEIGHTS
    }


def _report(policy: str, found: dict[str, list[world.Result]]) -> None:
    print(f"== {policy}")
    print(
        f"{'case':26} right  time  expos  until  worst  over faulty  after late"
        "  zero s  B/s"
    )
    pairs = []
    for case in catalogue.CASES:
        if case.name not in found:
            continue
        summary = summarise(case.good, found[case.name])
        pairs.append((case.good, summary))
        print(
            f"{case.name:26} {summary.correct:5.3f} "
            f"{summary.time_fraction:5.2f} "
            f"{summary.exposed:6.4f} {summary.exposed_until_end:6.4f} "
            f"{summary.worst_exposed:6.4f} {summary.over_target:5.3f} "
            f"{summary.faulty:6.4f} "
            f"{summary.calls_after_detectable:6.1f} {summary.late_runs:4.2f} "
            f"{summary.stop_delay_s:6.1f} {summary.bytes_per_s:5.0f}"
        )
    if len(pairs) < len(catalogue.CASES):
        return
    good = statistics.mean(x.correct for is_good, x in pairs if is_good)
    bad = statistics.mean(x.correct for is_good, x in pairs if not is_good)
    print(f"good done in time {good:.4f}, bad undone in time {bad:.4f}")
    for name, score in scores(pairs).items():
        print(f"score {name} {score:.4f}")
    sys.stdout.flush()


@app.default
def run(
    *,
    seeds: int = 30,
    large_seeds: int = 4,
    baselines: bool = True,
    sequential: bool = True,
    size: int = -1,
    case: str = "",
    workers: int = 4,
) -> None:
    """Run the benchmark.

    Args:
        seeds: Runs per case and deployment.
        large_seeds: Runs per case with ten times as many nodes.
        baselines: Run the baseline policies.
        sequential: Run the policy of the product.
        size: Index of the only deployment to run; -1 for all.
        case: Run only cases with this text in their name.
        workers: Number of worker processes.
    """
    started = time.monotonic()
    sizes = catalogue.SIZES if size < 0 else (catalogue.SIZES[size],)
    names = [p for p in _POLICIES if _is_wanted(p, baselines, sequential)]
    for policy in names if seeds else ():
        found = run_all(sizes, seeds, policy, workers, case)
        title = ", ".join(s.name for s in sizes)
        _report(f"{policy}; {title}; {seeds} seeds", found)
    if large_seeds:
        found = run_all(catalogue.LARGE, large_seeds, SEQUENTIAL, workers, case)
        title = catalogue.LARGE[0].name
        _report(f"{SEQUENTIAL}; {title}; {large_seeds} seeds", found)
    print(f"took {time.monotonic() - started:.0f} s, {workers} workers")


def _is_wanted(policy: str, baselines: bool, sequential: bool) -> bool:
    return sequential if policy == SEQUENTIAL else baselines


if __name__ == "__main__":
    app()
