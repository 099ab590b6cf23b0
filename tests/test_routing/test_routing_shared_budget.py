"""The retries of all nodes together stay under the bound."""

import random

from trefoilwind.routing import shared_budget

_TERMS = shared_budget.BudgetTerms(ratio=0.2, window_s=10.0, extra=58.0)


def test_all_nodes_together_stay_under_the_bound():
    rng = random.Random(1)
    nodes = [shared_budget.SharedBudget(_TERMS) for _ in range(11)]
    firsts: list[float] = []
    granted: list[float] = []
    for step in range(6000):
        now = step * 0.01
        node = rng.choice(nodes)
        node.record_first_attempt("s", now)
        firsts.append(now)
        if node.grant("s", len(nodes), now):
            granted.append(now)
    for start in range(0, 50, 5):
        window = (start, start + 10.0)
        retries = sum(window[0] <= t < window[1] for t in granted)
        requests = sum(window[0] <= t < window[1] for t in firsts)
        assert retries <= 0.2 * requests + 58


def test_budget_is_per_service_and_recovers():
    budget = shared_budget.SharedBudget(_TERMS)
    while budget.grant("s", 11, 0.0):
        pass
    assert budget.grant("other", 11, 0.0)
    assert not budget.grant("s", 11, 9.0)
    assert budget.grant("s", 11, 11.0)
