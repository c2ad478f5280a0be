"""Parsing of JSON and text that other programs have written."""

import json
from typing import Any, Final

# A larger number is no count of tokens, blocks or events, and messages between
# processes carry none above 64 bits.
MAX_COUNT: Final = 2**53


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


def read_count(value: Any, most: int = MAX_COUNT) -> int:
    """Return a number from 0 as a whole one; raise ValueError for any other value."""
    return int(read_amount(value, most))


def read_amount(value: Any, most: float) -> float:
    """Return a number from 0 to a bound; raise ValueError for any other value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {type(value).__name__}")
    # Compared before any conversion: huge whole numbers don't fit into a float.
    if not 0 <= value <= most:
        raise ValueError(f"not a number from 0 to {most:g}")
    return float(value)
