"""Way of one request through the nodes, from their logs."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime

from trefoilwind.logs import reader

# Kinds in the order in which they happen to one attempt.
_ORDER = {"target_refused": 0, "target_run": 0, "call": 1, "call_failed": 1}
_END_KINDS = frozenset({"call", "call_failed"})
_LEFT_OUT = "left_out"
_SHOWN_FIRST = ("status", "reason", "step", "peer")
_HIDDEN = frozenset(
    {"time", "node", "level", "part", "message", "kind", "id", *_SHOWN_FIRST}
)


@dataclasses.dataclass(frozen=True)
class Story:
    """What the logs tell of one request.

    Attributes:
        request_id: Id of the request.
        lines: Its lines, in causal order.
    """

    request_id: str
    lines: tuple[reader.Line, ...]

    @property
    def end(self) -> reader.Line | None:
        """Line on the end of the request; None if no log holds it."""
        ends = [line for line in self.lines if line.kind in _END_KINDS]
        return ends[-1] if ends else None

    @property
    def reason(self) -> str:
        """Reason of a failure; empty if it did not fail."""
        return str(self.end.fields.get("reason", "")) if self.end else ""

    @property
    def is_failed(self) -> bool:
        """True if the request failed."""
        return self.end is not None and self.end.kind == "call_failed"

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds from the request to its end; 0 if not known."""
        if self.end is None:
            return 0.0
        return float(self.end.fields.get("elapsed_ms", 0.0))


def stories(lines: Iterable[reader.Line]) -> dict[str, Story]:
    """Return what the logs tell, by request id."""
    groups: dict[str, list[reader.Line]] = {}
    for line in lines:
        if line.request_id:
            groups.setdefault(line.request_id, []).append(line)
    return {
        request_id: Story(request_id, _in_causal_order(group))
        for request_id, group in groups.items()
    }


def _in_causal_order(
    lines: Sequence[reader.Line],
) -> tuple[reader.Line, ...]:
    """Return lines so that the end comes last, whatever the clocks say.

    An attempt at a target node ends before its entry node tells of it, also
    where the clocks of the two differ.
    """
    return tuple(
        sorted(lines, key=lambda line: (_ORDER.get(line.kind, 0), line.at))
    )


def text(story: Story) -> str:
    """Return a story for a person, one line a step."""
    if not story.lines:
        return f"{story.request_id}: no log holds it"
    start = min(line.at for line in story.lines)
    rows = [f"request {story.request_id}"]
    rows += [_row(line, start) for line in story.lines]
    rows.append(f"cause: {cause(story)}")
    return "\n".join(rows)


def cause(story: Story) -> str:
    """Return why a request ended as it did, in one sentence."""
    end = story.end
    if end is None:
        return "no log holds its end"
    if not story.is_failed:
        return f"served with status {end.fields.get('status')}"
    step = end.fields.get("step", "")
    return f"{story.reason} at {step} of {_failed_at(end)}"


def _failed_at(end: reader.Line) -> str:
    """Return the peer at which a request failed, else the last one asked."""
    peer = end.fields.get("peer")
    asked = end.fields.get("asked")
    if not peer and isinstance(asked, list) and asked:
        peer = asked[-1]
    return str(peer or end.node)


def _row(line: reader.Line, start: float) -> str:
    shown = [
        f"{name}={line.fields[name]}"
        for name in _SHOWN_FIRST
        if line.fields.get(name) not in (None, "")
    ]
    shown += [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN
    ]
    after_ms = (line.at - start) * 1000
    return (
        f"  +{after_ms:.0f} ms {line.node}: {line.message} ({', '.join(shown)})"
    )


def changes(
    lines: Iterable[reader.Line], part: str = ""
) -> Iterator[reader.Line]:
    """Yield the lines on what nodes believe, over all processes by time.

    Args:
        lines: Lines of all logs, by time.
        part: Only lines of this part; empty for all.
    """
    for line in lines:
        is_wanted = part in ("", line.part)
        if is_wanted and not line.request_id and line.kind != _LEFT_OUT:
            yield line


def change_text(line: reader.Line) -> str:
    """Return a line on a belief for a person."""
    at = datetime.datetime.fromtimestamp(line.at, datetime.UTC)
    clock = at.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock} {line.node} {line.part}: {line.message}"


def failed(found: Iterable[Story], reason: str = "") -> list[Story]:
    """Return the failed requests, of one reason or of all."""
    return [
        story
        for story in found
        if story.is_failed and reason in ("", story.reason)
    ]


def slowest(found: Iterable[Story], count: int) -> list[Story]:
    """Return the requests that took longest."""
    return sorted(found, key=lambda s: s.elapsed_ms, reverse=True)[:count]
