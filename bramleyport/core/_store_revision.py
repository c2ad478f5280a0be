"""Name a state of the platform's store."""

from dataclasses import dataclass

from bramleyport.core._ids import Revision, StoreEra


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """Represent a revision together with the era in which the store gave it out.

    A store that is restored from a copy begins a new era and gives out the revisions
    after that of the copy once more, so a number alone names no state. Every revision
    of a later era is newer than those of earlier ones.
    """

    era: StoreEra
    number: Revision

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"
