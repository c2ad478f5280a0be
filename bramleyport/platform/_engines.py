"""Decode what engines answer to calls of the gateway's own."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import FencingNumber, ProcessId, UpstreamId
from bramleyport.fleet import PrefixId, PromptPart, Stage
from bramleyport.http1 import HttpRequest
from bramleyport.platform._wire import (
    Document,
    MalformedDocumentError,
    read_count,
    read_flag,
    read_text,
)


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


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Hold what an engine reports of its orders."""

    stage: Stage | None
    # An order is being carried out.
    busy: bool
    orders_accepted: int


def decode_report(body: bytes) -> EngineReport:
    """Return an engine's report."""
    document = _parse(body, "report")
    stage = document.get("stage")
    return EngineReport(
        stage=decode_stage(stage) if stage else None,
        busy=read_flag(document, "busy", False),
        # The name on the wire also means other counts elsewhere.
        orders_accepted=read_count(document, "seq"),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StageOrder:
    """Hold an order to change the stage of an engine."""

    upstream: UpstreamId
    stage: Stage
    holder: ProcessId
    fencing: FencingNumber
    # The order is void once the engine has accepted another one.
    expected: int


class OrderResult(str, Enum):
    """Name what became of an order."""

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
    """Return the result of an order."""
    return _ORDER_RESULTS.get(status, OrderResult.UNKNOWN)


def make_stage_request(order: StageOrder) -> HttpRequest:
    """Return the call that gives an order."""
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
    """Return the call that reads an engine's report."""
    return HttpRequest(method=b"GET", target=b"/-/report", headers=[])


def decode_stage(text: str) -> Stage:
    """Return the stage that a text names."""
    try:
        return Stage(text)
    except ValueError as error:
        raise MalformedDocumentError(f"stage is unknown: {text!r:.60}") from error


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
