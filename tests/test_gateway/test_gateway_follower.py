"""Tests of following a keyed topic of an in-memory store."""

import asyncio
from collections.abc import Callable
import logging
import random

import uvloop

from trefoilwind.gateway import follower as follower_lib
from trefoilwind.log import keyed
from trefoilwind.logs import json_lines
from trefoilwind.standins import keyed_store
from trefoilwind.telemetry import counts as counts_lib
from trefoilwind.telemetry import prometheus

_TOPIC = "t"
# Longer than any test runs.
_NEVER_S = 3600.0


class _Reader:
    """A follower that records what it reads."""

    def __init__(
        self,
        plan: Callable[[], follower_lib.ReadPlan],
        store: keyed_store.MemoryStore | None = None,
        skips_superseded: bool = False,
    ):
        self.store = store or keyed_store.MemoryStore()
        self.records: list[keyed.KeyedRecord] = []
        self.read_to: list[int] = []
        self.counts = counts_lib.MeshCounts()
        self.follower = follower_lib.Follower(
            self.store,
            _TOPIC,
            self.records.extend,
            plan,
            random.Random(1),
            self.counts,
            self.read_to.append,
            skips_superseded=skips_superseded,
        )

    async def run_until(self, condition: Callable[[], bool]) -> None:
        """Run the follower until a condition is true."""
        task = asyncio.ensure_future(self.follower.run())
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.005)
        task.cancel()


def _plan(**changes) -> Callable[[], follower_lib.ReadPlan]:
    values = {"interval_s": 0.01, "wait_s": 0.01} | changes
    return lambda: follower_lib.ReadPlan(**values)


def test_only_the_newest_record_of_a_key_is_kept_from_a_page():
    old = keyed.KeyedRecord("a", b"1", 3)
    other = keyed.KeyedRecord("b", b"2", 4)
    new = keyed.KeyedRecord("a", b"3", 5)
    assert follower_lib.newest_by_key((old, other, new)) == [other, new]


def test_records_and_read_offsets_are_reported():
    async def scenario():
        reader = _Reader(_plan())
        await reader.store.put(_TOPIC, "a", b"1")
        await reader.run_until(lambda: len(reader.read_to) > 1)
        return reader

    reader = uvloop.run(scenario())
    assert [record.value for record in reader.records] == [b"1"]
    assert set(reader.read_to) == {1}
    assert reader.follower.has_read


def test_nothing_is_read_while_another_node_reads():
    async def scenario():
        plans = [follower_lib.ReadPlan(0.0, 0.0, True)]
        idle = follower_lib.ReadPlan(0.0, 0.0, False)
        plan_calls = []

        def plan():
            plan_calls.append(1)
            return plans.pop() if plans else idle

        reader = _Reader(plan)
        await reader.run_until(lambda: len(plan_calls) == 3)
        return reader

    assert uvloop.run(scenario()).store.calls == 1


def test_read_soon_skips_the_read_interval():
    async def scenario():
        reader = _Reader(_plan(interval_s=_NEVER_S))
        await reader.run_until(lambda: len(reader.read_to) == 1)
        await reader.store.put(_TOPIC, "a", b"1")
        reader.follower.read_soon()
        task = asyncio.ensure_future(reader.follower.run())
        async with asyncio.timeout(10.0):
            while not reader.records:
                await asyncio.sleep(0.005)
        task.cancel()
        return reader

    assert uvloop.run(scenario()).records[0].value == b"1"


def test_records_received_from_a_peer_are_not_read_again():
    async def scenario():
        reader = _Reader(_plan())
        reader.follower.skip_to(5)
        before = reader.follower.offset
        await reader.run_until(lambda: len(reader.read_to) > 0)
        for value in (b"1", b"2", b"3"):
            await reader.store.put(_TOPIC, "a", value)
        reader.follower.skip_to(3)
        await reader.run_until(lambda: len(reader.read_to) > 1)
        reader.follower.skip_to(1)
        return before, reader

    before, reader = uvloop.run(scenario())
    assert before is None
    assert not reader.records
    assert reader.follower.offset == 3


def test_newest_records_are_read_after_the_offset_expired():
    async def scenario():
        reader = _Reader(_plan())
        await reader.run_until(lambda: bool(reader.read_to))
        await reader.store.put(_TOPIC, "a", b"1")
        await reader.store.put(_TOPIC, "a", b"2")
        reader.store.expire_history(_TOPIC)
        await reader.run_until(lambda: bool(reader.records))
        return reader

    assert [r.value for r in uvloop.run(scenario()).records] == [b"2"]


