"""Test the properties that role plans must have."""

from dataclasses import replace
from itertools import pairwise

from hypothesis import given, strategies as st

from bramleyport.core import EngineRole, ModelName, UpstreamId, UpstreamState, ZoneName
from bramleyport.planning import (
    ROLE_PLANNERS,
    DemandSample,
    EngineCosts,
    ModelLoad,
    ModelRequirement,
    Plan,
    PoolEngine,
    PoolState,
    RoleChange,
    RoleCounts,
    WeightStore,
    compute_capacity_factor,
)
from bramleyport.planning._capacity import Demand
from bramleyport.planning._trend import _estimate_persistence, measure_trend

ZONES = [ZoneName(name) for name in "abc"]
MODEL = ModelName("m")
NOW_S = 600.0

engine_values = st.tuples(
    st.sampled_from(ZONES),
    st.sampled_from(EngineRole),
    st.sampled_from(UpstreamState),
    st.sampled_from([None, *EngineRole]),
    st.integers(0, 40),
    st.integers(0, 500),
)


def make_engine(index: int, values: tuple[object, ...]) -> PoolEngine:
    zone, role, state, target, streams, cached = values
    changing = state is UpstreamState.CHANGING
    return PoolEngine(
        engine=UpstreamId(f"e{index}"),
        zone=zone,  # type: ignore[arg-type]
        role=role,  # type: ignore[arg-type]
        state=state,  # type: ignore[arg-type]
        target_role=target if changing else None,  # type: ignore[arg-type]
        running_streams=streams,  # type: ignore[arg-type]
        cached_blocks=cached,  # type: ignore[arg-type]
    )


def make_demand(
    shares: list[float], volume: float, short: float = 0.0
) -> tuple[DemandSample, ...]:
    return tuple(
        DemandSample(
            at_s=NOW_S - 5 * (len(shares) - 1 - index),
            prefill_s_per_s=volume * share,
            decode_s_per_s=volume * (1 - share) / 0.0006125 / 100,
            short_s_per_s=volume * short * share,
        )
        for index, share in enumerate(shares)
    )


pools = st.builds(
    lambda values, shares, volume, short, requirements: PoolState(
        engines=tuple(make_engine(i, p) for i, p in enumerate(values)),
        demand=make_demand(shares, volume, short),
        requirements=tuple(requirements),
        weights=WeightStore(bytes_per_s=1e9),
    ),
    st.lists(engine_values, min_size=1, max_size=12),
    st.lists(st.floats(0.01, 0.99), max_size=24),
    st.floats(0.1, 20.0),
    st.floats(0.0, 0.5),
    st.lists(
        st.builds(
            ModelRequirement,
            model=st.sampled_from([ModelName("m"), ModelName("n")]),
            engines=st.integers(0, 4),
            value_per_s=st.floats(0.0, 10.0),
            size_bytes=st.integers(1, 10**10),
        ),
        max_size=3,
    ),
)


# A swing of the prefill share, in a pool with few engines out of service or
# specialized.
swinging_pools = st.builds(
    lambda values, low, high, volume, short: PoolState(
        engines=tuple(make_engine(i, p) for i, p in enumerate(values)),
        demand=make_demand([low] * 12 + [high] * 12, volume * len(values), short),
    ),
    st.lists(
        st.tuples(
            st.sampled_from(ZONES),
            st.sampled_from([EngineRole.MIXED] * 4 + list(EngineRole)),
            st.sampled_from([UpstreamState.LIVE] * 6 + list(UpstreamState)),
            st.sampled_from([None, *EngineRole]),
            st.integers(0, 40),
            st.integers(0, 40),
        ),
        min_size=6,
        max_size=16,
    ),
    st.floats(0.1, 0.4),
    st.floats(0.6, 0.9),
    st.floats(0.3, 1.0),
    st.floats(0.0, 0.8),
)


def make_plan(pool: PoolState, name: str = "ratio") -> Plan:
    return ROLE_PLANNERS.create(name).plan(pool, NOW_S)


def list_role_changes(plan: Plan) -> list[RoleChange]:
    return [change for change in plan.changes if isinstance(change, RoleChange)]


