"""Requests as seen by policies."""

from dataclasses import dataclass

from bramleyport.core._ids import (
    AccountId,
    AdapterName,
    ModelName,
    ModelVersion,
    PrefixBlock,
    RequestId,
    ServiceName,
)
from bramleyport.core._states import Rank, ServiceKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Targets:
    """Describe the latency targets, price and share of one rank of one service."""

    first_token_s: float
    between_tokens_s: float
    answer_s: float
    price_per_million_tokens: float = 0.0
    guaranteed_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """Describe one request to policies."""

    request: RequestId
    account: AccountId
    service: ServiceName
    kind: ServiceKind
    rank: Rank
    targets: Targets
    arrived_s: float
    idempotent: bool = True
    model: ModelName = ModelName("")
    version: ModelVersion = ModelVersion("")
    adapter: AdapterName | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_blocks: tuple[PrefixBlock, ...] = ()

    @property
    def first_token_deadline_s(self) -> float:
        """Return the clock time by which the first token is due."""
        return self.arrived_s + self.targets.first_token_s

    @property
    def answer_deadline_s(self) -> float:
        """Return the clock time by which the complete answer is due."""
        return self.arrived_s + self.targets.answer_s
