"""Remember when calls with a trait were last answered."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from bramleyport.fleet._traits import TraitId, is_request

# Bounds of the memory for any number of different traits. A prompt may have thousands
# of parts, and all of them are known to be harmless only as long as none is forgotten.
MAX_PARTS: Final = 65_536
MAX_REQUESTS: Final = 8192
# Time for which an answer counts against late reports and verdicts on a request.
ANSWERED_REQUEST_KEEP_S: Final = 60.0


class AnsweredTraits:
    """Track answered traits; of requests, only those that were accused lately.

    An answer speaks for a part until it is forgotten, for a request until the next
    crash accuses it.
    """

    def __init__(self) -> None:
        # The trait that was not used for the longest time first.
        self._parts: OrderedDict[TraitId, float] = OrderedDict()
        self._requests: OrderedDict[TraitId, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts) + len(self._requests)

    def __contains__(self, trait: TraitId) -> bool:
        return trait in self._select(trait)

    def find(self, trait: TraitId) -> float:
        """Return when a call with a trait was last answered; -inf if unknown."""
        return self._select(trait).get(trait, -math.inf)

    def is_unproven(self, trait: TraitId) -> bool:
        """Return whether no earlier answer speaks for a trait."""
        return is_request(trait) or trait not in self._parts

    def select_unproven(self, traits: Iterable[TraitId]) -> frozenset[TraitId]:
        """Return those traits for which no earlier answer speaks."""
        return frozenset(trait for trait in traits if self.is_unproven(trait))

    def record(self, trait: TraitId, answered_s: float) -> None:
        """Record that a call with a trait was answered."""
        table = self._select(trait)
        table[trait] = max(self.find(trait), answered_s)
        table.move_to_end(trait)
        if len(table) > (MAX_REQUESTS if is_request(trait) else MAX_PARTS):
            table.popitem(last=False)

    def record_parts(self, parts: Iterable[TraitId], answered_s: float) -> None:
        """Record that a call with some parts was answered."""
        known = self._parts
        for part in parts:
            # The newest one is last.
            known[part] = max(answered_s, known.pop(part, answered_s))
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def record_accused(self, trait: TraitId) -> None:
        """Record that a trait was accused after it was answered."""
        self._requests.pop(trait, None)

    def drop_old(self, now_s: float) -> None:
        """Drop the answers that count no more."""
        while self._requests:
            trait, answered_s = next(iter(self._requests.items()))
            if now_s - answered_s <= ANSWERED_REQUEST_KEEP_S:
                return
            del self._requests[trait]

    def _select(self, trait: TraitId) -> OrderedDict[TraitId, float]:
        return self._requests if is_request(trait) else self._parts
