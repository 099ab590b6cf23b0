"""Table of suspects, the requests that may crash backend servers."""

from collections.abc import Callable
from collections.abc import Iterable
import logging

from trefoilwind.gateway import calls
from trefoilwind.routing import fingerprints
from trefoilwind.routing import suspect_messages
from trefoilwind.routing import suspects

logger = logging.getLogger(__name__)

# Seconds after which a suspect expires.
LEASE_S = 300.0
MAX_SUSPECTS = 1024


def fingerprint(call: calls.Call) -> str:
    """Return a digest that is equal for retries of the same request."""
    return fingerprints.fingerprint(
        call.service, call.method, call.target, "", call.body
    )


class SuspectTable:
    """Deaths of backend servers by request.

    The sets of deaths only grow; tables of different nodes merge by union.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        send: Callable[[suspect_messages.SuspectUpdate], None],
    ):
        self._clock = clock
        self._send = send
        self._suspects: dict[str, suspects.Suspect] = {}

    def is_refused(self, call: calls.Call) -> bool:
        """Return True if too many backend servers died while running a call."""
        if not self._suspects:
            return False
        suspect = self._suspects.get(fingerprint(call))
        return suspect is not None and suspect.is_refused

    def add_death(self, death: str, running: Iterable[calls.Call]) -> None:
        """Record the death of this node's backend server.

        Args:
            death: Unique id of the death; starts with the node's id and "/".
            running: Calls in flight at the backend server.
        """
        update = suspect_messages.SuspectUpdate(
            tuple(
                suspect_messages.LeasedSuspect(
                    fingerprint(call), (death,), (), LEASE_S
                )
                for call in running
            )
        )
        logger.warning(
            "suspects: backend server died with %d calls in flight",
            len(update.entries),
        )
        self.merge(update)
        self._send(update)

    def clear(self, call: calls.Call) -> None:
        """Clear the suspect of a call that was answered."""
        if not self._suspects:
            return
        suspect = self._suspects.get(fingerprint(call))
        if suspect is None or suspect.is_refused or not suspect.count:
            return
        update = suspect_messages.SuspectUpdate(
            (
                suspect_messages.LeasedSuspect(
                    suspect.fingerprint, suspect.deaths, suspect.deaths, LEASE_S
                ),
            )
        )
        self.merge(update)
        self._send(update)

    def merge(self, update: suspect_messages.SuspectUpdate) -> None:
        """Merge suspects received from a peer."""
        now = self._clock()
        self._expire(now)
        for entry in update.entries:
            known = self._suspects.get(entry.fingerprint)
            if known is None and len(self._suspects) >= MAX_SUSPECTS:
                logger.warning("suspects: table is full; dropping a suspect")
                continue
            known = known or suspects.Suspect(entry.fingerprint, (), 0.0)
            merged = suspects.Suspect(
                entry.fingerprint,
                tuple(sorted({*known.deaths, *entry.deaths})),
                now + min(LEASE_S, entry.remaining_s),
                tuple(sorted({*known.cleared, *entry.cleared})),
            )
            if merged.is_refused and not known.is_refused:
                logger.warning(
                    "suspects: refusing calls with fingerprint %s",
                    entry.fingerprint,
                )
            self._suspects[entry.fingerprint] = merged

    def full_update(self) -> suspect_messages.SuspectUpdate:
        """Return all suspects, for a new peer."""
        now = self._clock()
        return suspect_messages.SuspectUpdate(
            tuple(
                suspect_messages.LeasedSuspect(
                    suspect.fingerprint,
                    suspect.deaths,
                    suspect.cleared,
                    suspect.expires_at - now,
                )
                for suspect in self._suspects.values()
                if suspect.expires_at > now
            )
        )

    def _expire(self, now: float) -> None:
        self._suspects = {
            key: suspect
            for key, suspect in self._suspects.items()
            if suspect.expires_at > now
        }
