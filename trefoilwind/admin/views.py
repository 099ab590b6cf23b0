"""Documents of the administration API, as frozen data classes."""

import collections
import dataclasses

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind import settings as settings_lib
from trefoilwind.admin import metrics as metrics_lib
from trefoilwind.admin import metrics_page
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.model import moves as moves_lib
from trefoilwind.model import state as state_lib
from trefoilwind.rollout import shares
from trefoilwind.routing import table


@dataclasses.dataclass(frozen=True)
class ClassSummary:
    """Attempts of one class on one half's backend servers in the last minute.

    Attributes:
        class_name: Name of the class.
        half: Owner of the backend servers; empty if no rule names one.
        calls: Attempts from this node that were not shed.
        failed: Attempts that failed.
        in_time: Attempts that succeeded within the latency target.
        success_target: Share of calls that must succeed in time.
    """

    class_name: str
    half: str
    calls: int
    failed: int
    in_time: int
    success_target: float

    @property
    def is_on_target(self) -> bool:
        """True if the target is met or there were no calls."""
        return self.in_time >= self.success_target * self.calls


@dataclasses.dataclass(frozen=True)
class VersionSummary:
    """Attempts from this node on one version and route of a move.

    Attributes:
        path_prefix: Prefix of the route.
        version: The version.
        calls: Attempts from this node that were not shed.
        failed: Attempts that failed.
        in_time: Attempts that succeeded within the latency target.
    """

    path_prefix: str
    version: str
    calls: int
    failed: int
    in_time: int


@dataclasses.dataclass(frozen=True)
class MoveProgress:
    """Progress of a move at this node.

    Attributes:
        move_id: Id of the move.
        braked: True if this node sends no new calls to the version.
        brake_peer: Node that detected the fault; empty if not braked.
        brake_detail: The fault; empty if not braked.
        routes: Share of each route.
        versions: Attempts from this node by version and route.
    """

    move_id: str
    braked: bool
    brake_peer: str
    brake_detail: str
    routes: tuple[shares.RouteShare, ...]
    versions: tuple[VersionSummary, ...]


@dataclasses.dataclass(frozen=True)
class Status:
    """Status of a node.

    Attributes:
        node_id: Id of the node.
        data_centre: Data centre of the node.
        version: Configuration version in force here; -1 if none.
        next_offset: Offset of the first log record not yet applied here.
        draining: True if the node accepts no new work.
        members: Live members.
        routes: Routes in force here.
        moves: Open and recently ended moves.
        classes: Attempts from this node by class and half.
        progress: Progress of the moves.
    """

    node_id: str
    data_centre: str
    version: int
    next_offset: int
    draining: bool
    members: tuple[members_lib.Member, ...]
    routes: tuple[table.Entry, ...]
    moves: tuple[moves_lib.MoveStatus, ...]
    classes: tuple[ClassSummary, ...] = ()
    progress: tuple[MoveProgress, ...] = ()


@dataclasses.dataclass(frozen=True)
class Moves:
    """Moves in a node's state; small enough to be polled.

    Attributes:
        node_id: Id of the node.
        moves: Open and recently ended moves.
        progress: Progress of the moves.
    """

    node_id: str
    moves: tuple[moves_lib.MoveStatus, ...]
    progress: tuple[MoveProgress, ...]


@dataclasses.dataclass(frozen=True)
class Health:
    """Whether a node serves.

    Attributes:
        node_id: Id of the node.
        serving: True if the node has a configuration and is not draining.
        draining: True if the node accepts no new work.
        version: Configuration version in force here; -1 if none.
    """

    node_id: str
    serving: bool
    draining: bool
    version: int


@dataclasses.dataclass(frozen=True)
class PublicationRequest:
    """Body of POST /v1/publications.

    Attributes:
        record_id: Unique id; a repeat with the same id has no effect.
        base_version: Version that the new configuration is based on; -1 for
            the first.
        configuration: The complete new configuration.
    """

    record_id: str = settings_lib.setting(
        "Unique id of the record.", limits=settings_lib.NAME
    )
    base_version: int = settings_lib.setting(
        "Version that the new configuration is based on."
    )
    configuration: configuration_lib.Configuration = settings_lib.setting(
        "The complete new configuration."
    )


