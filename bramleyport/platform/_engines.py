"""Make the gateway's own calls to engines and decode the answers."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Final

from bramleyport.core import FencingNumber, ProcessId, UpstreamId
from bramleyport.fleet import PrefixId, PromptPart, Stage
from bramleyport.http1 import HttpRequest
from bramleyport.platform._documents import (
    Document,
    MalformedDocumentError,
    read_count,
    read_flag,
    read_string,
)


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Describe the result of a prefill by the handle of the KV cache."""

    handle: str


def decode_prefill(body: bytes) -> PrefillResult:
    """Return the result of a prefill-only request."""
    return PrefillResult(read_string(_parse(body, "prefill result"), "kv_handle"))


@dataclass(frozen=True, slots=True)
class CacheListing:
    """Describe the prompt parts that an engine has cached."""

    parts: tuple[PromptPart, ...]


def decode_cache_listing(body: bytes) -> CacheListing:
    """Return the listing of an engine's cache."""
    document = _parse(body, "cache listing")
    parts = []
    for entry in document.get("held") or []:
        # An entry has an empty string, the part, its number of tokens and its model.
        if not isinstance(entry, list) or len(entry) < 3:
            raise MalformedDocumentError(f"invalid cache entry: {entry!r:.60}")
        parts.append(PromptPart(PrefixId(str(entry[1])), int(entry[2])))
    return CacheListing(tuple(parts))


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Describe an engine's stage and the orders that it has received."""

    stage: Stage | None
    # The engine is applying an order.
    busy: bool
    orders_accepted: int


def decode_report(body: bytes) -> EngineReport:
    """Return an engine's report."""
    document = _parse(body, "report")
    stage = document.get("stage")
    return EngineReport(
        stage=decode_stage(stage) if stage else None,
        busy=read_flag(document, "busy", False),
        # In other messages, the wire name means other counts.
        orders_accepted=read_count(document, "seq"),
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
        raise MalformedDocumentError(f"unknown stage: {text!r:.60}") from error


def make_handle_path(handle: str) -> bytes:
    """Return the path at which the cache of a handle is released."""
    return f"/-/kv-handle/{handle}".encode("latin-1")


def _parse(body: bytes, subject: str) -> Document:
    try:
        document = json.loads(body)
    except ValueError as error:
        raise MalformedDocumentError(f"{subject}: {error}") from error
    if not isinstance(document, dict):
        raise MalformedDocumentError(f"{subject} is not a mapping")
    return document


READINESS_PATH: Final = b"/-/ready"
CACHE_LISTING_PATH: Final = b"/-/kv-list"
