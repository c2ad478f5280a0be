"""Model an engine that prefills prompts in chunks between decode steps."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.bench._gateways_scenario import EngineModel
from bramleyport.core import RequestId
from bramleyport.fleet import PrefixCache, PromptPart, Stage

# Decode engines prefill at half the speed, in chunks of a quarter of the size.
DECODE_PREFILL_FACTOR: Final = 0.5
DECODE_CHUNK_FACTOR: Final = 0.25
# With this many tokens of context, attention takes as long as the rest of a prefill.
ATTENTION_TOKENS: Final = 60_000

Action = Callable[[], None]


@dataclass(slots=True, kw_only=True)
class EngineCall:
    """Describe one call in an engine and its progress."""

    request: RequestId
    priority: int
    parts: tuple[PromptPart, ...]
    tokens_in: int
    # 0 for a prompt that is only prefilled.
    tokens_out: int
    on_prefilled: Action
    on_end: Action
    remaining_prefill_tokens: int = 0
    produced: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class Link:
    """Represent a network link that carries one transfer at a time."""

    free_s: float = 0.0

    def reserve(self, now_s: float, duration_s: float) -> float:
        """Return when a transfer that starts now ends."""
        self.free_s = max(self.free_s, now_s) + duration_s
        return self.free_s


@dataclass(slots=True, kw_only=True)
class ModelledEngine:
    """Simulate the calls of one engine step by step."""

    model: EngineModel
    stage: Stage
    schedule: Callable[[float, Action], None]
    link: Link = field(default_factory=Link)
    cache: PrefixCache = field(init=False)
    prefilled_tokens: int = 0
    dead: bool = False
    # Requests a second that the engine names as its limit; None if it names none.
    limit: float | None = None
    arrivals_s: list[float] = field(default_factory=list)
    _waiting: list[EngineCall] = field(default_factory=list)
    _active: list[EngineCall] = field(default_factory=list)
    _stepping: bool = False

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.model.kv_capacity_tokens)

    def submit(self, call: EngineCall, fetched: int = 0) -> None:
        """Queue a call; `fetched` tokens of its prompt came from another engine."""
        if self.dead:
            return
        cached = max(fetched, self.cache.count_confirmed(call.parts))
        call.remaining_prefill_tokens = max(1, call.tokens_in - cached)
        self._waiting.append(call)
        self._waiting.sort(key=lambda item: item.priority)
        self._start()

    def cancel(self, call: EngineCall) -> None:
        """Remove a call that has timed out."""
        call.cancelled = True
        for queue in (self._waiting, self._active):
            if call in queue:
                queue.remove(call)

    def fail(self) -> None:
        """Drop all calls and ignore new ones."""
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
        prefilling = min(
            (call for call in self._active if call.remaining_prefill_tokens),
            key=lambda call: call.priority,
            default=None,
        )
        decoding = [call for call in self._active if not call.remaining_prefill_tokens]
        chunk, duration_s = self._compute_chunk(prefilling)
        self.schedule(
            self.model.step_s + duration_s,
            lambda: self._end_step(prefilling, chunk, decoding),
        )

    def _compute_chunk(self, call: EngineCall | None) -> tuple[int, float]:
        if call is None:
            return 0, 0.0
        decode = self.stage is Stage.DECODE
        chunk = self.model.chunk_tokens * (DECODE_CHUNK_FACTOR if decode else 1)
        chunk = min(int(chunk), call.remaining_prefill_tokens)
        rate = self.model.prefill_tokens_per_s * (
            DECODE_PREFILL_FACTOR if decode else 1
        )
        context = call.tokens_in - call.remaining_prefill_tokens
        return chunk, chunk * (1 + context / ATTENTION_TOKENS) / rate

    def _end_step(
        self, prefilling: EngineCall | None, chunk: int, decoding: list[EngineCall]
    ) -> None:
        for call in decoding:
            if not call.cancelled:
                self._produce(call)
        if prefilling is not None and not prefilling.cancelled and not self.dead:
            self.prefilled_tokens += chunk
            prefilling.remaining_prefill_tokens -= chunk
            if not prefilling.remaining_prefill_tokens:
                self._finish_prefill(prefilling)
        self._step()

    def _produce(self, call: EngineCall) -> None:
        call.produced += 1
        if call.produced == 1:
            call.on_prefilled()
        if call.produced >= call.tokens_out:
            self._active.remove(call)
            call.on_end()

    def _finish_prefill(self, call: EngineCall) -> None:
        self.cache.add(call.parts)
        self.cache.confirm(call.parts)
        if not call.tokens_out:
            self._active.remove(call)
            call.on_end()
