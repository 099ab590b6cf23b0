"""Program `trefoilwind-platform-node`: runs a node on the users' platform."""

import signal


# The settings are read after the modules, which take a while to load; until
# then a change of the settings needs no action and must not end the process. A
# request to stop waits until the program handles it. Both also hold for the
# children of a process, so one that only imports this module keeps its own.
def _hold_signals() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})


if __name__ == "__main__":
    _hold_signals()

import argparse
import sys

import uvloop

from trefoilwind import errors
from trefoilwind.logs import decisions
from trefoilwind.model import addresses
from trefoilwind.platform import allocator
from trefoilwind.platform import program
from trefoilwind.platform import settings as settings_lib

EXIT_FAILED = 1
EXIT_USAGE = 2


def main() -> None:
    """Run a node until SIGTERM."""
    _hold_signals()
    arguments = _parse()
    settings = settings_lib.load_from_environment()
    if isinstance(settings, errors.Error):
        _fail(settings, EXIT_USAGE)
    allocator.map_large_blocks()
    writer = decisions.Writer(settings.machine.node)
    writer.start()
    problem = uvloop.run(program.run(settings, arguments.metrics_port))
    writer.stop()
    if problem is not None:
        _fail(problem, EXIT_FAILED)


def _parse() -> argparse.Namespace:
    """Return the arguments.

    Uses argparse, as importing cyclopts costs 0.18 s and 6 MB per node.
    """
    parser = argparse.ArgumentParser(
        "trefoilwind-platform-node",
        description="Run a node of trefoilwind on the users' platform.",
    )
    parser.add_argument(
        "--metrics-port",
        type=_port,
        default=0,
        help="port that serves the metrics at /metrics; 0 for none",
    )
    return parser.parse_args()


def _port(text: str) -> int:
    port = int(text)
    if not 0 <= port <= addresses.MAX_PORT:
        raise argparse.ArgumentTypeError(f"{text} is not a port number")
    return port


def _fail(problem: errors.Error, code: int) -> None:
    line = " ".join(str(problem).split())
    print(f"trefoilwind-platform-node: {line}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
