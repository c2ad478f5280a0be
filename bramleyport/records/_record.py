"""Service records in the form that the system works with."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bramleyport.core import (
    AdapterName,
    ModelName,
    ModelVersion,
    Rank,
    ServiceKind,
    ServiceName,
    Targets,
)


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
