"""Program `trefoilwind-load`: compares queueing policies by emulation."""

import pathlib
from typing import Annotated

import cyclopts

from trefoilwind.cmd import common
from trefoilwind.emulator import bounds
from trefoilwind.emulator import policies
from trefoilwind.emulator import report
from trefoilwind.emulator import scenario as scenario_lib
from trefoilwind.emulator import world

app = cyclopts.App(help="Compare queueing policies under emulated load.")


@app.default
def run(
    scenario: str,
    *,
    policy: Annotated[list[str] | None, cyclopts.Parameter()] = None,
    seeds: int = 1,
    first_seed: int = 1,
    output: str = "",
) -> None:
    """Emulate a scenario under several policies and compare them.

    Args:
        scenario: Scenario file, JSON with comments.
        policy: Policy to emulate; may be given several times. All by default.
        seeds: Number of seeds per policy.
        first_seed: First seed; the others follow it.
        output: Folder to write a page and its plot to; if not given, a table
            is printed.
    """
    loaded = common.unwrap(scenario_lib.load(scenario))
    names = policy or list(policies.NAMES)
    for name in names:
        if name not in policies.NAMES:
            common.fail(
                f"--policy: expected one of {', '.join(policies.NAMES)}"
            )
    if seeds < 1:
        common.fail(f"--seeds: 1 or more expected ({seeds})")
    runs = [
        emulate(loaded, name, seed)
        for name in names
        for seed in range(first_seed, first_seed + seeds)
    ]
    if output:
        _write(pathlib.Path(output), loaded, runs)
    else:
        print(report.table(runs))


def emulate(
    scenario: scenario_lib.Scenario, policy: str, seed: int
) -> report.Run:
    """Return the result of one emulation, with the bound on its credit."""
    result = world.World(scenario, policy, seed).run()
    bound = bounds.credit_share(scenario, result)
    return report.Run(policy, seed, result, bound)


def _write(
    folder: pathlib.Path,
    scenario: scenario_lib.Scenario,
    runs: list[report.Run],
) -> None:
    plot_name = f"{scenario.name}.svg"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / plot_name).write_text(report.plot(scenario, runs))
        page = report.page(scenario, runs, plot_name)
        (folder / f"{scenario.name}.md").write_text(page)
    except OSError as error:
        common.fail(f"{error.filename}: {error.strerror}")


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
