"""Controller of the membership: own entry, leases, spreading."""

import dataclasses
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import ports
from trefoilwind.membership import directory
from trefoilwind.membership import messages
from trefoilwind.model import members

logger = logging.getLogger(__name__)

FANOUT = 3


@dataclasses.dataclass(frozen=True)
class _Lease:
    """An entry and the monotonic time at which its lease ends."""

    member: members.Member
    deadline: float


class MembershipController:
    """Owns this node's entry and keeps the entries of all others."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._settings = environment.settings.membership
        self._publish = environment.blackboard.members.claim("membership")
        self._leases: dict[str, _Lease] = {}
        self._connected: set[str] = set()
        self._next_refresh = 0.0
        self._own = members.Member(
            node_id=environment.node_id,
            incarnation=environment.incarnation,
            sequence=0,
            data_centre=environment.settings.data_centre,
            peer_address=environment.peer_address,
        )
        self._keep(self._own, self._settings.lease_s)
        self._publish_snapshot()

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""
        return (messages.MemberUpdate,)

    def announce(
        self,
        service: str,
        version: str,
        slots: int,
        labels: tuple[members.Label, ...] = (),
    ) -> list[ports.Envelope]:
        """Set the backend server in the own entry; spread a change."""
        changed = dataclasses.replace(
            self._own,
            service=service,
            version=version,
            slots=slots,
            labels=labels,
            leaving=False,
        )
        if changed == self._own:
            return []
        return self._change_own(changed)

    def leave(self) -> list[ports.Envelope]:
        """Mark the own entry as leaving and push that to all peers."""
        if self._own.leaving:
            return []
        return self._change_own(dataclasses.replace(self._own, leaving=True))

    def handle(
        self, peer: str, message: messages.MemberUpdate
    ) -> list[ports.Envelope]:
        """Take entries of a peer and pass on those that are new."""
        fresh = tuple(e for e in message.entries if self._take(e))
        if not fresh:
            return []
        self._publish_snapshot()
        update = messages.MemberUpdate(fresh)
        return self._to_some(update, exclude=peer)

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Send all entries to a new peer."""
        self._connected.add(peer)
        entries = tuple(self._leased(x) for x in self._leases.values())
        return [ports.Envelope(peer, messages.MemberUpdate(entries))]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Forget a stream; the entry stays until its lease ends."""
        self._connected.discard(peer)
        return []

    def tick(self) -> list[ports.Envelope]:
        """Drop expired entries and refresh the own lease."""
        now = self._environment.clock.monotonic()
        self._expire(now)
        if now < self._next_refresh:
            return []
        return self._change_own(self._own)

    def _change_own(self, member: members.Member) -> list[ports.Envelope]:
        self._own = dataclasses.replace(member, sequence=self._own.sequence + 1)
        self._keep(self._own, self._settings.lease_s)
        now = self._environment.clock.monotonic()
        refresh_s = self._settings.lease_s * self._settings.refresh_ratio
        self._next_refresh = now + refresh_s
        self._publish_snapshot()
        update = messages.MemberUpdate(
            (self._leased(self._leases[self._own.node_id]),)
        )
        return [ports.Envelope(p, update) for p in sorted(self._connected)]

    def _take(self, leased: messages.LeasedMember) -> bool:
        member = leased.member
        if member.node_id == self._own.node_id or leased.remaining_s <= 0:
            return False
        known = self._leases.get(member.node_id)
        if known and known.member.precedence >= member.precedence:
            return False
        remaining_s = min(leased.remaining_s, self._settings.lease_s)
        self._keep(member, remaining_s)
        self._report(known.member if known else None, member)
        return True

    def _report(self, known: members.Member | None, member: members.Member):
        emit = self._environment.events.emit
        if member.leaving and not (known and known.leaving):
            emit(events.MEMBER_LEAVING, subject=member.node_id)
        elif known is None or known.version != member.version:
            detail = f"{member.service} {member.version}".strip()
            emit(events.MEMBER_JOINED, subject=member.node_id, detail=detail)

    def _keep(self, member: members.Member, remaining_s: float) -> None:
        deadline = self._environment.clock.monotonic() + remaining_s
        self._leases[member.node_id] = _Lease(member, deadline)

    def _leased(self, lease: _Lease) -> messages.LeasedMember:
        remaining_s = lease.deadline - self._environment.clock.monotonic()
        return messages.LeasedMember(lease.member, remaining_s)

    def _expire(self, now: float) -> None:
        expired = [
            node_id
            for node_id, lease in self._leases.items()
            if lease.deadline <= now and node_id != self._own.node_id
        ]
        for node_id in expired:
            del self._leases[node_id]
            self._environment.events.emit(
                events.MEMBER_EXPIRED, subject=node_id
            )
        if expired:
            self._publish_snapshot()

    def _publish_snapshot(self) -> None:
        entries = (lease.member for lease in self._leases.values())
        self._publish(directory.snapshot(entries))

    def _to_some(self, message: Any, exclude: str) -> list[ports.Envelope]:
        peers = sorted(self._connected - {exclude})
        chosen = self._environment.random.sample(peers, min(FANOUT, len(peers)))
        return [ports.Envelope(peer, message) for peer in chosen]
