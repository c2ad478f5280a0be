"""Identify what calls have in common that may crash upstreams."""

import hashlib
from collections.abc import Iterable
from functools import cached_property
from typing import Final, NewType

# A part of prompts, or a whole request.
TraitId = NewType("TraitId", str)
# What all requests with the same method, target, caller and length of the body share.
RequestHead = NewType("RequestHead", str)

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


def read_request_head(trait: TraitId) -> RequestHead | None:
    """Return the head in the trait of a request; None for a part of prompts."""
    if not trait.startswith(_REQUEST_PREFIX):
        return None
    return RequestHead(trait.removeprefix(_REQUEST_PREFIX).partition(".")[0])
