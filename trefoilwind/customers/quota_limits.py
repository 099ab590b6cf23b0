"""Division of a customer's limit into what an owner lends and base shares.

Answers the upper bound over all nodes: in a window of W seconds at most
(rate x W + burst) x (1 + overage) + slack calls. The owner's bucket, filled at
the rate and of size B, lets rate x W + B calls pass in any window, wherever its
tokens are. The base shares are numbers of calls in each window. They are whole
numbers, as a share below one call is of no use.

The calls by which the rate may be exceeded in a window are divided: 0.4 of them
enlarge the owner's bucket, as tokens that are spent and not yet reported occupy
it; 0.3 are for the base shares; 0.3 cover calls that were sent up to a quarter
of a second before they took their token.
"""

import dataclasses

from trefoilwind.distribution import topology
from trefoilwind.model import mesh

# Parts of the calls by which the rate may be exceeded in a window.
OWNER_OVERAGE = 0.4
BASE_OVERAGE = 0.3
# Parts of the overage of the burst, and of the slack; a tenth of the slack
# remains for clocks that differ in speed and for rounding.
SIZE_OVERAGE = 0.5
OWNER_SLACK = 0.4
BASE_SLACK = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class BucketTerms:
    """Terms of a token bucket.

    Attributes:
        rate_per_s: Tokens added each second.
        size: Largest number of tokens.
    """

    rate_per_s: float
    size: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Share and number of calls by which a limit may be exceeded.

    Attributes:
        overage: Share of the limit.
        slack: Calls in addition.
        window_s: Seconds over which the calls are counted.
    """

    overage: float = 0.1
    slack: float = 20.0
    window_s: float = 5.0


def is_limited(customer: mesh.Customer) -> bool:
    """Return True if the calls of a customer have a limit."""
    return customer.rate_per_s > 0.0


def owner_terms(customer: mesh.Customer, terms: QuotaTerms) -> BucketTerms:
    """Return the terms of all tokens that the owner lends together."""
    exceeding = customer.rate_per_s * terms.window_s * terms.overage
    return BucketTerms(
        customer.rate_per_s,
        customer.burst * (1.0 + SIZE_OVERAGE * terms.overage)
        + OWNER_OVERAGE * exceeding
        + OWNER_SLACK * terms.slack,
    )


def base_calls(
    customer: mesh.Customer,
    terms: QuotaTerms,
    node_id: str,
    node_ids: tuple[str, ...],
) -> int:
    """Return the calls in a window that a node may run without a loan.

    Args:
        customer: The customer.
        terms: Terms of all quotas.
        node_id: The node.
        node_ids: All known nodes, this one included.
    """
    exceeding = customer.rate_per_s * terms.window_s * terms.overage
    total = int(
        customer.burst * SIZE_OVERAGE * terms.overage
        + BASE_OVERAGE * exceeding
        + BASE_SLACK * terms.slack
    )
    count = max(1, len(node_ids))
    share, rest = divmod(total, count)
    if rest and _place(customer.name, node_id, node_ids) < rest:
        share += 1
    return share


def _place(name: str, node_id: str, node_ids: tuple[str, ...]) -> int:
    """Return the place of a node in a customer's ranking of the nodes."""
    key = f"quota-base/{name}"
    own = topology.rank(key, node_id)
    return sum(topology.rank(key, each) > own for each in node_ids)