def count_capable(
    pool: PoolState, zone: ZoneName, changes: list[RoleChange], role: EngineRole
) -> int:
    """Count the engines that can serve a phase while the changes are in progress."""
    changed = {change.engine for change in changes}
    return sum(
        engine.role in (role, EngineRole.MIXED)
        for engine in pool.engines
        if engine.zone == zone
        and engine.state is UpstreamState.LIVE
        and engine.engine not in changed
    )


@given(st.one_of(pools, swinging_pools))
def test_no_engine_gets_two_changes(pool: PoolState) -> None:
    """Two changes of one engine would lead to conflicting orders."""
    changed = [change.engine for change in make_plan(pool).changes]
    assert len(changed) == len(set(changed))


@given(st.one_of(pools, swinging_pools))
def test_only_live_engines_change(pool: PoolState) -> None:
    """A leaving, crashed or changing engine must not get an order."""
    live = {e.engine for e in pool.engines if e.state is UpstreamState.LIVE}
    roles = {e.engine: e.role for e in pool.engines}
    for change in make_plan(pool).changes:
        assert change.engine in live
        if isinstance(change, RoleChange):
            assert change.role is not roles[change.engine]


@given(swinging_pools)
def test_role_changes_keep_the_floor_of_each_zone(pool: PoolState) -> None:
    """A zone must keep engines for both phases while a change is in progress."""
    plan = make_plan(pool)
    if plan.explanation.reason != "move":
        return
    changes = list_role_changes(plan)
    touched = {e.zone for e in pool.engines if e.engine in {c.engine for c in changes}}
    for zone in touched:
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            assert count_capable(pool, zone, changes, role) >= 1


@given(st.one_of(pools, swinging_pools), st.randoms(use_true_random=False))
def test_equal_input_gives_an_equal_plan(pool: PoolState, rng: object) -> None:
    """A plan must not depend on the order of the engines or on earlier plans."""
    engines = list(pool.engines)
    rng.shuffle(engines)  # type: ignore[attr-defined]
    planner = ROLE_PLANNERS.create("ratio")
    first = planner.plan(pool, NOW_S)
    assert planner.plan(pool, NOW_S) == first
    again = planner.plan(replace(pool, engines=tuple(engines)), NOW_S)
    assert set(list_role_targets(again)) == set(list_role_targets(first))


def list_role_targets(plan: Plan) -> list[tuple[UpstreamId, EngineRole]]:
    return [(change.engine, change.role) for change in list_role_changes(plan)]


