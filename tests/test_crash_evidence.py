"""Guard what crashes and answered calls show of the parts of prompts."""

import itertools

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import (
    CallTraits,
    CrashEvidence,
    CrashId,
    HarmlessTrait,
    RequestIdentity,
    TraitId,
    Verdict,
    is_request,
)
from bramleyport.fleet._answered_traits import MAX_PARTS, MAX_REQUESTS
from bramleyport.fleet._convictions import CRASHES_DESPITE_ANSWERS
from bramleyport.fleet._crash_evidence import (
    HOLD_S,
    HOLD_SPREAD_S,
    MAX_SUSPECTS,
    MAX_VERDICTS,
    TRIAL_INTERVAL_S,
)
from bramleyport.fleet._traits import make_part_traits

NOW_S = 100.0
REQUEST_NUMBERS = itertools.count()


def make_parts(*names: str) -> CallTraits:
    """Return the traits of a request of its own."""
    body = f"request {next(REQUEST_NUMBERS)}".encode()
    return make_request(body, *names)


def make_request(body: bytes, *names: str) -> CallTraits:
    return CallTraits(make_part_traits(names), RequestIdentity([b"POST"], body))


def make_evidence() -> CrashEvidence:
    return CrashEvidence(ProcessId("g0"))


def crash(
    evidence: CrashEvidence,
    engine: str,
    *names: str,
    now_s: float = NOW_S,
    answer_began: bool = True,
) -> list[Verdict]:
    """Crash an engine under a request that no other crash has."""
    traits = make_parts(*names)
    return crash_call(evidence, engine, traits, now_s=now_s, answer_began=answer_began)


def crash_call(
    evidence: CrashEvidence,
    engine: str,
    traits: CallTraits,
    *,
    now_s: float = NOW_S,
    answer_began: bool = True,
) -> list[Verdict]:
    report = evidence.make_report(
        CrashId(UpstreamId(engine), 1), traits, now_s, answer_began=answer_began
    )
    assert report is not None
    return evidence.record_crash(report, now_s)


def test_second_crash_withholds_calls_with_the_part() -> None:
    """Guards against engines that crash one after another under one part."""
    evidence = make_evidence()
    assert crash(evidence, "e1", "shared", "bad") == []
    evidence.record_answered(make_parts("shared"), NOW_S)
    verdicts = crash(evidence, "e2", "shared", "bad")
    assert [item.trait for item in verdicts] == ["bad"]
    assert evidence.find_verdict(make_parts("shared", "bad"))
    assert evidence.find_verdict(make_parts("shared")) is None


def test_calls_at_the_same_crash_count_once() -> None:
    """Guards against a verdict after one crash that broke several calls."""
    evidence = make_evidence()
    assert crash(evidence, "e1", "a") == []
    assert crash(evidence, "e1", "a") == []


def test_last_part_is_never_accused() -> None:
    """Guards against withholding a session for a part that only it has."""
    evidence = make_evidence()
    report = evidence.make_report(
        CrashId(UpstreamId("e1"), 1), make_parts(), NOW_S, answer_began=True
    )
    assert report is not None
    assert all(map(is_request, report.traits))


def test_parts_that_were_always_together_are_withheld_together() -> None:
    """Guards against withholding sound calls that share one part with accused ones."""
    evidence = make_evidence()
    crash(evidence, "e1", "new", "bad")
    crash(evidence, "e2", "new", "bad")
    assert evidence.find_verdict(make_parts("new", "bad"))
    assert evidence.find_verdict(make_parts("new")) is None
    evidence.record_answered(make_parts("new"), NOW_S)
    assert evidence.find_verdict(make_parts("another", "bad"))


def test_answered_call_releases_its_parts() -> None:
    """Guards against withholding a part that proves harmless afterwards."""
    evidence = make_evidence()
    crash(evidence, "e1", "a")
    crash(evidence, "e2", "a")
    evidence.record_answered(make_parts("a"), NOW_S + 1)
    assert evidence.find_verdict(make_parts("a")) is None


def test_many_crashes_at_once_accuse_no_part_that_was_answered() -> None:
    """Guards against withholding shared parts when a rack of engines is lost."""
    evidence = make_evidence()
    evidence.record_answered(make_parts("shared"), NOW_S - 50)
    for number in range(10):
        crash(evidence, f"e{number}", "shared", answer_began=False)
    assert evidence.verdicts == ()


