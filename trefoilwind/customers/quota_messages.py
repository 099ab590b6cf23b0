"""Control messages of quotas; times are those of the sender's own clock.

A receiver never interprets a time of another clock: it only returns it, so that
the one who sent it can tell how old the exchange is.
"""

import dataclasses

from trefoilwind import codec


@dataclasses.dataclass(frozen=True)
class Ask:
    """Tokens that a node holds of one customer and asks for.

    Attributes:
        customer: Name of the customer.
        held: Tokens that the node holds.
        needed: Tokens for requests that wait or were refused just now.
        ahead: Tokens for requests that are expected until the next exchange.
        owner: Owner of the newest loan; empty for none.
        seen: Number of that loan.
        voided: Tokens of that owner that have ended or were given up unspent,
            since its first loan to this process.
    """

    customer: str
    held: int
    needed: int
    ahead: int
    owner: str
    seen: int
    voided: int


@codec.message("quota.request")
@dataclasses.dataclass(frozen=True)
class Request:
    """What a node holds and asks for; goes to a relay of its data centre.

    Attributes:
        node_id: The node that asks.
        epoch: Start of its process; loans to an earlier one are void.
        sent_s: Time of the request on the node's clock in seconds.
        asks: One for each customer at work there.
    """

    node_id: str
    epoch: int
    sent_s: float
    asks: tuple[Ask, ...]


@codec.message("quota.requests")
@dataclasses.dataclass(frozen=True)
class Requests:
    """Requests of the nodes of a data centre, from their relay to an owner.

    Attributes:
        requests: The requests.
        hops: Times that they were sent on after the first relay.
    """

    requests: tuple[Request, ...]
    hops: int = 0


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens of one customer for one node.

    Attributes:
        customer: Name of the customer.
        tokens: Tokens lent by this answer.
        number: Number of the loan; grows with each loan of an owner to a
            process of a node.
        wait_s: Seconds until a token is expected for what was needed and is
            not lent; 0 if all of it is lent.
    """

    customer: str
    tokens: int
    number: int
    wait_s: float


@codec.message("quota.answer")
@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of an owner to a request.

    Attributes:
        owner: The owner that lends.
        node_id: The node that asked.
        epoch: `Request.epoch`.
        sent_s: `Request.sent_s`; the tokens end `quota_account.LOAN_S` later.
        loans: One for each ask.
    """

    owner: str
    node_id: str
    epoch: int
    sent_s: float
    loans: tuple[Loan, ...]


@codec.message("quota.answers")
@dataclasses.dataclass(frozen=True)
class Answers:
    """Answers of an owner for nodes of a data centre, to their relay."""

    answers: tuple[Answer, ...]


@codec.message("quota.reachable")
@dataclasses.dataclass(frozen=True)
class Reachable:
    """Candidates that the sender, a candidate itself, has heard recently.

    Attributes:
        nodes: Their ids.
    """

    nodes: tuple[str, ...]


MESSAGES = (Request, Requests, Answer, Answers, Reachable)
