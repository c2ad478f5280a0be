"""Test routing decisions and the repair of cache views."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from bramleyport.bench._routing import PLACE, make_views, make_work
from bramleyport.core import (
    AdapterName,
    CachedPrefixes,
    EngineLoad,
    EngineRole,
    ModelName,
    ModelVersion,
    PrefixBlock,
    Rank,
    RegionName,
    ServiceKind,
    UpstreamState,
    UpstreamView,
    ZoneName,
)
from bramleyport.estimate import ESTIMATORS
from bramleyport.routing import (
    ROUTING_POLICIES,
    CacheChange,
    CacheFollower,
    CacheRecorder,
    Route,
    RoutingPolicy,
    TransferCost,
    can_split,
    is_eligible,
)

WORK = make_work(0, Random(1))
BLOCKS = [PrefixBlock(bytes([number]) * 8) for number in range(12)]


def make_policy(transfer: TransferCost | None = None) -> RoutingPolicy:
    return ROUTING_POLICIES.create(
        "affinity", ESTIMATORS.create("declared"), PLACE, transfer
    )


def make_pair() -> list[UpstreamView]:
    views = make_views(2, Random(1))
    for view in views:
        view.load = EngineLoad()
        view.cached = CachedPrefixes()
        view.zone = PLACE.zone
    return views


def choose(views: list[UpstreamView], policy: RoutingPolicy | None = None) -> Route:
    route = (policy or make_policy()).choose(WORK, views, 0.0, Random(1))
    assert route is not None
    return route


def test_cached_prefix_wins_at_equal_load() -> None:
    views = make_pair()
    views[1].cached.blocks.update(WORK.prefix_blocks)
    route = choose(views)
    assert route.upstream == views[1].upstream
    assert route.explanation.reason == "prefix_cached"


def test_long_queue_outweighs_cached_prefix() -> None:
    views = make_pair()
    views[1].cached.blocks.update(WORK.prefix_blocks)
    views[1].load = EngineLoad(wait_s={Rank.URGENT: 2.0})
    route = choose(views)
    assert route.upstream == views[0].upstream
    assert route.explanation.reason == "cache_overloaded"


def test_uncertain_cache_counts_less_than_a_certain_one() -> None:
    views = make_pair()
    for view in views:
        view.cached.blocks.update(WORK.prefix_blocks)
    views[0].cached.uncertain = True
    assert choose(views).upstream == views[1].upstream


@pytest.mark.parametrize(
    "worse", ["zone", "region", "adapter", "version", "role", "streams"]
)
def test_worse_upstream_is_not_chosen(worse: str) -> None:
    views = make_pair()
    view = views[0]
    work = replace(WORK, adapter=AdapterName("a"), version=ModelVersion("2"))
    view.versions = frozenset({ModelVersion("1" if worse == "version" else "2")})
    views[1].versions = frozenset({ModelVersion("1"), ModelVersion("2")})
    views[1].adapters = frozenset({AdapterName("a")})
    view.adapters = frozenset() if worse == "adapter" else views[1].adapters
    if worse == "zone":
        view.zone = ZoneName("far")
    elif worse == "region":
        view.zone, view.region = ZoneName("far"), RegionName("far")
        views[1].zone = ZoneName("near")
    elif worse == "role":
        view.role = EngineRole.PREFILL
    elif worse == "streams":
        view.load = EngineLoad(running=40)
    route = make_policy().choose(work, views, 0.0, Random(1))
    assert route is not None
    assert route.upstream == views[1].upstream


def test_decode_is_split_only_if_the_transfer_saves_time() -> None:
    views = make_pair()
    views[0].cached.blocks.update(WORK.prefix_blocks)
    views[0].load = EngineLoad(running=31)
    cheap = TransferCost(bytes_per_s=1e12)
    expensive = TransferCost(bytes_per_s=1e6)
    policy = make_policy(cheap)
    views[1].rates = replace(views[1].rates, decode_tokens_per_s=40.0)
    work = replace(WORK, targets=replace(WORK.targets, first_token_s=0.5))
    route = policy.choose(work, views, 0.0, Random(1))
    assert route is not None
    assert route.upstream == views[0].upstream
    assert route.decode_upstream == views[1].upstream
    kept = make_policy(expensive).choose(work, views, 0.0, Random(1))
    assert kept is not None
    assert kept.decode_upstream is None
    # The decode engine generates the first token, so its queue delays that token.
    views[1].load = EngineLoad(wait_s={Rank.URGENT: 0.4})
    hurried = replace(WORK, targets=replace(WORK.targets, first_token_s=0.1))
    late = policy.choose(hurried, views, 0.0, Random(1))
    assert late is not None
    assert late.decode_upstream is None
    # Transferred work is never rejected as late, so none is sent to an engine with a
    # queue.
    queued = policy.choose(work, views, 0.0, Random(1))
    assert queued is not None
    assert queued.decode_upstream is None


@pytest.mark.parametrize(
    "obstacle", ["", "plain", "keyed", "adapter", "version", "source", "layout", "role"]
)
def test_work_is_split_only_between_compatible_engines(obstacle: str) -> None:
    """Blocks of another adapter, version or layout would cause wrong answers."""
    source, target = make_pair()
    work = replace(
        WORK,
        kind=ServiceKind.PLAIN if obstacle == "plain" else WORK.kind,
        idempotent=obstacle != "keyed",
        adapter=AdapterName("a") if obstacle == "adapter" else None,
    )
    if obstacle == "version":
        target.versions = frozenset({ModelVersion("2")})
    elif obstacle == "source":
        source.kv_address = ""
    elif obstacle == "layout":
        target.kv_bytes_per_token /= 2
    elif obstacle == "role":
        target.role = EngineRole.PREFILL
    assert can_split(work, source, target) == (not obstacle)


@st.composite
def mixed_views(draw: st.DrawFn) -> list[UpstreamView]:
    views = make_views(draw(st.integers(0, 40)), Random(1))
    for view in views:
        view.state = draw(st.sampled_from(UpstreamState))
        view.role = draw(st.sampled_from(EngineRole))
        if draw(st.booleans()):
            view.models = frozenset({ModelName("other")})
    return views


@given(views=mixed_views(), seed=st.integers(0, 9))
def test_ineligible_upstream_is_never_chosen(
    views: list[UpstreamView], seed: int
) -> None:
    rng = Random(seed)
    policy = make_policy(TransferCost(bytes_per_s=1e12))
    for _ in range(3):
        route = policy.choose(WORK, views, 0.0, rng)
        eligible = {view.upstream for view in views if is_eligible(WORK, view)}
        assert (route is None) == (not eligible)
        if route is not None:
            assert route.upstream in eligible
            assert route.decode_upstream in {None, *eligible}
        for view in views[::2]:
            view.state = UpstreamState.GONE


EVENTS = st.lists(
    st.tuples(
        st.lists(st.sampled_from(BLOCKS), max_size=3),
        st.lists(st.sampled_from(BLOCKS), max_size=3),
        st.sampled_from(["kept", "lost", "repeated"]),
    ),
    max_size=30,
)


@given(steps=EVENTS, lost_answers=st.integers(0, 4))
def test_gap_in_cache_reports_is_always_repaired(
    steps: list[tuple[list[PrefixBlock], list[PrefixBlock], str]], lost_answers: int
) -> None:
    recorder = CacheRecorder(CachedPrefixes())
    follower = CacheFollower(CachedPrefixes())
    for number, (stored, evicted, fate) in enumerate(steps, 1):
        recorder.record(number, tuple(stored), tuple(evicted), float(number))
        change = recorder.take_change()
        if change is None or fate == "lost":
            continue
        follower.apply(change)
        if fate == "repeated":
            follower.apply(change)
        assert follower.cached.uncertain or (
            follower.cached.blocks == recorder.cached.blocks
        )
    # Each load report checks whether a request is due; some answers are lost, too.
    now_s = 0.0
    recorder.record(len(steps) + 1, (BLOCKS[0],), (), 50.0)
    follower.apply(recorder.take_change() or recorder.make_full())
    for _ in range(lost_answers + 1):
        now_s += 10.0
        if follower.take_request(now_s):
            if lost_answers:
                lost_answers -= 1
                continue
            follower.apply(recorder.make_full())
    assert not follower.take_request(now_s + 100.0)
    assert follower.cached.uncertain == recorder.cached.uncertain
    assert follower.cached.blocks == recorder.cached.blocks


def test_request_is_repeated_after_an_interval() -> None:
    follower = CacheFollower(CachedPrefixes())
    follower.apply(CacheChange(previous=3, sequence=4))
    asked = [follower.take_request(now_s) for now_s in (0.0, 1.0, 4.9, 5.0)]
    assert asked == [True, False, False, True]


@given(steps=EVENTS)
@settings(max_examples=50)
def test_block_whose_eviction_was_missed_is_uncertain_until_dropped(
    steps: list[tuple[list[PrefixBlock], list[PrefixBlock], str]],
) -> None:
    recorder = CacheRecorder(CachedPrefixes())
    actual: set[PrefixBlock] = set()
    for number, (stored, evicted, fate) in enumerate(steps, 1):
        actual |= set(stored)
        actual -= set(evicted)
        if fate != "lost":
            recorder.record(number, tuple(stored), tuple(evicted), float(number))
            assert recorder.cached.blocks <= actual or recorder.cached.uncertain
    number = len(steps) + 1
    recorder.record(number, (), (), float(number))
    recorder.expire(number + 61.0)
    assert recorder.cached.blocks <= actual
    assert not recorder.cached.uncertain
    recorder.confirm(tuple(actual), number + 61.0)
    assert recorder.cached.blocks == actual


def test_confirmed_block_expires_without_an_event() -> None:
    recorder = CacheRecorder(CachedPrefixes())
    recorder.confirm((BLOCKS[0],), 0.0)
    recorder.expire(59.0)
    assert recorder.cached.blocks == {BLOCKS[0]}
    recorder.expire(61.0)
    assert recorder.cached.blocks == set()