def test_failing_store_is_unavailable_until_it_answers():
    async def scenario():
        reader = _Reader(_plan())
        reader.store.faults.is_down = True
        await reader.run_until(lambda: reader.follower.is_unavailable)
        had_read = reader.follower.has_read
        reader.store.faults.is_down = False
        await reader.run_until(lambda: not reader.follower.is_unavailable)
        return had_read, reader.follower.has_read

    assert uvloop.run(scenario()) == (False, True)


def test_reads_are_logged_and_counted_with_their_superseded_records(caplog):
    async def scenario():
        reader = _Reader(_plan())
        await reader.run_until(lambda: bool(reader.read_to))
        for value in (b"1", b"22", b"333"):
            await reader.store.put(_TOPIC, "a", value)
        await reader.run_until(lambda: bool(reader.records))
        reader.store.faults.is_down = True
        await reader.run_until(lambda: reader.follower.is_unavailable)
        return reader

    with caplog.at_level(logging.INFO):
        reader = uvloop.run(scenario())
    lines = [getattr(r, json_lines.FIELDS, {}) for r in caplog.records]
    reads = [line for line in lines if line.get("kind") == "store_read"]
    assert [(r["records"], r["superseded"], r["bytes"]) for r in reads] == [
        (3, 2, 6)
    ]
    assert (reads[0]["offset"], reads[0]["next_offset"]) == (0, 3)
    failed = [x for x in lines if x.get("kind") == "store_read_failed"]
    assert failed[0]["offset"] == 3
    text = prometheus.render(reader.counts.families()).decode()
    assert 'trefoilwind_store_read_bytes_total{topic="t"} 6' in text
    result = 'result="log-unavailable",topic="t"'
    assert f"trefoilwind_store_reads_total{{{result}}}" in text


class _CountingStore(keyed_store.MemoryStore):
    """Store that counts the records that it returns."""

    def __init__(self) -> None:
        super().__init__()
        self.returned: list[int] = []

    async def newest(self, topic: str):
        """Count and return the newest records."""
        return self._count(await super().newest(topic))

    async def read(self, topic: str, offset: int, wait_s: float):
        """Count and return the records from an offset on."""
        return self._count(await super().read(topic, offset, wait_s))

    def _count(self, page):
        if isinstance(page, keyed.KeyedPage):
            self.returned.append(len(page.records))
        return page


async def _read_versions(reader: _Reader, count: int) -> None:
    """Write versions of one key, and run until the last one is read."""
    for version in range(count):
        await reader.store.put(_TOPIC, "a", b"%d" % version)
    last = b"%d" % (count - 1)
    await reader.run_until(
        lambda: bool(reader.records) and reader.records[-1].value == last
    )


def test_after_failed_reads_only_the_newest_versions_are_read():
    async def scenario():
        reader = _Reader(_plan(), _CountingStore(), skips_superseded=True)
        await reader.run_until(lambda: bool(reader.read_to))
        reader.store.faults.is_down = True
        await reader.run_until(lambda: reader.follower.is_unavailable)
        reader.store.faults.is_down = False
        reader.store.returned.clear()
        await _read_versions(reader, 40)
        return reader

    assert uvloop.run(scenario()).store.returned[0] == 1


def test_after_a_long_silence_only_the_newest_versions_are_read():
    async def scenario():
        reader = _Reader(_plan(), _CountingStore(), skips_superseded=True)
        await reader.run_until(lambda: bool(reader.read_to))
        await asyncio.sleep(0.05)
        reader.store.returned.clear()
        await _read_versions(reader, 40)
        return reader

    assert uvloop.run(scenario()).store.returned[0] == 1


def test_a_reader_that_falls_behind_skips_superseded_versions():
    async def scenario():
        reader = _Reader(
            _plan(interval_s=0.03), _CountingStore(), skips_superseded=True
        )
        task = asyncio.ensure_future(reader.follower.run())
        for version in range(60):
            await reader.store.put(_TOPIC, "a", b"%d" % version)
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.1)
        task.cancel()
        return reader

    reader = uvloop.run(scenario())
    assert reader.records[-1].value == b"59"
    # A read by offset returns about six versions, a read of the newest one.
    assert sum(reader.store.returned) < 30


def test_records_of_a_peer_replace_the_first_read():
    async def scenario():
        # Records count as old after one and a half intervals.
        reader = _Reader(_plan(interval_s=5.0), skips_superseded=True)
        for value in (b"1", b"2"):
            await reader.store.put(_TOPIC, "a", value)
        reader.follower.start_at(2)
        has_read = reader.follower.has_read
        await reader.run_until(lambda: bool(reader.read_to))
        return has_read, reader

    has_read, reader = uvloop.run(scenario())
    assert has_read
    assert not reader.records


