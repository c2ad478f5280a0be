"""Decayed statistics and the bounded tables that hold them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

# A memory of 64 samples follows a change of the mix within about a hundred answers.
MEMORY_SAMPLES: Final = 64.0

K = TypeVar("K")
V = TypeVar("V")


@dataclass(slots=True, kw_only=True)
class Moments:
    """Hold a decayed mean and variance and the weight of their samples."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    @property
    def spread(self) -> float:
        """Return the standard deviation."""
        return float(max(0.0, self.variance) ** 0.5)

    def add(self, value: float) -> None:
        """Take one sample; old samples fade once the memory is full."""
        self.weight = min(self.weight + 1.0, MEMORY_SAMPLES)
        gain = 1.0 / self.weight
        delta = value - self.mean
        self.mean += gain * delta
        self.variance = (1.0 - gain) * (self.variance + gain * delta * delta)

    def blend(self, prior: "Moments", prior_weight: float) -> "Moments":
        """Return the mixture of these samples and a prior of the given weight."""
        total = self.weight + prior_weight
        own = self.weight / total
        gap = self.mean - prior.mean
        return Moments(
            weight=total,
            mean=own * self.mean + (1.0 - own) * prior.mean,
            variance=own * self.variance
            + (1.0 - own) * prior.variance
            + own * (1.0 - own) * gap * gap,
        )


class LowQuantile:
    """Track a low quantile, which contention with other work hardly moves."""

    __slots__ = ("value", "weight")

    def __init__(self) -> None:
        self.value = 0.0
        self.weight = 0.0

    def add(self, value: float, quantile: float, step: float) -> None:
        """Move towards a sample, further for a lower one than for a higher one."""
        self.weight = min(self.weight + 1.0, MEMORY_SAMPLES)
        if self.weight == 1.0:
            self.value = value
        elif value < self.value:
            self.value += step * (1.0 - quantile) * (value - self.value)
        else:
            self.value += step * quantile * min(value - self.value, self.value)


class BoundedTable(Generic[K, V]):
    """Keep the most recently used entries up to a capacity."""

    def __init__(self, capacity: int, make: Callable[[], V]) -> None:
        self._capacity = capacity
        self._make = make
        self._entries: OrderedDict[K, V] = OrderedDict()

    def find(self, key: K) -> V | None:
        """Return the entry of a key without creating one."""
        return self._entries.get(key)

    def touch(self, key: K) -> V:
        """Return the entry of a key, new if missing, and mark it used."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = self._make()
            if len(self._entries) > self._capacity:
                self._entries.popitem(last=False)
        else:
            self._entries.move_to_end(key)
        return entry

    def __len__(self) -> int:
        return len(self._entries)
