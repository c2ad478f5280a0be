"""Simulation of the service times of an engine with continuous batching.

It does no I/O and has no clock: the HTTP stand-in runs it in real time, the benchmarks
under a virtual clock.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bramleyport.core import EngineRole, PrefixBlock


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Describe the speed and memory of a simulated engine."""

    step_base_s: float = 0.010
    stream_step_s: float = 0.0003
    prefill_tokens_per_s: float = 8000.0
    prefill_chunk_tokens: int = 512
    max_streams: int = 32
    block_tokens: int = 1000
    blocks_total: int = 1000
    role_change_s: float = 8.0
    # A prefill engine computes longer chunks. A decode engine computes shorter ones and
    # runs more streams.
    prefill_role_chunk_tokens: int = 2048
    decode_role_chunk_tokens: int = 128
    decode_role_streams: int = 64

    def get_chunk_tokens(self, role: EngineRole) -> int:
        """Return the most prefill tokens of one step in a role."""
        if role is EngineRole.PREFILL:
            return self.prefill_role_chunk_tokens
        if role is EngineRole.DECODE:
            return self.decode_role_chunk_tokens
        return self.prefill_chunk_tokens

    def get_max_streams(self, role: EngineRole) -> int:
        """Return the largest batch in a role."""
        if role is EngineRole.DECODE:
            return self.decode_role_streams
        return self.max_streams


@dataclass(slots=True, kw_only=True)
class EngineJob:
    """Track one request in a simulated engine."""

    job: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix_blocks: tuple[PrefixBlock, ...] = ()
    remaining_prefill_tokens: int = 0
    produced: int = 0
    cached_tokens: int = 0
    started: bool = False
    # The KV cache of the prompt was fetched from another engine.
    imported: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStep:
    """Describe one batch step: its duration and the jobs with a new token."""

    duration_s: float
    produced: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()


@dataclass(slots=True)
class PrefixCache:
    """Represent a cache of prefix blocks that evicts the least recently used."""

    capacity_blocks: int
    stored: list[PrefixBlock] = field(default_factory=list)
    evicted: list[PrefixBlock] = field(default_factory=list)
    _blocks: "OrderedDict[PrefixBlock, None]" = field(default_factory=OrderedDict)

    def count_cached(self, prefix: Sequence[PrefixBlock]) -> int:
        """Return how many leading blocks are cached and mark them as used."""
        for index, block in enumerate(prefix):
            if block not in self._blocks:
                return index
            self._blocks.move_to_end(block)
        return len(prefix)

    def store(self, prefix: Sequence[PrefixBlock]) -> None:
        """Add blocks and evict the least recently used ones over the capacity."""
        for block in prefix:
            if block not in self._blocks:
                self.stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            self.evicted.append(block)

    def clear(self) -> None:
        """Evict all blocks, as in a role change or a crash."""
        self.evicted.extend(self._blocks)
        self._blocks.clear()

    def list_blocks(self) -> list[PrefixBlock]:
        """Return the cached blocks, least recently used first."""
        return list(self._blocks)

    def __len__(self) -> int:
        return len(self._blocks)


class EngineModel:
    """Simulate an engine that runs jobs in batch steps."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.role = EngineRole.MIXED
        self.changing_to: EngineRole | None = None
        self.cache = PrefixCache(profile.blocks_total // 2)
        self.waiting: list[EngineJob] = []
        self.running: list[EngineJob] = []

    def submit(self, job: EngineJob) -> None:
        """Queue a job by priority, in the order of arrival within a priority."""
        cached_blocks = self.cache.count_cached(job.prefix_blocks)
        job.cached_tokens = min(
            cached_blocks * self.profile.block_tokens, max(0, job.prompt_tokens - 1)
        )
        job.remaining_prefill_tokens = job.prompt_tokens - job.cached_tokens
        if job.imported:
            job.remaining_prefill_tokens = 0
        self.waiting.append(job)
        self.waiting.sort(key=lambda item: item.priority)

    @property
    def max_streams(self) -> int:
        """Return the largest batch in the current role."""
        return self.profile.get_max_streams(self.role)

    def begin_role_change(self, role: EngineRole) -> float:
        """Stop work, clear the cache and return how many seconds the change takes."""
        self.changing_to = role
        self.cache.clear()
        return self.profile.role_change_s

    def end_role_change(self) -> None:
        """Continue work in the new role."""
        if self.changing_to is not None:
            self.role = self.changing_to
        self.changing_to = None

    def cancel(self, job: str) -> bool:
        """Remove a job; return whether it was present."""
        count_before = len(self.waiting) + len(self.running)
        self.waiting = [item for item in self.waiting if item.job != job]
        self.running = [item for item in self.running if item.job != job]
        return len(self.waiting) + len(self.running) < count_before

    def count_used_blocks(self) -> int:
        """Return the number of blocks that running jobs use."""
        tokens_per_block = self.profile.block_tokens
        return sum(
            -(-(job.prompt_tokens + job.output_tokens) // tokens_per_block)
            for job in self.running
        )

    def run_step(self) -> EngineStep | None:
        """Run one batch step; return None when idle or changing role."""
        if self.changing_to is not None:
            return None
        self._start_waiting()
        if not self.running:
            return None
        prefilled = self._prefill()
        decoding = [job for job in self.running if job.remaining_prefill_tokens <= 0]
        for job in decoding:
            job.produced += 1
        finished = [job for job in decoding if job.produced >= job.output_tokens]
        finished_names = {job.job for job in finished}
        self.running = [job for job in self.running if job.job not in finished_names]
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
        used_blocks = self.count_used_blocks()
        tokens_per_block = self.profile.block_tokens
        while self.waiting and len(self.running) < self.max_streams:
            job = self.waiting[0]
            needed = -(-(job.prompt_tokens + job.output_tokens) // tokens_per_block)
            if self.running and used_blocks + needed > self.profile.blocks_total:
                return
            used_blocks += needed
            job.started = True
            self.running.append(self.waiting.pop(0))

    def _prefill(self) -> int:
        chunk = budget = self.profile.get_chunk_tokens(self.role)
        pending = [job for job in self.running if job.remaining_prefill_tokens > 0]
        for job in sorted(pending, key=lambda item: item.priority):
            chunk_part = min(budget, job.remaining_prefill_tokens)
            job.remaining_prefill_tokens -= chunk_part
            budget -= chunk_part
            if job.remaining_prefill_tokens <= 0:
                self.cache.store(job.prefix_blocks)
            if budget <= 0:
                break
        return chunk - budget
