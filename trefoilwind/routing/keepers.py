"""Controller of idempotency keys: claims, records, handover.

A claim is granted when, in every view in effect, a majority of the key's
keepers recorded it and no answer received so far conflicts with it. Two grants
would need two majorities of one set, and these share a keeper.
"""

from collections.abc import Iterable
import dataclasses
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind.distribution import ports
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.routing import key_messages
from trefoilwind.routing import key_placement
from trefoilwind.routing import key_store

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 0.3
HELD_MARGIN_S = 2.0
UNENDED_CLAIM_TIMEOUT_S = 30.0
RESEND_INTERVAL_S = 0.5
RESEND_LIMIT_S = 30.0
VIEW_INTERVAL_S = 0.5
MAX_TRANSFER_ENTRIES = 64
MAX_UNACKNOWLEDGED = 10_000
MAX_OPEN_CLAIMS = 10_000

_Status = key_messages.KeyStatus


@dataclasses.dataclass
class _Claim:
    """Claim made for a call of this node.

    Attributes:
        start: Request of the call thread.
        keeper_sets: Keepers of the key in each view in effect.
        granted_by: Node ids and incarnations of keepers that recorded the
            claim.
        round_deadline: Monotonic time in seconds at which the claim is
            abandoned unless it was granted.
        is_granted: True once the call may run.
    """

    start: key_messages.StartClaim
    keeper_sets: tuple[tuple[key_placement.Keeper, ...], ...]
    granted_by: set[tuple[str, int]]
    round_deadline: float
    is_granted: bool = False

    @property
    def recipients(self) -> tuple[key_placement.Keeper, ...]:
        """All keepers the claim was sent to, each incarnation once."""
        return _known_keepers(self.keeper_sets)

    @property
    def has_majorities(self) -> bool:
        """True if a majority of each keeper set recorded the claim."""
        return all(
            _has_majority(group, self.granted_by) for group in self.keeper_sets
        )


@dataclasses.dataclass(frozen=True)
class _Delivery:
    """Message that is resent until it is acknowledged."""

    envelope: ports.Envelope
    next_send_at: float
    abandon_at: float


