"""Tests of `trefoilwind-load` as a subprocess."""

import pathlib
import subprocess
import sys

import pytest

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_SCENARIO = """
{
  // Two data centres, one server each.
  "name": "two", "length_s": 2.0,
  "data_centres": [
    {"name": "a", "region": "r", "per_s": 30.0},
    {"name": "b", "region": "q", "per_s": 30.0}],
  "servers": [
    {"service": "s", "data_centre": "a", "slots": 4, "speeds": [1.0]},
    {"service": "s", "data_centre": "b", "slots": 4, "speeds": [1.0]}],
  "classes": [
    {"name": "read", "service": "s", "weight": 1.0, "work_s": 0.05,
     "work_spread": 0.3, "target_s": 0.3, "deadline_s": 1.0, "worth": 1.0,
     "late_worth": 0.2, "rank": 1, "returns": 1}],
}
"""


def _run(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "trefoilwind.cmd.load", *arguments],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def _file(tmp_path: pathlib.Path, text: str = _SCENARIO) -> str:
    path = tmp_path / "two.jsonc"
    path.write_text(text)
    return str(path)


def test_policies_are_compared_on_the_same_seeds(tmp_path: pathlib.Path):
    done = _run(
        _file(tmp_path), "--policy", "product", "--policy", "fifo", "--seeds=2"
    )
    assert done.returncode == 0, done.stderr
    rows = done.stdout.split("\n")[2:6]
    starts = [" ".join(row.split()[1:4:2]) for row in rows]
    assert starts == ["product 1", "product 2", "fifo 1", "fifo 2"]


def test_page_and_plot_are_written(tmp_path: pathlib.Path):
    output = tmp_path / "out"
    done = _run(_file(tmp_path), "--policy", "product", "--output", str(output))
    assert done.returncode == 0, done.stderr
    assert "two.svg" in (output / "two.md").read_text()
    assert (output / "two.svg").read_text().startswith("<svg ")


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('"slots": 4', '"slots": "x"'), "slots"),
        (('"work_s": 0.05', '"work_s": 0'), "work_s"),
        (('"data_centre": "b"', '"data_centre": "c"'), "no data centre c"),
        (('"weight": 1.0', '"weight": 0'), "no class with a weight"),
        (('"name": "two",', '"name": "two", "odd": 1,'), "odd"),
    ],
)
def test_bad_scenarios_are_reported_in_one_line(
    tmp_path: pathlib.Path, change: tuple[str, str], expected: str
):
    done = _run(_file(tmp_path, _SCENARIO.replace(*change)))
    assert done.returncode == 2
    assert expected in done.stderr
    assert done.stderr.count("\n") == 1


def test_unknown_policy(tmp_path: pathlib.Path):
    done = _run(_file(tmp_path), "--policy", "best")
    assert done.returncode == 2
    assert "--policy" in done.stderr
