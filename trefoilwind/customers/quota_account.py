"""What one node may spend of one customer's quota; pure decisions.

Answers a customer that sends to many nodes, a few calls a second to each: the
tokens are at the nodes only for the calls expected there until the next
exchange. Tokens of a loan end LOAN_S after the request for them was sent, on
the node's own clock, so an owner knows when they are void though it hears
nothing of the node.
"""

import collections
import dataclasses
import math

from trefoilwind.customers import quota_limits
from trefoilwind.customers import quota_messages

# Seconds from the request for tokens until these end. A new owner lends only
# after this time, and callers of the old one may be refused as long.
LOAN_S = 0.6
# Seconds of expected calls for which tokens are held: a round trip of 60 ms
# between regions and the time between two requests.
AHEAD_S = 0.3
# Seconds over which the demand of a customer is averaged.
DEMAND_S = 1.0
# Seconds for which the answer to a request is awaited before its tokens are
# asked for again.
ANSWER_S = 0.3
# Seconds after which tokens that no call has used are given back.
IDLE_S = 0.4
# Seconds for which an answer that lent too little tells that another request
# has no token soon, and for which a missing answer tells that none will come.
SHORT_S = 0.3


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket.

    Attributes:
        tokens: Tokens at `filled_at`.
        filled_at: Time in seconds of the last refill.
    """

    tokens: float
    filled_at: float

    def fill(self, terms: quota_limits.BucketTerms, now: float) -> None:
        """Add the tokens since the last refill, up to the size."""
        elapsed_s = max(0.0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        added = elapsed_s * terms.rate_per_s
        self.tokens = min(terms.size, self.tokens + added)


class Account:
    """Tokens of one customer at one node."""

    def __init__(self, now: float):
        # Times of the calls that the base share has paid.
        self._base_times: collections.deque[float] = collections.deque()
        self._held = 0
        self._held_deadline = 0.0
        # Times of the requests without an answer, and the tokens asked for.
        self._asked: collections.deque[tuple[float, int]] = collections.deque()
        self._seen = 0
        self._owner = ""
        # Requests refused since the last ask.
        self._refused = 0
        self._demand_per_s = 0.0
        self._demand_at = now
        self._last_demand_at = now
        self._short_until = 0.0
        self._retry_at = 0.0
        self._reported = 0
        # Tokens of the owner that were not spent.
        self._voided = 0

    @property
    def last_demand_at(self) -> float:
        """Time in seconds of the last call."""
        return self._last_demand_at

    def note_demand(self, now: float) -> None:
        """Count a call that is to be run, for the tokens asked ahead."""
        decay = math.exp(-max(0.0, now - self._demand_at) / DEMAND_S)
        self._demand_per_s = self._demand_per_s * decay + 1.0 / DEMAND_S
        self._demand_at = now
        self._last_demand_at = now

    def spend(self, base_calls: int, window_s: float, now: float) -> bool:
        """Spend a token of the loan, else of the base share.

        Args:
            base_calls: Calls in a window that the base share pays.
            window_s: Length of the window in seconds.
            now: Time in seconds.

        Returns:
            False if there is no token.
        """
        self._drop_ended(now)
        if self._held > 0:
            self._held -= 1
            return True
        times = self._base_times
        while times and now - times[0] >= window_s:
            times.popleft()
        if len(times) >= base_calls:
            return False
        times.append(now)
        return True

    def give_back(self, now: float) -> None:
        """Return the token of a call that has not run.

        It becomes part of the loan if the owner still counts it as held, also
        if the base share has paid.
        """
        self._drop_ended(now)
        if self._reported > self._held:
            self._held += 1
        elif self._base_times:
            self._base_times.pop()

    def refusal_s(self, now: float) -> float | None:
        """Return the retry time if a call surely gets no token, else None."""
        if now >= self._short_until:
            return None
        return max(self._retry_at - now, 0.05)

    def note_refused(self) -> None:
        """Count a refused call; tokens are asked for calls like it."""
        self._refused += 1

    def note_unanswered(self, now: float) -> None:
        """Note that no answer came while a call waited for a token."""
        if now >= self._short_until:
            self._short_until = now + SHORT_S
            self._retry_at = now + SHORT_S

    def wants(self, waiting: int, now: float) -> bool:
        """Return True if an ask would change what the node holds."""
        self._drop_ended(now)
        coming = self._held + self._pending(now)
        if waiting > coming or self._usable_refused(now):
            return True
        if now - self._last_demand_at > IDLE_S:
            return self._reported > 0
        return 2 * coming < self._ahead(now)

    def ask(
        self, customer: str, waiting: int, now: float
    ) -> quota_messages.Ask:
        """Return what to ask the owner for; gives idle tokens back."""
        self._drop_ended(now)
        if now - self._last_demand_at > IDLE_S and not waiting:
            self._voided += self._held
            self._held = 0
            self._refused = 0
        coming = self._held + self._pending(now)
        needed = max(0, waiting + self._usable_refused(now) - coming)
        ahead = max(0, self._ahead(now) - coming - needed)
        if needed + ahead:
            self._asked.append((now, needed + ahead))
        self._refused = 0
        self._reported = self._held
        return quota_messages.Ask(
            customer,
            self._held,
            needed,
            ahead,
            self._owner,
            self._seen,
            self._voided,
        )

    def add(
        self,
        owner: str,
        sent_s: float,
        loan: quota_messages.Loan,
        now: float,
    ) -> None:
        """Add the tokens of a loan.

        Args:
            owner: Owner that lends.
            sent_s: Time of the request on this node's clock in seconds.
            loan: The loan.
            now: Time in seconds.
        """
        while self._asked and self._asked[0][0] <= sent_s:
            self._asked.popleft()
        if loan.tokens and owner != self._owner:
            # Tokens of another owner end at their deadline; they are dropped
            # now as the numbers of loans differ between owners.
            self._owner, self._held, self._seen = owner, 0, 0
            self._held_deadline = 0.0
            self._reported = self._voided = 0
        if owner == self._owner and loan.number > self._seen:
            self._seen = loan.number
            self._drop_ended(now)
            deadline = sent_s + LOAN_S
            if now < deadline:
                self._held += loan.tokens
                self._reported += loan.tokens
                self._held_deadline = max(self._held_deadline, deadline)
            else:
                self._voided += loan.tokens
        if loan.wait_s > 0.0:
            self._short_until = now + min(SHORT_S, loan.wait_s)
            self._retry_at = now + loan.wait_s
        else:
            self._short_until = 0.0

    def _pending(self, now: float) -> int:
        """Return the number of tokens in requests that may be answered."""
        while self._asked and now >= self._asked[0][0] + ANSWER_S:
            self._asked.popleft()
        return sum(tokens for _, tokens in self._asked)

    def _expected(self, now: float) -> float:
        """Return the number of calls expected until the next exchange."""
        decay = math.exp(-max(0.0, now - self._demand_at) / DEMAND_S)
        return self._demand_per_s * decay * AHEAD_S

    def _ahead(self, now: float) -> int:
        """Return the number of tokens for the calls that are expected.

        None for less than a whole call: at many nodes with little demand most
        of the tokens would end unused.
        """
        return int(self._expected(now))

    def _usable_refused(self, now: float) -> int:
        """Return for how many calls refused since the last ask to have tokens.

        They are for later calls like these. At a node with little demand they
        would end before the next call.
        """
        return min(self._refused, int(self._expected(now)))

    def _drop_ended(self, now: float) -> None:
        if now >= self._held_deadline:
            self._voided += self._held
            self._held = 0
            self._reported = 0
