"""Members: backend servers as announced by their nodes."""

import dataclasses

from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib


@dataclasses.dataclass(frozen=True, order=True)
class Label:
    """A label of a backend server."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True)
class Member:
    """A node and the backend server beside it.

    Only the node itself changes its member. Of two members with the same node
    id the one with the greater (incarnation, sequence) supersedes the other.

    Attributes:
        node_id: Id of the node.
        incarnation: Wall clock in milliseconds at the start of the node's
            process.
        sequence: Counter of changes within the incarnation.
        data_centre: Data centre of the node.
        peer_address: Address on which the node accepts peer streams.
        service: Service of the backend server; empty while none is announced.
        version: Version of the backend server.
        slots: Number of calls that the backend server runs concurrently.
        labels: Labels for ownership rules.
        leaving: True if it accepts no new calls.
        region: Region of the data centre.
        instance_id: Id of the backend server's process; empty if unknown.
        started_ms: Wall clock in milliseconds at the backend server's start;
            0 if unknown.
        has_left: True if the backend server itself accepts no new calls, not
            just its node.
    """

    node_id: str
    incarnation: int
    sequence: int
    data_centre: str
    peer_address: addresses.Address
    service: str = ""
    version: str = ""
    slots: int = 0
    labels: tuple[Label, ...] = ()
    leaving: bool = False
    region: str = ""
    instance_id: str = ""
    started_ms: int = 0
    has_left: bool = False

    @property
    def precedence(self) -> tuple[int, int]:
        """Key that orders the members announced by one node."""
        return (self.incarnation, self.sequence)

    @property
    def process(self) -> tuple[str, int]:
        """Key of the backend server's process."""
        return (self.instance_id, self.started_ms)

    def half(self, configuration: configuration_lib.Configuration) -> str:
        """Return the owner by the first matching rule, or the empty string."""
        for rule in configuration.ownership:
            if self._matches(rule):
                return rule.half
        return ""

    def _matches(self, rule: configuration_lib.Ownership) -> bool:
        if rule.service not in ("", self.service):
            return False
        if rule.data_centre not in ("", self.data_centre):
            return False
        if not rule.label:
            return True
        key, _, value = rule.label.partition("=")
        return Label(key, value) in self.labels
