"""Traces of requests through the nodes, reconstructed from their logs."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import datetime

from trefoilwind.logs import reader

# Position of each kind in the causal order of one attempt.
_CAUSAL_POSITION = {
    "target_refused": 0,
    "target_run": 0,
    "call": 1,
    "call_failed": 1,
    "access_refused": 1,
}
_FAILURE_KINDS = frozenset({"call_failed", "access_refused"})
_END_KINDS = _FAILURE_KINDS | {"call"}
_SUPPRESSED_KIND = "left_out"
_FIRST_FIELDS = ("status", "reason", "step", "peer")
_HIDDEN_FIELDS = frozenset(
    {"time", "node", "level", "part", "message", "kind", "id", *_FIRST_FIELDS}
)


@dataclasses.dataclass(frozen=True)
class RequestTrace:
    """Log lines of one request on all nodes.

    Attributes:
        request_id: Id of the request.
        lines: Its lines, in causal order.
    """

    request_id: str
    lines: tuple[reader.Line, ...]

    @property
    def end(self) -> reader.Line | None:
        """Line on the end of the request; None if no log contains it."""
        ends = [line for line in self.lines if line.kind in _END_KINDS]
        return ends[-1] if ends else None

    @property
    def reason(self) -> str:
        """Reason of a failure; empty if it did not fail."""
        return str(self.end.fields.get("reason", "")) if self.end else ""

    @property
    def is_failed(self) -> bool:
        """True if the request failed."""
        return self.end is not None and self.end.kind in _FAILURE_KINDS

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds from receipt of the request to its end; 0 if unknown."""
        if self.end is None:
            return 0.0
        return float(self.end.fields.get("elapsed_ms", 0.0))


def collect_traces(lines: Iterable[reader.Line]) -> dict[str, RequestTrace]:
    """Return the traces of all requests, by request id."""
    groups: dict[str, list[reader.Line]] = {}
    for line in lines:
        if line.request_id:
            groups.setdefault(line.request_id, []).append(line)
    return {
        request_id: RequestTrace(request_id, _in_causal_order(group))
        for request_id, group in groups.items()
    }


def _in_causal_order(
    lines: Sequence[reader.Line],
) -> tuple[reader.Line, ...]:
    """Return lines with the end last, even if clocks of nodes differ.

    An attempt ends at the target node before the entry node logs the end of
    the request. If the clock of the entry node is behind, the order by time
    alone is wrong.
    """
    return tuple(
        sorted(
            lines,
            key=lambda line: (_CAUSAL_POSITION.get(line.kind, 0), line.at),
        )
    )


def format_trace(trace: RequestTrace) -> str:
    """Return a trace as readable text, one line per step."""
    if not trace.lines:
        return f"{trace.request_id}: not found in the logs"
    start = min(line.at for line in trace.lines)
    rows = [f"request {trace.request_id}"]
    rows += [_format_line(line, start) for line in trace.lines]
    rows.append(f"cause: {cause(trace)}")
    return "\n".join(rows)


def cause(trace: RequestTrace) -> str:
    """Return the cause of the end of a request, in one sentence."""
    end = trace.end
    if end is None:
        return "end of the request not found in the logs"
    if not trace.is_failed:
        return f"served with status {end.fields.get('status')}"
    step = end.fields.get("step", "")
    return f"{trace.reason} at {step} of {_failed_peer(end)}"


def _failed_peer(end: reader.Line) -> str:
    """Return the peer at which a request failed, else the last one tried."""
    peer = end.fields.get("peer")
    tried = end.fields.get("asked")
    if not peer and isinstance(tried, list) and tried:
        peer = tried[-1]
    return str(peer or end.node)


def _format_line(line: reader.Line, start: float) -> str:
    shown = [
        f"{name}={line.fields[name]}"
        for name in _FIRST_FIELDS
        if line.fields.get(name) not in (None, "")
    ]
    shown += [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS
    ]
    after_ms = (line.at - start) * 1000
    return (
        f"  +{after_ms:.0f} ms {line.node}: {line.message} ({', '.join(shown)})"
    )


def changes(
    lines: Iterable[reader.Line], part: str = ""
) -> Iterator[reader.Line]:
    """Yield the lines on changes of the nodes' cached state.

    Args:
        lines: Lines of all logs, sorted by time.
        part: Only lines of this part; empty for all.
    """
    for line in lines:
        is_wanted = part in ("", line.part)
        if is_wanted and not line.request_id and line.kind != _SUPPRESSED_KIND:
            yield line


def format_change(line: reader.Line) -> str:
    """Return a line on a state change as readable text."""
    at = datetime.datetime.fromtimestamp(line.at, datetime.UTC)
    clock = at.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock} {line.node} {line.part}: {line.message}"


def failed(
    traces: Iterable[RequestTrace], reason: str = ""
) -> list[RequestTrace]:
    """Return the failed requests, optionally of one reason only."""
    return [
        trace
        for trace in traces
        if trace.is_failed and reason in ("", trace.reason)
    ]


def slowest(traces: Iterable[RequestTrace], count: int) -> list[RequestTrace]:
    """Return the requests that took longest."""
    return sorted(traces, key=lambda t: t.elapsed_ms, reverse=True)[:count]