@given(swinging_pools, st.floats(-0.002, 0.002))
def test_a_small_change_of_input_gives_a_small_change_of_plan(
    pool: PoolState, offset: float
) -> None:
    """A slightly different demand must not lead to very different role changes."""
    demand = tuple(
        replace(sample, prefill_s_per_s=sample.prefill_s_per_s * (1 + offset))
        for sample in pool.demand
    )
    before = set(list_role_targets(make_plan(pool)))
    after = set(list_role_targets(make_plan(replace(pool, demand=demand))))
    zones = len({engine.zone for engine in pool.engines})
    limit = max(1, len(pool.engines) // 4)
    assert len(before ^ after) <= 2 * max(limit, zones)


@given(
    st.floats(0.2, 0.8),
    st.floats(0.0, 0.04),
    st.floats(1.0, 12.0),
    st.lists(st.sampled_from(EngineRole), min_size=9, max_size=9),
    st.lists(st.floats(-1.0, 1.0), min_size=24, max_size=24),
)
def test_constant_ratio_changes_nothing(
    share: float,
    noise: float,
    volume: float,
    roles: list[EngineRole],
    draws: list[float],
) -> None:
    """Noise around a steady ratio must not cause role changes."""
    engines = tuple(
        PoolEngine(engine=UpstreamId(f"e{i}"), zone=ZONES[i % 3], role=role)
        for i, role in enumerate(roles)
    )
    shares = [share + noise * draw for draw in draws]
    pool = PoolState(engines=engines, demand=make_demand(shares, volume, 0.3))
    plan = make_plan(pool)
    assert plan.explanation.reason in ("no_gain", "floor")


def test_swing_to_prefill_gets_a_decode_engine() -> None:
    """A decode engine protects short urgent answers from long prefills."""
    engines = tuple(
        PoolEngine(engine=UpstreamId(f"e{i}"), zone=ZONES[i % 3]) for i in range(9)
    )
    shares = [0.2] * 20 + [0.8] * 20
    plan = make_plan(PoolState(engines=engines, demand=make_demand(shares, 6.0, 0.3)))
    changes = list_role_changes(plan)
    assert changes
    assert {change.role for change in changes} == {EngineRole.DECODE}
    assert (
        make_plan(
            PoolState(engines=engines, demand=make_demand(shares, 6.0, 0.3)), "static"
        ).changes
        == ()
    )


def test_uneven_swings_are_not_expected_to_end_after_their_mean() -> None:
    """Guards against a planner that changes nothing just after the mean interval."""
    times = [0.0]
    shares = [0.2]
    side = 0.8
    # The share crosses its midpoint every 60 or 140 s, 100 s on average.
    for interval_s in (60.0, 140.0, 60.0, 140.0, 60.0, 140.0):
        times += [times[-1] + 5.0 * (step + 1) for step in range(int(interval_s / 5))]
        shares += [side] * int(interval_s / 5)
        side = 1.0 - side
    last_crossing_s = times[-1] - 140.0 + 5.0
    now_s = last_crossing_s + 100.0
    expected_s = _estimate_persistence(times, shares, 0.0, now_s)
    # The standard deviation of the intervals.
    assert expected_s >= 39.0


def test_samples_without_demand_do_not_count_as_short_work() -> None:
    """Guards against a mean of short work over other samples than the demand's."""
    demand = make_demand([0.5] * 20, 6.0, 0.3)
    idle = replace(demand[-1], at_s=NOW_S + 5, prefill_s_per_s=0.0)
    idle = replace(idle, decode_s_per_s=0.0, short_s_per_s=0.0)
    trend = measure_trend((*demand, idle), EngineCosts(), NOW_S + 5)
    assert trend is not None
    assert trend.short_s == demand[-1].short_s_per_s


def test_zone_without_decode_is_repaired() -> None:
    """A zone that lost its last decode engine must get another one."""
    engines = (
        PoolEngine(engine=UpstreamId("p"), zone=ZONES[0], role=EngineRole.PREFILL),
        PoolEngine(
            engine=UpstreamId("d"),
            zone=ZONES[0],
            role=EngineRole.DECODE,
            state=UpstreamState.GONE,
        ),
    )
    changes = list_role_changes(make_plan(PoolState(engines=engines)))
    assert [(c.engine, c.role) for c in changes] == [("p", EngineRole.MIXED)]


@given(pools)
def test_loads_keep_the_rate_of_the_weight_store(pool: PoolState) -> None:
    """Concurrent loads would exceed the rate of the store."""
    loads = [c for c in make_plan(pool).changes if isinstance(c, ModelLoad)]
    for before, after in pairwise(loads):
        assert after.start_s >= before.end_s


def test_load_with_the_most_value_per_second_comes_first() -> None:
    """A large load of low value must not delay a small one of high value."""
    requirements = (
        ModelRequirement(model=ModelName("big"), value_per_s=1.0, size_bytes=5 * 10**9),
        ModelRequirement(model=ModelName("hot"), value_per_s=9.0, size_bytes=10**9),
    )
    engines = tuple(PoolEngine(engine=UpstreamId(n), zone=ZONES[0]) for n in "xy")
    plan = make_plan(PoolState(engines=engines, requirements=requirements), "static")
    assert [c.model for c in plan.changes if isinstance(c, ModelLoad)] == ["hot", "big"]


def test_capacity_falls_with_fewer_engines() -> None:
    """With a model in which fewer engines serve more, plans would be wrong."""
    demand = Demand(prefill=3.0, decode_tokens=3000.0)
    costs = EngineCosts()
    factors = [
        compute_capacity_factor(RoleCounts(mixed=n), demand, costs)
        for n in range(4, 12)
    ]
    assert factors == sorted(factors)


def test_swing_in_an_overload_changes_nothing() -> None:
    """A change takes capacity, so in an overload it loses more work than it gains."""
    shares = [0.2] * 12 + [0.8] * 12
    engines = tuple(
        make_engine(i, (ZONES[i % 3], EngineRole.MIXED, UpstreamState.LIVE, None, 0, 0))
        for i in range(9)
    )
    for volume, changes in ((6.0, True), (14.0, False)):
        pool = PoolState(engines=engines, demand=make_demand(shares, volume, 0.5))
        assert bool(list_role_changes(make_plan(pool))) is changes
