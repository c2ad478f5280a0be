"""Test when engines change between prefill and decode.

The cases are queues of prompts, long answers and failed engines.
"""

from dataclasses import replace

import pytest

from bramleyport.core import UpstreamId
from bramleyport.fleet import (
    EngineView,
    SoftwareVersion,
    Stage,
    StageChange,
    StagePlanner,
)
from bramleyport.fleet._stage_pools import count_min_decoders
from tests.fleet_builders import make_engine

SLOTS = 64
ZONES = "abc"


def make_pool(
    decoders: int,
    prefill_engines: int,
    *,
    backlog_s: float = 0.0,
    decoding: int = 0,
    changing: int = 0,
    ordered_stage: Stage | None = None,
) -> list[EngineView]:
    stages = [Stage.DECODE] * decoders + [Stage.PREFILL] * prefill_engines
    return [
        EngineView(
            registration=make_engine(f"e{n}", stage, zone=ZONES[n % 3]),
            backlog_s=backlog_s,
            decoding_calls=decoding if stage is Stage.DECODE else 0,
            changing=n < changing,
            ordered_stage=ordered_stage if n < changing else None,
        )
        for n, stage in enumerate(stages)
    ]


def plan_until_change(
    planner: StagePlanner, pool: list[EngineView], polls: int = 20
) -> StageChange | None:
    for poll in range(polls):
        change = planner.plan(pool, SLOTS, poll * 0.25)
        if change is not None:
            return change
    return None


@pytest.mark.parametrize(
    ("engines", "least"), [(1, 2), (6, 2), (9, 3), (22, 7), (27, 9), (60, 20)]
)
def test_a_third_of_the_engines_is_kept_for_decode(engines: int, least: int) -> None:
    """Guards against links that are overrun once some of few decode engines fail."""
    assert count_min_decoders(engines) == least


def test_queued_prompts_change_an_idle_engine_to_prefill() -> None:
    change = plan_until_change(StagePlanner(), make_pool(6, 3, backlog_s=0.5))
    assert change is not None
    assert change.stage is Stage.PREFILL
    assert change.explanation.reason == "backlog"


def test_backlog_in_a_single_poll_changes_nothing() -> None:
    planner = StagePlanner()
    assert planner.plan(make_pool(6, 3, backlog_s=0.2, decoding=1), SLOTS, 0.0) is None


def test_idle_pool_keeps_one_decoder_per_zone() -> None:
    planner = StagePlanner()
    pool = make_pool(6, 3)
    assert plan_until_change(planner, pool) is not None
    assert plan_until_change(planner, make_pool(3, 6)) is None


def test_long_answers_add_decoders() -> None:
    # 60 decoding calls on each of three engines use more than the allowed fraction of
    # their 64 slots.
    change = plan_until_change(StagePlanner(), make_pool(3, 6, decoding=60), polls=1)
    assert change is not None
    assert change.stage is Stage.DECODE
    assert change.explanation.reason == "few_decoders"


def test_loss_of_all_decoders_changes_an_engine_at_once() -> None:
    pool = make_pool(0, 5, backlog_s=2.0)
    change = plan_until_change(StagePlanner(), pool, polls=1)
    assert change is not None
    assert change.stage is Stage.DECODE


def test_loss_of_most_decoders_changes_an_engine_though_another_changes() -> None:
    # Two of three decode engines crashed in a burst while a fourth engine changed. The
    # third served all calls for three seconds, and 260 of them timed out.
    pool = make_pool(2, 5, decoding=64, changing=1, ordered_stage=Stage.DECODE)
    change = plan_until_change(StagePlanner(), pool[1:] + pool[:1], polls=1)
    assert change is None
    pool = make_pool(2, 7, decoding=64, changing=1, ordered_stage=Stage.DECODE)
    change = plan_until_change(StagePlanner(), pool, polls=1)
    assert change is not None
    assert change.stage is Stage.DECODE
    assert change.explanation.reason == "lost_decoders"


def test_many_decoding_calls_leave_some_prefill_engines() -> None:
    pool = make_pool(6, 3, decoding=64)
    assert plan_until_change(StagePlanner(), pool) is None


def test_busy_links_add_decoders() -> None:
    # A flood of long prompts with short answers uses few slots, but each KV cache waits
    # for the earlier transfers over its link.
    pool = make_pool(4, 8)
    planner = StagePlanner()
    changes = []
    for poll in range(12):
        views = [
            replace(view, transfer_s=0.2 * poll)
            if view.registration.stage is Stage.DECODE
            else view
            for view in pool
        ]
        changes.append(planner.plan(views, slots=12, now_s=poll * 0.25))
    found = [change for change in changes if change is not None]
    assert found
    assert found[0].stage is Stage.DECODE


def test_idle_links_add_no_decoders() -> None:
    pool = make_pool(4, 8, backlog_s=0.01)
    planner = StagePlanner()
    for poll in range(12):
        views = [replace(view, transfer_s=0.02 * poll) for view in pool]
        assert planner.plan(views, slots=12, now_s=poll * 0.25) is None


def test_engine_that_would_be_needed_again_stays_a_decoder() -> None:
    # Four decode engines were enough at one poll and five at the next. Engines changed
    # back and forth, and each was out of service for seconds.
    pool = make_pool(5, 4, decoding=20, backlog_s=0.5)
    assert plan_until_change(StagePlanner(), pool) is None


def test_few_engines_change_at_the_same_time() -> None:
    # A changing engine serves no calls for seconds.
    pool = make_pool(6, 3, backlog_s=2.0, changing=2)
    assert plan_until_change(StagePlanner(), pool) is None


