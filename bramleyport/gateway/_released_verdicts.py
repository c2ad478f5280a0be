"""Remember released verdicts, so that no copy of the store brings them back."""

from dataclasses import dataclass
from typing import Final

from bramleyport.core import StoreEra
from bramleyport.fleet import PrefixId
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
        self._releases: dict[PrefixId, _Release] = {}

    def record(self, document: VerdictDocument, era: StoreEra, now_s: float) -> None:
        """Record that a verdict was released in an era of the store."""
        part = document.verdict.part
        self._releases.pop(part, None)
        self._releases[part] = _Release(document, era, now_s)
        while len(self._releases) > MAX_RELEASED:
            del self._releases[next(iter(self._releases))]

    def is_recent(self, part: PrefixId, now_s: float) -> bool:
        """Return whether the verdict on a part was released lately."""
        release = self._releases.get(part)
        return release is not None and now_s - release.released_s <= RELEASE_KEEP_S

    def is_copy(self, document: VerdictDocument, era: StoreEra, now_s: float) -> bool:
        """Return whether a stored verdict was released after its copy was made.

        One that counts further crashes or trials was written after its release.
        """
        part = document.verdict.part
        if not self.is_recent(part, now_s):
            return False
        release = self._releases[part]
        released = release.document
        return (
            era > release.era
            and document.verdict.crashes <= released.verdict.crashes
            and document.trials <= released.trials
        )
