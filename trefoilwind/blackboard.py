"""Blackboard: immutable snapshots that controllers read and write.

Each section has exactly one writer. Publishing is a single assignment, so a
reader on any thread sees either the complete old snapshot or the complete new
one.
"""

from trefoilwind import sections
from trefoilwind.membership import directory
from trefoilwind.model import lifecycle
from trefoilwind.model import state as state_lib
from trefoilwind.rollout import shares
from trefoilwind.routing import divisions
from trefoilwind.routing import suspects
from trefoilwind.routing import table


class Blackboard:
    """All sections of one node."""

    def __init__(self) -> None:
        self.state = sections.Section("state", state_lib.State())
        self.members = sections.Section("members", directory.Snapshot())
        self.routes = sections.Section("routes", table.RouteTable())
        self.shares = sections.Section("shares", shares.ShareTable())
        self.divisions = sections.Section(
            "divisions", divisions.DivisionTable()
        )
        self.suspects = sections.Section("suspects", suspects.SuspectTable())
        self.lifecycle = sections.Section("lifecycle", lifecycle.Lifecycle())
