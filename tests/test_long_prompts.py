"""Guard upstreams against parts that crash them, behind hundreds of others.

Only the first 31 parts of a prompt were looked at. One behind them was never withheld,
and the parts in front of it, which sound calls share, were in its place.
"""

from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest

from bramleyport.core import ProcessId, RequestId, UpstreamId
from bramleyport.fleet import (
    CallTraits,
    CrashEvidence,
    CrashId,
    CrashReport,
    PrefixId,
    PromptPart,
    RequestIdentity,
    Verdict,
    Work,
)
from bramleyport.fleet._traits import describe_traits, make_part_traits
from bramleyport.gateway._crash_guard import CrashUpdates
from bramleyport.gateway._peer_batches import take_batch
from bramleyport.gateway._peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
)
from bramleyport.gateway._work_tracker import PendingUpdates
from tests.crash_bound import MAX_LATE_ARRIVALS
from tests.guarded_fleet import DEADLY, STABLE_S, GuardedFleet
from tests.platform_standin._crashes import BEFORE_HEAD
from tests.prompt_traffic import send_until
from tests.test_crash_points import CLEARED_S
from tests.test_crashing_parts import check_bound, is_bound_reached, run_traffic

Run = Callable[[Coroutine[Any, Any, Any]], Any]
# What one datagram takes.
MAX_DATAGRAM_BYTES = 65_507
# As many parts as fit into a head of 16 KiB, with names of 5 characters.
MANY = 1_600
POINTS_S = ((-0.01,), (0.02,), (0.4,))


def make_lead(count: int) -> tuple[str, ...]:
    return tuple(f"{0xA0000 + number:x}" for number in range(count))


# Guards against a part that is not looked at, and the sound calls that share the rest.
@pytest.mark.parametrize("points_s", POINTS_S)
@pytest.mark.parametrize("count", [40, 300])
def test_part_behind_many_others_is_withheld_alone(
    points_s: tuple[float, ...], count: int
) -> None:
    fleet = GuardedFleet(Random(1), lead=make_lead(count))
    for _ in range(20):
        fleet.send_sound(1.0)
        fleet.run(0.1)
    fleet.is_deadly = True
    for number in range(250):
        if number % 10 == 0:
            fleet.send_deadly(points_s[0])
        fleet.send_sound(1.0)
        fleet.run(0.1)
    assert fleet.count_late() <= MAX_LATE_ARRIVALS
    fleet.run(CLEARED_S)
    withheld = {item for item in fleet.list_withheld() if item in {*fleet.lead, DEADLY}}
    before = fleet.sound_refused
    for _ in range(50):
        fleet.send_sound(1.0)
        fleet.run(0.1)
    refused = fleet.sound_refused
    fleet.close()
    assert withheld == {DEADLY}
    assert refused == before


# Guards sound calls with long prompts at upstreams that crash for other causes.
@pytest.mark.parametrize("count", [40, 300])
def test_long_prompts_are_not_withheld_for_crashes_by_chance(count: int) -> None:
    fleet = GuardedFleet(Random(2), lead=make_lead(count))
    for number in range(80):
        if number % 8 == 7:
            fleet.crash_by_chance()
        for _ in range(2):
            fleet.send_sound(3.0)
        fleet.run(STABLE_S / 6)
    withheld, refused = fleet.list_withheld(), fleet.sound_refused
    fleet.close()
    assert withheld == set()
    assert refused == 0


# The same with real gateways and engines, whose reports are datagrams.
@pytest.mark.parametrize("point", [BEFORE_HEAD, 1])
@pytest.mark.parametrize("count", [40, 300])
def test_long_prompts_that_crash_engines_are_withheld(
    run: Run, tmp_path: Path, count: int, point: int
) -> None:
    async def check() -> None:
        async with run_traffic(tmp_path, gateways=4, stable_ms=3000) as traffic:
            traffic.set_lead(make_lead(count))
            traffic.set_part_tokens(20)
            assert all([(await traffic.send_sound()).is_served for _ in range(12)])
            traffic.set_crash_points(point)
            traffic.set_deadly_parts(DEADLY)
            await send_until(
                lambda: is_bound_reached(traffic, DEADLY),
                lambda: traffic.send_deadly(DEADLY),
                lambda: traffic.send_sound(),
            )
            check_bound(traffic, DEADLY)
            await traffic.wait_recovered()
            sound = [await traffic.send_sound() for _ in range(12)]
            assert all(item.is_served for item in sound)

    run(check())


def make_report(number: int, *parts: str) -> CrashReport:
    evidence = CrashEvidence(ProcessId("g"))
    crash = CrashId(UpstreamId(f"d{number}"), 1)
    traits = CallTraits(make_part_traits(parts), RequestIdentity([], b"body"))
    report = evidence.make_report(crash, traits, number, answer_began=True)
    assert report is not None
    return report


# Guards against a message that is too long to be sent, with all that is in it.
def test_messages_about_long_prompts_fit_into_datagrams() -> None:
    lead = make_lead(MANY)
    parts = tuple(PromptPart(PrefixId(name), 400) for name in lead)
    work = [
        Work(
            request=RequestId(f"r{number}"),
            upstream=UpstreamId("d"),
            priority=5,
            prefill_s=0.1,
            prefill_cost=100.0,
            started_s=0.0,
            parts=parts,
        )
        for number in range(7)
    ]
    reports = [make_report(number, *lead, DEADLY) for number in range(5)]
    trait = make_part_traits([DEADLY])[0]
    verdicts = [
        Verdict(trait=trait, companions=reports[0].traits, crashes=2) for _ in range(5)
    ]
    crashes = CrashUpdates(reports=list(reports), verdicts=list(verdicts))
    pending = PendingUpdates(started=list(work), crashes=crashes)
    started: list[Work] = []
    told: list[CrashReport] = []
    found: list[Verdict] = []
    while pending:
        fields = take_batch(pending)
        message = PeerMessage(process=ProcessId("g"), incarnation=1, **fields)
        data = encode_message(message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = decode_datagram(data, 0.0)
        assert isinstance(decoded, PeerMessage)
        assert decoded.invalid == ()
        started += decoded.started
        told += decoded.reports
        found += decoded.verdicts
    assert [item.parts for item in started] == [parts] * 7
    assert {item.traits for item in told} == {item.traits for item in reports}
    assert [item.companions for item in found] == [reports[0].traits] * 5


# Guards against memory in proportion to the square of the parts.
def test_parts_of_a_prompt_share_their_companions() -> None:
    evidence = CrashEvidence(ProcessId("g"))
    lead = make_lead(MANY)
    for number in range(3):
        # Each request has one part of its own.
        evidence.record_crash(make_report(number, *lead, f"own {number}"), number)
    suspects = evidence._suspects.values()
    assert len(suspects) > MANY
    assert len({id(item.companions) for item in suspects}) < 20
    evidence.record_answered(CallTraits(make_part_traits(lead[1:])), 9.0)
    accused = [*suspects, *evidence.verdicts]
    assert all(item.companions.isdisjoint(lead[1:]) for item in accused)
    assert lead[0] in evidence._suspects


# Guards against lines of the log as long as a prompt, and against a silent end of one.
def test_log_says_how_many_traits_it_leaves_out() -> None:
    described = describe_traits(make_part_traits(make_lead(40)))
    assert described[-1] == "and 16 more"
    assert describe_traits(make_part_traits(["a", "b"])) == ["a", "b"]
