"""Parse callers' requests; each error states that the request was not run."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, TypeGuard

from result import Err, Ok, Result

from bramleyport.core import (
    AccountId,
    AdapterName,
    ErrorCode,
    Execution,
    MalformedJsonError,
    Rank,
    ServeError,
    ServiceKind,
    is_encodable,
    parse_json,
)

DEFAULT_MAX_TOKENS: Final = 256
# Messages to agents carry no whole numbers above 64 bits.
MAX_OUTPUT_TOKENS: Final = 1_000_000_000
MAX_KEY_CHARACTERS: Final = 200
ANONYMOUS_ACCOUNT: Final = AccountId("anonymous")


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Describe one parsed request of a caller."""

    kind: ServiceKind
    target: str
    account: AccountId
    rank: Rank
    key: str | None
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    prompt: str = ""
    adapter: AdapterName | None = None
    max_tokens: int = 0
    stream: bool = False
    chat: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """Describe the headers that every kind of request has."""

    account: AccountId
    rank: Rank
    key: str | None


def make_refusal(
    code: ErrorCode, message: str, retry_after_s: float | None = None
) -> ServeError:
    """Return the error of a request that was refused before it ran."""
    return ServeError(
        code=code,
        message=message,
        execution=Execution.NOT_RUN,
        step="parse",
        peer="caller",
        retry_after_s=retry_after_s,
    )


def parse_headers(headers: Mapping[str, str]) -> Result[CallerHeaders, ServeError]:
    """Parse the account, rank and idempotency key."""
    raw_rank = headers.get("x-rank", Rank.STANDARD.value)
    try:
        rank = Rank(raw_rank)
    except ValueError:
        known = ", ".join(rank.value for rank in Rank)
        message = f"X-Rank {raw_rank[:40]!r} is not one of {known}"
        return Err(make_refusal(ErrorCode.UNKNOWN_RANK, message))
    key = headers.get("idempotency-key")
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        message = f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} characters"
        return Err(make_refusal(ErrorCode.MALFORMED, message))
    account = AccountId(headers.get("x-account", ANONYMOUS_ACCOUNT))
    return Ok(CallerHeaders(account=account, rank=rank, key=key))


def parse_completion(
    path: str, headers: Mapping[str, str], body: bytes, *, chat: bool
) -> Result[CallerRequest, ServeError]:
    """Parse a chat or text completion request."""
    common_headers = parse_headers(headers)
    if isinstance(common_headers, Err):
        return common_headers
    try:
        document = parse_json(body)
    except MalformedJsonError:
        return Err(make_refusal(ErrorCode.MALFORMED, "the body is not JSON"))
    if not isinstance(document, dict):
        return Err(make_refusal(ErrorCode.MALFORMED, "the body is not a JSON object"))
    prompt = _read_chat(document) if chat else _read_prompt(document)
    if isinstance(prompt, Err):
        return prompt
    fields = _check_fields(document)
    if fields is not None:
        return Err(fields)
    adapter = document.get("adapter")
    return Ok(
        CallerRequest(
            kind=ServiceKind.LANGUAGE,
            target=document["model"],
            account=common_headers.ok_value.account,
            rank=common_headers.ok_value.rank,
            key=common_headers.ok_value.key,
            method="POST",
            path=path,
            headers={},
            body=body,
            prompt=prompt.ok_value,
            adapter=AdapterName(adapter) if adapter else None,
            max_tokens=document.get("max_tokens", DEFAULT_MAX_TOKENS),
            stream=document.get("stream", False),
            chat=chat,
        )
    )


def parse_plain(
    service: str, method: str, path: str, headers: Mapping[str, str], body: bytes
) -> Result[CallerRequest, ServeError]:
    """Parse a call of a plain service."""
    common_headers = parse_headers(headers)
    if isinstance(common_headers, Err):
        return common_headers
    forwarded = {name: headers[name] for name in ("content-type",) if name in headers}
    return Ok(
        CallerRequest(
            kind=ServiceKind.PLAIN,
            target=service,
            account=common_headers.ok_value.account,
            rank=common_headers.ok_value.rank,
            key=common_headers.ok_value.key,
            method=method,
            path=path,
            headers=forwarded,
            body=body,
        )
    )


def _check_fields(document: Mapping[str, Any]) -> ServeError | None:
    if not _is_text(document.get("model")):
        return make_refusal(ErrorCode.MALFORMED, "model must be text")
    max_tokens = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    if (
        isinstance(max_tokens, bool)
        or not isinstance(max_tokens, int)
        or not 0 < max_tokens <= MAX_OUTPUT_TOKENS
    ):
        message = f"max_tokens must be a whole number from 1 to {MAX_OUTPUT_TOKENS}"
        return make_refusal(ErrorCode.MALFORMED, message)
    if not isinstance(document.get("stream", False), bool):
        return make_refusal(ErrorCode.MALFORMED, "stream must be true or false")
    adapter = document.get("adapter")
    if adapter is not None and not _is_text(adapter):
        return make_refusal(ErrorCode.MALFORMED, "adapter must be text")
    return None


def _is_text(value: object) -> TypeGuard[str]:
    return isinstance(value, str) and is_encodable(value)


def _read_prompt(document: Mapping[str, Any]) -> Result[str, ServeError]:
    prompt = document.get("prompt")
    if not _is_text(prompt) or not prompt:
        return Err(make_refusal(ErrorCode.MALFORMED, "prompt must be text"))
    return Ok(prompt)


def _read_chat(document: Mapping[str, Any]) -> Result[str, ServeError]:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return Err(
            make_refusal(ErrorCode.MALFORMED, "messages must be a list of messages")
        )
    lines = []
    for index, item in enumerate(messages):
        if not (
            isinstance(item, dict)
            and _is_text(item.get("role"))
            and _is_text(item.get("content"))
        ):
            message = f"messages[{index}] must have role and content as text"
            return Err(make_refusal(ErrorCode.MALFORMED, message))
        lines.append(f"{item['role']}: {item['content']}\n")
    return Ok("".join(lines))
