"""Statistics that follow recent samples, and bounded tables of them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

# With this weight the statistics follow a change of the workload within about a
# hundred answers.
MAX_SAMPLE_WEIGHT: Final = 64.0

K = TypeVar("K")
V = TypeVar("V")


@dataclass(slots=True, kw_only=True)
class Moments:
    """Track a mean and a variance with exponentially decaying sample weights."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    @property
    def spread(self) -> float:
        """Return the standard deviation."""
        return float(max(0.0, self.variance) ** 0.5)

    def add(self, value: float) -> None:
        """Add a sample; from the maximum weight on, older samples lose weight."""
        self.weight = min(self.weight + 1.0, MAX_SAMPLE_WEIGHT)
        gain = 1.0 / self.weight
        delta = value - self.mean
        self.mean += gain * delta
        self.variance = (1.0 - gain) * (self.variance + gain * delta * delta)

    def blend(self, prior: "Moments", prior_weight: float) -> "Moments":
        """Return the mixture of these samples and a prior of the given weight."""
        total = self.weight + prior_weight
        fraction = self.weight / total
        difference = self.mean - prior.mean
        return Moments(
            weight=total,
            mean=fraction * self.mean + (1.0 - fraction) * prior.mean,
            variance=fraction * self.variance
            + (1.0 - fraction) * prior.variance
            + fraction * (1.0 - fraction) * difference * difference,
        )


class LowQuantile:
    """Track a low quantile, which contention with other work hardly affects."""

    __slots__ = ("value", "weight")

    def __init__(self) -> None:
        self.value = 0.0
        self.weight = 0.0

    def add(self, value: float, quantile: float, step: float) -> None:
        """Move towards a sample, further for a lower one than for a higher one."""
        self.weight = min(self.weight + 1.0, MAX_SAMPLE_WEIGHT)
        if self.weight == 1.0:
            self.value = value
        elif value < self.value:
            self.value += step * (1.0 - quantile) * (value - self.value)
        else:
            self.value += step * quantile * min(value - self.value, self.value)


class BoundedTable(Generic[K, V]):
    """Store the most recently used entries up to a capacity."""

    def __init__(self, capacity: int, factory: Callable[[], V]) -> None:
        self._capacity = capacity
        self._factory = factory
        self._entries: OrderedDict[K, V] = OrderedDict()

    def find(self, key: K) -> V | None:
        """Return the entry of a key, if any, without marking it as used."""
        return self._entries.get(key)

    def get_or_create(self, key: K) -> V:
        """Return the entry of a key, created if missing, and mark it as used."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = self._factory()
            if len(self._entries) > self._capacity:
                self._entries.popitem(last=False)
        else:
            self._entries.move_to_end(key)
        return entry

    def __len__(self) -> int:
        return len(self._entries)
