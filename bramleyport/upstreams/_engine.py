"""Client of a model engine."""

import asyncio
import json
from collections.abc import AsyncIterator, Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

from bramleyport.core import Execution, PrefixBlock, parse_json, read_count
from bramleyport.telemetry import log_event, routing_events
from bramleyport.upstreams._body import (
    BodyReader,
    BodyTooLargeError,
    BodyTruncatedError,
)
from bramleyport.upstreams._http import (
    REJECTION_STATUSES,
    UpstreamError,
    UpstreamHttpClient,
    determine_execution,
)

# An engine answers reads within milliseconds. One that accepts connections and never
# answers would otherwise hold its agent's reports for good.
READ_TIMEOUT_S: Final = 5.0
# An event contains the text of one token.
MAX_EVENT_BYTES: Final = 256 * 1024
# Characters of the reason for which an event is left out that are logged.
MAX_REASON_CHARS: Final = 200
# An engine that checks fencing answers an order with an old number by a conflict.
ORDER_REJECTION_STATUSES: Final = REJECTION_STATUSES | {HTTPStatus.CONFLICT}


class MalformedEventError(ValueError):
    """Report an event of a completion's stream that can't be decoded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Completion:
    """Describe one completion that an engine runs."""

    job: str
    prompt: str
    max_tokens: int
    priority: int
    model: str
    adapter: str | None


@dataclass(frozen=True, slots=True)
class Token:
    """Describe one token of a completion."""

    text: str


@dataclass(frozen=True, slots=True)
class CompletionEnd:
    """Describe the end of a completion."""

    output_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """Describe one change of an engine's prefix cache."""

    sequence: int
    stored: tuple[PrefixBlock, ...]
    evicted: tuple[PrefixBlock, ...]


