"""Deploy file and run-time requirements of the program."""

import pathlib
import subprocess
import sys
import tomllib

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_DEPLOY = _ROOT / "deploy"
# Import names of the packages in deploy/requirements.txt.
_ALLOWED = {
    "aioprometheus",
    "attr",
    "attrs",
    "cattr",
    "cattrs",
    "hdrh",
    "httptools",
    "msgpack",
    "orjson",
    "pyhdrh",
    "pyjson5",
    "quantile",
    "typing_extensions",
    "uvloop",
    "xxhash",
}
_LIST_MODULES = """
import sys
before = set(sys.modules)
import trefoilwind.cmd.platform_node
from trefoilwind.telemetry import prometheus
prometheus.render(())
for name in set(sys.modules) - before:
    module = sys.modules[name]
    if "site-packages" in (getattr(module, "__file__", None) or ""):
        print(name.partition(".")[0])
"""


def test_program_imports_only_installed_packages():
    done = subprocess.run(
        [sys.executable, "-c", _LIST_MODULES],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert set(done.stdout.split()) <= _ALLOWED


def test_deployed_versions_are_the_pinned_ones():
    run_time = (_DEPLOY / "requirements.txt").read_text().split("\n")
    pinned = (_ROOT / "requirements.txt").read_text().split("\n")
    wanted = [line for line in run_time if "==" in line]
    assert wanted
    assert set(wanted) <= set(pinned)


def test_program_of_the_deploy_file_exists():
    deploy = tomllib.loads((_DEPLOY / "system.toml").read_text())
    words = deploy["roles"]["node"]["run"].split()
    assert words[:2] == ["python3", "-m"]
    path = _ROOT / (words[2].replace(".", "/") + ".py")
    assert path.is_file()
