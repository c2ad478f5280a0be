"""Decide how many crashes suffice to withhold calls with a trait."""

import math
from dataclasses import dataclass, field
from typing import Final

from bramleyport.fleet._answered_traits import AnsweredTraits
from bramleyport.fleet._crash_record import CrashRecord
from bramleyport.fleet._crash_reports import CrashId
from bramleyport.fleet._crash_runs import CrashRuns, is_outlived, weigh_alike
from bramleyport.fleet._trait_table import TraitTable
from bramleyport.fleet._traits import TraitId, is_request

# Crashes of different upstream processes after which calls with a trait are withheld,
# with strong evidence and without: an answer to a call with a part had begun in one of
# them, an answer to a request in two, or a request was the only one that one broke.
CRASHES_TO_WITHHOLD: Final = 2
CRASHES_WITHOUT_ANSWER: Final = 3
# The same for a request that was answered several times lately, whatever the evidence.
CRASHES_DESPITE_RECENT_ANSWERS: Final = 3
# The same for a part with which a call was answered before.
CRASHES_DESPITE_ANSWERS: Final = 4
# Time after its last event for which a call counts as running.
SPARED_KEEP_S: Final = 1.0
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
    # Crashes that broke a call with the trait before its first event.
    crashes: set[CrashId] = field(default_factory=set)
    # Those in which an answer to a call with the trait had begun.
    begun: set[CrashId] = field(default_factory=set)
    # All crashes that broke a call with the trait, at whatever point of its answer.
    runs: dict[CrashId, CrashRuns] = field(default_factory=dict)
    # The longest run of a call with the trait that began after the first crash, and
    # when it was last seen to go on.
    spared_s: float = 0.0
    spared_at_s: float = -math.inf
    # A gateway that reported a crash knows an answered call with the trait; for a
    # request, several calls of the last minute.
    proven: bool = False

    def record_running(self, run_s: float, now_s: float) -> None:
        """Record that a call with the trait runs on."""
        if run_s >= self.spared_s or now_s - self.spared_at_s > SPARED_KEEP_S:
            self.spared_s, self.spared_at_s = run_s, now_s

    def weigh_alike(self, now_s: float) -> float:
        """Return the weight of separate crashes after runs of the same length."""
        return weigh_alike(self.runs.values(), self._find_spared(now_s))

    def is_spared(self, now_s: float) -> bool:
        """Return whether a call runs on that shows the trait harmless at its begin."""
        return is_outlived(0.0, self._find_spared(now_s))

    def _find_spared(self, now_s: float) -> float:
        is_running = now_s - self.spared_at_s <= SPARED_KEEP_S
        return self.spared_s if is_running else 0.0

    def find_longest_run(self) -> float:
        """Return the longest run after which the trait may have crashed an upstream."""
        return max((item.shortest_s for item in self.runs.values()), default=0.0)

    def drop_crash(self, crash: CrashId) -> None:
        """Drop a crash that has another cause."""
        self.crashes.discard(crash)
        self.begun.discard(crash)
        self.runs.pop(crash, None)


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

    def includes(
        self, trait: TraitId, suspect: Suspect, newest: CrashId, now_s: float
    ) -> bool:
        """Return whether the crashes of a suspect suffice, the newest among them.

        Crashes before the first event are strong evidence, as few of the calls at an
        upstream wait for one. All others count, too, if they came after runs of about
        the same length and not all at once.
        """
        if is_request(trait):
            return self._is_request_convicted(trait, suspect, newest, now_s)
        if suspect.proven or trait in self._answered:
            found, needed = len(suspect.begun), CRASHES_DESPITE_ANSWERS
            needed_alike = CRASHES_DESPITE_ANSWERS
            covering = COVERING_REQUESTS_DESPITE_ANSWERS
        else:
            found = len(suspect.crashes)
            needed = CRASHES_TO_WITHHOLD if suspect.begun else CRASHES_WITHOUT_ANSWER
            needed_alike, covering = CRASHES_WITHOUT_ANSWER, COVERING_REQUESTS
        if suspect.is_spared(now_s):
            found = 0
        if found < needed and suspect.weigh_alike(now_s) < needed_alike:
            return False
        return not self._record.is_covered(suspect.runs, covering)

    def _is_request_convicted(
        self, trait: TraitId, suspect: Suspect, newest: CrashId, now_s: float
    ) -> bool:
        if self._is_waiting_convicted(trait, suspect, newest):
            return True
        alike = suspect.weigh_alike(now_s)
        if min(alike, len(suspect.runs)) < CRASHES_WITHOUT_ANSWER:
            return False
        others = self._find_others(trait, newest)
        tied = sum(item.weigh_alike(now_s) >= alike for item in others)
        return alike >= CRASHES_DESPITE_TIES or tied <= MAX_TIED_REQUESTS

    def _is_waiting_convicted(
        self, trait: TraitId, suspect: Suspect, newest: CrashId
    ) -> bool:
        """Return whether the crashes before the first event of a request suffice."""
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
        others = self._find_others(trait, newest)
        tied = sum(len(item.crashes) >= found for item in others)
        return found >= CRASHES_DESPITE_TIES or tied <= MAX_TIED_REQUESTS

    def _find_others(self, trait: TraitId, crash: CrashId) -> list[Suspect]:
        """Return the other requests of a crash that are suspect."""
        others = self._record.find_requests(crash) - {trait}
        found = map(self._suspects.get, others)
        return [item for item in found if item is not None]
