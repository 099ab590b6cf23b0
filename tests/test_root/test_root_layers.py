"""Imports between the layers of the platform node."""

import ast
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parents[2]
# Layers from the top; those of one number may use each other downwards only
# as docs/ARCHITECTURE.md draws them.
_HEIGHTS = {
    "cmd": 9,
    "platform": 8,
    "gateway": 7,
    "routing": 5,
    "rollout": 5,
    "telemetry": 4,
    "logs": 4,
    "distribution": 4,
    "membership": 3,
    "log": 3,
    "model": 2,
}
_FOREIGN = frozenset({"proxy", "node", "admin", "emulator", "standins"})
# Imports that point back up or across; the page names them.
_KNOWN = {("trefoilwind.routing.table", "trefoilwind.rollout")}
_LIST_MODULES = """
import sys
import trefoilwind.cmd.platform_node
for name in sorted(sys.modules):
    if name.startswith("trefoilwind."):
        print(name)
"""


def _loaded() -> list[str]:
    done = subprocess.run(
        [sys.executable, "-c", _LIST_MODULES],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def _imports(module: str) -> set[str]:
    path = _ROOT.joinpath(*module.split(".")).with_suffix(".py")
    if not path.exists():
        return set()
    return {
        node.module
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module
    }


def _layer(module: str) -> str:
    return module.split(".")[1] if "." in module else ""


def _points_back(module: str, imported: str) -> bool:
    own, other = _layer(module), _layer(imported)
    is_inner = imported.startswith("trefoilwind.") and own != other
    return is_inner and _HEIGHTS.get(other, 0) >= _HEIGHTS.get(own, 0)


def test_no_other_import_points_back_up():
    found = {
        (module, imported)
        for module in _loaded()
        if _layer(module) in _HEIGHTS
        for imported in _imports(module)
        if _points_back(module, imported)
    }
    assert found == _KNOWN


def test_the_thread_path_is_not_loaded():
    assert not [m for m in _loaded() if _layer(m) in _FOREIGN]
