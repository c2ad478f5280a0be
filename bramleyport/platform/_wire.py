"""Check the types of decoded documents before their values are used."""

import math
from collections.abc import Mapping
from typing import Any

from bramleyport.fleet import Address

Document = Mapping[str, Any]


class MalformedDocumentError(ValueError):
    """Report a document whose fields are missing or of another type."""


def read_text(document: Document, name: str, default: str | None = None) -> str:
    """Return a text field."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise MalformedDocumentError(f"{name} is not a text: {value!r:.60}")
    return value


def read_number(document: Document, name: str, default: float | None = None) -> float:
    """Return a numeric field."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedDocumentError(f"{name} is not a number: {value!r:.60}")
    # JSON as it is read here also knows infinity and not-a-number.
    if not math.isfinite(value):
        raise MalformedDocumentError(f"{name} is not finite")
    return value


def read_count(document: Document, name: str, default: int | None = None) -> int:
    """Return a whole number that isn't negative."""
    value = read_number(document, name, default)
    if value != int(value) or value < 0:
        raise MalformedDocumentError(f"{name} is not a count: {value!r:.60}")
    return int(value)


def read_flag(document: Document, name: str, default: bool | None = None) -> bool:
    """Return a field that is true or false."""
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise MalformedDocumentError(f"{name} is not true or false: {value!r:.60}")
    return value


def read_table(document: Document, name: str) -> Document:
    """Return a nested document."""
    value = document.get(name)
    if not isinstance(value, Mapping):
        raise MalformedDocumentError(f"{name} is not a table: {value!r:.60}")
    return value


def read_tables(document: Document, name: str) -> list[Document]:
    """Return a list of nested documents; a missing list is empty."""
    value = document.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, Mapping) for v in value):
        raise MalformedDocumentError(f"{name} is not a list of tables")
    return value


def read_address(document: Document, name: str) -> Address:
    """Return an address field, written as IP:PORT."""
    return parse_address(read_text(document, name))


def parse_address(text: str) -> Address:
    """Return the address that a text such as 10.0.0.1:80 holds."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedDocumentError(f"not an address: {text!r:.60}")
    return Address(host, int(port))
