"""Decide how many crashes suffice to withhold calls with a trait."""

from dataclasses import dataclass, field
from typing import Final

from bramleyport.fleet._answered_traits import AnsweredTraits
from bramleyport.fleet._crash_record import CrashRecord
from bramleyport.fleet._crash_reports import CrashId
from bramleyport.fleet._trait_table import TraitTable
from bramleyport.fleet._traits import TraitId, is_request

# Crashes of different upstream processes after which calls with a trait are withheld,
# with strong evidence and without: an answer to a call with a part had begun in one of
# them, an answer to a request in two, or a request was the only one that one broke.
CRASHES_TO_WITHHOLD: Final = 2
CRASHES_WITHOUT_ANSWER: Final = 3
# The same for a request that was answered several times lately, whatever the evidence.
CRASHES_DESPITE_RECENT_ANSWERS: Final = 3
# The same for a part with which a call was answered before. Only crashes count in which
# an answer had begun: many upstreams may crash at once for another reason, while most
# calls at them wait or have had events.
CRASHES_DESPITE_ANSWERS: Final = 4
# A crash in which so many other requests have broken as often as this one shows little
# of each; after the larger number of crashes that does not count any more.
MAX_TIED_REQUESTS: Final = 4
CRASHES_DESPITE_TIES: Final = 5
# A part is not to blame for crashes that so few requests explain: if it was never
# answered, and if it was.
COVERING_REQUESTS: Final = 1
COVERING_REQUESTS_DESPITE_ANSWERS: Final = 2


@dataclass(slots=True)
class Suspect:
    """Track the crashes that accuse a trait."""

    companions: frozenset[TraitId]
    first_s: float
    last_s: float
    # Calls are withheld until then though a single crash may have had another cause.
    held_until_s: float = 0.0
    crashes: set[CrashId] = field(default_factory=set)
    # Those in which an answer to a call with the trait had begun.
    begun: set[CrashId] = field(default_factory=set)
    # A gateway that reported a crash knows an answered call with the trait; for a
    # request, several calls of the last minute.
    proven: bool = False


class ConvictionRules:
    """Weigh the crashes that accuse a trait."""

    def __init__(
        self,
        record: CrashRecord,
        suspects: TraitTable[Suspect],
        answered: AnsweredTraits,
    ) -> None:
        self._record = record
        self._suspects = suspects
        self._answered = answered

    def includes(self, trait: TraitId, suspect: Suspect, newest: CrashId) -> bool:
        """Return whether the crashes of a suspect suffice, the newest among them."""
        if is_request(trait):
            return self._is_request_convicted(trait, suspect, newest)
        if trait not in self._answered and not suspect.proven:
            needed = CRASHES_TO_WITHHOLD if suspect.begun else CRASHES_WITHOUT_ANSWER
            found, covering = len(suspect.crashes), COVERING_REQUESTS
        else:
            needed = CRASHES_DESPITE_ANSWERS
            found, covering = len(suspect.begun), COVERING_REQUESTS_DESPITE_ANSWERS
        if found < needed:
            return False
        return not self._record.is_covered(suspect.crashes, covering)

    def _is_request_convicted(
        self, trait: TraitId, suspect: Suspect, newest: CrashId
    ) -> bool:
        found = len(suspect.crashes)
        needed = (
            CRASHES_DESPITE_RECENT_ANSWERS if suspect.proven else CRASHES_TO_WITHHOLD
        )
        if found < needed:
            return False
        # Other gateways may have more to report of the newest crash.
        was_alone = any(
            self._record.is_alone(trait, crash) for crash in suspect.crashes - {newest}
        )
        if was_alone or len(suspect.begun) >= needed:
            return True
        if found < CRASHES_WITHOUT_ANSWER:
            return False
        return found >= CRASHES_DESPITE_TIES or self._count_tied(newest, found) <= (
            MAX_TIED_REQUESTS
        )

    def _count_tied(self, crash: CrashId, crashes: int) -> int:
        """Return how many requests of a crash have broken in so many crashes."""
        suspects = map(self._suspects.get, self._record.find_requests(crash))
        counts = (len(item.crashes) for item in suspects if item is not None)
        # One of them is the request itself.
        return sum(count >= crashes for count in counts) - 1
