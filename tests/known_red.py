"""Tests that are known to fail for a fault that is not mended yet."""

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """Hold one entry of the list."""

    test: str
    command: str
    seen: str
    issue: str


def read_entries(text: str) -> list[KnownRed]:
    """Return the entries; a line that lacks a part is an error."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: {line}")
        entries.append(KnownRed(*parts))
    return entries


def load_entries() -> list[KnownRed]:
    """Return the entries of the repository's list."""
    return read_entries(LIST.read_text()) if LIST.exists() else []
