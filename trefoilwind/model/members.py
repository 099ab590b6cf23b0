"""Members: backend servers as announced by their nodes."""

import dataclasses

from trefoilwind import errors
from trefoilwind.model import addresses
from trefoilwind.model import bounds
from trefoilwind.model import configuration as configuration_lib

_STEP = "members.check"
# Characters of an odd name that a log line shows.
_SHOWN = 40


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


def check(member: Member) -> errors.RecordError | None:
    """Return an error if a record of another writer has odd values."""
    optional_names = (
        member.service,
        member.version,
        member.region,
        member.instance_id,
    )
    is_valid = {
        "node_id": bounds.is_name(member.node_id),
        "data_centre": bounds.is_name(member.data_centre),
        "names": all(
            not each or bounds.is_name(each) for each in optional_names
        ),
        "incarnation": bounds.is_time_ms(member.incarnation),
        "sequence": bounds.is_count(member.sequence),
        "started_ms": bounds.is_time_ms(member.started_ms),
        "slots": 0 <= member.slots <= bounds.MAX_SLOTS,
        "peer_address": addresses.can_connect(member.peer_address),
    }
    odd = [name for name, is_good in is_valid.items() if not is_good]
    if not odd:
        return None
    return errors.RecordError(
        errors.Reason.OUT_OF_RANGE,
        _STEP,
        ascii(member.node_id[:_SHOWN]),
        ", ".join(odd),
    )
