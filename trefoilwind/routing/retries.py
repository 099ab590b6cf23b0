"""Retry budgets: bound retries to a share of first attempts."""

import dataclasses
import threading

from trefoilwind.model import configuration as configuration_lib

RESERVE_TOKENS = 3.0
MAX_TOKENS = 30.0
_LATENCY_WEIGHT = 0.1


@dataclasses.dataclass
class _Budget:
    """Tokens of one class and the expected latency of an attempt."""

    tokens: float = RESERVE_TOKENS
    latency_s: float = 0.0


class RetryBudgets:
    """Retry budget of each class. Thread-safe.

    A first attempt deposits the class's `retry_ratio`, a retry withdraws one
    token. So of n first attempts at most n * ratio + RESERVE_TOKENS are
    retried.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budgets: dict[str, _Budget] = {}

    def deposit(self, target: configuration_lib.ClassTarget) -> None:
        """Record a first attempt."""
        with self._lock:
            budget = self._budget(target)
            raised = budget.tokens + target.retry_ratio
            budget.tokens = min(MAX_TOKENS, raised)

    def withdraw(
        self, target: configuration_lib.ClassTarget, remaining_s: float
    ) -> bool:
        """Withdraw a token; return True if a retry may start.

        Args:
            target: Class of the call.
            remaining_s: Seconds until the call's deadline; a retry that is
                not expected to end in time is not started.
        """
        with self._lock:
            budget = self._budget(target)
            if budget.tokens < 1.0 or remaining_s <= budget.latency_s:
                return False
            budget.tokens -= 1.0
            return True

    def answered(
        self, target: configuration_lib.ClassTarget, latency_s: float
    ) -> None:
        """Record the latency in seconds of an attempt that was answered."""
        with self._lock:
            budget = self._budget(target)
            budget.latency_s += _LATENCY_WEIGHT * (latency_s - budget.latency_s)

    def _budget(self, target: configuration_lib.ClassTarget) -> _Budget:
        return self._budgets.setdefault(target.name, _Budget())
