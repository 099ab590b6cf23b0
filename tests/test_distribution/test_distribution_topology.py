import collections

from trefoilwind.distribution import topology
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members as members_lib

MAX_DEGREE = 16


def member(node_id: str, data_centre: str, leaving: bool = False):
    return members_lib.Member(
        node_id=node_id,
        incarnation=1,
        sequence=1,
        data_centre=data_centre,
        peer_address=addresses.Address(),
        leaving=leaving,
        region=data_centre.partition("-")[0],
    )


def snapshot(per_data_centre: int) -> directory.Snapshot:
    return directory.snapshot(
        member(f"{data_centre}-{index}", data_centre)
        for data_centre in ("perth-a", "perth-b", "pilbara-a", "pilbara-b")
        for index in range(per_data_centre)
    )


def count_reachable(members, edges=topology.neighbours) -> int:
    queue = collections.deque([members.members[0].node_id])
    seen = set(queue)
    while queue:
        for peer in edges(members, queue.popleft()):
            if peer not in seen:
                seen.add(peer)
                queue.append(peer)
    return len(seen)


def test_links_connect_all_nodes_with_a_bounded_degree():
    for count in (1, 2, 3, 40):
        members = snapshot(count)
        assert count_reachable(members) == 4 * count
        for node in members.members:
            links = topology.neighbours(members, node.node_id)
            assert len(links) <= MAX_DEGREE
            assert node.node_id not in links


def test_tree_spans_all_nodes_over_links_without_a_cycle():
    for count in (1, 2, 3, 40):
        members = snapshot(count)
        edges = set()
        for node in members.members:
            tree = topology.tree(members, node.node_id)
            assert tree <= topology.neighbours(members, node.node_id)
            edges |= {frozenset((node.node_id, peer)) for peer in tree}
        assert len(edges) == 4 * count - 1
        assert count_reachable(members, topology.tree) == 4 * count


def test_both_ends_choose_the_same_links_between_equal_groups():
    members = snapshot(5)
    for node in members.members:
        for peer in topology.neighbours(members, node.node_id):
            assert node.node_id in topology.neighbours(members, peer)


def test_few_links_cross_between_regions():
    members = snapshot(40)
    crossing = {
        frozenset((node.node_id, peer))
        for node in members.members
        for peer in topology.neighbours(members, node.node_id)
        if members.by_node[peer].region != node.region
    }
    assert len(crossing) == topology.GATEWAYS_PER_REGION


def test_leaving_nodes_are_relays_only_if_all_nodes_leave():
    alone = directory.snapshot([member("a", "perth-a", leaving=True)])
    assert topology.relays(alone, "perth-a", 2) == ("a",)
    both = directory.snapshot([*alone.members, member("b", "perth-a")])
    assert topology.relays(both, "perth-a", 2) == ("b",)
