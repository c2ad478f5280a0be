"""Decode what engines answer to calls of the gateway's own."""

import json
from dataclasses import dataclass
from typing import Final

from bramleyport.fleet import PrefixId, PromptPart
from bramleyport.platform._wire import Document, MalformedDocumentError, read_text


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Hold the handle under which an engine keeps the KV cache of a prompt."""

    handle: str


def decode_prefill(body: bytes) -> PrefillResult:
    """Return the result of a request that only read its prompt."""
    return PrefillResult(read_text(_parse(body, "prefill result"), "kv_handle"))


@dataclass(frozen=True, slots=True)
class CacheListing:
    """Hold the prompt parts that an engine has cached."""

    parts: tuple[PromptPart, ...]


def decode_cache_listing(body: bytes) -> CacheListing:
    """Return what an engine lists of its cache."""
    document = _parse(body, "cache listing")
    parts = []
    for entry in document.get("held") or []:
        # An entry is an empty text, the part, its tokens and its model.
        if not isinstance(entry, list) or len(entry) < 3:
            raise MalformedDocumentError(f"cache entry: {entry!r:.60}")
        parts.append(PromptPart(PrefixId(str(entry[1])), int(entry[2])))
    return CacheListing(tuple(parts))


def make_handle_path(handle: str) -> bytes:
    """Return the path under which a handle is freed."""
    return f"/-/kv-handle/{handle}".encode("latin-1")


def _parse(body: bytes, subject: str) -> Document:
    try:
        document = json.loads(body)
    except ValueError as error:
        raise MalformedDocumentError(f"{subject}: {error}") from error
    if not isinstance(document, dict):
        raise MalformedDocumentError(f"{subject} is no table")
    return document


READINESS_PATH: Final = b"/-/ready"
CACHE_LISTING_PATH: Final = b"/-/kv-list"
