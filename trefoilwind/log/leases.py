"""Claims and renewals of a lease that is stored in the log.

The fold compares only the wall-clock times that claims contain. A node claims
a lease of another holder only after the lease has not changed for its length
on the node's own monotonic clock, and dates the claim no earlier than the end
of that lease, so the wall clocks of two machines are never compared. The
holder computes its deadline from a time before its claim was sent, and stops
using the lease earlier by the clock margin.
"""

import dataclasses

from trefoilwind import environment as environment_lib
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

RENEW_RATIO = 0.5


@dataclasses.dataclass(frozen=True)
class _PendingClaim:
    """A claim that is not yet in the folded state.

    Attributes:
        expires_at: Wall time in seconds at which the claimed lease ends.
        lease_deadline: Monotonic time until which the lease may be used.
        retry_at: Monotonic time from which the claim may be repeated.
    """

    expires_at: float
    lease_deadline: float
    retry_at: float


class LeaseManager:
    """Claims, renews and observes one lease."""

    def __init__(self, environment: environment_lib.Environment, name: str):
        self._environment = environment
        self._settings = environment.settings.log
        self._name = name
        self._holder = f"{environment.node_id}#{environment.incarnation}"
        self._observed: state_lib.Lease | None = None
        self._observed_since = environment.clock.monotonic()
        self._deadline = 0.0
        self._pending_claim: _PendingClaim | None = None

    @property
    def name(self) -> str:
        """Name of the lease."""
        return self._name

    def epoch(self, state: state_lib.State) -> int | None:
        """Return the epoch if this node holds the lease now, or None."""
        now = self._environment.clock.monotonic()
        lease = state.lease(self._name)
        if lease is None or lease.holder != self._holder:
            return None
        return lease.epoch if now < self._deadline else None

    def next_claim(
        self, state: state_lib.State, position: int | None
    ) -> records.LeaseClaim | None:
        """Return a claim that should be appended now, or None.

        Args:
            state: State folded so far.
            position: This node's position among the candidates, from 0; later
                ones wait longer. None if it is not a candidate.
        """
        now = self._environment.clock.monotonic()
        self._observe(state.lease(self._name), now)
        if position is None:
            return None
        if (
            self._pending_claim is not None
            and now < self._pending_claim.retry_at
        ):
            return None
        if not self._is_due(position, now):
            return None
        return self._make_claim(now)

    def _observe(self, lease: state_lib.Lease | None, now: float) -> None:
        if lease == self._observed:
            return
        self._observed = lease
        self._observed_since = now
        claim = self._pending_claim
        is_own = lease is not None and lease.holder == self._holder
        if claim and is_own and lease.expires_at == claim.expires_at:
            self._deadline = claim.lease_deadline
        self._pending_claim = None

    def _is_due(self, position: int, now: float) -> bool:
        waited_s = now - self._observed_since
        lease_s = self._settings.lease_s
        if self._observed is not None and self._observed.holder == self._holder:
            return waited_s >= lease_s * RENEW_RATIO
        delay_s = position * lease_s
        if self._observed is not None:
            delay_s += lease_s + self._settings.clock_margin_s
        return waited_s >= delay_s

    def _make_claim(self, now: float) -> records.LeaseClaim:
        wall = self._environment.clock.wall()
        lease_s = self._settings.lease_s
        expires_at = wall + lease_s
        claimed_at = wall
        if self._observed is not None:
            if self._observed.holder != self._holder:
                claimed_at = max(wall, self._observed.expires_at)
            expires_at = max(
                claimed_at + lease_s, self._observed.expires_at + 1e-3
            )
        margin_s = self._settings.clock_margin_s
        self._pending_claim = _PendingClaim(
            expires_at, now + lease_s - margin_s, now + lease_s / 4
        )
        return records.LeaseClaim(
            self._name, self._holder, expires_at, claimed_at
        )
