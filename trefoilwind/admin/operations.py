"""What operators do through a node: publish, move, follow."""

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
POLL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Wait:
    """How long to wait for something.

    Attributes:
        clock: Source of time.
        sleep: Waits for a time in seconds.
        deadline: Monotonic time in seconds of the last look.
    """

    clock: clock_lib.Clock
    sleep: Callable[[float], None]
    deadline: float

    def looks(self) -> Iterator[None]:
        """Yield at once, then after each pause until the deadline."""
        yield
        while self.clock.monotonic() < self.deadline:
            self.sleep(POLL_S)
            yield


def submit(
    send: Callable[[], None | errors.AdminError],
    sleep: Callable[[float], None],
) -> None | errors.AdminError:
    """Send a request, again if its answer was lost.

    Args:
        send: Sends it; a repeat has the same record id and no effect.
        sleep: Waits for a time in seconds.
    """
    result = send()
    for _ in range(SUBMIT_ATTEMPTS - 1):
        if result is None or (
            result.reason is not errors.Reason.PEER_UNREACHABLE
        ):
            break
        sleep(POLL_S)
        result = send()
    return result


def wait_for_record(
    client: client_lib.AdminClient,
    record_id: str,
    wait: Wait,
    options: str = "",
) -> record_results.RecordResult | errors.AdminError:
    """Return a record's result once the node folded it.

    A record that stays pending, or a node that stays away, is an error that
    tells to repeat the request with the same record id.

    Args:
        client: Node that took the request.
        record_id: Id of the record.
        wait: How long to wait.
        options: Further options with which a repeat must be made.
    """
    last: errors.AdminError | None = None
    for _ in wait.looks():
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


def wait_in_force(
    clients: Sequence[client_lib.AdminClient], version: int, wait: Wait
) -> tuple[errors.AdminError, ...]:
    """Return one error for each node that is still behind a version."""
    behind = list(clients)
    problems: dict[str, errors.AdminError] = {}
    for _ in wait.looks():
        for client in tuple(behind):
            problem = _behind(client, version)
            if problem is None:
                behind.remove(client)
            else:
                problems[client.url] = problem
        if not behind:
            break
    return tuple(problems[client.url] for client in behind)


def _behind(
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
class Sight:
    """A move as a node knows it at one time.

    Attributes:
        status: The move and its outcome.
        progress: Where it is; None if the node does not tell.
    """

    status: moves.MoveStatus
    progress: views.MoveProgress | None = None


def follow(
    client: client_lib.AdminClient,
    move_id: str,
    wait: Wait,
    show: Callable[[Sight], None],
) -> Sight | errors.AdminError:
    """Show a move each time it changed, until it ended.

    Args:
        client: Node to ask; while it does not answer it is asked again.
        move_id: Id of the move.
        wait: How long to go on.
        show: Called with each new sight.
    """
    shown: Sight | None = None
    last = _not_found(client.url, move_id)
    for _ in wait.looks():
        sight = look(client, move_id)
        if isinstance(sight, errors.Error):
            last = sight
            if sight.reason in _FINAL_REASONS:
                return sight
            continue
        if sight != shown:
            shown = sight
            show(sight)
        if not sight.status.is_open:
            return sight
        last = errors.AdminError(
            errors.Reason.DEADLINE_EXCEEDED,
            _STEP,
            client.url,
            f"{move_id} has no outcome yet",
        )
    return last


_FINAL_REASONS = (errors.Reason.UNAUTHORIZED, errors.Reason.UNDECODABLE)


def look(
    client: client_lib.AdminClient, move_id: str
) -> Sight | errors.AdminError:
    """Return a move as a node knows it, or an error if it knows none."""
    found = client.moves()
    if isinstance(found, errors.Error):
        return found
    for sight in sights(found):
        if sight.status.move.move_id == move_id:
            return sight
    return _not_found(client.url, move_id)


def sights(node: views.Status | views.Moves) -> tuple[Sight, ...]:
    """Return all moves that a node told."""
    progress = {found.move_id: found for found in node.progress}
    return tuple(
        Sight(found, progress.get(found.move.move_id)) for found in node.moves
    )


def _not_found(url: str, move_id: str) -> errors.AdminError:
    return errors.AdminError(errors.Reason.MOVE_UNKNOWN, _STEP, url, move_id)
