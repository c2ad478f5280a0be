"""Interface of role planners, their input and their output."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from bramleyport.core import (
    AdapterName,
    EngineRole,
    Explanation,
    ModelName,
    Registry,
    UpstreamId,
    UpstreamState,
    ZoneName,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCosts:
    """Describe the service-time model of the engines of one pool."""

    step_base_s: float = 0.010
    stream_step_s: float = 0.0003
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 100.0
    max_streams: int = 32
    decode_role_streams: int = 64
    prefill_chunk_tokens: int = 512
    prefill_role_chunk_tokens: int = 2048
    decode_role_chunk_tokens: int = 128
    block_tokens: int = 1000
    role_change_s: float = 8.0
    between_tokens_s: float = 0.057


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolEngine:
    """Describe one engine of a pool as input of a planner."""

    engine: UpstreamId
    zone: ZoneName
    role: EngineRole = EngineRole.MIXED
    state: UpstreamState = UpstreamState.LIVE
    target_role: EngineRole | None = None
    queued_prefill_s: float = 0.0
    running_streams: int = 0
    remaining_decode_s: float = 0.0
    cached_blocks: int = 0
    models: frozenset[ModelName] = frozenset()
    adapters: frozenset[AdapterName] = frozenset()

    @property
    def planned_role(self) -> EngineRole:
        """Return the role that the engine has after any change in progress."""
        return self.target_role or self.role


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandSample:
    """Describe the demand that arrived in one interval, in seconds per second.

    Prefill is counted in engine seconds, decode in stream seconds at the speed
    `EngineCosts.decode_tokens_per_s`. Short work has a target between tokens that is
    shorter than a step with a prefill chunk, and answers too short to compensate for
    such a step; it is counted in engine seconds of both phases.
    """

    at_s: float
    prefill_s_per_s: float
    decode_s_per_s: float
    short_s_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequirement:
    """Describe on how many engines a model or an adapter is to be loaded."""

    model: ModelName
    adapter: AdapterName | None = None
    engines: int = 1
    value_per_s: float = 0.0
    size_bytes: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightStore:
    """Describe the rate of the weight store and when its scheduled loads end."""

    bytes_per_s: float = 1e9
    busy_until_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolState:
    """Describe the engines, demand and requirements from which a plan is made."""

    engines: tuple[PoolEngine, ...]
    demand: tuple[DemandSample, ...] = ()
    costs: EngineCosts = field(default_factory=EngineCosts)
    zone_floors: Mapping[EngineRole, int] = field(
        default_factory=lambda: {EngineRole.PREFILL: 1, EngineRole.DECODE: 1}
    )
    requirements: tuple[ModelRequirement, ...] = ()
    weights: WeightStore = field(default_factory=WeightStore)


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleChange:
    """Describe the change of an engine to another role."""

    engine: UpstreamId
    role: EngineRole
    explanation: Explanation


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelLoad:
    """Describe the load of a model or an adapter on an engine."""

    engine: UpstreamId
    model: ModelName
    adapter: AdapterName | None = None
    start_s: float
    end_s: float
    explanation: Explanation


Change = RoleChange | ModelLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Describe the changes to make now, at most one per engine."""

    changes: tuple[Change, ...] = ()
    explanation: Explanation


class RolePlanner(Protocol):
    """Decide the roles and model loads of the engines of a pool."""

    def plan(self, pool: PoolState, now_s: float) -> Plan:
        """Return the changes to make now."""
        ...


ROLE_PLANNERS: Final[Registry[RolePlanner]] = Registry("role planner")