def test_records_of_a_peer_are_forgotten_when_the_offset_expires():
    """Guards against refused calls until a store that fails is read again."""

    async def scenario():
        plans = [follower_lib.ReadPlan(0.0, 0.0)]
        idle = follower_lib.ReadPlan(0.0, 0.0, is_due=False)
        reader = _Reader(lambda: plans.pop() if plans else idle)
        for value in (b"1", b"2"):
            await reader.store.put(_TOPIC, "a", value)
        reader.store.expire_history(_TOPIC)
        reader.follower.start_at(1)
        await reader.run_until(lambda: reader.follower.offset is None)
        return reader

    assert uvloop.run(scenario()).follower.has_read


def test_record_that_cannot_be_handled_is_left_out_and_the_others_hold(caplog):
    async def scenario():
        store = keyed_store.MemoryStore()
        handled = []

        def handle(records):
            for record in records:
                if record.key == "odd":
                    raise RuntimeError("unexpected")
                handled.append(record.key)

        follower = follower_lib.Follower(
            store,
            _TOPIC,
            handle,
            _plan(),
            random.Random(1),
            counts_lib.MeshCounts(),
        )
        task = asyncio.ensure_future(follower.run())
        while not follower.has_read:
            await asyncio.sleep(0.005)
        for key in ("a", "odd", "b"):
            await store.put(_TOPIC, key, b"1")
        async with asyncio.timeout(5.0):
            while follower.offset != 3 and not task.done():
                await asyncio.sleep(0.005)
        await store.put(_TOPIC, "c", b"1")
        async with asyncio.timeout(5.0):
            while "c" not in handled and not task.done():
                await asyncio.sleep(0.005)
        assert not task.done()
        task.cancel()
        return handled

    assert set(uvloop.run(scenario())) == {"a", "b", "c"}
    lines = [r for r in caplog.records if "record odd at" in r.getMessage()]
    assert len(lines) == 1


class _LostReads(keyed_store.MemoryStore):
    """A store that answers no read by offset."""

    async def read(self, topic, offset, wait_s):
        """Wait for longer than any test runs."""
        await asyncio.sleep(_NEVER_S)


def test_wait_that_was_abandoned_is_followed_by_a_read_of_the_newest_records():
    async def scenario():
        reader = _Reader(
            _plan(interval_s=0.2, wait_s=_NEVER_S),
            _LostReads(),
            skips_superseded=True,
        )
        task = asyncio.ensure_future(reader.follower.run())
        async with asyncio.timeout(10.0):
            while not reader.follower.read_s:
                await asyncio.sleep(0.005)
            await reader.store.put(_TOPIC, "a", b"1")
            reader.follower.abandon_wait(_NEVER_S)
            await asyncio.sleep(0.05)
            assert not reader.records
            while not reader.records:
                await asyncio.sleep(0.005)
                reader.follower.abandon_wait(0.0)
        task.cancel()
        return reader

    assert uvloop.run(scenario()).records[0].value == b"1"


def test_read_whose_answer_is_due_is_not_abandoned():
    async def scenario():
        reader = _Reader(_plan(wait_s=0.01), _LostReads())
        task = asyncio.ensure_future(reader.follower.run())
        async with asyncio.timeout(10.0):
            while reader.follower.read_s < 0.05:
                await asyncio.sleep(0.005)
        reader.follower.abandon_wait(0.0)
        await asyncio.sleep(0.05)
        is_reading = reader.follower.read_s > 0.05
        task.cancel()
        return is_reading

    assert uvloop.run(scenario())


def test_lost_wait_is_repeated_when_a_write_finds_records_that_it_lacks():
    async def scenario():
        store = _LostReads()
        reader = _Reader(_plan(wait_s=_NEVER_S), store)
        task = asyncio.ensure_future(reader.follower.run())
        async with asyncio.timeout(10.0):
            while not reader.follower.read_s:
                await asyncio.sleep(0.005)
            await store.put(_TOPIC, "a", b"1")
            reader.follower.read_soon()
            await asyncio.sleep(0.1)
            is_kept = not reader.follower.is_unavailable
            while not reader.follower.is_unavailable:
                await asyncio.sleep(0.05)
                reader.follower.read_soon()
        task.cancel()
        return is_kept

    assert uvloop.run(scenario())
