"""Decode and encode the headers of requests and answers."""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import AccountId, ModelName, RequestId, StoreEra, UpstreamId
from bramleyport.fleet import Address, ApiKey, PrefixId, Prompt, PromptPart

Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection only and are not forwarded.
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
# Headers that the gateway sets itself; values from callers are dropped.
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
# Headers that are not passed on where calls belong to client accounts: the key is a
# secret of the caller, and the account is named by the gateway.
_KEY_HEADER: Final = b"api-key"
_SET_FOR_ACCOUNTS: Final = frozenset((_KEY_HEADER, b"tenant"))
# Status of an upstream that is not the expected instance and has run nothing.
OTHER_INSTANCE_STATUS: Final = 421
# Status of an upstream that turns a request away.
UNAVAILABLE_STATUS: Final = 503
# Headers that tell who the caller is.
_CALLER_HEADERS: Final = (
    b"authorization",
    b"cookie",
    b"x-account",
    b"x-api-key",
)
# A decimal number without sign or exponent; more digits are no rate of requests.
_DECIMAL: Final = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,40})?")
# Bytes of an invalid value that are logged.
MAX_DESCRIBED_BYTES: Final = 40
# A longer number is no count of tokens or events.
MAX_COUNT_DIGITS: Final = 18
# Applies to requests without a valid Deadline-Ms header.
DEFAULT_TIME_LIMIT_S: Final = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """Describe a caller's request by its headers."""

    request: RequestId | None
    time_limit_s: float
    last_event: int
    prompt: Prompt | None
    # The request that brought the first event of a stream that is resumed.
    resumes: RequestId | None = None
    # What the request says of its caller; it may contain secrets.
    caller: tuple[bytes, ...] = field(default=(), repr=False)
    # The key of a client account; None if there is none, or more than one.
    key: ApiKey | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Describe an upstream's answer by its headers."""

    request: RequestId | None
    # The upstream has not run the request and will not run it.
    not_run: bool
    # The answer has the Server-Stamp header that upstreams set.
    stamped: bool
    encoded: bool
    instance: UpstreamId | None
    # How long the upstream keeps an idle connection open; None if it did not say.
    idle_timeout_s: float | None
    # The Server-Limit header: requests a second that the upstream takes from all
    # gateways together; None if it names no limit or an invalid one.
    rate_limit: float | None = None
    # The limit as it was sent, if it is not a decimal number; empty otherwise.
    invalid_rate_limit: str = ""
    # The upstream ends soon and takes no new work.
    leaving: bool = False
    # For how long the upstream, which turned a request away, wants none from this
    # gateway; None if it did not say.
    pause_s: float | None = None
    # The pause as it was sent, if it is not a decimal number; empty otherwise.
    invalid_pause: str = ""


def decode_call(headers: Iterable[tuple[bytes, bytes]]) -> CallHead:
    """Decode the headers of a caller's request; invalid values are ignored."""
    pairs = [(name.lower(), value) for name, value in headers]
    values = dict(pairs)
    return CallHead(
        request=_decode_request(values.get(b"request-id")),
        time_limit_s=_parse_milliseconds(
            values.get(b"deadline-ms"), DEFAULT_TIME_LIMIT_S
        ),
        last_event=_parse_count_or_zero(values.get(b"last-event-id")),
        prompt=_decode_prompt(values),
        resumes=_decode_request(values.get(b"resumes")),
        caller=tuple(values.get(name, b"") for name in _CALLER_HEADERS),
        key=_decode_key([value for name, value in pairs if name == _KEY_HEADER]),
    )


def _decode_key(values: list[bytes]) -> ApiKey | None:
    if len(values) != 1 or not values[0]:
        return None
    return ApiKey(values[0].decode("latin-1"))


def _decode_request(value: bytes | None) -> RequestId | None:
    return RequestId(value.decode("latin-1")) if value else None


def decode_answer(status: int, headers: Iterable[tuple[bytes, bytes]]) -> AnswerHead:
    """Decode the status and headers of an upstream's answer."""
    values = {name.lower(): value for name, value in headers}
    instance = values.get(b"instance-id")
    # Another instance at the address says nothing of the one that was meant.
    is_other = status == OTHER_INSTANCE_STATUS
    limit = None if is_other else values.get(b"server-limit")
    rate_limit = _parse_rate(limit)
    pause = values.get(b"retry-after") if status == UNAVAILABLE_STATUS else None
    pause_s = _parse_rate(pause)
    return AnswerHead(
        request=_decode_request(values.get(b"request-id")),
        not_run=b"not-run" in values or status == OTHER_INSTANCE_STATUS,
        stamped=b"server-stamp" in values,
        encoded=values.get(b"content-encoding", b"identity") != b"identity",
        instance=UpstreamId(instance.decode("latin-1")) if instance else None,
        idle_timeout_s=_parse_idle_timeout(values.get(b"keep-alive")),
        rate_limit=rate_limit,
        invalid_rate_limit=_describe_invalid(limit) if rate_limit is None else "",
        leaving=not is_other and _says_leaving(values),
        pause_s=pause_s,
        invalid_pause=_describe_invalid(pause) if pause_s is None else "",
    )


