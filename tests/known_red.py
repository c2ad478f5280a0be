"""Read KNOWN-RED.txt, the list of tests that may fail because of open faults."""

from dataclasses import dataclass
from pathlib import Path

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """Describe a test that may fail because of an open fault."""

    test: str
    command: str
    seen: str
    issue: str


def read_entries(text: str) -> list[KnownFailure]:
    """Return the entries, or raise ValueError for a line that lacks a field."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise ValueError(
                f'KNOWN-RED.txt: expected 4 fields separated by "|": {line}'
            )
        entries.append(KnownFailure(*fields))
    return entries


def load_entries() -> list[KnownFailure]:
    """Return the entries of the repository's list."""
    return read_entries(LIST_PATH.read_text()) if LIST_PATH.exists() else []
