"""Tests of routing and retries at the entry node, with scripted outcomes."""

import asyncio
import dataclasses
import random

import pytest
import uvloop

from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.customers import access as access_lib
from trefoilwind.gateway import board as board_lib
from trefoilwind.gateway import calls
from trefoilwind.gateway import entry as entry_lib
from trefoilwind.gateway import http_types
from trefoilwind.gateway import picker as picker_lib
from trefoilwind.gateway import stream_calls
from trefoilwind.membership import directory
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh
from trefoilwind.routing import host_routes
from trefoilwind.routing import shared_budget
from trefoilwind.telemetry import counts as counts_lib

_OK = http_types.HttpAnswer(200, (), b"done")
_FAILED = http_types.HttpAnswer(500, (), b"no")


def _error(
    reason: errors.Reason, not_run: bool = False, has_arrived: bool = False
) -> errors.CallError:
    return errors.CallError(
        reason, "test", not_run=not_run, retry_s=0.3, has_arrived=has_arrived
    )


_REFUSED = _error(errors.Reason.OVERLOADED, not_run=True)
_SHED = _error(errors.Reason.OVERLOADED, not_run=True, has_arrived=True)
_INTERRUPTED = _error(errors.Reason.BACKEND_FAILED)
_TIMED_OUT = _error(errors.Reason.DEADLINE_EXCEEDED)


def make_member(number: int) -> members.Member:
    """Return a member with a backend server of the service "s"."""
    name = f"n{number}"
    return members.Member(
        name, 1, 1, "d", addresses.Address(), "s", "v1", 4, region="r"
    )


class _Entry:
    """An entry node whose attempts have scripted results."""

    def __init__(
        self,
        script: list[calls.Result],
        extra: float = 1000.0,
        quotas: "_Quotas | None" = None,
    ):
        self.board = board_lib.MeshBoard()
        self._publish = self.board.routes.claim("test")
        nodes = [make_member(number) for number in range(1, 6)]
        self.board.members.claim("test")(directory.snapshot(nodes))
        self._script = list(script)
        self.sent: list[calls.Call] = []
        self.counts = counts_lib.MeshCounts()
        self.access = access_lib.Access()
        terms = shared_budget.BudgetTerms(0.2, 10.0, extra)
        picker = picker_lib.Picker(
            nodes[0], self.board, lambda node: True, lambda: 0, random.random
        )
        self.entry = entry_lib.Entry(
            self.board,
            fakes.header_port(),
            picker,
            shared_budget.SharedBudget(terms),
            self._run,
            lambda: "own",
            lambda call: False,
            lambda request_id: request_id == b"running",
            self.counts,
            random.Random(1),
            access=self.access,
            quotas=quotas,
        )

    async def _run(self, node_id: str, call: calls.Call) -> calls.Outcome:
        self.sent.append(call)
        return calls.Outcome(self._script.pop(0))

    async def serve(
        self, is_idempotent: bool = True, max_attempts: int = 2, **headers: str
    ) -> http_types.HttpAnswer:
        """Return the answer to a request that matches a route."""
        route = mesh.HostRoute(
            "r",
            "a.example",
            "/a/",
            is_idempotent,
            2.0,
            0.4,
            1,
            (mesh.Destination("s", 1.0),),
            max_attempts,
        )
        table = mesh.MeshConfiguration(1, (route,))
        self._publish(host_routes.build(table))
        pairs = {"host": "a.example", "id": "1"} | headers
        request = http_types.HttpRequest(
            b"GET",
            b"/a/1?q=1",
            tuple((k.encode(), v.encode()) for k, v in pairs.items()),
            b"",
            asyncio.get_running_loop().time(),
        )
        return await self.entry.serve(request)


def _serve(script: list[calls.Result], extra: float = 1000.0, **changes):
    async def run():
        entry = _Entry(script, extra)
        return await entry.serve(**changes), entry.sent

    return uvloop.run(run())


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("refusal", [_REFUSED, _SHED])
def test_refused_call_is_retried_at_another_node(refusal, is_idempotent: bool):
    answer, sent = _serve([refusal, _OK], is_idempotent=is_idempotent)
    assert answer == _OK
    assert len(sent) == 2


@pytest.mark.parametrize("failure", [_INTERRUPTED, _FAILED])
def test_call_that_may_have_run_is_retried_only_if_idempotent(failure):
    answer, sent = _serve([failure, _OK])
    assert answer == _OK
    answer, sent = _serve([failure], is_idempotent=False)
    assert answer.status in (500, 502)
    assert len(sent) == 1


