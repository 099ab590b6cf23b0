"""Moves of traffic to a version, and their outcomes."""

import dataclasses
import enum

# Least time between the record that proposes "done" and the one that confirms
# it.
CONFIRMATION_DELAY_S = 3.0


@enum.unique
class Result(enum.Enum):
    """Result of an ended move."""

    DONE = "done"
    UNDONE = "undone"


@dataclasses.dataclass(frozen=True)
class Move:
    """An operator's request to move a service's traffic.

    Attributes:
        move_id: Id of the record that requested the move.
        service: Service whose traffic moves.
        version: Version that receives the traffic.
        from_version: Version that had the traffic when the move was accepted.
        deadline: Wall time in seconds by which the move must have ended.
        started: Wall time in seconds of the operator's request.
        half: Only this half's traffic moves; empty for both.
        to_half: Traffic moves to this half's backend servers; empty if only
            the version changes.
    """

    move_id: str
    service: str
    version: str
    from_version: str
    deadline: float
    started: float
    half: str = ""
    to_half: str = ""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The end of a move.

    Attributes:
        move_id: Id of the move.
        result: Done or undone.
        reason: Name of the cause, as reported to operators.
        step: Step at which the cause was found, such as a route.
        peer: Node at which the cause was found; empty if none.
        at: Wall time in seconds of the decision.
        detail: Short description for operators.
    """

    move_id: str
    result: Result
    reason: str
    step: str = ""
    peer: str = ""
    at: float = 0.0
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class MoveStatus:
    """A move and, once it has ended, its outcome.

    Attributes:
        move: The move.
        outcome: Outcome; None while the move is open.
        proposal: First record that proposes "done". The move stays open
            until a second record confirms it, so that a brake that any node
            sets in the meantime can still be recorded first.
    """

    move: Move
    outcome: Outcome | None = None
    proposal: Outcome | None = None

    @property
    def is_open(self) -> bool:
        """True while the move has no outcome."""
        return self.outcome is None
