"""Tests of the differences between versions of a document."""

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from trefoilwind import errors
from trefoilwind.distribution import deltas

_ROWS = [f'["route-{row}","host-{row % 7}.example"]' for row in range(800)]


def _document(rows: list[str]) -> bytes:
    return f'{{"rows":[{",".join(rows)}]}}'.encode()


_TEXT = strategies.lists(
    strategies.sampled_from(
        [b"[a]", b"[b]", b",", b"]", b"[", b"\xff\x00", b"x"]
    )
).map(b"".join)


@hypothesis.given(_TEXT, _TEXT)
def test_any_document_is_restored_from_its_delta(base, target):
    assert deltas.apply(base, deltas.encode(base, target)) == target


def test_a_changed_row_costs_a_few_bytes():
    changed = list(_ROWS)
    changed[100] = '["route-100","other.example"]'
    del changed[400]
    changed.insert(500, '["route-new","new.example"]')
    delta = deltas.encode(_document(_ROWS), _document(changed))
    assert deltas.apply(_document(_ROWS), delta) == _document(changed)
    assert len(delta) < 150


def test_a_delta_is_not_applied_to_another_base():
    delta = deltas.encode(_document(_ROWS), _document(_ROWS[:-1]))
    other = _document(_ROWS).replace(b"route-5", b"route-X")
    result = deltas.apply(other, delta)
    assert isinstance(result, errors.Error)
    assert result.reason is errors.Reason.UNDECODABLE


@pytest.mark.parametrize(
    "delta",
    [
        b"",
        b"\xc1",
        msgpack.packb(7),
        msgpack.packb((b"sum", 7)),
        msgpack.packb((b"sum", ["text"])),
        msgpack.packb((b"sum", [(0, 99)])),
        msgpack.packb((b"sum", [(3, 1)])),
        msgpack.packb((b"sum", [(-2, 2)])),
    ],
)
def test_malformed_deltas_are_errors(delta):
    assert isinstance(deltas.apply(b"base", delta), errors.Error)


def test_a_delta_cannot_expand_beyond_the_limit():
    base = b"x" * 1024 * 1024
    parts = [(0, len(base))] * (deltas.MAX_DOCUMENT_BYTES // len(base) + 1)
    result = deltas.apply(base, msgpack.packb((b"sum", parts)))
    assert isinstance(result, errors.Error)
