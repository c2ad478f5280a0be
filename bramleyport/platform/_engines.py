"""Decode what engines answer to calls of the gateway's own."""

import json
from dataclasses import dataclass

from bramleyport.platform._wire import MalformedDocumentError, read_text


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Hold the handle under which an engine keeps the KV cache of a prompt."""

    handle: str


def decode_prefill(body: bytes) -> PrefillResult:
    """Return the result of a request that only read its prompt."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise MalformedDocumentError(f"prefill result: {error}") from error
    if not isinstance(document, dict):
        raise MalformedDocumentError("prefill result is no table")
    return PrefillResult(read_text(document, "kv_handle"))


def make_handle_path(handle: str) -> bytes:
    """Return the path under which a handle is freed."""
    return f"/-/kv-handle/{handle}".encode("latin-1")


READINESS_PATH = b"/-/ready"
