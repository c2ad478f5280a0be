"""Interface of queue policies and their decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from bramleyport.core import AttemptId, Explanation, Rank, Registry, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedWork:
    """Describe one attempt offered to the agent's queue."""

    attempt: AttemptId
    work: Work
    deadline_s: float
    prefill_s: float = 0.0
    decode_s: float = 0.0
    spread_s: float = 0.0
    # Set by the queue when it returns the attempt to start it.
    explanation: Explanation | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Queued:
    """Describe the decision to queue an attempt."""

    explanation: Explanation


@dataclass(frozen=True, slots=True)
class Refused:
    """Describe the decision to refuse an attempt before it runs."""

    explanation: Explanation
    retry_after_s: float


class QueuePolicy(Protocol):
    """Decide which attempts an upstream starts, and when."""

    def offer(self, item: QueuedWork, now_s: float) -> Queued | Refused:
        """Queue or refuse an attempt."""
        ...

    def take(self, now_s: float, free_slots: int) -> list[QueuedWork]:
        """Remove and return the attempts to start now."""
        ...

    def expire(self, now_s: float) -> list[QueuedWork]:
        """Remove and return the attempts that can no longer meet their deadline."""
        ...

    def finish(self, attempt: AttemptId, now_s: float) -> None:
        """Remove a running attempt that has ended."""
        ...

    def cancel(self, attempt: AttemptId) -> bool:
        """Remove a queued attempt and return whether it was queued."""
        ...

    def observe_interval(self, interval_s: float, now_s: float) -> None:
        """Record the time between two tokens of one running attempt."""
        ...

    def forecast_wait(self, now_s: float) -> Mapping[Rank, float]:
        """Return the seconds that new work of each rank would wait."""
        ...

    def __len__(self) -> int: ...


QUEUE_POLICIES: Final[Registry[QueuePolicy]] = Registry("queue policy")
