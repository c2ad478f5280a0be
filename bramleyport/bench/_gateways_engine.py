"""Model an engine that reads prompts in chunks between the tokens of other calls."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.bench._gateways_scenario import EngineModel
from bramleyport.core import RequestId
from bramleyport.fleet import PrefixCache, PromptPart, Stage

# Engines that run calls read at half the speed, in chunks of a quarter.
DECODE_READ_FACTOR: Final = 0.5
DECODE_CHUNK_FACTOR: Final = 0.25
# At this many tokens of context, attention takes as long as the rest of the work.
ATTENTION_TOKENS: Final = 60_000

Action = Callable[[], None]


@dataclass(slots=True, kw_only=True)
class EngineCall:
    """Hold one call inside an engine."""

    request: RequestId
    priority: int
    parts: tuple[PromptPart, ...]
    tokens_in: int
    # 0 for a prompt that is only read.
    tokens_out: int
    on_read: Action
    on_end: Action
    unread: int = 0
    produced: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class Link:
    """Carry transfers one after another."""

    free_s: float = 0.0

    def reserve(self, now_s: float, took_s: float) -> float:
        """Return when a transfer that starts now ends."""
        self.free_s = max(self.free_s, now_s) + took_s
        return self.free_s


@dataclass(slots=True, kw_only=True)
class ModelledEngine:
    """Hold the calls of one engine and advance them step by step."""

    model: EngineModel
    stage: Stage
    schedule: Callable[[float, Action], None]
    link: Link = field(default_factory=Link)
    cache: PrefixCache = field(init=False)
    read_tokens: int = 0
    dead: bool = False
    _waiting: list[EngineCall] = field(default_factory=list)
    _active: list[EngineCall] = field(default_factory=list)
    _stepping: bool = False

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.model.kv_capacity_tokens)

    def submit(self, call: EngineCall, fetched: int = 0) -> None:
        """Take a call; fetched tokens of its prompt have come from elsewhere."""
        if self.dead:
            return
        cached = max(fetched, self.cache.count_confirmed(call.parts))
        call.unread = max(1, call.tokens_in - cached)
        self._waiting.append(call)
        self._waiting.sort(key=lambda item: item.priority)
        self._start()

    def cancel(self, call: EngineCall) -> None:
        """Drop a call whose caller has left."""
        call.cancelled = True
        for queue in (self._waiting, self._active):
            if call in queue:
                queue.remove(call)

    def fail(self) -> None:
        """Stop answering."""
        self.dead = True
        self._waiting.clear()
        self._active.clear()

    def _start(self) -> None:
        if not self._stepping and not self.dead:
            self._stepping = True
            self._step()

    def _step(self) -> None:
        while self._waiting and len(self._active) < self.model.slots:
            self._active.append(self._waiting.pop(0))
        if not self._active or self.dead:
            self._stepping = False
            return
        reading = min(
            (call for call in self._active if call.unread),
            key=lambda call: call.priority,
            default=None,
        )
        running = [call for call in self._active if not call.unread]
        chunk, took_s = self._measure_chunk(reading)
        self.schedule(
            self.model.step_s + took_s,
            lambda: self._end_step(reading, chunk, running),
        )

    def _measure_chunk(self, call: EngineCall | None) -> tuple[int, float]:
        if call is None:
            return 0, 0.0
        decode = self.stage is Stage.DECODE
        chunk = self.model.chunk_tokens * (DECODE_CHUNK_FACTOR if decode else 1)
        chunk = min(int(chunk), call.unread)
        rate = self.model.read_tokens_per_s * (DECODE_READ_FACTOR if decode else 1)
        context = call.tokens_in - call.unread
        return chunk, chunk * (1 + context / ATTENTION_TOKENS) / rate

    def _end_step(
        self, reading: EngineCall | None, chunk: int, running: list[EngineCall]
    ) -> None:
        for call in running:
            if not call.cancelled:
                self._produce(call)
        if reading is not None and not reading.cancelled and not self.dead:
            self.read_tokens += chunk
            reading.unread -= chunk
            if not reading.unread:
                self._finish_reading(reading)
        self._step()

    def _produce(self, call: EngineCall) -> None:
        call.produced += 1
        if call.produced == 1:
            call.on_read()
        if call.produced >= call.tokens_out:
            self._active.remove(call)
            call.on_end()

    def _finish_reading(self, call: EngineCall) -> None:
        self.cache.add(call.parts)
        self.cache.confirm(call.parts)
        if not call.tokens_out:
            self._active.remove(call)
            call.on_end()
