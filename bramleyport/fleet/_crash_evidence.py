"""Find the prompt parts and the whole requests under which upstreams crash.

A part may crash every upstream that begins to answer a prompt with it, a request every
one that begins to run it. It shows in the calls that upstreams have when they crash:
those that wait for their first event, and those that had run for about as long each
time. Calls that are answered, or run on for far longer, show which of their traits are
harmless.
"""

import math
import zlib
from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final

from bramleyport.core import ProcessId
from bramleyport.fleet._answered_traits import AnsweredTraits
from bramleyport.fleet._convictions import (
    CRASHES_DESPITE_ANSWERS,
    ConvictionRules,
    Suspect,
)
from bramleyport.fleet._crash_record import CrashRecord
from bramleyport.fleet._crash_reports import (
    CrashId,
    CrashReport,
    HarmlessTrait,
    Verdict,
)
from bramleyport.fleet._crash_runs import (
    CLEARING_SLACK_S,
    is_outlived,
    record_run,
)
from bramleyport.fleet._recent_requests import RecentRequests
from bramleyport.fleet._shared_sets import SharedSets
from bramleyport.fleet._trait_table import TraitTable
from bramleyport.fleet._traits import CallTraits, TraitId, is_request

# Time for which a request with a part that was never answered is withheld after a first
# crash, if its answer had begun. An engine that crashed is usually back by then.
# Gateways add different times, so that not all of them try it again at once.
HOLD_S: Final = 5.0
HOLD_SPREAD_S: Final = 10.0
# The longest time for which other calls with the part are withheld: the first of them
# that is answered shows that the part is harmless.
PART_HOLD_SPREAD_S: Final = 2.0
# Time between two calls of one gateway with a part that was withheld after one crash.
TRIAL_INTERVAL_S: Final = 1.0
# Time for which a trait that was not accused again stays suspect.
SUSPECT_KEEP_S: Final = 300.0
# Bounds of the memory for any number of different traits.
MAX_SUSPECTS: Final = 8192
MAX_VERDICTS: Final = 2048
MAX_CRASHES: Final = 8
MAX_RUNS: Final = 16


