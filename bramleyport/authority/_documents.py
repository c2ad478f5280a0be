"""Lease and order documents that the object API stores."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from cattrs import BaseValidationError
from result import Err, Ok, Result

from bramleyport.core import (
    EngineRole,
    Explanation,
    FencingNumber,
    PoolName,
    RegionName,
    UpstreamId,
    make_strict_converter,
)

# An engine compares a single number. Its high part is the order's sequence, which rises
# with the lease's fencing number and also within one lease, so the engine also refuses
# a call that arrives after the next order. Its low part is the incarnation, so the
# engine refuses a replaced agent.
INCARNATION_LIMIT: Final = 1_000_000
# The number that an engine compares then fits into 64 bits.
MAX_NUMBER: Final = 2**43
# Characters of the reason for which a document is refused that are logged.
MAX_REASON_CHARS: Final = 200


class Progress(str, Enum):
    """Describe how far an agent has carried out an order."""

    PENDING = "pending"
    BEGUN = "begun"
    DONE = "done"
    FAILED = "failed"
    DROPPED = "dropped"


# The reason that an agent records when its engine has seen a higher number.
FENCING_REFUSED: Final = "engine refused an old fencing number"
SETTLED: Final = frozenset({Progress.DONE, Progress.FAILED, Progress.DROPPED})


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """Describe the lease of one pool in one region."""

    holder: str
    fencing: FencingNumber
    token: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineChange:
    """Describe what an order changes at its engine."""

    role: EngineRole | None = None
    load: tuple[str, ...] = ()
    unload: tuple[str, ...] = ()
    # Why the planner requests the change. It is not compared: a plan that differs only
    # in the numbers of its explanation must not repeat the order.
    explanation: Explanation | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """Describe an engine's state as read from the engine."""

    role: EngineRole
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()

    def satisfies(self, change: EngineChange) -> bool:
        """Return whether the engine is in the state that a change requests."""
        loaded = self.models | self.adapters
        if change.role is not None and change.role is not self.role:
            return False
        return loaded.issuperset(change.load) and loaded.isdisjoint(change.unload)


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Describe the controller's part of an order object."""

    sequence: int = 0
    fencing: FencingNumber = FencingNumber(0)
    # The fencing number of the last holder that sealed the object, whether or not it
    # wrote an order.
    sealed: FencingNumber = FencingNumber(0)
    pool: PoolName = PoolName("")
    change: EngineChange = field(default_factory=EngineChange)
    token: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentProgress:
    """Describe the agent's part of an order object."""

    agent: str = ""
    incarnation: int = 0
    sequence: int = 0
    state: Progress = Progress.PENDING
    reason: str = ""
    engine: EngineState | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderObject:
    """Represent one engine's order object at one version."""

    upstream: UpstreamId
    version: int
    order: Order
    progress: AgentProgress

    @property
    def state(self) -> Progress:
        """Return the progress of the current order."""
        if self.order.sequence == 0:
            return Progress.DONE
        if self.progress.sequence < self.order.sequence:
            return Progress.PENDING
        return self.progress.state


_converter = make_strict_converter()


def name_lease(pool: PoolName, region: RegionName) -> str:
    """Return the name of a pool's lease object."""
    return f"{pool}.{region}"


def make_engine_fencing(sequence: int, incarnation: int) -> int:
    """Return the number that an engine compares."""
    return sequence * INCARNATION_LIMIT + incarnation


def read_lease(spec: Mapping[str, object]) -> Result[Lease, str]:
    """Build a lease from its stored document."""
    try:
        lease = _converter.structure(spec, Lease)
        _check_numbers(lease.fencing)
    except (BaseValidationError, TypeError, ValueError) as error:
        return Err(repr(error)[:MAX_REASON_CHARS])
    return Ok(lease)


def write_lease(lease: Lease) -> dict[str, object]:
    """Return the document that stores a lease."""
    document: dict[str, object] = _converter.unstructure(lease)
    return document


def read_order(
    upstream: UpstreamId,
    version: int,
    spec: Mapping[str, object],
    status: Mapping[str, object],
) -> Result[OrderObject, str]:
    """Build an order object from its stored documents."""
    try:
        order = _converter.structure(spec, Order)
        progress = _converter.structure(status, AgentProgress)
        _check_numbers(order.sequence, order.fencing, order.sealed)
        _check_numbers(progress.sequence, progress.incarnation)
    except (BaseValidationError, TypeError, ValueError) as error:
        return Err(repr(error)[:MAX_REASON_CHARS])
    return Ok(
        OrderObject(upstream=upstream, version=version, order=order, progress=progress)
    )


def _check_numbers(*numbers: int) -> None:
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise ValueError(f"not a number from 0 to {MAX_NUMBER}")


def write_order(order: Order) -> dict[str, object]:
    """Return the document that stores the controller's part."""
    document: dict[str, object] = _converter.unstructure(order)
    return document


def write_progress(progress: AgentProgress) -> dict[str, object]:
    """Return the document that stores the agent's part."""
    plain: dict[str, object] = _converter.unstructure(progress)
    if progress.engine is not None:
        plain["engine"] = {
            "role": progress.engine.role.value,
            "models": sorted(progress.engine.models),
            "adapters": sorted(progress.engine.adapters),
        }
    return plain
