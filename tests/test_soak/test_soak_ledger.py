"""Each promise of the soak can be broken."""

import asyncio

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
    ],
)
def test_broken_promise_is_reported(act, fields, broken):
    assert _broken(act, **fields) == broken
