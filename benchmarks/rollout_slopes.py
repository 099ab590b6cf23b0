"""Marginal costs of moves: `python -m benchmarks.rollout_slopes`.

Prints the bytes of one row of evidence, and the processor time of counting a
call, merging a row, and evaluating a move.
"""

from collections.abc import Callable
import time

from trefoilwind import codec
from trefoilwind.model import moves
from trefoilwind.proxy import calls
from trefoilwind.rollout import evidence
from trefoilwind.rollout import messages
from trefoilwind.rollout import observer as observer_lib
from trefoilwind.rollout import watch as watch_lib

_ROUTES = ("/", "/status", "/orders", "/uploads")
_SECONDS = 120
_REPEATS = 2000


def _key(route: int, data_centre: int, target: int) -> evidence.Key:
    """Return a key; target 0 stands for the old arm."""
    return evidence.Key(
        "operator/move-2026-12-04",
        evidence.RouteKey(_ROUTES[route], "lookup"),
        f"perth-{data_centre}",
        "",
        evidence.Arm.NEW if target else evidence.Arm.OLD,
        f"perth-a-catalogue-{target}" if target else "",
    )


def _counter(scale: int) -> evidence.Counter:
    buckets = [0] * len(evidence.NO_CALLS)
    buckets[1:5] = [40 * scale, 300 * scale, 90 * scale, 4 * scale]
    return evidence.Counter(scale, 30, tuple(buckets))


def _entries(targets: int) -> list[evidence.Entry]:
    return [
        evidence.Entry(_key(route, data_centre, target), _counter(50))
        for route in range(len(_ROUTES))
        for data_centre in range(4)
        for target in range(targets + 1)
    ]


def _seconds(action: Callable[[], None]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


def _bytes_per_row() -> float:
    small, large = _entries(2), _entries(10)
    sizes = [len(codec.encode(messages.pack(e))) for e in (small, large)]
    return (sizes[1] - sizes[0]) / (len(large) - len(small))


def _count_s() -> float:
    ledger = evidence.Ledger()
    origin = observer_lib.CounterOrigin("perth-a", "n@1")
    observer = observer_lib.Observer(ledger, lambda: origin)
    observation = calls.Observation(
        "m", "s", "", "/", "lookup", "v1", "n2", 0.003, False
    )

    def count() -> None:
        for _ in range(_REPEATS):
            observer.observe(observation)
        observer.count(0.0)

    return _seconds(count) / _REPEATS


def _merge_s() -> float:
    data = codec.encode(messages.pack(_entries(10)))
    ledger = evidence.Ledger()

    def merge() -> None:
        for _ in range(10):
            ledger.merge(messages.unpack(codec.decode(data, "bench")))

    return _seconds(merge) / 10 / len(_entries(10))


def _judge_s(targets: int) -> float:
    """Return the mean time of an update in a move with constant traffic."""
    move = moves.Move("m", "s", "v2", "v1", 300.0, 0.0)
    watch = watch_lib.MoveWatch(move, 0.0)
    routes = [
        watch_lib.RouteClass(evidence.RouteKey(r, "lookup"), True)
        for r in _ROUTES
    ]
    views = [
        {e.key: _counter(second + 1) for e in _entries(targets)}
        for second in range(_SECONDS)
    ]

    def judge() -> None:
        for second, cells in enumerate(views):
            watch.update(float(second), cells, routes, targets)

    return _seconds(judge) / _SECONDS


def main() -> None:
    """Print the marginal costs."""
    print(f"bytes of a row: {_bytes_per_row():.1f}")
    print(f"counting a call: {_count_s() * 1e6:.1f} us")
    print(f"merging a row: {_merge_s() * 1e6:.1f} us")
    for targets in (4, 7, 35, 70):
        rows = len(_entries(targets))
        print(
            f"evaluating, {targets} new servers, {rows} cells: "
            f"{_judge_s(targets) * 1e3:.2f} ms"
        )


if __name__ == "__main__":
    main()
