"""State that the calls and gateways of a simulation share."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bramleyport.bench._gateways_engine import ModelledEngine
from bramleyport.bench._gateways_view import UpdateNetwork
from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import ServiceName, UpstreamId
from bramleyport.fleet import EngineTraits, Route

SERVICE: Final = ServiceName("language")


@dataclass(slots=True)
class Outcome:
    """Count the outcomes of the calls of one kind."""

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0
    first_s: list[float] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class SimulationState:
    """Represent the engines, the gateways and the outcomes of a run."""

    clock: VirtualClock
    random: Random
    numbers: Iterator[int]
    network: UpdateNetwork
    traits: EngineTraits
    engines: dict[UpstreamId, ModelledEngine]
    routes: dict[str, Route]
    outcomes: dict[str, Outcome]
    transferred_tokens: int = 0
