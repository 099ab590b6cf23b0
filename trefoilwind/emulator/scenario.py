"""Scenario of an emulation: data centres, servers, classes, load, troubles.

The values of the examples are those that the users publish in their site files.
"""

from collections.abc import Iterator
import dataclasses
import math
import random

from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind import settings

_SHARE = json_documents.Limits(minimum=0.0, maximum=1.0)
_NOT_NEGATIVE = json_documents.Limits(minimum=0.0)
_COUNT = json_documents.Limits(minimum=1)


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """Data centre and the load of its callers."""

    name: str = settings.setting("Name.", limits=settings.NAME)
    region: str = settings.setting("Region.", limits=settings.NAME)
    per_s: float = settings.setting(
        "Requests per second of its callers.", "1/s"
    )
    swing: float = settings.setting(
        "Amplitude of the periodic change of the rate, relative to the rate.",
        default=0.0,
        limits=_SHARE,
    )
    period_s: float = settings.setting("Period of that change.", "s", 11.0)
    phase: float = settings.setting(
        "Phase at the start, as a fraction of the period.",
        default=0.0,
        limits=_SHARE,
    )


@dataclasses.dataclass(frozen=True)
class ServerGroup:
    """Backend servers of a service in a data centre."""

    service: str = settings.setting("Service.", limits=settings.NAME)
    data_centre: str = settings.setting("Data centre.", limits=settings.NAME)
    slots: int = settings.setting(
        "Number of calls that each server runs at once.", "calls"
    )
    speeds: tuple[float, ...] = settings.setting(
        "Speed of each server; at 1 a run takes its work time."
    )


@dataclasses.dataclass(frozen=True)
class CallClass:
    """Class of requests with the same work, rank and worth."""

    name: str = settings.setting("Name.", limits=settings.NAME)
    service: str = settings.setting("Service.", limits=settings.NAME)
    weight: float = settings.setting(
        "Relative frequency among the callers' requests; 0 if only backend"
        " servers call the class.",
        limits=_NOT_NEGATIVE,
    )
    work_s: float = settings.setting("Mean work time of a run.", "s")
    work_spread: float = settings.setting(
        "Standard deviation of the logarithm of the work time.",
        limits=_NOT_NEGATIVE,
    )
    target_s: float = settings.setting("Target latency.", "s")
    deadline_s: float = settings.setting(
        "Longest time that the caller waits.", "s"
    )
    worth: float = settings.setting(
        "Credit for an answer in time.", limits=_NOT_NEGATIVE
    )
    late_worth: float = settings.setting(
        "Credit for a late answer.", limits=_NOT_NEGATIVE
    )
    rank: int = settings.setting(
        "Rank; 0 is the most important.", limits=_NOT_NEGATIVE
    )
    returns: int = settings.setting(
        "Number of times that a refused caller retries.", limits=_NOT_NEGATIVE
    )
    calls: str = settings.setting(
        "Class of the nested call of a run; empty for none.", default=""
    )
    call_share: float = settings.setting(
        "Share of the runs that make the nested call.",
        default=0.0,
        limits=_SHARE,
    )
    call_count: int = settings.setting(
        "Number of nested calls that such a run makes in parallel.",
        default=1,
        limits=_COUNT,
    )
    timeout_s: float = settings.setting(
        "Longest time of one attempt of a node; 0 for the caller's deadline.",
        "s",
        default=0.0,
        limits=_NOT_NEGATIVE,
    )


@dataclasses.dataclass(frozen=True)
class CustomerGroup:
    """Customers with the same usual share of the requests."""

    name: str = settings.setting("Prefix of their names.", limits=settings.NAME)
    count: int = settings.setting("Number of customers.", limits=_COUNT)
    weight: float = settings.setting(
        "Relative frequency of the requests of each.", limits=_NOT_NEGATIVE
    )


@dataclasses.dataclass(frozen=True)
class Burst:
    """Period of a higher request rate."""

    at_s: float = settings.setting(
        "Start in seconds of virtual time.", limits=_NOT_NEGATIVE
    )
    for_s: float = settings.setting("Duration.", "s")
    factor: float = settings.setting("Factor on the usual rate.", "times")
    data_centre: str = settings.setting(
        "Data centre; empty for all.", default=""
    )
    customer: str = settings.setting("Customer; empty for all.", default="")


