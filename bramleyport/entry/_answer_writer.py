"""Render language answers for callers and measure their token times."""

import time

from bramleyport.callers import (
    CallerDisconnectedError,
    CallerRequest,
    CallerStream,
    ChunkRenderer,
    render_complete_answer,
    render_stream_end,
)
from bramleyport.core import ServeError, Work
from bramleyport.records import ServiceRecord
from bramleyport.telemetry import Metrics


class AnswerWriter:
    """Represent the language answer that a caller is being sent."""

    def __init__(
        self,
        request: CallerRequest,
        record: ServiceRecord,
        work: Work,
        stream: CallerStream,
        metrics: Metrics,
        tenant: str,
    ) -> None:
        self.first_token_s: float | None = None
        self._request = request
        self._model = record.name
        self._work = work
        self._stream = stream
        self._metrics = metrics
        self._created = int(time.time())
        self._parts: list[str] = []
        self._renderer = ChunkRenderer(
            work.request, record.name, self._created, chat=request.chat
        )
        self._last_chunk_s: float | None = None
        self._labels = {"tenant": tenant, "rank": work.rank.value}

    async def add_chunk(self, chunk: bytes) -> None:
        """Stream a chunk, or buffer it if the answer is not streamed."""
        self._observe()
        text = chunk.decode(errors="replace")
        if not self._request.stream:
            self._parts.append(text)
            return
        if not self._stream.started:
            self._stream.start(200, self._headers("text/event-stream"))
        await self._stream.write(self._renderer.render(text))

    def restart(self) -> None:
        """Discard the buffered text of a failed attempt."""
        self._parts.clear()
        self._last_chunk_s = None

    async def finish(self, output_tokens: int) -> None:
        """Send the end of a streamed answer, or the complete unstreamed answer."""
        elapsed_s = time.monotonic() - self._work.arrived_s
        self._metrics.answer_s.observe(self._labels, elapsed_s)
        chat = self._request.chat
        if self._request.stream:
            if not self._stream.started:
                self._stream.start(200, self._headers("text/event-stream"))
            body = render_stream_end(
                self._work.request, self._model, self._created, chat=chat
            )
        else:
            self._stream.start(200, self._headers("application/json"))
            body = render_complete_answer(
                self._work.request,
                self._model,
                self._created,
                "".join(self._parts),
                self._work.prompt_tokens,
                output_tokens,
                chat=chat,
            )
        await write_end(self._stream, body)

    def _headers(self, content_type: str) -> dict[str, str]:
        return {"Content-Type": content_type, "X-Request-Id": self._work.request}

    def _observe(self) -> None:
        now_s = time.monotonic()
        if self._last_chunk_s is None:
            elapsed_s = now_s - self._work.arrived_s
            self.first_token_s = elapsed_s
            self._metrics.first_token_s.observe(self._labels, elapsed_s)
        else:
            self._metrics.between_tokens_s.observe(
                self._labels, now_s - self._last_chunk_s
            )
        self._last_chunk_s = now_s


async def write_end(stream: CallerStream, body: bytes) -> ServeError | None:
    """Send the last bytes of an answer and end it."""
    try:
        await stream.write(body)
    except CallerDisconnectedError:
        return None
    stream.finish()
    return None
