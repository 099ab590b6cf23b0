"""Choice of the nodes to which a node keeps streams; pure functions.

Answers a mesh of hundreds of nodes in which every node would keep, and probe,
a stream to every other one. A node keeps streams to all nodes of its data
centre and, for each version of a service, to a few nodes of each other data
centre, which are its candidates for calls. Each node chooses them by rendezvous
hashing with its own id, so that each backend server is a candidate of about as
many nodes as any other, and a node that joins or leaves changes the candidates
of a few nodes only.

The first nodes in the ranking of a data centre, its relays, also keep streams
to the relays of the others, so that records cross data centres whatever
services these run.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from trefoilwind.distribution import topology
from trefoilwind.membership import directory
from trefoilwind.model import members as members_lib
from trefoilwind.routing import placement

# Candidates of a version in the other data centres of the own region together,
# and as many in the other regions.
CANDIDATES_PER_DISTANCE = 8
# Candidates in each data centre, so that one that fails leaves another.
MIN_CANDIDATES = 2

Version = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Selection:
    """Nodes of interest to one node.

    Attributes:
        candidates: Nodes to which calls may be sent, the own one included, by
            service and version and by distance.
        peers: Nodes to which streams are kept, by node id.
    """

    candidates: dict[
        Version, dict[placement.Distance, tuple[members_lib.Member, ...]]
    ]
    peers: dict[str, members_lib.Member]


def select(members: directory.Snapshot, own: members_lib.Member) -> Selection:
    """Return the nodes to which a node keeps streams and may send calls.

    Args:
        members: All members.
        own: Member record of the node, or an earlier one.
    """
    candidates = {
        version: _candidates(group, own)
        for version, group in members.by_version.items()
    }
    peers = {
        member.node_id: member
        for groups in candidates.values()
        for group in groups.values()
        for member in group
    }
    for member in members.members:
        if member.data_centre == own.data_centre and member.service:
            peers[member.node_id] = member
    for node_id in _other_relays(members, own):
        member = members.by_node[node_id]
        if member.service:
            peers[node_id] = member
    peers.pop(own.node_id, None)
    return Selection(candidates, peers)


def distance(
    member: members_lib.Member, own: members_lib.Member
) -> placement.Distance:
    """Return the distance of a member from a node."""
    if member.node_id == own.node_id:
        return placement.Distance.OWN
    if member.data_centre == own.data_centre:
        return placement.Distance.DATA_CENTRE
    if member.region == own.region:
        return placement.Distance.REGION
    return placement.Distance.OTHER_REGION


def relays(members: directory.Snapshot, data_centre: str) -> tuple[str, ...]:
    """Return the relays of a data centre, highest rank first."""
    count = topology.RELAYS_PER_DATA_CENTRE
    return topology.relays(members, data_centre, count)


def _other_relays(
    members: directory.Snapshot, own: members_lib.Member
) -> set[str]:
    """Return the relays of the other data centres if the node is a relay."""
    if own.node_id not in relays(members, own.data_centre):
        return set()
    others = {each.data_centre for each in members.members}
    return {
        node_id
        for data_centre in others - {own.data_centre}
        for node_id in relays(members, data_centre)
    }


def _candidates(
    group: Sequence[members_lib.Member], own: members_lib.Member
) -> dict[placement.Distance, tuple[members_lib.Member, ...]]:
    """Return the candidates among the members of a version, by distance."""
    chosen: dict[placement.Distance, tuple[members_lib.Member, ...]] = {}
    by_distance = collections.defaultdict(list)
    for member in group:
        by_distance[distance(member, own)].append(member)
    for each, members in by_distance.items():
        if each <= placement.Distance.DATA_CENTRE:
            chosen[each] = tuple(members)
        else:
            chosen[each] = tuple(_of_each_data_centre(members, own))
    return chosen


def _of_each_data_centre(
    members: Iterable[members_lib.Member], own: members_lib.Member
) -> Iterable[members_lib.Member]:
    by_data_centre = collections.defaultdict(list)
    for member in members:
        by_data_centre[member.data_centre].append(member)
    share = -(-CANDIDATES_PER_DISTANCE // len(by_data_centre))
    count = max(MIN_CANDIDATES, share)
    for local in by_data_centre.values():
        yield from _first_ranked(local, own, count)


def _first_ranked(
    members: Sequence[members_lib.Member], own: members_lib.Member, count: int
) -> Iterable[members_lib.Member]:
    """Return the members that rank highest for a node."""
    if len(members) <= count:
        return members
    by_node = {each.node_id: each for each in members}
    key = f"candidates/{own.node_id}"
    return [by_node[each] for each in topology.rendezvous(key, by_node, count)]
