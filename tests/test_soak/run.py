"""Runs seeds of the soak and prints a line for each."""

import argparse
import asyncio
import concurrent.futures
import multiprocessing
import pathlib
import signal
import sys

import uvloop

from tests.test_soak import plan as plan_lib
from tests.test_soak import world as world_lib

# Seeds that ever broke a promise, the seconds of their runs, and the cause.
_GIVEN_UP = "an upload read over 3 s after SIGTERM is given up at the end"
REGRESSIONS = (
    (3, 20.0, "SIGTERM ends a process that loads its modules; now allowed"),
    (6, 20.0, "as seed 3"),
    (9, 14.0, "a run that began after its answer; fault of the check, fixed"),
    (16, 20.0, _GIVEN_UP),
    (21, 20.0, "SIGHUP ends a process that loads its modules"),
    (24, 20.0, _GIVEN_UP),
    (40, 20.0, _GIVEN_UP),
    (41, 20.0, "a write to a closed connection ended the soak, fixed"),
    (44, 20.0, _GIVEN_UP),
    (45, 20.0, _GIVEN_UP),
)


def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    is_planned: bool = False,
    nodes: int = 0,
) -> tuple[str, list[str]]:
    """Run one seed; return a summary and the broken promises.

    Args:
        seed: The seed.
        seconds: Seconds in which faults begin.
        folder: Folder for the settings and logs of the nodes.
        is_planned: True for planned work and trouble of the store only.
        nodes: Number of nodes of such a run; 0 to draw it.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if is_planned:
        plan = plan_lib.draw_planned(seed, seconds, nodes)
    else:
        plan = plan_lib.draw(seed, seconds)
    plan = plan_lib.add_customers(plan, seconds)
    ledger = uvloop.run(_run(plan, seconds, folder))
    (folder / "failures.txt").write_text("\n".join(ledger.failures()))
    counts = " ".join(f"{k}={v}" for k, v in sorted(ledger.counts.items()))
    kinds = " ".join(sorted({fault.kind for fault in plan.faults}))
    link = f"{plan.delay_s * 1e3:.0f} ms {plan.bytes_per_s / 1e6:g} MB/s"
    summary = (
        f"seed {seed}: {len(plan.zones)} nodes, {len(set(plan.zones))} data "
        f"centres, {link if plan.has_proxies else 'no proxies'}, "
        f"{plan.cores or 'all'} cores, "
        f"{len(plan.faults)} faults ({kinds}); {counts}; "
        f"broken={len(ledger.broken)}"
    )
    return summary, ledger.broken


async def _run(plan: plan_lib.Plan, seconds: float, folder: pathlib.Path):
    # The nodes are ended also if this process is told to end.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    world = world_lib.World(plan, folder)
    await world.run(seconds)
    return world.ledger


def main() -> int:
    """Run the seeds; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="their number")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--logs", default="target/soak")
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--planned", action="store_true")
    parser.add_argument("--nodes", type=int, default=0)
    given = parser.parse_args()
    seeds = range(given.first, given.first + given.seeds)
    cases = [(seed, given.seconds) for seed in seeds]
    if given.regressions:
        cases = [(seed, seconds) for seed, seconds, _ in REGRESSIONS]
    failed = 0
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(given.jobs, context) as pool:
        futures = {
            pool.submit(
                run,
                seed,
                seconds,
                pathlib.Path(given.logs, str(seed)),
                given.planned,
                given.nodes,
            ): seed
            for seed, seconds in cases
        }
        for future in concurrent.futures.as_completed(futures):
            if error := future.exception():
                summary = f"seed {futures[future]}: no result"
                broken = [repr(error)]
            else:
                summary, broken = future.result()
            failed += bool(broken)
            print(summary, *broken, sep="\n  ", flush=True)
    print(f"{failed} of {len(cases)} seeds broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
