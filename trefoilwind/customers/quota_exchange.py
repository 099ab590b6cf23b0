"""Requests for tokens, loans and owners of one node; no network of its own.

Answers thousands of small customers at hundreds of nodes: a node sends the asks
of all its customers in one request to a relay of its data centre, a few times a
second; the relay sends those of many nodes together to each owner. A call
without a token waits for one for WAIT_S at most.
"""

from collections.abc import Callable
import copy
import dataclasses
import logging

from trefoilwind.customers import quota_account
from trefoilwind.customers import quota_limits
from trefoilwind.customers import quota_messages
from trefoilwind.customers import quota_owner
from trefoilwind.customers import quota_ownership
from trefoilwind.distribution import topology
from trefoilwind.logs import decisions
from trefoilwind.membership import directory
from trefoilwind.model import mesh

logger = logging.getLogger(__name__)

# Seconds for which a call waits for a token. Two ways between regions take
# 60 ms; on a link that is full of configurations they took over 150 ms, and a
# refusal costs a caller more than the wait.
WAIT_S = 0.5
# Rate and burst of the requests of a node; calls that wait use the burst.
REQUESTS_PER_S = 10.0
REQUEST_BURST = 10.0
# Seconds for which a node and a relay collect what they send together.
COLLECT_S = 0.005
RELAY_COLLECT_S = 0.01
# Seconds between two messages to the other candidates, and between two looks
# at the customers at work.
TICK_S = 0.2
# Seconds without a call or request after which a customer's state is dropped;
# longer than the window and all loans.
IDLE_S = 30.0
# Retry time in seconds while no owner answers.
NO_OWNER_RETRY_S = 0.5
# Times that a request is sent on after the first relay.
_MAX_HOPS = 1

Resolve = Callable[[float | None], None]


@dataclasses.dataclass(frozen=True)
class Ports:
    """What the exchange uses of the node.

    Attributes:
        now: Returns the time in seconds.
        call_later: Calls a function after a number of seconds.
        send: Sends a message to a node with a stream.
        is_alive: Returns whether a node has a responsive stream.
        members: Returns the members; empty until they were read.
    """

    now: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], None]
    send: Callable[[str, object], None]
    is_alive: Callable[[str], bool]
    members: Callable[[], directory.Snapshot]


