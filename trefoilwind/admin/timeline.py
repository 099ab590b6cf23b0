"""Merge of the events of many processes."""

from collections.abc import Iterable
import datetime

from trefoilwind import events

_MILLISECONDS_PER_SECOND = 1000


def merge(
    logs: Iterable[Iterable[events.Event]],
) -> tuple[events.Event, ...]:
    """Return all events in causal order, each once."""
    unique = {(e.process, e.sequence, e.stamp): e for log in logs for e in log}
    return tuple(
        sorted(unique.values(), key=lambda e: (e.stamp, e.process, e.sequence))
    )


def line(event: events.Event) -> str:
    """Return one line of text about an event."""
    at = datetime.datetime.fromtimestamp(
        event.stamp.wall_ms / _MILLISECONDS_PER_SECOND, datetime.UTC
    )
    clock = at.strftime("%H:%M:%S.") + f"{event.stamp.wall_ms % 1000:03d}"
    parts = [clock, event.process, event.name]
    if event.subject:
        parts.append(event.subject)
    if event.peer:
        parts.append(f"peer={event.peer}")
    if event.detail:
        parts.append(f"({event.detail})")
    return " ".join(parts)