def decode_trailers(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the trailers of an answer say that its upstream is leaving."""
    return _says_leaving({name.lower(): value for name, value in headers})


def _says_leaving(values: dict[bytes, bytes]) -> bool:
    return values.get(b"server-leaving", b"").strip() == b"1"


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardOptions:
    """Describe how an upstream is to handle a forwarded request."""

    upstream: UpstreamId
    remaining_time_s: float
    priority: int | None = None
    # Compute and keep the KV cache of the prompt without generating tokens.
    prefill_only: bool = False
    # The engine that keeps the KV cache of the prompt, and the handle of that cache.
    cache_address: Address | None = None
    cache_handle: str = ""
    # An engine that has cached a longer prefix of the prompt than the target has.
    prefix_address: Address | None = None
    # The last event that the caller received, if a stream is resumed.
    last_event: int | None = None
    # Whether calls belong to client accounts, and the one of this call; it has none on
    # a route that needs no key.
    has_accounts: bool = False
    account: AccountId | None = None


def encode_forward_headers(headers: Headers, options: ForwardOptions) -> Headers:
    """Return the headers with which a caller's request is forwarded."""
    dropped = _PER_CONNECTION | _SET_BY_GATEWAY | _list_connection_headers(headers)
    if options.last_event is not None:
        dropped |= {b"last-event-id"}
    if options.has_accounts:
        dropped |= _SET_FOR_ACCOUNTS
    kept = [pair for pair in headers if pair[0].lower() not in dropped]
    remaining_ms = max(1, int(options.remaining_time_s * 1000))
    kept.append((b"Deadline-Ms", str(remaining_ms).encode()))
    kept.append((b"Expect-Instance", options.upstream.encode("latin-1")))
    if options.account is not None:
        kept.append((b"Tenant", options.account.encode("latin-1")))
    if options.priority is not None:
        kept.append((b"Request-Priority", str(options.priority).encode()))
    if options.prefill_only:
        kept.append((b"Stage", b"prefill"))
    if options.cache_address is not None:
        source = f"{options.cache_address}/{options.cache_handle}"
        kept.append((b"Kv-Source", source.encode("latin-1")))
    if options.prefix_address is not None:
        kept.append((b"Kv-Fetch", str(options.prefix_address).encode()))
    if options.last_event is not None:
        kept.append((b"Last-Event-Id", str(options.last_event).encode()))
    return kept


def encode_answer_headers(headers: Headers) -> Headers:
    """Return the headers with which an upstream's answer is passed to the caller."""
    dropped = _PER_CONNECTION | _list_connection_headers(headers)
    return [pair for pair in headers if pair[0].lower() not in dropped]


def encode_own_headers(
    request: RequestId | None, retry_after_s: float | None
) -> Headers:
    """Return the headers of an answer that the gateway generates itself."""
    headers: Headers = []
    if request is not None:
        headers.append((b"Request-Id", request.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return headers


def decode_store_era(headers: Iterable[tuple[bytes, bytes]]) -> StoreEra | None:
    """Return the era that an answer of the store names, if it names one."""
    values = {name.lower(): value for name, value in headers}
    era = _parse_count(values.get(b"store-era", b"").strip())
    return None if era is None else StoreEra(era)


def read_event_id(event: bytes) -> int | None:
    """Return the id of a server-sent event, or None if it has no numeric id."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return _parse_count(line[3:].strip())
    return None


def is_comment(event: bytes) -> bool:
    """Return whether a server-sent event has only comments."""
    return all(line.startswith(b":") for line in event.split(b"\n") if line)


def _list_connection_headers(headers: Headers) -> set[bytes]:
    # The Connection header lists further hop-by-hop headers.
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
        tokens_in=_parse_count_or_zero(tokens_in.strip()),
        tokens_out=_parse_count_or_zero(tokens_out.strip()),
        parts=_decode_parts(values.get(b"prompt-prefix", b"")),
    )


def _decode_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        name, separator, tokens = item.strip().partition(b":")
        if separator:
            prefix = PrefixId(name.decode("latin-1"))
            parts.append(PromptPart(prefix, _parse_count_or_zero(tokens)))
    return tuple(parts)


def _parse_count_or_zero(value: bytes | None) -> int:
    return _parse_count(value) or 0


def _parse_count(value: bytes | None) -> int | None:
    if value is not None and value.isdigit() and len(value) <= MAX_COUNT_DIGITS:
        return int(value)
    return None


def _parse_milliseconds(value: bytes | None, default_s: float) -> float:
    try:
        limit_ms = float(value) if value is not None else math.nan
    except ValueError:
        return default_s
    return limit_ms / 1000 if math.isfinite(limit_ms) and limit_ms >= 0 else default_s


def _parse_rate(value: bytes | None) -> float | None:
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    return float(value)


def _describe_invalid(value: bytes | None) -> str:
    return "" if value is None else repr(value[:MAX_DESCRIBED_BYTES])


def _parse_idle_timeout(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_count(seconds)
    return None
