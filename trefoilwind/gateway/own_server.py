"""What a node knows of the backend server beside it, and from whom.

The server announces itself by heartbeats. A node that starts also has its own
earlier member record, from the store or a peer, until the first heartbeat.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import time

from trefoilwind.gateway import departures
from trefoilwind.gateway import member_table
from trefoilwind.gateway import target as target_lib
from trefoilwind.model import addresses
from trefoilwind.model import members as members_lib
from trefoilwind.model import mesh

logger = logging.getLogger(__name__)

# Heartbeat intervals from the start of a node until it drops a restored backend
# server that has sent none.
SILENT_HEARTBEATS = 2
_MS_PER_S = 1000


class OwnServer:
    """Applies announcements and the earlier record of the backend server."""

    def __init__(
        self,
        target: target_lib.Target,
        members: member_table.MemberTable,
        address: addresses.Address,
        on_change: Callable[[], None],
    ):
        """Initialize without a backend server.

        Args:
            target: Runs the calls on the backend server.
            members: Table with the own member record.
            address: Address of the backend server.
            on_change: Tells peers and the store of the own member record.
        """
        self._target = target
        self._members = members
        self._address = address
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._departures = departures.Departures()
        # Time until which a restored server is used without a heartbeat, and
        # the timer that drops it then.
        self._heartbeat_deadline = float("inf")
        self._silence_timer: asyncio.TimerHandle | None = None

    def await_heartbeats(self, interval_s: float) -> None:
        """Start the time in which a restored server must be heard of.

        Args:
            interval_s: Seconds between two heartbeats.
        """
        now = self._loop.time()
        self._heartbeat_deadline = now + SILENT_HEARTBEATS * interval_s

    def close(self) -> None:
        """Stop waiting for heartbeats."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()

    def announce(self, server: mesh.BackendServer) -> None:
        """Apply an announcement of the server."""
        self.close()
        server = self._with_departure(server)
        known = self._target.server
        if known is None or _state(known) != _state(server):
            logger.info(
                "members: backend server %s announced%s",
                server.instance_id,
                ", leaving" if server.is_leaving else "",
            )
        self._set(server)

    def deregister(self, instance_id: str) -> None:
        """Apply that a process of the server leaves, known or not."""
        server = self._target.server
        if server is not None and server.instance_id == instance_id:
            self.withdraw()
        else:
            now_ms = int(time.time() * _MS_PER_S)
            self._departures.add(instance_id, now_ms)

    def withdraw(self) -> None:
        """Stop sending new calls to the server."""
        server = self._target.server
        if server is not None:
            self.announce(dataclasses.replace(server, is_leaving=True))

    def apply_earlier_record(self, previous: members_lib.Member) -> None:
        """Apply what an earlier process of this node knew of the server."""
        server = self._target.server
        if server is None:
            self._restore(previous)
        elif previous.has_left and previous.process == server.process:
            # The heartbeat that announced it here was late.
            self.withdraw()

    def _restore(self, previous: members_lib.Member) -> None:
        """Restore the server known before this process started.

        Its next heartbeat replaces the restored values; without one it is
        dropped soon, as it may have ended or left unheard. If another backend
        server has replaced it, that one refuses the calls without running
        them, as they name the old instance.
        """
        if not previous.instance_id or not previous.service:
            return
        server = self._with_departure(
            mesh.BackendServer(
                previous.instance_id,
                previous.service,
                previous.version,
                self._address,
                previous.slots,
                previous.has_left,
                previous.started_ms,
            )
        )
        if not server.is_leaving:
            if self._loop.time() >= self._heartbeat_deadline:
                logger.info(
                    "members: backend server %s not restored; no heartbeat",
                    server.instance_id,
                )
                self._on_change()
                return
            self._silence_timer = self._loop.call_at(
                self._heartbeat_deadline, self._drop
            )
        logger.info(
            "members: backend server %s restored from an earlier record%s",
            server.instance_id,
            ", leaving" if server.is_leaving else "",
        )
        self._set(server)

    def _drop(self) -> None:
        logger.warning("members: restored backend server sent no heartbeat")
        self._set(None)

    def _set(self, server: mesh.BackendServer | None) -> None:
        self._target.set_server(server)
        if self._members.set_server(self._target.server):
            self._on_change()

    def _with_departure(self, server: mesh.BackendServer) -> mesh.BackendServer:
        """Return the server, leaving if its process was deregistered."""
        if not self._departures.has_left(server):
            return server
        return dataclasses.replace(server, is_leaving=True)


def _state(server: mesh.BackendServer) -> tuple[tuple[str, int], bool]:
    """Return what other nodes need to know about a backend server."""
    return (server.process, server.is_leaving)
