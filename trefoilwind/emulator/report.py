"""Comparison of policies as a page with plots."""

from collections.abc import Sequence
import dataclasses
from xml.sax import saxutils

from trefoilwind.emulator import results as results_lib
from trefoilwind.emulator import scenario as scenario_lib

_WIDTH = 640
_HEIGHT = 240
_MARGIN = 40
_COLOURS = ("#1b6ca8", "#d1495b", "#3a7d44", "#8d6a9f", "#edae49")
_WORST_WINDOWS = 2


@dataclasses.dataclass(frozen=True)
class Run:
    """One emulation.

    Attributes:
        policy: Name of the policy.
        seed: Seed.
        results: What was counted.
        bound: Largest credit share that was possible.
    """

    policy: str
    seed: int
    results: results_lib.Results
    bound: float


def worst_windows(results: results_lib.Results) -> float:
    """Return the mean credit share of the two worst windows."""
    shares = sorted(share for _, share in results.windows())
    worst = shares[:_WORST_WINDOWS]
    return sum(worst) / max(1, len(worst))


def table(runs: Sequence[Run]) -> str:
    """Return the comparison as a table, one row a run."""
    rows = [
        "| policy | seed | credit | of bound | served | worst windows | late"
        " | refused | refusals p90 ms | attempts a request |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for run in runs:
        found = run.results
        total = max(1, found.total())
        late = found.count(results_lib.End.LATE) / total
        refused = found.count(results_lib.End.REFUSED) / total
        credit = found.credit_share()
        rows.append(
            f"| {run.policy} | {run.seed} | {credit:.3f}"
            f" | {credit / max(run.bound, 1e-9):.3f}"
            f" | {found.served_share():.3f} | {worst_windows(found):.3f}"
            f" | {late:.3f} | {refused:.3f}"
            f" | {1000 * found.refusal_s(0.9):.0f}"
            f" | {found.attempts / total:.2f} |"
        )
    return "\n".join(rows)


def class_table(runs: Sequence[Run]) -> str:
    """Return served shares and waits by class, one row a run and class."""
    rows = [
        "| policy | seed | class | served | in time | wait p50 ms | p99 ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for run in runs:
        found = run.results
        for name in found.class_names:
            total = max(1, found.total(name))
            in_time = found.count(results_lib.End.IN_TIME, name) / total
            rows.append(
                f"| {run.policy} | {run.seed} | {name}"
                f" | {found.served_share(name):.3f} | {in_time:.3f}"
                f" | {1000 * found.wait_s(name, 0.5):.0f}"
                f" | {1000 * found.wait_s(name, 0.99):.0f} |"
            )
    return "\n".join(rows)


def page(
    scenario: scenario_lib.Scenario, runs: Sequence[Run], plot_name: str
) -> str:
    """Return the report as a page.

    Args:
        scenario: What was emulated.
        runs: Its emulations.
        plot_name: File of the plot, as the page refers to it.
    """
    return (
        f"# Policies compared: {scenario.name}\n\n"
        f"{scenario.length_s:g} s of traffic on a virtual clock. The bound"
        " fills the slots of each window by what is worth most for its work"
        " time.\n\n"
        f"{table(runs)}\n\n"
        "## By class\n\n"
        f"{class_table(runs)}\n\n"
        f"![Credit by window]({plot_name})\n"
    )


def plot(scenario: scenario_lib.Scenario, runs: Sequence[Run]) -> str:
    """Return the credit share by window as a picture, one line a run."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}"'
        f' height="{_HEIGHT}" font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for share in (0.0, 0.5, 1.0):
        height = _y(share)
        parts.append(
            f'<line x1="{_MARGIN}" x2="{_WIDTH - _MARGIN}" y1="{height:.1f}"'
            f' y2="{height:.1f}" stroke="#ccc"/>'
            f'<text x="4" y="{height + 4:.1f}">{share:g}</text>'
        )
    for index, run in enumerate(runs):
        colour = _COLOURS[index % len(_COLOURS)]
        points = " ".join(
            f"{_x(start, scenario.length_s):.1f},{_y(share):.1f}"
            for start, share in run.results.windows()
        )
        label = saxutils.escape(f"{run.policy}, seed {run.seed}")
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}"/>'
            f'<text x="{_MARGIN + 130 * (index % 4)}"'
            f' y="{14 + 12 * (index // 4)}" fill="{colour}">{label}</text>'
        )
    parts.append("</svg>\n")
    return "".join(parts)


def _x(at_s: float, length_s: float) -> float:
    return _MARGIN + (_WIDTH - 2 * _MARGIN) * at_s / length_s


def _y(share: float) -> float:
    return _HEIGHT - _MARGIN - (_HEIGHT - 2 * _MARGIN) * share
