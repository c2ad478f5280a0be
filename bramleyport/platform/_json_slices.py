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
# Where entries begin, if brackets tell nothing. In a string the quotes are escaped.
_ENTRY: Final = re.compile(
    rb'(?<=[\[,\s])\{\s*+"(?:metadata|object|deleted|spec|status)"\s*+:', re.DOTALL
)
_AFTER_COLON: Final = re.compile(rb":\s*\Z")
# The end of a list of entries, with the plain fields behind it.
_TAIL: Final = re.compile(
    rb'\](?:\s*+,\s*+"\w++"\s*+:\s*+(?:true|false|null|-?\d++))*+\s*+\}\s*+\Z'
)
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


def parse_entries(body: bytes, name: str, required: str = "") -> EntryList:
    """Return the entries in a field of a body, each parsed by itself if necessary.

    If a required field is not found, an entry with a bracket too many or too few hides
    it, and the entries are found by how they begin.
    """
    try:
        return _read_entries(parse_document(body), name)
    except MalformedDocumentError as error:
        reason = str(error)
    try:
        fields = parse_members(UnparsedSlice(body, reason))
        found = _read_entries(fields, name)
        if not required or (required in fields and not _has_swallowed(found)):
            return found
    except MalformedDocumentError as error:
        reason = str(error)
        if not required:
            raise
    return _find_entries(body, name, reason)


def _read_entries(fields: Document, name: str) -> EntryList:
    entries = fields.get(name) or []
    if isinstance(entries, UnparsedSlice):
        entries = _parse_elements(entries)
    if not isinstance(entries, list):
        raise MalformedDocumentError(f"{name} is not a list")
    return EntryList(fields, entries)


def _has_swallowed(found: EntryList) -> bool:
    """Return whether an unreadable entry seems to hold others behind it."""
    unparsed = (item for item in found.entries if isinstance(item, UnparsedSlice))
    return any(_find_starts(item.text, 1, len(item.text)) for item in unparsed)


def _find_starts(text: bytes, begin: int, end: int) -> list[int]:
    """Return where entries begin; a value of a member is none."""
    return [
        match.start()
        for match in _ENTRY.finditer(text, begin, end)
        if not _AFTER_COLON.search(text, max(0, match.start() - 32), match.start())
    ]


def _find_entries(body: bytes, name: str, reason: str) -> EntryList:
    """Return the entries between the places at which entries begin."""
    tail = _TAIL.search(body)
    if tail is None:
        raise MalformedDocumentError(reason)
    starts = _find_starts(body, 0, tail.start())
    if not starts:
        raise MalformedDocumentError(reason)
    fields = parse_document(body[: starts[0]] + tail[0])
    if fields.get(name) != []:
        raise MalformedDocumentError(reason)
    ends = [*starts[1:], tail.start()]
    parts = [body[start:end] for start, end in zip(starts, ends, strict=True)]
    return EntryList(fields, [_parse_slice(_strip_comma(part)) for part in parts])


def _strip_comma(part: bytes) -> bytes:
    return part.rstrip().removesuffix(b",")


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
