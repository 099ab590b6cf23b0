"""Generator of the reference pages of settings and events."""

from collections.abc import Iterator
import dataclasses
import json
import math
import pathlib
import sys
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from trefoilwind import events
from trefoilwind import json_documents
from trefoilwind import settings as settings_lib
from trefoilwind.model import addresses

_NOTE = "<!-- Made by `make docs`; change the table in the code. -->"
_TYPE_NAMES = {str: "text", float: "number", int: "integer", bool: "boolean"}


def settings_page() -> str:
    """Return the page of all settings of a node."""
    lines = [
        "# Settings of a node",
        "",
        _NOTE,
        "",
        "A node reads one file of JSON with comments. An unknown key, a wrong",
        "type or a value out of range ends the program with exit code 2 and",
        "one line that names the file, the line and the key. Check a file with",
        "`trefoilwind-check settings FILE`.",
        "",
        'An address is an object: `{"host": "127.0.0.1", "port": 0}`. The host',
        "is an IP address; port 0 lets the system choose.",
        "",
    ]
    for title, cls, prefix in _sections(settings_lib.NodeSettings, "node", ""):
        lines += [f"## {title}", "", *_table(cls, prefix), ""]
    return "\n".join(lines)


def events_page() -> str:
    """Return the page of all events of the timeline."""
    rows = [
        f"| `{kind.name}` | {kind.description}{_rate_text(kind)} |"
        for kind in events.registry()
    ]
    lines = [
        "# Events of the timeline",
        "",
        _NOTE,
        "",
        "Each event has a hybrid logical timestamp, the process, its position",
        "in that process, a name, and, where they apply, a subject, a peer and",
        "a detail. Read them with `trefoilwind-timeline`.",
        "",
        "| event | meaning |",
        "| --- | --- |",
        *rows,
        "",
    ]
    return "\n".join(lines)


def _rate_text(kind: events.EventKind) -> str:
    if not kind.max_per_s:
        return ""
    return f" At most {kind.max_per_s} a second are kept; metrics count all."


def pages() -> dict[str, str]:
    """Return the text of each generated page by file name."""
    return {"settings.md": settings_page(), "events.md": events_page()}


def _sections(
    cls: type, title: str, prefix: str
) -> Iterator[tuple[str, type, str]]:
    yield title, cls, prefix
    hints = get_type_hints(cls)
    for field in dataclasses.fields(cls):
        if _is_section(hints[field.name]):
            path = f"{prefix}{field.name}"
            yield from _sections(hints[field.name], path, f"{path}.")


def _is_section(hint: Any) -> bool:
    return dataclasses.is_dataclass(hint) and hint is not addresses.Address


def _table(cls: type, prefix: str) -> Iterator[str]:
    yield "| key | type | unit | default | allowed | meaning |"
    yield "| --- | --- | --- | --- | --- | --- |"
    hints = get_type_hints(cls)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        if _is_section(hint):
            continue
        cells = (
            f"`{prefix}{field.name}`",
            _type_text(hint),
            field.metadata["unit"],
            _default_text(field),
            _limits_text(field.metadata["limits"]),
            field.metadata["doc"],
        )
        yield f"| {' | '.join(cells)} |".replace("|  |", "| |")


def _type_text(hint: Any) -> str:
    if get_origin(hint) is tuple:
        return f"list of {_type_text(get_args(hint)[0])}"
    return _TYPE_NAMES.get(hint, hint.__name__.lower())


def _default_text(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "needed"
    if isinstance(field.default, addresses.Address):
        return f"`{field.default}`"
    return f"`{json.dumps(field.default)}`"


def _limits_text(limits: json_documents.Limits) -> str:
    if limits.choices:
        return ", ".join(f"`{choice}`" for choice in limits.choices)
    if limits.is_name:
        return f"1 to {json_documents.MAX_NAME_CHARACTERS} characters, no space"
    if limits.is_url:
        return "URL of HTTP"
    if limits.minimum == -math.inf:
        return ""
    word = "above" if limits.above_minimum else "from"
    text = f"{word} {limits.minimum:g}"
    return (
        text if limits.maximum == math.inf else f"{text} to {limits.maximum:g}"
    )


def write(folder: pathlib.Path) -> None:
    """Write all pages into a folder."""
    for name, text in pages().items():
        (folder / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    write(pathlib.Path(sys.argv[1]))