class KeeperController:
    """Claims keys for this node's calls and stores keys for other nodes."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._clock = environment.clock
        self._lifetime_s = environment.settings.proxy.key_lifetime_s
        self._store = key_store.KeyStore()
        self._placement = key_placement.Placement(self._lifetime_s)
        self._claims: dict[str, _Claim] = {}
        self._deliveries: dict[int, _Delivery] = {}
        self._next_delivery_id = environment.incarnation
        self._next_view_at = 0.0
        # Configured data centres that the placement takes into account.
        self._data_centres: tuple[configuration_lib.DataCentre, ...] = ()
        self._ready_at = self._clock.monotonic() + key_placement.HANDOVER_S
        self._handlers = {
            key_messages.StartClaim: self._start_claim,
            key_messages.EndClaim: self._end_claim,
            key_messages.KeyClaim: self._handle_claim,
            key_messages.KeyVerdict: self._handle_verdict,
            key_messages.KeySettle: self._handle_settle,
            key_messages.KeyTransfer: self._handle_transfer,
            key_messages.KeyAck: self._handle_ack,
        }

    @property
    def handles(self) -> tuple[type, ...]:
        """Message classes that this controller handles."""
        return tuple(self._handlers)

    @property
    def store(self) -> key_store.KeyStore:
        """Records that this node stores as a keeper."""
        return self._store

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """Handle a message from a peer or from a call thread of this node."""
        handler = self._handlers[type(message)]
        return self._loop_back(handler(peer, message))

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Resend the messages that the peer has not acknowledged."""
        return [
            delivery.envelope
            for delivery in self._deliveries.values()
            if delivery.envelope.peer == peer
        ]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Do nothing: a lost stream does not prove a lost node."""
        return []

    def tick(self) -> list[ports.Envelope]:
        """Expire records and claims, hand records over, resend messages."""
        now = self._clock.monotonic()
        self._store.expire(now)
        envelopes = self._end_overdue_claims(now)
        if now >= self._next_view_at:
            self._next_view_at = now + VIEW_INTERVAL_S
            envelopes += self._update_placement(now)
        envelopes += self._resend_due(now)
        return self._loop_back(envelopes)

    def _loop_back(
        self, envelopes: Iterable[ports.Envelope]
    ) -> list[ports.Envelope]:
        """Handle the messages addressed to this node; return the others."""
        remote: list[ports.Envelope] = []
        pending = list(envelopes)
        own = self._environment.node_id
        while pending:
            envelope = pending.pop(0)
            if envelope.peer == own:
                handler = self._handlers[type(envelope.message)]
                pending.extend(handler(own, envelope.message))
            else:
                remote.append(envelope)
        return remote

    def _start_claim(
        self, _: str, start: key_messages.StartClaim
    ) -> list[ports.Envelope]:
        now = self._clock.monotonic()
        envelopes = []
        if self._data_centres != self._configured_data_centres():
            # The calls of a configuration start before the next tick.
            envelopes += self._update_placement(now)
        sets = self._placement.keeper_sets(start.key, now)
        if not sets[0] or len(self._claims) >= MAX_OPEN_CLAIMS:
            start.decide(key_messages.Decision(_Status.REFUSED))
            return envelopes
        claim = _Claim(start, sets, set(), now + CLAIM_TIMEOUT_S)
        self._claims[start.token] = claim
        held_s = max(0.0, start.deadline - now) + HELD_MARGIN_S
        lifetime_s = max(self._lifetime_s, held_s)
        for keeper in claim.recipients:
            message = key_messages.KeyClaim(
                start.key,
                start.digest,
                start.token,
                keeper.incarnation,
                held_s,
                lifetime_s,
            )
            envelopes.append(ports.Envelope(keeper.node_id, message))
        return envelopes

    def _handle_claim(
        self, peer: str, message: key_messages.KeyClaim
    ) -> list[ports.Envelope]:
        decision = self._decide_claim(message)
        verdict = key_messages.KeyVerdict(
            message.token,
            self._environment.incarnation,
            decision.status,
            decision.answer,
        )
        return [ports.Envelope(peer, verdict)]

    def _decide_claim(
        self, message: key_messages.KeyClaim
    ) -> key_messages.Decision:
        now = self._clock.monotonic()
        if (
            now < self._ready_at
            or message.incarnation != self._environment.incarnation
            or not self._is_keeper(message.key, now)
        ):
            return key_messages.Decision(_Status.REFUSED)
        return self._store.claim(message, now)

    def _is_keeper(self, key: str, now: float) -> bool:
        sets = self._placement.keeper_sets(key, now)
        own = (self._environment.node_id, self._environment.incarnation)
        return any(
            (k.node_id, k.incarnation) == own for group in sets for k in group
        )

    def _handle_verdict(
        self, peer: str, verdict: key_messages.KeyVerdict
    ) -> list[ports.Envelope]:
        claim = self._claims.get(verdict.token)
        if claim is None or claim.is_granted:
            return []
        if verdict.status is _Status.REFUSED:
            return []
        if verdict.status is not _Status.NEW:
            decision = key_messages.Decision(verdict.status, verdict.answer)
            return self._abandon(claim, decision)
        claim.granted_by.add((peer, verdict.incarnation))
        if claim.has_majorities:
            claim.is_granted = True
            claim.start.decide(key_messages.Decision(_Status.NEW))
        return []

    def _abandon(
        self, claim: _Claim, decision: key_messages.Decision
    ) -> list[ports.Envelope]:
        claim.start.decide(decision)
        return self._settle(claim, _Status.RELEASED, None)

    def _end_claim(
        self, _: str, end: key_messages.EndClaim
    ) -> list[ports.Envelope]:
        claim = self._claims.get(end.token)
        if claim is None:
            return []
        return self._settle(claim, end.status, end.answer)

    def _settle(
        self,
        claim: _Claim,
        status: key_messages.KeyStatus,
        answer: key_messages.RecordedAnswer | None,
    ) -> list[ports.Envelope]:
        del self._claims[claim.start.token]
        now = self._clock.monotonic()
        sets = self._placement.keeper_sets(claim.start.key, now)
        current = _known_keepers(sets)
        targets = {k.node_id: None for k in (*claim.recipients, *current)}
        envelopes = []
        for node_id in targets:
            message = key_messages.KeySettle(
                self._new_delivery_id(),
                claim.start.key,
                claim.start.digest,
                claim.start.token,
                status,
                self._lifetime_s,
                answer,
            )
            envelopes.append(self._deliver(node_id, message))
        return envelopes

    def _handle_settle(
        self, peer: str, message: key_messages.KeySettle
    ) -> list[ports.Envelope]:
        self._store.settle(message, self._clock.monotonic())
        ack = key_messages.KeyAck(message.delivery_id)
        return [ports.Envelope(peer, ack)]

    def _handle_transfer(
        self, peer: str, message: key_messages.KeyTransfer
    ) -> list[ports.Envelope]:
        now = self._clock.monotonic()
        for entry in message.entries:
            self._store.merge(entry, now)
        ack = key_messages.KeyAck(message.delivery_id)
        return [ports.Envelope(peer, ack)]

    def _handle_ack(
        self, _: str, message: key_messages.KeyAck
    ) -> list[ports.Envelope]:
        self._deliveries.pop(message.delivery_id, None)
        return []

    def _end_overdue_claims(self, now: float) -> list[ports.Envelope]:
        """End claims without a majority in time and claims never ended."""
        open_claims = list(self._claims.values())
        refused = key_messages.Decision(_Status.REFUSED)
        envelopes: list[ports.Envelope] = []
        for claim in open_claims:
            if not claim.is_granted and claim.round_deadline <= now:
                envelopes += self._abandon(claim, refused)
            elif claim.start.deadline + UNENDED_CLAIM_TIMEOUT_S <= now:
                envelopes += self._settle(claim, _Status.UNKNOWN, None)
        return envelopes

    def _configured_data_centres(
        self,
    ) -> tuple[configuration_lib.DataCentre, ...]:
        state = self._environment.blackboard.state.value
        return state.configuration.data_centres

    def _update_placement(self, now: float) -> list[ports.Envelope]:
        members = self._environment.blackboard.members.value
        self._data_centres = self._configured_data_centres()
        names = frozenset(each.name for each in self._data_centres)
        earlier = self._placement.update(members, now, names)
        if earlier is None or not len(self._store):
            return []
        return self._hand_over(earlier, now)

    def _hand_over(
        self, earlier: key_placement.View, now: float
    ) -> list[ports.Envelope]:
        """Send records to the nodes that became keepers of the keys."""
        current = self._placement.view
        batches: dict[str, list[key_messages.LeasedKey]] = {}
        for key, entry in self._store.entries(now):
            partition = key_placement.partition_of(key)
            before = earlier.keepers(partition)
            for keeper in current.keepers(partition):
                is_known = keeper != key_placement.UNKNOWN
                if is_known and keeper not in before:
                    batches.setdefault(keeper.node_id, []).append(entry)
        return [
            self._deliver(
                node_id,
                key_messages.KeyTransfer(
                    self._new_delivery_id(),
                    tuple(entries[start : start + MAX_TRANSFER_ENTRIES]),
                ),
            )
            for node_id, entries in batches.items()
            for start in range(0, len(entries), MAX_TRANSFER_ENTRIES)
        ]

    def _new_delivery_id(self) -> int:
        self._next_delivery_id += 1
        return self._next_delivery_id

    def _deliver(self, node_id: str, message: Any) -> ports.Envelope:
        now = self._clock.monotonic()
        envelope = ports.Envelope(node_id, message)
        if len(self._deliveries) < MAX_UNACKNOWLEDGED:
            self._deliveries[message.delivery_id] = _Delivery(
                envelope, now + RESEND_INTERVAL_S, now + RESEND_LIMIT_S
            )
        return envelope

    def _resend_due(self, now: float) -> list[ports.Envelope]:
        due = [
            (delivery_id, delivery)
            for delivery_id, delivery in self._deliveries.items()
            if delivery.next_send_at <= now
        ]
        for delivery_id, delivery in due:
            if delivery.abandon_at <= now:
                del self._deliveries[delivery_id]
            else:
                self._deliveries[delivery_id] = dataclasses.replace(
                    delivery, next_send_at=now + RESEND_INTERVAL_S
                )
        return [
            delivery.envelope
            for _, delivery in due
            if delivery.abandon_at > now
        ]


def _known_keepers(
    keeper_sets: Iterable[tuple[key_placement.Keeper, ...]],
) -> tuple[key_placement.Keeper, ...]:
    """Return the keepers of all sets that can be reached, each one once."""
    keepers = (keeper for group in keeper_sets for keeper in group)
    return tuple(
        keeper
        for keeper in dict.fromkeys(keepers)
        if keeper != key_placement.UNKNOWN
    )


def _has_majority(
    group: tuple[key_placement.Keeper, ...],
    granted_by: set[tuple[str, int]],
) -> bool:
    count = sum((k.node_id, k.incarnation) in granted_by for k in group)
    return count > len(group) // 2
