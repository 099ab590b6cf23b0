"""Operator records after the store was restored from an older copy."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from tests.test_platform import fakes
from trefoilwind.gateway import follower as follower_lib
from trefoilwind.gateway import record_sharing
from trefoilwind.platform import store as store_lib
from trefoilwind.telemetry import counts as counts_lib

_PLAN = follower_lib.ReadPlan(interval_s=0.02, wait_s=0.2)


class _Reader:
    """A node's reception of operator records from the store."""

    def __init__(self, store: store_lib.PlatformStore):
        self.values: list[bytes] = []
        sharing = record_sharing.RecordSharing(
            lambda record: self.values.append(record.value)
        )
        self.follower = follower_lib.Follower(
            store,
            "t",
            lambda records: [sharing.add(record) for record in records],
            lambda: _PLAN,
            random.Random(1),
            counts_lib.MeshCounts(),
            skips_superseded=True,
        )

    async def until(self, value: bytes) -> None:
        """Wait until a value is the newest one."""
        async with asyncio.timeout(10.0):
            while not self.values or self.values[-1] != value:
                await asyncio.sleep(0.01)


_Scenario = Callable[
    [_Reader, store_lib.PlatformStore, fakes.StoreServer], Awaitable[None]
]


def _run(scenario: _Scenario) -> None:
    async def run() -> None:
        server = fakes.StoreServer()
        address = await server.start()
        reader = _Reader(store_lib.PlatformStore(address))
        task = asyncio.create_task(reader.follower.run())
        await scenario(reader, store_lib.PlatformStore(address), server)
        task.cancel()

    asyncio.run(run())


async def _put_all(
    store: store_lib.PlatformStore, values: tuple[bytes, ...], key: str = "k"
) -> None:
    for value in values:
        await store.put("t", key, value)


def test_record_at_the_offset_of_a_lost_one_is_applied():
    async def scenario(reader, operator, server):
        await _put_all(operator, (b"1", b"2", b"3"))
        await reader.until(b"3")
        server.restore(kept=1)
        await _put_all(operator, (b"3", b"4"))
        await reader.until(b"4")

    _run(scenario)


def test_record_below_the_known_offset_is_applied_where_the_topic_has_grown():
    async def scenario(reader, operator, server):
        await _put_all(operator, (b"1", b"2", b"3"))
        await reader.until(b"3")
        server.restore(kept=1)
        await operator.put("t", "k", b"4")
        await _put_all(operator, (b"a", b"b", b"c"), key="other")
        async with asyncio.timeout(10.0):
            while b"4" not in reader.values or b"c" not in reader.values:
                await asyncio.sleep(0.01)

    _run(scenario)
