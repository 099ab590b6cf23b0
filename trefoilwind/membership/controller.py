"""Membership controller: own member, leases of all members, dissemination."""

import dataclasses
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import links as links_lib
from trefoilwind.distribution import ports
from trefoilwind.membership import directory
from trefoilwind.membership import history as history_lib
from trefoilwind.membership import leases as leases_lib
from trefoilwind.membership import messages
from trefoilwind.model import members

logger = logging.getLogger(__name__)

DIGEST_INTERVAL_S = 2.0
MISMATCH_RECHECK_S = 1.0
OVERDUE_INTERVAL_S = 1.0
# Remaining share of a lease at which a missing renewal is requested.
OVERDUE_RATIO = 0.15
MAX_REQUESTED = 256
SUSPECT_AFTER_S = 3.0
SUSPECT_LEASE_S = 5.0
# A new link triggers a renewal if the last one is at least this old. The
# renewal supersedes a suspicion that the node missed while it had no links.
MIN_RENEWAL_AGE_S = 2.0
_MILLISECONDS_PER_SECOND = 1000


class MembershipController:
    """Announces this node's member and tracks the leases of all others.

    The controller sends changes and renewals over the control links, expires
    leases and repairs differences that digests reveal.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        links: links_lib.LinkController,
    ):
        self._environment = environment
        self._settings = environment.settings.membership
        self._links = links
        self._publish = environment.blackboard.members.claim("membership")
        self._table = leases_lib.LeaseTable()
        self._history = history_lib.DigestHistory(self._table.digest)
        # Peers whose digest was compared since they connected, and the
        # mismatches found since.
        self._compared: set[str] = set()
        self._mismatches: dict[str, history_lib.DigestMismatch] = {}
        self._connected: set[str] = set()
        self._synced_links: frozenset[str] = frozenset()
        self._lost_links: dict[str, float] = {}
        # Node ids of the renewals to forward, with the peer that sent each.
        self._outbox: dict[str, str] = {}
        self._next_refresh = 0.0
        self._next_flush = 0.0
        self._next_digest = 0.0
        self._next_overdue = 0.0
        self._renewal = 0
        self._renewed_at = 0.0
        self._own = members.Member(
            node_id=environment.node_id,
            incarnation=environment.incarnation,
            sequence=0,
            data_centre=environment.settings.data_centre,
            peer_address=environment.peer_address,
            region=environment.settings.region,
        )
        self._store_own()
        self._publish_snapshot()

    @property
    def handles(self) -> tuple[type, ...]:
        """Message classes that this controller handles."""
        return tuple(self._handlers)

    @property
    def _handlers(self) -> dict:
        return {
            messages.MemberUpdate: self._handle_update,
            messages.RenewalUpdate: self._handle_renewals,
            messages.Suspicion: self._handle_suspicion,
            messages.MemberRequest: self._answer_request,
            messages.MemberDigest: self._answer_digest,
            messages.BucketDigest: self._answer_buckets,
        }

    def announce(
        self,
        service: str,
        version: str,
        slots: int,
        labels: tuple[members.Label, ...] = (),
    ) -> list[ports.Envelope]:
        """Set the backend server of the own member; push a change to peers.

        Returns:
            Messages to send; empty if nothing changed.
        """
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
        """Mark the own member as leaving and push it on all links."""
        if self._own.leaving:
            return []
        return self._change_own(dataclasses.replace(self._own, leaving=True))

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """Handle a message from a peer."""
        return self._handlers[type(message)](peer, message)

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Add a peer with a stream; `tick` synchronises its control link."""
        self._connected.add(peer)
        self._lost_links.pop(peer, None)
        return []

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Remove a peer; its member stays until the lease ends.

        A peer that had a control link is suspected unless it reconnects in
        time.
        """
        self._connected.discard(peer)
        self._compared.discard(peer)
        self._mismatches.pop(peer, None)
        if peer in self._synced_links:
            now = self._environment.clock.monotonic()
            self._lost_links[peer] = now + SUSPECT_AFTER_S
        return []

    def tick(self) -> list[ports.Envelope]:
        """Expire and renew leases, compare digests and send due messages."""
        now = self._environment.clock.monotonic()
        self._expire(now)
        envelopes = self._sync_new_links()
        envelopes += self._recheck_mismatches(now)
        envelopes += self._suspect_lost_peers(now)
        if now >= self._next_refresh:
            self._renew_own(now)
        if now >= self._next_flush:
            self._next_flush = now + self._settings.coalesce_s
            envelopes += self._flush(now)
        if now >= self._next_overdue:
            self._next_overdue = now + OVERDUE_INTERVAL_S
            envelopes += self._request_overdue()
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_INTERVAL_S
            envelopes += self._send_digest()
        return envelopes

    def _sync_new_links(self) -> list[ports.Envelope]:
        """Send the own member and a digest on each new link."""
        links = self._links.active
        new_links = sorted(links - self._synced_links)
        self._synced_links = links
        now = self._environment.clock.monotonic()
        if new_links and now >= self._renewed_at + MIN_RENEWAL_AGE_S:
            self._renew_own(now)
        own = leases_lib.leased_member(
            self._table.leases[self._own.node_id], now
        )
        envelopes = []
        for peer in new_links:
            update = messages.MemberUpdate((own,), is_repair=True)
            envelopes.append(ports.Envelope(peer, update))
            digest = messages.MemberDigest(self._table.digest)
            envelopes.append(ports.Envelope(peer, digest))
        return envelopes

    def _change_own(self, member: members.Member) -> list[ports.Envelope]:
        self._own = dataclasses.replace(member, sequence=self._own.sequence + 1)
        self._store_own()
        self._publish_snapshot()
        return self._push((self._own.node_id,), exclude="", urgent=True)

    def _renew_own(self, now: float) -> None:
        self._store_own()
        self._outbox[self._own.node_id] = ""

    def _store_own(self) -> None:
        now = self._environment.clock.monotonic()
        lease_s = self._settings.lease_s
        self._renewal += 1
        self._renewed_at = now
        self._table.put(self._own, self._renewal, now + lease_s)
        # The jitter keeps nodes that started together from renewing in step.
        jitter = self._environment.random.uniform(0.9, 1.0)
        refresh_s = lease_s * self._settings.refresh_ratio
        self._next_refresh = now + refresh_s * jitter

    def _push(
        self, node_ids: tuple[str, ...], exclude: str, urgent: bool = False
    ) -> list[ports.Envelope]:
        """Send members and leases on the tree, or on all links if urgent."""
        now = self._environment.clock.monotonic()
        update = messages.MemberUpdate(
            tuple(
                leases_lib.leased_member(self._table.leases[node_id], now)
                for node_id in node_ids
            )
        )
        links = self._links.active
        peers = sorted(links - {exclude})
        if not urgent:
            peers = self._links.eager(exclude)
        return [ports.Envelope(peer, update) for peer in peers]

    def _handle_update(
        self, peer: str, message: messages.MemberUpdate
    ) -> list[ports.Envelope]:
        changed = []
        envelopes = []
        was_overdue = False
        limit = self._overdue_limit()
        for leased in message.leased_members:
            node_id = leased.member.node_id
            if node_id == self._own.node_id:
                self._refute(leased.member.precedence, leased.renewal)
                continue
            if not self._is_valid(leased):
                continue
            known = self._table.leases.get(node_id)
            if not self._apply(leased):
                envelopes += self._dispute(peer, leased)
                continue
            was_overdue |= known is None or known.deadline < limit
            if known is None or known.member != leased.member:
                changed.append(node_id)
            else:
                self._outbox[node_id] = peer
        if changed:
            self._publish_snapshot()
            envelopes += self._push_changed(changed, peer)
        if message.is_repair and was_overdue:
            envelopes += self._links.request_push(peer)
        return envelopes

    def _push_changed(
        self, changed: list[str], peer: str
    ) -> list[ports.Envelope]:
        leases = self._table.leases
        urgent = any(leases[node_id].member.leaving for node_id in changed)
        return self._push(tuple(changed), peer, urgent)

    def _dispute(
        self, peer: str, leased: messages.LeasedMember
    ) -> list[ports.Envelope]:
        """Answer a renewal that expired here with a suspicion.

        A live node refutes the suspicion with a later renewal.
        """
        member = leased.member
        if not self._table.has_ended(member, leased.renewal):
            return []
        suspicion = messages.Suspicion(
            member.node_id, member.incarnation, leased.renewal
        )
        return [ports.Envelope(peer, suspicion)]

    def _overdue_limit(self) -> float:
        now = self._environment.clock.monotonic()
        return now + OVERDUE_RATIO * self._settings.lease_s

    def _is_valid(self, leased: messages.LeasedMember) -> bool:
        return 0.0 < leased.remaining_s < float("inf")

    def _apply(self, leased: messages.LeasedMember) -> bool:
        member = leased.member
        if not self._table.is_newer(member, leased.renewal):
            return False
        known = self._table.leases.get(member.node_id)
        remaining_s = min(leased.remaining_s, self._settings.lease_s)
        now = self._environment.clock.monotonic()
        self._table.put(member, leased.renewal, now + remaining_s)
        self._report(known.member if known else None, member)
        return True

    def _refute(self, precedence: tuple[int, int], renewal: int) -> None:
        """Supersede a received member with this node's id if it is later."""
        own = self._own
        if precedence <= own.precedence and (
            precedence[0] < own.incarnation or renewal <= self._renewal
        ):
            return
        # An earlier process with this id had a wall clock that was ahead.
        incarnation = max(precedence[0] + 1, own.incarnation)
        self._own = dataclasses.replace(own, incarnation=incarnation)
        self._renewal = max(self._renewal, renewal)
        self._store_own()
        self._publish_snapshot()
        self._outbox[own.node_id] = ""

    def _handle_renewals(
        self, peer: str, message: messages.RenewalUpdate
    ) -> list[ports.Envelope]:
        unknown = []
        now = self._environment.clock.monotonic()
        for received in message.renewals:
            known = self._table.leases.get(received.node_id)
            if received.node_id == self._own.node_id:
                continue
            precedence = (received.incarnation, received.sequence)
            if known is None or precedence > known.member.precedence:
                unknown.append(received.node_id)
            elif (
                precedence == known.member.precedence
                and received.renewal > known.renewal
            ):
                self._apply_renewal(known, received, now)
                self._outbox[received.node_id] = peer
        envelopes = []
        if unknown:
            request = messages.MemberRequest(tuple(unknown[:MAX_REQUESTED]))
            envelopes.append(ports.Envelope(peer, request))
        return envelopes

    def _apply_renewal(
        self, known: leases_lib.Lease, received: messages.Renewal, now: float
    ) -> None:
        remaining_s = min(
            received.remaining_ms / _MILLISECONDS_PER_SECOND,
            self._settings.lease_s,
        )
        self._table.renew(known, received.renewal, now + remaining_s)

    def _handle_suspicion(
        self, peer: str, message: messages.Suspicion
    ) -> list[ports.Envelope]:
        if message.node_id == self._own.node_id:
            if message.incarnation < self._own.incarnation:
                return []
            self._renewal = max(self._renewal, message.renewal)
            self._store_own()
            return self._push((self._own.node_id,), exclude="", urgent=True)
        if not self._shorten_lease(message):
            return []
        return [ports.Envelope(p, message) for p in self._links.eager(peer)]

    def _shorten_lease(self, suspicion: messages.Suspicion) -> bool:
        lease = self._table.leases.get(suspicion.node_id)
        if lease is None:
            return False
        known = (lease.member.incarnation, lease.renewal)
        if known > (suspicion.incarnation, suspicion.renewal):
            return False
        deadline = self._environment.clock.monotonic() + SUSPECT_LEASE_S
        if lease.deadline <= deadline:
            return False
        self._table.renew(lease, lease.renewal, deadline)
        return True

    def _suspect_lost_peers(self, now: float) -> list[ports.Envelope]:
        """Suspect the peers of lost links that did not reconnect in time."""
        envelopes = []
        for peer in [p for p, due in self._lost_links.items() if due <= now]:
            del self._lost_links[peer]
            lease = self._table.leases.get(peer)
            if lease is None:
                continue
            suspicion = messages.Suspicion(
                peer, lease.member.incarnation, lease.renewal
            )
            self._shorten_lease(suspicion)
            envelopes += [
                ports.Envelope(p, suspicion) for p in self._links.eager()
            ]
        return envelopes

    def _flush(self, now: float) -> list[ports.Envelope]:
        """Send the collected renewals on the tree."""
        outbox = self._outbox
        self._outbox = {}
        envelopes = []
        for peer in self._links.eager():
            renewals = tuple(
                leases_lib.renewal_of(self._table.leases[node_id], now)
                for node_id, source in outbox.items()
                if source != peer and node_id in self._table.leases
            )
            if renewals:
                update = messages.RenewalUpdate(renewals)
                envelopes.append(ports.Envelope(peer, update))
        return envelopes

    def _request_overdue(self) -> list[ports.Envelope]:
        """Request members whose leases are about to end from a random peer."""
        links = sorted(self._links.active)
        limit = self._overdue_limit()
        overdue = [
            node_id
            for node_id, lease in self._table.leases.items()
            if lease.deadline < limit
            and node_id != self._own.node_id
            and not lease.member.leaving
        ]
        if not overdue or not links:
            return []
        peer = self._environment.random.choice(links)
        request = messages.MemberRequest(tuple(overdue[:MAX_REQUESTED]))
        return [ports.Envelope(peer, request)]

    def _answer_request(
        self, peer: str, message: messages.MemberRequest
    ) -> list[ports.Envelope]:
        now = self._environment.clock.monotonic()
        leased_members = tuple(
            leases_lib.leased_member(self._table.leases[node_id], now)
            for node_id in message.node_ids
            if node_id in self._table.leases
        )
        if not leased_members:
            return []
        update = messages.MemberUpdate(leased_members, is_repair=True)
        return [ports.Envelope(peer, update)]

    def _send_digest(self) -> list[ports.Envelope]:
        links = sorted(self._links.active)
        if not links:
            return []
        peer = self._environment.random.choice(links)
        digest = messages.MemberDigest(self._table.digest)
        return [ports.Envelope(peer, digest)]

    def _answer_digest(
        self, peer: str, message: messages.MemberDigest
    ) -> list[ports.Envelope]:
        now = self._environment.clock.monotonic()
        if self._history.is_recent(message.value, now):
            self._mismatches.pop(peer, None)
            self._compared.add(peer)
            return []
        if peer in self._compared:
            # The mismatch may be due to an update that is still in flight.
            mismatch = history_lib.DigestMismatch(
                message.value, now + MISMATCH_RECHECK_S
            )
            self._mismatches.setdefault(peer, mismatch)
            return []
        self._compared.add(peer)
        return [self._send_buckets(peer)]

    def _recheck_mismatches(self, now: float) -> list[ports.Envelope]:
        """Send bucket hashes to the peers whose digest still differs."""
        due = [p for p, d in self._mismatches.items() if d.deadline <= now]
        envelopes = []
        for peer in due:
            mismatch = self._mismatches.pop(peer)
            if not self._history.is_recent(mismatch.value, now):
                envelopes.append(self._send_buckets(peer))
        return envelopes

    def _send_buckets(self, peer: str) -> ports.Envelope:
        buckets = messages.BucketDigest(self._table.bucket_hashes, True)
        return ports.Envelope(peer, buckets)

    def _answer_buckets(
        self, peer: str, message: messages.BucketDigest
    ) -> list[ports.Envelope]:
        own = self._table.bucket_hashes
        if len(message.values) != len(own):
            return []
        pairs = zip(own, message.values, strict=True)
        differing = {i for i, (a, b) in enumerate(pairs) if a != b}
        if not differing:
            return []
        now = self._environment.clock.monotonic()
        leased_members = tuple(
            leases_lib.leased_member(lease, now)
            for lease in self._table.in_buckets(differing)
        )
        envelopes = []
        if leased_members:
            update = messages.MemberUpdate(leased_members, is_repair=True)
            envelopes.append(ports.Envelope(peer, update))
        if message.wants_answer:
            digest = messages.BucketDigest(own, False)
            envelopes.append(ports.Envelope(peer, digest))
        return envelopes

    def _report(self, known: members.Member | None, member: members.Member):
        emit = self._environment.events.emit
        if member.leaving and not (known and known.leaving):
            emit(events.MEMBER_LEAVING, subject=member.node_id)
        elif known is None or known.version != member.version:
            detail = f"{member.service} {member.version}".strip()
            emit(events.MEMBER_JOINED, subject=member.node_id, detail=detail)

    def _expire(self, now: float) -> None:
        expired = self._table.expire(now, self._own.node_id)
        for node_id in expired:
            self._environment.events.emit(
                events.MEMBER_EXPIRED, subject=node_id
            )
        if expired:
            self._publish_snapshot()

    def _publish_snapshot(self) -> None:
        now = self._environment.clock.monotonic()
        self._history.update(self._table.digest, now)
        live_members = (lease.member for lease in self._table.leases.values())
        self._publish(directory.snapshot(live_members))
