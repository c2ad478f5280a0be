"""Guard what crashes and answered calls show of whole requests."""

import itertools
from collections.abc import Sequence

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import (
    CallTraits,
    CrashEvidence,
    CrashId,
    HarmlessTrait,
    RequestIdentity,
    Verdict,
    choose_trial_interval,
    is_request,
)
from bramleyport.fleet._convictions import CRASHES_DESPITE_ANSWERS, CRASHES_DESPITE_TIES
from bramleyport.fleet._crash_evidence import MAX_SUSPECTS, MAX_VERDICTS
from bramleyport.fleet._recent_requests import (
    MAX_RECENT_REQUESTS,
    MIN_RECENT_ANSWERS,
    RECENT_REQUEST_KEEP_S,
)
from bramleyport.fleet._traits import make_part_traits

NOW_S = 100.0
NUMBERS = itertools.count()


def make_call(body: str, *parts: str, path: str = "/x") -> CallTraits:
    identity = RequestIdentity([b"GET", path.encode()], body.encode())
    return CallTraits(make_part_traits(parts), identity)


def make_sound() -> CallTraits:
    return make_call(f"sound {next(NUMBERS)}")


def make_evidence() -> CrashEvidence:
    return CrashEvidence(ProcessId("g0"))


def crash(
    evidence: CrashEvidence,
    upstream: str,
    calls: Sequence[CallTraits],
    *,
    now_s: float = NOW_S,
    answer_began: bool = False,
) -> list[Verdict]:
    """Crash an upstream under some calls; return the verdicts."""
    verdicts = []
    for call in calls:
        report = evidence.make_report(
            CrashId(UpstreamId(upstream), 1), call, now_s, answer_began=answer_began
        )
        assert report is not None
        verdicts += evidence.record_crash(report, now_s)
    return verdicts


def record_answers(
    evidence: CrashEvidence,
    call: CallTraits,
    answered_s: float,
    count: int = MIN_RECENT_ANSWERS,
) -> None:
    for _ in range(count):
        evidence.record_answered(call, answered_s)


def test_two_crashes_suffice_for_a_request_that_was_alone() -> None:
    """Guards against a third upstream that is lost to a cause that is known."""
    evidence = make_evidence()
    assert crash(evidence, "p0", [make_call("bad")]) == []
    assert len(crash(evidence, "p1", [make_call("bad")])) == 1
    assert evidence.find_verdict(make_call("bad"))
    assert evidence.find_verdict(make_call("other")) is None
    assert evidence.find_verdict(make_call("bad", path="/y")) is None


def test_request_answered_lately_is_withheld_after_three_crashes() -> None:
    """Guards against refusing a sound request that two unrelated crashes broke off."""
    evidence = make_evidence()
    call = make_call("poll")
    record_answers(evidence, call, NOW_S - 1)
    for number in range(2):
        assert crash(evidence, f"p{number}", [call], answer_began=True) == []
    assert len(crash(evidence, "p2", [call], answer_began=True)) == 1


def test_request_answered_long_ago_is_withheld_after_two_crashes() -> None:
    """Guards against answers that delay a verdict though much has changed since."""
    evidence = make_evidence()
    call = make_call("bad")
    record_answers(evidence, call, NOW_S - RECENT_REQUEST_KEEP_S - 1)
    crash(evidence, "p0", [call], answer_began=True)
    assert len(crash(evidence, "p1", [call], answer_began=True)) == 1


def test_few_answers_do_not_delay_a_verdict() -> None:
    """Guards against a third upstream lost to a request that one upstream answers."""
    evidence = make_evidence()
    call = make_call("bad")
    record_answers(evidence, call, NOW_S - 1, MIN_RECENT_ANSWERS - 1)
    crash(evidence, "p0", [call], answer_began=True)
    assert len(crash(evidence, "p1", [call], answer_began=True)) == 1


def test_gateways_learn_from_reports_that_a_request_was_answered_lately() -> None:
    """Guards against a verdict at gateways that did not answer the request lately."""
    evidence, other = make_evidence(), make_evidence()
    call = make_call("poll")
    record_answers(evidence, call, NOW_S - 1)
    for number in range(2):
        crash_id = CrashId(UpstreamId(f"p{number}"), 1)
        report = evidence.make_report(crash_id, call, NOW_S, answer_began=True)
        assert report is not None
        assert other.record_crash(report, NOW_S) == []


def test_three_crashes_suffice_beside_five_others() -> None:
    """Guards against requests that hide behind those that break beside them."""
    evidence = make_evidence()
    for number in range(3):
        assert evidence.find_verdict(make_call("bad")) is None
        others = [make_sound() for _ in range(5)]
        crash(evidence, f"p{number}", [*others, make_call("bad")])
    assert evidence.find_verdict(make_call("bad"))
    assert len(evidence.verdicts) == 1


def test_crowd_that_broke_as_often_delays_the_verdict() -> None:
    """Guards against refusing sixty sound requests for one that crashes upstreams."""
    evidence = make_evidence()
    crowd = [make_call(f"crowd {number}") for number in range(60)]
    for number in range(3):
        crash(evidence, f"p{number}", [*crowd, make_call("bad")])
    assert len(evidence.verdicts) <= 6
    for call in crowd:
        evidence.record_answered(call, NOW_S + 1)
    crash(evidence, "p3", [make_sound(), make_call("bad")], now_s=NOW_S + 2)
    assert [item.trait for item in evidence.verdicts] == [
        next(iter(make_call("bad").list_all()))
    ]


