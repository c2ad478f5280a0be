"""Compare for how long calls with a trait had run when their upstreams crashed."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from bramleyport.fleet._crash_reports import CrashReport
from bramleyport.fleet._traits import TraitId

# Upstreams that crash for one other cause, such as a lost zone, do so within this time.
SEPARATE_CRASHES_S: Final = 0.3
# A trait that crashes upstreams does so at about the same point of each answer. Runs
# are alike if the longer one exceeds the shorter one by no more than this.
RUN_SLACK_FACTOR: Final = 1.5
RUN_SLACK_S: Final = 0.25
# The same for a run that clears a trait, as the point may differ between answers.
CLEARING_SLACK_S: Final = 1.0
# Run from which on a crash weighs less, in proportion to the run.
LONG_RUN_S: Final = 3.0
# Weight of a crash as an answer began: few calls at an upstream are at this point.
EARLY_WEIGHT: Final = 1.5
# Weight of a crash in which a call with the trait was spared where another one broke.
SPARED_WEIGHT: Final = 0.5


@dataclass(slots=True)
class CrashRuns:
    """Describe the calls with a trait that one crash broke.

    A run is the time since the first event of an answer, and 0 if it had none.
    """

    at_s: float
    shortest_s: float
    longest_s: float
    # The answer to one of them had just begun.
    is_early: bool = False
    # What each of these calls had besides the trait; the sets are those of reports.
    alongside: set[frozenset[TraitId]] = field(default_factory=set)

    @property
    def weight(self) -> float:
        """Return what the crash weighs against the trait.

        The longer a call runs, the likelier a crash of any cause comes upon it.
        """
        weight = LONG_RUN_S / max(self.shortest_s, LONG_RUN_S)
        if self.is_early:
            weight *= EARLY_WEIGHT
        if is_outlived(self.shortest_s, self.longest_s):
            weight *= SPARED_WEIGHT
        return weight

    def add(self, report: CrashReport) -> None:
        """Add a call that the same crash broke."""
        run_s = report.ran_s or 0.0
        self.alongside.add(report.traits)
        self.is_early |= _is_early(report)
        self.shortest_s = min(self.shortest_s, run_s)
        self.longest_s = max(self.longest_s, run_s)


def record_run(report: CrashReport) -> CrashRuns:
    """Return the crash of a report by the call that it names."""
    run_s = report.ran_s or 0.0
    runs = CrashRuns(report.at_s, run_s, run_s)
    runs.add(report)
    return runs


def _is_early(report: CrashReport) -> bool:
    has_event = report.ran_s is not None and not is_outlived(0.0, report.ran_s)
    return report.answer_began or has_event


def is_outlived(run_s: float, other_s: float, slack_s: float = RUN_SLACK_S) -> bool:
    """Return whether a run is so long that what ended a shorter one spared it."""
    return other_s > RUN_SLACK_FACTOR * run_s + slack_s


def weigh_alike(crashes: Iterable[CrashRuns], spared_s: float = 0.0) -> float:
    """Return the weight of separate crashes after runs of about the same length.

    One in which another call with the trait had run for far longer weighs less: that
    call had been spared at the point at which the shorter one broke, unless the trait
    turned deadly meanwhile. Crashes weigh nothing while a call that began after them
    has run for far longer, `spared_s`, at an upstream that still serves.
    """
    known = list(crashes)
    groups = (_select_alike(item, known) for item in known)
    return max(
        (
            _weigh_separate(group)
            for group in groups
            if not is_outlived(max(item.shortest_s for item in group), spared_s)
        ),
        default=0.0,
    )


def _select_alike(base: CrashRuns, crashes: Iterable[CrashRuns]) -> list[CrashRuns]:
    """Return the crashes with runs like that of the base, and none shorter."""
    return [
        item
        for item in crashes
        if item.shortest_s >= base.shortest_s
        and not is_outlived(base.shortest_s, item.shortest_s)
    ]


def _weigh_separate(crashes: Iterable[CrashRuns]) -> float:
    """Return the weight of crashes that came one after another."""
    weight, counted_s = 0.0, -math.inf
    for item in sorted(crashes, key=lambda item: item.at_s):
        if item.at_s - counted_s >= SEPARATE_CRASHES_S:
            weight, counted_s = weight + item.weight, item.at_s
    return weight
