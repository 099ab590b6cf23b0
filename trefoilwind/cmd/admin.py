"""Program `trefoilwind-admin`: publishes configurations and starts moves."""

import dataclasses
import json
import math
import os
import sys
import time
from typing import Annotated
from typing import Any
import uuid

import cyclopts

from trefoilwind import clock as clock_lib
from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import documents
from trefoilwind.admin import operations
from trefoilwind.admin import record_results
from trefoilwind.admin import report
from trefoilwind.admin import views
from trefoilwind.cmd import common
from trefoilwind.model import moves

app = cyclopts.App(
    help="Publish configurations, start moves and show their outcomes."
)

_DEFAULT_WAIT_S = 10.0
_OUTCOME_MARGIN_S = 10.0
_MAX_WAIT_S = 7 * 86400.0
TOKEN_VARIABLE = "TREFOILWIND_TOKEN"

_Nodes = Annotated[list[str], cyclopts.Parameter(name="--node", negative="")]
_Json = Annotated[bool, cyclopts.Parameter(name="--json", negative="")]


def _client(node: str) -> client_lib.AdminClient:
    common.check_url("--node", node)
    return client_lib.AdminClient(node, os.environ.get(TOKEN_VARIABLE, ""))


def _unwrap_answer(result: Any) -> Any:
    """Return a node's answer, or exit if it is an error."""
    if isinstance(result, errors.SettingsError):
        common.fail(result)
    if isinstance(result, errors.Error):
        common.fail(result, common.EXIT_FAILED)
    return result


def _wait(seconds: float) -> operations.Wait:
    clock = clock_lib.SystemClock()
    return operations.Wait(clock, time.sleep, clock.monotonic() + seconds)


def _check_seconds(name: str, seconds: float) -> None:
    if not (math.isfinite(seconds) and 0 < seconds <= _MAX_WAIT_S):
        common.fail(
            f"{name}: above 0, at most {_MAX_WAIT_S:g} expected ({seconds})"
        )


def _record_id(given: str, kind: str) -> str:
    if not given:
        return f"{kind}/{uuid.uuid4()}"
    if not json_documents.is_name(given):
        common.fail(f"--record-id: a name without spaces expected ({given})")
    return given


def _print_json(value: Any) -> None:
    print(json.dumps(documents.to_plain(value), indent=2))


@app.command
def check(configuration_file: str, *, as_json: _Json = False) -> None:
    """Check a configuration without a node.

    Args:
        configuration_file: Configuration file, JSON with comments.
        as_json: Print the configuration as JSON, with all defaults.
    """
    configuration = common.load_configuration(configuration_file)
    if as_json:
        _print_json(configuration)
    else:
        print(f"{configuration_file}: correct")


@dataclasses.dataclass(frozen=True)
class Published:
    """Result of a publication.

    Attributes:
        record: Result of its record.
        nodes: Nodes on which it is in force.
    """

    record: record_results.RecordResult
    nodes: tuple[str, ...]


@app.command
def publish(
    configuration_file: str,
    *,
    node: _Nodes,
    base: int | None = None,
    wait_s: float = _DEFAULT_WAIT_S,
    record_id: str = "",
    as_json: _Json = False,
) -> None:
    """Publish a configuration and wait until it is in force.

    Args:
        configuration_file: Configuration file, JSON with comments.
        node: URL of a node's administration API; may be given several times.
            The first one publishes, and the command waits until the version
            is in force on all of them.
        base: Version that the configuration is based on; the node's current
            one if not given. A repeat must give that of the first attempt.
        wait_s: Longest time to wait, in seconds.
        record_id: Record id of an earlier attempt whose result is unknown.
        as_json: Print the result as JSON.
    """
    configuration = common.load_configuration(configuration_file)
    _check_seconds("--wait-s", wait_s)
    if record_id and base is None:
        common.fail(
            "--record-id: --base of the earlier attempt is required too"
        )
    clients = [_client(url) for url in node]
    if not clients:
        common.fail("--node: at least one expected")
    first = clients[0]
    base_version = base
    if base_version is None:
        base_version = _unwrap_answer(first.health()).version
    request = views.PublicationRequest(
        _record_id(record_id, "publication"), base_version, configuration
    )
    wait = _wait(wait_s)
    _unwrap_answer(
        operations.submit(lambda: first.publish(request), time.sleep)
    )
    result = _unwrap_answer(
        operations.wait_for_record(first, request.record_id, wait)
    )
    _unwrap_answer(operations.rejection(result, first.url))
    if result.offset < 0:
        line = f"{request.record_id} is in the log; see the status command"
        _print_json(Published(result, ())) if as_json else print(line)
        return
    problems = operations.wait_until_in_force(clients, result.offset, wait)
    if problems:
        common.fail(problems[0], common.EXIT_FAILED)
    if as_json:
        _print_json(Published(result, tuple(c.url for c in clients)))
        return
    print(f"version {result.offset} is in force at {', '.join(node)}")