class Exchange:
    """Quotas of all customers at one node, as a spender, relay and owner."""

    def __init__(
        self,
        node_id: str,
        epoch: int,
        terms: quota_limits.QuotaTerms,
        ports: Ports,
        started: float,
    ):
        """Initialize without customers.

        Args:
            node_id: This node.
            epoch: Start of its process; greater than that of earlier ones.
            terms: Terms of all quotas.
            ports: What it uses of the node.
            started: Time in seconds of the start of the process.
        """
        self._node_id = node_id
        self._epoch = epoch
        self._terms = terms
        self._ports = ports
        self._ownership = quota_ownership.Ownership(
            node_id, ports.is_alive, started
        )
        self._customers: dict[str, mesh.Customer] = {}
        self._members = directory.Snapshot()
        self._data_centre = ""
        self._accounts: dict[str, quota_account.Account] = {}
        self._base_calls: dict[str, int] = {}
        self._waiting: dict[str, list[Resolve]] = {}
        self._lenders: dict[str, quota_owner.Lender] = {}
        # Requests to be sent on, by owner and hops.
        self._collected: dict[
            tuple[str, int], list[quota_messages.Request]
        ] = {}
        self._budget = quota_account.Bucket(REQUEST_BURST, started)
        self._is_ask_planned = False
        self._is_ticking = False

    @property
    def tokens_lent(self) -> int:
        """Tokens that this node has lent as an owner and that may be held."""
        return sum(each.outstanding for each in self._lenders.values())

    @property
    def customers_active(self) -> int:
        """Customers with a limit that are at work at this node."""
        return len(self._accounts)

    def set_customers(self, customers: tuple[mesh.Customer, ...]) -> None:
        """Apply the customers of a configuration."""
        self._customers = {
            each.name: each
            for each in customers
            if quota_limits.is_limited(each)
        }
        self._base_calls.clear()
        now = self._ports.now()
        # The others are kept until they are idle: a customer that is added
        # again must not get the tokens twice.
        for name, lender in self._lenders.items():
            if name in self._customers:
                lender.set_terms(self._owner_terms(name), now)
        if self._customers and not self._is_ticking:
            self._is_ticking = True
            self._tick()

    def is_limited(self, name: str) -> bool:
        """Return True if the calls of a customer have a limit."""
        return name in self._customers

    def take(self, name: str, resolve: Resolve) -> None:
        """Take a token of a customer with a limit.

        Args:
            name: The customer.
            resolve: Called once, now or later: with None if the call has a
                token, else with the seconds until a retry may have one.
        """
        now = self._ports.now()
        self._update_members(now)
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = quota_account.Account(now)
        account.note_demand(now)
        waiting = self._waiting.get(name)
        if not waiting and self._spend(name, account, now):
            self._plan_ask(account, 0, now)
            resolve(None)
            return
        retry_s = account.refusal_s(now)
        if retry_s is not None:
            account.note_refused()
            self._plan_ask(account, 0, now)
            resolve(retry_s)
            return
        if not self._relay_of(self._data_centre):
            account.note_refused()
            resolve(NO_OWNER_RETRY_S)
            return
        self._waiting.setdefault(name, []).append(resolve)
        self._ports.call_later(WAIT_S, lambda: self._end_wait(name, resolve))
        self._plan_ask(account, 1, now)

    def preview(self, name: str) -> tuple[bool, float | None]:
        """Return whether a call would get a token now; takes none.

        Args:
            name: A customer with a limit.

        Returns:
            Whether there is a token, and else the seconds until a retry, or
            None if the call would wait for a token.
        """
        now = self._ports.now()
        account = self._accounts.get(name)
        account = (
            quota_account.Account(now)
            if account is None
            else copy.deepcopy(account)
        )
        if not self._waiting.get(name) and account.spend(
            self._count_base_calls(name), self._terms.window_s, now
        ):
            return True, None
        retry_s = account.refusal_s(now)
        if retry_s is None and not self._relay_of(self._data_centre):
            retry_s = NO_OWNER_RETRY_S
        return False, retry_s

    def give_back(self, name: str) -> None:
        """Return the token of a call that has certainly not run."""
        account = self._accounts.get(name)
        if account is not None:
            account.give_back(self._ports.now())

    def handle_message(self, sender: str, message: object) -> None:
        """Handle a message of another node."""
        now = self._ports.now()
        if not self._customers:
            return
        self._update_members(now)
        if isinstance(message, quota_messages.Request):
            self._relay(message, 0, now)
        elif isinstance(message, quota_messages.Requests):
            self._lend_all(message, now)
        elif isinstance(message, quota_messages.Answer):
            self._apply(message, now)
        elif isinstance(message, quota_messages.Answers):
            for answer in message.answers:
                self._deliver(answer, now)
        elif isinstance(message, quota_messages.Reachable):
            self._ownership.merge(sender, message, now)

    def _spend(
        self, name: str, account: quota_account.Account, now: float
    ) -> bool:
        base_calls = self._base_calls.get(name)
        if base_calls is None:
            base_calls = self._base_calls[name] = self._count_base_calls(name)
        return account.spend(base_calls, self._terms.window_s, now)

    def _count_base_calls(self, name: str) -> int:
        customer = self._customers.get(name)
        if customer is None or not self._members.members:
            return 0
        nodes = tuple(self._members.by_node)
        return quota_limits.base_calls(
            customer, self._terms, self._node_id, nodes
        )

    def _owner_terms(self, name: str) -> quota_limits.BucketTerms:
        return quota_limits.owner_terms(self._customers[name], self._terms)

    def _update_members(self, now: float) -> None:
        members = self._ports.members()
        if members is self._members:
            return
        is_changed = members.by_node.keys() != self._members.by_node.keys()
        self._members = members
        if is_changed:
            self._base_calls.clear()
        own = members.by_node.get(self._node_id)
        self._data_centre = own.data_centre if own is not None else ""
        self._ownership.set_candidates(quota_ownership.candidates(members), now)

    # Periodic work.

    def _tick(self) -> None:
        if not self._customers:
            self._is_ticking = False
            self._accounts.clear()
            return
        now = self._ports.now()
        self._update_members(now)
        if self._ownership.is_candidate:
            reachable = self._ownership.observe(now)
            for candidate in self._ownership.candidates:
                if candidate != self._node_id:
                    self._ports.send(candidate, reachable)
        self._drop_idle(now)
        if any(
            account.wants(len(self._waiting.get(name, ())), now)
            for name, account in self._accounts.items()
        ):
            self._send_request()
        self._ports.call_later(TICK_S, self._tick)

    def _drop_idle(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            is_idle = now - account.last_demand_at > IDLE_S
            if is_idle and not self._waiting.get(name):
                del self._accounts[name]
        for name, lender in list(self._lenders.items()):
            if now - lender.used_at > IDLE_S:
                del self._lenders[name]

    # As a node that spends.

    def _plan_ask(
        self, account: quota_account.Account, waiting: int, now: float
    ) -> None:
        """Ask soon if a call waits or expected calls lack tokens."""
        if self._is_ask_planned or not account.wants(waiting, now):
            return
        self._is_ask_planned = True
        self._fill_budget(now)
        missing = max(0.0, 1.0 - self._budget.tokens)
        delay_s = max(COLLECT_S, missing / REQUESTS_PER_S)
        self._ports.call_later(delay_s, self._send_planned)

    def _send_planned(self) -> None:
        self._is_ask_planned = False
        self._send_request()

    def _fill_budget(self, now: float) -> None:
        terms = quota_limits.BucketTerms(REQUESTS_PER_S, REQUEST_BURST)
        self._budget.fill(terms, now)

    def _send_request(self) -> None:
        now = self._ports.now()
        self._fill_budget(now)
        # Rounding of times must not delay a request that was planned.
        if self._budget.tokens < 0.99:
            return
        asks = []
        for name, account in self._accounts.items():
            waiting = len(self._waiting.get(name, ()))
            if account.wants(waiting, now):
                asks.append(account.ask(name, waiting, now))
        if not asks:
            return
        self._budget.tokens -= 1.0
        request = quota_messages.Request(
            self._node_id, self._epoch, now, tuple(asks)
        )
        relay = self._relay_of(self._data_centre)
        if relay == self._node_id:
            self._relay(request, 0, now)
        elif relay:
            self._ports.send(relay, request)

    def _relay_of(self, data_centre: str) -> str:
        """Return the first relay of a data centre that can be reached."""
        count = quota_ownership.CANDIDATES_OF_ONE_DATA_CENTRE
        for node_id in topology.relays(self._members, data_centre, count):
            if node_id == self._node_id or self._ports.is_alive(node_id):
                return node_id
        return ""

    def _apply(self, answer: quota_messages.Answer, now: float) -> None:
        if answer.epoch != self._epoch:
            return
        for loan in answer.loans:
            account = self._accounts.get(loan.customer)
            if account is None:
                continue
            account.add(answer.owner, answer.sent_s, loan, now)
            self._serve_waiting(loan.customer, account, now)

    def _serve_waiting(
        self, name: str, account: quota_account.Account, now: float
    ) -> None:
        waiting = self._waiting.get(name, [])
        while waiting and self._spend(name, account, now):
            waiting.pop(0)(None)
        retry_s = account.refusal_s(now)
        if retry_s is not None:
            while waiting:
                account.note_refused()
                waiting.pop(0)(retry_s)
        if not waiting:
            self._waiting.pop(name, None)

    def _end_wait(self, name: str, resolve: Resolve) -> None:
        waiting = self._waiting.get(name, [])
        if resolve not in waiting:
            return
        waiting.remove(resolve)
        if not waiting:
            self._waiting.pop(name, None)
        account = self._accounts.get(name)
        if account is None or name not in self._customers:
            # The limit was removed while the call waited.
            resolve(None)
            return
        now = self._ports.now()
        account.note_unanswered(now)
        account.note_refused()
        decisions.failure(
            logger,
            "quota_unanswered",
            "quotas: no owner answered",
            customer=name,
            owner=self._ownership.owner(name, now),
            relay=self._relay_of(self._data_centre),
        )
        resolve(NO_OWNER_RETRY_S)

    # As a relay.

    def _relay(
        self, request: quota_messages.Request, hops: int, now: float
    ) -> None:
        """Divide a request by the owners of its customers and send it on."""
        by_owner: dict[str, list[quota_messages.Ask]] = {}
        for ask in request.asks:
            owner = self._ownership.owner(ask.customer, now)
            by_owner.setdefault(owner, []).append(ask)
        for owner, asks in by_owner.items():
            part = dataclasses.replace(request, asks=tuple(asks))
            if owner and owner != self._node_id and self._ports.is_alive(owner):
                if not self._collected:
                    self._ports.call_later(
                        RELAY_COLLECT_S, self._send_collected
                    )
                self._collected.setdefault((owner, hops), []).append(part)
                continue
            # Without an owner that can be reached the answer lends nothing.
            answer = self._lend(part, now)
            if answer is not None:
                self._send_answers([answer], now)

    def _send_collected(self) -> None:
        collected, self._collected = self._collected, {}
        for (owner, hops), requests in collected.items():
            message = quota_messages.Requests(tuple(requests), hops)
            self._ports.send(owner, message)

    def _send_answers(
        self, answers: list[quota_messages.Answer], now: float
    ) -> None:
        by_relay: dict[str, list[quota_messages.Answer]] = {}
        for answer in answers:
            if answer.node_id == self._node_id:
                self._apply(answer, now)
                continue
            if self._ports.is_alive(answer.node_id):
                self._ports.send(answer.node_id, answer)
                continue
            member = self._members.by_node.get(answer.node_id)
            if member is not None:
                relay = self._relay_of(member.data_centre)
                by_relay.setdefault(relay, []).append(answer)
        for relay, group in by_relay.items():
            if relay and relay != self._node_id:
                self._ports.send(relay, quota_messages.Answers(tuple(group)))

    def _deliver(self, answer: quota_messages.Answer, now: float) -> None:
        if answer.node_id == self._node_id:
            self._apply(answer, now)
        else:
            self._ports.send(answer.node_id, answer)

    # As an owner.

    def _lend_all(self, message: quota_messages.Requests, now: float) -> None:
        answers = []
        for request in message.requests:
            owned = []
            for ask in request.asks:
                owner = self._ownership.owner(ask.customer, now)
                if owner == self._node_id:
                    owned.append(ask)
                elif message.hops < _MAX_HOPS:
                    part = dataclasses.replace(request, asks=(ask,))
                    self._relay(part, message.hops + 1, now)
            part = dataclasses.replace(request, asks=tuple(owned))
            answer = self._lend(part, now) if owned else None
            if answer is not None:
                answers.append(answer)
        self._send_answers(answers, now)

    def _lend(
        self, request: quota_messages.Request, now: float
    ) -> quota_messages.Answer | None:
        loans = []
        for ask in request.asks:
            lender, wait_s = self._lender(ask.customer, now)
            if lender is None:
                loan = quota_messages.Loan(ask.customer, 0, 0, wait_s)
            else:
                loan = lender.lend(request, ask, now)
            if loan is not None:
                loans.append(loan)
        if not loans:
            return None
        return quota_messages.Answer(
            self._node_id,
            request.node_id,
            request.epoch,
            request.sent_s,
            tuple(loans),
        )

    def _lender(
        self, name: str, now: float
    ) -> tuple[quota_owner.Lender | None, float]:
        """Return the tokens of a customer, or None if they can't be lent.

        The second value is the time in seconds until they may be lent.
        """
        tenure = self._ownership.tenure(name, now)
        if tenure is None or name not in self._customers:
            return None, NO_OWNER_RETRY_S
        if now < tenure.lends_at:
            return None, tenure.lends_at - now
        lender = self._lenders.get(name)
        # Another owner may have lent since this node did last.
        if lender is None or tenure.since > lender.used_at:
            lender = quota_owner.Lender(
                self._node_id,
                self._owner_terms(name),
                now - tenure.since,
                now,
            )
            self._lenders[name] = lender
        return lender, 0.0
