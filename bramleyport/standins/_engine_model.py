"""Service-time model of a model engine with continuous batching.

The model is pure: the HTTP stand-in drives it in real time and the benchmarks under a
virtual clock.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bramleyport.core import EngineRole, PrefixBlock


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Hold the speed and memory of a modelled engine."""

    step_base_s: float = 0.010
    stream_step_s: float = 0.0003
    prefill_tokens_per_s: float = 8000.0
    prefill_chunk_tokens: int = 512
    max_streams: int = 32
    block_tokens: int = 1000
    blocks_total: int = 1000
    role_change_s: float = 8.0
    # A prefill engine computes longer chunks, a decode engine shorter ones beside
    # more streams.
    prefill_role_chunk_tokens: int = 2048
    decode_role_chunk_tokens: int = 128
    decode_role_streams: int = 64

    def limit_chunk(self, role: EngineRole) -> int:
        """Return the prefill tokens of one step in a role."""
        if role is EngineRole.PREFILL:
            return self.prefill_role_chunk_tokens
        if role is EngineRole.DECODE:
            return self.decode_role_chunk_tokens
        return self.prefill_chunk_tokens

    def limit_streams(self, role: EngineRole) -> int:
        """Return the largest batch in a role."""
        if role is EngineRole.DECODE:
            return self.decode_role_streams
        return self.max_streams


@dataclass(slots=True, kw_only=True)
class EngineJob:
    """Hold one request inside a modelled engine."""

    job: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix_blocks: tuple[PrefixBlock, ...] = ()
    prefill_left: int = 0
    produced: int = 0
    cached_tokens: int = 0
    started: bool = False
    # The KV cache of the prompt came from another engine.
    imported: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStep:
    """Report one batch step: its duration and the tokens it produced."""

    duration_s: float
    produced: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()


@dataclass(slots=True)
class PrefixCache:
    """Keep prefix blocks up to a capacity, least recently used first out."""

    capacity_blocks: int
    stored: list[PrefixBlock] = field(default_factory=list)
    evicted: list[PrefixBlock] = field(default_factory=list)
    _blocks: "OrderedDict[PrefixBlock, None]" = field(default_factory=OrderedDict)

    def count_cached(self, prefix: Sequence[PrefixBlock]) -> int:
        """Return how many leading blocks are cached and mark them used."""
        for index, block in enumerate(prefix):
            if block not in self._blocks:
                return index
            self._blocks.move_to_end(block)
        return len(prefix)

    def store(self, prefix: Sequence[PrefixBlock]) -> None:
        """Add blocks and evict the least recently used beyond the capacity."""
        for block in prefix:
            if block not in self._blocks:
                self.stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            self.evicted.append(block)

    def clear(self) -> None:
        """Evict everything, as a role change or a crash does."""
        self.evicted.extend(self._blocks)
        self._blocks.clear()

    def list_blocks(self) -> list[PrefixBlock]:
        """Return the cached blocks, least recently used first."""
        return list(self._blocks)

    def __len__(self) -> int:
        return len(self._blocks)


class EngineModel:
    """Run jobs in batch steps."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.role = EngineRole.MIXED
        self.changing_to: EngineRole | None = None
        self.cache = PrefixCache(profile.blocks_total // 2)
        self.waiting: list[EngineJob] = []
        self.running: list[EngineJob] = []

    def submit(self, job: EngineJob) -> None:
        """Queue a job by priority, first come first served within one."""
        cached_blocks = self.cache.count_cached(job.prefix_blocks)
        job.cached_tokens = min(
            cached_blocks * self.profile.block_tokens, max(0, job.prompt_tokens - 1)
        )
        job.prefill_left = job.prompt_tokens - job.cached_tokens
        if job.imported:
            job.prefill_left = 0
        self.waiting.append(job)
        self.waiting.sort(key=lambda item: item.priority)

    @property
    def max_streams(self) -> int:
        """Return the largest batch in the present role."""
        return self.profile.limit_streams(self.role)

    def begin_role_change(self, role: EngineRole) -> float:
        """Stop work, lose the cache and return the seconds that the change takes."""
        self.changing_to = role
        self.cache.clear()
        return self.profile.role_change_s

    def end_role_change(self) -> None:
        """Continue work in the new role."""
        if self.changing_to is not None:
            self.role = self.changing_to
        self.changing_to = None

    def cancel(self, job: str) -> bool:
        """Remove a job and return whether it was present."""
        before = len(self.waiting) + len(self.running)
        self.waiting = [item for item in self.waiting if item.job != job]
        self.running = [item for item in self.running if item.job != job]
        return len(self.waiting) + len(self.running) < before

    def count_used_blocks(self) -> int:
        """Return the blocks that running jobs hold."""
        size = self.profile.block_tokens
        return sum(
            -(-(job.prompt_tokens + job.output_tokens) // size) for job in self.running
        )

    def next_step(self) -> EngineStep | None:
        """Run one batch step, or return None when idle or changing role."""
        if self.changing_to is not None:
            return None
        self._start_waiting()
        if not self.running:
            return None
        prefilled = self._prefill()
        decoding = [job for job in self.running if job.prefill_left <= 0]
        for job in decoding:
            job.produced += 1
        finished = [job for job in decoding if job.produced >= job.output_tokens]
        done = {job.job for job in finished}
        self.running = [job for job in self.running if job.job not in done]
        profile = self.profile
        duration_s = (
            profile.step_base_s
            + profile.stream_step_s * len(decoding)
            + prefilled / profile.prefill_tokens_per_s
        )
        return EngineStep(
            duration_s=duration_s,
            produced=tuple(job.job for job in decoding),
            finished=tuple(job.job for job in finished),
        )

    def _start_waiting(self) -> None:
        used = self.count_used_blocks()
        size = self.profile.block_tokens
        while self.waiting and len(self.running) < self.max_streams:
            job = self.waiting[0]
            need = -(-(job.prompt_tokens + job.output_tokens) // size)
            if self.running and used + need > self.profile.blocks_total:
                return
            used += need
            job.started = True
            self.running.append(self.waiting.pop(0))

    def _prefill(self) -> int:
        chunk = budget = self.profile.limit_chunk(self.role)
        pending = [job for job in self.running if job.prefill_left > 0]
        for job in sorted(pending, key=lambda item: item.priority):
            part = min(budget, job.prefill_left)
            job.prefill_left -= part
            budget -= part
            if job.prefill_left <= 0:
                self.cache.store(job.prefix_blocks)
            if budget <= 0:
                break
        return chunk - budget
