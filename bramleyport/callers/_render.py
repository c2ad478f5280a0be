"""Render answers and errors in the JSON formats of the OpenAI API."""

import json
from typing import Any, Final

from bramleyport.core import RequestId, ServeError

STREAM_END: Final = b"data: [DONE]\n\n"
TEXT_PLACEHOLDER: Final = "\0text\0"


def render_error(error: ServeError) -> bytes:
    """Return the JSON body of an error."""
    value = {
        "error": {
            "message": error.message,
            "type": error.code.value,
            "code": error.code.value,
            "param": None,
        },
        "execution": error.execution.value,
    }
    return json.dumps(value).encode()


def render_error_event(error: ServeError) -> bytes:
    """Return the server-sent event that ends a stream with an error."""
    return b"data: " + render_error(error) + b"\n\n"


class ChunkRenderer:
    """Represent a template of the server-sent events of one streamed answer.

    The events of an answer differ only in their text, so the rest is rendered once.
    """

    def __init__(
        self, request: RequestId, model: str, created: int, *, chat: bool
    ) -> None:
        content: dict[str, Any] = (
            {"delta": {"content": TEXT_PLACEHOLDER}}
            if chat
            else {"text": TEXT_PLACEHOLDER}
        )
        event = _render_event(
            _make_document(
                request, model, created, content, None, chat=chat, is_chunk=True
            )
        )
        placeholder = json.dumps(TEXT_PLACEHOLDER).encode()
        self._head, _, self._tail = event.rpartition(placeholder)

    def render(self, text: str) -> bytes:
        """Return the event of one chunk of text."""
        return self._head + json.dumps(text).encode() + self._tail


def render_stream_end(
    request: RequestId, model: str, created: int, *, chat: bool
) -> bytes:
    """Return the server-sent events that end a complete stream."""
    delta: dict[str, Any] = {"delta": {}} if chat else {"text": ""}
    value = _make_document(
        request, model, created, delta, "stop", chat=chat, is_chunk=True
    )
    return _render_event(value) + STREAM_END


def render_complete_answer(
    request: RequestId,
    model: str,
    created: int,
    text: str,
    prompt_tokens: int,
    output_tokens: int,
    *,
    chat: bool,
) -> bytes:
    """Return the JSON body of an answer that is not streamed."""
    content: dict[str, Any] = (
        {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
    )
    value = _make_document(
        request, model, created, content, "stop", chat=chat, is_chunk=False
    )
    value["usage"] = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
    }
    return json.dumps(value).encode()


def render_models(names: list[str]) -> bytes:
    """Return the JSON body of the model list."""
    data = [{"id": name, "object": "model", "owned_by": "operator"} for name in names]
    return json.dumps({"object": "list", "data": data}).encode()


def _make_document(
    request: RequestId,
    model: str,
    created: int,
    content: dict[str, Any],
    finish: str | None,
    *,
    chat: bool,
    is_chunk: bool,
) -> dict[str, Any]:
    kind = "text_completion"
    if chat:
        kind = "chat.completion.chunk" if is_chunk else "chat.completion"
    return {
        "id": request,
        "object": kind,
        "created": created,
        "model": model,
        "choices": [{"index": 0, **content, "finish_reason": finish}],
    }


def _render_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
