"""Controller that folds records and spreads them to peers."""

import collections
import logging
from typing import Any

from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.distribution import messages
from trefoilwind.distribution import ports
from trefoilwind.log import fold
from trefoilwind.log import port
from trefoilwind.model import moves
from trefoilwind.model import state as state_lib

logger = logging.getLogger(__name__)

_STEP = "distribution.spread"
DIGEST_INTERVAL_S = 1.0
RECENT_ENTRIES_KEPT = 2048
FANOUT = 3


class Spreader:
    """Folds records in offset order, whatever order they arrive in."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._board = environment.blackboard
        self._publish = self._board.state.claim("spreader")
        self._recent: collections.deque[port.Entry] = collections.deque(
            maxlen=RECENT_ENTRIES_KEPT
        )
        self._recent_from = 0
        self._connected: set[str] = set()
        self._next_digest = 0.0

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""
        return (
            messages.RecordBatch,
            messages.Digest,
            messages.StateTransfer,
        )

    @property
    def state(self) -> state_lib.State:
        """State folded so far."""
        return self._board.state.value

    def take_page(self, from_offset: int, page: port.Page):
        """Fold a page read from the log; return messages for peers."""
        batch = messages.RecordBatch(
            from_offset, page.entries, page.next_offset
        )
        return self._take_batch(batch, sender="")

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """React to a message of a peer."""
        if isinstance(message, messages.RecordBatch):
            return self._take_batch(message, peer)
        if isinstance(message, messages.StateTransfer):
            return self._take_state(peer, message)
        return self._answer_digest(peer, message)

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Ask a new peer for what is missing here."""
        self._connected.add(peer)
        return [ports.Envelope(peer, self._digest(wants_answer=True))]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Forget a peer."""
        self._connected.discard(peer)
        return []

    def tick(self) -> list[ports.Envelope]:
        """Send a digest to one peer at a time, in turns chosen at random."""
        now = self._environment.clock.monotonic()
        if now < self._next_digest or not self._connected:
            return []
        self._next_digest = now + DIGEST_INTERVAL_S
        peer = self._environment.random.choice(sorted(self._connected))
        return [ports.Envelope(peer, self._digest(wants_answer=True))]

    def _digest(self, wants_answer: bool) -> messages.Digest:
        return messages.Digest(self.state.next_offset, wants_answer)

    def _take_batch(
        self, batch: messages.RecordBatch, sender: str
    ) -> list[ports.Envelope]:
        state = self.state
        if batch.from_offset > state.next_offset:
            if not sender:
                return []
            return [ports.Envelope(sender, self._digest(wants_answer=False))]
        fresh = tuple(e for e in batch.entries if e.offset >= state.next_offset)
        if not fresh:
            return []
        for entry in fresh:
            state = self._fold_entry(state, entry)
        self._publish(state)
        relayed = messages.RecordBatch(
            batch.from_offset, batch.entries, batch.next_offset
        )
        return [
            ports.Envelope(peer, relayed)
            for peer in self._choose_receivers(sender)
        ]

    def _choose_receivers(self, sender: str) -> list[str]:
        peers = sorted(self._connected - {sender})
        count = min(FANOUT, len(peers))
        return self._environment.random.sample(peers, count)

    def _fold_entry(
        self, state: state_lib.State, entry: port.Entry
    ) -> state_lib.State:
        folded = fold.fold(state, entry.offset, entry.payload)
        self._recent.append(entry)
        self._recent_from = self._recent[0].offset
        self._environment.record_results.note(
            entry.payload, entry.offset, folded
        )
        self._report(folded, entry.offset)
        return folded.state

    def _report(self, folded: fold.Folded, offset: int) -> None:
        emit = self._environment.events.emit
        if folded.error is not None:
            emit(
                events.RECORD_REJECTED,
                subject=str(offset),
                peer=folded.error.peer,
                detail=str(folded.error),
            )
            return
        if folded.state.version == offset:
            emit(events.CONFIGURATION_APPLIED, subject=str(offset))
        elif isinstance(folded.body, moves.Outcome):
            self._report_outcome(folded.body)
        elif folded.state.moves and folded.state.moves[-1].is_open:
            emit(
                events.MOVE_STARTED,
                subject=folded.state.moves[-1].move.move_id,
            )

    def _report_outcome(self, outcome: moves.Outcome) -> None:
        is_done = outcome.result is moves.Result.DONE
        kind = events.MOVE_DONE if is_done else events.MOVE_UNDONE
        detail = f"{outcome.reason} {outcome.step} {outcome.peer}".strip()
        self._environment.events.emit(
            kind, subject=outcome.move_id, detail=detail
        )

    def _answer_digest(
        self, peer: str, digest: messages.Digest
    ) -> list[ports.Envelope]:
        envelopes = []
        if digest.next_offset < self.state.next_offset:
            envelopes.append(self._catch_up(peer, digest.next_offset))
        elif digest.wants_answer and (
            digest.next_offset > self.state.next_offset
        ):
            envelopes.append(
                ports.Envelope(peer, self._digest(wants_answer=False))
            )
        return envelopes

    def _catch_up(self, peer: str, offset: int) -> ports.Envelope:
        if not self._recent or offset < self._recent_from:
            transfer = messages.StateTransfer(codec.encode(self.state))
            return ports.Envelope(peer, transfer)
        entries = tuple(e for e in self._recent if e.offset >= offset)
        batch = messages.RecordBatch(offset, entries, self.state.next_offset)
        return ports.Envelope(peer, batch)

    def _take_state(
        self, peer: str, transfer: messages.StateTransfer
    ) -> list[ports.Envelope]:
        state = codec.decode(transfer.state, _STEP, peer)
        if not isinstance(state, state_lib.State):
            logger.warning("distribution: peer %s sent no state", peer)
            return []
        if state.next_offset <= self.state.next_offset:
            return []
        self._recent.clear()
        self._publish(state)
        self._environment.events.emit(
            events.CHECKPOINT_LOADED, subject=str(state.version), peer=peer
        )
        return []


def is_expired(result: Any) -> bool:
    """Return True if a read failed because retention removed its offset."""
    return (
        isinstance(result, errors.LogError)
        and result.reason is errors.Reason.OFFSET_EXPIRED
    )
