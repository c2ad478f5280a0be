"""Find the prompt parts under which upstreams crash.

A part may crash every upstream that begins to answer a prompt with it. It shows in the
calls that wait for their first event when upstreams crash. Calls that are answered
show which parts are harmless.
"""

import hashlib
import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet._types import PrefixId, PromptPart

# Crashes of different upstream processes after which calls with a part are withheld: if
# an answer had begun in one of them, and if in none.
CRASHES_TO_WITHHOLD: Final = 2
CRASHES_WITHOUT_ANSWER: Final = 3
# The same for a part with which a call was answered before. Only crashes count in which
# an answer had begun: many upstreams may crash at once for another reason, while most
# calls at them wait or have had events.
CRASHES_DESPITE_ANSWERS: Final = 4
# Time for which a part is withheld after a first crash, if an answer with it had begun.
# An engine that crashed is usually back by then. Gateways add different times, so that
# not all of them try the part again at once.
HOLD_S: Final = 5.0
HOLD_SPREAD_S: Final = 10.0
# Time between two calls of one gateway with a part that was withheld after one crash.
TRIAL_INTERVAL_S: Final = 1.0
# Time for which a part that was not accused again stays suspect.
SUSPECT_KEEP_S: Final = 300.0
# Bounds of the memory for any number of different parts.
MAX_HARMLESS: Final = 8192
MAX_SUSPECTS: Final = 1024
MAX_VERDICTS: Final = 256
MAX_CRASHES: Final = 8
# Parts of one prompt that are considered.
MAX_PARTS: Final = 32
# A longer identifier is replaced by its digest.
MAX_PART_CHARS: Final = 64


@dataclass(frozen=True, slots=True)
class CrashId:
    """Identify a crash by the process of the upstream that ended."""

    upstream: UpstreamId
    # Start of the process in Unix milliseconds.
    started_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """Describe a call that waited for its first event when its upstream crashed."""

    crash: CrashId
    at_s: float = field(compare=False)
    # The parts of its prompt that calls may share.
    parts: frozenset[PrefixId]
    # Those with which no answered call was known to the gateway that reports.
    unproven: frozenset[PrefixId]
    # The head of the answer had arrived: the call may be the one that its upstream
    # crashed under.
    answer_began: bool = False


