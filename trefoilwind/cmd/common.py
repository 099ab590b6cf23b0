"""Helpers of all programs: exit codes, errors, logging, signals."""

from collections.abc import Sequence
import dataclasses
import io
import logging
import os
import signal
import sys
import threading
from typing import NoReturn

import cyclopts

from trefoilwind import errors
from trefoilwind import json_documents
from trefoilwind import settings as settings_lib
from trefoilwind.log import validation
from trefoilwind.logs import json_lines
from trefoilwind.model import addresses
from trefoilwind.model import configuration as configuration_lib

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"


def fail(error: object, code: int = EXIT_USAGE) -> NoReturn:
    """Print one line to standard error and exit."""
    print(f"{program_name()}: {one_line(error)}", file=sys.stderr)
    sys.exit(code)


def one_line(value: object) -> str:
    """Return a value as text on one line, control characters escaped."""
    text = " ".join(str(value).split())
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


def program_name() -> str:
    """Return the name under which the program was started."""
    return sys.argv[0].rpartition("/")[2]


def unwrap(result):
    """Return a result, or exit with a usage error if it is an error."""
    if isinstance(result, errors.Error):
        fail(result)
    return result


def load_configuration(path: str) -> configuration_lib.Configuration:
    """Return the configuration in a file, or exit with its first problem."""
    loaded = unwrap(settings_lib.load(path, configuration_lib.Configuration))
    check_problems(validation.validate(loaded), path)
    return loaded


def check_problems(problems: Sequence[errors.SettingsError], path: str) -> None:
    """Exit with a usage error if there are problems.

    Args:
        problems: Problems of a file's content.
        path: Path of the file.
    """
    if problems:
        first = dataclasses.replace(problems[0], peer=path)
        fail(settings_lib.with_line(first))


def check_url(name: str, url: str) -> None:
    """Exit with a usage error unless a string is an HTTP URL.

    Args:
        name: Name of the option, for the error message.
        url: The string.
    """
    if not json_documents.is_http_url(url):
        fail(f"{name}: URL such as http://127.0.0.1:7103 expected ({url})")


def check_address(host: str, port: int) -> None:
    """Exit with a usage error unless host and port are a valid address."""
    if addresses.parse_ip_address(host) is None:
        fail(f"--host: IP address expected ({host})")
    if not 0 <= port <= addresses.MAX_PORT:
        fail(f"--port: 0 to {addresses.MAX_PORT} expected ({port})")


def run(app: cyclopts.App) -> None:
    """Run an application; invalid arguments exit with the usage code."""
    if isinstance(sys.stdout, io.TextIOWrapper):
        # Names come from files, nodes and arguments and may hold characters
        # that the encoding of the output lacks.
        sys.stdout.reconfigure(errors="backslashreplace")
    try:
        app(sys.argv[1:], exit_on_error=False, print_error=False)
        sys.stdout.flush()
    except cyclopts.CycloptsError as error:
        fail(error)
    except BrokenPipeError:
        # The reader closed the pipe: redirect standard output to the null
        # device, so that the flush at exit does not fail too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)
    except KeyboardInterrupt:
        fail("interrupted", EXIT_FAILED)


class _TextFormatter(logging.Formatter):
    """Formats log records as text; prefixes other packages' logger names."""

    def __init__(self) -> None:
        super().__init__(_TEXT_FORMAT)

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Return the line of text of a log record."""
        record.message = ": ".join(json_lines.part_and_sentence(record))
        return super().formatMessage(record)


def set_up_logging(level: str, log_format: str = "text") -> None:
    """Log to standard error; a further call replaces the configuration.

    Args:
        level: Name of the lowest level that is logged.
        log_format: "text" or "json".
    """
    handler = logging.StreamHandler()
    is_json = log_format == "json"
    handler.setFormatter(
        json_lines.JsonFormatter() if is_json else _TextFormatter()
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)


def wait_for_stop() -> None:
    """Block until the process receives SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    while not stopped.wait(1.0):
        pass
