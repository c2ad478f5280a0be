"""Interface of the agent's queue and its decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from bramleyport.core import AttemptId, Explanation, Rank, Registry, Work


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedWork:
    """Hold one attempt in the agent's queue."""

    attempt: AttemptId
    work: Work
    deadline_s: float
    prefill_s: float = 0.0
    decode_s: float = 0.0
    spread_s: float = 0.0
    # Set by the queue when it hands the attempt out.
    explanation: Explanation | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Queued:
    """Accept an attempt into the queue."""

    explanation: Explanation


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse an attempt before it runs."""

    explanation: Explanation
    retry_after_s: float


class QueuePolicy(Protocol):
    """Order the work of one upstream."""

    def offer(self, item: QueuedWork, now_s: float) -> Queued | Refused:
        """Queue or refuse an attempt."""
        ...

    def take(self, now_s: float, free_slots: int) -> list[QueuedWork]:
        """Remove and return the attempts to start now."""
        ...

    def expire(self, now_s: float) -> list[QueuedWork]:
        """Remove and return the attempts that can't meet their deadline."""
        ...

    def finish(self, attempt: AttemptId, now_s: float) -> None:
        """Forget a running attempt that has ended."""
        ...

    def cancel(self, attempt: AttemptId) -> bool:
        """Remove a queued attempt and return whether it was queued."""
        ...

    def observe_interval(self, interval_s: float, now_s: float) -> None:
        """Take the time between two tokens of one running attempt."""
        ...

    def forecast_wait(self, now_s: float) -> Mapping[Rank, float]:
        """Return the seconds that new work of each rank would wait."""
        ...

    def __len__(self) -> int: ...


QUEUE_POLICIES: Final[Registry[QueuePolicy]] = Registry("queue policy")
