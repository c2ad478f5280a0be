"""Withhold calls with traits under which upstreams crash."""

import asyncio
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, UpstreamId
from bramleyport.fleet import (
    Call,
    CrashId,
    CrashReport,
    HarmlessTrait,
    Registration,
    TraitId,
    Verdict,
    describe_traits,
    is_request,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._verdict_store import VerdictStore, log_verdict
from bramleyport.telemetry import gateway_events, log_event

WITHHELD_PART: Final = "withheld_part"
WITHHELD_REQUEST: Final = "withheld_request"
SUSPECT_PART: Final = "suspect_part"
# Time for which a broken call waits to learn whether its upstream has ended.
CHECK_TIMEOUT_S: Final = 0.1
# Time for which a broken call accuses its traits once its upstream has ended.
BROKEN_KEEP_S: Final = 10.0
MAX_BROKEN: Final = 1024
# Time for which own reports are sent to gateways that start, and for which they are
# repeated to all.
REPORT_KEEP_S: Final = 60.0
REPORT_REPEAT_S: Final = 3.0
MAX_REPORTS: Final = 24
# Reports of one crash on calls that had run, as upstreams have many of them at a time.
MAX_RUNNING_REPORTS: Final = 8
# Time between two looks at a running answer for each part of its prompt, as a look
# concerns all parts.
LOOK_INTERVAL_S: Final = 0.0003
MIN_RETRY_S: Final = 1.0
# Shortest time after which the caller of a call that is held for a moment returns.
MIN_HOLD_RETRY_S: Final = 0.1


def find_look_interval(call: Call) -> float:
    """Return the seconds between two looks at an answer that goes on."""
    return LOOK_INTERVAL_S * len(call.traits.parts)


@dataclass(slots=True)
class CrashUpdates:
    """Describe what the other gateways have to learn of crashes."""

    reports: list[CrashReport] = field(default_factory=list)
    harmless: list[HarmlessTrait] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.reports or self.harmless or self.verdicts)


@dataclass(frozen=True, slots=True, kw_only=True)
class _BrokenCall:
    """Describe a call whose connection broke before its answer was complete."""

    target: Registration
    call: Call
    at_s: float
    answer_began: bool
    # Time since the first event of the answer; None if it had none.
    ran_s: float | None


