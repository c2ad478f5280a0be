"""Identify what calls have in common that may crash upstreams."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Final, NewType

# A part of prompts, or a whole request.
TraitId = NewType("TraitId", str)
# What all requests with the same method, target, caller and length of the body share.
RequestHead = NewType("RequestHead", str)
# A hash of a whole request that only the process that computed it can use.
LocalRequestKey = NewType("LocalRequestKey", int)

# Far more than the parts of a prompt that fit into the head of a request.
MAX_TRAITS: Final = 16_384
# Traits that one line of a log names.
MAX_LOGGED_TRAITS: Final = 24
# A longer name of a part is replaced by its digest.
MAX_TRAIT_CHARS: Final = 64
# The names of prompt parts contain no colon.
_REQUEST_PREFIX: Final = "request:"
_HEAD_BYTES: Final = 8
_BODY_BYTES: Final = 16


class RequestIdentity:
    """Identify a request by what does not differ when it is sent again.

    Its parts are digested when they are asked for: most calls need no digest, and
    most of the others only that of the head.
    """

    def __init__(self, head: Iterable[bytes], body: bytes) -> None:
        self._fields = tuple(head)
        self._body = body

    @cached_property
    def head(self) -> RequestHead:
        """Return the digest of all but the body, and of the length of the body."""
        digest = hashlib.blake2b(digest_size=_HEAD_BYTES)
        for field in (*self._fields, str(len(self._body)).encode()):
            digest.update(len(field).to_bytes(4))
            digest.update(field)
        return RequestHead(digest.hexdigest())

    @cached_property
    def trait(self) -> TraitId:
        """Return the digest of the whole request, which contains that of its head."""
        body = hashlib.blake2b(self._body, digest_size=_BODY_BYTES)
        return TraitId(f"{_REQUEST_PREFIX}{self.head}.{body.hexdigest()}")

    @cached_property
    def local_key(self) -> LocalRequestKey:
        """Return a hash of the whole request, which costs far less than its digest."""
        return LocalRequestKey(hash((self._fields, self._body)))

    def release_body(self) -> None:
        """Compute the digests and the hash now, and keep nothing else."""
        assert self.trait
        assert self.local_key is not None
        self._fields, self._body = (), b""


def read_request_head(trait: TraitId) -> RequestHead | None:
    """Return the head in the trait of a request; None for a part of prompts."""
    if not trait.startswith(_REQUEST_PREFIX):
        return None
    return RequestHead(trait.removeprefix(_REQUEST_PREFIX).partition(".")[0])


@dataclass(frozen=True)
class CallTraits:
    """Describe what a call may have in common with others that crash upstreams."""

    # The parts of its prompt but the last, which belongs to one call or session.
    parts: tuple[TraitId, ...] = ()
    identity: RequestIdentity | None = None

    def includes(self, trait: TraitId) -> bool:
        """Return whether the call has a trait; digest the body only if it may."""
        head = read_request_head(trait)
        if head is None:
            return trait in self.part_set
        identity = self.identity
        return (
            identity is not None and identity.head == head and identity.trait == trait
        )

    @cached_property
    def part_set(self) -> frozenset[TraitId]:
        """Return the parts without their order."""
        return frozenset(self.parts)

    def list_all(self) -> frozenset[TraitId]:
        """Return all traits; this digests the body."""
        request = () if self.identity is None else (self.identity.trait,)
        return self.part_set.union(request)


def make_part_traits(names: Iterable[str]) -> tuple[TraitId, ...]:
    """Return the traits of the shared parts of a prompt."""
    return tuple(_shorten(name) for name in names)


def describe_traits(traits: Iterable[TraitId]) -> list[str]:
    """Return traits for the log, and how many more there are."""
    names = sorted(traits)
    more = len(names) - MAX_LOGGED_TRAITS
    rest = [f"and {more} more"] if more > 0 else []
    return [*names[:MAX_LOGGED_TRAITS], *rest]


def is_request(trait: TraitId) -> bool:
    """Return whether a trait is that of a whole request."""
    return trait.startswith(_REQUEST_PREFIX)


def _shorten(name: str) -> TraitId:
    if len(name) <= MAX_TRAIT_CHARS:
        return TraitId(name)
    return TraitId(hashlib.blake2b(name.encode(), digest_size=16).hexdigest())
