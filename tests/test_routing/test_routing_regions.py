"""Tests of evacuations and allowed regions without a network."""

import dataclasses

import pytest

from trefoilwind import errors
from trefoilwind.model import addresses
from trefoilwind.model import members
from trefoilwind.model import mesh
from trefoilwind.routing import regions

_ROUTE = mesh.HostRoute(
    "r", "h", "/", True, 1.0, 1.0, 0, (mesh.Destination("s", 1.0),), 1
)
_MEMBER = members.Member(
    "n", 1, 1, "d", addresses.Address(), "s", "v", 1, region="eu"
)
_NONE = regions.Evacuations()


def _order(is_active: bool, offset: int = 1) -> mesh.Evacuation:
    return mesh.Evacuation("d", is_active, offset)


@pytest.mark.parametrize(
    ("route", "customer", "parent", "allowed"),
    [
        ((), (), None, None),
        (("eu",), (), None, {"eu"}),
        ((), ("eu", "us"), None, {"eu", "us"}),
        (("eu", "us"), ("us", "ap"), None, {"us"}),
        (("eu",), ("us",), None, set()),
        ((), (), frozenset({"eu"}), {"eu"}),
        (("us",), (), frozenset({"eu"}), set()),
    ],
)
def test_restrictions_that_overlap_all_apply(route, customer, parent, allowed):
    result = regions.allowed_regions(
        dataclasses.replace(_ROUTE, allowed_regions=route),
        mesh.Customer("c", allowed_regions=customer),
        parent,
    )
    assert result == allowed


def test_unknown_region_matches_no_server():
    assert regions.allows(_MEMBER, None, _NONE)
    assert regions.allows(_MEMBER, frozenset({"eu"}), _NONE)
    assert not regions.allows(_MEMBER, frozenset({"nowhere"}), _NONE)
    assert not regions.allows(_MEMBER, frozenset(), _NONE)


def test_evacuated_data_centre_is_refused_whatever_the_regions():
    evacuated = _NONE.with_order(_order(True), 1.0)
    reason = regions.refusal("d", "eu", frozenset({"eu"}), evacuated)
    assert reason is errors.Reason.EVACUATED
    assert evacuated.with_order(_order(True, 2), 2.0) is evacuated


def test_data_centre_that_returns_is_not_flooded_at_once():
    evacuations = _NONE.with_order(_order(True), 1.0)
    evacuations = evacuations.with_order(_order(False), 10.0)
    draws = [number / 100 for number in range(100)]
    shares = []
    for now in (10.0, 10.0 + regions.RETURN_S / 2, 10.0 + regions.RETURN_S):
        avoided = [
            regions.held_back(evacuations, now, lambda d=draw: d)
            for draw in draws
        ]
        shares.append(avoided.count(frozenset()) / len(draws))
    assert shares[0] == regions.FIRST_SHARE
    assert shares[1] == pytest.approx(0.5, abs=0.02)
    assert shares[2] == 1.0
    again = evacuations.with_order(_order(True, 3), 11.0)
    assert again.evacuated == {"d"}
    assert not again.returned_at


def test_regions_that_do_not_exist_are_named():
    route = dataclasses.replace(_ROUTE, allowed_regions=("eu", "no"))
    customer = mesh.Customer("c", allowed_regions=("na",))
    configuration = mesh.MeshConfiguration(1, (route,), customers=(customer,))
    named = ("route r: no", "customer c: na")
    assert regions.unknown_regions(configuration, ["eu"]) == named
    assert regions.unknown_regions(configuration, []) == ()


def test_evacuation_that_leaves_no_region_to_a_customer_is_found():
    route = dataclasses.replace(_ROUTE, allowed_regions=("eu", "us"))
    customer = mesh.Customer("c", allowed_regions=("us", "ap"))
    configuration = mesh.MeshConfiguration(1, (route,), customers=(customer,))
    assert regions.without_region(configuration, ["us"]) == ()
    pair = ("route r, customer c",)
    assert regions.without_region(configuration, ["eu", "ap"]) == pair
    assert regions.without_region(configuration, ["ap"]) == ("route r",)
