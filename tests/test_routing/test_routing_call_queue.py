"""Queue in front of a backend server, on a virtual clock."""

import dataclasses
import heapq
import random

from trefoilwind.routing import call_queue


def _ticket(number: int, **changes) -> call_queue.Ticket:
    ticket = call_queue.Ticket(number, "r", 1, False, 10.0, 20.0)
    return dataclasses.replace(ticket, **changes)


def _warmed_up(slots: int, held_s: float) -> call_queue.CallQueue:
    """Return an idle queue that has measured the service time of calls."""
    queue = call_queue.CallQueue(slots)
    for number in range(100):
        ticket = _ticket(-number)
        assert isinstance(queue.submit(ticket, 0.0), call_queue.Started)
        queue.release(ticket, held_s, 0.0)
    return queue


def test_free_slots_start_calls_at_once():
    queue = call_queue.CallQueue(2)
    assert isinstance(queue.submit(_ticket(1), 0.0), call_queue.Started)
    assert isinstance(queue.submit(_ticket(2), 0.0), call_queue.Started)
    assert isinstance(queue.submit(_ticket(3), 0.0), call_queue.Queued)
    assert queue.occupied == 3


def test_nested_calls_go_first_then_rank_then_arrival():
    queue = call_queue.CallQueue(1)
    queue.submit(_ticket(1), 0.0)
    last = _ticket(2, rank=2)
    first = _ticket(3, rank=1)
    second = _ticket(4, rank=1)
    nested = _ticket(5, rank=3, is_nested=True)
    for ticket in (last, second, first, nested):
        queue.submit(ticket, 0.0)
    order = []
    for _ in range(4):
        order += queue.release(_ticket(1), 0.01, 0.0).started
    assert order == [nested, first, second, last]


def test_call_that_would_be_late_is_refused_on_arrival():
    queue = _warmed_up(1, 0.1)
    queue.submit(_ticket(1), 0.0)
    verdicts = [
        queue.submit(_ticket(n, target_deadline=0.35, deadline=2.0), 0.0)
        for n in range(2, 6)
    ]
    kinds = [type(verdict) for verdict in verdicts]
    assert kinds == [call_queue.Queued] * 2 + [call_queue.Refused] * 2
    assert verdicts[2].retry_s >= 0.25


def test_more_important_call_is_queued_while_others_are_refused():
    queue = _warmed_up(1, 0.1)
    queue.submit(_ticket(1), 0.0)
    for number in range(2, 4):
        queue.submit(_ticket(number, rank=2, target_deadline=0.35), 0.0)
    refused = queue.submit(_ticket(4, rank=2, target_deadline=0.35), 0.0)
    queued = queue.submit(_ticket(5, rank=0, target_deadline=0.35), 0.0)
    assert isinstance(refused, call_queue.Refused)
    assert isinstance(queued, call_queue.Queued)


def test_waiting_call_that_cannot_end_in_time_is_refused():
    queue = _warmed_up(1, 0.1)
    queue.submit(_ticket(1), 0.0)
    ticket = _ticket(2, deadline=0.5)
    queue.submit(ticket, 0.0)
    assert queue.refuse_overdue(0.3).refused == ()
    assert queue.refuse_overdue(0.45).refused == (ticket,)
    assert queue.occupied == 1


def test_cancelled_call_is_removed_from_the_queue():
    queue = call_queue.CallQueue(1)
    queue.submit(_ticket(1), 0.0)
    ticket = _ticket(2)
    queue.submit(ticket, 0.0)
    assert queue.remove(ticket)
    assert not queue.remove(ticket)
    assert queue.release(_ticket(1), 0.1, 0.2).started == ()
    assert queue.running == 0


def _with_kinds(slots: int, times_s: dict[str, float]) -> call_queue.CallQueue:
    """Return an idle queue that knows the service times of some kinds."""
    queue = call_queue.CallQueue(slots)
    for kind, held_s in times_s.items():
        for number in range(50):
            ticket = _ticket(-number, kind=kind, rank=2)
            queue.submit(ticket, -100.0)
            queue.release(ticket, held_s, -100.0)
    return queue


