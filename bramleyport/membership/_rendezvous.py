"""Rendezvous hashing: every process ranks the same candidates the same way."""

import hashlib
from collections.abc import Iterable

from bramleyport.core import ProcessId


def rank(key: str, candidates: Iterable[ProcessId]) -> list[ProcessId]:
    """Return the candidates in the order of their weight for the key."""
    return sorted(candidates, key=lambda process: (_weigh(key, process), process))


def choose(key: str, candidates: Iterable[ProcessId], count: int) -> list[ProcessId]:
    """Return the candidates with the highest weight for the key."""
    return rank(key, candidates)[:count]


def _weigh(key: str, process: ProcessId) -> bytes:
    text = f"{key}\0{process}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
