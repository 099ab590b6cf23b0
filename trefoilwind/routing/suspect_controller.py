"""Controller that spreads suspects between nodes as leased entries.

An entry is two grow-only sets, deaths and cleared deaths, merged by union;
thus loss, repeats and crossing of updates do no harm.
"""

from collections.abc import Iterable
import logging
from typing import Any

from trefoilwind import environment as environment_lib
from trefoilwind import events
from trefoilwind.distribution import ports
from trefoilwind.routing import suspect_messages
from trefoilwind.routing import suspects

logger = logging.getLogger(__name__)

LEASE_S = 300.0
SPREAD_INTERVAL_S = 1.0
FANOUT = 3
MAX_SUSPECTS = 4096
MAX_IDS = 16


class SuspectController:
    """Keeps the suspects that this node knows of."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._clock = environment.clock
        self._publish = environment.blackboard.suspects.claim("suspects")
        self._suspects: dict[str, suspects.Suspect] = {}
        self._connected: set[str] = set()
        self._next_spread = 0.0

    @property
    def handles(self) -> tuple[type, ...]:
        """Classes of the messages that this controller takes."""
        return (
            suspect_messages.DeathSeen,
            suspect_messages.SuccessSeen,
            suspect_messages.SuspectUpdate,
        )

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """Take what this node saw, or a peer's entries."""
        if isinstance(message, suspect_messages.DeathSeen):
            return self._add_death(message)
        if isinstance(message, suspect_messages.SuccessSeen):
            return self._clear(message.fingerprint)
        fresh = [e for e in message.entries if self._merge(e)]
        return self._spread(
            (entry.fingerprint for entry in fresh), exclude=peer
        )

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Send all entries to a new peer."""
        self._connected.add(peer)
        if not self._suspects:
            return []
        return [ports.Envelope(peer, self._update(self._suspects))]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Forget a peer."""
        self._connected.discard(peer)
        return []

    def tick(self) -> list[ports.Envelope]:
        """Drop the entries whose lease ended; repeat the others to peers."""
        now = self._clock.monotonic()
        self._expire(now)
        if not self._suspects or now < self._next_spread:
            return []
        self._next_spread = now + SPREAD_INTERVAL_S
        return self._spread(self._suspects, exclude="")

    def _expire(self, now: float) -> None:
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at <= now
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]
        if expired:
            self._publish_table()

    def _add_death(
        self, seen: suspect_messages.DeathSeen
    ) -> list[ports.Envelope]:
        entry = suspect_messages.LeasedSuspect(
            seen.fingerprint, (seen.death,), (), LEASE_S
        )
        self._environment.events.emit(
            events.REQUEST_SUSPECTED, subject=seen.fingerprint
        )
        return self._take_own(entry)

    def _clear(self, fingerprint: str) -> list[ports.Envelope]:
        known = self._suspects.get(fingerprint)
        # What is refused cannot succeed: such an answer was sent before.
        if known is None or known.is_refused:
            return []
        entry = suspect_messages.LeasedSuspect(
            fingerprint, known.deaths, known.deaths, LEASE_S
        )
        return self._take_own(entry)

    def _take_own(
        self, entry: suspect_messages.LeasedSuspect
    ) -> list[ports.Envelope]:
        if not self._merge(entry):
            return []
        return self._spread_to(self._connected, (entry.fingerprint,))

    def _merge(self, entry: suspect_messages.LeasedSuspect) -> bool:
        known = self._suspects.get(entry.fingerprint)
        if known is None and len(self._suspects) >= MAX_SUSPECTS:
            return False
        deaths = _union(known.deaths if known else (), entry.deaths)
        cleared = _union(known.cleared if known else (), entry.cleared)
        if known and (known.deaths, known.cleared) == (deaths, cleared):
            return False
        remaining_s = min(entry.remaining_s, LEASE_S)
        expires_at = self._clock.monotonic() + remaining_s
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
        self._suspects[entry.fingerprint] = suspects.Suspect(
            entry.fingerprint, deaths, expires_at, cleared
        )
        self._publish_table()
        return True

    def _publish_table(self) -> None:
        self._publish(suspects.SuspectTable(tuple(self._suspects.values())))

    def _spread(
        self, fingerprints: Iterable[str], exclude: str
    ) -> list[ports.Envelope]:
        peers = sorted(self._connected - {exclude})
        chosen = self._environment.random.sample(peers, min(FANOUT, len(peers)))
        return self._spread_to(chosen, fingerprints)

    def _spread_to(
        self, peers: Iterable[str], fingerprints: Iterable[str]
    ) -> list[ports.Envelope]:
        wanted = tuple(fingerprints)
        if not wanted:
            return []
        update = self._update(wanted)
        return [ports.Envelope(peer, update) for peer in sorted(peers)]

    def _update(
        self, fingerprints: Iterable[str]
    ) -> suspect_messages.SuspectUpdate:
        now = self._clock.monotonic()
        return suspect_messages.SuspectUpdate(
            tuple(
                suspect_messages.LeasedSuspect(
                    suspect.fingerprint,
                    suspect.deaths,
                    suspect.cleared,
                    suspect.expires_at - now,
                )
                for suspect in map(self._suspects.__getitem__, fingerprints)
            )
        )


def _union(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[str, ...]:
    """Return the sorted union, bounded in length."""
    return tuple(sorted({*first, *second})[:MAX_IDS])
