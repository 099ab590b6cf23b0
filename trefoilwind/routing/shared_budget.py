"""Retry budget of each service, shared by all nodes.

Handles many attempts that fail at once and would be retried by every entry
node. Each node grants only its share of the retries permitted to all, so that
the total stays under the bound without communication.
"""

import collections
import dataclasses

# Share of the bound that is granted; the rest covers nodes that join or leave,
# and the calls that a retried run makes in turn, which count as retries.
GRANTED_SHARE = 0.45


@dataclasses.dataclass(frozen=True)
class BudgetTerms:
    """Bound on the retries of all nodes for a service.

    Attributes:
        ratio: Retries allowed for each first attempt.
        window_s: Seconds over which both are counted.
        extra: Retries allowed in addition, for all nodes together.
    """

    ratio: float
    window_s: float
    extra: float


class SharedBudget:
    """This node's share of the retry budgets of all services."""

    def __init__(self, terms: BudgetTerms):
        self._terms = terms
        self._firsts: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_terms(self, terms: BudgetTerms) -> None:
        """Set a new bound."""
        self._terms = terms

    def record_first_attempt(self, service: str, now: float) -> None:
        """Record a first attempt for a service."""
        self._recent(self._firsts, service, now).append(now)

    def grant(self, service: str, node_count: int, now: float) -> bool:
        """Return True, and count the retry, if it may be sent.

        Args:
            service: Service that the retry is for.
            node_count: Number of nodes that share the budget.
            now: Monotonic time in seconds.
        """
        if not self.has_room(service, node_count, now):
            return False
        self._recent(self._retries, service, now).append(now)
        return True

    def has_room(self, service: str, node_count: int, now: float) -> bool:
        """Return True if a retry may be sent; see `grant`."""
        firsts = len(self._recent(self._firsts, service, now))
        retries = self._recent(self._retries, service, now)
        extra_share = self._terms.extra / max(1, node_count)
        allowed = GRANTED_SHARE * (self._terms.ratio * firsts + extra_share)
        return len(retries) + 1 <= allowed

    def _recent(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        while recent and recent[0] < now - self._terms.window_s:
            recent.popleft()
        return recent