def test_wait_behind_long_work_is_not_taken_for_one_behind_short_work():
    queue = _with_kinds(1, {"long": 0.64, "short": 0.04})
    queue.submit(_ticket(1, kind="long"), 0.0)
    nested = _ticket(2, kind="short", is_nested=True, target_deadline=0.229)
    assert isinstance(queue.submit(nested, 0.0), call_queue.Refused)
    fitting = _ticket(3, kind="short", is_nested=True, target_deadline=0.729)
    assert isinstance(queue.submit(fitting, 0.5), call_queue.Queued)


def test_call_that_no_longer_fits_is_not_kept_until_its_deadline():
    queue = _with_kinds(1, {"r": 0.1})
    queue.submit(_ticket(1), 0.0)
    low = _ticket(2, rank=2, target_deadline=0.25, deadline=0.25)
    assert isinstance(queue.submit(low, 0.0), call_queue.Queued)
    verdict = queue.submit(_ticket(3, rank=0), 0.0)
    assert verdict == call_queue.Queued((low,))
    assert queue.occupied == 2


def test_long_work_does_not_take_the_last_slot_while_short_work_arrives():
    queue = _with_kinds(3, {"long": 0.64, "short": 0.16})
    short = _ticket(1, kind="short", rank=0)
    queue.submit(short, 0.0)
    queue.release(short, 0.16, 0.16)
    verdicts = [
        queue.submit(_ticket(n, kind="long", rank=2), 0.2) for n in (2, 3, 4)
    ]
    assert isinstance(verdicts[1], call_queue.Started)
    assert isinstance(verdicts[2], call_queue.Queued)
    verdict = queue.submit(_ticket(5, kind="short", rank=0), 0.3)
    assert isinstance(verdict, call_queue.Started)


def test_slot_kept_for_short_work_does_not_stay_idle():
    queue = _with_kinds(3, {"long": 0.64, "short": 0.16})
    queue.submit(_ticket(1, kind="short", rank=0), 0.0)
    queue.release(_ticket(1, kind="short"), 0.16, 0.16)
    for number in (2, 3, 4):
        queue.submit(_ticket(number, kind="long", rank=2), 0.2)
    assert queue.advance(0.9).started == ()
    assert len(queue.advance(1.1).started) == 1


def test_change_of_slots_does_not_leave_the_order_of_another_discipline():
    queue = _with_kinds(1, {"r": 0.01})
    queue.submit(_ticket(1), 0.0)
    for number, rank in ((2, 2), (3, 0), (4, 1)):
        queue.submit(_ticket(number, rank=rank), 0.0)
    queue.set_slots(18)
    assert [t.rank for t in queue.advance(0.0).started] == [0, 1, 2]


def test_customer_above_its_share_is_refused_before_others():
    queue = _with_kinds(1, {"r": 0.1})
    for number in range(1, 41):
        customer = "large" if number % 4 else f"small-{number}"
        ticket = _ticket(number, customer=customer)
        queue.submit(ticket, 0.0)
        queue.release(ticket, 0.1, 0.0)
    queue.submit(_ticket(50), 0.0)
    queue.submit(_ticket(51), 0.0)
    aim = {"target_deadline": 0.35}
    large = queue.submit(_ticket(52, customer="large", **aim), 0.0)
    small = queue.submit(_ticket(53, customer="small-4", **aim), 0.0)
    assert isinstance(large, call_queue.Refused)
    assert isinstance(small, call_queue.Queued)


