"""Processes of the backend server that left before their node knew them.

A node that starts may get a deregistration before it has heard of its backend
server: from a heartbeat, or from its earlier member record in the store.
"""

from trefoilwind.model import mesh

# Ids that are kept; a machine has one backend server at a time.
MAX_IDS = 16


class Departures:
    """Ids of unknown processes that have left."""

    def __init__(self) -> None:
        # Wall clock in milliseconds at the deregistration, by instance id.
        self._left_ms: dict[str, int] = {}

    def add(self, instance_id: str, now_ms: int) -> None:
        """Record a deregistration.

        Args:
            instance_id: Id of the process.
            now_ms: Wall clock in milliseconds.
        """
        self._left_ms.pop(instance_id, None)
        self._left_ms[instance_id] = now_ms
        if len(self._left_ms) > MAX_IDS:
            del self._left_ms[next(iter(self._left_ms))]

    def has_left(self, server: mesh.BackendServer) -> bool:
        """Return True if a process has left.

        A process that started after the deregistration is another one, as ids
        may be used again.
        """
        left_ms = self._left_ms.get(server.instance_id)
        return left_ms is not None and server.started_ms <= left_ms
