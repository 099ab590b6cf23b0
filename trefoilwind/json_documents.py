"""Reading of JSON documents with comments into frozen data classes."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math
import pathlib
import re
import types
from typing import Any
from typing import TypeVar
from typing import get_args
from typing import get_origin
from typing import get_type_hints
import urllib.parse

import pyjson5

from trefoilwind import errors

_T = TypeVar("_T")
_STEP = "settings.load"
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 64
MAX_NAME_CHARACTERS = 128
MAX_INTEGER = 2**63 - 1

# Yields the problems that involve several fields of an object, each as a key
# and a short description.
Check = Callable[[Any], Iterator[tuple[str, str]]]
Checks = Mapping[type, Check]


@dataclasses.dataclass(frozen=True)
class Limits:
    """Constraints on the value of a setting.

    Attributes:
        minimum: Smallest number.
        maximum: Largest number.
        above_minimum: True if the minimum itself is not allowed.
        choices: Allowed strings; empty for any.
        is_name: True for a string that is not empty and has no spaces.
        is_url: True for the URL of an HTTP service.
    """

    minimum: float = -math.inf
    maximum: float = math.inf
    above_minimum: bool = False
    choices: tuple[str, ...] = ()
    is_name: bool = False
    is_url: bool = False


_NO_LIMITS = Limits()


def load(path: str, cls: type[_T], checks: Checks) -> _T | errors.SettingsError:
    """Read a file of JSON with comments into a frozen data class.

    Args:
        path: Path of the file.
        cls: Data class that describes it.
        checks: Checks across the fields of a class, by class.
    """
    text = read_text(path)
    if isinstance(text, errors.SettingsError):
        return text
    value = parse(text, cls, path, checks)
    if isinstance(value, errors.SettingsError):
        return with_line(value, text)
    return value


def read_text(path: str) -> str | errors.SettingsError:
    """Return the text of a file, or an error; never raises."""
    missing = errors.Reason.FILE_MISSING
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        detail = getattr(error, "strerror", None) or type(error).__name__
        return errors.SettingsError(missing, _STEP, path, detail)
    if len(data) > MAX_FILE_BYTES:
        too_large = errors.Reason.BODY_TOO_LARGE
        return errors.SettingsError(too_large, _STEP, path)
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return errors.SettingsError(
            errors.Reason.SYNTAX, _STEP, path, "UTF-8 expected", line=line
        )


def parse(
    text: str, cls: type[_T], source: str, checks: Checks
) -> _T | errors.SettingsError:
    """Parse JSON with comments into a frozen data class; never raises.

    Args:
        text: The text.
        cls: Data class that describes it.
        source: Name of the file for errors.
        checks: Checks across the fields of a class, by class.
    """
    plain = _decode(text, source)
    if isinstance(plain, errors.SettingsError):
        return plain
    return structure(plain, cls, source, checks)


def structure(
    plain: Any,
    cls: type[_T],
    source: str,
    checks: Checks,
    ignores_unknown: bool = False,
) -> _T | errors.SettingsError:
    """Return decoded maps, lists and scalars as a frozen data class.

    Args:
        plain: The decoded document.
        cls: Data class that describes it.
        source: Name of the file for errors.
        checks: Checks across the fields of a class, by class.
        ignores_unknown: True if keys that the class lacks are allowed.
    """
    value = _Structurer(checks, ignores_unknown).structure(plain, cls, "")
    if isinstance(value, errors.SettingsError):
        return dataclasses.replace(value, peer=source)
    return value


def _decode(text: str, source: str) -> Any | errors.SettingsError:
    try:
        return pyjson5.decode(text, maxdepth=MAX_DEPTH)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        detail = str(error.args[0]) if error.args else type(error).__name__
        return errors.SettingsError(
            errors.Reason.SYNTAX,
            _STEP,
            source,
            re.sub(r"b'([^']+)'", r"\1", detail),
            line=_line_of_syntax_error(detail, text),
        )


def _line_of_syntax_error(detail: str, text: str) -> int:
    """Return the line of a syntax error from pyjson5's 1-based offset."""
    found = re.search(r"near (\d+)", detail)
    if found is None:
        return 0
    return text.count("\n", 0, max(int(found[1]) - 1, 0)) + 1


