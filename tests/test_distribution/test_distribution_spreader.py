import pytest

from tests.test_distribution import oracle
from trefoilwind import clock as clock_lib
from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.distribution import admission
from trefoilwind.distribution import links as links_lib
from trefoilwind.distribution import messages
from trefoilwind.distribution import ports
from trefoilwind.distribution import spreader as spreader_lib
from trefoilwind.distribution import topology
from trefoilwind.log import port
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members as members_lib
from trefoilwind.model import records

PEERS = ("b", "c")


def entry(offset: int) -> port.Entry:
    body = records.Publication(offset - 1, oracle.configuration(1.0 + offset))
    return port.Entry(offset, records.encode(str(offset), "operator", body))


def batch(start: int, end: int) -> messages.RecordBatch:
    entries = tuple(entry(offset) for offset in range(start, end))
    return messages.RecordBatch(start, entries, end)


@pytest.fixture
def environment():
    settings = settings_lib.NodeSettings(
        node_id="a",
        data_centre="perth-a",
        region="perth",
        log=settings_lib.LogSettings(url=""),
    )
    return environment_lib.make(settings, clock_lib.VirtualClock(), seed=1)


@pytest.fixture
def links(environment):
    links = links_lib.LinkController(environment)
    for peer in PEERS:
        links.peer_connected(peer)
    return links


@pytest.fixture
def spreader(environment, links):
    return spreader_lib.Spreader(environment, links)


def pushed(envelopes, peer: str) -> messages.RecordBatch:
    (message,) = (e.message for e in envelopes if e.peer == peer)
    if isinstance(message, messages.Packed):
        return messages.unpack(message, "a")
    return message


def test_a_batch_is_relayed_from_the_first_new_record(spreader, links):
    for peer in PEERS:
        links.request_push(peer)
    spreader.handle("b", batch(0, 3))
    envelopes = spreader.handle("b", batch(1, 5))
    relayed = pushed(envelopes, "c")
    assert relayed.from_offset == 3
    assert [e.offset for e in relayed.entries] == [3, 4]


def test_a_gap_is_requested_and_not_folded(spreader):
    envelopes = spreader.handle("b", batch(2, 4))
    assert spreader.state.next_offset == 0
    assert messages.Digest(0) in [e.message for e in envelopes]


def test_a_gap_revealed_by_a_digest_is_requested(spreader, environment):
    spreader.tick()
    assert spreader.handle("b", messages.Digest(4)) == []
    environment.clock.advance(spreader_lib.GRAFT_WAIT_S)
    envelopes = spreader.tick()
    assert ports.Envelope("b", messages.PushRequest()) in envelopes
    assert ports.Envelope("b", messages.Digest(0)) in envelopes


def test_a_random_link_gets_a_digest_at_each_interval(spreader, environment):
    assert len(spreader.tick()) == len(PEERS) + 1
    assert spreader.tick() == []
    environment.clock.advance(spreader_lib.DIGEST_INTERVAL_S)
    (envelope,) = spreader.tick()
    assert envelope.message == messages.Digest(0, wants_answer=True)


def test_an_older_state_is_ignored(spreader):
    spreader.handle("b", batch(0, 2))
    older = messages.StateTransfer(codec.encode(spreader.state))
    spreader.handle("b", batch(2, 4))
    spreader.handle("c", older)
    assert (spreader.state.version, spreader.state.next_offset) == (3, 4)


def test_a_peer_far_behind_receives_the_state(spreader, monkeypatch):
    monkeypatch.setattr(spreader_lib, "MAX_RECENT_ENTRIES", 2)
    spreader.handle("b", batch(0, 5))
    far = spreader.handle("c", messages.Digest(0))
    assert isinstance(pushed(far, "c"), messages.StateTransfer)
    near = spreader.handle("c", messages.Digest(4))
    assert [e.offset for e in pushed(near, "c").entries] == [4]


@pytest.mark.parametrize("data", [b"", b"no zlib", b"x\x9c"])
def test_bytes_that_cannot_be_unpacked_are_dropped(spreader, data):
    assert spreader.handle("b", messages.Packed(data)) == []


def test_a_full_node_refuses_a_link(environment, links, monkeypatch):
    monkeypatch.setattr(links_lib, "MAX_LINKS", len(PEERS))
    assert links.peer_connected("d") == []
    (envelope,) = links.handle("d", messages.LinkOpen())
    assert isinstance(envelope.message, messages.Refusal)
    assert "d" not in links.active


def test_accepts_are_limited_to_a_rate():
    clock = clock_lib.VirtualClock()
    limit = admission.AcceptLimit(clock, rate_per_s=5)
    assert sum(limit.admit() for _ in range(20)) == 5
    clock.advance(0.4)
    assert sum(limit.admit() for _ in range(20)) == 2


def test_all_links_push_while_a_tree_neighbour_is_missing(environment, links):
    ids = tuple("abcdefghijklmnopqr")
    publish = environment.blackboard.members.claim("test")
    publish(directory.snapshot(topology_members(ids)))
    links.tick()
    wanted = topology.neighbours(environment.blackboard.members.value, "a")
    tree = topology.tree(environment.blackboard.members.value, "a")
    for peer in sorted(wanted | tree):
        links.peer_connected(peer)
    environment.clock.advance(links_lib.PUSH_LEASE_S)
    links.tick()
    assert set(links.eager()) == tree < links.active
    links.peer_lost(min(tree))
    assert set(links.eager()) == links.active
    requested = {e.peer for e in links.tick() if is_push_request(e)}
    assert requested == links.active


def topology_members(ids):
    return [
        members_lib.Member(x, 1, 1, "perth-a", addresses.Address(), region="p")
        for x in ids
    ]


def is_push_request(envelope) -> bool:
    return isinstance(envelope.message, messages.PushRequest)
