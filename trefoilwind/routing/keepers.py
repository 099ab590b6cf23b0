"""Controller of idempotency keys: claims, records, handover.

A claim is granted when, in every view that counts, a majority of the key's
keepers recorded it and no answer so far stands against it. Two grants would
need two majorities of one set, which share a keeper.
"""

from collections.abc import Iterable
import dataclasses
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind.distribution import ports
from trefoilwind.routing import key_messages
from trefoilwind.routing import key_placement
from trefoilwind.routing import key_store

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 0.3
HELD_MARGIN_S = 2.0
ABANDONED_S = 30.0
RESEND_S = 0.5
RESEND_LIMIT_S = 30.0
VIEW_INTERVAL_S = 0.5
TRANSFER_ENTRIES = 64
MAX_UNACKNOWLEDGED = 10_000
MAX_OPEN_CLAIMS = 10_000

_Status = key_messages.KeyStatus


@dataclasses.dataclass
class _Claim:
    """A claim of a call of this node.

    Attributes:
        start: What the call thread asked for.
        sets: Keepers in each view that counts.
        granted_by: Node ids and incarnations that recorded the claim.
        round_deadline: Monotonic time in seconds at which it is given up.
        is_granted: True once the call may run.
    """

    start: key_messages.StartClaim
    sets: tuple[tuple[key_placement.Keeper, ...], ...]
    granted_by: set[tuple[str, int]]
    round_deadline: float
    is_granted: bool = False

    @property
    def asked(self) -> tuple[key_placement.Keeper, ...]:
        """All keepers that were asked, each life once."""
        keepers = (keeper for group in self.sets for keeper in group)
        return tuple(dict.fromkeys(keepers))

    @property
    def has_majorities(self) -> bool:
        """True if a majority of each set recorded the claim."""
        return all(_has_majority(group, self.granted_by) for group in self.sets)


@dataclasses.dataclass(frozen=True)
class _Delivery:
    """A message to send again until it is acknowledged."""

    envelope: ports.Envelope
    next_send: float
    give_up_at: float