def _replay(rate: float, queue: call_queue.CallQueue, target_s: float) -> float:
    """Return the share of calls answered in time under a load.

    Args:
        rate: Calls per second; each holds a slot for 0.1 s.
        queue: Queue under test.
        target_s: Seconds within which an answer is in time.
    """
    rng = random.Random(3)
    ends: list[tuple[float, int]] = []
    arrivals: dict[int, float] = {}
    in_time = 0
    now = 0.0
    for number in range(1, 3001):
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            end, ended = heapq.heappop(ends)
            in_time += end - arrivals[ended] <= target_s
            for ticket in queue.release(_ticket(ended), 0.1, end).started:
                heapq.heappush(ends, (end + 0.1, ticket.number))
        arrivals[number] = now
        ticket = _ticket(
            number, target_deadline=now + target_s, deadline=now + 1.5
        )
        if isinstance(queue.submit(ticket, now), call_queue.Started):
            heapq.heappush(ends, (now + 0.1, number))
    return in_time / 3000


def test_overload_does_not_reduce_the_calls_served_in_time():
    # 18 slots of 0.1 s serve 180 calls per second; 1.5 times as many arrive.
    queue = _warmed_up(18, 0.1)
    assert _replay(270.0, queue, 0.4) > 0.62


_LOW_TARGET_S = 0.4
_HIGH_TARGET_S = 0.5
_LOW_CALL_S = 0.108
_HIGH_CALL_S = 0.12


@dataclasses.dataclass
class _MixedLoad:
    """Replay of two kinds of calls in one queue; the high one goes first."""

    high_rate: float
    low_rate: float
    duration_s: float = 20.0

    def run(self, queue: call_queue.CallQueue, seed: int) -> float:
        """Return the share of low calls that were answered in time."""
        rng = random.Random(seed)
        events = [*self._arrivals(rng, True), *self._arrivals(rng, False)]
        events = [(at, number, None) for number, at in enumerate(events)]
        heapq.heapify(events)
        high_count = self._high_count
        in_time = 0
        while events:
            now, number, ended = heapq.heappop(events)
            if ended is not None:
                is_in_time = now <= ended.target_deadline
                in_time += is_in_time and ended.kind == "low"
                change = queue.release(ended, now - self._starts[number], now)
                started = change.started
            else:
                ticket = self._ticket(number, now, number < high_count)
                verdict = queue.submit(ticket, now)
                is_started = isinstance(verdict, call_queue.Started)
                started = (ticket,) if is_started else ()
            for ticket in started:
                self._starts[ticket.number] = now
                end = now + self._draw_service_s(rng, ticket)
                heapq.heappush(events, (end, ticket.number, ticket))
        return in_time / self._low_count

    def _arrivals(self, rng: random.Random, is_high: bool) -> list[float]:
        rate = self.high_rate if is_high else self.low_rate
        count = int(rate * self.duration_s)
        if is_high:
            self._high_count = count
            self._starts: dict[int, float] = {}
        else:
            self._low_count = count
        return [rng.uniform(0.0, self.duration_s) for _ in range(count)]

    def _ticket(
        self, number: int, now: float, is_high: bool
    ) -> call_queue.Ticket:
        target_s = _HIGH_TARGET_S if is_high else _LOW_TARGET_S
        return call_queue.Ticket(
            number,
            "high" if is_high else "low",
            1 if is_high else 2,
            False,
            now + target_s,
            now + 2 * target_s,
        )

    def _draw_service_s(
        self, rng: random.Random, ticket: call_queue.Ticket
    ) -> float:
        mean_s = _HIGH_CALL_S if ticket.kind == "high" else _LOW_CALL_S
        return mean_s * rng.uniform(0.4, 1.6)


def test_less_important_calls_use_the_remaining_slots_in_time():
    # 18 slots; the high kind uses 7.2 of them, so 100 of 170 low calls fit.
    load = _MixedLoad(high_rate=60.0, low_rate=170.0)
    fitting_share = (18 - 60 * _HIGH_CALL_S) / _LOW_CALL_S / 170
    shares = [load.run(call_queue.CallQueue(18), seed) for seed in range(3)]
    assert min(shares) > 0.9 * fitting_share, shares
