"""Tests of the choice of peers in meshes of up to a thousand nodes."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from trefoilwind.gateway import peer_selection
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.routing import placement

_SIZES = (8, 30, 195, 600)
# Share of the nodes whose backend servers run the smaller service.
_SMALL_SHARE = 0.2


def _mesh(size: int, data_centres: int, seed: int = 1) -> directory.Snapshot:
    rng = random.Random(seed)
    return directory.snapshot(
        members.Member(
            f"node-{rng.randrange(10**9)}-{number}",
            1,
            1,
            f"d{number % data_centres}",
            addresses.Address("10.0.0.1", number),
            "artwork" if rng.random() < _SMALL_SHARE else "catalogue",
            "v1",
            7,
            region=f"r{number % data_centres % 2}",
        )
        for number in range(size)
    )


def _selections(mesh: directory.Snapshot):
    return {
        member.node_id: peer_selection.select(mesh, member)
        for member in mesh.members
    }


@pytest.mark.parametrize("size", _SIZES)
def test_streams_to_other_data_centres_do_not_grow_with_the_mesh(size: int):
    mesh = _mesh(size, 8)
    services = 2
    limit = services * 2 * peer_selection.CANDIDATES_PER_DISTANCE
    # Each of four data centres of a region may get one candidate more.
    limit += services * 2 * 4
    relays = 2 * 7
    for node_id, selection in _selections(mesh).items():
        own = mesh.by_node[node_id]
        far = [
            peer
            for peer in selection.peers.values()
            if peer.data_centre != own.data_centre
        ]
        assert len(far) <= limit + relays


@pytest.mark.parametrize("size", _SIZES)
def test_every_backend_server_is_a_candidate_and_none_of_too_many(size: int):
    mesh = _mesh(size, 8)
    sources = collections.Counter()
    for selection in _selections(mesh).values():
        for groups in selection.candidates.values():
            for distance, group in groups.items():
                if distance > placement.Distance.DATA_CENTRE:
                    sources.update(each.node_id for each in group)
    by_service = collections.defaultdict(list)
    for member in mesh.members:
        count = sources[member.node_id]
        by_service[member.service, member.data_centre].append(count)
    for counts in by_service.values():
        mean = sum(counts) / len(counts)
        assert min(counts) > 0
        assert max(counts) <= 4 * mean


def test_all_nodes_of_a_small_mesh_are_peers():
    mesh = _mesh(13, 4)
    for node_id, selection in _selections(mesh).items():
        assert {node_id, *selection.peers} == set(mesh.by_node)


def test_each_data_centre_is_reached_by_each_node():
    mesh = _mesh(195, 8)
    for selection in _selections(mesh).values():
        reached = {peer.data_centre for peer in selection.peers.values()}
        assert len(reached) == 8


def test_relays_of_all_data_centres_have_streams_to_each_other():
    mesh = _mesh(195, 8)
    selections = _selections(mesh)
    relays = {
        node_id
        for number in range(8)
        for node_id in peer_selection.relays(mesh, f"d{number}")
    }
    assert len(relays) == 16
    for node_id in relays:
        own = mesh.by_node[node_id].data_centre
        far = {each for each in relays if mesh.by_node[each].data_centre != own}
        assert far <= set(selections[node_id].peers)


def test_leaving_nodes_of_other_data_centres_are_replaced_as_candidates():
    mesh = _mesh(195, 8)
    own = mesh.members[0]
    version = ("catalogue", "v1")
    distance = placement.Distance.OTHER_REGION
    before = peer_selection.select(mesh, own).candidates[version][distance]
    left = before[0].node_id
    changed = directory.snapshot(
        dataclasses.replace(each, leaving=each.node_id == left)
        for each in mesh.members
    )
    after = peer_selection.select(changed, own).candidates[version][distance]
    assert left not in {each.node_id for each in after}
    assert len(after) == len(before)


def test_versions_have_candidates_of_their_own():
    mesh = _mesh(195, 8)
    new = {each.node_id for each in mesh.members[::10]}
    changed = directory.snapshot(
        dataclasses.replace(each, version="v2") if each.node_id in new else each
        for each in mesh.members
    )
    selection = peer_selection.select(changed, changed.members[1])
    candidates = selection.candidates["catalogue", "v2"]
    assert sum(map(len, candidates.values())) >= 8


@hypothesis.given(
    size=strategies.integers(20, 200),
    seed=strategies.integers(0, 1000),
    data=strategies.data(),
)
@hypothesis.settings(max_examples=40, deadline=None)
def test_one_change_of_the_membership_replaces_few_peers(size, seed, data):
    mesh = _mesh(size, 4, seed)
    gone = data.draw(strategies.sampled_from(mesh.members))
    smaller = directory.snapshot(
        each for each in mesh.members if each.node_id != gone.node_id
    )
    before = _selections(mesh)
    after = _selections(smaller)
    relays = {
        *peer_selection.relays(mesh, gone.data_centre),
        *peer_selection.relays(smaller, gone.data_centre),
    }
    for node_id, selection in after.items():
        if node_id in relays:
            continue
        new = set(selection.peers) - set(before[node_id].peers)
        # At most one candidate takes the place of the one that is gone, and
        # one relay that of a relay.
        assert len(new) <= 2
