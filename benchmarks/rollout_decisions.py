"""Decision bench of moves: `python -m benchmarks.rollout_decisions`.

Prints one line per case, the totals per policy, and the two weighted scores.
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
_BYTES_PER_S_AT_ZERO = 6000.0

app = cyclopts.App(help="Measure the decisions on moves.")


@dataclasses.dataclass(frozen=True)
class Weights:
    """Weights of the measures for one deployment; they add up to 1.

    Attributes:
        name: Owner.
        convergence: Weight of the time until good versions are done.
        control_bytes: Weight of evidence between regions.
        good: Weight of the good versions done in time.
        bad: Weight of the bad versions taken back.
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
    """One run."""

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
    """Run one job."""
    return world.World(
        job.case, job.size, job.seed, _make_policy(job.policy)
    ).run()


def _run_named(
    named: tuple[str, str, catalogue.Size, int],
) -> world.Result:
    policy, case, size, seed = named
    return run_job(Job(policy, _cases()[case], size, seed))


def run_all(
    sizes: Sequence[catalogue.Size],
    seeds: int,
    policy: str,
    workers: int,
    part_of_name: str = "",
) -> dict[str, list[world.Result]]:
    """Return the results of all seeds and sizes by case.

    Args:
        sizes: Deployments.
        seeds: Runs per case and size.
        policy: Name of the policy.
        workers: Processes of the bench.
        part_of_name: Only cases with this text in their name.
    """
    named = [
        (policy, case.name, size, seed)
        for case in catalogue.CASES
        if part_of_name in case.name
        for size in sizes
        for seed in range(seeds)
    ]
    if workers > 1:
        with multiprocessing.Pool(workers) as pool:
            results = pool.map(_run_named, named, chunksize=4)
    else:
        results = [_run_named(n) for n in named]
    found: dict[str, list[world.Result]] = {}
    for (_, case, _, _), result in zip(named, results, strict=True):
        found.setdefault(case, []).append(result)
    return found


@dataclasses.dataclass(frozen=True)
class Line:
    """Figures of one case.

    Attributes:
        right: Share of runs with the right end in time.
        time_part: Mean time to the end over the move's length.
        exposed: Mean share of the move's planned calls on the new version.
        exposed_until_end: Mean share of the calls until the end.
        worst_exposed: Largest share of the planned calls.
        over: Share of runs with more than 2% of the planned calls on it.
        faulty: Mean share of faulty calls in the planned calls.
        calls_after: Mean calls on it after the fault showed.
        late_runs: Share of runs with calls 3 s after the fault showed.
        zero_s: 99th percentile of seconds from the fault to zero share.
        bytes_per_s: Mean evidence bytes a second between regions.
    """

    right: float
    time_part: float
    exposed: float
    exposed_until_end: float
    worst_exposed: float
    over: float
    faulty: float
    calls_after: float
    late_runs: float
    zero_s: float
    bytes_per_s: float


def summarise(good: bool, results: Sequence[world.Result]) -> Line:
    """Return the figures of the runs of one case."""
    ends = [_end(good, r) for r in results]
    right = [
        0 <= end <= r.length_s for end, r in zip(ends, results, strict=True)
    ]
    shown = [r for r in results if r.shows_at >= 0 and r.undone_at >= 0]
    zero = sorted(max(0.0, r.undone_at - r.shows_at) for r in shown)
    exposed = [r.new_calls / r.planned_calls for r in results]
    return Line(
        statistics.mean(right),
        statistics.mean(
            min(1.0, end / r.length_s) if end >= 0 else 1.0
            for end, r in zip(ends, results, strict=True)
        ),
        statistics.mean(exposed),
        statistics.mean(r.new_calls / max(r.calls, 1) for r in results),
        max(exposed),
        statistics.mean(e > _EXPOSURE_TARGET for e in exposed),
        statistics.mean(r.faulty_calls / r.planned_calls for r in results),
        statistics.mean(r.calls_after for r in results),
        statistics.mean(r.late_calls > 0 for r in results),
        zero[int(0.99 * (len(zero) - 1))] if zero else -1.0,
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


def scores(lines: Iterable[tuple[bool, Line]]) -> dict[str, float]:
    """Return the weighted score, 0 to 1, of each deployment."""
    pairs = list(lines)
    good = [line for is_good, line in pairs if is_good]
    bad = [line for is_good, line in pairs if not is_good]
    traffic = statistics.mean(line.bytes_per_s for _, line in pairs)
    measures = (
        1.0 - statistics.mean(line.time_part for line in good),
        max(0.0, 1.0 - traffic / _BYTES_PER_S_AT_ZERO),
        statistics.mean(line.right for line in good),
        statistics.mean(line.right for line in bad),
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
        line = summarise(case.good, found[case.name])
        pairs.append((case.good, line))
        print(
            f"{case.name:26} {line.right:5.3f} {line.time_part:5.2f} "
            f"{line.exposed:6.4f} {line.exposed_until_end:6.4f} "
            f"{line.worst_exposed:6.4f} {line.over:5.3f} {line.faulty:6.4f} "
            f"{line.calls_after:6.1f} {line.late_runs:4.2f} "
            f"{line.zero_s:6.1f} {line.bytes_per_s:5.0f}"
        )
    if len(pairs) < len(catalogue.CASES):
        return
    good = statistics.mean(x.right for is_good, x in pairs if is_good)
    bad = statistics.mean(x.right for is_good, x in pairs if not is_good)
    print(f"good in time {good:.4f}, bad taken back {bad:.4f}")
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
    """Run the bench.

    Args:
        seeds: Runs per case and deployment.
        large_seeds: Runs per case with ten times as many nodes.
        baselines: Run the baselines too.
        sequential: Run the product's own decisions.
        size: Index of the only deployment to run; -1 for all.
        case: Only cases with this text in their name.
        workers: Processes of the bench.
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
