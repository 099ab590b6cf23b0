"""Guarantees of the system in the users' terms."""

import dataclasses

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests.joint import configurations
from tests.joint import world as world_lib
from trefoilwind import errors
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.node import messages
from trefoilwind.proxy import calls

CALLS_PER_STEP = 4
_OLD_VERSION_NODES = ("catalogue-0", "catalogue-1")
_SERVICES = ("catalogue", "artwork")

for _feature in (
    "01_versions_never_go_back",
    "02_routes_have_resources",
    "03_bad_configuration",
    "04_bad_backend_version",
    "05_own_answer",
    "06_not_run_is_true",
    "07_at_most_once",
    "08_leaving_server",
    "09_in_force_everywhere",
):
    pytest_bdd.scenarios(f"features/{_feature}.feature")


@dataclasses.dataclass
class Observed:
    """Observations of one scenario.

    Attributes:
        versions: Versions that each node applied, in order.
        results: Result of each call by its request id.
        candidates: Offsets of the publications of the scenario.
        leaving: Id of the node whose backend server leaves.
    """

    versions: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    results: dict[str, calls.Answer | errors.CallError] = dataclasses.field(
        default_factory=dict
    )
    candidates: list[int] = dataclasses.field(default_factory=list)
    leaving: str = ""


@pytest.fixture
def observed() -> Observed:
    return Observed()


@pytest_bdd.given("a mesh of two halves in two regions", target_fixture="world")
def start_mesh(observed) -> world_lib.World:
    world = configurations.start_world(seed=1)
    _record_versions(world, observed)
    return world


def _record_versions(world: world_lib.World, observed: Observed) -> None:
    for node_id, node in world.nodes.items():
        seen = observed.versions.setdefault(node_id, [])
        node.environment.blackboard.state.subscribe(
            lambda state, seen=seen: seen.append(state.version)
        )


@pytest_bdd.given("updates between nodes are reordered, duplicated and lost")
def disturb_messages(world):
    world.message_loss = 0.2
    world.message_repeats = 0.2
    world.message_delay = 0.5


@pytest_bdd.given(
    parsers.parse("{share:d} percent of the answers between nodes are lost")
)
def lose_answers(world, share):
    world.answer_loss = share / 100


@pytest_bdd.given(
    parsers.parse(
        "version v2 of catalogue fails {share:d} percent of its calls"
    )
)
def break_version(world, share):
    for node in world.nodes.values():
        if node.announcement.version == "v2":
            node.backend.fail_share = share / 100


@pytest_bdd.given(
    parsers.parse(
        "the network delays a call to another node by {milliseconds:d} "
        "milliseconds"
    )
)
def delay_calls(world, milliseconds):
    world.one_way_latency_s = milliseconds / 2 / 1000


@pytest_bdd.when("an operator publishes a change")
def publish_change(world, observed):
    base = max(node.version for node in world.nodes.values())
    change = configurations.with_timeout(base + 1.0)
    observed.candidates.append(world.publish(base, change))


@pytest_bdd.when("two operators publish changes based on the same version")
def publish_race(world, observed):
    base = max(node.version for node in world.nodes.values())
    for timeout_s in (3.0, 4.0):
        change = configurations.with_timeout(timeout_s)
        observed.candidates.append(world.publish(base, change))
    world.run(1.0)


@pytest_bdd.when(
    "an operator publishes a change with a route to an unknown class"
)
def publish_bad_change(world):
    base = max(node.version for node in world.nodes.values())
    world.publish(base, configurations.with_unknown_class())


@pytest_bdd.when(
    parsers.parse("the log is unavailable for {seconds:d} seconds")
)
def stop_log(world, seconds):
    world.log.faults.is_down = True
    world.run(seconds)
    world.log.faults.is_down = False


@pytest_bdd.when("a node restarts without its state")
def restart_node(world, observed):
    world.kill("catalogue-1")
    node = world.start_node("catalogue-1", "pilbara-a", "catalogue", "v1")
    seen = observed.versions.setdefault("catalogue-1 restarted", [])
    node.environment.blackboard.state.subscribe(
        lambda state: seen.append(state.version)
    )
    world.run(9.0)


@pytest_bdd.when(
    parsers.parse(
        "an operator moves catalogue to version {version} within "
        "{seconds:d} seconds"
    )
)
def move_catalogue(world, version, seconds):
    now = world.clock.wall()
    world.append(records.MoveRequest("catalogue", version, now + seconds, now))
    world.run(1.0)


@pytest_bdd.when(
    parsers.parse("callers look up proofs for {seconds:d} seconds")
)
def look_up(world, observed, seconds):
    _make_calls(world, observed, seconds, "GET", "/proofs/1")


@pytest_bdd.when(parsers.parse("callers place orders for {seconds:d} seconds"))
def place_orders(world, observed, seconds):
    _make_calls(world, observed, seconds, "POST", "/orders")


@pytest_bdd.when(
    parsers.parse(
        "callers near servers of the old version look up proofs for "
        "{seconds:d} seconds"
    )
)
def look_up_near_old_servers(world, observed, seconds):
    for _ in range(seconds):
        _make_calls(
            world, observed, 0.5, "GET", "/proofs/1", _OLD_VERSION_NODES
        )
        _make_calls(world, observed, 0.5, "POST", "/orders", _OLD_VERSION_NODES)


def _make_calls(world, observed, seconds, method, path, entries=()):
    for _ in range(round(seconds / world_lib.TICK_S)):
        for _ in range(CALLS_PER_STEP):
            entry = world.rng.choice(sorted(entries or world.nodes))
            request_id, result = world.call(entry, "catalogue", method, path)
            observed.results[request_id] = result
        world.step()


