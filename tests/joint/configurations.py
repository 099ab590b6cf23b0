"""Configurations and simulated meshes for the joint tests."""

import dataclasses

from tests.joint import world as world_lib
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import state as state_lib

SETTLE_S = 9.0


def base() -> configuration_lib.Configuration:
    """Return a small valid configuration."""
    lookup = configuration_lib.ClassTarget("lookup", True, 0.2, 0.99, 2, 5.0)
    order = configuration_lib.ClassTarget("order", False, 0.5, 0.99, 3, 5.0)
    routes = (
        configuration_lib.Route("/", "lookup"),
        configuration_lib.Route("/orders", "order", ("POST",)),
    )
    return configuration_lib.Configuration(
        data_centres=tuple(
            configuration_lib.DataCentre(name, region)
            for name, region in world_lib.REGIONS.items()
        ),
        halves=("north", "south"),
        classes=(lookup, order),
        services=tuple(
            configuration_lib.Service(name, "v1", routes)
            for name in ("catalogue", "artwork")
        ),
        ownership=(
            configuration_lib.Ownership("north", data_centre="perth-a"),
            configuration_lib.Ownership("south"),
        ),
    )


def with_timeout(timeout_s: float) -> configuration_lib.Configuration:
    """Return the base with the timeout of its first class replaced."""
    first, *rest = base().classes
    changed = dataclasses.replace(first, timeout_s=timeout_s)
    return dataclasses.replace(base(), classes=(changed, *rest))


def with_unknown_class() -> configuration_lib.Configuration:
    """Return a configuration whose last route names an undefined class."""
    first, last = base().services
    route = configuration_lib.Route("/new", "missing")
    broken = dataclasses.replace(last, routes=(*last.routes, route))
    return dataclasses.replace(base(), services=(first, broken))


def start_world(seed: int) -> world_lib.World:
    """Return a world of seven nodes that have applied the base."""
    world = world_lib.World(seed)
    for index, (data_centre, service, version) in enumerate(
        (
            ("perth-a", "catalogue", "v1"),
            ("pilbara-a", "catalogue", "v1"),
            ("perth-b", "catalogue", "v1"),
            ("perth-a", "artwork", "v1"),
            ("pilbara-a", "artwork", "v1"),
            ("perth-b", "catalogue", "v2"),
            ("pilbara-a", "catalogue", "v2"),
        )
    ):
        world.start_node(f"{service}-{index}", data_centre, service, version)
    world.publish(state_lib.NO_VERSION, base())
    world.run(SETTLE_S)
    return world
