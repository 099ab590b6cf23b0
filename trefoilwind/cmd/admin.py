"""Program `trefoilwind-admin`: publishes and reads outcomes."""

import dataclasses
import json
import os
import sys
import time
import uuid

import cyclopts

from trefoilwind import errors
from trefoilwind import settings as settings_lib
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import documents
from trefoilwind.admin import views
from trefoilwind.cmd import common
from trefoilwind.log import validation
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib

app = cyclopts.App(help="Publish configuration and moves, read outcomes.")

_POLL_S = 0.2
_DEFAULT_WAIT_S = 10.0
TOKEN_VARIABLE = "TREFOILWIND_TOKEN"


def _client(node: str) -> client_lib.AdminClient:
    return client_lib.AdminClient(node, os.environ.get(TOKEN_VARIABLE, ""))


def _status(client: client_lib.AdminClient) -> views.Status:
    result = client.status()
    if isinstance(result, errors.Error):
        common.fail(result, common.EXIT_FAILED)
    return result


def _load_configuration(path: str) -> configuration_lib.Configuration:
    configuration = common.unwrap(
        settings_lib.load(path, configuration_lib.Configuration)
    )
    problems = validation.validate(configuration)
    if problems:
        common.fail(dataclasses.replace(problems[0], peer=path))
    return configuration


@app.command
def publish(
    configuration_file: str,
    *,
    node: str,
    base: int | None = None,
    wait_s: float = _DEFAULT_WAIT_S,
) -> None:
    """Publish a configuration and wait until the node applied it.

    Args:
        configuration_file: File of the configuration, JSON with comments.
        node: URL of a node's administration API.
        base: Version that was changed; the node's current one if not given.
        wait_s: Longest time to wait, in seconds.
    """
    configuration = _load_configuration(configuration_file)
    client = _client(node)
    base_version = _status(client).version if base is None else base
    request = views.PublicationRequest(
        f"publication/{uuid.uuid4()}", base_version, configuration
    )
    error = client.publish(request)
    if error is not None:
        common.fail(error, common.EXIT_FAILED)
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        version = _status(client).version
        if version > base_version:
            print(f"version {version} is in force at {node}")
            return
        time.sleep(_POLL_S)
    common.fail("the publication was not accepted", common.EXIT_FAILED)


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
) -> None:
    """Ask for a move of a service's traffic to a version.

    Args:
        service: Service whose traffic moves.
        version: Version that takes over.
        node: URL of a node's administration API.
        deadline_s: Seconds from now by which the move must have ended.
        half: Move only this half's traffic.
        to_half: Move to this half's backend servers.
        wait: Wait for the outcome; exit with 1 if it is "undone".
    """
    client = _client(node)
    move_id = f"move/{uuid.uuid4()}"
    deadline = time.time() + deadline_s
    request = views.MoveSubmission(
        move_id, service, version, deadline, half, to_half
    )
    error = client.move(request)
    if error is not None:
        common.fail(error, common.EXIT_FAILED)
    print(f"{move_id} is asked for")
    if wait:
        _wait_for_outcome(client, move_id, deadline)


def _wait_for_outcome(
    client: client_lib.AdminClient, move_id: str, deadline: float
) -> None:
    while time.time() < deadline + _DEFAULT_WAIT_S:
        for status in _status(client).moves:
            if status.move.move_id == move_id and status.outcome:
                print(describe_move(status))
                done = status.outcome.result is moves.Result.DONE
                sys.exit(common.EXIT_DONE if done else common.EXIT_FAILED)
        time.sleep(_POLL_S)
    common.fail(f"{move_id} has no outcome yet", common.EXIT_FAILED)


def describe_move(status: moves.MoveStatus) -> str:
    """Return one line about a move."""
    found = status.move
    head = f"{found.move_id} {found.service} {found.version}"
    if status.outcome is None:
        return f"{head}: open"
    outcome = status.outcome
    parts = [f"{head}: {outcome.result.value} ({outcome.reason}"]
    if outcome.step:
        parts.append(f"on {outcome.step}")
    if outcome.peer:
        parts.append(f"at {outcome.peer}")
    return " ".join(parts) + ")"


@app.command
def status(*, node: str, as_json: bool = False) -> None:
    """Show what a node knows.

    Args:
        node: URL of a node's administration API.
        as_json: Print the whole document.
    """
    found = _status(_client(node))
    if as_json:
        print(json.dumps(documents.to_plain(found), indent=2))
        return
    version = "none" if found.version == state_lib.NO_VERSION else found.version
    print(f"{found.node_id} in {found.data_centre}: version {version}")
    for member in found.members:
        leaving = " leaving" if member.leaving else ""
        print(
            f"  member {member.node_id} {member.data_centre} "
            f"{member.service or '-'} {member.version or '-'}{leaving}"
        )
    for entry in found.routes:
        splits = ", ".join(f"{s.version} {s.share:.0%}" for s in entry.splits)
        print(f"  route {entry.service}{entry.path_prefix}: {splits or '-'}")
    for move_status in found.moves:
        print(f"  {describe_move(move_status)}")


@app.command(name="moves")
def list_moves(*, node: str) -> None:
    """Show open and recently ended moves.

    Args:
        node: URL of a node's administration API.
    """
    for found in _status(_client(node)).moves:
        print(describe_move(found))


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
