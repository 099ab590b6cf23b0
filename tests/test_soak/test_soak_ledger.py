"""Each promise of the soak can be broken."""

import asyncio
import dataclasses

import pytest

from tests.test_soak import ledger as ledger_lib

_ID = b"1-0-0-1"


def _broken(act, **fields) -> list[str]:
    """Return the names of the promises that a scenario breaks."""

    async def run() -> list[str]:
        ledger = ledger_lib.Ledger(("a", "b"))
        now = asyncio.get_running_loop().time()
        request = ledger_lib.Request(
            _ID.decode(),
            0,
            fields.pop("kind", "order"),
            "sum",
            now,
            now + 9,
            now,
        )
        request.end = "answered"
        for name, value in fields.items():
            setattr(request, name, value)
        ledger.requests[request.request_id] = request
        act(ledger, request, now)
        return [line.partition(":")[0] for line in ledger.broken]

    return asyncio.run(run())


def _run(request, now: float, **fields) -> ledger_lib.Run:
    return ledger_lib.Run(request.request_id, 1, "i-1-1", now, **fields)


def _run_and_answer(ledger, request, now: float) -> None:
    ledger.start_run(_run(request, now), "sum", "a")
    ledger.end_request(request, b"")


def _answer_and_run(ledger, request, now: float) -> None:
    ledger.end_request(request, b"")
    ledger.start_run(_run(request, now), "sum", "a")


def _run_twice(ledger, request, now: float) -> None:
    for _ in range(2):
        ledger.start_run(_run(request, now), "sum", "a")


def _run_other(ledger, request, now: float) -> None:
    ledger.start_run(_run(request, now), "other", "a")


def _answer_part(ledger, request, now: float) -> None:
    seal = "i." + ledger_lib.digest(_ID, b"whole")
    ledger.start_run(_run(request, now, seal=seal, status=200), "sum", "a")
    request.seal = seal
    ledger.end_request(request, b"who")


def _arrive_late(ledger, request, now: float) -> None:
    ledger.left["i-1-1"] = now - ledger_lib.DRAIN_S - 0.1
    ledger.check_arrival(_run(request, now))


def _end_in_stop(ledger, request, now: float) -> None:
    run = _run(request, now, ended=now + 1.0, end="dropped")
    ledger.start_run(run, "sum", "a")
    request.ended = now + 1.0
    ledger.nodes[0].stops.append(ledger_lib.Stop(now - 1.0, now + 2.0))
    ledger.check_end(now)


def _end_in_stop_near_a_fault(ledger, request, now: float) -> None:
    ledger.nodes[0].faults.append((now - 4.0, now - 3.0))
    _end_in_stop(ledger, request, now)


def _restart_without_answers(ledger, request, now: float) -> None:
    ledger.nodes[0].stops.append(ledger_lib.Stop(now, now + 1.0, now + 2.0))
    ledger.check_end(now + 2.0 + ledger_lib.RECOVERY_S)


def _give_up_late(ledger, request, now: float, sent_s: float) -> None:
    """End a run late in a grace; its request was begun early enough."""
    term = now - 2.9
    request.sent = term + sent_s
    request.ended = term + ledger_lib.EXCUSED_PART * ledger_lib.GRACE_S
    request.due = request.ended + 9.0
    run = _run(request, request.sent, ended=request.ended, end="dropped")
    ledger.start_run(run, "sum", "a")
    ledger.nodes[0].stops.append(ledger_lib.Stop(term, term + 6.0))
    ledger.check_end(now)


def _give_up_after_an_early_last_byte(ledger, request, now: float) -> None:
    _give_up_late(ledger, request, now, ledger_lib.LAST_EXCUSED_S)


def _give_up_after_a_late_last_byte(ledger, request, now: float) -> None:
    _give_up_late(ledger, request, now, ledger_lib.LAST_EXCUSED_S + 0.1)


def _give_up_before_the_last_part(ledger, request, now: float) -> None:
    request.sent = now
    request.ended = now + 1.0
    run = _run(request, now, ended=request.ended, end="dropped")
    ledger.start_run(run, "sum", "a")
    term = request.ended - ledger_lib.EXCUSED_PART * ledger_lib.GRACE_S + 0.1
    ledger.nodes[0].stops.append(ledger_lib.Stop(term, term + 6.0))
    ledger.check_end(now)


def _cut(ledger, request, now: float, count: int, ended_s: float) -> None:
    """Add requests that are passed on and then cut."""
    for number in range(count):
        request_id = f"cut-{number}"
        each = dataclasses.replace(request, request_id=request_id, end="cut")
        each.ended = now + ended_s
        ledger.requests[request_id] = each
        run = _run(each, now, ended=each.ended, end="dropped")
        ledger.start_run(run, "sum", "a")


def _cut_thrice(ledger, request, now: float) -> None:
    _cut(ledger, request, now, ledger_lib.MAX_KEPT_CUTS, 1.0)
    ledger.check_end(now)


