"""What an order guard is told and what it asks for."""

from dataclasses import dataclass

from bramleyport.authority._lease import Tick
from bramleyport.authority._types import EngineState, Lease, Order, OrderObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Noticed:
    """Report a notice that the order object has changed."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRead:
    """Report the order object, and the lease as read after it."""

    op: int
    object: OrderObject | None
    lease: Lease | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadFailed:
    """Report a read of the store or the engine that failed."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgressWritten:
    """Report that a write of progress took effect."""

    op: int
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgressNotWritten:
    """Report a write that conflicted, failed or is in doubt: it is read back."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """Report that no work runs on the engine and none will start."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderApplied:
    """Report that the engine answered an order."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """Report that the engine refused an order for its fencing number."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderBroken:
    """Report that the engine may or may not have carried out an order."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderNotSent:
    """Report that the time to send an order passed before it was sent."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSeen:
    """Report the engine's state as read back."""

    op: int
    state: EngineState


GuardEvent = (
    Tick
    | Noticed
    | OrderRead
    | ReadFailed
    | ProgressWritten
    | ProgressNotWritten
    | Drained
    | OrderApplied
    | OrderRefused
    | OrderBroken
    | OrderNotSent
    | EngineSeen
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadOrder:
    """Read the order object, and after it the lease that its order names."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteProgress:
    """Write the agent's part; version 0 creates the object.

    The controller's part is written back as it was at that version.
    """

    op: int
    object: OrderObject


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainEngine:
    """Refuse new work and report when no work runs; at once if not needed."""

    op: int
    needed: bool


@dataclass(frozen=True, slots=True)
class ResumeEngine:
    """Take new work again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyOrder:
    """Send an order to the engine, but not after `send_before_s`."""

    op: int
    order: Order
    engine_fencing: int
    send_before_s: float
    repair: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadEngine:
    """Read the engine's state back."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportProgress:
    """Tell peers how far the order has come."""

    sequence: int
    state: str


GuardAction = (
    ReadOrder
    | WriteProgress
    | DrainEngine
    | ResumeEngine
    | ApplyOrder
    | ReadEngine
    | ReportProgress
)
