"""Program `trefoilwind-timeline`: merges the events of many nodes."""

from collections.abc import Sequence
import os
import pathlib
import sys
from typing import Annotated

import cyclopts

from trefoilwind import errors
from trefoilwind import events
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import timeline
from trefoilwind.cmd import admin
from trefoilwind.cmd import common

app = cyclopts.App(help="Merge the events of nodes in causal order.")

_TITLE = "trefoilwind timeline"


@app.default
def run(
    *source: str,
    as_json: Annotated[
        bool, cyclopts.Parameter(name="--json", negative="")
    ] = False,
    html: Annotated[bool, cyclopts.Parameter(negative="")] = False,
    output: str = "",
) -> None:
    """Print the merged timeline; exit with 1 if a node did not answer.

    Args:
        source: URLs of nodes' administration APIs, or files of JSON lines.
        as_json: Print one JSON object per line.
        html: Print one HTML page with a column per process.
        output: File to write to instead of standard output.
    """
    if not source:
        common.fail("no node or file given")
    if as_json and html:
        common.fail("--json and --html exclude each other")
    for location in source:
        if "://" in location:
            common.check_url("source", location)
    logs = [_read(location) for location in source]
    merged = timeline.merge(x for x in logs if not isinstance(x, errors.Error))
    _write(_text(merged, as_json, html), output)
    if any(isinstance(log, errors.Error) for log in logs):
        sys.exit(common.EXIT_FAILED)


def _read(location: str) -> tuple[events.Event, ...] | errors.AdminError:
    if "://" not in location:
        return common.unwrap(timeline.read_file(location))
    token = os.environ.get(admin.TOKEN_VARIABLE, "")
    result = client_lib.AdminClient(location, token).events()
    if isinstance(result, errors.Error):
        print(
            f"{common.program_name()}: {common.one_line(result)}",
            file=sys.stderr,
        )
    return result


def _text(merged: Sequence[events.Event], as_json: bool, html: bool) -> str:
    if html:
        return timeline.page(merged, _TITLE)
    if as_json:
        return "".join(f"{timeline.json_line(e)}\n" for e in merged)
    return "".join(f"{common.one_line(timeline.line(e))}\n" for e in merged)


def _write(text: str, output: str) -> None:
    if not output:
        sys.stdout.write(text)
        return
    try:
        pathlib.Path(output).write_text(
            text, encoding="utf-8", errors="backslashreplace"
        )
    except (OSError, ValueError) as error:
        common.fail(f"{output}: {error}")


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