def test_delivered_attempts_are_limited_by_the_route():
    answer, sent = _serve([_FAILED, _FAILED], max_attempts=2)
    assert len(sent) == 2
    assert answer == _FAILED
    _, sent = _serve([_FAILED], max_attempts=1)
    assert len(sent) == 1


def test_retries_are_limited_by_the_budget():
    answer, sent = _serve([_FAILED], extra=0.0)
    assert len(sent) == 1
    assert answer == _FAILED


def test_refusal_by_all_nodes_returns_503_with_retry_after():
    answer, sent = _serve([_REFUSED] * 3)
    assert answer.status == 503
    assert 0.3 <= float(answer.header(b"retry-after")) <= 0.45
    assert len(sent) == 3


def test_refusal_after_an_uncertain_attempt_is_not_reported_as_not_run():
    answer, _ = _serve([_INTERRUPTED, _REFUSED, _REFUSED])
    assert answer.status == 502


def test_timed_out_call_is_not_retried():
    answer, sent = _serve([_TIMED_OUT])
    assert answer.status == 504
    assert len(sent) == 1


def test_deadline_is_the_smaller_of_callers_and_routes():
    async def remaining_s(**headers: str) -> float:
        entry = _Entry([_OK])
        started = asyncio.get_running_loop().time()
        await entry.serve(**headers)
        return entry.sent[0].deadline - started

    assert uvloop.run(remaining_s(wait="1.5")) == pytest.approx(1.5, abs=0.2)
    assert uvloop.run(remaining_s(wait="60")) == pytest.approx(2.0, abs=0.2)
    assert uvloop.run(remaining_s()) == pytest.approx(2.0, abs=0.2)


def test_path_and_query_are_forwarded_unchanged():
    _, sent = _serve([_OK])
    assert sent[0].target == "/a/1?q=1"
    assert (b"Caller", b"own") in sent[0].headers


@pytest.mark.parametrize("parent", ["running", "other", ""])
def test_call_made_by_a_running_request_is_nested(parent: str):
    _, sent = _serve([_OK], parent=parent)
    assert sent[0].is_nested == (parent == "running")


class _SlowEntry(_Entry):
    """An entry node whose attempts last until the deadline of the call.

    Attributes:
        failures: Attempts that ended by that deadline.
    """

    failures = 0

    async def _run(self, node_id: str, call: calls.Call) -> calls.Outcome:
        self.sent.append(call)
        end = call.deadline - stream_calls.DEADLINE_MARGIN_S
        await asyncio.sleep(end - asyncio.get_running_loop().time())
        self.failures += 1
        return calls.Outcome(_TIMED_OUT)


@pytest.mark.parametrize("is_late", [False, True])
def test_call_ended_by_a_stop_is_no_failure_of_its_backend_server(
    is_late: bool,
):
    async def run():
        entry = _SlowEntry([])
        now = asyncio.get_running_loop().time()
        if is_late:
            entry.entry.begin_stop(now + 0.3)
        serving = asyncio.create_task(entry.serve())
        await asyncio.sleep(0.05)
        if not is_late:
            entry.entry.begin_stop(now + 0.3)
        answer = await serving
        assert asyncio.get_running_loop().time() < now + 0.5
        return answer, entry

    answer, entry = uvloop.run(run())
    assert answer.status == 504
    assert len(entry.sent) == 1
    assert not entry.failures


def test_request_that_a_stop_leaves_no_time_is_refused_unsent():
    async def run():
        entry = _Entry([_OK])
        now = asyncio.get_running_loop().time()
        entry.entry.begin_stop(now + 0.5 * entry_lib.STOP_MARGIN_S)
        return await entry.serve(), entry.sent

    _assert_refused(*uvloop.run(run()))


def test_request_received_after_the_last_one_of_a_stop_is_refused_unsent():
    async def run():
        entry = _Entry([_OK])
        entry.entry.begin_stop(asyncio.get_running_loop().time() + 1.0)
        entry.entry.refuse_later_requests()
        await asyncio.sleep(0.01)
        return await entry.serve(), entry.sent

    _assert_refused(*uvloop.run(run()))


def _assert_refused(
    answer: http_types.HttpAnswer, sent: list[calls.Call]
) -> None:
    assert answer.status == 503
    assert answer.header(b"retry-after")
    assert not sent


def test_call_of_a_stopping_node_is_passed_on_with_the_time_that_is_left():
    async def run():
        entry = _Entry([_OK])
        now = asyncio.get_running_loop().time()
        entry.entry.begin_stop(now + 1.0)
        answer = await entry.serve()
        return answer, entry.sent[0].deadline - now

    answer, remaining_s = uvloop.run(run())
    assert answer == _OK
    assert remaining_s == pytest.approx(1.0)


