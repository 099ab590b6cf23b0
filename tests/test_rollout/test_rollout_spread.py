"""Distribution of evidence between nodes and counting of observations."""

from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import members as members_lib
from trefoilwind.proxy import calls
from trefoilwind.rollout import budget
from trefoilwind.rollout import evidence
from trefoilwind.rollout import observer as observer_lib
from trefoilwind.rollout import shares
from trefoilwind.rollout import spread

_REGIONS = {"a": "east", "b": "east", "c": "west", "d": "west"}
_ROUTE = evidence.RouteKey("/", "lookup")


def _roles(node_id: str) -> spread.Topology:
    members = directory.snapshot(
        members_lib.Member(
            f"{name}{index}",
            1,
            1,
            name,
            addresses.Address(),
            service="s",
            version="v1",
            region=region,
        )
        for name, region in _REGIONS.items()
        for index in range(5)
    )
    configuration = configuration_lib.Configuration(
        data_centres=tuple(
            configuration_lib.DataCentre(n, r) for n, r in _REGIONS.items()
        )
    )
    return spread.topology(node_id, node_id[0], members, configuration)


def _key(data_centre: str, entry: str) -> evidence.Key:
    return evidence.Key("m", _ROUTE, data_centre, entry, evidence.Arm.NEW, "t")


def test_only_one_node_of_a_region_sends_sums_to_another_region():
    crossing = []
    for name in _REGIONS:
        for index in range(5):
            roles = _roles(f"{name}{index}")
            for link in spread.links(roles):
                if _REGIONS[link.peer[0]] != roles.region:
                    crossing.append((roles.node_id, link.peer))
                    assert not link.includes(_key(name, f"{name}{index}@1"))
    assert len(crossing) == 2


def test_counts_of_each_node_reach_every_node():
    names = [f"{n}{i}" for n in _REGIONS for i in range(5)]
    ledgers = {name: evidence.Ledger() for name in names}
    senders = {name: spread.Sender(ledgers[name]) for name in names}
    for name in names:
        key = _key(name[0], f"{name}@1")
        ledgers[name].add(key, evidence.Counter(failures=1))
    for step in range(10):
        for name in names:
            roles = _roles(name)
            if roles.is_aggregator:
                ledgers[name].aggregate(name[0])
            for sent in senders[name].deliveries(
                float(step), spread.links(roles)
            ):
                ledgers[sent.peer].merge(sent.entries)
    for ledger in ledgers.values():
        total = sum(c.failures for c in ledger.view("m").values())
        assert total == len(names)


def _observation(**changes) -> calls.Observation:
    fields = {
        "move_id": "m",
        "service": "s",
        "half": "",
        "path_prefix": "/",
        "class_name": "lookup",
        "version": "v2",
        "node_id": "t",
        "latency_s": 0.003,
        "failed": False,
        "is_new": True,
    }
    return calls.Observation(**{**fields, **changes})


def _counted(observations, times) -> evidence.Counter:
    ledger = evidence.Ledger()
    origin = observer_lib.CounterOrigin("a", "n@1")
    observer = observer_lib.Observer(ledger, lambda: origin)
    for observation, now in zip(observations, times, strict=True):
        observer.observe(observation)
        observer.count(now)
    return ledger.view("m").get(_key("a", ""), evidence.Counter())


def test_network_latency_does_not_count_as_latency_of_the_version():
    far = _observation(latency_s=0.5, served_s=0.001)
    near = _observation(latency_s=0.001)
    times = [3.0 * number for number in range(observer_lib.COLD_CALLS + 10)]
    counted = _counted([far] * len(times), times)
    assert counted.timed > 0
    assert counted == _counted([near] * len(times), times)


def test_shed_calls_do_not_count():
    assert _counted([_observation(failed=True, shed=True)], [0.0]).calls == 0


def test_one_crash_of_a_backend_server_counts_as_one_failure():
    cut = _observation(failed=True, cut=True)
    assert _counted([cut] * 5, [0.0, 0.1, 0.2, 0.3, 5.0]).failures == 2


def test_latency_counts_after_the_cold_period_of_a_server():
    found = _counted([_observation()] * 40, [0.0] * 20 + [20.0] * 20)
    assert found.timed == 11
    assert found.untimed == 29


def test_the_call_budget_bounds_each_window():
    entry = shares.RouteShare("m", "s", "/", "lookup", 0.5, calls_left=3)
    guard = budget.CallBudget()
    table = shares.ShareTable((entry,), window=1)
    assert [guard.try_acquire(table, entry) for _ in range(5)].count(True) == 3
    later = shares.ShareTable((entry,), window=2)
    assert guard.try_acquire(later, entry)
    assert budget.calls_per_window(0.02, 1000) == 40
