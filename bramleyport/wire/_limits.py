"""Limits on the size and structure of CBOR frames, checked before decoding."""

from typing import Final

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_ITEMS: Final = 200_000
MAX_DEPTH: Final = 12

# CBOR major types.
_BYTES: Final = 2
_TEXT: Final = 3
_MAP: Final = 5
_TAG: Final = 6
# Argument bytes that follow the initial byte, by its low five bits. Other values from
# 24 are reserved or mark an indefinite length.
_ARGUMENT_BYTES: Final = {24: 1, 25: 2, 26: 4, 27: 8}


def check_limits(data: bytes) -> str | None:
    """Return why a frame must not be decoded, without allocating its contents."""
    size = len(data)
    if size > MAX_FRAME_BYTES:
        return f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}"
    # This runs for each token of each stream, so it is one loop over local variables.
    position = items = 0
    remaining = 1  # items left in the innermost container
    enclosing: list[int] = []
    while True:
        while remaining == 0 and enclosing:
            remaining = enclosing.pop()
        if remaining == 0:
            return None if position == size else "bytes after the end of the message"
        if position >= size:
            return "truncated"
        remaining -= 1
        items += 1
        if items > MAX_ITEMS:
            return f"more than {MAX_ITEMS} items"
        argument = data[position] & 31
        major = data[position] >> 5
        position += 1
        if argument > 23:
            width = _ARGUMENT_BYTES.get(argument)
            if width is None or position + width > size:
                return "malformed or indefinite length"
            argument = int.from_bytes(data[position : position + width], "big")
            position += width
        if major < _BYTES or major > _TAG:
            continue
        if major == _TAG:
            # No message uses tags, which decode to dates, regular expressions or
            # shared references.
            return "a CBOR tag"
        if major <= _TEXT:
            position += argument
            children = 0
        else:
            children = argument * 2 if major == _MAP else argument
        if position > size or children > size - position:
            return "a length exceeds the frame"
        if children:
            if items + children > MAX_ITEMS:
                return f"more than {MAX_ITEMS} items"
            enclosing.append(remaining)
            remaining = children
            if len(enclosing) > MAX_DEPTH:
                return f"nested deeper than {MAX_DEPTH}"
