"""Program `trefoilwind-check`: checks files without a node."""

import dataclasses
import sys

import cyclopts

from trefoilwind import settings as settings_lib
from trefoilwind.cmd import common
from trefoilwind.log import validation
from trefoilwind.model import configuration as configuration_lib

app = cyclopts.App(help="Check settings and configuration offline.")


@app.command
def settings(file: str) -> None:
    """Check a node's settings.

    Args:
        file: File of settings, JSON with comments.
    """
    common.unwrap(settings_lib.load(file, settings_lib.NodeSettings))
    print(f"{file}: correct")


@app.command
def configuration(file: str) -> None:
    """Check a configuration.

    Args:
        file: File of the configuration, JSON with comments.
    """
    loaded = common.unwrap(
        settings_lib.load(file, configuration_lib.Configuration)
    )
    problems = validation.validate(loaded)
    for problem in problems:
        print(dataclasses.replace(problem, peer=file), file=sys.stderr)
    if problems:
        sys.exit(common.EXIT_USAGE)
    print(f"{file}: correct")


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
