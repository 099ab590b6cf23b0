"""Program `trefoilwind-demo`: a small mesh of nodes in one process."""

import logging
import sys
import time

import cyclopts

from trefoilwind.admin import client as client_lib
from trefoilwind.admin import report
from trefoilwind.admin import timeline
from trefoilwind.admin import views
from trefoilwind.cmd import common
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib
from trefoilwind.node import process
from trefoilwind.standins import backend
from trefoilwind.standins import caller
from trefoilwind.standins import mesh

app = cyclopts.App(
    help="Run a small mesh; move to a good version and to a faulty one."
)

_WAIT_S = 45.0
_POLL_S = 0.05
_EXPECTED = {
    "catalogue": moves.Result.DONE,
    "artwork": moves.Result.UNDONE,
}


def configuration() -> configuration_lib.Configuration:
    """Return the configuration that the demo publishes."""
    lookup = configuration_lib.ClassTarget("lookup", True, 0.2, 0.99, 2)
    order = configuration_lib.ClassTarget("order", False, 0.5, 0.99, 3)
    services = tuple(
        configuration_lib.Service(
            name,
            "v1",
            (
                configuration_lib.Route("/", "lookup"),
                configuration_lib.Route("/orders", "order", ("POST",)),
            ),
        )
        for name in _EXPECTED
    )
    return configuration_lib.Configuration(
        data_centres=(
            configuration_lib.DataCentre("perth-a", "perth"),
            configuration_lib.DataCentre("pilbara-a", "pilbara"),
        ),
        halves=("north", "south"),
        classes=(lookup, order),
        services=services,
        ownership=(
            configuration_lib.Ownership("north", data_centre="perth-a"),
            configuration_lib.Ownership("south"),
        ),
    )


def _start_mesh() -> mesh.Mesh:
    system = mesh.Mesh()
    for data_centre, region in (("perth-a", "perth"), ("pilbara-a", "pilbara")):
        for service in _EXPECTED:
            system.add_node(data_centre, region, service, "v1")
    system.add_node("perth-a", "perth", "catalogue", "v2")
    bad = backend.BackendFaults(fail_every=2)
    system.add_node("pilbara-a", "pilbara", "artwork", "v2", bad)
    return system


def _wait_until(condition, failure: str) -> None:
    deadline = time.monotonic() + _WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            common.fail(f"timeout: {failure}", common.EXIT_FAILED)
        time.sleep(_POLL_S)


def _count_announced(node: process.Node) -> int:
    members = node.environment.blackboard.members.value.members
    return sum(1 for member in members if member.service)


def _publish(system: mesh.Mesh, client: client_lib.AdminClient) -> None:
    _wait_until(
        lambda: all(
            _count_announced(n) == len(system.nodes) for n in system.nodes
        ),
        "not every node received the announcements of all backend servers",
    )
    request = views.PublicationRequest(
        "demo/publication", state_lib.NO_VERSION, configuration()
    )
    common.unwrap(client.publish(request))
    _wait_until(
        lambda: all(
            n.environment.blackboard.state.value.version >= 0
            for n in system.nodes
        ),
        "the configuration did not reach every node",
    )


def _run_moves(client: client_lib.AdminClient) -> tuple[moves.MoveStatus, ...]:
    deadline = time.time() + _WAIT_S
    for service in _EXPECTED:
        submission = views.MoveSubmission(
            f"demo/{service}", service, "v2", deadline
        )
        common.unwrap(client.move(submission))

    def ended() -> bool:
        statuses = common.unwrap(client.status()).moves
        return len(statuses) == len(_EXPECTED) and not any(
            s.is_open for s in statuses
        )

    _wait_until(ended, "a move did not end")
    return common.unwrap(client.status()).moves


@app.default
def run(*, show_timeline: bool = False) -> None:
    """Run the demo; exit with 1 if an outcome is not as expected.

    Args:
        show_timeline: Print the events of all nodes.
    """
    logging.basicConfig(level="ERROR")
    system = _start_mesh()
    try:
        as_expected = _run(system, show_timeline)
    finally:
        system.stop()
    if not as_expected:
        sys.exit(common.EXIT_FAILED)


def _run(system: mesh.Mesh, show_timeline: bool) -> bool:
    client = system.admin_client(0)
    _publish(system, client)
    plan = (
        caller.Call("GET", "/catalogue/proofs/7"),
        caller.Call("GET", "/artwork/drawings/3"),
        caller.Call("POST", "/catalogue/orders"),
        caller.Call("POST", "/artwork/orders"),
    )
    users = [caller.Caller(system.caller_urls, plan) for _ in range(4)]
    for user in users:
        user.start()
    statuses = _run_moves(client)
    for user in users:
        user.stop()
    if show_timeline:
        _print_timeline(system)
    for status in statuses:
        print(report.move_line(status))
    lost = sum(user.lost for user in users)
    print(f"calls: {sum(u.answered for u in users)} answered, {lost} lost")
    return not lost and all(
        s.outcome.result is _EXPECTED[s.move.service] for s in statuses
    )


def _print_timeline(system: mesh.Mesh) -> None:
    logs = [node.environment.events.since(0) for node in system.nodes]
    for event in timeline.merge(logs):
        print(timeline.line(event))


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
