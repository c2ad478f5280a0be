"""Compute sets that many traits share once, and keep one object for all of them."""

from bramleyport.fleet._traits import TraitId

Traits = frozenset[TraitId]


class SharedSets:
    """Intersect and subtract sets of traits; equal operands give the same object.

    A call with a thousand parts accuses each of them, all with the same companions.
    """

    def __init__(self) -> None:
        # By the identities of both operands, which are kept alive beside the result.
        self._intersections: dict[tuple[int, int], tuple[Traits, Traits, Traits]] = {}
        self._differences: dict[tuple[int, int], tuple[Traits, Traits, Traits]] = {}

    def intersect(self, first: Traits, second: Traits) -> Traits:
        """Return what both sets have."""
        if first is second:
            return first
        key = (id(first), id(second))
        found = self._intersections.get(key)
        if found is None:
            result = first if first <= second else first & second
            found = self._intersections[key] = (first, second, result)
        return found[2]

    def subtract(self, first: Traits, second: Traits) -> Traits:
        """Return what the first set has and the second has not."""
        key = (id(first), id(second))
        found = self._differences.get(key)
        if found is None:
            result = first if first.isdisjoint(second) else first - second
            found = self._differences[key] = (first, second, result)
        return found[2]
