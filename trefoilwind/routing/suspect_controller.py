"""Controller that distributes suspects among the nodes as leased entries.

An entry is a pair of grow-only sets, deaths and cleared deaths, merged by
union; so lost, duplicated and reordered updates do no harm.
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
RESEND_INTERVAL_S = 1.0
FANOUT = 3
MAX_SUSPECTS = 4096
MAX_DEATH_IDS = 16


class SuspectController:
    """Maintains this node's table of suspects and exchanges it with peers."""

    def __init__(self, environment: environment_lib.Environment):
        self._environment = environment
        self._clock = environment.clock
        self._publish = environment.blackboard.suspects.claim("suspects")
        self._suspects: dict[str, suspects.Suspect] = {}
        self._connected: set[str] = set()
        self._next_resend_at = 0.0

    @property
    def handles(self) -> tuple[type, ...]:
        """Message classes that this controller handles."""
        return (
            suspect_messages.DeathReport,
            suspect_messages.SuccessReport,
            suspect_messages.SuspectUpdate,
        )

    def handle(self, peer: str, message: Any) -> list[ports.Envelope]:
        """Handle a report of this node, or entries of a peer."""
        if isinstance(message, suspect_messages.DeathReport):
            return self._add_death(message)
        if isinstance(message, suspect_messages.SuccessReport):
            return self._clear(message.fingerprint)
        changed = [e for e in message.entries if self._merge(e)]
        return self._send_to_random_peers(
            (entry.fingerprint for entry in changed), exclude=peer
        )

    def peer_connected(self, peer: str) -> list[ports.Envelope]:
        """Send all entries to a newly connected peer."""
        self._connected.add(peer)
        if not self._suspects:
            return []
        return [ports.Envelope(peer, self._update(self._suspects))]

    def peer_lost(self, peer: str) -> list[ports.Envelope]:
        """Remove a peer."""
        self._connected.discard(peer)
        return []

    def tick(self) -> list[ports.Envelope]:
        """Remove expired entries; resend the others to some peers."""
        now = self._clock.monotonic()
        self._expire(now)
        if not self._suspects or now < self._next_resend_at:
            return []
        self._next_resend_at = now + RESEND_INTERVAL_S
        return self._send_to_random_peers(self._suspects, exclude="")

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
        self, report: suspect_messages.DeathReport
    ) -> list[ports.Envelope]:
        entry = suspect_messages.LeasedSuspect(
            report.fingerprint, (report.death,), (), LEASE_S
        )
        self._environment.events.emit(
            events.REQUEST_SUSPECTED, subject=report.fingerprint
        )
        return self._apply_own(entry)

    def _clear(self, fingerprint: str) -> list[ports.Envelope]:
        existing = self._suspects.get(fingerprint)
        # A refused request cannot succeed: its answer predates the refusal.
        if existing is None or existing.is_refused:
            return []
        entry = suspect_messages.LeasedSuspect(
            fingerprint, existing.deaths, existing.deaths, LEASE_S
        )
        return self._apply_own(entry)

    def _apply_own(
        self, entry: suspect_messages.LeasedSuspect
    ) -> list[ports.Envelope]:
        if not self._merge(entry):
            return []
        return self._send_to(self._connected, (entry.fingerprint,))

    def _merge(self, entry: suspect_messages.LeasedSuspect) -> bool:
        existing = self._suspects.get(entry.fingerprint)
        if existing is None and len(self._suspects) >= MAX_SUSPECTS:
            return False
        deaths = _union(existing.deaths if existing else (), entry.deaths)
        cleared = _union(existing.cleared if existing else (), entry.cleared)
        if existing and (existing.deaths, existing.cleared) == (
            deaths,
            cleared,
        ):
            return False
        remaining_s = min(entry.remaining_s, LEASE_S)
        expires_at = self._clock.monotonic() + remaining_s
        if existing is not None:
            expires_at = max(expires_at, existing.expires_at)
        self._suspects[entry.fingerprint] = suspects.Suspect(
            entry.fingerprint, deaths, expires_at, cleared
        )
        self._publish_table()
        return True

    def _publish_table(self) -> None:
        self._publish(suspects.SuspectTable(tuple(self._suspects.values())))

    def _send_to_random_peers(
        self, fingerprints: Iterable[str], exclude: str
    ) -> list[ports.Envelope]:
        peers = sorted(self._connected - {exclude})
        chosen = self._environment.random.sample(peers, min(FANOUT, len(peers)))
        return self._send_to(chosen, fingerprints)

    def _send_to(
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
    """Return the sorted union, truncated to `MAX_DEATH_IDS`."""
    return tuple(sorted({*first, *second})[:MAX_DEATH_IDS])
