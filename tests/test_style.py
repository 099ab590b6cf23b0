"""Style checks for which the linter has no rule."""

import ast
import importlib
import pathlib

import pytest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCES = sorted(
    path
    for folder in ("trefoilwind", "tests", "benchmarks")
    for path in (_ROOT / folder).rglob("*.py")
)
# The Google style guide exempts these from importing modules only.
_EXEMPT_MODULES = frozenset({"typing", "collections.abc", "__future__"})


def _is_module(package: str, name: str) -> bool:
    try:
        importlib.import_module(f"{package}.{name}")
    except ModuleNotFoundError:
        return False
    return True


@pytest.mark.parametrize("path", _SOURCES, ids=lambda p: p.stem)
def test_imports_name_modules_only(path: pathlib.Path):
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module in _EXEMPT_MODULES:
            continue
        assert node.level == 0, f"line {node.lineno} is a relative import"
        for alias in node.names:
            assert _is_module(node.module, alias.name), (
                f"line {node.lineno} imports the name {alias.name}"
            )
