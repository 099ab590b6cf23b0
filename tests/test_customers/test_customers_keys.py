"""Table of keys: look-up and bounds."""

import pytest

from trefoilwind.customers import keys
from trefoilwind.model import bounds
from trefoilwind.model import mesh

_TABLE = keys.KeyTable(
    (mesh.Customer("ana", ("k-1", "k-2")), mesh.Customer("bo", ("clé",)))
)


def test_each_key_of_a_customer_is_found():
    assert _TABLE.find(b"k-2").name == "ana"
    assert _TABLE.find("clé".encode()).name == "bo"


@pytest.mark.parametrize(
    "key", [b"", b"k-", b"K-1", b"k-1 ", b"k-1" * bounds.MAX_KEY_BYTES]
)
def test_similar_key_is_unknown(key: bytes):
    assert _TABLE.find(key) is None


def test_keys_beyond_the_limit_are_rejected():
    many = tuple(str(number) for number in range(bounds.MAX_KEYS + 1))
    with pytest.raises(ValueError):
        keys.KeyTable((mesh.Customer("ana", many),))
    assert (
        len(keys.KeyTable((mesh.Customer("ana", many[1:]),))) == len(many) - 1
    )
