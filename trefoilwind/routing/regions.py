"""Which backend servers may run a call: evacuations and regions; pure.

Answers an operator who empties a data centre under full load and later takes
that back. The load of its backend servers moves to the others at once; when the
order is taken back, all entry nodes see empty servers there at the same time
and would send them everything, while the servers may still be slow.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from trefoilwind import errors
from trefoilwind.model import members as members_lib
from trefoilwind.model import mesh
from trefoilwind.routing import cold_start

# Seconds after the end of an evacuation until the data centre receives its
# whole share again: its backend servers may have been restarted meanwhile.
RETURN_S = cold_start.COLD_START_S
# Share at the end of the evacuation; above zero, so that reports of the load
# there arrive before most of the calls do.
FIRST_SHARE = 0.05

Regions = frozenset[str]


@dataclasses.dataclass(frozen=True)
class Evacuations:
    """Evacuations in force and those that have ended.

    Attributes:
        evacuated: Data centres whose backend servers receive no calls.
        returned_at: Monotonic time in seconds at which the evacuation of a
            data centre ended, by data centre.
    """

    evacuated: frozenset[str] = frozenset()
    returned_at: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def with_order(self, order: mesh.Evacuation, now: float) -> "Evacuations":
        """Return the evacuations after an order or its withdrawal."""
        name = order.data_centre
        if order.is_active == (name in self.evacuated):
            return self
        returned_at = dict(self.returned_at)
        if order.is_active:
            returned_at.pop(name, None)
            return Evacuations(self.evacuated | {name}, returned_at)
        returned_at[name] = now
        return Evacuations(self.evacuated - {name}, returned_at)


def allowed_regions(
    route: mesh.HostRoute,
    customer: mesh.Customer | None,
    parent: Regions | None = None,
) -> Regions | None:
    """Return the regions whose backend servers may run a call; None for all.

    Args:
        route: Route of the call.
        customer: Customer whose caller sent it; None for none.
        parent: Allowed regions of the call that waits for this one; None for
            all.

    Returns:
        The regions that all of them allow. The empty set means that no backend
        server may run the call.
    """
    allowed = parent
    restrictions = [route.allowed_regions]
    if customer is not None:
        restrictions.append(customer.allowed_regions)
    for regions in restrictions:
        if regions:
            new = frozenset(regions)
            allowed = new if allowed is None else allowed & new
    return allowed


def refusal(
    data_centre: str,
    region: str,
    allowed: Regions | None,
    evacuations: Evacuations,
) -> errors.Reason | None:
    """Return why the backend servers of a data centre may not run a call.

    Args:
        data_centre: The data centre.
        region: Its region.
        allowed: Regions that may run the call; None for all.
        evacuations: Evacuations in force.

    Returns:
        The reason, or None if they may run it.
    """
    if data_centre in evacuations.evacuated:
        return errors.Reason.EVACUATED
    if allowed is not None and region not in allowed:
        return errors.Reason.REGION_NOT_ALLOWED
    return None


def allows(
    member: members_lib.Member,
    allowed: Regions | None,
    evacuations: Evacuations,
) -> bool:
    """Return True if the backend server of a member may run a call."""
    reason = refusal(member.data_centre, member.region, allowed, evacuations)
    return reason is None


def held_back(
    evacuations: Evacuations, now: float, draw: Callable[[], float]
) -> frozenset[str]:
    """Return the data centres that one call avoids after their evacuation.

    Args:
        evacuations: Evacuations in force and ended.
        now: Monotonic time in seconds.
        draw: Returns a random number from 0 to 1.
    """
    returning = [
        (name, now - ended)
        for name, ended in evacuations.returned_at.items()
        if now - ended < RETURN_S
    ]
    return frozenset(
        name
        for name, elapsed_s in returning
        if draw() >= max(FIRST_SHARE, elapsed_s / RETURN_S)
    )


def unknown_regions(
    configuration: mesh.MeshConfiguration, known: Iterable[str]
) -> tuple[str, ...]:
    """Return the routes and customers that name regions that do not exist.

    Args:
        configuration: The configuration.
        known: Regions of the mesh; empty if unknown.

    Returns:
        One text for each name that does not exist, such as "route a: eu".
    """
    known = frozenset(known)
    if not known:
        return ()
    rows = [("route", each) for each in configuration.routes]
    rows += [("customer", each) for each in configuration.customers]
    return tuple(
        f"{kind} {row.name}: {region}"
        for kind, row in rows
        for region in row.allowed_regions
        if region not in known
    )


def without_region(
    configuration: mesh.MeshConfiguration, remaining: Iterable[str]
) -> tuple[str, ...]:
    """Return the routes and customers that no remaining region may serve.

    Args:
        configuration: The configuration.
        remaining: Regions with a data centre that is not evacuated.

    Returns:
        One text for each route and customer, and for each pair that excludes
        each other, such as "route a, customer b".
    """
    remaining = frozenset(remaining)
    found = []
    for route in configuration.routes:
        allowed = allowed_regions(route, None)
        if not _leaves_any(allowed, remaining):
            found.append(f"route {route.name}")
            continue
        found += [
            f"route {route.name}, customer {customer.name}"
            for customer in configuration.customers
            if not route.is_public
            and customer.allowed_regions
            and not _leaves_any(allowed_regions(route, customer), remaining)
        ]
    return tuple(found)


def _leaves_any(allowed: Regions | None, remaining: Regions) -> bool:
    return bool(remaining if allowed is None else allowed & remaining)
