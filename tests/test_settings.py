"""Test that the settings page is up to date."""

from pathlib import Path

import bramleyport
from bramleyport.settings._reference import render_reference

PAGE = Path(bramleyport.__file__).parent.parent / "docs" / "settings.md"


def test_settings_page_is_up_to_date() -> None:
    assert PAGE.read_text() == render_reference()