def _cut_often(ledger, request, now: float) -> None:
    _cut(ledger, request, now, ledger_lib.MAX_KEPT_CUTS + 1, 1.0)
    ledger.check_end(now)


def _cut_often_when_due(ledger, request, now: float) -> None:
    ended_s = request.due - now - ledger_lib.DUE_SLACK_S + 0.001
    _cut(ledger, request, now, ledger_lib.MAX_KEPT_CUTS + 1, ended_s)
    ledger.check_end(now)


def _cut_often_before_due(ledger, request, now: float) -> None:
    ended_s = request.due - now - ledger_lib.DUE_SLACK_S - 0.001
    _cut(ledger, request, now, ledger_lib.MAX_KEPT_CUTS + 1, ended_s)
    ledger.check_end(now)


def _cut_unread_by_a_reload(ledger, request, now: float) -> None:
    ledger.nodes[0].reloads.append(now)
    request.ended = now + ledger_lib.LOSS_SLACK_S - 0.001
    ledger.check_end(now)


def _cut_read_by_a_reload(ledger, request, now: float) -> None:
    ledger.nodes[0].reloads.append(now)
    request.ended = now + ledger_lib.LOSS_SLACK_S + 0.001
    ledger.check_end(now)


def _cut_often_near_a_fault(ledger, request, now: float) -> None:
    ledger.nodes[1].faults.append((now - 4.0, now - 3.0))
    _cut_often(ledger, request, now)


def _cut_often_near_a_stop(ledger, request, now: float) -> None:
    # The requests are sent after it, so only "in touch" excuses them.
    stop = ledger_lib.Stop(now - 9.0, now - 5.0, now - 3.0)
    ledger.nodes[0].stops.append(stop)
    _cut_often(ledger, request, now)


def _cut_often_by_a_crash(ledger, request, now: float) -> None:
    _cut(ledger, request, now, ledger_lib.MAX_KEPT_CUTS + 1, 1.0)
    for (run,) in ledger.runs.values():
        run.end = "crashed"
    ledger.check_end(now)


def _cut_after_a_reload(ledger, request, now: float) -> None:
    ledger.nodes[0].reloads.append(now - ledger_lib.APPLY_S + 0.1)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_by_a_reload(ledger, request, now: float) -> None:
    ledger.nodes[0].reloads.append(now + 0.5)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_before_a_reload(ledger, request, now: float) -> None:
    ledger.nodes[0].reloads.append(now + 1.1)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_long_after_a_reload(ledger, request, now: float) -> None:
    ledger.nodes[0].reloads.append(now - ledger_lib.APPLY_S - 0.1)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_after_a_reload_elsewhere(ledger, request, now: float) -> None:
    ledger.nodes[1].reloads.append(now)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_after_a_configuration(ledger, request, now: float) -> None:
    ledger.configured.append(now - ledger_lib.APPLY_S - 0.9)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_long_after_a_configuration(ledger, request, now: float) -> None:
    ledger.configured.append(now - ledger_lib.APPLY_S - 1.1)
    _cut(ledger, request, now, 1, 1.0)
    ledger.check_end(now)


def _cut_in_the_last_part_of_its_time(ledger, request, now: float) -> None:
    ledger.configured.append(now)
    _cut(ledger, request, now, 1, 0.7 * (request.due - now) + 0.1)
    ledger.check_end(now)


def _cut_as_often_otherwise(ledger, request, now: float) -> None:
    _cut(ledger, request, now, 1, 1.0)
    near = dataclasses.replace(request, request_id="near", end="cut")
    near.begun = near.sent = now + 9.0
    near.ended, near.due = now + 10.0, now + 18.0
    ledger.requests[near.request_id] = near
    run = _run(near, near.sent, ended=near.ended, end="dropped")
    ledger.start_run(run, "sum", "a")
    ledger.configured.append(now + 9.0)
    ledger.check_end(now)


def _run_for_customer(ledger, request, now: float) -> None:
    ledger.customers = {"k": "c"}
    ledger.check_customer(_run(request, now), "c")


def _run_with_withdrawn_key(ledger, request, now: float, late_s: float) -> None:
    ledger.withdrawn = {"k": now - ledger_lib.REVOKE_S - late_s}
    ledger.start_run(_run(request, now), "sum", "a")
    ledger.check_end(now)


def _run_too_late_with_withdrawn_key(ledger, request, now: float) -> None:
    _run_with_withdrawn_key(ledger, request, now, 0.1)


def _run_in_time_with_withdrawn_key(ledger, request, now: float) -> None:
    _run_with_withdrawn_key(ledger, request, now, -0.1)


def _run_in_evacuated_data_centre(
    ledger, request, now: float, late_s: float = 0.1
) -> None:
    start = now - ledger_lib.EVACUATION_S - late_s
    ledger.nodes[1].evacuations.append((start, now + 9.0))
    ledger.start_run(_run(request, now), "sum", "a")
    ledger.check_end(now)


