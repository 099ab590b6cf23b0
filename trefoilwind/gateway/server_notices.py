"""Notices of backend servers as an entry node knows them.

The node beside a backend server forgets its notices when it restarts, while
the backend server and the entry nodes that have answered callers with them
continue. An entry node repeats them to that node when it reconnects. The same
holds for a server that has left, as a restored store may have lost that.
"""

from collections.abc import Callable
import math

from trefoilwind.gateway import control_messages
from trefoilwind.model import members as members_lib
from trefoilwind.model import mesh

# Value of a message without a limit, as infinity cannot be encoded.
_NO_LIMIT = -1.0
_NO_NOTICE = mesh.ServerNotice()


class ServerNotices:
    """Latest notice of each backend server that named any."""

    def __init__(self) -> None:
        # Process of the backend server and its notice, by node id.
        self._seen: dict[str, tuple[tuple[str, int], mesh.ServerNotice]] = {}

    def record(
        self, member: members_lib.Member, notice: mesh.ServerNotice
    ) -> None:
        """Record the notice in an answer.

        Args:
            member: Member whose backend server answered.
            notice: Notice in its answer.
        """
        if self._was_replaced(member):
            return
        notice = self._latest(member).followed_by(notice)
        if notice == _NO_NOTICE:
            self._seen.pop(member.node_id, None)
        else:
            self._seen[member.node_id] = (member.process, notice)

    def record_left(self, member: members_lib.Member) -> None:
        """Record that a member's backend server accepts no new calls."""
        if self._was_replaced(member):
            return
        limit_per_s = self._latest(member).limit_per_s
        left = mesh.ServerNotice(limit_per_s, is_leaving=True)
        self._seen[member.node_id] = (member.process, left)

    def has_left(self, member: members_lib.Member) -> bool:
        """Return True if a member's backend server said that it is leaving."""
        return self._latest(member).is_leaving

    def message(self, node_id: str) -> control_messages.ServerNoticeSeen | None:
        """Return what to tell a node about its backend server, or None."""
        if node_id not in self._seen:
            return None
        (instance_id, started_ms), notice = self._seen[node_id]
        is_limited = math.isfinite(notice.limit_per_s)
        return control_messages.ServerNoticeSeen(
            instance_id,
            started_ms,
            notice.limit_per_s if is_limited else _NO_LIMIT,
            notice.is_leaving,
        )

    def evict(self, is_known: Callable[[str], bool]) -> None:
        """Remove the notices of nodes that are no longer members."""
        for node_id in list(self._seen):
            if not is_known(node_id):
                del self._seen[node_id]

    def _was_replaced(self, member: members_lib.Member) -> bool:
        """Return True if a later process at the node has given a notice."""
        if member.node_id not in self._seen:
            return False
        (_, started_ms), _ = self._seen[member.node_id]
        return member.started_ms < started_ms

    def _latest(self, member: members_lib.Member) -> mesh.ServerNotice:
        """Return the latest notice of a member's backend server."""
        process, notice = self._seen.get(member.node_id, (None, _NO_NOTICE))
        return notice if process == member.process else _NO_NOTICE
