"""Exchange of proofs that operator records are the newest.

Runs only where withdrawn keys must never be accepted. The usual proof comes
from the node that reads the store for the data centre: each of its reads makes
the others ask it once. If it is silent, a node asks any peer, and at last the
store itself, so that no single node, link or path to the store decides whether
requests with keys run.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import logging
import math
import random

from trefoilwind.customers import freshness_proof
from trefoilwind.gateway import control_messages
from trefoilwind.logs import decisions
from trefoilwind.model import positions

logger = logging.getLogger(__name__)

Message = control_messages.ProofRequest | control_messages.ProofAnswer

# Seconds between the withdrawal bound and the largest age of a proof: for
# clocks of different rates.
AGE_MARGIN_S = 0.3
# Age of the proof in seconds from which peers of the data centre are asked; a
# proof of the reader is renewed before.
ASK_AGE_S = 1.5
# Age from which nodes of all data centres are asked.
ASK_ALL_AGE_S = 2.0
# Age from which the store is read for a proof. Below it, a storm of
# configurations delays proofs while all is well, and reads then return the
# documents once more: from 1.5 s on, they filled the link between the regions.
# A random delay spreads the reads of many nodes.
READ_AGE_S = 2.8
READ_SPREAD_S = 0.8
# Smallest age in seconds that makes an announced read worth a question.
_RENEWAL_AGE_S = 0.3
# Seconds between two reads of the store for a proof; as many again at random.
READ_INTERVAL_S = 1.0
# Seconds from the start for which a node waits for a peer's proof if the store
# was restored: the store may have lost the withdrawal of a key.
RESTORED_HOLD_S = 3.0
# Questions whose answers are awaited.
_MAX_OPEN = 16
_MS_PER_S = 1000


class ProofExchange:
    """Keeps the proof of one node fresh."""

    def __init__(
        self,
        proof: freshness_proof.FreshnessProof,
        held: Callable[[], freshness_proof.Held],
        send: Callable[[str, Message], None],
        read: Callable[[], Awaitable[None]],
        revocation_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ):
        """Initialize the exchange.

        Args:
            proof: Proof of this node.
            held: Returns the operator records of this node.
            send: Sends a message to a node.
            read: Reads the end of the operator's topic from the store and
                notes the proof.
            revocation_s: Maximum seconds from the withdrawal of a key to the
                last request that runs with it.
            clock: Returns the time in seconds, with suspension.
            rng: Source of random numbers.
        """
        self._proof = proof
        self._held = held
        self._send = send
        self._read = read
        self._max_age_s = revocation_s - AGE_MARGIN_S
        self._clock = clock
        self._random = rng
        self._started_at = clock()
        # Times of the questions that are not answered, by token.
        self._asked: dict[int, float] = {}
        self._token = 0
        self._next_read_at = self._started_at
        self._reading: asyncio.Task | None = None
        self._was_confirmed = False

    @property
    def age_s(self) -> float:
        """Age of the proof in seconds; infinity for none."""
        return self._clock() - self._proof.proven_at

    @property
    def is_confirmed(self) -> bool:
        """True if no key in force was withdrawn longer ago than is allowed."""
        if not self.age_s < self._max_age_s:
            return False
        held = self._held()
        return not (self._proof.lacks_version(held) or self._is_held_back(held))

    def _is_held_back(self, held: freshness_proof.Held) -> bool:
        """Return True until a peer's proof, after a restore of the store."""
        is_restored = positions.era(held.offset or 0) > 0
        is_new = self._clock() - self._started_at < RESTORED_HOLD_S
        return is_restored and is_new and not self._proof.has_peer_proof

    def answer(
        self, request: control_messages.ProofRequest
    ) -> control_messages.ProofAnswer | None:
        """Return the answer to a peer, or None without a proof of use to it."""
        held = self._held()
        age_s = self.age_s
        if held.offset is None or not age_s < self._max_age_s:
            return None
        return control_messages.ProofAnswer(
            request.token, age_s, held.offset, held.version
        )

    def handle_answer(self, answer: control_messages.ProofAnswer) -> None:
        """Note the proof of a peer, counted from the time of the question."""
        asked_at = self._asked.pop(answer.token, None)
        if asked_at is None or answer.age_s < 0.0:
            return
        self._proof.note_peer(
            freshness_proof.PeerProof(
                asked_at - answer.age_s,
                freshness_proof.Held(answer.next_offset, answer.version),
            ),
            self._held(),
        )

    def handle_announcement(self, peer: str) -> None:
        """Ask a peer that has just read the store."""
        if self.age_s > _RENEWAL_AGE_S:
            self._ask(peer)

    def tick(self, local_peers: Sequence[str], peers: Sequence[str]) -> None:
        """Ask a peer or the store if the usual way has not worked.

        Args:
            local_peers: Connected nodes of the data centre.
            peers: Connected nodes of all data centres.
        """
        self._report_change()
        age_s = self.age_s
        is_held_back = self._is_held_back(self._held())
        if (age_s > ASK_AGE_S or is_held_back) and local_peers:
            self._ask(self._random.choice(local_peers))
        if (age_s > ASK_ALL_AGE_S or is_held_back) and peers:
            self._ask(self._random.choice(peers))
        if age_s > READ_AGE_S:
            self._read_soon()
        else:
            self._next_read_at = (
                self._clock() + READ_SPREAD_S * self._random.random()
            )

    def _report_change(self) -> None:
        is_confirmed = self.is_confirmed
        if is_confirmed == self._was_confirmed:
            return
        self._was_confirmed = is_confirmed
        held = self._held()
        has_proof = self._proof.proven_at > -math.inf
        decisions.failure(
            logger,
            "keys_confirmed" if is_confirmed else "keys_unconfirmed",
            "customers: keys known to be in force"
            if is_confirmed
            else "customers: keys may be withdrawn; keyed requests refused",
            age_ms=round(self.age_s * _MS_PER_S) if has_proof else None,
            offset=held.offset,
            configuration=held.version,
            is_lost=self._proof.lacks_version(held),
        )

    def close(self) -> None:
        """End the read in flight."""
        if self._reading is not None:
            self._reading.cancel()

    def _ask(self, peer: str) -> None:
        self._token += 1
        self._asked[self._token] = self._clock()
        if len(self._asked) > _MAX_OPEN:
            del self._asked[next(iter(self._asked))]
        self._send(peer, control_messages.ProofRequest(self._token))

    def _read_soon(self) -> None:
        now = self._clock()
        is_reading = self._reading is not None and not self._reading.done()
        if is_reading or now < self._next_read_at:
            return
        self._next_read_at = now + READ_INTERVAL_S * (
            1.0 + self._random.random()
        )
        self._reading = asyncio.ensure_future(self._read())