@pytest_bdd.when(
    parsers.parse(
        "callers look up proofs and place orders for {seconds:d} seconds"
    )
)
def look_up_and_order(world, observed, seconds):
    for _ in range(seconds):
        _make_calls(world, observed, 0.5, "GET", "/proofs/1")
        _make_calls(world, observed, 0.5, "POST", "/orders")


@pytest_bdd.when("the regions are disconnected")
def disconnect_regions(world):
    world.split_regions()


@pytest_bdd.when("the regions are reconnected")
def reconnect_regions(world):
    world.regions_disconnected = False


@pytest_bdd.when("a backend server of catalogue dies")
def kill_backend(world):
    world.nodes["catalogue-0"].backend.is_alive = False


@pytest_bdd.when("all backend servers of artwork die")
def kill_artwork(world):
    for node in world.nodes.values():
        if node.announcement.service == "artwork":
            node.backend.is_alive = False


@pytest_bdd.when("a backend server of catalogue announces that it is leaving")
def leave(world, observed):
    observed.leaving = "catalogue-0"
    node = world.nodes[observed.leaving]
    node.announcement = None
    node.control.receive(messages.Withdrawal())


@pytest_bdd.when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(world, seconds):
    world.run(seconds)


@pytest_bdd.then("no node returned to an older version")
def check_versions(observed):
    assert len(observed.versions) > len(_SERVICES)
    for versions in observed.versions.values():
        assert versions == sorted(versions)


@pytest_bdd.then("one of the two changes is in force on every node")
def check_one_change_applied(world, observed):
    versions = {node.version for node in world.nodes.values()}
    assert len(versions) == 1
    assert versions <= set(observed.candidates)


@pytest_bdd.then("every route of every node has backend servers to call")
def check_routes(world):
    for node in world.nodes.values():
        board = node.environment.blackboard
        for entry in board.routes.value.entries:
            for split_ in entry.splits:
                serving = board.members.value.serving(
                    entry.service, split_.version
                )
                assert serving


@pytest_bdd.then(parsers.parse("the move of catalogue is {result}"))
def check_outcome(world, result):
    for node in world.nodes.values():
        (status,) = node.environment.blackboard.state.value.moves
        assert status.outcome is not None
        assert status.outcome.result is moves.Result(result)


@pytest_bdd.then(
    parsers.parse(
        "version v2 ran at most {share:d} percent of the calls of catalogue"
    )
)
def check_exposure(world, observed, share):
    executed = _execution_count(world, "v2")
    assert 0 < executed <= share / 100 * len(observed.results)


def _execution_count(world, version) -> int:
    return sum(
        len(node.backend.executed)
        for node in world.nodes.values()
        if node.announcement and node.announcement.version == version
    )


@pytest_bdd.then("version v2 receives no new calls")
def check_no_new_call(world, observed):
    before = _execution_count(world, "v2")
    look_up(world, observed, 5)
    assert _execution_count(world, "v2") == before


@pytest_bdd.then("every call was answered")
def check_answered(observed):
    assert observed.results
    for result in observed.results.values():
        assert isinstance(result, calls.Answer), result


@pytest_bdd.then("every answer was the complete answer to its own request")
def check_own_answer(observed):
    answers = {
        request_id: b"".join(result.body).decode()
        for request_id, result in observed.results.items()
        if isinstance(result, calls.Answer)
    }
    assert len(answers) > len(observed.results) / 2
    for request_id, body in answers.items():
        assert body == f"v1 {request_id}"


@pytest_bdd.then("no order that was refused as not run was run")
def check_not_run(world, observed):
    refused = [
        request_id
        for request_id, result in observed.results.items()
        if isinstance(result, errors.CallError) and result.not_run
    ]
    for request_id in refused:
        assert world.executions(request_id) == 0


@pytest_bdd.then("no order was run twice")
def check_at_most_once(world, observed):
    counts = [world.executions(request_id) for request_id in observed.results]
    assert sum(counts) > 0
    assert max(counts) == 1


@pytest_bdd.then("the leaving backend server receives no new calls")
def check_leaving(world, observed):
    backend = world.nodes[observed.leaving].backend
    before = len(backend.executed)
    look_up(world, observed, 5)
    assert len(backend.executed) == before


@pytest_bdd.then("a call to artwork is refused as not run")
def check_refused(world):
    for entry in world.nodes:
        _, result = world.call(entry, "artwork")
        assert isinstance(result, errors.CallError)
        assert result.not_run


@pytest_bdd.then(
    parsers.parse(
        "the change is in force on every node within {seconds:d} seconds"
    )
)
def check_in_force(world, observed, seconds):
    expected_version = observed.candidates[-1]
    assert world.run_until(
        lambda: all(
            n.version == expected_version for n in world.nodes.values()
        ),
        seconds,
    )


@pytest_bdd.then(
    parsers.parse("it is still in force after {seconds:d} seconds")
)
def check_still_in_force(world, observed, seconds):
    world.run(seconds)
    for node in world.nodes.values():
        assert node.version == observed.candidates[-1]


@pytest_bdd.then("every node still has the complete previous configuration")
def check_unchanged(world):
    for node in world.nodes.values():
        state = node.environment.blackboard.state.value
        assert state.configuration == configurations.base()
        routes = node.environment.blackboard.routes.value
        assert routes.version == state.version
        assert {e.path_prefix for e in routes.entries} == {"/", "/orders"}
