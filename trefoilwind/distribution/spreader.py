"""Controller that folds log records and spreads them to peers."""

import collections
import dataclasses
import logging
from typing import Any

from trefoilwind import codec
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind.distribution import links as links_lib
from trefoilwind.distribution import messages
from trefoilwind.distribution import ports
from trefoilwind.log import fold
from trefoilwind.log import port
from trefoilwind.model import moves
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

logger = logging.getLogger(__name__)

_STEP = "distribution.spread"
DIGEST_INTERVAL_S = 1.0
# Time for a record to arrive on an eager link before a gap is requested.
GRAFT_WAIT_S = 0.3
MAX_RECENT_ENTRIES = 2048
MAX_RECENT_BYTES = 4 * 1024 * 1024
MAX_CATCH_UP_BYTES = 512 * 1024


@dataclasses.dataclass(frozen=True)
class _Gap:
    """A peer whose digest shows records that this node lacks.

    They are requested once the deadline, in monotonic seconds, has passed.
    """

    peer: str
    deadline: float


class Spreader:
    """Folds records in offset order, regardless of the order of arrival.

    New records are pushed on eager links; lazy links carry a digest only.
    Recent records are kept, so that peers that lag behind can catch up.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        links: links_lib.LinkController,
    ):
        self._environment = environment
        self._links = links
        self._board = environment.blackboard
        self._publish = self._board.state.claim("spreader")
        self._recent: collections.deque[port.Entry] = collections.deque()
        self._recent_bytes = 0
        # No record lies between this offset and the first recent one.
        self._recent_from = 0
        self._synced_links: frozenset[str] = frozenset()
        self._gap: _Gap | None = None
        self._next_digest = 0.0

    @property
    def handles(self) -> tuple[type, ...]:
        """Message classes that this controller handles."""
        return (
            messages.RecordBatch,
            messages.Packed,
            messages.Digest,
            messages.StateTransfer,
        )

    @property
    def state(self) -> state_lib.State:
        """State folded so far."""
        return self._board.state.value

    def apply_page(self, from_offset: int, page: port.Page):
        """Fold a page read from the log; return messages for peers."""
        batch = messages.RecordBatch(
            from_offset, page.entries, page.next_offset
        )
        return self._apply_batch(batch, sender="")

    def apply_checkpoint(self, state: state_lib.State) -> list[ports.Envelope]:
        """Continue from a checkpoint of the log; return messages for peers."""
        return self._replace_state(state, sender="")

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """Handle a message from a peer."""
        if isinstance(message, messages.Packed):
            message = messages.unpack(message, peer)
        if isinstance(message, errors.Error):
            logger.warning("distribution: %s", message)
            return []
        if isinstance(message, messages.RecordBatch):
            return self._apply_batch(message, peer)
        if isinstance(message, messages.StateTransfer):
            return self._apply_transfer(peer, message)
        return self._answer_digest(peer, message)

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Do nothing: `tick` sends a digest once the link is active."""
        return []

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Discard a gap that was to be requested from the peer."""
        if self._gap is not None and self._gap.peer == peer:
            self._gap = None
        return []

    def tick(self) -> list[ports.Envelope]:
        """Send digests to new links and to a random one; request a due gap."""
        links = self._links.active
        digest = self._digest(wants_answer=True)
        envelopes = [
            ports.Envelope(peer, digest)
            for peer in sorted(links - self._synced_links)
        ]
        self._synced_links = links
        envelopes += self._request_gap()
        now = self._environment.clock.monotonic()
        if now < self._next_digest or not links:
            return envelopes
        self._next_digest = now + DIGEST_INTERVAL_S
        peer = self._environment.random.choice(sorted(links))
        return [*envelopes, ports.Envelope(peer, digest)]

    def _digest(self, wants_answer: bool) -> messages.Digest:
        return messages.Digest(self.state.next_offset, wants_answer)

    def _apply_batch(
        self, batch: messages.RecordBatch, sender: str
    ) -> list[ports.Envelope]:
        state = self.state
        if batch.from_offset > state.next_offset:
            return self._request_records(sender) if sender else []
        new_entries = tuple(
            e for e in batch.entries if e.offset >= state.next_offset
        )
        if not new_entries:
            return []
        if not self._recent:
            self._recent_from = state.next_offset
        # The relayed batch excludes records before `start`; a peer that lacks
        # them detects a gap.
        start = state.next_offset
        for entry in new_entries:
            state = self._fold_entry(state, entry)
        self._publish(state)
        self._gap = None
        relayed = messages.RecordBatch(start, new_entries, state.next_offset)
        return self._spread(relayed, sender)

    def _spread(
        self, batch: messages.RecordBatch, sender: str
    ) -> list[ports.Envelope]:
        packed = messages.pack(batch)
        digest = self._digest(wants_answer=False)
        return [
            *(ports.Envelope(p, packed) for p in self._links.eager(sender)),
            *(ports.Envelope(p, digest) for p in self._links.lazy(sender)),
        ]

    def _request_records(self, peer: str) -> list[ports.Envelope]:
        digest = self._digest(wants_answer=False)
        return [*self._links.request_push(peer), ports.Envelope(peer, digest)]

    def _request_gap(self) -> list[ports.Envelope]:
        gap = self._gap
        now = self._environment.clock.monotonic()
        if gap is None or now < gap.deadline:
            return []
        self._gap = None
        return self._request_records(gap.peer)

    def _fold_entry(
        self, state: state_lib.State, entry: port.Entry
    ) -> state_lib.State:
        folded = fold.fold(state, entry.offset, entry.payload)
        self._environment.record_results.add(
            entry.payload, entry.offset, folded
        )
        self._store_recent(entry)
        self._report(folded, entry.offset)
        return folded.state

    def _store_recent(self, entry: port.Entry) -> None:
        self._recent.append(entry)
        self._recent_bytes += len(entry.payload)
        while (
            len(self._recent) > MAX_RECENT_ENTRIES
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.payload)
            self._recent_from = dropped.offset + 1

    def _report(self, folded: fold.FoldResult, offset: int) -> None:
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
            # A proposal leaves the move open.
            if not folded.state.is_open(folded.body.move_id):
                self._report_outcome(folded.body)
        elif isinstance(folded.body, records.MoveRequest):
            move_id = folded.state.moves[-1].move.move_id
            emit(events.MOVE_STARTED, subject=move_id)

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
        own = self.state.next_offset
        if digest.next_offset < own:
            return [self._catch_up(peer, digest.next_offset)]
        if digest.next_offset > own and self._gap is None:
            now = self._environment.clock.monotonic()
            self._gap = _Gap(peer, now + GRAFT_WAIT_S)
        return []

    def _catch_up(self, peer: str, offset: int) -> ports.Envelope:
        entries = tuple(e for e in self._recent if e.offset >= offset)
        size = sum(len(e.payload) for e in entries)
        if (
            offset < self._recent_from
            or not entries
            or size > MAX_CATCH_UP_BYTES
        ):
            transfer = messages.StateTransfer(codec.encode(self.state))
            return ports.Envelope(peer, messages.pack(transfer))
        batch = messages.RecordBatch(offset, entries, self.state.next_offset)
        return ports.Envelope(peer, messages.pack(batch))

    def _apply_transfer(
        self, peer: str, transfer: messages.StateTransfer
    ) -> list[ports.Envelope]:
        state = codec.decode(transfer.state, _STEP, peer)
        if not isinstance(state, state_lib.State):
            logger.warning(
                "distribution: state transfer of peer %s holds no valid state",
                peer,
            )
            return []
        return self._replace_state(state, peer)

    def _replace_state(
        self, state: state_lib.State, sender: str
    ) -> list[ports.Envelope]:
        known = self.state
        if state.next_offset <= known.next_offset:
            return []
        self._recent.clear()
        self._recent_bytes = 0
        self._recent_from = state.next_offset
        self._gap = None
        self._publish(state)
        emit = self._environment.events.emit
        emit(
            events.CHECKPOINT_LOADED,
            subject=str(state.next_offset),
            peer=sender,
        )
        if state.version != known.version:
            emit(events.CONFIGURATION_APPLIED, subject=str(state.version))
        digest = self._digest(wants_answer=False)
        return [
            ports.Envelope(peer, digest)
            for peer in sorted(self._links.active - {sender})
        ]
