"""What the owner of a customer's quota lends to nodes; pure decisions.

Answers a customer that moves between nodes or sends several times its limit.
There is one bucket of tokens for the customer. Tokens that were lent and may
still be unspent, or spent and unreported, occupy it: it is filled only up to
its size less these. So all nodes together spend at most size + rate x time,
whatever messages are lost.
"""

import dataclasses
import math

from trefoilwind.customers import quota_account
from trefoilwind.customers import quota_limits
from trefoilwind.customers import quota_messages

# Seconds added to the end of a loan, for clocks that differ in speed.
GRACE_S = 0.05
# Part of the bucket that is lent only for calls that wait.
RESERVE = 0.25
# Seconds between two searches for loans that have ended.
SEARCH_S = 0.1


@dataclasses.dataclass(slots=True)
class _Borrower:
    """Tokens that a process of a node may hold.

    Attributes:
        epoch: Start of the process.
        sent_s: Time of its newest request on its own clock.
        held: Tokens that it held then.
        pending: Numbers and tokens of the loans that it had not received.
        number: Number of the newest loan.
        voided: Tokens that it has not spent, as of its newest request.
        deadline: Time at which all of them have ended.
    """

    epoch: int
    sent_s: float = -math.inf
    held: int = 0
    pending: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    number: int = 0
    voided: int = 0
    deadline: float = 0.0

    @property
    def outstanding(self) -> int:
        """Largest number of tokens that the process may hold."""
        return self.held + sum(tokens for _, tokens in self.pending)


class Lender:
    """Tokens of one customer at its owner."""

    def __init__(
        self,
        node_id: str,
        terms: quota_limits.BucketTerms,
        elapsed_s: float,
        now: float,
    ):
        """Initialize with the tokens of the time without an owner.

        Args:
            node_id: The owner.
            terms: Terms of the bucket.
            elapsed_s: Seconds since an earlier owner may have added tokens.
            now: Time in seconds.
        """
        self._node_id = node_id
        self._terms = terms
        self._bucket = quota_account.Bucket(0.0, now - elapsed_s)
        self._borrowers: dict[str, _Borrower] = {}
        self._outstanding = 0
        self._search_at = now
        self._used_at = now

    @property
    def outstanding(self) -> int:
        """Tokens that all nodes together may hold."""
        return self._outstanding

    @property
    def used_at(self) -> float:
        """Time in seconds of the newest request."""
        return self._used_at

    def set_terms(self, terms: quota_limits.BucketTerms, now: float) -> None:
        """Apply a changed limit."""
        if terms != self._terms:
            self._fill(now)
            self._terms = terms

    def lend(
        self,
        request: quota_messages.Request,
        ask: quota_messages.Ask,
        now: float,
    ) -> quota_messages.Loan | None:
        """Return the loan for a request; None if a newer one was handled."""
        self._used_at = now
        borrower = self._borrower(request, now)
        if borrower is None:
            return None
        self._report(borrower, request, ask, now)
        self._fill(now)
        level = self._bucket.tokens
        tokens = min(ask.needed, int(level))
        spare = level - tokens - RESERVE * self._terms.size
        tokens += max(0, min(ask.ahead, int(spare)))
        if tokens:
            self._bucket.tokens -= tokens
            self._outstanding += tokens
            borrower.number += 1
            borrower.pending.append((borrower.number, tokens))
            borrower.deadline = now + quota_account.LOAN_S + GRACE_S
        missing = ask.needed - tokens
        wait_s = 0.0
        if missing > 0:
            rate_per_s = max(self._terms.rate_per_s, 0.01)
            wait_s = (1.0 + missing - self._bucket.tokens) / rate_per_s
        return quota_messages.Loan(
            ask.customer, tokens, borrower.number, wait_s
        )

    def _borrower(
        self, request: quota_messages.Request, now: float
    ) -> _Borrower | None:
        found = self._borrowers.get(request.node_id)
        # After a step of its wall clock a newer process has a lower epoch.
        is_older = found is not None and found.epoch > request.epoch
        if is_older and now < found.deadline:
            return None
        if found is not None and found.epoch == request.epoch:
            return found if request.sent_s > found.sent_s else None
        if found is not None:
            # The tokens of an ended process are void.
            self._outstanding -= found.outstanding
        created = _Borrower(request.epoch, deadline=now)
        self._borrowers[request.node_id] = created
        return created

    def _report(
        self,
        borrower: _Borrower,
        request: quota_messages.Request,
        ask: quota_messages.Ask,
        now: float,
    ) -> None:
        before = borrower.outstanding
        is_first = borrower.sent_s == -math.inf
        borrower.sent_s = request.sent_s
        borrower.held = max(0, ask.held)
        if ask.owner == self._node_id:
            borrower.pending = [
                each for each in borrower.pending if each[0] > ask.seen
            ]
            # An owner that has restarted continues the numbers of its loans.
            borrower.number = max(borrower.number, ask.seen)
            if not is_first:
                self._bucket.tokens += max(0, ask.voided - borrower.voided)
            borrower.voided = ask.voided
        else:
            borrower.voided = 0
        if ask.held:
            deadline = now + quota_account.LOAN_S + GRACE_S
            borrower.deadline = max(borrower.deadline, deadline)
        self._outstanding += borrower.outstanding - before

    def _fill(self, now: float) -> None:
        if now >= self._search_at:
            self._search_at = now + SEARCH_S
            for node_id, borrower in list(self._borrowers.items()):
                if now >= borrower.deadline:
                    self._outstanding -= borrower.outstanding
                    borrower.held = 0
                    borrower.pending = []
                    if now >= borrower.deadline + 10 * quota_account.LOAN_S:
                        del self._borrowers[node_id]
        room = max(0.0, self._terms.size - self._outstanding)
        terms = quota_limits.BucketTerms(self._terms.rate_per_s, room)
        self._bucket.fill(terms, now)
