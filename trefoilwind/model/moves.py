"""Moves of traffic to a version, and how they end."""

import dataclasses
import enum

# Seconds between the record that proposes "done" and the one that confirms it.
CONFIRMATION_DELAY_S = 3.0


@enum.unique
class Result(enum.Enum):
    """How a move ended."""

    DONE = "done"
    UNDONE = "undone"


@dataclasses.dataclass(frozen=True)
class Move:
    """An operator's request to move a service's traffic.

    Attributes:
        move_id: Id of the record that asked for the move.
        service: Service whose traffic moves.
        version: Version that takes over.
        from_version: Version that served when the move was accepted.
        deadline: Wall time in seconds by which the move must have ended.
        started: Wall time in seconds at which the operator asked.
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
        reason: Public name of the cause.
        step: Step at which the cause was found, such as a route.
        peer: Node at which the cause was found; empty if none.
        at: Wall time in seconds of the decision.
        detail: Short text for a person.
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
    """A move and, once it ended, its outcome.

    Attributes:
        move: The move.
        outcome: How it ended; None while it is open.
        proposal: First record that calls the move done. The move stays open
            until a second one confirms it, so that a brake set meanwhile
            anywhere can still be recorded first.
    """

    move: Move
    outcome: Outcome | None = None
    proposal: Outcome | None = None

    @property
    def is_open(self) -> bool:
        """True while the move has no outcome."""
        return self.outcome is None
