"""Large answers that would cross regions as if they were small."""

from trefoilwind.routing import answer_sizes
from trefoilwind.routing import placement


def test_large_answers_cross_regions_for_a_short_wait():
    sizes = answer_sizes.AnswerSizes()
    for _ in range(20):
        sizes.record("list", 80_000)
        sizes.record("ping", 50)
    busy = placement.Candidate(
        "busy", placement.Distance.DATA_CENTRE, 3, 6.0, 0.16
    )
    far = placement.Candidate(
        "far", placement.Distance.OTHER_REGION, 3, 0.0, 0.16
    )
    pair = (busy, far)
    assert placement.choose(pair, sizes.expected_bytes("list")) is busy
    assert placement.choose(pair, sizes.expected_bytes("ping")) is far
    assert sizes.expected_bytes("unknown") == 0


def test_state_grows_with_each_name_of_a_route():
    sizes = answer_sizes.AnswerSizes()
    for number in range(3 * answer_sizes.MAX_ROUTES):
        sizes.record(f"r{number}", 10)
    assert sizes.expected_bytes("r0") == 0
    assert len(sizes._mean_bytes) == answer_sizes.MAX_ROUTES
