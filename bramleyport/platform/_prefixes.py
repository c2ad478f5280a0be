"""Decode the names of prompt parts."""

from bramleyport.fleet import PrefixId
from bramleyport.platform._documents import MalformedDocumentError, describe


def decode_prefix(value: object) -> PrefixId:
    """Return the name of a prompt part, as callers may send it in a header."""
    try:
        if isinstance(value, str) and value.encode("latin-1"):
            return PrefixId(value)
    except UnicodeEncodeError:
        pass
    raise MalformedDocumentError(f"not a prompt part: {describe(value)}")