class KeeperController:
    """Claims keys for this node's calls and keeps keys for others."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._clock = environment.clock
        self._lifetime_s = environment.settings.proxy.key_lifetime_s
        self._store = key_store.KeyStore()
        self._placement = key_placement.Placement(self._lifetime_s)
        self._claims: dict[str, _Claim] = {}
        self._deliveries: dict[int, _Delivery] = {}
        self._next_delivery_id = environment.incarnation
        self._next_view = 0.0
        self._ready_at = self._clock.monotonic() + key_placement.SETTLE_S
        self._reactions = {
            key_messages.StartClaim: self._start_claim,
            key_messages.EndClaim: self._end_claim,
            key_messages.KeyClaim: self._take_claim,
            key_messages.KeyVerdict: self._take_verdict,
            key_messages.KeySettle: self._take_settle,
            key_messages.KeyTransfer: self._take_transfer,
            key_messages.KeyAck: self._take_ack,
        }

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""
        return tuple(self._reactions)

    @property
    def store(self) -> key_store.KeyStore:
        """Records that this node keeps."""
        return self._store

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """React to a message of a peer or of a call thread of this node."""
        reaction = self._reactions[type(message)]
        return self._loop_back(reaction(peer, message))

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Send what the peer has not acknowledged."""
        return [
            delivery.envelope
            for delivery in self._deliveries.values()
            if delivery.envelope.peer == peer
        ]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Do nothing: a lost stream does not prove a lost node."""
        return []

    def tick(self) -> list[ports.Envelope]:
        """Expire records, end late claims, hand over, send again."""
        now = self._clock.monotonic()
        self._store.expire(now)
        envelopes = self._end_late_claims(now)
        if now >= self._next_view:
            self._next_view = now + VIEW_INTERVAL_S
            envelopes += self._follow_members(now)
        envelopes += self._send_again(now)
        return self._loop_back(envelopes)

    def _loop_back(
        self, envelopes: Iterable[ports.Envelope]
    ) -> list[ports.Envelope]:
        """Handle the messages to this node itself; return the others."""
        remote: list[ports.Envelope] = []
        pending = list(envelopes)
        own = self._environment.node_id
        while pending:
            envelope = pending.pop(0)
            if envelope.peer == own:
                reaction = self._reactions[type(envelope.message)]
                pending.extend(reaction(own, envelope.message))
            else:
                remote.append(envelope)
        return remote

    def _start_claim(
        self, _: str, start: key_messages.StartClaim
    ) -> list[ports.Envelope]:
        now = self._clock.monotonic()
        sets = self._placement.keeper_sets(start.key, now)
        if not sets[0] or len(self._claims) >= MAX_OPEN_CLAIMS:
            start.decide(key_messages.Decision(_Status.REFUSED))
            return []
        claim = _Claim(start, sets, set(), now + CLAIM_TIMEOUT_S)
        self._claims[start.token] = claim
        held_s = max(0.0, start.deadline - now) + HELD_MARGIN_S
        lifetime_s = max(self._lifetime_s, held_s)
        envelopes = []
        for keeper in claim.asked:
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

    def _take_claim(
        self, peer: str, message: key_messages.KeyClaim
    ) -> list[ports.Envelope]:
        decision = self._judge_claim(message)
        verdict = key_messages.KeyVerdict(
            message.token,
            self._environment.incarnation,
            decision.status,
            decision.answer,
        )
        return [ports.Envelope(peer, verdict)]

    def _judge_claim(
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

    def _take_verdict(
        self, peer: str, verdict: key_messages.KeyVerdict
    ) -> list[ports.Envelope]:
        claim = self._claims.get(verdict.token)
        if claim is None or claim.is_granted:
            return []
        if verdict.status is _Status.REFUSED:
            return []
        if verdict.status is not _Status.NEW:
            decision = key_messages.Decision(verdict.status, verdict.answer)
            return self._give_up(claim, decision)
        claim.granted_by.add((peer, verdict.incarnation))
        if claim.has_majorities:
            claim.is_granted = True
            claim.start.decide(key_messages.Decision(_Status.NEW))
        return []

    def _give_up(
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
        present = (keeper for group in sets for keeper in group)
        targets = {k.node_id: None for k in (*claim.asked, *present)}
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

    def _take_settle(
        self, peer: str, message: key_messages.KeySettle
    ) -> list[ports.Envelope]:
        self._store.settle(message, self._clock.monotonic())
        ack = key_messages.KeyAck(message.delivery_id)
        return [ports.Envelope(peer, ack)]

    def _take_transfer(
        self, peer: str, message: key_messages.KeyTransfer
    ) -> list[ports.Envelope]:
        now = self._clock.monotonic()
        for entry in message.entries:
            self._store.merge(entry, now)
        ack = key_messages.KeyAck(message.delivery_id)
        return [ports.Envelope(peer, ack)]

    def _take_ack(
        self, _: str, message: key_messages.KeyAck
    ) -> list[ports.Envelope]:
        self._deliveries.pop(message.delivery_id, None)
        return []

    def _end_late_claims(self, now: float) -> list[ports.Envelope]:
        """Give up claims without a majority and those that nobody ended."""
        open_claims = list(self._claims.values())
        refused = key_messages.Decision(_Status.REFUSED)
        envelopes: list[ports.Envelope] = []
        for claim in open_claims:
            if not claim.is_granted and claim.round_deadline <= now:
                envelopes += self._give_up(claim, refused)
            elif claim.start.deadline + ABANDONED_S <= now:
                envelopes += self._settle(claim, _Status.UNKNOWN, None)
        return envelopes

    def _follow_members(self, now: float) -> list[ports.Envelope]:
        members = self._environment.blackboard.members.value
        earlier = self._placement.update(members, now)
        if earlier is None or not len(self._store):
            return []
        return self._hand_over(earlier, now)

    def _hand_over(
        self, earlier: key_placement.View, now: float
    ) -> list[ports.Envelope]:
        """Send records to the nodes that became keepers of their keys."""
        present = self._placement.view
        batches: dict[str, list[key_messages.LeasedKey]] = {}
        for key, entry in self._store.entries(now):
            partition = key_placement.partition_of(key)
            before = earlier.keepers(partition)
            for keeper in present.keepers(partition):
                if keeper not in before:
                    batches.setdefault(keeper.node_id, []).append(entry)
        return [
            self._deliver(
                node_id,
                key_messages.KeyTransfer(
                    self._new_delivery_id(),
                    tuple(entries[start : start + TRANSFER_ENTRIES]),
                ),
            )
            for node_id, entries in batches.items()
            for start in range(0, len(entries), TRANSFER_ENTRIES)
        ]

    def _new_delivery_id(self) -> int:
        self._next_delivery_id += 1
        return self._next_delivery_id

    def _deliver(self, node_id: str, message: Any) -> ports.Envelope:
        now = self._clock.monotonic()
        envelope = ports.Envelope(node_id, message)
        if len(self._deliveries) < MAX_UNACKNOWLEDGED:
            self._deliveries[message.delivery_id] = _Delivery(
                envelope, now + RESEND_S, now + RESEND_LIMIT_S
            )
        return envelope

    def _send_again(self, now: float) -> list[ports.Envelope]:
        due = [
            (delivery_id, delivery)
            for delivery_id, delivery in self._deliveries.items()
            if delivery.next_send <= now
        ]
        for delivery_id, delivery in due:
            if delivery.give_up_at <= now:
                del self._deliveries[delivery_id]
            else:
                self._deliveries[delivery_id] = dataclasses.replace(
                    delivery, next_send=now + RESEND_S
                )
        return [
            delivery.envelope
            for _, delivery in due
            if delivery.give_up_at > now
        ]


def _has_majority(
    group: tuple[key_placement.Keeper, ...],
    granted_by: set[tuple[str, int]],
) -> bool:
    count = sum((k.node_id, k.incarnation) in granted_by for k in group)
    return count > len(group) // 2
