"""Choose the names after which the pages of a list continue."""

import re
from collections.abc import Iterator, Sequence
from typing import Final

# Names of these characters read the same in a query, escaped or not.
_PLAIN_CHARS: Final = (
    "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~"
)
# The names up to this one hold other characters.
_BEFORE_PLAIN: Final = ",~"
_PLAIN_NAME: Final = re.compile("[-.0-9A-Z_a-z~]{1,256}")
_OTHER_CHAR: Final = re.compile("[^-.0-9A-Z_a-z~]")
# A longer name, which another writer may have given its entry, fits into no head.
MAX_CURSOR_CHARS: Final = 512


def is_plain_name(name: str) -> bool:
    """Return whether a name reads the same in a path or a query, escaped or not."""
    return _PLAIN_NAME.fullmatch(name) is not None


class ListCursors:
    """Choose after which name to continue a list, until it ends or can't advance.

    Any writer may name an entry, and a store may refuse a name that has to be escaped,
    take it for another name, or begin the list again. The choices for a page that has
    such a name at its end go from the most to the least likely to be understood; only
    a page with names that were not read before is an advance.
    """

    def __init__(self) -> None:
        self._seen: set[str] = set()
        # If nobody can be named in the first page.
        self._choices: Iterator[str] = iter((_BEFORE_PLAIN,))

    def record_page(self, names: Sequence[str]) -> bool:
        """Record the names in a page, in their order; return whether any is new."""
        if self._seen.issuperset(names):
            return False
        self._seen.update(names)
        self._choices = _list_choices(names)
        return True

    def choose(self) -> str | None:
        """Return the next name to continue after; None if there is no other choice."""
        return next(self._choices, None)


def _list_choices(names: Sequence[str]) -> Iterator[str]:
    last = names[-1]
    plain = [name for name in names if is_plain_name(name)]
    if plain:
        # The page that follows may repeat the end of this one.
        yield plain[-1]
    if is_plain_name(last):
        return
    if len(last) <= MAX_CURSOR_CHARS and _is_encodable(last):
        yield last
    beyond = _find_beyond(last)
    if beyond is not None:
        yield beyond


def _find_beyond(name: str) -> str | None:
    """Return a name before the next plain one, if names are in the order of bytes."""
    match = _OTHER_CHAR.search(name)
    place = match.start() if match else len(name)
    following = [char for char in _PLAIN_CHARS if name[place:] < char]
    if not following or place > MAX_CURSOR_CHARS:
        return None
    return name[:place] + chr(ord(following[0]) - 1) + "~"


def _is_encodable(name: str) -> bool:
    """Return whether a name has no lone surrogates, which JSON permits."""
    return name.isascii() or not re.search("[\ud800-\udfff]", name)
