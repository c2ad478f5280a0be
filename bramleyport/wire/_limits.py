"""Check the size and shape of a CBOR frame before decoding it."""

from typing import Final

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_ITEMS: Final = 200_000
MAX_DEPTH: Final = 12

_TEXT_TYPES: Final = (2, 3)
_LENGTH_BYTES: Final = {24: 1, 25: 2, 26: 4, 27: 8}


def check_limits(data: bytes) -> str | None:
    """Return why a frame must not be decoded, without allocating its contents."""
    if len(data) > MAX_FRAME_BYTES:
        return f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}"
    return _Scanner(data).scan()


class _Scanner:
    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def scan(self) -> str | None:
        # Items still due in each open container, innermost last.
        due = [1]
        items = 0
        size = len(self._data)
        while due:
            if due[-1] == 0:
                due.pop()
                continue
            if self._at >= size:
                return "truncated"
            due[-1] -= 1
            items += 1
            if items > MAX_ITEMS:
                return f"more than {MAX_ITEMS} items"
            head = self._read_head()
            if head is None:
                return "malformed or indefinite length"
            major, argument = head
            children = 0
            if major in _TEXT_TYPES:
                self._at += argument
            elif major in (4, 5):
                children = argument * (major - 3)
            elif major == 6:
                # Tags build dates, regular expressions and shared references, none
                # of which the messages use.
                return "a CBOR tag"
            if self._at > size or children > size - self._at:
                return "a length exceeds the frame"
            if children:
                due.append(children)
                if len(due) - 1 > MAX_DEPTH:
                    return f"nested deeper than {MAX_DEPTH}"
        if self._at != size:
            return "bytes after the end of the message"
        return None

    def _read_head(self) -> tuple[int, int] | None:
        first = self._data[self._at]
        self._at += 1
        major, info = first >> 5, first & 31
        if info < 24:
            return major, info
        length = _LENGTH_BYTES.get(info)
        if length is None or self._at + length > len(self._data):
            return None
        argument = int.from_bytes(self._data[self._at : self._at + length], "big")
        self._at += length
        return major, argument
