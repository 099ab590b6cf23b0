"""Shares of slots by customer and kind."""

from trefoilwind.routing import fair_share


def _served(requests: dict[str, int]) -> fair_share.FairShare:
    shares = fair_share.FairShare()
    for party, count in requests.items():
        for _ in range(count):
            shares.record_asked(party, 0.0)
            shares.record_started(party, 0.1, 0.0)
    return shares


def test_a_customer_above_its_share_is_not_treated_like_the_others():
    shares = _served({"large": 75, "a": 10, "b": 10})
    assert shares.share_factor("large", 0.0) < 1.0
    assert shares.share_factor("large", 0.0) >= fair_share.MIN_FACTOR
    assert shares.share_factor("a", 0.0) == 1.0
    assert shares.share_factor("unknown", 0.0) == 1.0


def test_the_only_customer_is_not_charged_for_its_own_load():
    assert _served({"only": 100}).share_factor("only", 0.0) == 1.0


def test_a_past_burst_does_not_count_for_long():
    shares = _served({"large": 75, "a": 10, "b": 10})
    later = 20 * fair_share.HALF_LIFE_S
    assert shares.share_factor("large", later) == 1.0


def test_a_kind_that_is_hardly_ever_started_does_not_starve():
    shares = _served({"short": 50})
    for _ in range(20):
        shares.record_asked("long", 0.0)
    assert shares.floor_factor("long", 0.0) == fair_share.FLOOR_FACTOR
    assert shares.floor_factor("short", 0.0) == 1.0


def test_state_is_bounded_with_many_customers():
    shares = fair_share.FairShare()
    for number in range(5000):
        shares.record_asked(f"c{number}", 0.0)
    assert len(shares) <= fair_share.MAX_TRACKED
