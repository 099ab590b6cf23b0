"""Program `trefoilwind-explain`: traces a request through the logs."""

import json
from typing import Annotated

import cyclopts

from trefoilwind.cmd import common
from trefoilwind.logs import explain
from trefoilwind.logs import reader

app = cyclopts.App(
    help="Show from logs how requests were handled and why they failed."
)


@app.default
def run(
    request_id: str,
    *logs: str,
    slowest: Annotated[int, cyclopts.Parameter()] = 0,
    failed: bool = False,
    reason: str = "",
    changes: bool = False,
    part: str = "",
    as_json: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> None:
    """Print the log lines of a request at all nodes, in causal order.

    Args:
        request_id: Id of the request; "all" with --slowest, --failed or
            --changes.
        logs: Log files, plain or compressed; "-" for standard input.
        slowest: Print this number of the slowest requests.
        failed: Print the failed requests and their number by reason.
        reason: With --failed, only requests that failed for this reason.
        changes: Print the changes in the nodes' view of the mesh, in order of
            time.
        part: With --changes, only lines with this value of "part".
        as_json: Print one JSON object per request.
    """
    lines = _read(logs)
    if changes:
        for line in explain.changes(lines, part):
            print(explain.format_change(line))
        return
    found = explain.collect_traces(lines)
    if failed:
        chosen = explain.failed(found.values(), reason)
    elif slowest:
        chosen = explain.slowest(found.values(), slowest)
    else:
        chosen = [found.get(request_id, explain.RequestTrace(request_id, ()))]
    for trace in chosen:
        print(_json(trace) if as_json else explain.format_trace(trace))
    if failed and not as_json:
        _print_counts(chosen)
    if not chosen or not chosen[0].lines:
        raise SystemExit(common.EXIT_FAILED)


def _read(logs: tuple[str, ...]) -> list[reader.Line]:
    try:
        return reader.read(logs or ("-",))
    except OSError as error:
        common.fail(f"{error.filename}: {error.strerror}")


def _print_counts(traces: list[explain.RequestTrace]) -> None:
    reasons = sorted({trace.reason for trace in traces})
    for reason in reasons:
        count = sum(trace.reason == reason for trace in traces)
        print(f"{count} {reason}")


def _json(trace: explain.RequestTrace) -> str:
    return json.dumps(
        {
            "id": trace.request_id,
            "cause": explain.cause(trace),
            "lines": [line.fields for line in trace.lines],
        }
    )


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