def test_changed_engine_keeps_its_stage_for_a_while() -> None:
    planner = StagePlanner()
    pool = make_pool(0, 2)
    first = planner.plan(pool, SLOTS, 0.0)
    assert first is not None
    planner.record_change(first.upstream, 0.0)
    second = planner.plan(pool, SLOTS, 1.0)
    assert second is not None
    assert second.upstream != first.upstream
    planner.record_change(second.upstream, 1.0)
    assert planner.plan(pool, SLOTS, 2.0) is None


def test_ejected_engines_are_not_counted() -> None:
    pool = make_pool(1, 3)
    ejected = [
        EngineView(
            registration=view.registration, backlog_s=0, decoding_calls=0, ejected=True
        )
        if view.registration.upstream == UpstreamId("e0")
        else view
        for view in pool
    ]
    change = plan_until_change(StagePlanner(), ejected, polls=1)
    assert change is not None
    assert change.stage is Stage.DECODE


def limit_pool(pool: list[EngineView], names: set[str]) -> list[EngineView]:
    return [replace(view, limited=view.registration.upstream in names) for view in pool]


def test_decoders_with_rate_limits_are_replaced() -> None:
    """Guards against full engines while those with limits count as spare decoders."""
    pool = limit_pool(make_pool(3, 6, decoding=10), {"e0", "e1", "e2"})
    change = StagePlanner().plan(pool, SLOTS, 0.0)
    assert change is not None
    assert (change.stage, change.explanation.reason) == (Stage.DECODE, "lost_decoders")


def test_engines_with_rate_limits_decode_if_all_have_one() -> None:
    """Guards against limits of which most belong to engines that only prefill."""
    names = {f"e{n}" for n in range(9)}
    pool = limit_pool(make_pool(3, 6, decoding=10), names)
    change = StagePlanner().plan(pool, SLOTS, 0.0)
    assert change is not None
    assert change.explanation.reason == "limited_decoders"
    enough = limit_pool(make_pool(5, 4, decoding=10), names)
    assert StagePlanner().plan(enough, SLOTS, 0.0) is None


def test_engine_with_a_rate_limit_keeps_its_stage_beside_unlimited_decoders() -> None:
    pool = limit_pool(make_pool(3, 6, decoding=10), {"e0", "e8"})
    assert plan_until_change(StagePlanner(), pool, polls=3) is None


def set_versions(pool: list[EngineView], versions: str) -> list[EngineView]:
    """Return engines of the software versions that one letter each names."""
    return [
        replace(
            view,
            registration=replace(view.registration, version=SoftwareVersion(version)),
        )
        for view, version in zip(pool, versions, strict=True)
    ]


def test_each_version_keeps_two_decoders() -> None:
    """Guards against streams of a version that one crash leaves without a decoder."""
    planner = StagePlanner()
    pool = set_versions(make_pool(6, 3, backlog_s=0.5), "aaaabb" + "aaa")
    for poll in range(20):
        change = planner.plan(pool, SLOTS, poll * 0.25)
        if change is None:
            continue
        pool = [
            replace(view, registration=replace(view.registration, stage=change.stage))
            if view.registration.upstream == change.upstream
            else view
            for view in pool
        ]
    decoders = [v.registration for v in pool if v.registration.stage is Stage.DECODE]
    assert sorted(item.version for item in decoders) == ["a", "a", "b", "b"]


def test_lost_decoders_are_replaced_by_engines_of_their_version() -> None:
    """Guards against a version of which engines live and none decodes."""
    pool = set_versions(make_pool(3, 4), "aaa" + "abba")
    change = plan_until_change(StagePlanner(), pool, polls=1)
    assert change is not None
    assert (change.stage, change.explanation.reason) == (Stage.DECODE, "lost_decoders")
    assert change.upstream in ("e4", "e5")


def test_limited_decoders_of_a_version_are_replaced() -> None:
    """Guards against versions whose only decoders have rate limits."""
    pool = set_versions(make_pool(5, 4), "aaabb" + "abba")
    change = plan_until_change(StagePlanner(), limit_pool(pool, {"e3", "e4"}), polls=1)
    assert change is not None
    assert change.stage is Stage.DECODE
    assert change.upstream in ("e6", "e7")


def set_away(pool: list[EngineView], names: set[str]) -> list[EngineView]:
    return [replace(v, away=v.registration.upstream in names) for v in pool]


def test_engines_that_are_away_get_no_orders() -> None:
    """Guards against orders to crashed engines, which seem idle, in place of others."""
    spare = plan_until_change(StagePlanner(), set_away(make_pool(5, 3), {"e0", "e3"}))
    assert spare is not None
    assert spare.stage is Stage.PREFILL
    assert spare.upstream not in ("e0", "e3")
    lost = set_away(make_pool(0, 3), {"e0"})
    change = plan_until_change(StagePlanner(), lost, polls=1)
    assert change is not None
    assert change.upstream != "e0"


def test_engine_that_crashed_as_it_changed_is_ordered_again() -> None:
    """Guards against a version without decode engines until its last order is old."""
    planner = StagePlanner()
    pool = make_pool(0, 1)
    change = planner.plan(pool, SLOTS, 0.0)
    assert change is not None
    planner.record_change(change.upstream, 0.0, change.stage, 1)
    restarted = [
        replace(view, registration=replace(view.registration, started_ms=2))
        for view in pool
    ]
    again = planner.plan(restarted, SLOTS, 1.0)
    assert again is not None
    assert again.stage is Stage.DECODE