def test_crowd_does_not_protect_a_request_for_long() -> None:
    """Guards against evidence that never suffices since the same requests break."""
    evidence = make_evidence()
    crowd = [make_call(f"crowd {number}") for number in range(20)]
    for number in range(CRASHES_DESPITE_TIES):
        calls = [*crowd, make_call("bad")]
        sent = [call for call in calls if evidence.find_verdict(call) is None]
        crash(evidence, f"p{number}", sent)
    assert evidence.find_verdict(make_call("bad"))


def test_answer_clears_a_request_that_broke_beside_another() -> None:
    """Guards against crashes that add up over hours for a request that is repeated."""
    evidence = make_evidence()
    for number in range(10):
        now_s = NOW_S + 2 * number
        crash(evidence, f"p{number}", [make_call("poll"), make_sound()], now_s=now_s)
        evidence.record_answered(make_call("poll"), now_s + 1)
    assert evidence.verdicts == ()


def test_answer_at_another_gateway_clears_a_request() -> None:
    """Guards against a verdict at gateways that did not get the answer themselves."""
    evidence, other = make_evidence(), make_evidence()
    for number in range(2):
        for item in (evidence, other):
            crash(item, f"p{number}", [make_call("poll")])
    assert other.find_verdict(make_call("poll"))
    for notice in evidence.record_answered(make_call("poll"), NOW_S + 1):
        other.apply_harmless(notice)
    assert other.find_verdict(make_call("poll")) is None


def test_answer_before_the_crashes_refutes_no_verdict() -> None:
    """Guards against a verdict that ends for an answer from before a new release."""
    evidence = make_evidence()
    call = make_call("bad")
    crash(evidence, "p0", [call], now_s=NOW_S - 50)
    evidence.record_answered(call, NOW_S - 49)
    for number in (1, 2):
        crash(evidence, f"p{number}", [call])
    (verdict,) = evidence.verdicts
    assert evidence.is_plausible(verdict)
    assert evidence.find_harmless([verdict.trait], NOW_S) == []
    evidence.apply_harmless(HarmlessTrait(verdict.trait, NOW_S - 49))
    assert evidence.find_verdict(call)


def test_parts_of_a_deadly_request_are_not_blamed() -> None:
    """Guards against refusing all prompts that share a part with one request."""
    evidence = make_evidence()
    for number in range(CRASHES_DESPITE_ANSWERS + 1):
        call = make_call("bad", "shared", "new")
        crash(evidence, f"d{number}", [call], answer_began=True)
    assert all(is_request(item.trait) for item in evidence.verdicts)
    assert evidence.find_verdict(make_call("sound", "shared", "new")) is None


def test_part_is_blamed_once_two_requests_with_it_crashed_engines() -> None:
    """Guards against a part that hides behind the requests that have it."""
    evidence = make_evidence()
    for number, body in enumerate(("one", "one", "two")):
        crash(evidence, f"d{number}", [make_call(body, "bad")], answer_began=True)
    assert evidence.find_verdict(make_call("three", "bad"))


def test_crash_under_a_withheld_request_accuses_no_other() -> None:
    """Guards against requests that are refused since they ran beside trials."""
    evidence = make_evidence()
    for number in range(3):
        crash(evidence, f"p{number}", [make_call("bad")])
    for number in range(3, 9):
        crash(evidence, f"p{number}", [make_call("bad"), make_call("beside")])
    assert evidence.find_verdict(make_call("beside")) is None


def test_memory_is_bounded_for_any_number_of_requests() -> None:
    """Guards against memory that grows with requests that never repeat."""
    evidence = make_evidence()
    for number in range(2 * MAX_SUSPECTS):
        crash(evidence, f"p{number}", [make_call(f"{number}")])
    for number in range(2 * MAX_VERDICTS):
        (trait,) = make_call(f"v{number}").list_all()
        verdict = Verdict(trait=trait, companions=frozenset((trait,)), crashes=3)
        evidence.apply_verdict(verdict)
    assert len(evidence._suspects) <= MAX_SUSPECTS
    assert len(evidence.verdicts) <= MAX_VERDICTS
    assert len(evidence._verdicts._heads) <= MAX_VERDICTS


def test_memory_is_bounded_for_any_number_of_answered_requests() -> None:
    """Guards against memory that grows with the calls of the last minute."""
    evidence = make_evidence()
    for number in range(2 * MAX_RECENT_REQUESTS):
        evidence.record_answered(make_call(f"{number}"), NOW_S)
    assert len(evidence._recent) <= MAX_RECENT_REQUESTS
    late_s = NOW_S + RECENT_REQUEST_KEEP_S + 1
    evidence.record_answered(make_call("late"), late_s)
    assert len(evidence._recent) == 1


def test_released_body_leaves_the_identity_as_it_was() -> None:
    """Guards against bodies that are kept for as long as their digests are needed."""
    one, two = (RequestIdentity([b"GET", b"/x"], b"body") for _ in range(2))
    one.release_body()
    assert (one.head, one.trait) == (two.head, two.trait)
    assert one.local_key == two.local_key
    assert one._body == b""


def test_three_trials_are_made_within_the_hour() -> None:
    """Guards against more repeats of a request than may reach upstreams."""
    (trait,) = make_call("bad").list_all()
    trials_s = list(
        itertools.accumulate(choose_trial_interval(trait, n) for n in range(4))
    )
    assert trials_s[0] <= 5
    assert trials_s[3] > 3600
