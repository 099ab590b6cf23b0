"""Program `trefoilwind-explain`: traces a request through the logs."""

import json
from typing import Annotated
import urllib.parse

import cyclopts
import urllib3

from trefoilwind.cmd import common
from trefoilwind.logs import explain
from trefoilwind.logs import preview_text
from trefoilwind.logs import reader

_WHERE_PATH = "/where"
_WHERE_TIMEOUT_S = 5.0
_OK = 200

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


@app.command
def where(
    url: str,
    host: str,
    path: str,
    *,
    method: str = "GET",
    body_bytes: Annotated[int, cyclopts.Parameter(name="--bytes")] = 0,
    customer: str = "",
    as_json: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> None:
    """Explain where a request would go now, without sending it.

    Args:
        url: URL of the metrics server of the entry node.
        host: Host of the request.
        path: Its path.
        method: Its HTTP method.
        body_bytes: Size of its body.
        customer: Name of its customer; no key is needed.
        as_json: Print one JSON object.
    """
    common.check_url("URL", url)
    query = urllib.parse.urlencode(
        {
            "host": host,
            "path": path,
            "method": method,
            "bytes": body_bytes,
            "customer": customer,
        }
    )
    pool = urllib3.PoolManager(retries=False)
    try:
        answer = pool.request(
            "GET",
            f"{url.rstrip('/')}{_WHERE_PATH}?{query}",
            timeout=_WHERE_TIMEOUT_S,
        )
        document = json.loads(answer.data) if answer.data else {}
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        common.fail(f"{url}: {error}", common.EXIT_FAILED)
    if answer.status != _OK:
        detail = document.get("error", f"status {answer.status}")
        common.fail(f"{url}: {detail}", common.EXIT_FAILED)
    if as_json:
        print(json.dumps(document))
    else:
        print(preview_text.render(document))


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
