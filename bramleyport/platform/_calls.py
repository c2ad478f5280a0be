"""Decode and encode the headers of requests and answers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from bramleyport.core import ModelName, RequestId, UpstreamId
from bramleyport.fleet import Address, PrefixId, Prompt, PromptPart

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only, and those that the gateway sets itself.
_PER_CONNECTION: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_SET_BY_GATEWAY: Final = frozenset(
    (
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"stage",
        b"kv-source",
        b"kv-fetch",
        b"kv-hold",
        b"kv-backup",
        b"pin-ms",
    )
)
# The upstream at the address is not the one that was meant, and runs nothing.
OTHER_INSTANCE: Final = 421
# Without the header the caller is taken to wait this long, in seconds.
DEFAULT_PATIENCE_S: Final = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """Hold what the headers of a caller's request say."""

    request: RequestId | None
    patience_s: float
    last_event: int
    prompt: Prompt | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Hold what the headers of an upstream's answer say."""

    request: RequestId | None
    # The upstream states that it has not run the request and will not.
    not_run: bool
    signed: bool
    encoded: bool
    instance: UpstreamId | None
    # How long the upstream keeps the idle connection; None where it says nothing.
    idle_timeout_s: float | None


def decode_call(headers: Iterable[tuple[bytes, bytes]]) -> CallHead:
    """Read the headers of a caller's request; unreadable hints are left out."""
    values = {name.lower(): value for name, value in headers}
    request = values.get(b"request-id")
    return CallHead(
        request=RequestId(request.decode("latin-1")) if request else None,
        patience_s=_read_ms(values.get(b"deadline-ms"), DEFAULT_PATIENCE_S),
        last_event=_read_whole(values.get(b"last-event-id")),
        prompt=_decode_prompt(values),
    )


def decode_answer(status: int, headers: Iterable[tuple[bytes, bytes]]) -> AnswerHead:
    """Read the status and headers of an upstream's answer."""
    values = {name.lower(): value for name, value in headers}
    request = values.get(b"request-id")
    instance = values.get(b"instance-id")
    return AnswerHead(
        request=RequestId(request.decode("latin-1")) if request else None,
        not_run=b"not-run" in values or status == OTHER_INSTANCE,
        signed=b"server-stamp" in values,
        encoded=values.get(b"content-encoding", b"identity") != b"identity",
        instance=UpstreamId(instance.decode("latin-1")) if instance else None,
        idle_timeout_s=_read_idle_timeout(values.get(b"keep-alive")),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Delivery:
    """Say how a request is to be handled by the upstream that it is sent to."""

    upstream: UpstreamId
    time_left_s: float
    priority: int | None = None
    # Only compute and keep the KV cache of the prompt.
    prefill_only: bool = False
    # Where the KV cache of the prompt lies, and under which handle.
    cache_at: Address | None = None
    cache_handle: str = ""
    # An engine that has read more of the prompt than the one that is sent to.
    prefix_at: Address | None = None
    # The last event that the caller has, where a stream goes on.
    last_event: int | None = None


def encode_delivery(headers: Headers, delivery: Delivery) -> Headers:
    """Return the headers of a caller's request as the upstream gets them."""
    dropped = _PER_CONNECTION | _SET_BY_GATEWAY | _list_named(headers)
    if delivery.last_event is not None:
        dropped |= {b"last-event-id"}
    kept = [pair for pair in headers if pair[0].lower() not in dropped]
    left_ms = max(1, int(delivery.time_left_s * 1000))
    kept.append((b"Deadline-Ms", str(left_ms).encode()))
    kept.append((b"Expect-Instance", delivery.upstream.encode("latin-1")))
    if delivery.priority is not None:
        kept.append((b"Request-Priority", str(delivery.priority).encode()))
    if delivery.prefill_only:
        kept.append((b"Stage", b"prefill"))
    if delivery.cache_at is not None:
        source = f"{delivery.cache_at}/{delivery.cache_handle}"
        kept.append((b"Kv-Source", source.encode("latin-1")))
    if delivery.prefix_at is not None:
        kept.append((b"Kv-Fetch", str(delivery.prefix_at).encode()))
    if delivery.last_event is not None:
        kept.append((b"Last-Event-Id", str(delivery.last_event).encode()))
    return kept


def encode_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer as the caller gets them."""
    dropped = _PER_CONNECTION | _list_named(headers)
    return [pair for pair in headers if pair[0].lower() not in dropped]


def encode_own_headers(
    request: RequestId | None, retry_after_s: float | None
) -> Headers:
    """Return the headers of an answer that the gateway gives itself."""
    headers: Headers = []
    if request is not None:
        headers.append((b"Request-Id", request.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return headers


def read_event_id(event: bytes) -> int | None:
    """Return the number of one event of a stream, or None where it has none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return _find_whole(line[3:].strip())
    return None


def _list_named(headers: Headers) -> set[bytes]:
    # The connection header names further headers of this connection only.
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def _decode_prompt(values: dict[bytes, bytes]) -> Prompt | None:
    model = values.get(b"model")
    counts = values.get(b"token-counts")
    if model is None or counts is None:
        return None
    tokens_in, _, tokens_out = counts.partition(b",")
    return Prompt(
        model=ModelName(model.decode("latin-1")),
        tokens_in=_read_whole(tokens_in.strip()),
        tokens_out=_read_whole(tokens_out.strip()),
        parts=_decode_parts(values.get(b"prompt-prefix", b"")),
    )


def _decode_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        name, separator, tokens = item.strip().partition(b":")
        if separator:
            prefix = PrefixId(name.decode("latin-1"))
            parts.append(PromptPart(prefix, _read_whole(tokens)))
    return tuple(parts)


def _read_whole(value: bytes | None) -> int:
    return _find_whole(value) or 0


def _find_whole(value: bytes | None) -> int | None:
    if value is not None and value.isdigit():
        return int(value)
    return None


def _read_ms(value: bytes | None, default_s: float) -> float:
    try:
        left_ms = float(value) if value is not None else math.nan
    except ValueError:
        return default_s
    return left_ms / 1000 if math.isfinite(left_ms) and left_ms >= 0 else default_s


def _read_idle_timeout(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