def test_part_that_turns_bad_is_withheld_before_the_fifth_crash() -> None:
    """Guards against trusting a part for ever because it was answered once."""
    evidence = make_evidence()
    evidence.record_answered(make_parts("shared"), NOW_S - 1)
    for number in range(CRASHES_DESPITE_ANSWERS):
        assert evidence.verdicts == ()
        crash(evidence, f"e{number}", "shared", answer_began=True)
    assert [item.trait for item in evidence.verdicts] == ["shared"]


def test_gateway_that_started_late_withdraws_a_verdict_on_a_known_part() -> None:
    """Guards against a gateway that knows no answered call and blames shared parts."""
    late = make_evidence()
    crash(late, "e1", "shared")
    (verdict,) = crash(late, "e2", "shared")
    experienced = make_evidence()
    experienced.record_answered(make_parts("shared"), NOW_S - 10)
    assert not experienced.is_plausible(verdict)
    assert not experienced.apply_verdict(verdict)
    for notice in experienced.find_harmless([verdict.trait]):
        late.apply_harmless(notice)
    assert late.verdicts == ()


def test_earlier_answer_does_not_clear_later_crashes() -> None:
    """Guards against old answers that hide a part which has turned bad."""
    evidence = make_evidence()
    evidence.record_answered(make_parts("shared"), NOW_S - 10)
    crash(evidence, "e1", "shared")
    evidence.apply_harmless(HarmlessTrait(TraitId("shared"), NOW_S - 5))
    assert evidence.record_answered(make_parts("shared"), NOW_S + 1)


def test_part_is_held_after_one_crash_in_which_an_answer_began() -> None:
    """Guards against a second crash at once, by a retry of the same call."""
    evidence = make_evidence()
    parts = make_parts("bad")
    crash_call(evidence, "e1", parts)
    assert evidence.forecast_hold(parts, NOW_S) >= HOLD_S
    later_s = NOW_S + HOLD_S + HOLD_SPREAD_S
    assert evidence.forecast_hold(parts, later_s) == 0
    assert evidence.take_trial(parts, later_s)
    assert 0 < evidence.forecast_hold(parts, later_s) <= TRIAL_INTERVAL_S


def test_crash_before_any_answer_began_holds_nothing() -> None:
    """Guards against refusing calls that only waited at an engine that crashed."""
    evidence = make_evidence()
    crash(evidence, "e1", "waiting", answer_began=False)
    assert evidence.forecast_hold(make_parts("waiting"), NOW_S) == 0
    assert not evidence.take_trial(make_parts("waiting"), NOW_S)


def test_gateways_try_a_part_again_at_different_times() -> None:
    """Guards against a crash of several engines when a hold ends everywhere."""
    holds_s = set()
    for number in range(5):
        evidence = CrashEvidence(ProcessId(f"g{number}"))
        crash(evidence, "e1", "bad", answer_began=True)
        holds_s.add(evidence.forecast_hold(make_parts("bad"), NOW_S))
    assert len(holds_s) == 5


def test_two_bad_parts_are_told_apart() -> None:
    """Guards against evidence on one part that hides another."""
    evidence = make_evidence()
    for number, part in enumerate(("bad1", "bad2", "bad1", "bad2")):
        crash(evidence, f"e{number}", "shared", part)
    evidence.record_answered(make_parts("shared"), NOW_S)
    assert {item.trait for item in evidence.verdicts} == {"bad1", "bad2"}


def test_memory_is_bounded_for_any_number_of_parts() -> None:
    """Guards against memory that grows with parts that never repeat."""
    evidence = make_evidence()
    for number in range(2 * MAX_PARTS):
        evidence.record_answered(make_parts(f"h{number}"), NOW_S)
    for number in range(2 * MAX_SUSPECTS):
        crash(evidence, f"e{number}", f"s{number}", "x" * 5000 + str(number))
    for number in range(2 * MAX_VERDICTS):
        part = TraitId(f"v{number}")
        evidence.apply_verdict(
            Verdict(trait=part, companions=frozenset((part,)), crashes=2)
        )
    assert len(evidence._suspects) <= MAX_SUSPECTS
    assert len(evidence._answered) <= MAX_PARTS + MAX_REQUESTS
    assert len(evidence.verdicts) <= MAX_VERDICTS
    assert all(len(part) <= 64 for part in evidence._suspects)


