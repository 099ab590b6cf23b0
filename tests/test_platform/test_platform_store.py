"""Client of the platform's store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import struct

import pytest

from tests.test_gateway import fakes as gateway_fakes
from tests.test_platform import fakes
from trefoilwind import errors
from trefoilwind.log import keyed
from trefoilwind.platform import store as store_lib

_Scenario = Callable[
    [store_lib.PlatformStore, fakes.StoreServer], Awaitable[None]
]


def _run(scenario: _Scenario) -> None:
    async def run() -> None:
        server = fakes.StoreServer()
        store = store_lib.PlatformStore(await server.start())
        await scenario(store, server)

    asyncio.run(run())


def test_records_are_read_as_they_were_put():
    async def scenario(store, server):
        assert await store.put("t", "k", b"\x00\xff") == 0
        assert await store.put("t", "key two", b"") == 1
        page = await store.read("t", 0, 0.1)
        assert page == keyed.KeyedPage(
            (
                keyed.KeyedRecord("k", b"\x00\xff", 0),
                keyed.KeyedRecord("key two", b"", 1),
            ),
            2,
        )
        assert (await store.read("t", 2, 0.02)).records == ()

    _run(scenario)


def test_newest_reads_all_pages():
    async def scenario(store, server):
        for number in range(5):
            await store.put("t", f"k{number}", b"old")
            await store.put("t", f"k{number}", b"%d" % number)
        page = await store.newest("t")
        assert [r.value for r in page.records] == [
            b"0",
            b"1",
            b"2",
            b"3",
            b"4",
        ]
        assert page.next_offset == 10
        assert server.calls.count("/-/log-newest") == 3

    _run(scenario)


def test_put_at_another_offset_returns_stale_base():
    async def scenario(store, server):
        assert await store.put("t", "k", b"1", at=0) == 0
        late = await store.put("t", "k", b"2", at=0)
        assert late.reason is errors.Reason.STALE_BASE

    _run(scenario)


def test_read_of_expired_offset_returns_offset_expired():
    async def scenario(store, server):
        await store.put("t", "k", b"1")
        server.expire_history()
        page = await store.read("t", 0, 0.0)
        assert page.reason is errors.Reason.OFFSET_EXPIRED

    _run(scenario)


@pytest.mark.parametrize(
    ("status", "reason"),
    [
        (429, errors.Reason.LOG_UNAVAILABLE),
        (500, errors.Reason.LOG_UNAVAILABLE),
        (503, errors.Reason.LOG_UNAVAILABLE),
        (507, errors.Reason.LOG_UNAVAILABLE),
        (403, errors.Reason.LOG_UNAVAILABLE),
        (409, errors.Reason.STALE_EPOCH),
        (410, errors.Reason.OFFSET_EXPIRED),
        (412, errors.Reason.STALE_BASE),
    ],
)
def test_each_status_is_mapped_to_a_reason(status: int, reason: errors.Reason):
    async def scenario(store, server):
        server.answers += [status, status]
        for result in (
            await store.put("t", "k", b"1"),
            await store.newest("t"),
        ):
            assert result.reason is reason
            assert str(status) in result.detail

    _run(scenario)


def test_malformed_answers_are_errors():
    for body in (b"", b"{}", b"[]", b'{"items": [{}], "end_offset": 1}'):
        page = store_lib._decode_newest(body)
        assert page.reason is errors.Reason.UNDECODABLE
    complete = b"\0" * 16 + b"\0\0\0\x05\x01kabc"
    assert len(store_lib._decode_page(complete, 0).records) == 1
    for body in (b"", complete[:-1], complete + b"\0\0"):
        page = store_lib._decode_page(body, 0)
        assert page.reason is errors.Reason.UNDECODABLE
    for item in (5, "x", [], {"key": 5, "offset": 1}, {"key": "k"}):
        items = [item, {"key": "k", "offset": 1e999}]
        body = json.dumps({"items": items, "end_offset": 1}).encode()
        page = store_lib._decode_newest(body)
        assert page.reason is errors.Reason.UNDECODABLE
    page = store_lib._decode_newest(b"[" * 100_000)
    assert page.reason is errors.Reason.UNDECODABLE


def _raw(content: bytes) -> bytes:
    return struct.pack(">I", len(content)) + content


@pytest.mark.parametrize(
    "odd",
    [b"", b"\x05k", b"\x01\xff", b"\x03\xed\xa0\x80v", b"\x03a\nbv"],
    ids=repr,
)
def test_record_with_an_odd_key_is_left_out_and_the_others_hold(
    odd: bytes, caplog: pytest.LogCaptureFixture
):
    good = _raw(b"\x01kv")
    body = b"\0" * 16 + good + _raw(odd) + good
    page = store_lib._decode_page(body, 3)
    record = keyed.KeyedRecord("k", b"v", 3)
    last = keyed.KeyedRecord("k", b"v", 5)
    assert page == keyed.KeyedPage((record, last), 6)
    (line,) = [each.getMessage() for each in caplog.records]
    assert "offset 4" in line
    assert "\n" not in line


def test_newest_reads_on_after_records_with_odd_keys():
    async def scenario(store, server):
        for key in (b"a", b"b\xff", b"c", b"d\xff", b"e\n", b"f"):
            server.append("t", key, b"v")
        page = await store.newest("t")
        assert [r.key for r in page.records] == ["a", "c", "f"]
        assert page.next_offset == 6

    _run(scenario)


def test_newest_reads_on_after_a_page_of_records_with_odd_keys():
    async def scenario(store, server):
        for key in (b"a", b"b\xfe", b"b\xff", b"c"):
            server.append("t", key, b"v")
        page = await store.newest("t")
        assert [r.key for r in page.records] == ["a", "c"]

    _run(scenario)


def test_key_that_no_store_accepts_is_an_error():
    async def scenario(store, server):
        for key in ("x" * 256, "\ud800", "a\nb"):
            result = await store.put("t", key, b"v")
            assert result.reason is errors.Reason.OUT_OF_RANGE
        assert await store.put("t", "x" * 255, b"v") == 0

    _run(scenario)


def test_unreachable_store_is_log_unavailable():
    async def run():
        address = await fakes.StoreServer().start()
        unused = type(address)(address.host, 1)
        return await store_lib.PlatformStore(unused).put("t", "k", b"")

    result = asyncio.run(run())
    assert result.reason is errors.Reason.LOG_UNAVAILABLE


def test_offsets_after_a_restore_are_greater_than_all_before():
    async def scenario(store, server):
        before = [await store.put("t", "k", b"%d" % n) for n in range(3)]
        server.restore(kept=1)
        after = await store.put("t", "k", b"4")
        assert after > max(before)
        page = await store.newest("t")
        assert [record.offset for record in page.records] == [after]
        assert page.next_offset > after

    _run(scenario)


def test_offset_of_an_earlier_era_has_expired_even_if_the_store_has_it():
    async def scenario(store, server):
        await store.put("t", "k", b"1")
        end = (await store.newest("t")).next_offset
        server.restore(kept=1)
        await store.put("t", "k", b"2")
        for _ in range(2):
            page = await store.read("t", end, 0.0)
            assert page.reason is errors.Reason.OFFSET_EXPIRED

    _run(scenario)


def test_conditional_put_on_an_earlier_era_returns_stale_base():
    async def scenario(store, server):
        await store.put("t", "k", b"1")
        end = (await store.newest("t")).next_offset
        server.restore(kept=1)
        # The first call finds the restore with its answer, the second knows.
        for _ in range(2):
            result = await store.put("t", "k", b"2", at=end)
            assert result.reason is errors.Reason.STALE_BASE
        assert server.calls.count("/-/log-append") == 2

    _run(scenario)


def test_waiting_read_ends_once_another_call_finds_a_restore():
    async def scenario(store, server):
        await store.put("t", "k", b"1")
        end = (await store.newest("t")).next_offset
        reading = asyncio.create_task(store.read("t", end, 20.0))
        await asyncio.sleep(0.05)
        server.restore_silently(kept=1)
        await store.newest("t")
        async with asyncio.timeout(5.0):
            page = await reading
        assert page.reason is errors.Reason.OFFSET_EXPIRED

    _run(scenario)


def test_large_page_that_arrives_slowly_is_read(monkeypatch):
    """Guards against reads that are repeated from the start for ever."""
    monkeypatch.setattr(store_lib, "CALL_TIMEOUT_S", 0.3)

    async def send_slowly(reader, writer) -> None:
        await gateway_fakes.read_head(reader)
        body = b'{"items": [], "end_offset": 7}'.ljust(1000)
        answer = gateway_fakes.answer(body)
        for start in range(0, len(answer), 100):
            writer.write(answer[start : start + 100])
            await asyncio.sleep(0.05)
        await reader.read()

    async def run() -> keyed.KeyedPage | errors.LogError:
        async with gateway_fakes.RawServer(send_slowly) as server:
            return await store_lib.PlatformStore(server.address).newest("t")

    assert asyncio.run(run()) == keyed.KeyedPage((), 7)
