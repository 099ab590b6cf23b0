"""Operations through a node's API: submit records, wait, follow moves."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import record_results
from trefoilwind.admin import views
from trefoilwind.model import moves

_STEP = "admin.wait"
SUBMIT_ATTEMPTS = 3
POLL_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Wait:
    """Polling at a fixed interval until a deadline.

    Attributes:
        clock: Source of time.
        sleep: Sleeps for a time in seconds.
        deadline: Monotonic time in seconds after which polling ends.
    """

    clock: clock_lib.Clock
    sleep: Callable[[float], None]
    deadline: float

    def polls(self) -> Iterator[None]:
        """Yield at once, then after each interval until the deadline."""
        yield
        while self.clock.monotonic() < self.deadline:
            self.sleep(POLL_INTERVAL_S)
            yield


def submit(
    send: Callable[[], None | errors.AdminError],
    sleep: Callable[[float], None],
) -> None | errors.AdminError:
    """Send a request, and repeat it if its answer was lost.

    Args:
        send: Sends the request; a repeat has the same record id and thus no
            further effect.
        sleep: Sleeps for a time in seconds.
    """
    result = send()
    for _ in range(SUBMIT_ATTEMPTS - 1):
        if result is None or (
            result.reason is not errors.Reason.PEER_UNREACHABLE
        ):
            break
        sleep(POLL_INTERVAL_S)
        result = send()
    return result


def wait_for_record(
    client: client_lib.AdminClient,
    record_id: str,
    wait: Wait,
    options: str = "",
) -> record_results.RecordResult | errors.AdminError:
    """Return a record's result once the node has folded it.

    If the record stays pending, or the node unreachable, until the deadline,
    the error asks the operator to repeat the request with the same record id.

    Args:
        client: Client of the node that accepted the request.
        record_id: Id of the record.
        wait: Polling and its deadline.
        options: Further options that a repeat needs, for the error text.
    """
    last: errors.AdminError | None = None
    for _ in wait.polls():
        result = client.record(record_id)
        if isinstance(result, errors.Error):
            if result.reason is not errors.Reason.PEER_UNREACHABLE:
                return result
            last = result
        elif result.progress is not record_results.Progress.PENDING:
            return result
        else:
            last = None
    reason = last.reason if last else errors.Reason.DEADLINE_EXCEEDED
    detail = f"no result yet; repeat with --record-id {record_id}{options}"
    return errors.AdminError(reason, _STEP, client.url, detail)


def rejection(
    result: record_results.RecordResult, url: str
) -> errors.AdminError | None:
    """Return a rejected record's error, or None if it was not rejected."""
    if result.progress is not record_results.Progress.REJECTED:
        return None
    try:
        reason = errors.Reason(result.reason)
    except ValueError:
        reason = errors.Reason.UNDECODABLE
    return errors.AdminError(reason, "log.fold", url, result.detail)


def wait_until_in_force(
    clients: Sequence[client_lib.AdminClient], version: int, wait: Wait
) -> tuple[errors.AdminError, ...]:
    """Return one error for each node that did not reach a version in time."""
    behind = list(clients)
    problems: dict[str, errors.AdminError] = {}
    for _ in wait.polls():
        for client in tuple(behind):
            problem = _version_error(client, version)
            if problem is None:
                behind.remove(client)
            else:
                problems[client.url] = problem
        if not behind:
            break
    return tuple(problems[client.url] for client in behind)


def _version_error(
    client: client_lib.AdminClient, version: int
) -> errors.AdminError | None:
    health = client.health()
    if isinstance(health, errors.Error):
        return health
    if health.version >= version:
        return None
    detail = f"version {health.version}, not yet {version}"
    return errors.AdminError(
        errors.Reason.DEADLINE_EXCEEDED, _STEP, client.url, detail
    )


@dataclasses.dataclass(frozen=True)
class MoveSnapshot:
    """State of a move at one node at one time.

    Attributes:
        status: The move and its outcome.
        progress: Its progress; None if the node reports none.
    """

    status: moves.MoveStatus
    progress: views.MoveProgress | None = None


def follow(
    client: client_lib.AdminClient,
    move_id: str,
    wait: Wait,
    show: Callable[[MoveSnapshot], None],
) -> MoveSnapshot | errors.AdminError:
    """Show a move at each change until it has ended.

    Args:
        client: Client of the node to poll; polling continues while the node is
            unreachable.
        move_id: Id of the move.
        wait: Polling and its deadline.
        show: Called with each changed snapshot.
    """
    shown: MoveSnapshot | None = None
    last = _not_found(client.url, move_id)
    for _ in wait.polls():
        snapshot = fetch_move(client, move_id)
        if isinstance(snapshot, errors.Error):
            last = snapshot
            if snapshot.reason in _FINAL_REASONS:
                return snapshot
            continue
        if snapshot != shown:
            shown = snapshot
            show(snapshot)
        if not snapshot.status.is_open:
            return snapshot
        last = errors.AdminError(
            errors.Reason.DEADLINE_EXCEEDED,
            _STEP,
            client.url,
            f"{move_id} has no outcome yet",
        )
    return last


_FINAL_REASONS = (errors.Reason.UNAUTHORIZED, errors.Reason.UNDECODABLE)


def fetch_move(
    client: client_lib.AdminClient, move_id: str
) -> MoveSnapshot | errors.AdminError:
    """Return a move's state at a node, or an error if the node has none."""
    found = client.moves()
    if isinstance(found, errors.Error):
        return found
    for snapshot in move_snapshots(found):
        if snapshot.status.move.move_id == move_id:
            return snapshot
    return _not_found(client.url, move_id)


def move_snapshots(
    document: views.Status | views.Moves,
) -> tuple[MoveSnapshot, ...]:
    """Return all moves in a node's document."""
    progress = {found.move_id: found for found in document.progress}
    return tuple(
        MoveSnapshot(found, progress.get(found.move.move_id))
        for found in document.moves
    )


def _not_found(url: str, move_id: str) -> errors.AdminError:
    return errors.AdminError(errors.Reason.MOVE_UNKNOWN, _STEP, url, move_id)
