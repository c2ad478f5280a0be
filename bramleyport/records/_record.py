"""Service records as the system uses them."""

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

DEFAULT_FIRST_TOKEN_FRACTION: Final = 0.25  # of answer_s
DEFAULT_BETWEEN_TOKENS_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """Describe the model of a service, its versions and adapters."""

    name: ModelName
    versions: tuple[ModelVersion, ...] = ()
    adapters: tuple[AdapterName, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainSpec:
    """Describe which calls of a plain service may be repeated."""

    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    allow_unkeyed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RankSpec:
    """Describe the price and time limits of one rank as given in a record."""

    answer_s: float
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    price_per_million_tokens: float = 0.0
    guaranteed_share: float = 0.0

    def to_targets(self) -> Targets:
        """Return the targets, with defaults for omitted time limits."""
        first_token_s = self.first_token_s
        if first_token_s is None:
            first_token_s = self.answer_s * DEFAULT_FIRST_TOKEN_FRACTION
        between_tokens_s = self.between_tokens_s
        if between_tokens_s is None:
            between_tokens_s = DEFAULT_BETWEEN_TOKENS_S
        return Targets(
            first_token_s=first_token_s,
            between_tokens_s=between_tokens_s,
            answer_s=self.answer_s,
            price_per_million_tokens=self.price_per_million_tokens,
            guaranteed_share=self.guaranteed_share,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordSpec:
    """Describe the fields of a record document of the newest schema version."""

    name: ServiceName
    ranks: Mapping[Rank, RankSpec]
    schema: str = "v2"
    model: ModelSpec | None = None
    plain: PlainSpec | None = None
    upstreams: Mapping[str, str] = field(default_factory=dict)
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """Describe one valid service record."""

    name: ServiceName
    ranks: Mapping[Rank, Targets]
    model: ModelSpec | None = None
    plain: PlainSpec | None = None
    upstreams: Mapping[str, str] = field(default_factory=dict)
    checks_fencing: bool = False

    @property
    def kind(self) -> ServiceKind:
        """Return whether the service is a language model or a plain service."""
        return ServiceKind.LANGUAGE if self.model else ServiceKind.PLAIN
