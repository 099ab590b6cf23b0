"""Idempotency keys across complete nodes that use real sockets."""

import urllib3

from trefoilwind.model import configuration
from trefoilwind.model import records
from trefoilwind.standins import mesh as mesh_lib

_PLACES = (("perth-a", "perth"), ("perth-b", "perth"), ("pilbara-a", "pilbara"))


def _publish(mesh):
    published = configuration.Configuration(
        data_centres=tuple(configuration.DataCentre(*p) for p in _PLACES),
        classes=(configuration.ClassTarget("orders", False, 1.0, 0.9),),
        services=(
            configuration.Service(
                "catalogue", "v1", (configuration.Route("/", "orders"),)
            ),
        ),
    )
    body = records.Publication(-1, published)
    mesh.log.append(records.encode("operator/1", "operator", body))


def _order(pool, url, key):
    return pool.request(
        "POST",
        f"{url}/catalogue/orders",
        body=b"plaque",
        headers={"Idempotency-Key": key},
        retries=False,
    )


def test_a_repeat_through_another_node_gets_the_recorded_answer():
    mesh = mesh_lib.Mesh()
    pool = urllib3.PoolManager()
    try:
        for place in _PLACES:
            mesh.add_node(*place, "catalogue", "v1")
        _publish(mesh)
        keys = iter(range(1000))
        # New nodes refuse claims until the handover period has passed.
        assert mesh.wait_until(
            lambda: (
                _order(pool, mesh.caller_urls[0], f"k{next(keys)}").status
                == 200
            ),
            timeout_s=30.0,
        )
        before = sum(b.calls for b in mesh.backends)
        answers = [_order(pool, u, "order").data for u in mesh.caller_urls]
        assert sum(b.calls for b in mesh.backends) == before + 1
        assert answers == [answers[0]] * len(_PLACES)
    finally:
        mesh.stop()
