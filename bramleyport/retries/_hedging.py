"""Hedging of slow idempotent work by a second attempt within the retry budget."""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import Final, Protocol

from bramleyport.core import Explanation, Rank, Registry, ServiceName, Work
from bramleyport.retries._retry_budget import RetryBudget

WINDOW_SAMPLES: Final = 200
MIN_SAMPLES: Final = 50
MAX_GROUPS: Final = 512
DELAY_QUANTILE: Final = 0.95
# A second attempt takes about the median latency again, so it pays only if the latency
# at DELAY_QUANTILE is well above twice the median.
MIN_SPREAD_RATIO: Final = 3.0


@dataclass(slots=True)
class LatencyWindow:
    """Track the latest latencies in order of age and of size."""

    recent: deque[float] = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)

    def add(self, latency_s: float) -> None:
        """Add a latency and drop the oldest if the window is full."""
        self.recent.append(latency_s)
        insort(self.ordered, latency_s)
        if len(self.recent) > WINDOW_SAMPLES:
            self.ordered.remove(self.recent.popleft())

    def quantile(self, fraction: float) -> float:
        """Return the latency that the given fraction does not exceed."""
        return self.ordered[int(fraction * (len(self.ordered) - 1))]


@dataclass(frozen=True, slots=True)
class HedgePlan:
    """Describe the delay after which a second attempt may start."""

    delay_s: float
    explanation: Explanation


class HedgePolicy(Protocol):
    """Decide whether and when a second attempt starts in parallel to the first."""

    def plan(self, work: Work, now_s: float) -> HedgePlan | None:
        """Return when to hedge the work, or None not to hedge it."""
        ...

    def take(self, now_s: float) -> bool:
        """Take a hedge from the retry budget; return whether the budget allows it."""
        ...

    def observe_first_chunk(self, work: Work, latency_s: float) -> None:
        """Record the time from sending an attempt to its first chunk."""
        ...


HEDGE_POLICIES: Final[Registry[HedgePolicy]] = Registry("hedge policy")


@HEDGE_POLICIES.register("none")
class NoHedging:
    """Represent the baseline policy, which never hedges."""

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self._budget = budget

    def plan(self, work: Work, now_s: float) -> HedgePlan | None:
        """Return None."""
        return None

    def take(self, now_s: float) -> bool:
        """Return False."""
        return False

    def observe_first_chunk(self, work: Work, latency_s: float) -> None:
        """Ignore the latency."""


@HEDGE_POLICIES.register("spread")
class SpreadHedging:
    """Decide to hedge if high quantiles of latency are far above the median."""

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self._budget = budget or RetryBudget()
        self._windows: dict[tuple[ServiceName, Rank, int], LatencyWindow] = {}

    def plan(self, work: Work, now_s: float) -> HedgePlan | None:
        """Return when to hedge the work, or None not to hedge it."""
        # Batch work is meant to wait; a second attempt would only wait, too.
        if not work.idempotent or work.rank is Rank.BATCH:
            return None
        window = self._windows.get(_make_group_key(work))
        if window is None or len(window.ordered) < MIN_SAMPLES:
            return None
        median_s = window.quantile(0.5)
        delay_s = window.quantile(DELAY_QUANTILE)
        if delay_s < MIN_SPREAD_RATIO * median_s:
            return None
        if now_s + delay_s + median_s >= work.answer_deadline_s:
            return None
        numbers = {"median_s": round(median_s, 4), "delay_s": round(delay_s, 4)}
        return HedgePlan(delay_s, Explanation(reason="spread_pays", numbers=numbers))

    def take(self, now_s: float) -> bool:
        """Take a hedge from the retry budget; return whether the budget allows it."""
        return self._budget.take(now_s)

    def observe_first_chunk(self, work: Work, latency_s: float) -> None:
        """Record the time from sending an attempt to its first chunk."""
        group = _make_group_key(work)
        if group not in self._windows and len(self._windows) >= MAX_GROUPS:
            self._windows.pop(next(iter(self._windows)))
        self._windows.setdefault(group, LatencyWindow()).add(latency_s)


def _make_group_key(work: Work) -> tuple[ServiceName, Rank, int]:
    # Long prompts are slow by themselves, so prompts are grouped by powers of four.
    return work.service, work.rank, work.prompt_tokens.bit_length() // 2
