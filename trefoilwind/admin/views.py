"""Documents of the administration API, as frozen data classes."""

import dataclasses

from trefoilwind import environment as environment_lib
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.model import moves as moves_lib
from trefoilwind.routing import table


@dataclasses.dataclass(frozen=True)
class Status:
    """What a node knows.

    Attributes:
        node_id: Id of the node.
        data_centre: Data centre of the node.
        version: Configuration version in force here; -1 if none.
        next_offset: Offset of the first log record not seen here.
        draining: True if the node takes no new work.
        members: Live members.
        routes: Routes in force here.
        moves: Open and recently ended moves.
    """

    node_id: str
    data_centre: str
    version: int
    next_offset: int
    draining: bool
    members: tuple[members_lib.Member, ...]
    routes: tuple[table.Entry, ...]
    moves: tuple[moves_lib.MoveStatus, ...]


@dataclasses.dataclass(frozen=True)
class PublicationRequest:
    """Body of POST /v1/publications.

    Attributes:
        record_id: Unique id; a repeat with the same id has no effect.
        base_version: Version that the operator changed; -1 for the first.
        configuration: The whole new configuration.
    """

    record_id: str
    base_version: int
    configuration: configuration_lib.Configuration


@dataclasses.dataclass(frozen=True)
class MoveSubmission:
    """Body of POST /v1/moves.

    Attributes:
        record_id: Unique id; it becomes the id of the move.
        service: Service whose traffic moves.
        version: Version that takes over.
        deadline: Wall time in seconds by which the move must have ended.
        half: Only this half's traffic moves; empty for both.
        to_half: Half whose backend servers take over; empty for any.
    """

    record_id: str
    service: str
    version: str
    deadline: float
    half: str = ""
    to_half: str = ""


def status(environment: environment_lib.Environment) -> Status:
    """Return the status of a node."""
    board = environment.blackboard
    state = board.state.value
    return Status(
        node_id=environment.node_id,
        data_centre=environment.settings.data_centre,
        version=state.version,
        next_offset=state.next_offset,
        draining=board.lifecycle.value.draining,
        members=board.members.value.members,
        routes=board.routes.value.entries,
        moves=state.moves,
    )