@dataclasses.dataclass(frozen=True)
class Trouble:
    """Period in which a backend server is slow, fails calls or is down."""

    service: str = settings.setting("Service.", limits=settings.NAME)
    data_centre: str = settings.setting("Data centre.", limits=settings.NAME)
    index: int = settings.setting(
        "Index of the backend server in its group.", limits=_NOT_NEGATIVE
    )
    at_s: float = settings.setting(
        "Start in seconds of virtual time.", limits=_NOT_NEGATIVE
    )
    for_s: float = settings.setting("Duration.", "s")
    slow: float = settings.setting(
        "Factor on the usual work time; 0 if it accepts no calls.",
        limits=_NOT_NEGATIVE,
    )
    failing: float = settings.setting(
        "Share of the calls that it fails.", default=0.0, limits=_SHARE
    )


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and backend servers that are emulated."""

    name: str = settings.setting("Name.", limits=settings.NAME)
    length_s: float = settings.setting("Duration of the traffic.", "s")
    data_centres: tuple[DataCentre, ...] = settings.setting("Data centres.")
    servers: tuple[ServerGroup, ...] = settings.setting("Backend servers.")
    classes: tuple[CallClass, ...] = settings.setting("Classes.")
    bursts: tuple[Burst, ...] = settings.setting("Bursts.", default=())
    troubles: tuple[Trouble, ...] = settings.setting("Troubles.", default=())
    customers: tuple[CustomerGroup, ...] = settings.setting(
        "Customers; if empty, requests have none.", default=()
    )
    hasty_share: float = settings.setting(
        "Share of the callers that retry at once.", default=0.0, limits=_SHARE
    )
    hasty_returns: int = settings.setting(
        "Number of times that those retry.", default=3, limits=_COUNT
    )
    zone_way_s: float = settings.setting(
        "One-way latency between data centres of a region.", "s", 0.0005
    )
    region_way_s: float = settings.setting(
        "One-way latency between regions.", "s", 0.03
    )
    window_s: float = settings.setting(
        "Length of the windows by which credit is reported.", "s", 2.0
    )

    def class_by_name(self, name: str) -> CallClass:
        """Return the class of the given name."""
        return next(each for each in self.classes if each.name == name)


def load(path: str) -> Scenario | errors.SettingsError:
    """Read a scenario from a file of JSON with comments."""
    return json_documents.load(path, Scenario, {Scenario: _problems})


def arrival_rate_per_s(
    scenario: Scenario, centre: DataCentre, now: float
) -> float:
    """Return the requests per second of a data centre's callers."""
    cycles = now / centre.period_s + centre.phase
    rate_per_s = centre.per_s * (
        1 + centre.swing * math.sin(2 * math.pi * cycles)
    )
    for burst in scenario.bursts:
        is_affected = burst.data_centre in ("", centre.name)
        is_active = burst.at_s <= now < burst.at_s + burst.for_s
        if is_affected and is_active and not burst.customer:
            rate_per_s *= burst.factor
    if scenario.customers:
        usual = sum(g.weight * g.count for g in scenario.customers)
        weights = customer_weights(scenario, centre, now)
        rate_per_s *= sum(weights.values()) / usual
    return rate_per_s


def customer_weights(
    scenario: Scenario, centre: DataCentre, now: float
) -> dict[str, float]:
    """Return the relative request rates of the customers by name."""
    weights = {
        f"{group.name}-{index}": group.weight
        for group in scenario.customers
        for index in range(group.count)
    }
    for burst in scenario.bursts:
        is_affected = burst.data_centre in ("", centre.name)
        is_active = burst.at_s <= now < burst.at_s + burst.for_s
        if is_affected and is_active and burst.customer:
            weights[burst.customer] *= burst.factor
    return weights


def draw_work_s(call_class: CallClass, rng: random.Random) -> float:
    """Draw the work of one run in seconds from a log-normal distribution."""
    if call_class.work_spread == 0:
        return call_class.work_s
    log_mean = math.log(call_class.work_s) - call_class.work_spread**2 / 2
    return rng.lognormvariate(log_mean, call_class.work_spread)


def _problems(scenario: Scenario) -> Iterator[tuple[str, str]]:
    centres = {centre.name for centre in scenario.data_centres}
    services = {group.service for group in scenario.servers}
    names = {each.name for each in scenario.classes}
    for group in scenario.servers:
        if group.data_centre not in centres:
            yield "servers", f"no data centre {group.data_centre}"
    for each in scenario.classes:
        if each.service not in services:
            yield "classes", f"no backend server of service {each.service}"
        if each.calls and each.calls not in names:
            yield "classes", f"no class {each.calls}"
    if not any(each.weight for each in scenario.classes):
        yield "classes", "no class with a weight"
    customers = {
        f"{group.name}-{index}"
        for group in scenario.customers
        for index in range(group.count)
    }
    for burst in scenario.bursts:
        if burst.customer and burst.customer not in customers:
            yield "bursts", f"no customer {burst.customer}"
    for trouble in scenario.troubles:
        if not any(_affects(trouble, group) for group in scenario.servers):
            yield "troubles", f"no such backend server in {trouble.data_centre}"


def _affects(trouble: Trouble, group: ServerGroup) -> bool:
    is_same = (
        trouble.service == group.service
        and trouble.data_centre == group.data_centre
    )
    return is_same and trouble.index < len(group.speeds)
