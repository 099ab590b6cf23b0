import ast
import json
import logging
import pathlib
import re

import pytest

import trefoilwind
from trefoilwind import settings as settings_lib
from trefoilwind.cmd import common

_SOURCES = sorted(pathlib.Path(trefoilwind.__file__).parent.rglob("*.py"))
_METHODS = frozenset(
    {"debug", "info", "warning", "error", "critical", "exception"}
)


@pytest.fixture
def restore_logging():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def _messages(path: pathlib.Path):
    for node in ast.walk(ast.parse(path.read_text())):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id == "logger"
            and node.func.attr in _METHODS
        ):
            yield node.lineno, node.args[0]


def test_messages_start_with_a_part():
    for path in _SOURCES:
        for line, message in _messages(path):
            assert isinstance(message, ast.Constant), f"{path.name}:{line}"
            assert re.match(r"([a-z]+|%s): \S", message.value), (
                f"{path.name}:{line}"
            )


def test_lines_of_text(restore_logging, capsys):
    common.set_up_logging("INFO", "text")
    logging.getLogger("trefoilwind.x").info("admin: %s failed", "it")
    logging.getLogger("urllib3.pool").warning("pool: full")
    first, second = capsys.readouterr().err.splitlines()
    assert first.endswith("INFO admin: it failed")
    assert second.endswith("WARNING urllib3.pool: pool: full")


def test_lines_of_json(restore_logging, capsys):
    common.set_up_logging("INFO", "json")
    logging.getLogger("trefoilwind.x").info('admin: a "quote"\nand a line')
    logging.getLogger("trefoilwind.x").debug("admin: not shown")
    (line,) = capsys.readouterr().err.splitlines()
    plain = json.loads(line)
    assert plain.pop("time").endswith("+00:00")
    assert plain == {
        "level": "INFO",
        "part": "admin",
        "message": 'a "quote"\nand a line',
    }


def test_logging_is_set_up_once(restore_logging):
    common.set_up_logging("INFO", "text")
    common.set_up_logging("ERROR", "json")
    assert len(logging.getLogger().handlers) == 1
    assert logging.getLogger().level == logging.ERROR


def test_settings_do_not_show_the_token():
    settings = settings_lib.NodeSettings(
        "n", "d", "r", settings_lib.LogSettings(""), admin_token="hidden-one"
    )
    assert "hidden-one" not in f"{settings!r} {settings}"
