"""Report that compares policies: a Markdown page with a plot."""

from collections.abc import Sequence
import dataclasses
from xml.sax import saxutils

from trefoilwind.emulator import results as results_lib
from trefoilwind.emulator import scenario as scenario_lib

_WIDTH_PX = 640
_HEIGHT_PX = 240
_MARGIN_PX = 40
_COLOURS = ("#1b6ca8", "#d1495b", "#3a7d44", "#8d6a9f", "#edae49")
_WORST_WINDOW_COUNT = 2


@dataclasses.dataclass(frozen=True)
class Run:
    """Emulation of one policy with one seed.

    Attributes:
        policy: Name of the policy.
        seed: Seed of the random numbers.
        results: Results of the emulation.
        bound: Upper bound of the credit share.
    """

    policy: str
    seed: int
    results: results_lib.Results
    bound: float


def worst_windows_credit_share(results: results_lib.Results) -> float:
    """Return the mean credit share of the two worst windows."""
    shares = sorted(share for _, share in results.credit_shares_by_window())
    worst = shares[:_WORST_WINDOW_COUNT]
    return sum(worst) / max(1, len(worst))


def table(runs: Sequence[Run]) -> str:
    """Return the comparison as a Markdown table, one row per run."""
    rows = [
        "| policy | seed | credit | of bound | served | worst windows | late"
        " | refused | refusals p90 ms | attempts per request"
        " | least class | least customer |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        " --- |",
    ]
    for run in runs:
        found = run.results
        total = max(1, found.total())
        late_share = found.count(results_lib.Status.LATE) / total
        refused_share = found.count(results_lib.Status.REFUSED) / total
        credit = found.credit_share()
        rows.append(
            f"| {run.policy} | {run.seed} | {credit:.3f}"
            f" | {credit / max(run.bound, 1e-9):.3f}"
            f" | {found.served_share():.3f}"
            f" | {worst_windows_credit_share(found):.3f}"
            f" | {late_share:.3f} | {refused_share:.3f}"
            f" | {1000 * found.refusal_quantile_s(0.9):.0f}"
            f" | {found.attempts / total:.2f}"
            f" | {found.least_served_class():.2f}"
            f" | {found.least_served_customer():.2f} |"
        )
    return "\n".join(rows)


def class_table(runs: Sequence[Run]) -> str:
    """Return served shares and waits, one row per run and class."""
    rows = [
        "| policy | seed | class | served | in time | wait p50 ms | p99 ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for run in runs:
        found = run.results
        for name in found.class_names:
            total = max(1, found.total(name))
            in_time = found.count(results_lib.Status.IN_TIME, name) / total
            rows.append(
                f"| {run.policy} | {run.seed} | {name}"
                f" | {found.served_share(name):.3f} | {in_time:.3f}"
                f" | {1000 * found.wait_quantile_s(name, 0.5):.0f}"
                f" | {1000 * found.wait_quantile_s(name, 0.99):.0f} |"
            )
    return "\n".join(rows)


def page(
    scenario: scenario_lib.Scenario, runs: Sequence[Run], plot_name: str
) -> str:
    """Return the report as a Markdown page.

    Args:
        scenario: Scenario that was emulated.
        runs: Emulations of the scenario.
        plot_name: Name of the plot's file, relative to the page.
    """
    return (
        f"# Policies compared: {scenario.name}\n\n"
        f"{scenario.length_s:g} s of traffic on a virtual clock. The bound"
        " fills the slots of each window with the requests of the highest worth"
        " per second of work.\n\n"
        f"{table(runs)}\n\n"
        "## By class\n\n"
        f"{class_table(runs)}\n\n"
        f"![Credit by window]({plot_name})\n"
    )


def plot(scenario: scenario_lib.Scenario, runs: Sequence[Run]) -> str:
    """Return the credit shares by window as SVG, one curve per run."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH_PX}"'
        f' height="{_HEIGHT_PX}" font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for share in (0.0, 0.5, 1.0):
        y = _y(share)
        parts.append(
            f'<line x1="{_MARGIN_PX}" x2="{_WIDTH_PX - _MARGIN_PX}"'
            f' y1="{y:.1f}" y2="{y:.1f}" stroke="#ccc"/>'
            f'<text x="4" y="{y + 4:.1f}">{share:g}</text>'
        )
    for index, run in enumerate(runs):
        colour = _COLOURS[index % len(_COLOURS)]
        points = " ".join(
            f"{_x(start, scenario.length_s):.1f},{_y(share):.1f}"
            for start, share in run.results.credit_shares_by_window()
        )
        label = saxutils.escape(f"{run.policy}, seed {run.seed}")
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}"/>'
            f'<text x="{_MARGIN_PX + 130 * (index % 4)}"'
            f' y="{14 + 12 * (index // 4)}" fill="{colour}">{label}</text>'
        )
    parts.append("</svg>\n")
    return "".join(parts)


def _x(at_s: float, length_s: float) -> float:
    return _MARGIN_PX + (_WIDTH_PX - 2 * _MARGIN_PX) * at_s / length_s


def _y(share: float) -> float:
    return _HEIGHT_PX - _MARGIN_PX - (_HEIGHT_PX - 2 * _MARGIN_PX) * share
