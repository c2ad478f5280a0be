"""Compact set of the prefix blocks that another process has cached."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, MutableSet
from typing import Final

from bramleyport.core._ids import PrefixBlock

# Engines publish digests of this length; other lengths are padded or truncated.
DIGEST_BYTES: Final = 8
# Changes of more than this fraction of the set are merged in one pass.
MERGE_FRACTION: Final = 1 / 16

from_bytes: Final = int.from_bytes


class BlockIndex(MutableSet[PrefixBlock]):
    """Represent a set of block digests as a sorted array of 8 bytes each.

    A built-in set takes 137 bytes per block, which is too much for an entry that tracks
    the caches of 48 engines.
    """

    __slots__ = ("_digests",)

    def __init__(self, blocks: Iterable[PrefixBlock] = ()) -> None:
        self._digests = array("Q", sorted({_pack(block) for block in blocks}))

    def __contains__(self, block: object) -> bool:
        return isinstance(block, bytes) and self._find(_pack(block))[1]

    def __iter__(self) -> Iterator[PrefixBlock]:
        for digest in self._digests:
            yield PrefixBlock(digest.to_bytes(DIGEST_BYTES, "big"))

    def __len__(self) -> int:
        return len(self._digests)

    def add(self, block: PrefixBlock) -> None:
        """Add a block."""
        digest = _pack(block)
        position, found = self._find(digest)
        if not found:
            self._digests.insert(position, digest)

    def discard(self, block: PrefixBlock) -> None:
        """Remove a block if present."""
        position, found = self._find(_pack(block))
        if found:
            self._digests.pop(position)

    def update(self, blocks: Iterable[PrefixBlock]) -> None:
        """Add blocks."""
        added = set(blocks)
        if len(added) <= len(self) * MERGE_FRACTION:
            for block in added:
                self.add(block)
            return
        merged = {_pack(block) for block in added}.union(self._digests)
        self._digests = array("Q", sorted(merged))

    def difference_update(self, blocks: Iterable[PrefixBlock]) -> None:
        """Remove the blocks that are present."""
        removed = set(blocks)
        if len(removed) <= len(self) * MERGE_FRACTION:
            for block in removed:
                self.discard(block)
            return
        packed = {_pack(block) for block in removed}
        kept = [digest for digest in self._digests if digest not in packed]
        self._digests = array("Q", kept)

    def count_leading(self, prefix: tuple[PrefixBlock, ...]) -> int:
        """Return how many leading blocks of a prefix are present."""
        digests, size = self._digests, len(self._digests)
        # Admission and routing call this for every candidate, so the search is inlined.
        for index, block in enumerate(prefix):
            digest = (
                from_bytes(block, "big") if len(block) == DIGEST_BYTES else _pack(block)
            )
            position = bisect_left(digests, digest)
            if position == size or digests[position] != digest:
                return index
        return len(prefix)

    def clear(self) -> None:
        """Remove all blocks."""
        self._digests = array("Q")

    def _find(self, digest: int) -> tuple[int, bool]:
        position = bisect_left(self._digests, digest)
        found = position < len(self._digests) and self._digests[position] == digest
        return position, found


def _pack(block: bytes) -> int:
    return from_bytes(block[:DIGEST_BYTES].ljust(DIGEST_BYTES, b"\0"), "big")
