"""Leases expire exactly when a scan of all deadlines finds them expired."""

import hypothesis
from hypothesis import strategies as st

from trefoilwind.membership import leases
from trefoilwind.model import addresses
from trefoilwind.model import members

_OWN = "n0"
_steps = st.lists(
    st.tuples(
        st.sampled_from(("put", "renew", "wait")),
        st.integers(0, 4),
        st.integers(0, 20),
    ),
    max_size=40,
)


def _member(node_id: str) -> members.Member:
    return members.Member(node_id, 1, 0, "perth-a", addresses.Address())


@hypothesis.given(_steps)
@hypothesis.example([("put", 1, 9), ("renew", 1, 3), ("wait", 0, 4)])
def test_expiry_agrees_with_a_scan(steps):
    table = leases.LeaseTable()
    deadlines: dict[str, int] = {}
    now = 0
    for action, index, amount in steps:
        node_id = f"n{index}"
        if action == "put":
            table.put(_member(node_id), 0, now + amount)
            deadlines[node_id] = now + amount
        elif action == "renew" and node_id in deadlines:
            table.renew(table.leases[node_id], 1, now + amount)
            deadlines[node_id] = now + amount
        elif action == "wait":
            now += amount
        expired = {n for n, d in deadlines.items() if d <= now and n != _OWN}
        assert set(table.expire(now, _OWN)) == expired
        for node_id in expired:
            del deadlines[node_id]
        assert set(table.leases) == set(deadlines)
