"""Reference model of the state that a sequence of records leads to."""

import dataclasses

from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib

SERVICE = "catalogue"


@dataclasses.dataclass(frozen=True)
class Published:
    """A publication that the test made, with its base and validity."""

    base: int
    configuration: configuration_lib.Configuration
    is_valid: bool


def configuration(
    timeout_s: float, has_service: bool = True
) -> configuration_lib.Configuration:
    """Return a small valid configuration."""
    target = configuration_lib.ClassTarget("lookup", True, 0.2, 0.99, 1, 5.0)
    target = dataclasses.replace(target, timeout_s=timeout_s)
    route = configuration_lib.Route("/", "lookup")
    names = (SERVICE, "artwork") if has_service else ("artwork",)
    return configuration_lib.Configuration(
        classes=(target,),
        services=tuple(
            configuration_lib.Service(name, "v1", (route,)) for name in names
        ),
    )


def with_missing_class(timeout_s: float) -> configuration_lib.Configuration:
    """Return a configuration whose last service refers to a missing class."""
    valid = configuration(timeout_s)
    first, last = valid.services
    route = configuration_lib.Route("/", "missing")
    last = dataclasses.replace(last, routes=(route,))
    return dataclasses.replace(valid, services=(first, last))


class Oracle:
    """Accepts or rejects the appended records in the order of the log."""

    def __init__(self) -> None:
        self.published: dict[str, Published] = {}
        self.moves: set[str] = set()
        self.outcomes: dict[str, moves.Outcome] = {}
        self.accepted = {
            state_lib.NO_VERSION: configuration_lib.Configuration()
        }
        self.version = state_lib.NO_VERSION
        self._seen: set[str] = set()
        self._open_move = ""
        self._proposed_at: float | None = None

    @property
    def open_move(self) -> str:
        """Id of the open move; empty if there is none."""
        return self._open_move

    def apply(self, offset: int, record_id: str) -> None:
        """Accept or reject the next record of the log."""
        if record_id in self._seen:
            return
        self._seen.add(record_id)
        if record_id in self.published:
            self._apply_publication(offset, self.published[record_id])
        elif record_id in self.moves:
            known = self.accepted[self.version].service(SERVICE)
            if known is not None and not self._open_move:
                self._open_move = record_id
                self._proposed_at = None
        elif record_id in self.outcomes:
            self._apply_outcome(self.outcomes[record_id])

    def _apply_outcome(self, outcome: moves.Outcome) -> None:
        """End a move: at once if undone; if done, by a record 3 s later."""
        if outcome.move_id != self._open_move:
            return
        if outcome.result is moves.Result.DONE:
            if self._proposed_at is None:
                self._proposed_at = outcome.at
                return
            if outcome.at < self._proposed_at + moves.CONFIRMATION_DELAY_S:
                return
        self._open_move = ""

    def _apply_publication(self, offset: int, item: Published) -> None:
        lacks_service = item.configuration.service(SERVICE) is None
        if item.base != self.version or not item.is_valid:
            return
        if lacks_service and self._open_move:
            return
        self.version = offset
        self.accepted[offset] = item.configuration
