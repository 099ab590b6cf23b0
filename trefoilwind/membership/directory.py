"""Immutable snapshots of the membership."""

import collections
from collections.abc import Iterable
import dataclasses
import functools
from typing import NamedTuple

from trefoilwind.model import members as members_lib


class RoutingKey(NamedTuple):
    """Properties of a member that determine which routes may include it.

    It is a named tuple since thousands are hashed after each change of a
    member.

    Attributes:
        service: Service of the backend server.
        version: Version of the backend server.
        data_centre: Data centre of the backend server.
        labels: Labels for ownership rules.
    """

    service: str
    version: str
    data_centre: str
    labels: tuple[members_lib.Label, ...]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All live members, sorted by node id."""

    members: tuple[members_lib.Member, ...] = ()

    @functools.cached_property
    def routing_keys(self) -> frozenset[RoutingKey]:
        """Distinct routing keys of the members that accept new calls."""
        return frozenset(
            RoutingKey(m.service, m.version, m.data_centre, m.labels)
            for m in self.members
            if m.service and not m.leaving
        )

    @functools.cached_property
    def rankings(self) -> dict[str, tuple[str, ...]]:
        """Cache of node ids ranked by a key; filled by the topology."""
        return {}

    @functools.cached_property
    def by_node(self) -> dict[str, members_lib.Member]:
        """Members by node id."""
        return {member.node_id: member for member in self.members}

    @functools.cached_property
    def by_version(
        self,
    ) -> dict[tuple[str, str], tuple[members_lib.Member, ...]]:
        """Members that accept new calls, by (service, version)."""
        groups = collections.defaultdict(list)
        for member in self.members:
            if member.service and not member.leaving:
                groups[member.service, member.version].append(member)
        return {key: tuple(group) for key, group in groups.items()}

    def serving(
        self, service: str, version: str
    ) -> tuple[members_lib.Member, ...]:
        """Return the members of a version that accept new calls."""
        return self.by_version.get((service, version), ())

    def in_data_centre(self, data_centre: str) -> tuple[str, ...]:
        """Return the ids of the live nodes of a data centre, sorted."""
        return tuple(
            member.node_id
            for member in self.members
            if member.data_centre == data_centre
        )


def snapshot(members: Iterable[members_lib.Member]) -> Snapshot:
    """Return a snapshot of members given in any order."""
    return Snapshot(tuple(sorted(members, key=lambda m: m.node_id)))
