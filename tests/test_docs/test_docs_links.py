"""Relative links between documentation pages refer to existing files."""

import pathlib
import re

import pytest

_DOCS = pathlib.Path(__file__).resolve().parents[2] / "docs"
_LINK = re.compile(r"\]\((?!https?://|#)([^)#]+)(?:#[^)]*)?\)")


@pytest.mark.parametrize(
    "page", sorted(_DOCS.rglob("*.md")), ids=lambda p: str(p.name)
)
def test_relative_links_refer_to_files(page):
    for target in _LINK.findall(page.read_text(encoding="utf-8")):
        assert (page.parent / target).exists(), target
