"""State folded from the log; equal on all nodes at the same offset."""

import dataclasses

from trefoilwind import codec
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves as moves_lib
from trefoilwind.model import records

NO_VERSION = -1


@dataclasses.dataclass(frozen=True)
class StableVersion:
    """Version that has a service's traffic while no move is open.

    Attributes:
        service: Name of the service.
        half: Half whose traffic it has; empty for both.
        version: The version.
        to_half: Half to which this traffic was moved; empty if none.
    """

    service: str
    half: str
    version: str
    to_half: str = ""


@dataclasses.dataclass(frozen=True)
class Lease:
    """The last accepted claim or renewal of a lease in the log.

    Attributes:
        name: Name of the lease.
        holder: Node that holds it.
        epoch: Offset of the claim by which the holder acquired the lease.
        expires_at: Wall time in seconds at which it ends.
    """

    name: str
    holder: str
    epoch: int
    expires_at: float


@codec.message("state")
@dataclasses.dataclass(frozen=True)
class State:
    """State that a prefix of the log determines.

    Attributes:
        next_offset: Offset of the first record that is not folded.
        version: Offset of the accepted publication; NO_VERSION if none.
        configuration: The accepted configuration.
        stable: Stable versions that result from ended moves.
        moves: Open and recently ended moves, oldest first.
        leases: Leases by name.
        contacts: Contact lists by data centre.
        recent_ids: Ids of recent records of operators and outcomes, oldest
            first.
        checkpoint_offset: Offset of the last accepted checkpoint; -1 if none.
    """

    next_offset: int = 0
    version: int = NO_VERSION
    configuration: configuration_lib.Configuration = dataclasses.field(
        default_factory=configuration_lib.Configuration
    )
    stable: tuple[StableVersion, ...] = ()
    moves: tuple[moves_lib.MoveStatus, ...] = ()
    leases: tuple[Lease, ...] = ()
    contacts: tuple[records.Contacts, ...] = ()
    recent_ids: tuple[str, ...] = ()
    checkpoint_offset: int = -1

    def stable_version(self, service: str, half: str) -> str:
        """Return the stable version of a half's traffic of a service."""
        stable = self._stable(service, half)
        if stable is not None:
            return stable.version
        found = self.configuration.service(service)
        return found.version if found else ""

    def stable_half(self, service: str, half: str) -> str:
        """Return the half that a half's traffic was moved to; empty if none."""
        stable = self._stable(service, half)
        return stable.to_half if stable else ""

    def _stable(self, service: str, half: str) -> StableVersion | None:
        return next(
            (
                stable
                for stable in reversed(self.stable)
                if stable.service == service and stable.half in ("", half)
            ),
            None,
        )

    def open_move(self, service: str) -> moves_lib.Move | None:
        """Return the open move of a service, or None."""
        return next(
            (
                status.move
                for status in self.moves
                if status.is_open and status.move.service == service
            ),
            None,
        )

    def is_open(self, move_id: str) -> bool:
        """Return True if the move is known and has no outcome."""
        return any(
            status.is_open and status.move.move_id == move_id
            for status in self.moves
        )

    def lease(self, name: str) -> Lease | None:
        """Return the lease of that name, or None."""
        return next((x for x in self.leases if x.name == name), None)
