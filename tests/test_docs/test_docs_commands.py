"""Every command in the console blocks of the documentation runs as written."""

import pathlib

import pytest

from tests.test_docs import commands

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PAGES = sorted(
    path
    for path in (_ROOT / "README.md", *(_ROOT / "docs").rglob("*.md"))
    if commands.extract(path.read_text(encoding="utf-8"))
)


@pytest.mark.parametrize("page", _PAGES, ids=lambda p: str(p.name))
def test_commands_run_as_written(page, tmp_path):
    runner = commands.Runner(tmp_path, _ROOT)
    try:
        for command in commands.extract(page.read_text(encoding="utf-8")):
            runner.run(command)
    finally:
        runner.stop()


def test_readme_has_commands():
    assert _ROOT / "README.md" in _PAGES


def test_extractor():
    page = "\n".join(
        (
            "$ not in a block",
            "```console",
            "$ export NAME=value",
            "$ server --port 7000 &",
            "output",
            "$ client a \\",
            "  b  # exit 1",
            "```",
            "```json",
            "$ other",
            "```",
        )
    )
    assert commands.extract(page) == (
        commands.Command("export NAME=value"),
        commands.Command("server --port 7000", is_background=True),
        commands.Command("client a    b", exit_code=1),
    )
    with pytest.raises(ValueError, match="without a shell"):
        commands.extract("```console\n$ a | b\n```\n")