@dataclass(frozen=True, slots=True)
class HarmlessPart:
    """Describe a part by the time at which a call with it was last answered."""

    part: PrefixId
    answered_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Describe a part under which upstreams crash."""

    part: PrefixId
    # Calls are withheld if their prompts have all of these parts: the part itself, and
    # those that every accused call had and that are not known to be harmless.
    companions: frozenset[PrefixId]
    crashes: int


@dataclass(slots=True)
class _Suspect:
    """Track the crashes that accuse a part."""

    companions: frozenset[PrefixId]
    first_s: float
    last_s: float
    # Calls are withheld until then though a single crash may have had another cause.
    held_until_s: float = 0.0
    crashes: set[CrashId] = field(default_factory=set)
    # Those in which an answer to a call with the part had begun.
    begun: set[CrashId] = field(default_factory=set)
    # A gateway that reported a crash knows an answered call with the part.
    proven: bool = False


def list_shared_parts(parts: Sequence[PromptPart]) -> list[PrefixId]:
    """Return the parts of a prompt that calls may share.

    The last part belongs to one call or session.
    """
    return [_shorten(part.prefix) for part in parts[:-1][:MAX_PARTS]]


class CrashEvidence:
    """Decide which prompt parts are harmless, suspect or the cause of crashes."""

    def __init__(self, process: ProcessId) -> None:
        self._process = process
        # When a call with a part was last answered; the longest unused part first.
        self._answered_s: OrderedDict[PrefixId, float] = OrderedDict()
        # The part that was not accused for the longest time first.
        self._suspects: OrderedDict[PrefixId, _Suspect] = OrderedDict()
        self._verdicts: OrderedDict[PrefixId, Verdict] = OrderedDict()

    @property
    def verdicts(self) -> tuple[Verdict, ...]:
        """Return the parts under which calls are withheld, the oldest first."""
        return tuple(self._verdicts.values())

    def make_report(
        self,
        crash: CrashId,
        parts: Sequence[PromptPart],
        now_s: float,
        *,
        answer_began: bool,
    ) -> CrashReport | None:
        """Return the report of a call at a crashed upstream, if it has shared parts."""
        shared = frozenset(list_shared_parts(parts))
        if not shared:
            return None
        unproven = frozenset(part for part in shared if part not in self._answered_s)
        return CrashReport(
            crash=crash,
            at_s=now_s,
            parts=shared,
            unproven=unproven,
            answer_began=answer_began,
        )

    def update_report(self, report: CrashReport) -> CrashReport:
        """Return a report without the parts that were answered since."""
        parts = frozenset(
            part for part in report.parts if not self._is_answered_since(part, report)
        )
        return replace(report, parts=parts, unproven=report.unproven & parts)

    def has_unproven(self, parts: Sequence[PromptPart]) -> bool:
        """Return whether a prompt has a shared part that no answered call had."""
        return any(part not in self._answered_s for part in list_shared_parts(parts))

    def record_answered(
        self, parts: Sequence[PromptPart], answered_s: float
    ) -> list[HarmlessPart]:
        """Record a call by the time of its first event; return its accused parts."""
        shared = list_shared_parts(parts)
        accused = [part for part in shared if self._is_accused(part)]
        for part in shared:
            self.apply_harmless(HarmlessPart(part, answered_s))
        for part in accused:
            if part not in self._suspects:
                self.release(part)
        return [HarmlessPart(part, answered_s) for part in accused]

    def apply_harmless(self, notice: HarmlessPart) -> None:
        """Record that a call of any gateway with a part was answered."""
        part = notice.part
        if part not in self._answered_s:
            self._remove_companion(part)
        known_s = self._answered_s.get(part, notice.answered_s)
        self._answered_s[part] = max(known_s, notice.answered_s)
        self._answered_s.move_to_end(part)
        while len(self._answered_s) > MAX_HARMLESS:
            self._answered_s.popitem(last=False)
        if not self._is_accused(part):
            return
        suspect = self._suspects.get(part)
        verdict = self._verdicts.get(part)
        if suspect is not None and notice.answered_s >= suspect.first_s:
            self.release(part)
        elif verdict is not None and verdict.crashes < CRASHES_DESPITE_ANSWERS:
            del self._verdicts[part]

    def find_harmless(self, parts: Iterable[PrefixId]) -> list[HarmlessPart]:
        """Return those of the parts with which a call was answered."""
        return [
            HarmlessPart(part, self._answered_s[part])
            for part in parts
            if part in self._answered_s
        ]

    def record_crash(self, report: CrashReport, now_s: float) -> list[Verdict]:
        """Record a crash; return the verdicts that are new or name fewer companions."""
        self._drop_old(now_s)
        unproven = frozenset(
            part for part in report.unproven if part not in self._answered_s
        )
        verdicts = []
        for part in self._list_accused(report, unproven):
            suspect = self._accuse(report, part, unproven | {part})
            if report.answer_began and part in unproven and suspect.held_until_s == 0:
                suspect.held_until_s = report.at_s + HOLD_S + self._choose_spread(part)
            if not self._is_convicted(part, suspect):
                continue
            verdict = Verdict(
                part=part,
                companions=suspect.companions,
                crashes=len(suspect.crashes),
            )
            if self.apply_verdict(verdict):
                verdicts.append(self._verdicts[part])
        return verdicts

    def apply_verdict(self, verdict: Verdict) -> bool:
        """Apply a verdict of any gateway; return whether it withholds further calls."""
        if not self.is_plausible(verdict):
            return False
        companions = frozenset(
            part for part in verdict.companions if part not in self._answered_s
        )
        known = self._verdicts.get(verdict.part)
        if known is not None:
            companions &= known.companions
            companions |= {verdict.part}
            if companions == known.companions:
                crashes = max(known.crashes, verdict.crashes)
                self._verdicts[verdict.part] = replace(known, crashes=crashes)
                return False
        self._verdicts[verdict.part] = replace(
            verdict, companions=companions | {verdict.part}
        )
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)
        return True

    def is_plausible(self, verdict: Verdict) -> bool:
        """Return whether no answered call contradicts a verdict."""
        if verdict.part not in self._answered_s:
            return True
        return verdict.crashes >= CRASHES_DESPITE_ANSWERS

    def drop_verdict(self, part: PrefixId) -> None:
        """Drop the verdict on a part; the crashes that accuse it still count."""
        self._verdicts.pop(part, None)

    def release(self, part: PrefixId) -> None:
        """Drop what accuses a part, as itself and as a companion of others."""
        self._suspects.pop(part, None)
        self._verdicts.pop(part, None)
        self._remove_companion(part)

    def _remove_companion(self, part: PrefixId) -> None:
        for name, suspect in self._suspects.items():
            if name != part:
                suspect.companions -= {part}
        for name, verdict in self._verdicts.items():
            if part in verdict.companions and name != part:
                self._verdicts[name] = replace(
                    verdict, companions=verdict.companions - {part}
                )

    def find_verdict(self, parts: Sequence[PromptPart]) -> Verdict | None:
        """Return the verdict under which a call is withheld, if there is one."""
        if not self._verdicts:
            return None
        shared = set(list_shared_parts(parts))
        found = [
            verdict
            for part in sorted(shared & self._verdicts.keys())
            if (verdict := self._verdicts[part]).companions <= shared
        ]
        return found[0] if found else None

    def forecast_hold(self, parts: Sequence[PromptPart], now_s: float) -> float:
        """Return for how many seconds a call is withheld after a first crash."""
        if not self._suspects:
            return 0.0
        shared = set(list_shared_parts(parts))
        holds_s = (
            suspect.held_until_s - now_s
            for part in shared & self._suspects.keys()
            if (suspect := self._suspects[part]).companions <= shared
        )
        return max(0.0, max(holds_s, default=0.0))

    def take_trial(self, parts: Sequence[PromptPart], now_s: float) -> bool:
        """Return whether a call tries a part that was withheld after a first crash."""
        shared = set(list_shared_parts(parts))
        held = [
            suspect
            for part in shared & self._suspects.keys()
            if (suspect := self._suspects[part]).held_until_s
            and suspect.companions <= shared
        ]
        for suspect in held:
            suspect.held_until_s = now_s + TRIAL_INTERVAL_S
        return bool(held)

    def _choose_spread(self, part: PrefixId) -> float:
        key = f"{part}/{self._process}".encode()
        return HOLD_SPREAD_S * zlib.crc32(key) / 2**32

    def _list_accused(
        self, report: CrashReport, unproven: frozenset[PrefixId]
    ) -> list[PrefixId]:
        """Return the parts that a crash accuses.

        A late or repeated report accuses no part that was answered since. A crash that
        parts with a verdict explain accuses no part with which calls were answered.
        """
        accused = {
            part for part in report.parts if not self._is_answered_since(part, report)
        }
        explanation = self._find_explanation(report)
        if explanation:
            accused &= explanation | unproven
        return sorted(accused)

    def _find_explanation(self, report: CrashReport) -> set[PrefixId]:
        """Return the parts that are known to crash upstreams and explain a crash."""
        return {
            part
            for part in report.parts & self._verdicts.keys()
            if self._verdicts[part].companions <= report.parts
        }

    def _is_answered_since(self, part: PrefixId, report: CrashReport) -> bool:
        return self._answered_s.get(part, -math.inf) >= report.at_s

    def _is_accused(self, part: PrefixId) -> bool:
        return part in self._suspects or part in self._verdicts

    def _is_convicted(self, part: PrefixId, suspect: _Suspect) -> bool:
        if part not in self._answered_s and not suspect.proven:
            needed = CRASHES_TO_WITHHOLD if suspect.begun else CRASHES_WITHOUT_ANSWER
            return len(suspect.crashes) >= needed
        return len(suspect.begun) >= CRASHES_DESPITE_ANSWERS

    def _accuse(
        self, report: CrashReport, part: PrefixId, companions: frozenset[PrefixId]
    ) -> _Suspect:
        at_s = report.at_s
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = _Suspect(companions, at_s, at_s)
            self._suspects[part] = suspect
        self._suspects.move_to_end(part)
        suspect.companions &= companions
        suspect.proven |= part not in report.unproven
        suspect.first_s = min(suspect.first_s, at_s)
        suspect.last_s = max(suspect.last_s, at_s)
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes.add(report.crash)
        if report.answer_began and len(suspect.begun) < MAX_CRASHES:
            suspect.begun.add(report.crash)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _drop_old(self, now_s: float) -> None:
        while self._suspects:
            part = next(iter(self._suspects))
            if now_s - self._suspects[part].last_s <= SUSPECT_KEEP_S:
                return
            del self._suspects[part]


def _shorten(part: PrefixId) -> PrefixId:
    if len(part) <= MAX_PART_CHARS:
        return part
    digest = hashlib.blake2b(part.encode(), digest_size=16)
    return PrefixId(digest.hexdigest())