@dataclasses.dataclass(frozen=True)
class MoveSubmission:
    """Body of POST /v1/moves.

    Attributes:
        record_id: Unique id; also the id of the move.
        service: Service whose traffic moves.
        version: Version that receives the traffic.
        deadline: Wall time in seconds by which the move must have ended.
        half: Only this half's traffic moves; empty for both.
        to_half: Half whose backend servers receive the traffic; empty for
            any.
    """

    record_id: str = settings_lib.setting(
        "Unique id of the record.", limits=settings_lib.NAME
    )
    service: str = settings_lib.setting(
        "Service whose traffic moves.", limits=settings_lib.NAME
    )
    version: str = settings_lib.setting(
        "Version that receives the traffic.", limits=settings_lib.NAME
    )
    deadline: float = settings_lib.setting("Wall time of the deadline.", "s")
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
        classes=_classes(environment),
        progress=_all_progress(environment),
    )


def moves(environment: environment_lib.Environment) -> Moves:
    """Return the moves in a node's state."""
    return Moves(
        environment.node_id,
        environment.blackboard.state.value.moves,
        _all_progress(environment),
    )


def health(environment: environment_lib.Environment) -> Health:
    """Return whether a node serves."""
    version = environment.blackboard.state.value.version
    draining = environment.blackboard.lifecycle.value.draining
    has_version = version != state_lib.NO_VERSION
    return Health(
        environment.node_id, has_version and not draining, draining, version
    )


def gauges(environment: environment_lib.Environment) -> metrics_page.Gauges:
    """Return the gauges, read from the blackboard."""
    board = environment.blackboard
    state = board.state.value
    return metrics_page.Gauges(
        configuration_version=state.version,
        next_offset=state.next_offset,
        members=len(board.members.value.members),
        open_moves=sum(1 for found in state.moves if found.is_open),
        draining=board.lifecycle.value.draining,
    )


def _classes(
    environment: environment_lib.Environment,
) -> tuple[ClassSummary, ...]:
    configuration = environment.blackboard.state.value.configuration
    by_node = environment.blackboard.members.value.by_node
    totals: dict[tuple[str, str], metrics_lib.Tally] = collections.defaultdict(
        metrics_lib.Tally
    )
    recent = environment.metrics.recent_attempts()
    for (class_name, node_id), tally in recent.items():
        member = by_node.get(node_id)
        half = member.half(configuration) if member else ""
        key = (class_name, half)
        totals[key] = totals[key].plus(tally)
    summaries = []
    for target in configuration.classes:
        for half in (*configuration.halves, ""):
            tally = totals.get((target.name, half))
            if tally is not None or half:
                summaries.append(_class_summary(target, half, tally))
    return tuple(summaries)


def _class_summary(
    target: configuration_lib.ClassTarget,
    half: str,
    tally: metrics_lib.Tally | None,
) -> ClassSummary:
    counts = tally or metrics_lib.Tally()
    return ClassSummary(
        class_name=target.name,
        half=half,
        calls=counts.calls,
        failed=counts.failed,
        in_time=counts.in_time,
        success_target=target.success_target,
    )


def _all_progress(
    environment: environment_lib.Environment,
) -> tuple[MoveProgress, ...]:
    found = environment.blackboard.state.value.moves
    return tuple(_progress(environment, m.move.move_id) for m in found)


def _progress(
    environment: environment_lib.Environment, move_id: str
) -> MoveProgress:
    table_of_shares = environment.blackboard.shares.value
    brake = _brake_event(environment, move_id)
    attempts = environment.metrics.move_attempts(move_id)
    return MoveProgress(
        move_id=move_id,
        braked=move_id in table_of_shares.braked,
        brake_peer=brake.peer if brake else "",
        brake_detail=brake.detail if brake else "",
        routes=tuple(
            entry
            for entry in table_of_shares.entries
            if entry.move_id == move_id
        ),
        versions=tuple(
            VersionSummary(prefix, version, t.calls, t.failed, t.in_time)
            for (prefix, version), t in sorted(attempts.items())
        ),
    )


def _brake_event(
    environment: environment_lib.Environment, move_id: str
) -> events.Event | None:
    name = events.MOVE_BRAKED.name
    return next(
        (
            event
            for event in environment.events.since(0)
            if event.name == name and event.subject == move_id
        ),
        None,
    )
