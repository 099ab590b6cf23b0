"""Routes before, during and after moves between halves."""

from trefoilwind.log import fold
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state as state_lib
from trefoilwind.rollout import controller
from trefoilwind.rollout import shares
from trefoilwind.routing import table

_SHARES = shares.ShareTable((shares.RouteShare("m", "s", "/", "lookup", 0.25),))


def _started() -> state_lib.State:
    configuration = configuration_lib.Configuration(
        data_centres=(
            configuration_lib.DataCentre("a", "east"),
            configuration_lib.DataCentre("b", "west"),
        ),
        halves=("north", "south"),
        classes=(configuration_lib.ClassTarget("lookup", True, 0.2, 0.99),),
        services=(
            configuration_lib.Service(
                "s", "v1", (configuration_lib.Route("/", "lookup"),)
            ),
        ),
        ownership=(
            configuration_lib.Ownership("north", data_centre="a"),
            configuration_lib.Ownership("south", data_centre="b"),
        ),
    )
    request = records.MoveRequest(
        "s", "v1", deadline=100.0, started=0.0, to_half="south"
    )
    state = state_lib.State()
    for record_id, body in (
        ("p", records.Publication(-1, configuration)),
        ("m", request),
    ):
        state = _fold(state, record_id, body)
    return state


def _fold(state: state_lib.State, record_id: str, body) -> state_lib.State:
    payload = records.encode(record_id, "w", body)
    folded = fold.fold(state, state.next_offset, payload)
    assert folded.error is None
    return folded.state


def _members(*data_centres: str) -> directory.Snapshot:
    return directory.snapshot(
        members_lib.Member(
            f"n{name}", 1, 1, name, addresses.Address(), "s", "v1", 4
        )
        for name in data_centres
    )


def _splits(state, members, found=_SHARES):
    (entry,) = table.build(state, members, found).entries
    return [(s.half, s.share, s.move_id) for s in entry.splits]


def test_an_open_move_splits_calls_between_the_halves():
    state = _started()
    members = _members("a", "b")
    assert _splits(state, members) == [
        ("north", 0.75, ""),
        ("south", 0.25, "m"),
    ]
    assert (
        controller.count_new_servers(state, members, state.moves[0].move) == 1
    )
    braked = shares.ShareTable(_SHARES.entries, frozenset({"m"}))
    assert _splits(state, members, braked) == [("north", 1.0, "")]


def test_a_route_keeps_its_half_while_the_new_one_has_no_server():
    state = _started()
    assert _splits(state, _members("a")) == [("north", 1.0, "")]


def test_done_keeps_the_half_and_undone_restores_the_state():
    started = _started()
    undone = moves.Outcome("m", moves.Result.UNDONE, "failures", at=10.0)
    members = _members("a", "b")
    after = _fold(started, "o", undone)
    assert after.stable == started.stable
    assert _splits(after, members) == [("", 1.0, "")]
    proposed = moves.Outcome("m", moves.Result.DONE, "full-share", at=10.0)
    confirmed = moves.Outcome("m", moves.Result.DONE, "full-share", at=13.0)
    state = _fold(started, "o1", proposed)
    assert state.is_open("m")
    state = _fold(state, "o2", confirmed)
    assert not state.is_open("m")
    assert _splits(state, members) == [("south", 1.0, "")]