def _run_in_time_in_evacuated_data_centre(ledger, request, now: float) -> None:
    _run_in_evacuated_data_centre(ledger, request, now, -0.1)


def _run_in_data_centre_taken_back(ledger, request, now: float) -> None:
    ledger.nodes[1].evacuations.append((now - 9.0, now - 0.1))
    ledger.start_run(_run(request, now), "sum", "a")
    ledger.check_end(now)


def _run_in_evacuated_near_a_fault_of_the_store(
    ledger, request, now: float
) -> None:
    ledger.store.faults.append((now - 4.5, now - 3.5))
    _run_in_evacuated_data_centre(ledger, request, now)


def _run_over_quota(ledger, request, now: float, count: int = 87) -> None:
    """Run requests of a customer that may run 86 in a window."""
    ledger.customers, ledger.limits = {"k": "c"}, {"c": (10, 10)}
    for number in range(count):
        request_id = f"quota-{number}"
        each = dataclasses.replace(request, request_id=request_id)
        ledger.requests[request_id] = each
        ledger.start_run(_run(each, now + number * 0.05), "sum", "a")
    ledger.check_end(now)


def _run_within_quota(ledger, request, now: float) -> None:
    _run_over_quota(ledger, request, now, 86)


@pytest.mark.parametrize(
    ("act", "fields", "broken"),
    [
        (_run_and_answer, {"status": 503}, ["not run"]),
        (_run_and_answer, {"status": 503, "kind": "safe"}, []),
        (_run_and_answer, {"status": 502}, []),
        (_run_and_answer, {"status": 200}, ["own answer"]),
        (_answer_and_run, {"status": 429}, ["never runs later"]),
        (_run_twice, {}, ["at most once"]),
        (_run_twice, {"kind": "safe"}, []),
        (_run_other, {}, ["unchanged"]),
        (_answer_part, {"status": 200}, ["whole answer"]),
        (_arrive_late, {}, ["leave"]),
        (_end_in_stop, {"status": 502}, ["not given up"]),
        (_end_in_stop, {"end": "cut"}, ["answered"]),
        (_end_in_stop, {"status": 500, "seal": "x"}, []),
        (_end_in_stop_near_a_fault, {"status": 502}, []),
        (_restart_without_answers, {}, ["serves again"]),
        (_give_up_after_an_early_last_byte, {"end": "cut"}, []),
        (_give_up_after_an_early_last_byte, {"status": 504}, []),
        (_give_up_after_a_late_last_byte, {"end": "cut"}, ["answered"]),
        (_give_up_after_a_late_last_byte, {"status": 504}, ["not given up"]),
        (_give_up_before_the_last_part, {"status": 504}, ["not given up"]),
        (_cut_often, {"is_kept": True}, ["kept connection"] * 4),
        (_cut_often, {"is_kept": False}, []),
        (_cut_thrice, {"is_kept": True}, []),
        (_cut_often_when_due, {"is_kept": True}, []),
        (_cut_often_before_due, {"is_kept": True}, ["kept connection"] * 4),
        (_cut_unread_by_a_reload, {"end": "cut"}, []),
        (_cut_read_by_a_reload, {"end": "cut"}, ["reload"]),
        (_cut_often_near_a_fault, {"is_kept": True}, []),
        (_cut_often_near_a_stop, {"is_kept": True}, []),
        (_cut_often_by_a_crash, {"is_kept": True}, []),
        (_cut_after_a_reload, {}, ["reload"]),
        (_cut_by_a_reload, {}, ["reload"]),
        (_cut_before_a_reload, {}, []),
        (_cut_long_after_a_reload, {}, []),
        (_cut_after_a_reload_elsewhere, {}, []),
        (_cut_after_a_configuration, {}, ["configured"]),
        (_cut_long_after_a_configuration, {}, []),
        (_cut_in_the_last_part_of_its_time, {}, []),
        (_cut_as_often_otherwise, {}, []),
        (_run_for_customer, {"key": "k"}, []),
        (_run_for_customer, {"key": "other"}, ["known key"]),
        (_run_for_customer, {"key": ""}, ["known key"]),
        (_run_for_customer, {"is_nested": True}, ["customer"]),
        (_run_too_late_with_withdrawn_key, {"key": "k"}, ["withdrawn key"]),
        (_run_too_late_with_withdrawn_key, {"key": "other"}, []),
        (_run_in_time_with_withdrawn_key, {"key": "k"}, []),
        (_run_in_evacuated_data_centre, {}, ["evacuated"]),
        (_run_in_time_in_evacuated_data_centre, {}, []),
        (_run_in_data_centre_taken_back, {}, []),
        (_run_in_evacuated_near_a_fault_of_the_store, {}, []),
        (_run_over_quota, {"key": "k"}, ["quota"]),
        (_run_within_quota, {"key": "k"}, []),
    ],
)
def test_broken_promise_is_reported(act, fields, broken):
    assert _broken(act, **fields) == broken
