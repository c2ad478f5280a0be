"""State of an upstream as known to one process."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bramleyport.core._blocks import BlockIndex
from bramleyport.core._ids import (
    AdapterName,
    ModelName,
    ModelVersion,
    PrefixBlock,
    RegionName,
    ServiceName,
    UpstreamId,
    ZoneName,
)
from bramleyport.core._states import EngineRole, Rank, ServiceKind, UpstreamState
from bramleyport.core._work import Work


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRates:
    """Describe the speed of one engine."""

    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 40.0
    max_streams: int = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLoad:
    """Describe the load of an upstream as reported by its agent."""

    taken_s: float = 0.0
    running: int = 0
    queued: int = 0
    queued_prefill_tokens: int = 0
    running_decode_tokens: int = 0
    blocks_used: int = 0
    blocks_total: int = 0
    wait_s: Mapping[Rank, float] = field(default_factory=dict)
    # Engine time required by all work queued since the agent started.
    offered_prefill_ms: int = 0
    offered_decode_ms: int = 0
    offered_short_ms: int = 0


@dataclass(slots=True, kw_only=True)
class SentWork:
    """Track the work sent to an upstream since its latest load report."""

    requests: int = 0
    prefill_tokens: int = 0
    decode_tokens: int = 0
    requests_by_rank: dict[Rank, int] = field(default_factory=dict)
    prefill_by_rank: dict[Rank, int] = field(default_factory=dict)
    decode_by_rank: dict[Rank, int] = field(default_factory=dict)
    log: list[tuple[float, Work]] = field(default_factory=list)

    def select_sent_after(self, at_s: float) -> "SentWork":
        """Return the work that was sent after the given time."""
        kept = SentWork()
        for sent_s, work in self.log:
            if sent_s > at_s:
                kept.add(work, sent_s)
        return kept

    def add(self, work: Work, now_s: float) -> None:
        """Add a request with its prompt length and its declared output limit."""
        rank = work.rank
        self.log.append((now_s, work))
        self.requests += 1
        self.prefill_tokens += work.prompt_tokens
        self.decode_tokens += work.max_output_tokens
        self.requests_by_rank[rank] = self.requests_by_rank.get(rank, 0) + 1
        self.prefill_by_rank[rank] = (
            self.prefill_by_rank.get(rank, 0) + work.prompt_tokens
        )
        self.decode_by_rank[rank] = (
            self.decode_by_rank.get(rank, 0) + work.max_output_tokens
        )


@dataclass(slots=True, kw_only=True)
class CachedPrefixes:
    """Track the prefix blocks that an engine is believed to have cached."""

    blocks: set[PrefixBlock] | BlockIndex = field(default_factory=set)
    last_sequence: int = 0
    uncertain: bool = False

    def count_cached(self, prefix: tuple[PrefixBlock, ...]) -> int:
        """Return how many leading blocks of the prefix are cached."""
        if isinstance(self.blocks, BlockIndex):
            return self.blocks.count_leading(prefix)
        for index, block in enumerate(prefix):
            if block not in self.blocks:
                return index
        return len(prefix)


@dataclass(slots=True, kw_only=True)
class UpstreamView:
    """Represent what one process knows of one upstream."""

    upstream: UpstreamId
    kind: ServiceKind
    zone: ZoneName
    region: RegionName
    services: frozenset[ServiceName] = frozenset()
    role: EngineRole = EngineRole.MIXED
    state: UpstreamState = UpstreamState.LIVE
    models: frozenset[ModelName] = frozenset()
    # Empty if the engine does not report versions.
    versions: frozenset[ModelVersion] = frozenset()
    adapters: frozenset[AdapterName] = frozenset()
    block_tokens: int = 1000
    load: EngineLoad = field(default_factory=EngineLoad)
    sent: SentWork = field(default_factory=SentWork)
    cached: CachedPrefixes = field(default_factory=CachedPrefixes)
    # Address from which other engines fetch KV blocks; empty if the engine can't send
    # its KV cache.
    kv_address: str = ""
    kv_bytes_per_token: float = 0.0
    rates: EngineRates = field(default_factory=EngineRates)
