"""Parse a JSON body part by part, if the parser refuses it as a whole.

A body holds all entries of a list. One entry that is nested too deeply, has a number of
too many digits or is no UTF-8 makes the parser refuse all of them. The parts are found
in the bytes, without recursion and in linear time.
"""

import re
from dataclasses import dataclass
from typing import Any, Final

from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    parse_document,
    parse_json,
)

# The possessive quantifiers keep the search linear, and a string that does not end
# extends to the end of the body.
_STRING: Final = rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)'
_BOUNDARY: Final = re.compile(_STRING + rb"|[{}\[\],]", re.DOTALL)
_BRACKETS: Final = re.compile(_STRING + rb"|[{\[]++|[}\]]++", re.DOTALL)
_MEMBER: Final = re.compile(rb"\s*(" + _STRING + rb")\s*:(.*)", re.DOTALL)
# Strings, containers and commas of one container. A page of a list has some hundred
# entries; the bound keeps the time short that a body of another kind takes.
MAX_BOUNDARIES: Final = 100_000
_OPENING: Final = b"{["
_CLOSING: Final = b"}]"


@dataclass(frozen=True, slots=True)
class UnparsedSlice:
    """Represent the bytes of a value that the parser refuses."""

    text: bytes
    reason: str


@dataclass(frozen=True, slots=True)
class EntryList:
    """Describe a body that holds a list of entries beside other fields."""

    fields: Document
    # Values, or an UnparsedSlice for an entry that the parser refuses.
    entries: list[Any]


def parse_entries(body: bytes, name: str) -> EntryList:
    """Return the entries in a field of a body, each parsed by itself if necessary."""
    try:
        fields = parse_document(body)
    except MalformedDocumentError as error:
        fields = parse_members(UnparsedSlice(body, str(error)))
    entries = fields.get(name) or []
    if isinstance(entries, UnparsedSlice):
        entries = _parse_elements(entries)
    if not isinstance(entries, list):
        raise MalformedDocumentError(f"{name} is not a list")
    return EntryList(fields, entries)


def parse_members(value: UnparsedSlice) -> dict[str, Any]:
    """Return the members of an object; members with unreadable names are left out."""
    members = {}
    for part in _split(value, b"{"):
        match = _MEMBER.fullmatch(part)
        name = _parse_slice(match[1]) if match else None
        if match and isinstance(name, str):
            members[name] = _parse_slice(match[2])
    return members


def _parse_elements(value: UnparsedSlice) -> list[Any]:
    return [_parse_slice(part) for part in _split(value, b"[")]


def _parse_slice(text: bytes) -> Any:
    try:
        return parse_json(text)
    except MalformedDocumentError as error:
        return UnparsedSlice(text, str(error))


def _split(value: UnparsedSlice, bracket: bytes) -> list[bytes]:
    """Return the parts of a container that commas separate."""
    text = value.text.strip()
    if not text.startswith(bracket):
        raise MalformedDocumentError(value.reason)
    parts: list[bytes] = []
    begin = position = len(bracket)
    for _ in range(MAX_BOUNDARIES):
        match = _BOUNDARY.search(text, position)
        if match is None:
            break
        position = match.end()
        if match[0] in _OPENING:
            position = _skip_container(text, match.start())
            continue
        if match[0][:1] == b'"':
            continue
        parts.append(text[begin : match.start()])
        begin = position
        if match[0] in _CLOSING:
            is_empty = len(parts) == 1 and not parts[0].strip()
            return [] if is_empty else parts
    raise MalformedDocumentError(value.reason)


def _skip_container(text: bytes, start: int) -> int:
    """Return the end of the container that begins at a position."""
    depth = 0
    for match in _BRACKETS.finditer(text, start):
        bracket = text[match.start()]
        length = match.end() - match.start()
        if bracket in _OPENING:
            depth += length
        elif bracket in _CLOSING:
            if length >= depth:
                return match.start() + depth
            depth -= length
    return len(text)
