"""Tests of processes that left before their node knew them."""

import dataclasses

from trefoilwind.gateway import departures
from trefoilwind.model import addresses
from trefoilwind.model import mesh

_SERVER = mesh.BackendServer(
    "i1", "s", "v1", addresses.Address("10.0.0.1", 1), 4, started_ms=100
)


def test_process_that_started_before_its_deregistration_has_left():
    left = departures.Departures()
    assert not left.has_left(_SERVER)
    left.add("i1", 150)
    assert left.has_left(_SERVER)
    assert not left.has_left(dataclasses.replace(_SERVER, instance_id="i2"))


def test_later_process_with_the_same_id_has_not_left():
    # Guards against a server that is never used again, as its id was reused.
    left = departures.Departures()
    left.add("i1", 150)
    assert not left.has_left(dataclasses.replace(_SERVER, started_ms=151))


def test_oldest_ids_are_forgotten():
    left = departures.Departures()
    for number in range(departures.MAX_IDS + 1):
        left.add(f"i{number}", 150)
    assert not left.has_left(dataclasses.replace(_SERVER, instance_id="i0"))
    assert left.has_left(_SERVER)