@app.command
def move(
    service: str,
    version: str,
    *,
    node: str,
    deadline_s: float,
    half: str = "",
    to_half: str = "",
    wait: bool = False,
    record_id: str = "",
    as_json: _Json = False,
) -> None:
    """Start a move of a service's traffic to a version.

    Args:
        service: Service whose traffic moves.
        version: Version that receives the traffic.
        node: URL of a node's administration API.
        deadline_s: Seconds from now by which the move must have ended.
        half: Move only this half's traffic.
        to_half: Move to this half's backend servers.
        wait: Wait for the outcome; exit with 1 if it is "undone".
        record_id: Record id of an earlier attempt whose result is unknown.
        as_json: Print the result as JSON.
    """
    _check_seconds("--deadline-s", deadline_s)
    client = _client(node)
    request = views.MoveSubmission(
        _record_id(record_id, "move"),
        service,
        version,
        time.time() + deadline_s,
        half,
        to_half,
    )
    _unwrap_answer(operations.submit(lambda: client.move(request), time.sleep))
    result = _unwrap_answer(
        operations.wait_for_record(
            client, request.record_id, _wait(_DEFAULT_WAIT_S)
        )
    )
    _unwrap_answer(operations.rejection(result, client.url))
    if wait:
        _follow(client, request.record_id, deadline_s, as_json, False)
    elif as_json:
        _print_json(result)
    else:
        print(f"{request.record_id} is accepted")


@app.command
def watch(
    move_id: str,
    *,
    node: str,
    wait_s: float = 3600.0,
    as_json: _Json = False,
) -> None:
    """Show a move's progress until it has ended; exit with 1 if undone.

    Args:
        move_id: Id of the move.
        node: URL of a node's administration API.
        wait_s: Longest time to watch, in seconds.
        as_json: Print each change as one line of JSON.
    """
    _check_seconds("--wait-s", wait_s)
    client = _client(node)
    _unwrap_answer(operations.fetch_move(client, move_id))
    _follow(client, move_id, wait_s, as_json, True)


def _follow(
    client: client_lib.AdminClient,
    move_id: str,
    wait_s: float,
    as_json: bool,
    shows_progress: bool,
) -> None:
    def show(snapshot: operations.MoveSnapshot) -> None:
        if as_json:
            print(json.dumps(documents.to_plain(snapshot)), flush=True)
            return
        if snapshot.status.is_open and not shows_progress:
            return
        print(report.move_line(snapshot.status), flush=True)
        if shows_progress:
            for line in report.progress_lines(snapshot):
                print(f"  {line}", flush=True)

    wait = _wait(wait_s + _OUTCOME_MARGIN_S)
    snapshot = _unwrap_answer(operations.follow(client, move_id, wait, show))
    if snapshot.status.outcome.result is not moves.Result.DONE:
        sys.exit(common.EXIT_FAILED)


@app.command
def status(*, node: _Nodes, as_json: _Json = False) -> None:
    """Show the status of nodes: versions, classes by half, moves.

    Args:
        node: URL of a node's administration API; may be given several times.
        as_json: Print a JSON list of one document per node.
    """
    clients = [_client(url) for url in node]
    if not clients:
        common.fail("--node: at least one expected")
    answers = [client.status() for client in clients]
    statuses = [a for a in answers if not isinstance(a, errors.Error)]
    if as_json:
        _print_json(statuses)
    else:
        _print_statuses(statuses)
    for answer in answers:
        _unwrap_answer(answer)


def _print_statuses(statuses: list[views.Status]) -> None:
    if not statuses:
        return
    print(report.coverage_line(statuses))
    for found in statuses:
        for line in report.node_lines(found):
            print(line)
    if len(statuses) > 1:
        print("all nodes queried:")
        for summary in report.total_classes(statuses):
            print(f"  {report.class_line(summary)}")
    newest = max(statuses, key=lambda found: found.next_offset)
    for snapshot in operations.move_snapshots(newest):
        print(report.move_line(snapshot.status))
        for line in report.progress_lines(snapshot):
            print(f"  {line}")


@app.command(name="moves")
def list_moves(*, node: str, as_json: _Json = False) -> None:
    """Show open and recently ended moves.

    Args:
        node: URL of a node's administration API.
        as_json: Print the moves as JSON.
    """
    found = _unwrap_answer(_client(node).moves())
    if as_json:
        _print_json(operations.move_snapshots(found))
        return
    for move_status in found.moves:
        print(report.move_line(move_status))


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
