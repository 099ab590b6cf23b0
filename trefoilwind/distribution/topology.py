"""Choice of the peers with which a node keeps control links.

Nodes of a data centre form two rings, each ordered by a hash: a random
graph of degree four with a logarithmic diameter. A few relays link the data
centres of a region; a few gateways link the regions. The choice is
a pure function of the membership, so that both ends of a link agree.
"""

import collections
from collections.abc import Iterable
import functools

import xxhash

from trefoilwind.membership import directory
from trefoilwind.model import members as members_lib

RINGS = 2
RELAYS_PER_DATA_CENTRE = 2
GATEWAYS_PER_REGION = 2
_RANK_CACHE_ENTRIES = 65536


@functools.lru_cache(maxsize=_RANK_CACHE_ENTRIES)
def rank(key: str, node: str) -> int:
    """Return the rank of a node for a key; all nodes compute the same."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


def rendezvous(key: str, nodes: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` nodes that rank highest for a key.

    This is rendezvous hashing.

    Args:
        key: Purpose that the nodes are chosen for.
        nodes: Ids of the candidates.
        count: Largest number of nodes to return.
    """
    ranked = sorted(nodes, key=lambda node: rank(key, node), reverse=True)
    return tuple(ranked[:count])


def ranked_relays(data_centre: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return nodes of a data centre in the order in which they are relays.

    Args:
        data_centre: The data centre.
        nodes: Ids of the nodes to rank.
    """
    ids = tuple(nodes)
    return rendezvous(_relay_key(data_centre), ids, len(ids))


def relays(
    members: directory.Snapshot, data_centre: str, count: int
) -> tuple[str, ...]:
    """Return the relays of a data centre, highest rank first."""
    key = _relay_key(data_centre)
    return _ranked(members, key, lambda m: m.data_centre == data_centre)[:count]


def gateways(
    members: directory.Snapshot, region: str, count: int
) -> tuple[str, ...]:
    """Return the gateways of a region, highest rank first."""
    key = f"gateway/{region}"
    return _ranked(members, key, lambda m: m.region == region)[:count]


def candidates(
    members: directory.Snapshot, key: str, count: int
) -> tuple[str, ...]:
    """Return the nodes of the whole mesh that rank highest for a key."""
    return _ranked(members, key, lambda m: True)[:count]


def neighbours(members: directory.Snapshot, own_id: str) -> frozenset[str]:
    """Return the peers with which a node should have control links."""
    own = members.by_node.get(own_id)
    if own is None:
        return frozenset()
    chosen = _ring_neighbours(members, own)
    chosen |= _counterparts(_relay_groups(members, own), own_id)
    chosen |= _counterparts(_gateway_groups(members), own_id)
    return frozenset(chosen - {own_id})


def tree(members: directory.Snapshot, own_id: str) -> frozenset[str]:
    """Return a node's neighbours in the tree that spans all nodes.

    All its edges are links that `neighbours` returns. Within a data centre
    it is the breadth-first tree over the rings from the first relay. Within
    a region the first relay of the data centre that is first by name is
    linked with the first relay of each other data centre. The first gateways
    of the regions are linked in the same way.
    """
    own = members.by_node.get(own_id)
    if own is None:
        return frozenset()
    root = relays(members, own.data_centre, 1)[0]
    chosen = _data_centre_tree(members, own, root)
    for groups in (_relay_groups(members, own), _gateway_groups(members)):
        heads = [group[0] for group in groups if group]
        if own_id == heads[0]:
            chosen.update(heads)
        elif own_id in heads:
            chosen.add(heads[0])
    return frozenset(chosen - {own_id})


def is_relay_or_gateway(members: directory.Snapshot, own_id: str) -> bool:
    """Return True if a node is a relay or a gateway."""
    own = members.by_node.get(own_id)
    if own is None:
        return False
    chosen = relays(members, own.data_centre, RELAYS_PER_DATA_CENTRE)
    return own_id in chosen + gateways(members, own.region, GATEWAYS_PER_REGION)


def _relay_key(data_centre: str) -> str:
    return f"relay/{data_centre}"


def _ranked(
    members: directory.Snapshot, key: str, condition
) -> tuple[str, ...]:
    """Return the nodes ranked by a key; ranked once per snapshot."""
    ranked = members.rankings.get(key)
    if ranked is None:
        nodes = _not_leaving(members, condition)
        ranked = rendezvous(key, nodes, len(nodes))
        members.rankings[key] = ranked
    return ranked


def _not_leaving(members: directory.Snapshot, condition) -> list[str]:
    """Return the nodes that are not leaving; all if each one is."""
    nodes = [m for m in members.members if condition(m)]
    remaining = [m for m in nodes if not m.leaving]
    return [m.node_id for m in remaining or nodes]


def _rings(members: directory.Snapshot, data_centre: str) -> list[list[str]]:
    nodes = members.in_data_centre(data_centre)
    return [
        sorted(nodes, key=lambda node, key=f"ring/{ring}": rank(key, node))
        for ring in range(RINGS)
    ]


def _ring_neighbours(
    members: directory.Snapshot, own: members_lib.Member
) -> set[str]:
    chosen = set()
    for ordered in _rings(members, own.data_centre):
        index = ordered.index(own.node_id)
        chosen.add(ordered[index - 1])
        chosen.add(ordered[(index + 1) % len(ordered)])
    return chosen


def _data_centre_tree(
    members: directory.Snapshot, own: members_lib.Member, root: str
) -> set[str]:
    """Return the own edges of the breadth-first tree over the rings."""
    edges = collections.defaultdict(set)
    for ordered in _rings(members, own.data_centre):
        for index, node in enumerate(ordered):
            edges[node].add(ordered[index - 1])
            edges[ordered[index - 1]].add(node)
    chosen = set()
    seen = {root}
    queue = collections.deque([root])
    while queue:
        node = queue.popleft()
        for peer in sorted(edges[node] - seen):
            seen.add(peer)
            queue.append(peer)
            if own.node_id in (node, peer):
                chosen |= {node, peer}
    return chosen


def _relay_groups(
    members: directory.Snapshot, own: members_lib.Member
) -> list[tuple[str, ...]]:
    """Return the relays of each data centre of the own region."""
    by_data_centre = sorted(
        {m.data_centre for m in members.members if m.region == own.region}
    )
    return [
        relays(members, data_centre, RELAYS_PER_DATA_CENTRE)
        for data_centre in by_data_centre
    ]


def _gateway_groups(members: directory.Snapshot) -> list[tuple[str, ...]]:
    """Return the gateways of each region."""
    return [
        gateways(members, region, GATEWAYS_PER_REGION)
        for region in sorted({m.region for m in members.members})
    ]


def _counterparts(groups: list[tuple[str, ...]], own_id: str) -> set[str]:
    own_group = next((group for group in groups if own_id in group), ())
    if not own_group:
        return set()
    position = own_group.index(own_id)
    # In a smaller group the last node has the links of several positions.
    return {group[min(position, len(group) - 1)] for group in groups if group}