class CrashGuard:
    """Collect evidence on traits of calls from attempts and other gateways."""

    def __init__(
        self, state: GatewayState, exchanger: Exchanger, verdicts: VerdictStore
    ) -> None:
        self._state = state
        self._evidence = state.crash_evidence
        self._exchanger = exchanger
        self._verdicts = verdicts
        self._broken: list[_BrokenCall] = []
        self._pending = CrashUpdates()
        # Own reports with the time at which they were made.
        self._reports: list[tuple[float, CrashReport]] = []
        self._own_verdicts: list[tuple[float, Verdict]] = []
        self._checks: dict[UpstreamId, asyncio.Task[None]] = {}
        # Called when the other gateways have to be told at once.
        self.on_updates_pending: Callable[[], None] | None = None

    def find_refusal(self, call: Call) -> Rejected | None:
        """Return why a call must not be sent to any upstream, or None."""
        traits = call.traits
        verdict = self._evidence.find_verdict(traits)
        if verdict is not None:
            return self._refuse(verdict)
        hold_s = self._evidence.forecast_hold(traits, read_now())
        if hold_s <= 0:
            return None
        retry_after_s = max(MIN_HOLD_RETRY_S, hold_s)
        return Rejected(Explanation(reason=SUSPECT_PART, numbers={}), retry_after_s)

    async def request_trial(self, call: Call) -> None:
        """Request the trial of a withheld call if one is due."""
        verdict = self._evidence.find_verdict(call.traits)
        if verdict is not None:
            await self._verdicts.request_trial(verdict.trait)

    def take_trial(self, call: Call) -> bool:
        """Return whether a call tries a trait that is withheld or that was withheld."""
        now_s = read_now()
        traits = call.traits
        verdict = self._evidence.find_verdict(traits)
        if verdict is not None:
            return self._verdicts.take_trial(verdict.trait, now_s)
        if self._evidence.forecast_hold(traits, now_s) > 0:
            return False
        return self._evidence.take_trial(traits, now_s)

    def return_trial(self, call: Call) -> None:
        """Return the permit of a trial for which no upstream was found."""
        verdict = self._evidence.find_verdict(call.traits)
        if verdict is not None:
            self._verdicts.return_trial(verdict.trait, read_now())

    def _refuse(self, verdict: Verdict) -> Rejected:
        wait_s = self._verdicts.forecast_trial(verdict.trait, read_now())
        explanation = Explanation(
            reason=WITHHELD_REQUEST if is_request(verdict.trait) else WITHHELD_PART,
            numbers={"crashes": float(verdict.crashes)},
        )
        return Rejected(explanation, max(MIN_RETRY_S, wait_s))

    def record_answered(self, call: Call, answered_s: float) -> None:
        """Record that a call was answered to its end, and when that began."""
        withheld = self._list_withheld()
        accused = self._evidence.record_answered(call.traits, answered_s)
        if not accused:
            return
        self._pending.harmless += accused
        self._notify()
        self._remove_released(withheld, call)

    async def record_broken(
        self,
        call: Call,
        target: Registration,
        *,
        answer_began: bool,
        ran_s: float | None = None,
    ) -> None:
        """Record that a connection broke before the answer to a call was complete.

        A call that may have crashed its upstream waits until that is known, so that it
        is not sent again before. `ran_s` is the time since its first event, if any.
        """
        now_s = read_now()
        self._drop_old(now_s)
        if call.identity is not None:
            call.identity.release_body()
        self._broken.append(
            _BrokenCall(
                target=target,
                call=call,
                at_s=now_s,
                answer_began=answer_began,
                ran_s=ran_s,
            )
        )
        del self._broken[:-MAX_BROKEN]
        check = self._start_check(target)
        is_waiting = answer_began and ran_s is None
        if self._evidence.may_withhold_next(call.traits, answer_began=is_waiting):
            await asyncio.wait([check], timeout=CHECK_TIMEOUT_S)

    def _start_check(self, target: Registration) -> asyncio.Task[None]:
        check = self._checks.get(target.upstream)
        if check is None:
            check = asyncio.ensure_future(self._check_listening(target))
            self._checks[target.upstream] = check
            check.add_done_callback(lambda _: self._checks.pop(target.upstream, None))
        return check

    def record_refused(self, upstream: UpstreamId) -> None:
        """Record that the registered process of an upstream seems to have ended."""
        self._state.record_ended(upstream, read_now())
        self.confirm_crash(upstream)

    def confirm_crash(self, upstream: UpstreamId) -> None:
        """Report the broken calls of an upstream whose process has ended."""
        now_s = read_now()
        self._drop_old(now_s)
        broken = [item for item in self._broken if item.target.upstream == upstream]
        self._broken = [item for item in self._broken if item not in broken]
        for item in _select_suspect(broken):
            self._report(item, now_s)

    def apply_report(self, report: CrashReport, origin: str) -> None:
        """Apply the report of another gateway."""
        self._object(report.contestable, report.at_s)
        withheld = self._list_withheld()
        for verdict in self._evidence.record_crash(report, read_now()):
            log_verdict(verdict, origin)
            if any(verdict.trait in own.traits for _, own in self._reports):
                self._verdicts.write(verdict)
        self._remove_cleared(withheld)

    def record_running(self, call: Call, began_s: float) -> None:
        """Record that an answer goes on; clear what others have crashed under by then.

        `began_s` is the time of its first event.
        """
        notices = self._evidence.record_running(call.traits, began_s, read_now())
        if not notices:
            return
        for notice in notices:
            self._evidence.apply_harmless(notice)
        self._pending.harmless += notices
        self._notify()

    def apply_harmless(self, notice: HarmlessTrait) -> None:
        """Apply what another gateway knows of a trait."""
        self._pending.harmless = [
            item for item in self._pending.harmless if item.trait != notice.trait
        ]
        withheld = self._list_withheld()
        self._evidence.apply_harmless(notice)
        for trait in withheld - self._list_withheld():
            log_event(
                gateway_events.TRAIT_RELEASED,
                trait=trait,
                reason="another gateway had a call answered",
            )

    def apply_verdict(self, verdict: Verdict, origin: str) -> None:
        """Apply the verdict of another gateway."""
        if not self._evidence.is_plausible(verdict):
            self._object([verdict.trait], -math.inf)
        elif self._evidence.apply_verdict(verdict):
            log_verdict(verdict, origin)

    def take_updates(self) -> CrashUpdates:
        """Return and clear what the other gateways have to learn."""
        updates = self._pending
        self._pending = CrashUpdates()
        return updates

    def list_known(self) -> CrashUpdates:
        """Return what a gateway that starts has to learn."""
        self._drop_old(read_now())
        return CrashUpdates(
            reports=[
                self._evidence.update_report(report) for _, report in self._reports
            ],
            verdicts=list(self._evidence.verdicts[-MAX_REPORTS:]),
        )

    def repeat_reports(self) -> None:
        """Send recent reports, answers and verdicts again, as datagrams may be lost."""
        since_s = read_now() - REPORT_REPEAT_S
        recent = [report for at_s, report in self._reports if at_s >= since_s]
        for report in recent:
            self._object(report.contestable, report.at_s)
        updated = map(self._evidence.update_report, recent)
        known = set(self._pending.reports)
        self._pending.reports += [item for item in updated if item not in known]
        # Gateways that know the trait to be harmless object each time.
        self._own_verdicts = [item for item in self._own_verdicts if item[0] >= since_s]
        in_force = self._evidence.verdicts
        self._pending.verdicts += [
            verdict for _, verdict in self._own_verdicts if verdict in in_force
        ]

    async def _check_listening(self, target: Registration) -> None:
        if await self._exchanger.is_refusing(target):
            self.record_refused(target.upstream)

    def _report(self, item: _BrokenCall, now_s: float) -> None:
        crash = CrashId(item.target.upstream, item.target.started_ms)
        report = self._evidence.make_report(
            crash,
            item.call.traits,
            item.at_s,
            answer_began=item.answer_began,
            ran_s=item.ran_s,
        )
        if report is None:
            return
        self._apply_answered_since(item)
        log_event(
            gateway_events.CRASH_REPORTED,
            request=item.call.request,
            upstream=crash.upstream,
            unproven=describe_traits(report.unproven),
            proven=describe_traits(report.traits - report.unproven),
            answer_began=report.answer_began,
            ran_s=-1.0 if item.ran_s is None else round(item.ran_s, 3),
        )
        withheld = self._list_withheld()
        self._reports.append((now_s, report))
        self._pending.reports.append(report)
        for verdict in self._evidence.record_crash(report, now_s):
            log_verdict(verdict, "")
            self._pending.verdicts.append(verdict)
            self._own_verdicts.append((now_s, verdict))
            self._verdicts.write(verdict)
        self._remove_cleared(withheld)
        self._notify()

    def _apply_answered_since(self, item: _BrokenCall) -> None:
        """Clear the request of a broken call if it was answered since then."""
        withheld = self._list_withheld()
        for notice in self._evidence.find_answered_since(item.call.traits, item.at_s):
            self._evidence.apply_harmless(notice)
            if notice not in self._pending.harmless:
                self._pending.harmless.append(notice)
        self._remove_released(withheld, item.call)

    def _remove_released(self, withheld: set[TraitId], call: Call) -> None:
        """Remove the verdicts that were in force before an answer to a call."""
        for trait in withheld - self._list_withheld():
            self._verdicts.remove(trait)
            log_event(
                gateway_events.TRAIT_RELEASED,
                trait=trait,
                reason="a call was answered",
                request=call.request,
            )

    def _remove_cleared(self, withheld: set[TraitId]) -> None:
        """Remove the verdicts that were in force before the cause was found."""
        for trait in withheld - self._list_withheld():
            self._verdicts.remove(trait)
            log_event(
                gateway_events.TRAIT_RELEASED,
                trait=trait,
                reason="the crashes have another cause",
            )

    def _list_withheld(self) -> set[TraitId]:
        return {verdict.trait for verdict in self._evidence.verdicts}

    def _object(self, traits: Iterable[TraitId], since_s: float) -> None:
        """Tell the others of traits that this gateway knows to be harmless."""
        pending = {notice.trait for notice in self._pending.harmless}
        unsent = [trait for trait in traits if trait not in pending]
        self._pending.harmless += self._evidence.find_harmless(unsent, since_s)

    def _notify(self) -> None:
        if self.on_updates_pending is not None:
            self.on_updates_pending()

    def _drop_old(self, now_s: float) -> None:
        broken_s = now_s - BROKEN_KEEP_S
        self._broken = [item for item in self._broken if item.at_s >= broken_s]
        reported_s = now_s - REPORT_KEEP_S
        kept = [item for item in self._reports if item[0] >= reported_s]
        self._reports = kept[-MAX_REPORTS:]


def _select_suspect(broken: Sequence[_BrokenCall]) -> list[_BrokenCall]:
    """Return the calls to report: of those that had run, the ones with least time.

    The one with most time comes with them, as it shows what it was spared.
    """
    waiting = [item for item in broken if item.ran_s is None]
    running = sorted(
        (item for item in broken if item.ran_s is not None),
        key=lambda item: item.ran_s or 0.0,
    )
    if len(running) > MAX_RUNNING_REPORTS:
        running = [*running[: MAX_RUNNING_REPORTS - 1], running[-1]]
    return waiting + running
