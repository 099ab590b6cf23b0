"""Ramp of a rollout that lasts seconds; pure functions.

`stages` plans moves of minutes by counts of calls. Here the time from the
rollout order to the deadline is about ten seconds, so the plan follows time,
and the tests of `verdicts` hold it back. The shares are low enough that a
version which fails only under load has run a bounded share of all calls when
the fault is detected.
"""

import dataclasses
import enum

from trefoilwind.rollout import verdicts

# (fraction of the time to the deadline, share of the calls from then on).
STEPS = (
    (0.0, 0.02),
    (0.30, 0.06),
    (0.48, 0.20),
    (0.55, 0.50),
    (0.60, 0.90),
)
FINAL_SHARE = STEPS[-1][1]
# Fraction of the time after which a version without faults is done.
DONE_FRACTION = 0.76
# Calls of the version that are needed to decide that it is done.
MIN_CALLS = 30
# Highest share of a suspect version.
SUSPECT_SHARE = 0.02


@enum.unique
class Decision(enum.Enum):
    """Result of a rollout; the values are public names."""

    DONE = "done"
    UNDONE = "undone"


@dataclasses.dataclass(frozen=True)
class Progress:
    """A node's view of an open rollout.

    Attributes:
        elapsed_fraction: Fraction of the time to the deadline that has
            passed; above 1 after the deadline.
        new_calls: Counted calls of the version.
        servers: Live backend servers of the version.
        verdict: Result of the tests of the version.
        is_braked: True if any node has set a brake on it.
    """

    elapsed_fraction: float
    new_calls: int
    servers: int
    verdict: verdicts.Verdict
    is_braked: bool = False


def share(progress: Progress) -> float:
    """Return the share of the calls, 0 to 1, for the version."""
    if progress.is_braked or not progress.servers:
        return 0.0
    planned = max(s for start, s in STEPS if progress.elapsed_fraction >= start)
    if progress.verdict.is_suspect:
        return min(planned, SUSPECT_SHARE)
    return planned


def decide(progress: Progress) -> Decision | None:
    """Return the result of the rollout, or None while it is open."""
    if progress.is_braked:
        return Decision.UNDONE
    is_proven = (
        progress.new_calls >= MIN_CALLS
        and progress.servers > 0
        and not progress.verdict.is_suspect
    )
    if is_proven and progress.elapsed_fraction >= DONE_FRACTION:
        return Decision.DONE
    if progress.elapsed_fraction >= 1.0 and not is_proven:
        return Decision.UNDONE
    return None
