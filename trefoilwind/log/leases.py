"""Holder's side of a lease in the log.

A claim is judged by the claims' own wall times alone. A node claims a held
lease only after its record has stood unchanged for the lease's length on the
node's own monotonic clock, and then dates the claim at the end of the lease:
no comparison of two machines' wall clocks is needed. The holder counts its
deadline from before its claim was sent and ends earlier by the clock margin.
"""

import dataclasses

from trefoilwind import environment as environment_lib
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

RENEW_RATIO = 0.5


@dataclasses.dataclass(frozen=True)
class _Claim:
    """A claim on its way to the log."""

    expires_at: float
    lease_deadline: float
    retry_deadline: float


class LeaseKeeper:
    """Claims, renews and watches one lease."""

    def __init__(self, environment: environment_lib.Environment, name: str):
        self._environment = environment
        self._settings = environment.settings.log
        self._name = name
        self._holder = f"{environment.node_id}#{environment.incarnation}"
        self._seen: state_lib.Lease | None = None
        self._seen_since = environment.clock.monotonic()
        self._deadline = 0.0
        self._claim: _Claim | None = None

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
                ones wait longer. None if it is no candidate.
        """
        now = self._environment.clock.monotonic()
        self._observe(state.lease(self._name), now)
        if position is None:
            return None
        if self._claim is not None and now < self._claim.retry_deadline:
            return None
        if not self._is_due(position, now):
            return None
        return self._make_claim(now)

    def _observe(self, lease: state_lib.Lease | None, now: float) -> None:
        if lease == self._seen:
            return
        self._seen = lease
        self._seen_since = now
        claim = self._claim
        is_own = lease is not None and lease.holder == self._holder
        if claim and is_own and lease.expires_at == claim.expires_at:
            self._deadline = claim.lease_deadline
        self._claim = None

    def _is_due(self, position: int, now: float) -> bool:
        waited_s = now - self._seen_since
        lease_s = self._settings.lease_s
        if self._seen is not None and self._seen.holder == self._holder:
            return waited_s >= lease_s * RENEW_RATIO
        patience_s = position * lease_s
        if self._seen is not None:
            patience_s += lease_s + self._settings.clock_margin_s
        return waited_s >= patience_s

    def _make_claim(self, now: float) -> records.LeaseClaim:
        wall = self._environment.clock.wall()
        lease_s = self._settings.lease_s
        expires_at = wall + lease_s
        claimed_at = wall
        if self._seen is not None:
            if self._seen.holder != self._holder:
                claimed_at = max(wall, self._seen.expires_at)
            expires_at = max(claimed_at + lease_s, self._seen.expires_at + 1e-3)
        margin_s = self._settings.clock_margin_s
        self._claim = _Claim(
            expires_at, now + lease_s - margin_s, now + lease_s / 4
        )
        return records.LeaseClaim(
            self._name, self._holder, expires_at, claimed_at
        )
