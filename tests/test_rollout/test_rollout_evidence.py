"""Evidence merges to the same counters in any order."""

import hypothesis
from hypothesis import strategies

from trefoilwind import codec
from trefoilwind.rollout import evidence
from trefoilwind.rollout import messages

_counts = strategies.integers(0, 50)
_counters = strategies.builds(
    evidence.Counter,
    failures=_counts,
    untimed=_counts,
    buckets=strategies.tuples(*[_counts] * len(evidence.NO_CALLS)),
)
_keys = strategies.builds(
    evidence.Key,
    move_id=strategies.sampled_from(["m1", "m2"]),
    route=strategies.sampled_from(
        [evidence.RouteKey("/", "lookup"), evidence.RouteKey("/x", "order")]
    ),
    data_centre=strategies.sampled_from(["a", "b"]),
    entry=strategies.sampled_from(["", "n1@1", "n1@2", "n2@1"]),
    arm=strategies.sampled_from(list(evidence.Arm)),
    target=strategies.sampled_from(["", "t1", "t2"]),
)
_entries = strategies.lists(
    strategies.builds(evidence.Entry, _keys, _counters), max_size=12
)


@hypothesis.given(_counters, _counters, _counters)
def test_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert a.merge(b) == b.merge(a)
    assert a.merge(b).merge(c) == a.merge(b.merge(c))
    assert a.merge(a) == a
    assert a.merge(b).merge(b) == a.merge(b)


@hypothesis.given(_entries, strategies.randoms(use_true_random=False))
def test_fuzz_ledgers_agree_for_any_order_and_repeats(entries, rng):
    first, second = evidence.Ledger(), evidence.Ledger()
    first.merge(entries)
    shuffled = entries + entries
    rng.shuffle(shuffled)
    for entry in shuffled:
        second.merge((entry,))
    for move_id in ("m1", "m2"):
        assert first.view(move_id) == second.view(move_id)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["n1@1", "n2@1", "n2@2"]),
            strategies.sampled_from([0, 1]),
            strategies.integers(0, 5),
        ),
        max_size=30,
    )
)
def test_a_change_of_aggregator_counts_nothing_twice(steps):
    truth = 0
    nodes = {e: evidence.Ledger() for e in ("n1@1", "n2@1", "n2@2")}
    aggregators = [evidence.Ledger(), evidence.Ledger()]
    reader = evidence.Ledger()
    for entry, aggregator, failures in steps:
        key = evidence.Key(
            "m", evidence.RouteKey("/", "c"), "a", entry, evidence.Arm.NEW, "t"
        )
        truth += failures
        nodes[entry].add(key, evidence.Counter(failures))
        chosen = aggregators[aggregator]
        chosen.merge(nodes[entry].changed_since(0))
        chosen.aggregate("a")
        reader.merge(e for e in chosen.changed_since(0) if not e.key.entry)
        assert sum(c.failures for c in reader.view("m").values()) <= truth
    for ledger in nodes.values():
        aggregators[1].merge(ledger.changed_since(0))
    aggregators[1].aggregate("a")
    reader.merge(e for e in aggregators[1].changed_since(0) if not e.key.entry)
    assert sum(c.failures for c in reader.view("m").values()) == truth


@hypothesis.given(_entries)
def test_messages_carry_counters_unchanged(entries):
    update = codec.decode(codec.encode(messages.pack(entries)), "test")
    assert messages.unpack(update) == entries


def test_malformed_rows_are_dropped():
    good = messages.Row(0, 0, 0, 0, 0, 0, 0, 1, 0, 0, ())
    bad = (
        messages.Row(1, 0, 0, 0, 0, 0, 0, 1, 0, 0, ()),
        messages.Row(0, 0, 0, 0, 0, 0, 7, 1, 0, 0, ()),
        messages.Row(0, 0, 0, 0, 0, 0, 0, -1, 0, 0, ()),
        messages.Row(0, 0, 0, 0, 0, 0, 0, 1, 0, 12, (1, 1)),
    )
    update = messages.EvidenceUpdate(("x",), (*bad, good))
    assert len(messages.unpack(update)) == 1
