"""Blackboard of the event-loop path: each snapshot has a single writer."""

import dataclasses

from trefoilwind import sections
from trefoilwind.membership import directory
from trefoilwind.model import mesh
from trefoilwind.routing import host_routes
from trefoilwind.routing import regions


@dataclasses.dataclass(frozen=True)
class VersionPlan:
    """Split of a service's calls between versions.

    Attributes:
        stable: Version that serves by default; empty if none is known.
        candidate: Version being rolled out; empty if none.
        share: Share of the calls sent to the candidate, 0 to 1.
        banned: Versions that were rolled back or braked.
    """

    stable: str = ""
    candidate: str = ""
    share: float = 0.0
    banned: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class VersionTable:
    """Version plans of all services, by service name."""

    by_service: dict[str, VersionPlan] = dataclasses.field(default_factory=dict)


class MeshBoard:
    """Sections shared by the components of one node."""

    def __init__(self) -> None:
        self.configuration = sections.Section(
            "configuration", mesh.MeshConfiguration()
        )
        self.routes = sections.Section("routes", host_routes.HostRouteTable())
        self.members = sections.Section("members", directory.Snapshot())
        self.versions = sections.Section("versions", VersionTable())
        self.evacuations = sections.Section(
            "evacuations", regions.Evacuations()
        )
        self.is_draining = sections.Section("is_draining", False)
