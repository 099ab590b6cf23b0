"""Program `trefoilwind-check`: validates files without a node."""

import cyclopts

from trefoilwind import settings as settings_lib
from trefoilwind.cmd import common
from trefoilwind.model import mesh
from trefoilwind.routing import route_validation

app = cyclopts.App(help="Check settings and configuration offline.")


@app.command
def settings(file: str) -> None:
    """Check a node's settings.

    Args:
        file: Settings file, JSON with comments.
    """
    common.unwrap(settings_lib.load(file, settings_lib.NodeSettings))
    print(f"{file}: correct")


@app.command
def configuration(file: str) -> None:
    """Check a configuration.

    Args:
        file: Configuration file, JSON with comments.
    """
    common.load_configuration(file)
    print(f"{file}: correct")


@app.command
def routes(file: str) -> None:
    """Check a configuration with routes by host.

    Args:
        file: Configuration file, JSON with comments.
    """
    loaded = common.unwrap(settings_lib.load(file, mesh.MeshConfiguration))
    common.check_problems(route_validation.validate(loaded), file)
    print(f"{file}: correct")


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
