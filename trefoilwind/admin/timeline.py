"""Merging of the events of many processes, and output as text and HTML."""

from collections.abc import Iterable
import datetime
import html
import importlib.resources
import json
import pathlib

from trefoilwind import errors
from trefoilwind import events
from trefoilwind.admin import documents

_STEP = "timeline.read"
_MILLISECONDS_PER_SECOND = 1000
MAX_FILE_BYTES = 256 * 1024 * 1024
_TEMPLATE = "timeline.html"
_DATA_PLACEHOLDER = "@DATA@"
_TITLE_PLACEHOLDER = "@TITLE@"


def merge(
    logs: Iterable[Iterable[events.Event]],
) -> tuple[events.Event, ...]:
    """Return all events in causal order, without duplicates."""
    unique = {(e.process, e.sequence, e.stamp): e for log in logs for e in log}
    return tuple(
        sorted(unique.values(), key=lambda e: (e.stamp, e.process, e.sequence))
    )


def clock_text(event: events.Event) -> str:
    """Return an event's time of day in UTC; milliseconds if out of range."""
    try:
        at = datetime.datetime.fromtimestamp(
            event.stamp.wall_ms / _MILLISECONDS_PER_SECOND, datetime.UTC
        )
    except (ValueError, OverflowError, OSError):
        return f"{event.stamp.wall_ms}ms"
    milliseconds = event.stamp.wall_ms % _MILLISECONDS_PER_SECOND
    return at.strftime("%H:%M:%S.") + f"{milliseconds:03d}"


def line(event: events.Event) -> str:
    """Return one line of text about an event."""
    parts = [clock_text(event), event.process, event.name]
    if event.subject:
        parts.append(event.subject)
    if event.peer:
        parts.append(f"peer={event.peer}")
    if event.detail:
        parts.append(f"({event.detail})")
    return " ".join(parts)


def json_line(event: events.Event) -> str:
    """Return one line of JSON about an event."""
    return json.dumps(documents.to_plain(event))


def page(merged: Iterable[events.Event], title: str) -> str:
    """Return one HTML page with a lane per process.

    The page loads no external resources. Its script sets text content only,
    never markup, so that names in events cannot inject scripts.

    Args:
        merged: Events in causal order.
        title: Title of the page.
    """
    rows = [
        {
            "at": clock_text(event),
            "process": event.process,
            "name": event.name,
            "subject": event.subject,
            "peer": event.peer,
            "detail": event.detail,
        }
        for event in merged
    ]
    data = json.dumps(rows).replace("<", "\\u003c")
    package = importlib.resources.files("trefoilwind.admin")
    template = (package / _TEMPLATE).read_text(encoding="utf-8")
    head, _, tail = template.partition(_DATA_PLACEHOLDER)
    return head.replace(_TITLE_PLACEHOLDER, html.escape(title)) + data + tail


def read_file(path: str) -> tuple[events.Event, ...] | errors.SettingsError:
    """Return the events of a file of JSON lines, or an error.

    Args:
        path: File of lines as `json_line` returns them; empty lines are
            skipped.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        detail = getattr(error, "strerror", None) or type(error).__name__
        reason = errors.Reason.FILE_MISSING
        return errors.SettingsError(reason, _STEP, path, detail)
    if len(data) > MAX_FILE_BYTES:
        reason = errors.Reason.BODY_TOO_LARGE
        return errors.SettingsError(reason, _STEP, path)
    return parse_lines(data, path)


def parse_lines(
    data: bytes, source: str
) -> tuple[events.Event, ...] | errors.SettingsError:
    """Return the events in JSON lines, or an error; never raises."""
    found = []
    for number, text in enumerate(data.splitlines(), start=1):
        if not text.strip():
            continue
        event = _parse_line(text)
        if event is None:
            reason = errors.Reason.SYNTAX
            detail = "event as one line of JSON expected"
            return errors.SettingsError(
                reason, _STEP, source, detail, line=number
            )
        found.append(event)
    return tuple(found)


def _parse_line(text: bytes) -> events.Event | None:
    try:
        return documents.from_plain(json.loads(text), events.Event)
    except (ValueError, RecursionError):
        return None
