"""Program `trefoilwind-timeline`: merges the events of many nodes."""

import json
import os
import sys

import cyclopts

from trefoilwind import errors
from trefoilwind.admin import client as client_lib
from trefoilwind.admin import documents
from trefoilwind.admin import timeline
from trefoilwind.cmd import admin
from trefoilwind.cmd import common

app = cyclopts.App(help="Merge the events of nodes in causal order.")


@app.default
def run(*nodes: str, as_json: bool = False) -> None:
    """Print the merged time line.

    Args:
        nodes: URLs of the nodes' administration APIs.
        as_json: Print JSON lines.
    """
    token = os.environ.get(admin.TOKEN_VARIABLE, "")
    logs = []
    failed = False
    for node in nodes:
        result = client_lib.AdminClient(node, token).events()
        if isinstance(result, errors.Error):
            print(f"{common.program_name()}: {result}", file=sys.stderr)
            failed = True
            continue
        logs.append(result)
    for event in timeline.merge(logs):
        if as_json:
            print(json.dumps(documents.to_plain(event)))
        else:
            print(timeline.line(event))
    if failed:
        sys.exit(common.EXIT_FAILED)


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
