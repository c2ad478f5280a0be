"""Number the tags and fields of the most frequent messages.

From protocol version 2 on, a frame may carry these numbers in place of names.
Heartbeats and load reports are most of the control traffic, and names are most of
their bytes.
"""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class CompactForm:
    """Hold the number of a message tag and the fields in the order of their numbers."""

    code: int
    fields: tuple[str, ...]


COMPACT_VERSION: Final = 2
# In place of a message number: the second item is a list of messages.
BATCH_CODE: Final = 0
BATCH_VERSION: Final = 2

# Numbers are part of the protocol: a new field goes to the end of its tuple, and no
# number is ever given to another field or tag.
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

_TAGS: Final = {form.code: tag for tag, form in COMPACT_FORMS.items()}
_NUMBERS: Final = {
    tag: {name: number for number, name in enumerate(form.fields)}
    for tag, form in COMPACT_FORMS.items()
}


def shorten(tag: str, fields: dict[str, object]) -> list[object]:
    """Return a message with numbers where its tag has them, otherwise with names."""
    numbers = _NUMBERS.get(tag)
    if numbers is None or not numbers.keys() >= fields.keys():
        return [tag, fields]
    code = COMPACT_FORMS[tag].code
    return [code, {numbers[name]: value for name, value in fields.items()}]


def expand(code: int, fields: dict[object, object]) -> tuple[str, dict[str, object]]:
    """Return the tag and named fields of a numbered message.

    Unknown numbers belong to fields of a later version and are left out.
    """
    tag = _TAGS[code]
    names = COMPACT_FORMS[tag].fields
    named = {
        names[number]: value
        for number, value in fields.items()
        if type(number) is int and 0 <= number < len(names)
    }
    return tag, named
