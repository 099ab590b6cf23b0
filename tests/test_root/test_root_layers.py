"""Imports between the layers of the platform node."""

import ast
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parents[2]
# Ranks of the layers, the top layer highest. Layers of equal rank may import
# each other only as drawn in docs/ARCHITECTURE.md.
_RANKS = {
    "cmd": 9,
    "platform": 8,
    "gateway": 7,
    "customers": 5,
    "routing": 5,
    "rollout": 5,
    "telemetry": 4,
    "logs": 4,
    "distribution": 4,
    "membership": 3,
    "log": 3,
    "model": 2,
}
_THREAD_BASED_PACKAGES = frozenset(
    {"proxy", "node", "admin", "emulator", "standins"}
)
# Exceptions that are documented in docs/ARCHITECTURE.md: imports of a layer of
# equal or higher rank.
_ALLOWED_UPWARD_IMPORTS: set[tuple[str, str]] = set()
_LIST_MODULES = """
import sys
import trefoilwind.cmd.platform_node
for name in sorted(sys.modules):
    if name.startswith("trefoilwind."):
        print(name)
"""


def _loaded_modules() -> list[str]:
    completed = subprocess.run(
        [sys.executable, "-c", _LIST_MODULES],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.split()


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


def _is_upward(module: str, imported: str) -> bool:
    own, other = _layer(module), _layer(imported)
    is_other_layer = imported.startswith("trefoilwind.") and own != other
    return is_other_layer and _RANKS.get(other, 0) >= _RANKS.get(own, 0)


def test_no_other_upward_imports():
    found = {
        (module, imported)
        for module in _loaded_modules()
        if _layer(module) in _RANKS
        for imported in _imports(module)
        if _is_upward(module, imported)
    }
    assert found == _ALLOWED_UPWARD_IMPORTS


def test_thread_based_packages_are_not_loaded():
    assert not [
        m for m in _loaded_modules() if _layer(m) in _THREAD_BASED_PACKAGES
    ]
