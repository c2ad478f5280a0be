"""Rendezvous hashing: every process ranks the same candidates in the same order."""

import hashlib
from collections.abc import Iterable

from bramleyport.core import ProcessId


def rank(key: str, candidates: Iterable[ProcessId]) -> list[ProcessId]:
    """Return the candidates, ordered by their hash with the key."""
    return sorted(
        candidates, key=lambda process: (_compute_hash(key, process), process)
    )


def choose(key: str, candidates: Iterable[ProcessId], count: int) -> list[ProcessId]:
    """Return the first candidates in the order of their hash with the key."""
    return rank(key, candidates)[:count]


def _compute_hash(key: str, process: ProcessId) -> bytes:
    text = f"{key}\0{process}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
