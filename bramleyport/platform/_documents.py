"""Check the types of decoded documents before their values are used."""

import json
import math
from collections.abc import Mapping
from typing import Any

from bramleyport.fleet import Address

Document = Mapping[str, Any]


class MalformedDocumentError(ValueError):
    """Report a document with missing fields or fields of the wrong type."""


def parse_document(body: bytes) -> Document:
    """Return the document in the body of a message; an empty body has no fields."""
    try:
        document = json.loads(body) if body else {}
    except ValueError as error:
        raise MalformedDocumentError(repr(error)) from error
    if not isinstance(document, dict):
        raise MalformedDocumentError("the body is not a mapping")
    return document


def read_string(document: Document, name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise MalformedDocumentError(f"{name} is not a string: {value!r:.60}")
    return value


def read_number(document: Document, name: str, default: float | None = None) -> float:
    """Return a numeric field."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedDocumentError(f"{name} is not a number: {value!r:.60}")
    # Python's JSON decoder also accepts Infinity and NaN.
    if not math.isfinite(value):
        raise MalformedDocumentError(f"{name} is not finite")
    return value


def read_count(document: Document, name: str, default: int | None = None) -> int:
    """Return a non-negative integer field."""
    value = read_number(document, name, default)
    if value != int(value) or value < 0:
        raise MalformedDocumentError(
            f"{name} is not a non-negative integer: {value!r:.60}"
        )
    return int(value)


def read_flag(document: Document, name: str, default: bool | None = None) -> bool:
    """Return a boolean field."""
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise MalformedDocumentError(f"{name} is not a boolean: {value!r:.60}")
    return value


def read_mapping(document: Document, name: str) -> Document:
    """Return a nested document."""
    value = document.get(name)
    if not isinstance(value, Mapping):
        raise MalformedDocumentError(f"{name} is not a mapping: {value!r:.60}")
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


def parse_address(text: str) -> Address:
    """Return the address in a string such as 10.0.0.1:80."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedDocumentError(f"not an address: {text!r:.60}")
    return Address(host, int(port))
