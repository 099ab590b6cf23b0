"""Validation of complete configurations and move requests."""

from collections.abc import Iterable
from collections.abc import Iterator
import math

from trefoilwind import errors
from trefoilwind.model import configuration as configuration_lib
from trefoilwind.model import records
from trefoilwind.model import state as state_lib

_STEP = "configuration.validate"


def validate(
    configuration: configuration_lib.Configuration,
) -> tuple[errors.SettingsError, ...]:
    """Return all problems of a configuration, in the order of its fields."""
    return tuple(_problems(configuration))


def validate_move(
    state: state_lib.State, request: records.MoveRequest
) -> errors.RecordError | None:
    """Return why a move request must be rejected, or None."""
    if state.configuration.service(request.service) is None:
        return _move_error(
            errors.Reason.UNDEFINED_REFERENCE, f"service {request.service}"
        )
    for half in (request.half, request.to_half):
        if half and half not in state.configuration.halves:
            return _move_error(
                errors.Reason.UNDEFINED_REFERENCE, f"half {half}"
            )
    if not request.version:
        return _move_error(errors.Reason.MISSING_KEY, "version")
    if not request.started < request.deadline < math.inf:
        return _move_error(
            errors.Reason.OUT_OF_RANGE,
            "deadline is not a finite time after the start",
        )
    if state.open_move(request.service) is not None:
        return _move_error(errors.Reason.MOVE_OPEN, request.service)
    return None


def validate_open_moves(
    state: state_lib.State, configuration: configuration_lib.Configuration
) -> tuple[errors.SettingsError, ...]:
    """Return a problem for each undefined service or half of an open move."""
    halves = ("", *configuration.halves)
    problems = []
    for status in state.moves:
        move = status.move
        if not status.is_open:
            continue
        if configuration.service(move.service) is None:
            problems.append(
                _error(errors.Reason.MOVE_OPEN, "services", move.service)
            )
        if move.half not in halves or move.to_half not in halves:
            problems.append(
                _error(errors.Reason.MOVE_OPEN, "halves", move.move_id)
            )
    return tuple(problems)


def _move_error(reason: errors.Reason, detail: str) -> errors.RecordError:
    return errors.RecordError(reason, "move.validate", detail=detail)


def _error(
    reason: errors.Reason, path: str, detail: str = ""
) -> errors.SettingsError:
    return errors.SettingsError(reason, _STEP, detail=detail, path=path)


def _problems(
    configuration: configuration_lib.Configuration,
) -> Iterator[errors.SettingsError]:
    yield from _name_problems(
        "data_centres", (d.name for d in configuration.data_centres)
    )
    yield from _name_problems("halves", configuration.halves)
    yield from _name_problems(
        "classes", (c.name for c in configuration.classes)
    )
    yield from _name_problems(
        "services", (s.name for s in configuration.services)
    )
    for index, target in enumerate(configuration.classes):
        yield from _target_problems(target, f"classes[{index}]")
    for index, service in enumerate(configuration.services):
        yield from _service_problems(
            configuration, service, f"services[{index}]"
        )
    for index, rule in enumerate(configuration.ownership):
        yield from _ownership_problems(
            configuration, rule, f"ownership[{index}]"
        )


def _name_problems(
    path: str, names: Iterable[str]
) -> Iterator[errors.SettingsError]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if not name:
            yield _error(errors.Reason.MISSING_KEY, f"{path}[{index}].name")
        if name in seen:
            yield _error(errors.Reason.DUPLICATE, f"{path}[{index}]", name)
        seen.add(name)


def _target_problems(
    target: configuration_lib.ClassTarget, path: str
) -> Iterator[errors.SettingsError]:
    ranges = (
        ("latency_target_s", target.latency_target_s, 0.0, 3600.0),
        ("timeout_s", target.timeout_s, 0.0, 3600.0),
    )
    for name, value, low, high in ranges:
        if not low < value <= high:
            yield _error(
                errors.Reason.OUT_OF_RANGE, f"{path}.{name}", str(value)
            )
    shares = (
        ("success_target", target.success_target),
        ("retry_ratio", target.retry_ratio),
    )
    for name, value in shares:
        if not 0.0 <= value <= 1.0:
            yield _error(
                errors.Reason.OUT_OF_RANGE, f"{path}.{name}", str(value)
            )
    if target.importance < 0:
        yield _error(errors.Reason.OUT_OF_RANGE, f"{path}.importance")


def _service_problems(
    configuration: configuration_lib.Configuration,
    service: configuration_lib.Service,
    path: str,
) -> Iterator[errors.SettingsError]:
    if "/" in service.name:
        yield _error(errors.Reason.OUT_OF_RANGE, f"{path}.name", service.name)
    if not service.version:
        yield _error(errors.Reason.MISSING_KEY, f"{path}.version")
    if not service.routes:
        yield _error(errors.Reason.MISSING_KEY, f"{path}.routes")
    seen: set[tuple[str, tuple[str, ...]]] = set()
    for index, route in enumerate(service.routes):
        route_path = f"{path}.routes[{index}]"
        if configuration.target(route.class_name) is None:
            yield _error(
                errors.Reason.UNDEFINED_REFERENCE,
                f"{route_path}.class_name",
                route.class_name,
            )
        if not route.path_prefix.startswith("/"):
            yield _error(
                errors.Reason.OUT_OF_RANGE, f"{route_path}.path_prefix"
            )
        key = (route.path_prefix, route.methods)
        if key in seen:
            yield _error(errors.Reason.DUPLICATE, route_path, route.path_prefix)
        seen.add(key)


def _ownership_problems(
    configuration: configuration_lib.Configuration,
    rule: configuration_lib.Ownership,
    path: str,
) -> Iterator[errors.SettingsError]:
    undefined = errors.Reason.UNDEFINED_REFERENCE
    if rule.half not in configuration.halves:
        yield _error(undefined, f"{path}.half", rule.half)
    if rule.service and configuration.service(rule.service) is None:
        yield _error(undefined, f"{path}.service", rule.service)
    data_centre_names = {d.name for d in configuration.data_centres}
    if rule.data_centre and rule.data_centre not in data_centre_names:
        yield _error(undefined, f"{path}.data_centre", rule.data_centre)
    if rule.label and "=" not in rule.label:
        yield _error(errors.Reason.OUT_OF_RANGE, f"{path}.label", rule.label)
