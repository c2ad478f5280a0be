"""Check the size and shape of a CBOR frame before decoding it."""

from typing import Final

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_ITEMS: Final = 200_000
MAX_DEPTH: Final = 12

# Major types of CBOR.
_BYTES: Final = 2
_TEXT: Final = 3
_MAP: Final = 5
_TAG: Final = 6
# Bytes of the argument after the first byte; other values of the low five bits are
# reserved or mark an indefinite length.
_ARGUMENT_BYTES: Final = {24: 1, 25: 2, 26: 4, 27: 8}


def check_limits(data: bytes) -> str | None:
    """Return why a frame must not be decoded, without allocating its contents."""
    size = len(data)
    if size > MAX_FRAME_BYTES:
        return f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}"
    # Every token of every stream passes here, hence one loop over local variables.
    at = items = 0
    due = 1  # items still due in the innermost container
    outer: list[int] = []
    while True:
        while due == 0 and outer:
            due = outer.pop()
        if due == 0:
            return None if at == size else "bytes after the end of the message"
        if at >= size:
            return "truncated"
        due -= 1
        items += 1
        if items > MAX_ITEMS:
            return f"more than {MAX_ITEMS} items"
        argument = data[at] & 31
        major = data[at] >> 5
        at += 1
        if argument > 23:
            width = _ARGUMENT_BYTES.get(argument)
            if width is None or at + width > size:
                return "malformed or indefinite length"
            argument = int.from_bytes(data[at : at + width], "big")
            at += width
        if major < _BYTES or major > _TAG:
            continue
        if major == _TAG:
            # Tags build dates, regular expressions and shared references, none of
            # which the messages use.
            return "a CBOR tag"
        if major <= _TEXT:
            at += argument
            children = 0
        else:
            children = argument * 2 if major == _MAP else argument
        if at > size or children > size - at:
            return "a length exceeds the frame"
        if children:
            if items + children > MAX_ITEMS:
                return f"more than {MAX_ITEMS} items"
            outer.append(due)
            due = children
            if len(outer) > MAX_DEPTH:
                return f"nested deeper than {MAX_DEPTH}"
