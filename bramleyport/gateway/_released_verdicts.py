"""Remember released verdicts, so that no copy of the store brings them back."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import StoreEra
from bramleyport.fleet import TraitId
from bramleyport.platform import VerdictDocument

# A store is restored from a copy that is some seconds old.
RELEASE_KEEP_S: Final = 60.0
MAX_RELEASED: Final = 1_024


@dataclass(frozen=True, slots=True)
class _Release:
    document: VerdictDocument
    era: StoreEra
    released_s: float


class ReleasedVerdicts:
    """Track the verdicts that were released lately, in the order of their release."""

    def __init__(self) -> None:
        self._releases: dict[TraitId, _Release] = {}

    def record(self, document: VerdictDocument, era: StoreEra, now_s: float) -> None:
        """Record that a verdict was released in an era of the store."""
        trait = document.verdict.trait
        self._releases.pop(trait, None)
        self._releases[trait] = _Release(document, era, now_s)
        while len(self._releases) > MAX_RELEASED:
            del self._releases[next(iter(self._releases))]

    def is_recent(self, trait: TraitId, now_s: float) -> bool:
        """Return whether the verdict on a trait was released lately."""
        release = self._releases.get(trait)
        return release is not None and now_s - release.released_s <= RELEASE_KEEP_S

    def is_copy(self, document: VerdictDocument, era: StoreEra, now_s: float) -> bool:
        """Return whether a stored verdict was released after its copy was made.

        One that counts further crashes or trials was written after its release.
        """
        trait = document.verdict.trait
        if not self.is_recent(trait, now_s):
            return False
        release = self._releases[trait]
        released = release.document
        return (
            era > release.era
            and document.verdict.crashes <= released.verdict.crashes
            and document.trials <= released.trials
        )
