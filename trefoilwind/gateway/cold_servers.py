"""Which backend servers are cold, as their nodes tell each other.

Answers restarts and cold spells that an entry node would otherwise notice by
the refusals of the target node only. The node beside a backend server tells the
others when it becomes cold and when that changes. A separate message carries
it, as a node of the previous release does not decode member records with
further fields; it ignores the message.
"""

from collections.abc import Callable
import dataclasses

from trefoilwind import codec
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import node_settings
from trefoilwind.model import bounds
from trefoilwind.model import members as members_lib
from trefoilwind.model import mesh
from trefoilwind.routing import cold_limit

# Change in seconds of the end of the cold time that is told to other nodes.
# Heartbeats vary by less.
MIN_CHANGE_S = 0.5
# Seconds for which a server without a heartbeat is cold if it becomes known
# before the first configuration, which may limit its service.
UNKNOWN_COLD_S = 10.0


@codec.message("mesh.cold_server")
@dataclasses.dataclass(frozen=True)
class ColdServer:
    """Notice of how long a backend server is cold.

    Attributes:
        node_id: Node beside the backend server.
        instance_id: Id of the backend server's process.
        started_ms: Wall clock in milliseconds at its start.
        sequence: Counter of the heartbeat that gave the time.
        cold_s: Remaining seconds when the message was sent; 0 if warm.
    """

    node_id: str
    instance_id: str
    started_ms: int
    sequence: int
    cold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Notice:
    """A received notice with the deadline in place of the duration."""

    message: ColdServer
    cold_until: float

    def is_superseded_by(self, other: ColdServer) -> bool:
        """Return True if another notice of the same node is newer."""
        if other.instance_id == self.message.instance_id:
            return other.sequence > self.message.sequence
        return other.started_ms >= self.message.started_ms


class ColdServers:
    """Cold state of the members' backend servers, and the services' limits."""

    def __init__(
        self,
        node_id: str,
        board: board_lib.MeshBoard,
        terms: node_settings.ColdTerms,
    ):
        """Initialize without knowledge of any backend server.

        Args:
            node_id: Id of this node.
            board: Board with the configuration.
            terms: Bound on the calls of cold backend servers.
        """
        self._node_id = node_id
        self._board = board
        self._terms = terms
        self._notices: dict[str, _Notice] = {}
        # Limits by service, and the configuration from which they were taken.
        self._policies: dict[str, mesh.ServicePolicy] = {}
        self._configuration: mesh.MeshConfiguration | None = None

    def policy(self, service: str) -> mesh.ServicePolicy | None:
        """Return the policy of a service with a limit; None without one."""
        configuration = self._board.configuration.value
        if configuration is not self._configuration:
            self._configuration = configuration
            self._policies = {
                each.name: each
                for each in configuration.services
                if each.cold_per_s > 0.0
            }
        return self._policies.get(service)

    def limit(self, server: mesh.BackendServer) -> cold_limit.Limit | None:
        """Return the limit of a backend server while cold; None without one."""
        policy = self.policy(server.service)
        if policy is None:
            return None
        return cold_limit.limit(
            policy.cold_per_s,
            self._terms.overage,
            self._terms.slack,
            server.slots,
        )

    def cold_s(self, server: mesh.BackendServer) -> float:
        """Return the seconds for which a server just announced is cold.

        Without a heartbeat, as after a restart of the node, it may have
        started at any moment.
        """
        if server.sequence:
            return server.cold_s
        policy = self.policy(server.service)
        if policy is not None:
            return max(server.cold_s, policy.cold_s)
        is_known = bool(self._board.configuration.value.version)
        return server.cold_s if is_known else UNKNOWN_COLD_S

    def note_own(
        self, server: mesh.BackendServer | None, now: float
    ) -> ColdServer | None:
        """Note an announcement of the own server; return what to tell others.

        Args:
            server: The backend server; None if there is none.
            now: Event loop time in seconds.
        """
        if server is None or self.policy(server.service) is None:
            return None
        message = ColdServer(
            self._node_id,
            server.instance_id,
            server.started_ms,
            server.sequence,
            self.cold_s(server),
        )
        known = self._notices.get(self._node_id)
        if known is None or known.message.instance_id != server.instance_id:
            left_s = 0.0
        else:
            left_s = max(0.0, known.cold_until - now)
        if abs(message.cold_s - left_s) < MIN_CHANGE_S and (
            bool(message.cold_s) == bool(left_s)
        ):
            return None
        self._notices[self._node_id] = _Notice(message, now + message.cold_s)
        return message

    def own_message(self, now: float) -> ColdServer | None:
        """Return what to tell a node that has just connected, or None."""
        known = self._notices.get(self._node_id)
        if known is None or now >= known.cold_until:
            return None
        return dataclasses.replace(known.message, cold_s=known.cold_until - now)

    def merge(self, message: ColdServer, now: float) -> bool:
        """Merge a notice of a peer; return True if it is news to this node."""
        is_valid = (
            bounds.is_name(message.node_id)
            and bounds.is_time_ms(message.started_ms)
            and bounds.is_count(message.sequence)
            and 0.0 <= message.cold_s <= bounds.MAX_COUNT
        )
        if not is_valid or message.node_id == self._node_id:
            return False
        known = self._notices.get(message.node_id)
        if known is not None and not known.is_superseded_by(message):
            return False
        self._notices[message.node_id] = _Notice(message, now + message.cold_s)
        return True

    def is_cold(self, member: members_lib.Member, now: float) -> bool:
        """Return True if a member's backend server is known to be cold."""
        known = self._notices.get(member.node_id)
        return (
            known is not None
            and now < known.cold_until
            and known.message.instance_id == member.instance_id
        )

    def share(
        self, member: members_lib.Member, service_s: float, now: float
    ) -> float:
        """Return the share of its usual calls that a member is considered for.

        Args:
            member: The member.
            service_s: Expected service time of a call in seconds.
            now: Event loop time in seconds.
        """
        policy = self.policy(member.service)
        if policy is None or not self.is_cold(member, now):
            return 1.0
        return cold_limit.share(policy.cold_per_s, member.slots, service_s)

    def evict(self, is_known: Callable[[str], bool]) -> None:
        """Remove the notices of nodes that are no longer members."""
        for node_id in list(self._notices):
            if not is_known(node_id):
                del self._notices[node_id]
