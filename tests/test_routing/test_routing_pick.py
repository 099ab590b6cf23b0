import collections
import random

from tests.test_routing import fake_mesh
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import configuration
from trefoilwind.model import members as members_lib
from trefoilwind.model import state
from trefoilwind.routing import divisions
from trefoilwind.routing import ejection
from trefoilwind.routing import pick
from trefoilwind.routing import pools
from trefoilwind.routing import table

DRAWS = 2000
PLACES = ("perth-a", "perth-a", "perth-b", "pilbara-a", "pilbara-a")


def _members(places=PLACES):
    return tuple(
        members_lib.Member(
            f"n{i}", 1, 1, place, addresses.Address(), "catalogue", "v1", 4
        )
        for i, place in enumerate(places)
    )


class _Picker:
    """Chooses members from the pools of a node in perth-a."""

    def __init__(self, members=None):
        mesh = fake_mesh.FakeMesh(1)
        self.node = mesh.add("entry", "perth-a")
        self.clock = mesh.clock
        self.board = self.node.environment.blackboard
        centres = tuple(
            configuration.DataCentre(name, region)
            for name, region in fake_mesh.REGIONS.items()
        )
        owners = (
            configuration.Ownership("west", data_centre="perth-b"),
            configuration.Ownership("east"),
        )
        self.node.publish_state(
            state.State(
                configuration=configuration.Configuration(
                    data_centres=centres, ownership=owners
                )
            )
        )
        self.publish(members or _members())
        self.rng = random.Random(1)
        self.ejector = ejection.Ejector(self.rng)
        self.pools = pools.Pools(self.node.environment, self.ejector)
        self.loads = pick.LoadTracker()

    def publish(self, members):
        self.node.publish_members(directory.snapshot(members))

    def counts(self, half="", excluded=()):
        entry = fake_mesh.entry_of(fake_mesh.LOOKUPS)
        split = table.Split("v1", 1.0, half=half)
        now = self.clock.monotonic()
        counts = collections.Counter()
        for _ in range(DRAWS):
            pool = self.pools.pool(entry, split)
            member = pick.choose_member(
                pool,
                lambda n: n not in excluded,
                lambda n: self.loads.cost(n, now),
                self.rng,
            )
            counts[member.node_id] += 1
        return counts


def test_the_own_region_is_preferred():
    counts = _Picker().counts()
    assert set(counts) == {"n0", "n1", "n2"}


def test_a_saturated_region_overflows_to_another_region():
    assert set(_Picker().counts(excluded=("n0", "n1", "n2"))) == {"n3", "n4"}


def test_if_all_are_tried_one_is_still_chosen():
    assert _Picker().counts(excluded=("n0", "n1", "n2", "n3", "n4"))


def test_a_half_uses_only_its_own_servers():
    assert set(_Picker().counts(half="west")) == {"n2"}


def test_the_division_sends_a_share_to_other_regions():
    picker = _Picker()
    picker.board.divisions.claim("test")(
        divisions.DivisionTable(
            tuple(
                divisions.Weight("catalogue", "lookups", half, place, 0.75)
                for half, place in (("east", "perth-a"), ("west", "perth-b"))
            )
        )
    )
    counts = picker.counts()
    remote = counts["n3"] + counts["n4"]
    assert 0.2 * DRAWS < remote < 0.3 * DRAWS


def test_reported_load_and_health_do_not_attract_traffic():
    picker = _Picker(_members(("perth-a",) * 3))
    now = picker.clock.monotonic()
    for node_id in ("n0", "n1", "n2"):
        picker.loads.started(node_id)
        slow_s = 0.5 if node_id == "n2" else 0.01
        picker.loads.ended(node_id, slow_s, False, now)
    before = picker.counts()["n2"]
    # The slow one reports that it is idle and healthy, the others report full
    # load and bad health.
    picker.loads.record_hint("n2", pick.Hint(0.0, True, now + 10))
    for node_id in ("n0", "n1"):
        picker.loads.record_hint(node_id, pick.Hint(1.0, False, now + 10))
    assert before < DRAWS / 20
    assert picker.counts()["n2"] < DRAWS / 20


def test_a_hint_is_ignored_after_it_expires():
    hint = pick.Hint(1.0, False, 5.0)
    assert hint.factor(4.9) == pick.MAX_HINT_FACTOR
    assert hint.factor(5.0) == 1.0


def test_a_server_that_fails_fast_does_not_attract_traffic():
    picker = _Picker(_members(("perth-a",) * 3))
    now = picker.clock.monotonic()
    for _ in range(10):
        for node_id in ("n0", "n1", "n2"):
            picker.loads.started(node_id)
            is_bad = node_id == "n2"
            latency_s = 0.0001 if is_bad else 0.02
            picker.loads.ended(node_id, latency_s, is_bad, now)
    assert picker.counts()["n2"] < DRAWS / 20


def test_a_new_member_ramps_up_from_its_first_appearance():
    picker = _Picker(_members(("perth-a",) * 2))
    picker.counts()
    picker.clock.advance(20.0)
    picker.publish(_members(("perth-a",) * 3))
    shares = []
    for _ in range(4):
        shares.append(picker.counts()["n2"] / DRAWS)
        picker.clock.advance(4.0)
    assert shares[0] < 0.15
    assert shares == sorted(shares)
    assert shares[-1] > 0.25


def test_ejection_keeps_half_of_the_pool_and_readmits_with_backoff():
    ejector = ejection.Ejector(random.Random(1))
    members = _members()
    for _ in range(ejection.FAILURES_TO_EJECT):
        for member in members:
            ejector.failed(member.node_id, 0.0)
    assert len(ejector.usable(members, 0.1)) == 3
    later = ejection.BASE_EJECTION_S + 0.1
    assert len(ejector.usable(members, later)) == 5
    assert ejector.failed("n0", later)
    assert ejector.is_ejected("n0", later + ejection.BASE_EJECTION_S)
    end = later + 2 * ejection.BASE_EJECTION_S + 0.1
    assert not ejector.is_ejected("n0", end)


def test_a_success_resets_the_count_of_failures():
    ejector = ejection.Ejector(random.Random(1))
    for _ in range(3 * ejection.FAILURES_TO_EJECT):
        assert not ejector.failed("n0", 0.0)
        ejector.succeeded("n0")
