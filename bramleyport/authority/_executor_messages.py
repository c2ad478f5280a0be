"""Events that an order executor processes and actions that it returns."""

from dataclasses import dataclass

from bramleyport.authority._documents import EngineState, Lease, Order, OrderObject
from bramleyport.authority._lease import Tick


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotified:
    """Report a notification that the order object has changed."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRead:
    """Report the order object, and the lease as read after it."""

    op: int
    object: OrderObject | None
    lease: Lease | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadFailed:
    """Report that a read of the store or the engine failed."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgressWritten:
    """Report that a write of progress took effect."""

    op: int
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgressNotWritten:
    """Report a write that conflicted, failed or is in doubt; a read follows."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """Report that the engine runs no work and accepts none."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderApplied:
    """Report that the engine accepted an order."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """Report that the engine refused an order because of its fencing number."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderInDoubt:
    """Report that the engine may or may not have carried out an order."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotSent:
    """Report that the time to send an order passed before it was sent."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRead:
    """Report the engine's state as read."""

    op: int
    state: EngineState


ExecutorEvent = (
    Tick
    | OrderNotified
    | OrderRead
    | ReadFailed
    | ProgressWritten
    | ProgressNotWritten
    | Drained
    | OrderApplied
    | OrderRefused
    | OrderInDoubt
    | OrderNotSent
    | EngineRead
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadOrder:
    """Read the order object, and then the lease of the pool that its order names."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteProgress:
    """Write the agent's part of the object; version 0 creates the object.

    The controller's part is written back as it was at that version.
    """

    op: int
    object: OrderObject


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainEngine:
    """Refuse new work and report when none runs; report at once if not needed."""

    op: int
    needed: bool


@dataclass(frozen=True, slots=True)
class ResumeEngine:
    """Accept new work again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyOrder:
    """Send an order to the engine, at the latest at `send_before_s`."""

    op: int
    order: Order
    engine_fencing: int
    send_before_s: float
    repair: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadEngine:
    """Read the engine's state."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportProgress:
    """Send the progress of the order to the peers."""

    sequence: int
    state: str


ExecutorAction = (
    ReadOrder
    | WriteProgress
    | DrainEngine
    | ResumeEngine
    | ApplyOrder
    | ReadEngine
    | ReportProgress
)