_MAX_CANDIDATES = 256
_PROBE = "trefoilwind probe"


def with_line(error: errors.SettingsError, text: str) -> errors.SettingsError:
    """Return the error with the line of its key in the file, if found.

    Args:
        error: An error with the path of a key.
        text: Text of the file.
    """
    if error.line or not error.path:
        return error
    return dataclasses.replace(error, line=_line_of_path(text, error.path))


def with_line_of_file(error: errors.SettingsError) -> errors.SettingsError:
    """Return the error with the line of its key in its file, if found."""
    text = read_text(error.peer)
    return error if isinstance(text, errors.Error) else with_line(error, text)


def _line_of_path(text: str, path: str) -> int:
    """Return the line of a path's last key or of its nearest parent."""
    steps = _steps(path)
    while steps and isinstance(steps[-1], int):
        steps.pop()
    if not path or not steps:
        return 0
    name = steps[-1]
    pattern = rf"[\"']?{re.escape(name)}[\"']?(?=\s*:)"
    for found, _ in zip(
        re.finditer(pattern, text), range(_MAX_CANDIDATES), strict=False
    ):
        changed = f'{text[: found.start()]}"{_PROBE}"{text[found.end() :]}'
        if _has_probe(changed, steps[:-1]):
            return text.count("\n", 0, found.start()) + 1
    return _line_of_path(text, path.rpartition(".")[0])


def _steps(path: str) -> list[str | int]:
    steps: list[str | int] = []
    for part in path.split("."):
        name, *indexes = part.replace("]", "").split("[")
        steps.append(name)
        steps.extend(int(i) for i in indexes if i.isdigit())
    return steps


def _has_probe(text: str, parents: list[str | int]) -> bool:
    """Return True if the probe replaced the key directly below `parents`."""
    value = _decode(text, "")
    for step in parents:
        if isinstance(step, int):
            is_inside = isinstance(value, list) and step < len(value)
        else:
            is_inside = isinstance(value, dict) and step in value
        if not is_inside:
            return False
        value = value[step]
    return isinstance(value, dict) and _PROBE in value


def _error(
    reason: errors.Reason, path: str, detail: str = ""
) -> errors.SettingsError:
    return errors.SettingsError(reason, _STEP, detail=detail, path=path)


