"""Keep values by trait, in order and bounded, and find those of a call."""

from collections import Counter, OrderedDict
from collections.abc import ItemsView, Iterator, ValuesView
from typing import Generic, TypeVar

from bramleyport.fleet._traits import (
    CallTraits,
    RequestHead,
    TraitId,
    read_request_head,
)

V = TypeVar("V")


class TraitTable(Generic[V]):
    """Map traits to values; the one that was set longest ago is dropped first."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._values: OrderedDict[TraitId, V] = OrderedDict()
        # Heads of the requests in the table: most calls match none of them, so that
        # their bodies need no digest.
        self._heads: Counter[RequestHead] = Counter()

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, trait: TraitId) -> bool:
        return trait in self._values

    def __getitem__(self, trait: TraitId) -> V:
        return self._values[trait]

    def __iter__(self) -> Iterator[TraitId]:
        return iter(self._values)

    def get(self, trait: TraitId) -> V | None:
        """Return the value of a trait, or None."""
        return self._values.get(trait)

    def items(self) -> ItemsView[TraitId, V]:
        """Return all traits and values."""
        return self._values.items()

    def values(self) -> ValuesView[V]:
        """Return all values."""
        return self._values.values()

    def put(self, trait: TraitId, value: V, *, renew: bool = False) -> None:
        """Set the value of a trait, as the newest one if it is new or renewed."""
        head = read_request_head(trait)
        if trait not in self._values and head is not None:
            self._heads[head] += 1
        self._values[trait] = value
        if renew:
            self._values.move_to_end(trait)
        while len(self._values) > self._most:
            self.pop(next(iter(self._values)))

    def pop(self, trait: TraitId) -> V | None:
        """Remove a trait and return its value, or None if it has none."""
        value = self._values.pop(trait, None)
        head = read_request_head(trait)
        if value is not None and head is not None:
            self._heads[head] -= 1
            if not self._heads[head]:
                del self._heads[head]
        return value

    def list_of(self, traits: CallTraits) -> list[TraitId]:
        """Return those traits of a call that are in the table."""
        if not self._values:
            return []
        found = [part for part in traits.parts if part in self._values]
        identity = traits.identity
        if (
            identity is not None
            and identity.head in self._heads
            and identity.trait in self._values
        ):
            found.append(identity.trait)
        return found
