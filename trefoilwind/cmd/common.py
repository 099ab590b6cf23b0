"""What all programs share: exit codes, errors, logs, signals."""

import logging
import signal
import sys
import threading
from typing import NoReturn

import cyclopts

from trefoilwind import errors

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

_LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"


def fail(error: object, code: int = EXIT_USAGE) -> NoReturn:
    """Print one line to standard error and exit."""
    print(f"{program_name()}: {error}", file=sys.stderr)
    sys.exit(code)


def program_name() -> str:
    """Return the name under which the program was started."""
    return sys.argv[0].rpartition("/")[2]


def unwrap(result):
    """Return a result, or exit with a usage error if it is an error."""
    if isinstance(result, errors.Error):
        fail(result)
    return result


def run(app: cyclopts.App) -> None:
    """Run an application; wrong arguments exit with the usage code."""
    try:
        app(exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as error:
        fail(" ".join(str(error).split()))


def set_up_logging(level: str) -> None:
    """Log to standard error.

    Args:
        level: Name of the smallest level; a wrong name exits.
    """
    if level not in logging.getLevelNamesMapping():
        fail(f"log_level: {errors.Reason.OUT_OF_RANGE.value} ({level})")
    logging.basicConfig(level=level, format=_LOG_FORMAT)


def wait_for_stop() -> None:
    """Return once the process is asked to end."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    while not stopped.wait(1.0):
        pass