class EngineClient:
    """Represent one engine, on which completions run."""

    def __init__(self, base_url: str) -> None:
        self._http = UpstreamHttpClient(base_url)

    async def complete(
        self, completion: Completion
    ) -> AsyncIterator[Token | CompletionEnd]:
        """Run a completion and yield its tokens, then its end."""
        body = {
            "request": completion.job,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "priority": completion.priority,
            "model": completion.model,
            "adapter": completion.adapter,
        }
        async for event in self._stream("/v1/completions", body):
            yield event

    async def resume(
        self, job: str, next_token: int
    ) -> AsyncIterator[Token | CompletionEnd]:
        """Resume the stream of a completion at a token number."""
        body = {"request": job, "next_token": next_token}
        async for event in self._stream("/v1/resume", body):
            yield event

    async def cancel(self, job: str) -> None:
        """Stop a completion."""
        await self._http.request_json(
            "POST", "/v1/cancel", json.dumps({"request": job}).encode()
        )

    async def export_kv(
        self, job: str, prompt: str, priority: int, model: str
    ) -> tuple[PrefixBlock, ...]:
        """Prefill a prompt and return the blocks that another engine may import."""
        path = "/kv/export"
        body = {"request": job, "prompt": prompt, "priority": priority, "model": model}
        value = await self._http.request_json("POST", path, json.dumps(body).encode())
        try:
            return tuple(PrefixBlock(bytes.fromhex(block)) for block in value["blocks"])
        except (KeyError, TypeError, ValueError) as error:
            raise self._make_malformed_error(path, error) from error

    async def import_kv(self, source: str, blocks: tuple[PrefixBlock, ...]) -> int:
        """Fetch blocks from another engine and return how many were stored."""
        path = "/kv/import"
        body = {"source": source, "blocks": [block.hex() for block in blocks]}
        value = await self._http.request_json("POST", path, json.dumps(body).encode())
        try:
            return read_count(value["imported"])
        except (KeyError, TypeError, ValueError) as error:
            raise self._make_malformed_error(path, error) from error

    async def read_load(self) -> Mapping[str, Any]:
        """Return the engine's load report, which may be out of date."""
        value: Mapping[str, Any] = await self._read("/load")
        return value

    async def read_cache_events(self, since: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number."""
        path = f"/cache-events?since={since}"
        value = await self._read(path)
        try:
            events = list(value["events"])
        except (KeyError, TypeError) as error:
            raise self._make_malformed_error(path, error) from error
        return list(self._decode_cache_events(events))

    def _decode_cache_events(self, values: list[Any]) -> Iterator[CacheEvent]:
        """Yield the valid events; a receiver finds the others by their numbers."""
        for value in values:
            try:
                yield _decode_cache_event(value)
            except (KeyError, TypeError, ValueError) as error:
                log_event(
                    routing_events.CACHE_EVENT_INVALID,
                    peer=self._http.base_url,
                    reason=repr(error)[:MAX_REASON_CHARS],
                )

    async def read_order(self) -> Mapping[str, Any]:
        """Return the latest order of the engine and its current state."""
        value: Mapping[str, Any] = await self._http.request_json("GET", "/order")
        return value

    async def put_order(self, order: Mapping[str, Any]) -> Mapping[str, Any]:
        """Send an order to the engine and wait until it has been applied."""
        body = json.dumps(dict(order)).encode()
        value: Mapping[str, Any] = await self._http.request_json(
            "PUT", "/order", body, ORDER_REJECTION_STATUSES
        )
        return value

    async def _read(self, path: str) -> Any:
        """Send a GET request that fails if its answer takes too long."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._http.request_json("GET", path)
        except TimeoutError as error:
            reason = f"no answer within {READ_TIMEOUT_S:g} s"
            raise UpstreamError(
                path, self._http.base_url, reason, Execution.UNKNOWN
            ) from error

    def _make_malformed_error(self, path: str, error: Exception) -> UpstreamError:
        reason = f"malformed answer: {error!r}"
        return UpstreamError(path, self._http.base_url, reason, Execution.UNKNOWN)

    async def _stream(
        self, path: str, body: Mapping[str, Any]
    ) -> AsyncIterator[Token | CompletionEnd]:
        headers = {"Content-Type": "application/json"}
        data = json.dumps(body).encode()
        response = await self._http.request("POST", path, headers, data)
        if response.code != 200:
            reason = f"status {response.code}"
            execution = determine_execution(response.code)
            raise UpstreamError(path, self._http.base_url, reason, execution)
        reader = response.open_body()
        try:
            async for event in _parse_events(reader):
                yield event
                if isinstance(event, CompletionEnd):
                    return
        except (BodyTooLargeError, BodyTruncatedError, MalformedEventError) as error:
            raise UpstreamError(
                path, self._http.base_url, str(error), Execution.UNKNOWN
            ) from error
        finally:
            reader.stop()
        raise UpstreamError(
            path, self._http.base_url, "stream ended early", Execution.UNKNOWN
        )


async def _parse_events(reader: BodyReader) -> AsyncIterator[Token | CompletionEnd]:
    pending = b""
    async for chunk in reader.read():
        pending += chunk
        *events, pending = pending.split(b"\n\n")
        if len(pending) > MAX_EVENT_BYTES:
            raise BodyTooLargeError(MAX_EVENT_BYTES)
        for event in events:
            yield _decode_stream_event(event)


def _decode_stream_event(event: bytes) -> Token | CompletionEnd:
    try:
        value = parse_json(event.removeprefix(b"data: "))
        if value.get("done"):
            return CompletionEnd(read_count(value["output_tokens"]))
        return Token(str(value["text"]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedEventError(f"malformed event: {error!r}") from error


def _decode_cache_event(event: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        sequence=read_count(event["sequence"]),
        stored=tuple(PrefixBlock(bytes.fromhex(b)) for b in event["stored"]),
        evicted=tuple(PrefixBlock(bytes.fromhex(b)) for b in event["evicted"]),
    )