class CrashEvidence:
    """Decide which traits of calls are harmless, suspect or the cause of crashes."""

    def __init__(self, process: ProcessId) -> None:
        self._process = process
        self._answered = AnsweredTraits()
        self._recent = RecentRequests()
        # The trait that was not accused for the longest time first.
        self._suspects: TraitTable[Suspect] = TraitTable(MAX_SUSPECTS)
        self._verdicts: TraitTable[Verdict] = TraitTable(MAX_VERDICTS)
        self._record = CrashRecord()
        self._convictions = ConvictionRules(
            self._record, self._suspects, self._answered
        )

    @property
    def verdicts(self) -> tuple[Verdict, ...]:
        """Return the traits under which calls are withheld, the oldest first."""
        return tuple(self._verdicts.values())

    def has_verdict(self, trait: TraitId) -> bool:
        """Return whether calls with a trait are withheld."""
        return trait in self._verdicts

    def make_report(
        self,
        crash: CrashId,
        traits: CallTraits,
        broke_s: float,
        *,
        answer_began: bool,
        ran_s: float | None = None,
    ) -> CrashReport | None:
        """Return the report of a call that broke at an upstream, if it has traits."""
        found = traits.list_all()
        if not found:
            return None
        return CrashReport(
            crash=crash,
            at_s=broke_s,
            traits=found,
            unproven=self._select_unproven(traits, broke_s),
            answer_began=answer_began and ran_s is None,
            ran_s=ran_s,
        )

    def find_answered_since(
        self, traits: CallTraits, broke_s: float
    ) -> list[HarmlessTrait]:
        """Return the request of a call if it was answered after the call broke."""
        identity = traits.identity
        if identity is None or self._recent.find(identity) < broke_s:
            return []
        return [HarmlessTrait(identity.trait, self._recent.find(identity))]

    def _select_unproven(self, traits: CallTraits, now_s: float) -> frozenset[TraitId]:
        """Return the traits of a call for which no answer speaks; digest its body."""
        unproven = self._answered.select_unproven(traits.list_all())
        identity = traits.identity
        if identity is not None and self._recent.includes(identity, now_s):
            return unproven - {identity.trait}
        return unproven

    def update_report(self, report: CrashReport) -> CrashReport:
        """Return a report without the traits that were answered since."""
        traits = frozenset(
            trait
            for trait in report.traits
            if not self._is_answered_since(trait, report)
        )
        return replace(report, traits=traits, unproven=report.unproven & traits)

    def may_withhold_next(self, traits: CallTraits, *, answer_began: bool) -> bool:
        """Return whether one more crash may have calls with some trait withheld."""
        if self._suspects.list_of(CallTraits(identity=traits.identity)):
            return True
        return answer_began and any(map(self._answered.is_unproven, traits.parts))

    def record_answered(
        self, traits: CallTraits, answered_s: float
    ) -> list[HarmlessTrait]:
        """Record a call by the time of its first event; return its accused traits."""
        if traits.identity is not None:
            self._recent.record(traits.identity, answered_s)
        accused = list(
            dict.fromkeys(
                (*self._suspects.list_of(traits), *self._verdicts.list_of(traits))
            )
        )
        requests = [trait for trait in accused if is_request(trait)]
        if self._suspects or self._verdicts:
            self._remove_companions(
                trait
                for trait in (*traits.parts, *requests)
                if trait not in self._answered
            )
        for trait in accused:
            self.apply_harmless(HarmlessTrait(trait, answered_s))
        self._answered.record_parts(traits.parts, answered_s)
        for trait in accused:
            if trait not in self._suspects:
                self.release(trait)
        return [HarmlessTrait(trait, answered_s) for trait in accused]

    def record_running(
        self, traits: CallTraits, began_s: float, now_s: float
    ) -> list[HarmlessTrait]:
        """Record that a call runs on; return its traits that it shows to be harmless.

        It must have begun after the first crash, as a trait may have turned deadly.
        """
        run_s = now_s - began_s
        harmless = []
        for trait in self._suspects.list_of(traits):
            suspect = self._suspects[trait]
            if trait in self._verdicts or began_s < suspect.first_s:
                continue
            suspect.record_running(run_s, now_s)
            if is_outlived(suspect.find_longest_run(), run_s, CLEARING_SLACK_S):
                harmless.append(HarmlessTrait(trait, began_s))
        return harmless

    def apply_harmless(self, notice: HarmlessTrait) -> None:
        """Record that a call of any gateway with a trait was answered."""
        trait = notice.trait
        if trait not in self._answered:
            self._remove_companions((trait,))
        self._answered.record(trait, notice.answered_s)
        suspect = self._suspects.get(trait)
        verdict = self._verdicts.get(trait)
        if suspect is not None and notice.answered_s >= suspect.first_s:
            self.release(trait)
        elif verdict is not None and self._is_refuted(verdict, suspect):
            self._verdicts.pop(trait)

    def find_harmless(
        self, traits: Iterable[TraitId], since_s: float = math.inf
    ) -> list[HarmlessTrait]:
        """Return the traits with which a call was answered; requests only if since."""
        return [
            HarmlessTrait(trait, self._answered.find(trait))
            for trait in traits
            if trait in self._answered
            and (not is_request(trait) or self._answered.find(trait) >= since_s)
        ]

    def record_crash(self, report: CrashReport, now_s: float) -> list[Verdict]:
        """Record a crash; return the verdicts that are new or name fewer companions."""
        self.drop_old(now_s)
        has_events = report.ran_s is not None
        self._record.record(report.crash, report.traits, has_events=has_events)
        self._record_explanation(report, now_s)
        unproven = self._answered.select_unproven(report.contestable)
        verdicts = []
        intersections = SharedSets()
        for trait in self._list_accused(report, unproven):
            companions = frozenset((trait,))
            if not is_request(trait):
                companions = unproven if trait in unproven else unproven | companions
            suspect = self._accuse(report, trait, companions, intersections)
            self._hold(report, trait, suspect, unproven)
            if not self._convictions.includes(trait, suspect, report.crash, now_s):
                continue
            verdict = Verdict(
                trait=trait,
                companions=suspect.companions,
                crashes=min(MAX_CRASHES, len(suspect.runs)),
            )
            if self.apply_verdict(verdict):
                verdicts.append(self._verdicts[trait])
            self._clear_others(verdict, suspect, now_s)
        return [item for item in verdicts if item.trait in self._verdicts]

    def apply_verdict(self, verdict: Verdict) -> bool:
        """Apply a verdict of any gateway; return whether it withholds further calls."""
        if not self.is_plausible(verdict):
            return False
        companions = self._answered.select_unproven(verdict.companions)
        known = self._verdicts.get(verdict.trait)
        if known is not None:
            companions &= known.companions
            companions |= {verdict.trait}
            if companions == known.companions:
                crashes = max(known.crashes, verdict.crashes)
                self._verdicts.put(verdict.trait, replace(known, crashes=crashes))
                return False
        companions |= {verdict.trait}
        self._verdicts.put(verdict.trait, replace(verdict, companions=companions))
        return True

    def is_plausible(self, verdict: Verdict) -> bool:
        """Return whether no answered call contradicts a verdict."""
        if verdict.trait not in self._answered:
            return True
        return (
            not is_request(verdict.trait) and verdict.crashes >= CRASHES_DESPITE_ANSWERS
        )

    def drop_verdict(self, trait: TraitId) -> None:
        """Drop the verdict on a trait; the crashes that accuse it still count."""
        self._verdicts.pop(trait)

    def release(self, trait: TraitId) -> None:
        """Drop what accuses a trait, as itself and as a companion of others."""
        self._suspects.pop(trait)
        self._verdicts.pop(trait)
        self._remove_companions((trait,))

    def _remove_companions(self, traits: Iterable[TraitId]) -> None:
        """Remove traits from the companions of all others."""
        removed = frozenset(traits)
        if not removed or not self._has_companions(removed):
            return
        differences = SharedSets()
        for name, suspect in self._suspects.items():
            companions = differences.subtract(suspect.companions, removed)
            suspect.companions = _include(companions, name)
        for name, verdict in list(self._verdicts.items()):
            companions = differences.subtract(verdict.companions, removed)
            if len(_include(companions, name)) < len(verdict.companions):
                companions = _include(companions, name)
                self._verdicts.put(name, replace(verdict, companions=companions))

    def _has_companions(self, traits: frozenset[TraitId]) -> bool:
        """Return whether others have one of these traits as a companion."""
        suspects, verdicts = self._suspects.values(), self._verdicts.values()
        # Most of them share their sets.
        known = {id(item.companions): item.companions for item in suspects}
        known |= {id(item.companions): item.companions for item in verdicts}
        return not all(map(traits.isdisjoint, known.values()))

    def find_verdict(self, traits: CallTraits) -> Verdict | None:
        """Return the verdict under which a call is withheld, if there is one."""
        found = (self._verdicts[trait] for trait in self._verdicts.list_of(traits))
        return next(
            (
                verdict
                for verdict in found
                if all(map(traits.includes, verdict.companions))
            ),
            None,
        )

    def forecast_hold(self, traits: CallTraits, now_s: float) -> float:
        """Return for how many seconds a call is withheld after a first crash."""
        holds_s = (item.held_until_s - now_s for item in self._list_held(traits))
        return max(0.0, max(holds_s, default=0.0))

    def take_trial(self, traits: CallTraits, now_s: float) -> bool:
        """Return whether a call tries a part that was withheld after a first crash."""
        held = self._list_held(traits)
        for suspect in held:
            suspect.held_until_s = now_s + TRIAL_INTERVAL_S
        return bool(held)

    def drop_old(self, now_s: float) -> None:
        """Drop what shows nothing any more."""
        while self._suspects:
            trait = next(iter(self._suspects))
            if now_s - self._suspects[trait].last_s <= SUSPECT_KEEP_S:
                break
            self._suspects.pop(trait)
        self._answered.drop_old(now_s)

    def _list_held(self, traits: CallTraits) -> list[Suspect]:
        """Return the suspects for which a call is withheld, or was."""
        held = (self._suspects[trait] for trait in self._suspects.list_of(traits))
        return [
            suspect
            for suspect in held
            if suspect.held_until_s
            and all(
                trait in traits.parts
                for trait in suspect.companions
                if not is_request(trait)
            )
        ]

    def _hold(
        self,
        report: CrashReport,
        trait: TraitId,
        suspect: Suspect,
        unproven: frozenset[TraitId],
    ) -> None:
        """Withhold what a first crash accuses for a while, if it may be the cause."""
        if trait not in unproven or suspect.held_until_s or not report.answer_began:
            return
        if all(map(is_request, unproven)):
            return
        key = f"{trait}/{self._process}".encode()
        spread = zlib.crc32(key) / 2**32
        if is_request(trait):
            hold_s = HOLD_S + spread * HOLD_SPREAD_S
        else:
            hold_s = spread * PART_HOLD_SPREAD_S
        suspect.held_until_s = report.at_s + hold_s

    def _list_accused(
        self, report: CrashReport, unproven: frozenset[TraitId]
    ) -> list[TraitId]:
        """Return the traits that a crash accuses.

        A late or repeated report accuses no trait that was answered since. A crash that
        traits with a verdict explain accuses nothing of other calls, no other request,
        and no part with which calls were answered.
        """
        accused = {
            trait
            for trait in report.traits
            if not self._is_answered_since(trait, report)
        }
        explanation = self._find_explanation(report)
        if explanation:
            accused &= explanation | unproven
        elif self._record.is_cleared(report.crash):
            return []
        if self._record.is_explained(report.crash):
            accused = {
                trait
                for trait in accused
                if not is_request(trait) or trait in explanation
            }
        return sorted(accused)

    def _record_explanation(self, report: CrashReport, now_s: float) -> None:
        explanation = self._find_explanation(report)
        if any(map(is_request, explanation)):
            self._record.record_explained(report.crash)
        if not all(map(is_request, explanation)):
            self._clear_crash(report.crash, report.traits, now_s)

    def _clear_others(self, verdict: Verdict, suspect: Suspect, now_s: float) -> None:
        """Drop the crashes that a verdict explains from what accuses other calls.

        What explains all of them as well is kept. A request explains no crash of a
        part: others with that part may crash, too.
        """
        if is_request(verdict.trait):
            return
        explained = suspect.runs.keys()
        kept = {
            trait
            for trait, other in self._suspects.items()
            if other.runs.keys() >= explained
        }
        for crash, runs in list(suspect.runs.items()):
            self._clear_crash(crash, kept.union(*runs.alongside), now_s)

    def _clear_crash(
        self, crash: CrashId, kept: Collection[TraitId], now_s: float
    ) -> None:
        """Let a crash whose cause is known accuse none but the traits beside that."""
        self._record.record_cleared(crash)
        for trait, suspect in list(self._suspects.items()):
            if trait in kept or crash not in suspect.runs:
                continue
            # Other gateways may have come to a verdict by more than is known here.
            was_convicted = trait in self._verdicts and self._is_convicted(
                trait, suspect, now_s
            )
            suspect.drop_crash(crash)
            if was_convicted and not self._is_convicted(trait, suspect, now_s):
                self._verdicts.pop(trait)
            if not suspect.runs:
                self._suspects.pop(trait)

    def _is_convicted(self, trait: TraitId, suspect: Suspect, now_s: float) -> bool:
        return any(
            self._convictions.includes(trait, suspect, crash, now_s)
            for crash in suspect.runs
        )

    def _find_explanation(self, report: CrashReport) -> set[TraitId]:
        """Return the traits that are known to crash upstreams and explain a crash."""
        return {
            trait
            for trait in report.traits
            if (verdict := self._verdicts.get(trait)) is not None
            and verdict.companions <= report.traits
        }

    def _is_answered_since(self, trait: TraitId, report: CrashReport) -> bool:
        return self._answered.find(trait) >= report.at_s

    def _is_refuted(self, verdict: Verdict, suspect: Suspect | None) -> bool:
        """Return whether an answer before the crashes ends a verdict."""
        if is_request(verdict.trait):
            # Without a suspect, the verdict is another gateway's, whose times are
            # unknown. Answers to requests are told only if they are later.
            return suspect is None
        return verdict.crashes < CRASHES_DESPITE_ANSWERS

    def _accuse(
        self,
        report: CrashReport,
        trait: TraitId,
        companions: frozenset[TraitId],
        intersections: SharedSets,
    ) -> Suspect:
        at_s = report.at_s
        suspect = self._suspects.get(trait) or Suspect(companions, at_s, at_s)
        self._suspects.put(trait, suspect, renew=True)
        suspect.companions = intersections.intersect(suspect.companions, companions)
        suspect.proven |= trait not in report.unproven
        suspect.first_s = min(suspect.first_s, at_s)
        suspect.last_s = max(suspect.last_s, at_s)
        if report.ran_s is None and len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes.add(report.crash)
        runs = suspect.runs.get(report.crash)
        if runs is not None:
            runs.add(report)
        elif len(suspect.runs) < MAX_RUNS:
            suspect.runs[report.crash] = record_run(report)
        if report.answer_began and len(suspect.begun) < MAX_CRASHES:
            suspect.begun.add(report.crash)
        self._answered.record_accused(trait)
        return suspect


def _include(companions: frozenset[TraitId], trait: TraitId) -> frozenset[TraitId]:
    return companions if trait in companions else companions | {trait}
