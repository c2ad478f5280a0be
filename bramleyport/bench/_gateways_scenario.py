"""Scenarios of the gateway benchmark: engines, gateways and load."""

from dataclasses import dataclass, replace
from typing import Final


@dataclass(frozen=True, slots=True, kw_only=True)
class CallMix:
    """Describe one kind of call and how often it arrives."""

    name: str
    # 0 is the most urgent.
    priority: int
    per_s: float
    # A prompt is a prefix shared by the calls of a session, and a part of its own.
    sessions: int
    shared_tokens: int
    own_tokens: int
    tokens_out: int
    objective_s: float
    timeout_s: float
    # Value of an answer in time, and of a late one.
    value: float
    late_value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineModel:
    """Describe the capacity and the speed of one engine."""

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float
    step_s: float
    prefill_tokens_per_s: float
    chunk_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Surge:
    """Describe a period in which one kind of call arrives more often."""

    mix: str
    start_s: float
    end_s: float
    factor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLimits:
    """Describe engines that name a rate limit from a point in time."""

    from_s: float
    # Requests a second that each of them takes.
    rate: float
    # How many of the engines of each stage name it.
    decoders: int
    prefill_engines: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayScenario:
    """Describe the fleet and the load of one run."""

    name: str
    gateways: int
    engines: int
    zones: int
    # Fraction of the engines that decode; the others only prefill.
    decode_fraction: float
    duration_s: float
    engine: EngineModel
    mixes: tuple[CallMix, ...]
    surges: tuple[Surge, ...] = ()
    # Number of engines that fail after a third of the run.
    lost_engines: int = 0
    limits: EngineLimits | None = None
    # Whether the stages of the engines are changed as the load requires.
    plans_stages: bool = False

    def with_gateways(self, gateways: int) -> "GatewayScenario":
        """Return the scenario with another number of gateways."""
        return replace(self, gateways=gateways)


WIDE_ENGINE: Final = EngineModel(
    slots=64,
    kv_capacity_tokens=500_000,
    kv_token_bytes=163_840.0,
    link_bytes_per_s=2.25e11,
    step_s=0.003,
    prefill_tokens_per_s=62_000.0,
    chunk_tokens=1024,
)
FAST_ENGINE: Final = EngineModel(
    slots=12,
    kv_capacity_tokens=1_000_000,
    kv_token_bytes=163_840.0,
    link_bytes_per_s=5.75e11,
    step_s=0.00065,
    prefill_tokens_per_s=400_000.0,
    chunk_tokens=1024,
)
NARROW_ENGINE: Final = replace(WIDE_ENGINE, step_s=0.005, prefill_tokens_per_s=50_000.0)
LONG_PROMPTS: Final = (
    CallMix(
        name="summary",
        priority=0,
        per_s=36.0,
        sessions=800,
        shared_tokens=13_000,
        own_tokens=3_700,
        tokens_out=10,
        objective_s=0.53,
        timeout_s=5.3,
        value=3.8,
        late_value=0.45,
    ),
    CallMix(
        name="check",
        priority=1,
        per_s=28.0,
        sessions=280,
        shared_tokens=6_300,
        own_tokens=2_900,
        tokens_out=4,
        objective_s=1.0,
        timeout_s=3.0,
        value=2.1,
        late_value=0.62,
    ),
    CallMix(
        name="query",
        priority=2,
        per_s=66.0,
        sessions=1000,
        shared_tokens=350,
        own_tokens=1_100,
        tokens_out=14,
        objective_s=2.0,
        timeout_s=5.0,
        value=0.52,
        late_value=0.24,
    ),
)
LONG_ANSWERS: Final = (
    CallMix(
        name="summary",
        priority=0,
        per_s=10.0,
        sessions=80,
        shared_tokens=13_000,
        own_tokens=3_700,
        tokens_out=120,
        objective_s=0.5,
        timeout_s=6.0,
        value=3.6,
        late_value=0.43,
    ),
    CallMix(
        name="note",
        priority=1,
        per_s=7.5,
        sessions=60,
        shared_tokens=6_300,
        own_tokens=2_900,
        tokens_out=50,
        objective_s=1.0,
        timeout_s=4.0,
        value=2.1,
        late_value=0.62,
    ),
    CallMix(
        name="query",
        priority=2,
        per_s=15.0,
        sessions=120,
        shared_tokens=350,
        own_tokens=1_100,
        tokens_out=170,
        objective_s=2.0,
        timeout_s=8.0,
        value=0.61,
        late_value=0.27,
    ),
)
HELD_SLOTS: Final = (
    CallMix(
        name="note",
        priority=0,
        per_s=7.5,
        sessions=400,
        shared_tokens=80,
        own_tokens=140,
        tokens_out=72,
        objective_s=0.25,
        timeout_s=15.0,
        value=21.0,
        late_value=6.3,
    ),
    CallMix(
        name="classify",
        priority=1,
        per_s=250.0,
        sessions=900,
        shared_tokens=6_300,
        own_tokens=2_900,
        tokens_out=2,
        objective_s=0.23,
        timeout_s=2.3,
        value=2.4,
        late_value=0.73,
    ),
)
_LONG: Final = GatewayScenario(
    name="long-prompts",
    gateways=68,
    engines=39,
    zones=5,
    decode_fraction=1 / 3,
    duration_s=20.0,
    engine=WIDE_ENGINE,
    mixes=LONG_PROMPTS,
)
_HELD: Final = GatewayScenario(
    name="held-slots",
    gateways=21,
    engines=20,
    zones=3,
    decode_fraction=1 / 3,
    duration_s=20.0,
    engine=FAST_ENGINE,
    mixes=HELD_SLOTS,
)
_SMALL: Final = GatewayScenario(
    name="small-fleet",
    gateways=5,
    engines=9,
    zones=3,
    decode_fraction=1 / 3,
    duration_s=40.0,
    engine=NARROW_ENGINE,
    mixes=LONG_ANSWERS,
    plans_stages=True,
)
GATEWAY_SCENARIOS: Final = {
    item.name: item
    for item in (
        _LONG,
        replace(
            _LONG,
            name="long-prompts-flood",
            surges=(
                Surge(mix="check", start_s=4.0, end_s=10.0, factor=4.0),
                Surge(mix="query", start_s=4.0, end_s=10.0, factor=6.0),
            ),
        ),
        replace(_LONG, name="long-prompts-loss", lost_engines=13),
        _SMALL,
        replace(
            _SMALL,
            name="small-fleet-limits",
            limits=EngineLimits(from_s=6.0, rate=2.7, decoders=2),
        ),
        replace(
            _SMALL,
            name="small-fleet-decoder-limits",
            limits=EngineLimits(from_s=6.0, rate=2.7, decoders=3),
        ),
        replace(
            _SMALL,
            name="small-fleet-all-limited",
            limits=EngineLimits(from_s=6.0, rate=2.7, decoders=3, prefill_engines=6),
        ),
        _HELD,
        replace(
            _HELD,
            name="held-slots-flood",
            surges=(Surge(mix="classify", start_s=4.0, end_s=10.0, factor=4.0),),
        ),
    )
}
