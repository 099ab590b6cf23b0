"""Cost of the routing decisions, memory of idle keys, goodput under load.

Run: python -m benchmarks.routing_decisions
"""

import random
import statistics
import time
import tracemalloc

from benchmarks import overload_model
from trefoilwind.model import addresses
from trefoilwind.model import members as members_lib
from trefoilwind.routing import admission
from trefoilwind.routing import key_messages
from trefoilwind.routing import key_placement
from trefoilwind.routing import key_store
from trefoilwind.routing import pick

_ROUNDS = 7
_CALLS_PER_ROUND = 20_000
_KEY_COUNT = 10_000
_MEMBER_COUNT = 34
_NODE_COUNT = 5_500
_DATA_CENTRE_COUNT = 14
_LOAD_SECONDS = 10.0


def main() -> None:
    """Run the benchmarks and print the results."""
    _print_cost("pick of 34 members", _make_pick())
    _print_cost("admission and end", _make_admission())
    _print_cost("claim of a key", _make_claim())
    _print_placement()
    _print_memory()
    _print_goodput()


def _print_cost(name: str, function) -> None:
    times_us = []
    for _ in range(_ROUNDS):
        start = time.perf_counter()
        for _ in range(_CALLS_PER_ROUND):
            function()
        elapsed_s = time.perf_counter() - start
        times_us.append(elapsed_s / _CALLS_PER_ROUND * 1e6)
    median_us = statistics.median(times_us)
    spread = f"{min(times_us):.2f} to {max(times_us):.2f}"
    print(f"{name}: {median_us:.2f} us ({spread})")


def _make_pick():
    members = tuple(
        members_lib.Member(f"n{i}", 1, 1, "a", addresses.Address())
        for i in range(_MEMBER_COUNT)
    )
    tier = pick.Tier(members, tuple(float(i + 1) for i in range(_MEMBER_COUNT)))
    pool = pick.Pool(tier, pick.Tier(), 1.0)
    loads = pick.LoadTracker()
    rng = random.Random(1)

    def run() -> None:
        member = pick.choose_member(
            pool,
            lambda n: loads.load(n).saturated_until <= 0.0,
            lambda n: loads.cost(n, 0.0),
            rng,
        )
        loads.started(member.node_id)
        loads.ended(member.node_id, 0.005, False, 0.0)

    return run


def _make_admission():
    state = admission.Admission(20)

    def run() -> None:
        ticket = admission.Ticket("lookup", 1, 10.0, lambda verdict: None)
        state.submit(ticket, 1.0)
        state.ended(ticket, 0.005, False, 1.0)

    return run


def _claim(number: int) -> key_messages.KeyClaim:
    return key_messages.KeyClaim(
        f"booking\0order-{number:012d}",
        f"{number:032x}",
        f"tanta-booking-1/1700000000000/{number}",
        1,
        12.0,
        600.0,
    )


def _make_claim():
    store = key_store.KeyStore(max_keys=10_000_000)
    numbers = iter(range(10_000_000))
    return lambda: store.claim(_claim(next(numbers)), 1.0)


def _print_placement() -> None:
    members = tuple(
        key_placement.Keeper(f"n{i}", 1, f"dc-{i % _DATA_CENTRE_COUNT}")
        for i in range(_NODE_COUNT)
    )
    start = time.perf_counter()
    view = key_placement.View(members)
    build_ms = (time.perf_counter() - start) * 1e3
    start = time.perf_counter()
    for partition in range(key_placement.PARTITIONS):
        view.keepers(partition)
    each_ms = (time.perf_counter() - start) * 1e3 / key_placement.PARTITIONS
    print(
        f"keepers among {_NODE_COUNT} nodes: view {build_ms:.2f} ms, "
        f"first use of a partition {each_ms:.2f} ms"
    )


def _print_memory() -> None:
    tracemalloc.start()
    store = key_store.KeyStore()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(_KEY_COUNT):
        store.claim(_claim(number), 1.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"{_KEY_COUNT} idle keys: {(after - before) / 1e6:.2f} MB, "
        f"{(after - before) / _KEY_COUNT:.0f} bytes per key"
    )


def _print_goodput() -> None:
    offered_per_s = overload_model.CAPACITY_PER_S
    for load in (1.0, 2.0, 4.0):
        parts = []
        for has_limits in (False, True):
            model = overload_model.Model(1, has_limits)
            counts = model.run(load, _LOAD_SECONDS)
            share = counts.goodput / (offered_per_s * _LOAD_SECONDS)
            by_class = ", ".join(
                f"{c.name} {counts.share(c.name):.2f}"
                for c in overload_model.CLASSES
            )
            name = "limits" if has_limits else "no limits, random pick"
            parts.append(f"{name}: {share:.2f} of capacity ({by_class})")
        print(f"load {load:.0f}x: " + "; ".join(parts))


if __name__ == "__main__":
    main()
