"""Decision on a request by its key, route and the age of the keys."""

import pytest

from trefoilwind import errors
from trefoilwind.customers import access
from trefoilwind.customers import keys
from trefoilwind.model import mesh

_ANA = mesh.Customer("ana", ("k",))
_TABLE = keys.KeyTable((_ANA,))
_Reason = errors.Reason


@pytest.mark.parametrize(
    ("key", "is_nested", "is_confirmed", "reason"),
    [
        (b"", False, True, _Reason.KEY_MISSING),
        (None, False, True, _Reason.KEY_MALFORMED),
        (None, True, True, _Reason.KEY_MALFORMED),
        (b"old", False, True, _Reason.KEY_UNKNOWN),
        (b"old", True, True, _Reason.KEY_UNKNOWN),
        (b"k", False, False, _Reason.KEYS_UNCONFIRMED),
        (b"k", True, False, _Reason.KEYS_UNCONFIRMED),
        # An unknown key may be a new one that this node does not have yet.
        (b"old", False, False, _Reason.KEYS_UNCONFIRMED),
        (b"", False, False, _Reason.KEY_MISSING),
    ],
)
def test_request_without_a_valid_key_is_refused(
    key: bytes | None, is_nested: bool, is_confirmed: bool, reason: _Reason
):
    found = access.check(_TABLE, key, False, is_nested, is_confirmed)
    assert found.reason is reason
    assert found.is_temporary == (reason is _Reason.KEYS_UNCONFIRMED)


def test_public_and_nested_requests_need_no_key():
    assert access.check(_TABLE, b"old", True, False, False) is None
    assert access.check(_TABLE, b"", False, True, False) is None
    assert access.check(_TABLE, b"k", False, False, True) is _ANA


def test_configuration_with_no_customer_left_refuses_all_keys():
    route = mesh.HostRoute("r", "a", "/", True, 1.0, 1.0, 0, (), 1)
    checked = access.Access()
    assert checked.check(b"k", route, False) is None
    for customers, result in (((_ANA,), _ANA), ((), None)):
        checked.update(
            mesh.MeshConfiguration(customers=customers, has_customers=True)
        )
        found = checked.check(b"k", route, False)
        assert (found if result else found.reason) is (
            result or _Reason.KEY_UNKNOWN
        )
    checked.update(mesh.MeshConfiguration())
    assert checked.check(b"", route, False) is None
