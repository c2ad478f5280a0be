"""Check the types of decoded documents before their values are used."""

import json
import re
from collections.abc import Mapping
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any, Final

from bramleyport.fleet import Address

Document = Mapping[str, Any]

# Larger integers are not exact as floats.
MAX_NUMBER: Final = 2**53 - 1
MAX_PORT: Final = 65_535
# Workers write their addresses again with each renewal of their registrations.
MAX_CACHED_ADDRESSES: Final = 4_096
MAX_DESCRIBED_CHARS: Final = 60
_PORT: Final = re.compile("[0-9]{1,5}")
# Control characters would end a header or a line of a log, and lone surrogates can't be
# encoded. A tab may occur within the value of a header.
_UNPRINTABLE: Final = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


class MalformedDocumentError(ValueError):
    """Report a document with missing fields or fields of the wrong type."""


def parse_json(text: bytes) -> Any:
    """Return the value in a JSON text."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedDocumentError(f"{type(error).__name__}: {error}") from error


def parse_document(body: bytes) -> Document:
    """Return the document in the body of a message; an empty body has no fields."""
    document = parse_json(body) if body else {}
    if not isinstance(document, dict):
        raise MalformedDocumentError("the body is not a mapping")
    return document


def describe(value: object) -> str:
    """Return a short text about a value of any type, depth and size."""
    if isinstance(value, str):
        return ascii(value[:MAX_DESCRIBED_CHARS])
    if value is None or isinstance(value, (bool, float)):
        return repr(value)
    if isinstance(value, int) and abs(value) <= MAX_NUMBER:
        return repr(value)
    return f"a value of type {type(value).__name__}"


def read_string(document: Document, name: str, default: str | None = None) -> str:
    """Return a string field without control characters."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise MalformedDocumentError(f"{name} is not a string: {describe(value)}")
    if not value.isprintable() and _UNPRINTABLE.search(value):
        raise MalformedDocumentError(
            f"{name} has control characters: {describe(value)}"
        )
    return value


def read_number(document: Document, name: str, default: float | None = None) -> float:
    """Return a numeric field."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedDocumentError(f"{name} is not a number: {describe(value)}")
    # Python's JSON decoder also accepts Infinity and NaN, and integers of any size.
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise MalformedDocumentError(f"{name} is out of range: {describe(value)}")
    return value


def read_amount(document: Document, name: str, default: float | None = None) -> float:
    """Return a numeric field that is not negative."""
    value = read_number(document, name, default)
    if value < 0:
        raise MalformedDocumentError(f"{name} is negative: {describe(value)}")
    return value


def read_positive(document: Document, name: str) -> float:
    """Return a numeric field above zero."""
    value = read_number(document, name)
    if value <= 0:
        raise MalformedDocumentError(f"{name} is not positive: {describe(value)}")
    return value


def read_count(document: Document, name: str, default: int | None = None) -> int:
    """Return a non-negative integer field."""
    plain = document.get(name)
    if type(plain) is int and 0 <= plain <= MAX_NUMBER:
        return plain
    value = read_number(document, name, default)
    if value != int(value) or value < 0:
        raise MalformedDocumentError(
            f"{name} is not a non-negative integer: {describe(value)}"
        )
    return int(value)


def read_positive_count(document: Document, name: str) -> int:
    """Return an integer field above zero."""
    value = read_count(document, name)
    if value == 0:
        raise MalformedDocumentError(f"{name} is zero")
    return value


def read_flag(document: Document, name: str, default: bool | None = None) -> bool:
    """Return a boolean field."""
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise MalformedDocumentError(f"{name} is not a boolean: {describe(value)}")
    return value


def read_mapping(document: Document, name: str) -> Document:
    """Return a nested document."""
    value = document.get(name)
    if not isinstance(value, Mapping):
        raise MalformedDocumentError(f"{name} is not a mapping: {describe(value)}")
    return value


def read_mappings(document: Document, name: str) -> list[Document]:
    """Return a list of nested documents; a missing list is empty."""
    value = document.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, Mapping) for v in value):
        raise MalformedDocumentError(f"{name} is not a list of mappings")
    return value


def read_address(document: Document, name: str) -> Address:
    """Return an address field of the form IP:PORT."""
    return parse_address(read_string(document, name))


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def parse_address(text: str) -> Address:
    """Return the address in a string such as 10.0.0.1:80."""
    host, _, port = text.rpartition(":")
    # int() also accepts the digits of other scripts.
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise MalformedDocumentError(f"not an address: {describe(text)}")
    try:
        IPv4Address(host)
    except ValueError as error:
        raise MalformedDocumentError(f"not an address: {describe(text)}") from error
    return Address(host, int(port))
