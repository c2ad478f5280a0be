"""Parsing of JSON and text that other programs have written."""

import json
from typing import Any


class MalformedJsonError(ValueError):
    """Report bytes that can't be parsed as JSON."""


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON text; raise MalformedJsonError for any other."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        # The parser reports deep nesting, numbers of thousands of digits, other
        # encodings and syntax errors by different types.
        raise MalformedJsonError(f"not JSON: {type(error).__name__}: {error}") from None


def is_encodable(text: str) -> bool:
    """Return whether a text can be sent; one with a lone surrogate can't."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
