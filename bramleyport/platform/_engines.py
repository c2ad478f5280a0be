"""Make the gateway's own calls to engines and decode the answers."""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from bramleyport.core import FencingNumber, ProcessId, UpstreamId
from bramleyport.fleet import PromptPart, Stage
from bramleyport.http1 import HttpRequest
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    describe,
    parse_document,
    read_count,
    read_flag,
    read_string,
)
from bramleyport.platform._json_slices import parse_entries
from bramleyport.platform._prefixes import decode_prefix

# Handles are sent in headers and paths.
_HANDLE: Final = re.compile("[!-~]{1,512}")


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Describe the result of a prefill by the handle of the KV cache."""

    handle: str


def decode_prefill(body: bytes) -> PrefillResult:
    """Return the result of a prefill-only request."""
    handle = read_string(_parse(body, "prefill result"), "kv_handle")
    if not _HANDLE.fullmatch(handle):
        raise MalformedDocumentError(f"not a handle: {describe(handle)}")
    return PrefillResult(handle)


@dataclass(frozen=True, slots=True)
class CacheListing:
    """Describe the prompt parts that an engine has cached."""

    parts: tuple[PromptPart, ...]
    # Entries that can't be read.
    invalid_entries: int = 0


def decode_cache_listing(body: bytes) -> CacheListing:
    """Return the listing of an engine's cache."""
    if not body:
        raise MalformedDocumentError("cache listing: the body is empty")
    parts = []
    invalid_entries = 0
    for entry in parse_entries(body, "held").entries:
        try:
            parts.append(_decode_cache_entry(entry))
        except MalformedDocumentError:
            invalid_entries += 1
    return CacheListing(tuple(parts), invalid_entries)


def _decode_cache_entry(entry: Any) -> PromptPart:
    # An entry has an empty string, the part, its number of tokens and its model.
    if not isinstance(entry, list) or len(entry) < 3:
        raise MalformedDocumentError(f"not a cache entry: {describe(entry)}")
    return PromptPart(
        decode_prefix(entry[1]), read_count({"tokens": entry[2]}, "tokens")
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Describe an engine's stage and the orders that it has received."""

    stage: Stage | None
    # The engine is applying an order.
    busy: bool
    orders_accepted: int
    # Start of the process in Unix milliseconds; 0 if it does not say.
    started_ms: int = 0


def decode_report(body: bytes) -> EngineReport:
    """Return an engine's report."""
    document = _parse(body, "report")
    stage = read_string(document, "stage") if document.get("stage") else ""
    return EngineReport(
        stage=decode_stage(stage) if stage else None,
        busy=read_flag(document, "busy", False),
        # In other messages, the wire name means other counts.
        orders_accepted=read_count(document, "seq"),
        started_ms=read_count(document, "born", 0),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StageOrder:
    """Describe an order that changes the stage of an engine."""

    upstream: UpstreamId
    stage: Stage
    holder: ProcessId
    fencing: FencingNumber
    # Orders accepted before this one; the engine refuses the order if it has accepted
    # another one since.
    expected: int


class OrderResult(str, Enum):
    """Classify the results of an order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"
    UNKNOWN = "unknown"


_ORDER_RESULTS: Final = {
    200: OrderResult.ALREADY_HOLDS,
    202: OrderResult.ACCEPTED,
    400: OrderResult.INVALID,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    421: OrderResult.OTHER_INSTANCE,
}


def decode_order_status(status: int) -> OrderResult:
    """Return the result of an order from the status of the answer."""
    return _ORDER_RESULTS.get(status, OrderResult.UNKNOWN)


def make_stage_request(order: StageOrder) -> HttpRequest:
    """Return the request that sends an order."""
    document = {
        "op": "stage",
        "stage": order.stage.value,
        "holder": order.holder,
        "fence": order.fencing,
        "expected": order.expected,
    }
    return HttpRequest(
        method=b"POST",
        target=b"/-/order",
        headers=[
            (b"Content-Type", b"application/json"),
            (b"Expect-Instance", order.upstream.encode("latin-1")),
        ],
        body=json.dumps(document).encode(),
    )


def make_report_request() -> HttpRequest:
    """Return the request for an engine's report."""
    return HttpRequest(method=b"GET", target=b"/-/report", headers=[])


def decode_stage(text: str) -> Stage:
    """Return the stage with the given name."""
    try:
        return Stage(text)
    except ValueError as error:
        raise MalformedDocumentError(f"unknown stage: {describe(text)}") from error


def make_handle_path(handle: str) -> bytes:
    """Return the path at which the cache of a handle is released."""
    return f"/-/kv-handle/{handle}".encode("latin-1")


def _parse(body: bytes, subject: str) -> Document:
    try:
        return parse_document(body)
    except MalformedDocumentError as error:
        raise MalformedDocumentError(f"{subject}: {error}") from error


READINESS_PATH: Final = b"/-/ready"
CACHE_LISTING_PATH: Final = b"/-/kv-list"
