"""Tests of writing records until they are stored."""

import asyncio
import random

import uvloop

from trefoilwind import errors
from trefoilwind.gateway import publisher as publisher_lib
from trefoilwind.standins import keyed_store

_TOPIC = "t"


class _RefusingStore(keyed_store.MemoryStore):
    """Store that refuses the records of one key."""

    async def put(self, topic: str, key: str, value: bytes, at=None):
        """Write a record unless its key is refused."""
        if key == "refused":
            return errors.LogError(errors.Reason.OUT_OF_RANGE, "test")
        return await super().put(topic, key, value, at)


def test_records_of_other_keys_do_not_wait_for_a_refused_one():
    async def scenario():
        store = _RefusingStore()
        publisher = publisher_lib.Publisher(store, _TOPIC, random.Random(1))
        publisher.put("refused", b"1")
        publisher.put("good", b"2")
        task = asyncio.ensure_future(publisher.run())
        async with asyncio.timeout(5.0):
            while not store.records(_TOPIC):
                await asyncio.sleep(0.01)
        task.cancel()
        return store.records(_TOPIC)

    (record,) = uvloop.run(scenario())
    assert (record.key, record.value) == ("good", b"2")


def test_value_counts_as_stored_only_once_the_store_has_confirmed_it():
    # Guards against an acknowledgement of what a failed write has not stored.
    async def scenario():
        store = keyed_store.MemoryStore()
        store.faults.is_down = True
        publisher = publisher_lib.Publisher(store, _TOPIC, random.Random(1))
        task = asyncio.ensure_future(publisher.run())
        loop = asyncio.get_running_loop()
        assert await publisher.wait_stored("k", loop.time())
        publisher.put("k", b"1")
        assert not await publisher.wait_stored("k", loop.time() + 0.3)
        assert not store.records(_TOPIC)
        store.faults.is_down = False
        assert await publisher.wait_stored("k", loop.time() + 5.0)
        assert store.records(_TOPIC)[-1].value == b"1"
        task.cancel()

    uvloop.run(scenario())
