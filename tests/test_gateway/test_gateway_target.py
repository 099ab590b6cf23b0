"""Tests of the target node: slots, admission, deaths of backend servers."""

import asyncio
import math

import uvloop

from tests.test_gateway import fakes
from trefoilwind import errors
from trefoilwind.gateway import calls
from trefoilwind.gateway import http_types
from trefoilwind.gateway import suspect_table
from trefoilwind.gateway import target as target_lib
from trefoilwind.model import mesh
from trefoilwind.routing import cold_limit
from trefoilwind.telemetry import counts as counts_lib


class _TargetFixture:
    """A target node with a backend server that is controlled by the test."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.sent_updates = []
        self.suspects = suspect_table.SuspectTable(
            loop.time, self.sent_updates.append
        )
        self.counts = counts_lib.MeshCounts()
        self.region_refusal: errors.Reason | None = None
        self.target = target_lib.Target(
            "n1",
            fakes.header_port(),
            self.suspects,
            self.counts,
            region_refusal=lambda call: self.region_refusal,
        )
        self.answer_headers = b""
        self.running = 0
        self.most_running = 0
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.backend = fakes.RawServer(self._script)

    async def _script(self, reader, writer):
        while True:
            await fakes.read_head(reader)
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            self.started.set()
            await self.release.wait()
            self.running -= 1
            writer.write(fakes.answer(b"x", extra=self.answer_headers))

    def announce(self, **changes) -> None:
        """Announce the backend server."""
        values = {
            "instance_id": "i-1",
            "service": "s",
            "version": "v1",
            "address": self.backend.address,
            "slots": 2,
        }
        server = mesh.BackendServer(**(values | changes))
        self.target.set_server(server)


def _run(scenario) -> None:
    async def run() -> None:
        fixture = _TargetFixture()
        async with fixture.backend, asyncio.timeout(90.0):
            await scenario(fixture)

    uvloop.run(run())


def test_no_more_calls_run_than_there_are_slots():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce()
        tasks = [
            asyncio.create_task(fixture.target.run(fakes.call()))
            for _ in range(6)
        ]
        while fixture.running < 2:
            await asyncio.sleep(0)
        assert fixture.target.occupied == 6
        fixture.release.set()
        outcomes = await asyncio.gather(*tasks)
        assert all(outcome.result.body == b"x" for outcome in outcomes)
        assert fixture.most_running == 2
        assert fixture.target.occupied == 0

    _run(scenario)


def test_cancelled_calls_release_their_slots():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce()
        tasks = [
            asyncio.create_task(fixture.target.run(fakes.call()))
            for _ in range(5)
        ]
        await fixture.started.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert fixture.target.occupied == 0

    _run(scenario)


def test_request_without_an_id_makes_others_count_as_nested():
    """Guards against requests that need no key beside one without an id."""

    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce()
        task = asyncio.create_task(fixture.target.run(fakes.call(headers=())))
        await fixture.started.wait()
        assert not fixture.target.is_running(b"")
        fixture.release.set()
        await task

    _run(scenario)


def test_call_for_another_service_or_version_is_refused_as_not_run():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.release.set()
        outcome = await fixture.target.run(fakes.call())
        assert outcome.result.reason is errors.Reason.NO_BACKEND
        fixture.announce()
        for wrong in ({"service": "other"}, {"version": "v2"}):
            outcome = await fixture.target.run(fakes.call(**wrong))
            assert outcome.result.not_run
        outcome = await fixture.target.run(fakes.call(version="v1"))
        assert isinstance(outcome.result, http_types.HttpAnswer)

    _run(scenario)


def test_call_past_its_deadline_on_arrival_is_refused_as_not_run():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce()
        passed = asyncio.get_running_loop().time() - 0.1
        outcome = await fixture.target.run(fakes.call(deadline=passed))
        assert outcome.result.not_run
        assert not fixture.started.is_set()

    _run(scenario)


def test_leaving_backend_server_refuses_queued_calls():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce(slots=1)
        running = asyncio.create_task(fixture.target.run(fakes.call()))
        await fixture.started.wait()
        waiting = asyncio.create_task(fixture.target.run(fakes.call()))
        await asyncio.sleep(0)
        fixture.announce(slots=1, is_leaving=True, sequence=2)
        refused = await waiting
        assert refused.result.reason is errors.Reason.DRAINING
        assert refused.result.not_run
        fixture.release.set()
        assert (await running).result.body == b"x"

    _run(scenario)


def test_target_that_alone_knows_of_its_evacuation_refuses_queued_calls():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce(slots=1)
        allowed = frozenset({"eu"})
        call = fakes.call(allowed_regions=allowed)
        running = asyncio.create_task(fixture.target.run(call))
        await fixture.started.wait()
        # A nested call of the running one inherits its regions.
        assert fixture.target.regions_of(b"1") == allowed
        waiting = asyncio.create_task(fixture.target.run(fakes.call()))
        await asyncio.sleep(0)
        fixture.region_refusal = errors.Reason.EVACUATED
        fixture.target.refuse_queued()
        for outcome in (await waiting, await fixture.target.run(fakes.call())):
            assert outcome.result.reason is errors.Reason.EVACUATED
            assert outcome.result.not_run
        fixture.release.set()
        assert (await running).result.body == b"x"
        assert fixture.target.regions_of(b"1") is None

    _run(scenario)


def _crashing_server() -> fakes.RawServer:
    async def script(reader, writer):
        await fakes.read_head(reader)
        # The port is closed when the process dies.
        server._server.close()
        writer.transport.abort()

    server = fakes.RawServer(script)
    return server


async def _crash(fixture: _TargetFixture, name: str) -> None:
    async with _crashing_server() as server:
        fixture.announce(address=server.address, instance_id=name)
        await fixture.target.run(fakes.call())
        count = len(fixture.sent_updates)
        while len(fixture.sent_updates) == count:
            await asyncio.sleep(0.005)


def test_request_running_at_two_backend_server_deaths_is_refused():
    async def scenario(fixture: _TargetFixture) -> None:
        await _crash(fixture, "i-1")
        assert not fixture.suspects.is_refused(fakes.call())
        # The second death is reported by another node.
        other = suspect_table.SuspectTable(
            asyncio.get_running_loop().time, fixture.sent_updates.append
        )
        other.add_death("n2/1", [fakes.call()])
        fixture.suspects.merge(fixture.sent_updates[-1])
        assert fixture.suspects.is_refused(fakes.call())
        assert not fixture.suspects.is_refused(fakes.call(target="/a/2"))
        fixture.announce(instance_id="i-9")
        outcome = await fixture.target.run(fakes.call())
        assert outcome.result.reason is errors.Reason.POISON_REQUEST

    _run(scenario)


def test_lost_answer_of_a_live_backend_server_is_not_a_death():
    async def scenario(fixture: _TargetFixture) -> None:
        lost = 0

        async def script(reader, writer):
            nonlocal lost
            await fakes.read_head(reader)
            lost += 1
            writer.transport.abort()

        async with fakes.RawServer(script) as server:
            fixture.announce(address=server.address)
            outcome = await fixture.target.run(fakes.call())
            assert not outcome.result.not_run
            while server.connections < 2:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.02)
        assert lost == 1
        assert fixture.sent_updates == []

    _run(scenario)


def test_backend_server_gets_no_more_calls_than_the_limit_it_names():
    async def scenario(fixture: _TargetFixture) -> None:
        arrivals = []

        async def script(reader, writer):
            while True:
                await fakes.read_head(reader)
                arrivals.append(asyncio.get_running_loop().time())
                writer.write(fakes.answer(b"x", extra=b"Limit: 20\r\n"))

        async with fakes.RawServer(script) as server:
            fixture.announce(address=server.address)
            await fixture.target.run(fakes.call())
            until = arrivals[0] + 1.0
            while asyncio.get_running_loop().time() < until:
                await fixture.target.run(_hurried_call())
                await asyncio.sleep(0)
        assert len(arrivals) <= 1.5 * 20 + 5

    _run(scenario)


def test_calls_beyond_the_limit_are_refused_at_once_with_a_time_to_retry():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.answer_headers = b"Limit: 2\r\n"
        fixture.release.set()
        fixture.announce()
        await fixture.target.run(fakes.call())
        await fixture.target.run(fakes.call())
        outcome = await fixture.target.run(_hurried_call())
        refused = outcome.result
        assert refused.reason is errors.Reason.RATE_LIMITED
        assert refused.not_run and not refused.has_arrived
        assert 0.3 < refused.retry_s <= 0.5
        assert outcome.occupied > fixture.target.slots
        assert fixture.target.occupied == 0
        assert fixture.most_running == 1

    _run(scenario)


def test_calls_waiting_for_the_limit_run_as_soon_as_it_ends():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.answer_headers = b"Limit: 0.5\r\n"
        fixture.release.set()
        fixture.announce()
        await fixture.target.run(fakes.call())
        await fixture.target.run(fakes.call())
        fixture.answer_headers = b""
        started = asyncio.get_running_loop().time()
        outcomes = await asyncio.gather(
            *(fixture.target.run(fakes.call()) for _ in range(2))
        )
        waited_s = asyncio.get_running_loop().time() - started
        assert all(outcome.result.body == b"x" for outcome in outcomes)
        # The first of them waits for its token, the other one for its answer.
        assert 1.5 < waited_s < 3.5

    _run(scenario)


def test_limit_of_an_earlier_process_does_not_apply_to_the_next_one():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.answer_headers = b"Limit: 1\r\n"
        fixture.release.set()
        fixture.announce()
        await fixture.target.run(fakes.call())
        await fixture.target.run(fakes.call())
        fixture.answer_headers = b""
        fixture.announce(instance_id="i-2")
        outcome = await fixture.target.run(_hurried_call())
        assert outcome.result.body == b"x"

    _run(scenario)


def test_limit_reported_by_a_peer_applies_until_the_first_answer():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.release.set()
        process = ("i-1", 0)
        fixture.target.apply_notice_of_peer(process, mesh.ServerNotice(2.0))
        fixture.target.apply_notice_of_peer(process, mesh.ServerNotice(9.0))
        fixture.target.apply_notice_of_peer(("i-0", 0), mesh.ServerNotice(1.0))
        fixture.announce()
        assert fixture.target.limit_per_s == 2.0
        await fixture.target.run(fakes.call())
        assert fixture.target.limit_per_s == math.inf
        fixture.target.apply_notice_of_peer(process, mesh.ServerNotice(2.0))
        assert fixture.target.limit_per_s == math.inf

    _run(scenario)


def test_limit_reported_after_the_announcement_applies_to_the_first_call():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce()
        fixture.target.apply_notice_of_peer(("i-1", 0), mesh.ServerNotice(2.0))
        running = asyncio.create_task(fixture.target.run(fakes.call()))
        await fixture.started.wait()
        refused = (await fixture.target.run(_hurried_call())).result
        assert refused.reason is errors.Reason.RATE_LIMITED
        fixture.release.set()
        assert (await running).result.body == b"x"

    _run(scenario)


def test_leaving_reported_by_a_peer_applies_after_the_first_answer():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.release.set()
        fixture.announce()
        await fixture.target.run(fakes.call())
        left = mesh.ServerNotice(2.0, is_leaving=True)
        fixture.target.apply_notice_of_peer(("i-1", 0), left)
        assert fixture.target.limit_per_s == math.inf
        # As the node does when the target reports it.
        fixture.announce()
        outcome = await fixture.target.run(fakes.call())
        assert outcome.result.reason is errors.Reason.DRAINING

    _run(scenario)


def test_notices_of_unknown_processes_are_bounded():
    async def scenario(fixture: _TargetFixture) -> None:
        for number in range(3 * target_lib.MAX_NOTICES_OF_PEERS):
            fixture.target.apply_notice_of_peer(
                (f"i-{number}", 0), mesh.ServerNotice(1.0)
            )
        fixture.announce(instance_id="i-0")
        assert fixture.target.limit_per_s == math.inf

    _run(scenario)


def _hurried_call() -> calls.Call:
    """Return a call that is late after a tenth of a second."""
    late_at = asyncio.get_running_loop().time() + 0.1
    return fakes.call(target_deadline=late_at)


def test_reported_load_counts_calls_whose_bodies_arrive():
    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        target = target_lib.Target(
            "n1",
            fakes.header_port(),
            suspect_table.SuspectTable(loop.time, lambda update: None),
            counts_lib.MeshCounts(),
            arriving=lambda: 3,
        )
        return (await target.run(fakes.call())).occupied

    assert uvloop.run(scenario()) == 3


def test_cold_server_gets_all_calls_of_a_burst():
    async def scenario(fixture: _TargetFixture) -> None:
        bound = cold_limit.limit(6.5, 1.5, 8.0, 2)
        target = target_lib.Target(
            "n1",
            fakes.header_port(),
            fixture.suspects,
            fixture.counts,
            limit_cold=lambda server: bound,
            cold_s=lambda server: server.cold_s,
        )
        fixture.target = target
        fixture.announce(sequence=1, cold_s=60.0)
        await asyncio.sleep(1.0)
        tasks = [
            asyncio.create_task(target.run(fakes.call())) for _ in range(40)
        ]
        fixture.release.set()
        results = [(await task).result for task in tasks]
        refused = [r for r in results if isinstance(r, errors.CallError)]
        assert 34 <= len(refused) < 40
        for each in refused:
            assert each.reason is errors.Reason.RATE_LIMITED
            assert each.not_run and 0.0 < each.retry_s <= 1.0
        # Other nodes learn from the load that it takes no call now.
        assert target.load > target.slots
        fixture.announce(sequence=2, cold_s=0.0)
        outcome = await target.run(fakes.call())
        assert outcome.result.status == 200


def test_displaced_call_is_answered_as_not_run_and_never_sent():
    async def scenario(fixture: _TargetFixture) -> None:
        fixture.announce(slots=1)
        loop = asyncio.get_running_loop()
        late = loop.time() + 100.0

        def run(rank: int, until: float) -> asyncio.Task:
            call = fakes.call(rank=rank, deadline=until, target_deadline=until)
            return asyncio.create_task(fixture.target.run(call))

        tasks = [run(0, late)]
        await fixture.started.wait()
        # 50 ms are assumed for each call, so the less important one fits
        # behind 40 others, but not behind 80.
        tasks += [run(0, late) for _ in range(40)]
        displaced = run(2, loop.time() + 3.0)
        await asyncio.sleep(0)
        tasks += [run(0, late) for _ in range(40)]
        outcome = await asyncio.wait_for(displaced, 1.0)
        assert outcome.result.reason is errors.Reason.OVERLOADED
        assert outcome.result.not_run
        assert outcome.result.retry_s > 0
        fixture.release.set()
        await asyncio.gather(*tasks)
        assert fixture.target.occupied == 0

    _run(scenario)
