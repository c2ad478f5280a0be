"""What a soak has seen."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True)
class Findings:
    """Hold what was seen and which promises were broken."""

    calls: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    def summarize(self) -> str:
        """Return the counts in one line."""
        answered = sum(
            count for name, count in self.calls.items() if name.endswith(" 200")
        )
        return (
            f"{sum(self.calls.values())} calls, {answered} answered 200, "
            f"{sum(self.faults.values())} faults, {len(self.broken)} broken"
        )


class Impairments:
    """Know when something was impaired that excuses missing a bound of time."""

    def __init__(self) -> None:
        self._spans: list[list[float]] = []

    @contextmanager
    def span(self) -> Iterator[None]:
        """Mark the time within the block."""
        span = [time.monotonic(), float("inf")]
        self._spans.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def excuse(self, for_s: float) -> None:
        """Mark the time from now on, also beyond the end of the faults."""
        now_s = time.monotonic()
        self._spans.append([now_s, now_s + for_s])

    def overlap(self, start_s: float, end_s: float) -> bool:
        """Return whether anything was impaired between two times."""
        return any(
            begin_s < end_s and until_s > start_s for begin_s, until_s in self._spans
        )
