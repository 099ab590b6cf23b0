"""Decisions on the memory for buffers; times are passed in."""

from trefoilwind.gateway import buffer_account

_MB = 1_000_000
_Verdict = buffer_account.Verdict
_TERMS = buffer_account.Terms(
    large_bytes=10 * _MB,
    reserve_bytes=_MB,
    max_waiting=3,
    max_connections=10,
)


class _World:
    """An account and the decisions on its shares."""

    def __init__(self):
        self.account = buffer_account.BufferAccount(_TERMS)
        self.settled: list[tuple[str, buffer_account.Verdict]] = []

    def arrive(self, name: str, total: int, now: float = 0.0):
        """Return a share that arrives, and the first decision on it."""
        share = buffer_account.Share(
            lambda verdict: self.settled.append((name, verdict))
        )
        share.begin(now)
        return share, self.account.request(share, total, now)


def test_small_request_has_room_while_large_ones_wait():
    world = _World()
    assert world.arrive("a", 10 * _MB)[1] is _Verdict.GRANTED
    assert world.arrive("b", 5 * _MB)[1] is _Verdict.WAITING
    for _ in range(10):
        assert world.arrive("c", 60_000)[1] is _Verdict.GRANTED


def test_stalled_body_gives_its_room_to_one_that_waits():
    """Bodies that stop one byte short stayed in memory for 15 s."""
    world = _World()
    stalled, _ = world.arrive("stalled", 6 * _MB)
    steady, _ = world.arrive("steady", 4 * _MB)
    world.arrive("waiting", 5 * _MB)
    stalled.advance(6 * _MB - 1, 0.1)
    steady.advance(3 * _MB, 0.9)
    world.account.check(1.0)
    assert world.settled == [
        ("stalled", _Verdict.TOO_SLOW),
        ("waiting", _Verdict.GRANTED),
    ]


def test_stalled_small_request_stays_unless_small_ones_wait():
    world = _World()
    world.arrive("upload", 60_000)
    world.arrive("large", 9 * _MB)[0].advance(9 * _MB, 0.9)
    world.arrive("other", 5 * _MB)
    world.account.check(1.0)
    assert not world.settled
    while world.arrive("more", 60_000, 1.0)[1] is _Verdict.GRANTED:
        pass
    world.account.check(1.1)
    assert world.settled[0] == ("upload", _Verdict.TOO_SLOW)
    assert ("more", _Verdict.GRANTED) in world.settled


def test_stalled_body_stays_while_there_is_room():
    world = _World()
    world.arrive("a", 9 * _MB)[0].advance(_MB, 1.0)
    world.account.check(9.0)
    assert not world.settled


def test_body_that_trickles_is_refused_without_a_shortage():
    world = _World()
    share, _ = world.arrive("a", _MB)
    for second in range(60):
        share.advance(100, float(second))
        world.account.check(float(second))
    assert world.settled == [("a", _Verdict.TOO_SLOW)]
    assert not world.account.used_bytes


def test_upload_of_60_kb_on_a_thin_link_is_not_too_slow():
    """A link of 5 Mbit/s that ten callers share, while others wait."""
    world = _World()
    world.arrive("large", 10 * _MB)[0].advance(10 * _MB, 0.9)
    world.arrive("waiting", 5 * _MB)
    share, _ = world.arrive("upload", 60_000)
    for step in range(1, 5):
        share.advance(15_000, 0.25 * step)
        world.account.check(0.25 * step)
    assert "upload" not in dict(world.settled)


def test_bodies_of_unknown_length_that_all_wait_do_not_block_each_other():
    """Each holds a part and waits for the others' parts."""
    world = _World()
    first, _ = world.arrive("first", 6 * _MB)
    second, _ = world.arrive("second", 4 * _MB)
    first.advance(6 * _MB, 0.1)
    second.advance(4 * _MB, 0.1)
    for share in (first, second):
        verdict = world.account.request(share, share.reserved + _MB, 0.1)
        assert verdict is _Verdict.WAITING
    world.account.check(0.2)
    assert world.settled == [
        ("second", _Verdict.NO_ROOM),
        ("first", _Verdict.GRANTED),
    ]


def test_part_of_a_body_stays_while_a_running_request_will_free_room():
    world = _World()
    running, _ = world.arrive("running", 6 * _MB)
    running.is_arriving = False
    part, _ = world.arrive("part", 4 * _MB)
    part.advance(4 * _MB, 0.1)
    world.account.request(part, 5 * _MB, 0.1)
    world.account.check(0.9)
    assert not world.settled
    world.account.release(running, 1.0)
    assert world.settled == [("part", _Verdict.GRANTED)]


def test_request_that_waits_for_long_is_refused():
    world = _World()
    busy, _ = world.arrive("busy", 10 * _MB)
    busy.is_arriving = False
    world.arrive("waiting", _MB)
    world.account.check(buffer_account.MAX_WAIT_S)
    assert world.settled == [("waiting", _Verdict.NO_ROOM)]


def test_waiting_requests_are_bounded_and_impossible_ones_are_refused():
    """Each waiting connection holds what the event loop read at once."""
    world = _World()
    assert world.arrive("huge", 11 * _MB)[1] is _Verdict.NO_ROOM
    world.arrive("a", 10 * _MB)
    for _ in range(_TERMS.max_waiting):
        assert world.arrive("b", _MB)[1] is _Verdict.WAITING
    assert world.arrive("c", _MB)[1] is _Verdict.NO_ROOM
    assert not world.settled
    assert world.arrive("smaller", 200_000)[1] is _Verdict.WAITING
    assert world.settled == [("b", _Verdict.NO_ROOM)]


def test_time_of_a_pause_does_not_count_as_slowness():
    world = _World()
    first, _ = world.arrive("first", 10 * _MB)
    second, _ = world.arrive("second", _MB)
    world.account.release(first, 9.0)
    assert world.settled == [("second", _Verdict.GRANTED)]
    assert second.started == 9.0


def test_unread_answers_are_closed_when_memory_is_short():
    world = _World()
    share, _ = world.arrive("answer", 0)
    share.is_answer = True
    world.account.resize(share, 12 * _MB, 0.0)
    world.account.check(1.0)
    assert world.settled == [("answer", _Verdict.UNREAD)]


def test_single_body_of_the_default_limit_fits_from_200_mb_on():
    for memory_mb in (200, 300, 552):
        terms = buffer_account.terms(memory_mb * _MB, 4100)
        assert terms.large_bytes > 64 * 1024 * 1024
    for memory_mb in (128, 200, 300, 552):
        terms = buffer_account.terms(memory_mb * _MB, 4100)
        peak = 2 * terms.large_bytes + terms.reserve_bytes
        assert buffer_account.BASE_BYTES + peak <= memory_mb * _MB