class _Structurer:
    """Converts maps, lists and scalars into checked data classes."""

    def __init__(self, checks: Checks, ignores_unknown: bool):
        self._checks = checks
        self._ignores_unknown = ignores_unknown

    def structure(self, value: Any, expected: Any, path: str) -> Any:
        """Return the value converted to the type `expected`, or an error."""
        if dataclasses.is_dataclass(expected):
            return self._structure_class(value, expected, path)
        if get_origin(expected) is tuple:
            return self._structure_tuple(value, get_args(expected)[0], path)
        if get_origin(expected) is dict:
            return self._structure_map(value, get_args(expected)[1], path)
        if isinstance(expected, types.UnionType):
            return self.structure(value, get_args(expected)[0], path)
        return _structure_scalar(value, expected, path)

    def _structure_class(self, value: Any, cls: type, path: str) -> Any:
        if not isinstance(value, dict):
            return _error(errors.Reason.WRONG_TYPE, path, "object expected")
        hints = get_type_hints(cls)
        fields = {field.name: field for field in dataclasses.fields(cls)}
        prefix = f"{path}." if path else ""
        for key in value:
            if key not in fields and not self._ignores_unknown:
                return _error(errors.Reason.UNKNOWN_KEY, f"{prefix}{key}")
        arguments = {}
        for name, field in fields.items():
            if name in value:
                item = self._structure_field(
                    value[name], hints[name], field, f"{prefix}{name}"
                )
                if isinstance(item, errors.SettingsError):
                    return item
                arguments[name] = item
            elif _is_required(field):
                return _error(errors.Reason.MISSING_KEY, f"{prefix}{name}")
        return self._checked(cls(**arguments), prefix)

    def _structure_field(
        self, value: Any, expected: Any, field: dataclasses.Field, path: str
    ) -> Any:
        item = self.structure(value, expected, path)
        limits = field.metadata.get("limits", _NO_LIMITS)
        problem = _limit_violation(item, limits)
        if problem:
            return _error(errors.Reason.OUT_OF_RANGE, path, problem)
        return item

    def _structure_tuple(self, value: Any, item_type: Any, path: str) -> Any:
        if not isinstance(value, list):
            return _error(errors.Reason.WRONG_TYPE, path, "list expected")
        items = []
        for index, plain in enumerate(value):
            item = self.structure(plain, item_type, f"{path}[{index}]")
            if isinstance(item, errors.SettingsError):
                return item
            items.append(item)
        return tuple(items)

    def _structure_map(self, value: Any, item_type: Any, path: str) -> Any:
        if not isinstance(value, dict):
            return _error(errors.Reason.WRONG_TYPE, path, "object expected")
        items = {}
        for name, plain in value.items():
            item = self.structure(plain, item_type, f"{path}.{name}")
            if isinstance(item, errors.SettingsError):
                return item
            items[name] = item
        return items

    def _checked(self, value: Any, prefix: str) -> Any:
        """Return the value, or an error for the first failed check."""
        check = self._checks.get(type(value))
        if check is None:
            return value
        for name, detail in check(value):
            return _error(errors.Reason.OUT_OF_RANGE, f"{prefix}{name}", detail)
        return value


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _structure_scalar(value: Any, expected: type, path: str) -> Any:
    is_number = expected is float and type(value) is int
    if type(value) is not expected and not is_number:
        detail = f"{_TYPE_NAMES.get(expected, expected.__name__)} expected"
        return _error(errors.Reason.WRONG_TYPE, path, detail)
    if type(value) is int and abs(value) > MAX_INTEGER:
        return _error(
            errors.Reason.OUT_OF_RANGE,
            path,
            "integer of at most 64 bits expected",
        )
    if type(value) is float and not math.isfinite(value):
        return _error(errors.Reason.OUT_OF_RANGE, path, str(value))
    return float(value) if is_number else value


_TYPE_NAMES = {str: "text", float: "number", int: "integer", bool: "boolean"}


def _limit_violation(value: Any, limits: Limits) -> str:
    """Return which limit a value violates; empty if none."""
    if isinstance(value, (int, float)) and type(value) is not bool:
        return _number_violation(value, limits)
    if isinstance(value, str):
        return _string_violation(value, limits)
    return ""


def _number_violation(value: float, limits: Limits) -> str:
    if limits.above_minimum and value <= limits.minimum:
        return f"{value} is not greater than {limits.minimum:g}"
    if value < limits.minimum:
        return f"{value} is less than {limits.minimum:g}"
    if value > limits.maximum:
        return f"{value} is greater than {limits.maximum:g}"
    return ""


def _string_violation(value: str, limits: Limits) -> str:
    if limits.choices and value not in limits.choices:
        return f"one of {', '.join(limits.choices)} expected"
    if limits.is_name and not is_name(value):
        return f"1 to {MAX_NAME_CHARACTERS} characters, no spaces, expected"
    if limits.is_url and not is_http_url(value):
        return "URL such as http://127.0.0.1:7000 expected"
    return ""


def is_name(text: str) -> bool:
    """Return True if a string is a valid name, such as of a node."""
    return (
        0 < len(text) <= MAX_NAME_CHARACTERS
        and text.isprintable()
        and " " not in text
    )


def is_http_url(text: str) -> bool:
    """Return True if a string is an HTTP URL without user information."""
    try:
        url = urllib.parse.urlsplit(text)
        return url.scheme in ("http", "https") and bool(
            url.hostname
            and "@" not in url.netloc
            and (url.port is None or url.port > 0)
        )
    except ValueError:
        return False
