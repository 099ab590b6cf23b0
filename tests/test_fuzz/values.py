"""Strategies for unvalidated input."""

from hypothesis import strategies
import msgpack

_INTEGERS = strategies.integers(-(2**63), 2**64 - 1)
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | _INTEGERS
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
)
PLAIN = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=6)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=12,
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=4
        )
    ),
    max_leaves=10,
)


def pack(value: object) -> bytes:
    """Return the msgpack bytes of a plain value."""
    return msgpack.packb(value)


@strategies.composite
def corrupted(draw, valid):
    """Draw bytes from `valid` and replace, remove or insert some."""
    data = bytearray(draw(valid))
    for _ in range(draw(strategies.integers(0, 4))):
        position = draw(strategies.integers(0, max(0, len(data) - 1)))
        patch = draw(strategies.binary(max_size=4))
        end = position + draw(strategies.integers(0, 4))
        data[position:end] = patch
    return bytes(data)


def filled(cls_strategy, fields):
    """Return objects with some of the valid keys and some invalid values."""
    return strategies.fixed_dictionaries(
        {}, optional=dict.fromkeys(fields, cls_strategy | JSON)
    )