def test_repeated_report_accuses_no_part_that_was_answered_since() -> None:
    """Guards against a part that is suspect again because a report was sent twice."""
    evidence = make_evidence()
    report = evidence.make_report(
        CrashId(UpstreamId("e1"), 1), make_parts("a"), NOW_S, answer_began=True
    )
    assert report is not None
    evidence.record_crash(report, NOW_S)
    evidence.record_answered(make_parts("a"), NOW_S + 1)
    evidence.record_crash(report, NOW_S + 2)
    assert evidence.forecast_hold(make_parts("a"), NOW_S + 2) == 0


def test_notice_of_an_answer_overtaken_by_an_earlier_report_clears_the_part() -> None:
    """Guards against a part that stays suspect since messages arrived out of order."""
    evidence = make_evidence()
    report = evidence.make_report(
        CrashId(UpstreamId("e1"), 1), make_parts("a"), NOW_S, answer_began=True
    )
    assert report is not None
    evidence.record_crash(report, NOW_S + 2)
    evidence.apply_harmless(HarmlessTrait(TraitId("a"), NOW_S + 1))
    assert evidence.forecast_hold(make_parts("a"), NOW_S + 2) == 0


def test_gateway_that_starts_trusts_what_reports_call_proven() -> None:
    """Guards against a gateway that blames parts that others know to be harmless."""
    experienced = make_evidence()
    experienced.record_answered(make_parts("shared"), NOW_S - 10)
    late = CrashEvidence(ProcessId("late"))
    for number in range(3):
        report = experienced.make_report(
            CrashId(UpstreamId(f"e{number}"), 1),
            make_parts("shared", "bad"),
            NOW_S,
            answer_began=True,
        )
        assert report is not None
        late.record_crash(report, NOW_S)
    assert [item.trait for item in late.verdicts] == ["bad"]


def test_crash_with_a_known_cause_accuses_nothing_else() -> None:
    """Guards against withholding what calls with a bad part share with sound ones."""
    evidence = make_evidence()
    evidence.record_answered(make_parts("shared"), NOW_S - 1)
    crash(evidence, "e1", "bad")
    crash(evidence, "e2", "bad")
    for number in range(3, 9):
        crash(evidence, f"e{number}", "shared", "bad", answer_began=True)
    assert [item.trait for item in evidence.verdicts] == ["bad"]


def test_report_that_is_sent_again_leaves_out_what_was_answered_since() -> None:
    """Guards against a gateway that starts and blames what others answer by now."""
    evidence = make_evidence()
    report = evidence.make_report(
        CrashId(UpstreamId("e1"), 1),
        make_parts("shared", "bad"),
        NOW_S,
        answer_began=True,
    )
    assert report is not None
    evidence.record_answered(make_parts("shared"), NOW_S + 1)
    updated = evidence.update_report(report)
    parts = {trait for trait in updated.traits if not is_request(trait)}
    assert parts == {"bad"}
    assert updated.traits == updated.unproven


def test_two_crashes_before_any_answer_began_withhold_nothing() -> None:
    """Guards against withholding what only waited at two engines of a lost rack."""
    evidence = make_evidence()
    assert crash(evidence, "e1", "new", answer_began=False) == []
    assert crash(evidence, "e2", "new", answer_began=False) == []
    assert crash(evidence, "e3", "new", answer_began=False) != []


def test_stream_that_began_before_the_crashes_releases_nothing() -> None:
    """Guards against a verdict that ends since an older stream reaches its end."""
    evidence = make_evidence()
    for number in range(CRASHES_DESPITE_ANSWERS):
        crash(evidence, f"e{number}", "bad")
    evidence.apply_verdict(
        Verdict(
            trait=TraitId("bad"),
            companions=frozenset((TraitId("bad"),)),
            crashes=CRASHES_DESPITE_ANSWERS,
        )
    )
    evidence.record_answered(make_parts("bad"), NOW_S - 1)
    assert evidence.find_verdict(make_parts("bad"))


def test_part_proven_harmless_is_no_companion_of_a_stored_verdict() -> None:
    """Guards against calls with a bad part that pass for lack of a harmless one."""
    evidence = make_evidence()
    pair = frozenset((TraitId("bad"), TraitId("shared")))
    evidence.apply_verdict(Verdict(trait=TraitId("bad"), companions=pair, crashes=2))
    evidence.record_answered(make_parts("shared"), NOW_S)
    assert evidence.find_verdict(make_parts("other", "bad"))