class _StoppingEntry(_Entry):
    """An entry node that begins to stop during its first attempt.

    Attributes:
        stop_deadline: Event loop time in seconds by which its calls end.
    """

    stop_deadline = 0.0

    async def _run(self, node_id: str, call: calls.Call) -> calls.Outcome:
        if not self.sent:
            now = asyncio.get_running_loop().time()
            self.stop_deadline = now + 1.0
            self.entry.begin_stop(self.stop_deadline)
        return await super()._run(node_id, call)


def test_retry_during_a_stop_is_passed_on_with_the_time_that_is_left():
    async def run():
        entry = _StoppingEntry([_REFUSED, _OK])
        return await entry.serve(), entry

    answer, entry = uvloop.run(run())
    assert answer == _OK
    assert entry.sent[0].deadline > entry.stop_deadline
    assert entry.sent[1].deadline == entry.stop_deadline


def _serve_customer(
    is_confirmed: bool = True, **headers: str
) -> tuple[http_types.HttpAnswer, list[calls.Call]]:
    async def run():
        entry = _Entry([_OK])
        entry.access._is_confirmed = lambda: is_confirmed
        entry.access.update(
            mesh.MeshConfiguration(
                1,
                customers=(
                    mesh.Customer("ana", ("k",), rank=0),
                    mesh.Customer("bo", ("l",)),
                ),
                has_customers=True,
            )
        )
        return await entry.serve(**headers), entry.sent

    return uvloop.run(run())


def test_key_is_not_passed_on_and_the_customer_is_named():
    answer, sent = _serve_customer(key="k")
    assert answer == _OK
    names = dict(sent[0].headers)
    assert b"key" not in names
    assert names[b"Customer"] == b"ana"
    assert (sent[0].customer, sent[0].rank) == ("ana", 0)
    _, sent = _serve_customer(key="l")
    assert (sent[0].customer, sent[0].rank) == ("bo", 1)


@pytest.mark.parametrize("headers", [{}, {"key": "withdrawn"}])
def test_request_without_a_valid_key_does_not_run(headers: dict[str, str]):
    answer, sent = _serve_customer(**headers)
    assert answer.status == 401
    assert not sent


def test_keyed_request_is_told_to_retry_while_keys_may_be_outdated():
    answer, sent = _serve_customer(is_confirmed=False, key="k")
    assert answer.status == 503
    assert answer.header(b"retry-after")
    assert not sent


def test_nested_call_without_a_key_runs_without_a_customer():
    answer, sent = _serve_customer(parent="running")
    assert answer == _OK
    assert sent[0].customer == ""
    assert b"Customer" not in dict(sent[0].headers)


def test_without_customers_a_key_is_forwarded():
    _, sent = _serve([_OK], key="k")
    assert (b"key", b"k") in sent[0].headers


class _Quotas:
    """Quotas in which one customer has some tokens."""

    def __init__(self, tokens: int):
        self.tokens = tokens

    def is_limited(self, customer: str) -> bool:
        """Return True for the only customer."""
        return customer == "c"

    async def take(self, customer: str, now: float) -> float | None:
        """Take a token or return a retry time."""
        if not self.tokens:
            return 0.25
        self.tokens -= 1
        return None

    def give_back(self, customer: str, now: float) -> None:
        """Return a token."""
        self.tokens += 1


def _serve_within_quota(script: list[calls.Result], quotas: _Quotas, **headers):
    async def run():
        entry = _Entry(script, quotas=quotas)
        make_call = entry.entry._call

        def call(*arguments):
            return dataclasses.replace(make_call(*arguments), customer="c")

        entry.entry._call = call
        return await entry.serve(**headers), entry.sent

    return uvloop.run(run())


def test_call_above_the_limit_is_sent_or_has_no_retry_time():
    answer, sent = _serve_within_quota([], _Quotas(0))
    assert answer.status == 429
    assert answer.headers
    assert not sent


@pytest.mark.parametrize(
    ("result", "tokens"),
    [(_OK, 1), (_FAILED, 1), (_TIMED_OUT, 1), (_REFUSED, 2)],
)
def test_token_of_a_call_that_may_have_run_is_given_back(result, tokens):
    """Guards against lost tokens of refused calls, too."""
    quotas = _Quotas(2)
    _serve_within_quota([result] * 3, quotas, is_idempotent=False)
    assert quotas.tokens == tokens


def test_retry_at_another_server_takes_a_second_token():
    quotas = _Quotas(5)
    answer, sent = _serve_within_quota([_REFUSED, _SHED, _OK], quotas)
    assert answer.status == 200
    assert len(sent) == 3
    assert quotas.tokens == 4
