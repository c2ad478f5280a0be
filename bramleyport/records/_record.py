"""Service records in the form that the system works with."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import (
    AdapterName,
    ModelName,
    ModelVersion,
    Rank,
    ServiceKind,
    ServiceName,
    Targets,
)

FIRST_TOKEN_FRACTION: Final = 0.25  # of the whole wait, where a record names none
BETWEEN_TOKENS_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """Name the model of a service with its versions and adapters."""

    name: ModelName
    versions: tuple[ModelVersion, ...] = ()
    adapters: tuple[AdapterName, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainSpec:
    """State which calls of a plain service may be repeated."""

    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    allow_unkeyed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RankSpec:
    """Hold the price and waits of one rank as a record states them."""

    answer_s: float
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    price_per_million_tokens: float = 0.0
    guaranteed_share: float = 0.0

    def to_targets(self) -> Targets:
        """Return the targets with defaults in the place of absent waits."""
        first_token_s = self.first_token_s
        if first_token_s is None:
            first_token_s = self.answer_s * FIRST_TOKEN_FRACTION
        between_tokens_s = self.between_tokens_s
        if between_tokens_s is None:
            between_tokens_s = BETWEEN_TOKENS_S
        return Targets(
            first_token_s=first_token_s,
            between_tokens_s=between_tokens_s,
            answer_s=self.answer_s,
            price_per_million_tokens=self.price_per_million_tokens,
            guaranteed_share=self.guaranteed_share,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordSpec:
    """Hold the fields of a record document in its newest schema version."""

    name: ServiceName
    ranks: Mapping[Rank, RankSpec]
    schema: str = "v2"
    model: ModelSpec | None = None
    plain: PlainSpec | None = None
    upstreams: Mapping[str, str] = field(default_factory=dict)
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """Hold one valid service record."""

    name: ServiceName
    ranks: Mapping[Rank, Targets]
    model: ModelSpec | None = None
    plain: PlainSpec | None = None
    upstreams: Mapping[str, str] = field(default_factory=dict)
    checks_fencing: bool = False

    @property
    def kind(self) -> ServiceKind:
        """Return whether a model or a plain service stands behind the record."""
        return ServiceKind.LANGUAGE if self.model else ServiceKind.PLAIN
