"""Numbers that replace the tags and field names of frequent messages.

Frames may contain them from protocol version 2 on. Heartbeats and load reports are most
of the control traffic, and names would be most of their bytes.
"""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class CompactForm:
    """Describe the number of a message tag and its fields in order of their numbers."""

    code: int
    fields: tuple[str, ...]


COMPACT_VERSION: Final = 2
# Replaces a message number if the second item is a list of messages.
BATCH_CODE: Final = 0
BATCH_VERSION: Final = 2

# The numbers are part of the protocol. New fields are appended to their tuple, and the
# number of a removed tag or field is never reused.
COMPACT_FORMS: Final[dict[str, CompactForm]] = {
    "heartbeat": CompactForm(
        1, ("sequence", "revision", "hosts_revision", "digest", "store_age_ms")
    ),
    "load_report": CompactForm(2, ("values",)),
    "frame": CompactForm(3, ("attempt", "number", "payload")),
    "ack": CompactForm(4, ("attempt", "next_frame")),
    "accepted": CompactForm(5, ("attempt",)),
    "cache_report": CompactForm(
        6,
        (
            "upstream",
            "sequence",
            "stored",
            "evicted",
            "previous",
            "full",
            "uncertain",
        ),
    ),
}

_TAG_BY_CODE: Final = {form.code: tag for tag, form in COMPACT_FORMS.items()}
_FIELD_NUMBERS: Final = {
    tag: {name: number for number, name in enumerate(form.fields)}
    for tag, form in COMPACT_FORMS.items()
}


def shorten(tag: str, fields: dict[str, object]) -> list[object]:
    """Return a message with numbers if tag and fields have them, else with names."""
    numbers = _FIELD_NUMBERS.get(tag)
    if numbers is None or not numbers.keys() >= fields.keys():
        return [tag, fields]
    code = COMPACT_FORMS[tag].code
    return [code, {numbers[name]: value for name, value in fields.items()}]


def expand(code: int, fields: dict[object, object]) -> tuple[str, dict[str, object]]:
    """Return the tag and the named fields of a message with numbers.

    Unknown field numbers, which later versions may add, are ignored.
    """
    tag = _TAG_BY_CODE[code]
    names = COMPACT_FORMS[tag].fields
    named = {
        names[number]: value
        for number, value in fields.items()
        if type(number) is int and 0 <= number < len(names)
    }
    return tag, named
