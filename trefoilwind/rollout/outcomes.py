"""Decision that a move has ended; a pure function of a node's view."""

from collections.abc import Sequence
import dataclasses
import enum

from trefoilwind.model import moves
from trefoilwind.rollout import evidence
from trefoilwind.rollout import stages
from trefoilwind.rollout import verdicts

# Share of failed calls that is acceptable without any on the old arm.
_ACCEPTED_FAILURE_SHARE = 0.1
_MIN_CALLS_FOR_ONE_FAILURE = 4
_MIN_CALLS_FOR_TEST = 200


@enum.unique
class Reason(enum.Enum):
    """Why a move ended; the values are public names."""

    FULL_SHARE = "full-share"
    FAILURES = verdicts.FAILURES
    LATENCY = verdicts.LATENCY
    NO_BACKEND = "no-backend-server"
    NO_TRAFFIC = "no-traffic"
    NOT_PROVEN = "not-proven"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True)
class View:
    """A node's view of an open move.

    Attributes:
        progress: Numbers of calls and failures, one entry per route.
        plan: Stages of all routes.
        verdict: Result of the tests of the new arm.
        brake: The brake of the move, or None.
        servers: Live backend servers of the new arm.
        final_since: Wall time in seconds since which all routes have been at
            the final stage; None if they are not.
    """

    progress: Sequence[stages.Progress]
    plan: stages.Plan
    verdict: verdicts.Verdict
    brake: evidence.Brake | None = None
    servers: int = 0
    final_since: float | None = None


def decide(move: moves.Move, view: View, now: float) -> moves.Outcome | None:
    """Return the outcome, or None while the move is open.

    Args:
        move: The open move.
        view: The node's view of it.
        now: Wall time in seconds.
    """
    if view.brake is not None:
        return moves.Outcome(
            move.move_id,
            moves.Result.UNDONE,
            view.brake.reason,
            view.brake.step,
            view.brake.peer,
            now,
        )
    if now >= move.deadline:
        reason, detail = _reason_at_deadline(view)
        return moves.Outcome(
            move.move_id,
            moves.Result.UNDONE,
            reason.value,
            at=now,
            detail=detail,
        )
    if not _is_complete(move, view, now):
        return None
    pooled = stages.total(view.progress)
    return moves.Outcome(
        move.move_id,
        moves.Result.DONE,
        Reason.FULL_SHARE.value,
        at=now,
        detail=f"{pooled.new_calls} calls judged",
    )


def has_acceptable_failures(progress: stages.Progress) -> bool:
    """Return True if the new arm has no more failures than acceptable.

    The sequential test has no power on a few calls; this bound covers them.
    """
    new, failed = progress.new_calls, progress.new_failures
    if new >= _MIN_CALLS_FOR_TEST:
        return True
    old_share = progress.old_failures / max(progress.old_calls, 1)
    accepted = (_ACCEPTED_FAILURE_SHARE + 2 * old_share) * new
    return failed <= max(accepted, float(new >= _MIN_CALLS_FOR_ONE_FAILURE))


def _is_complete(move: moves.Move, view: View, now: float) -> bool:
    times = stages.timetable(move)
    pooled = stages.total(view.progress)
    if view.final_since is None or not pooled.new_calls or not view.servers:
        return False
    if now < view.final_since + times.hold_s or view.verdict.is_suspect:
        return False
    return all(has_acceptable_failures(p) for p in (*view.progress, pooled))


def _reason_at_deadline(view: View) -> tuple[Reason, str]:
    pooled = stages.total(view.progress)
    if not view.servers and not pooled.new_calls:
        return Reason.NO_BACKEND, "no backend server of the version announced"
    if not pooled.calls:
        return Reason.NO_TRAFFIC, "no call of the service was seen"
    unproven = [
        p.route.path_prefix
        for p in view.progress
        if not has_acceptable_failures(p)
    ]
    if unproven or view.verdict.is_suspect or not pooled.new_calls:
        return Reason.NOT_PROVEN, " ".join(unproven) or view.verdict.step
    return Reason.DEADLINE, f"{pooled.new_calls} calls judged"
