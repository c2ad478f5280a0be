"""Token counts and prefix digests of prompts, computed as the engines do."""

import hashlib
from typing import Final

from bramleyport.core._ids import PrefixBlock

CHARACTERS_PER_TOKEN: Final = 4


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def digest_prefix(text: str, block_tokens: int) -> tuple[PrefixBlock, ...]:
    """Return the chained digests of the complete blocks of a prompt."""
    size = block_tokens * CHARACTERS_PER_TOKEN
    blocks = []
    chain = b""
    for start in range(0, len(text) - size + 1, size):
        piece = text[start : start + size].encode()
        chain = hashlib.blake2b(chain + piece, digest_size=8).digest()
        blocks.append(PrefixBlock(chain))
    return tuple(blocks)
