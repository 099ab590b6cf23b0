import pathlib

import pytest

from trefoilwind.admin import reference

_DOCS = pathlib.Path(__file__).resolve().parents[2] / "docs"


@pytest.mark.parametrize("name", sorted(reference.pages()))
def test_committed_page_is_up_to_date(name):
    committed = (_DOCS / name).read_text(encoding="utf-8")
    assert committed == reference.pages()[name], "run `make docs`"


def test_secrets_have_no_default_in_the_page():
    assert '`admin_token` | text | | `""`' in reference.settings_page()
