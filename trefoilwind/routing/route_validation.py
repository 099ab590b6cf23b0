"""Validation of configurations with routes by host."""

from collections.abc import Iterator
import math

from trefoilwind import errors
from trefoilwind.model import bounds
from trefoilwind.model import mesh

_STEP = "routes.validate"


def validate(
    configuration: mesh.MeshConfiguration,
) -> tuple[errors.SettingsError, ...]:
    """Return all problems of a configuration, in the order of its fields."""
    return tuple(_problems(configuration))


def _problems(
    configuration: mesh.MeshConfiguration,
) -> Iterator[errors.SettingsError]:
    if configuration.version < 1:
        yield _error(errors.Reason.OUT_OF_RANGE, "version", "at least 1")
    services = {service.name for service in configuration.services}
    prefixes: set[tuple[str, str]] = set()
    names: set[str] = set()
    for index, route in enumerate(configuration.routes):
        path = f"routes[{index}]"
        yield from _problems_of_route(route, path)
        yield from _problems_of_destinations(route, services, path)
        if route.name in names:
            yield _error(errors.Reason.DUPLICATE, f"{path}.name", route.name)
        key = (route.host, route.path_prefix)
        if key in prefixes:
            text = route.host + route.path_prefix
            yield _error(errors.Reason.DUPLICATE, f"{path}.path_prefix", text)
        names.add(route.name)
        prefixes.add(key)
    yield from _problems_of_customers(configuration)


def _problems_of_customers(
    configuration: mesh.MeshConfiguration,
) -> Iterator[errors.SettingsError]:
    if configuration.customers and not configuration.has_customers:
        detail = "true, as there are customers"
        yield _error(errors.Reason.OUT_OF_RANGE, "has_customers", detail)
    names: set[str] = set()
    owners: dict[str, int] = {}
    for index, customer in enumerate(configuration.customers):
        path = f"customers[{index}]"
        if customer.name in names:
            yield _error(errors.Reason.DUPLICATE, f"{path}.name", customer.name)
        names.add(customer.name)
        for name in ("rate_per_s", "burst"):
            if not 0.0 <= getattr(customer, name) < math.inf:
                detail = "finite and not negative"
                yield _error(
                    errors.Reason.OUT_OF_RANGE, f"{path}.{name}", detail
                )
        if any(owners.setdefault(key, index) != index for key in customer.keys):
            # The key itself is a secret.
            detail = "key of another customer"
            yield _error(errors.Reason.DUPLICATE, f"{path}.keys", detail)
        if not all(bounds.is_key(key) for key in customer.keys):
            detail = f"1 to {bounds.MAX_KEY_BYTES} bytes without spaces"
            yield _error(errors.Reason.OUT_OF_RANGE, f"{path}.keys", detail)
        if customer.rank is not None and customer.rank < 0:
            yield _error(
                errors.Reason.OUT_OF_RANGE, f"{path}.rank", "at least 0"
            )
    if len(owners) > bounds.MAX_KEYS:
        detail = f"at most {bounds.MAX_KEYS} keys"
        yield _error(errors.Reason.OUT_OF_RANGE, "customers", detail)


def _problems_of_route(
    route: mesh.HostRoute, path: str
) -> Iterator[errors.SettingsError]:
    out_of_range = errors.Reason.OUT_OF_RANGE
    if not route.host or route.host != route.host.lower():
        yield _error(out_of_range, f"{path}.host", "host in lower case")
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        detail = "begins and ends with a slash"
        yield _error(out_of_range, f"{path}.path_prefix", detail)
    for name in ("timeout_s", "target_s"):
        if not 0.0 < getattr(route, name) < math.inf:
            yield _error(out_of_range, f"{path}.{name}", "positive and finite")
    if route.rank < 0:
        yield _error(out_of_range, f"{path}.rank", "at least 0")
    if route.max_attempts < 1:
        yield _error(out_of_range, f"{path}.max_attempts", "at least 1")


def _problems_of_destinations(
    route: mesh.HostRoute, services: set[str], path: str
) -> Iterator[errors.SettingsError]:
    out_of_range = errors.Reason.OUT_OF_RANGE
    weights = [each.weight for each in route.destinations]
    if not all(0.0 <= weight < math.inf for weight in weights):
        detail = "weights are finite and not negative"
        yield _error(out_of_range, f"{path}.destinations", detail)
    elif sum(weights) <= 0.0:
        detail = "sum of the weights is positive"
        yield _error(out_of_range, f"{path}.destinations", detail)
    for index, destination in enumerate(route.destinations):
        if destination.service not in services:
            yield _error(
                errors.Reason.UNDEFINED_REFERENCE,
                f"{path}.destinations[{index}].service",
                destination.service,
            )


def _error(
    reason: errors.Reason, path: str, detail: str
) -> errors.SettingsError:
    return errors.SettingsError(reason, _STEP, detail=detail, path=path)
