"""Guard that the settings page lists every field with its default."""

from pathlib import Path

import bramleyport
from bramleyport.settings._reference import render_reference

PAGE = Path(bramleyport.__file__).parent.parent / "docs" / "settings.md"


def test_settings_page_is_complete() -> None:
    assert PAGE.read_text() == render_reference()
