"""Text reports on nodes, classes and moves, line by line."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime

from trefoilwind.admin import operations
from trefoilwind.admin import views
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib


def version_text(version: int) -> str:
    """Return a configuration version, or "none"."""
    return "none" if version == state_lib.NO_VERSION else str(version)


def coverage_line(statuses: Sequence[views.Status]) -> str:
    """Return one line on how many nodes have the newest version in force."""
    newest = max(status.version for status in statuses)
    behind = [s.node_id for s in statuses if s.version < newest]
    if newest == state_lib.NO_VERSION:
        return f"no version is in force on {len(statuses)} nodes queried"
    line = (
        f"version {newest} is in force on {len(statuses) - len(behind)} "
        f"of {len(statuses)} nodes queried"
    )
    return f"{line}; behind: {', '.join(behind)}" if behind else line


def node_lines(status: views.Status) -> Iterator[str]:
    """Yield lines about one node, its members, routes and classes."""
    draining = ", draining" if status.draining else ""
    yield (
        f"{status.node_id} in {status.data_centre}: "
        f"version {version_text(status.version)}{draining}"
    )
    for member in status.members:
        leaving = " leaving" if member.leaving else ""
        yield (
            f"  member {member.node_id} {member.data_centre} "
            f"{member.service or '-'} {member.version or '-'}{leaving}"
        )
    for entry in status.routes:
        splits = ", ".join(f"{s.version} {s.share:.0%}" for s in entry.splits)
        half = f" of {entry.half}" if entry.half else ""
        yield (
            f"  route {entry.service}{entry.path_prefix}{half}: {splits or '-'}"
        )
    for summary in status.classes:
        yield f"  {class_line(summary)}"


def class_line(summary: views.ClassSummary) -> str:
    """Return one line about a class on one half's backend servers."""
    half = summary.half or "no half"
    head = f"class {summary.class_name} in {half}"
    if not summary.calls:
        return f"{head}: no calls in the last minute"
    verdict = "on target" if summary.is_on_target else "off target"
    return (
        f"{head}: {verdict}, {summary.in_time / summary.calls:.2%} of "
        f"{summary.calls} calls in time, target {summary.success_target:.2%}, "
        f"{summary.failed} failed"
    )


def total_classes(
    statuses: Iterable[views.Status],
) -> tuple[views.ClassSummary, ...]:
    """Return the sums of several nodes' summaries by class and half."""
    totals: dict[tuple[str, str], views.ClassSummary] = {}
    for summary in (s for status in statuses for s in status.classes):
        key = (summary.class_name, summary.half)
        known = totals.get(key)
        totals[key] = _add(known, summary) if known else summary
    return tuple(totals.values())


def _add(
    first: views.ClassSummary, second: views.ClassSummary
) -> views.ClassSummary:
    return views.ClassSummary(
        class_name=first.class_name,
        half=first.half,
        calls=first.calls + second.calls,
        failed=first.failed + second.failed,
        in_time=first.in_time + second.in_time,
        success_target=second.success_target,
    )


def move_line(status: moves.MoveStatus) -> str:
    """Return one line about a move and its outcome."""
    found = status.move
    head = f"{found.move_id} {found.service} {found.version}"
    if status.outcome is None:
        deadline = datetime.datetime.fromtimestamp(found.deadline, datetime.UTC)
        return f"{head}: open until {deadline:%H:%M:%S}Z"
    outcome = status.outcome
    parts = [f"{head}: {outcome.result.value} ({outcome.reason}"]
    if outcome.step:
        parts.append(f"on {outcome.step}")
    if outcome.peer:
        parts.append(f"at {outcome.peer}")
    return " ".join(parts) + ")"


def progress_lines(snapshot: operations.MoveSnapshot) -> Iterator[str]:
    """Yield lines on a move's shares, attempts by version, and brake."""
    progress = snapshot.progress
    if progress is None:
        return
    for route in progress.routes:
        yield (
            f"route {route.path_prefix} ({route.class_name}): "
            f"share {route.share:.0%}"
        )
    for seen in progress.versions:
        yield (
            f"route {seen.path_prefix} {seen.version}: {seen.calls} calls, "
            f"{seen.failed} failed, {seen.in_time} in time"
        )
    if progress.braked or progress.brake_detail:
        where = f" at {progress.brake_peer}" if progress.brake_peer else ""
        yield f"braked: {progress.brake_detail or 'fault detected'}{where}"
