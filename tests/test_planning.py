"""Guard the properties that role plans must have."""

from dataclasses import replace
from itertools import pairwise

from hypothesis import given, strategies as st

from bramleyport.core import EngineRole, ModelName, UpstreamId, UpstreamState, ZoneName
from bramleyport.planning import (
    ROLE_PLANNERS,
    DemandSample,
    EngineCosts,
    Mix,
    ModelLoad,
    ModelWant,
    Plan,
    PoolEngine,
    PoolState,
    RoleChange,
    WeightStore,
    serve_factor,
)
from bramleyport.planning._capacity import Demand

ZONES = [ZoneName(name) for name in "abc"]
MODEL = ModelName("m")
NOW_S = 600.0

engine_parts = st.tuples(
    st.sampled_from(ZONES),
    st.sampled_from(EngineRole),
    st.sampled_from(UpstreamState),
    st.sampled_from([None, *EngineRole]),
    st.integers(0, 40),
    st.integers(0, 500),
)


def make_engine(index: int, parts: tuple[object, ...]) -> PoolEngine:
    zone, role, state, target, streams, cached = parts
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
    lambda parts, shares, volume, short, wants: PoolState(
        engines=tuple(make_engine(i, p) for i, p in enumerate(parts)),
        demand=make_demand(shares, volume, short),
        wants=tuple(wants),
        weights=WeightStore(bytes_per_s=1e9),
    ),
    st.lists(engine_parts, min_size=1, max_size=12),
    st.lists(st.floats(0.01, 0.99), max_size=24),
    st.floats(0.1, 20.0),
    st.floats(0.0, 0.5),
    st.lists(
        st.builds(
            ModelWant,
            model=st.sampled_from([ModelName("m"), ModelName("n")]),
            engines=st.integers(0, 4),
            value_per_s=st.floats(0.0, 10.0),
            size_bytes=st.integers(1, 10**10),
        ),
        max_size=3,
    ),
)


# Swings of a fleet in which few engines are out of service or specialised.
swinging_pools = st.builds(
    lambda parts, low, high, volume, short: PoolState(
        engines=tuple(make_engine(i, p) for i, p in enumerate(parts)),
        demand=make_demand([low] * 12 + [high] * 12, volume * len(parts), short),
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


def list_roles(plan: Plan) -> list[RoleChange]:
    return [change for change in plan.changes if isinstance(change, RoleChange)]


def count_able(
    pool: PoolState, zone: ZoneName, changes: list[RoleChange], role: EngineRole
) -> int:
    """Count the engines that can serve a phase while the changes are under way."""
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
    """Two changes of one engine would be conflicting orders."""
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
def test_moves_keep_the_floor_of_each_zone(pool: PoolState) -> None:
    """A zone must keep engines for both phases while a change is under way."""
    plan = make_plan(pool)
    if plan.explanation.reason != "move":
        return
    changes = list_roles(plan)
    touched = {e.zone for e in pool.engines if e.engine in {c.engine for c in changes}}
    for zone in touched:
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            assert count_able(pool, zone, changes, role) >= 1


@given(st.one_of(pools, swinging_pools), st.randoms(use_true_random=False))
def test_equal_input_gives_an_equal_plan(pool: PoolState, rng: object) -> None:
    """The order of the engines or the planner's past must not matter."""
    engines = list(pool.engines)
    rng.shuffle(engines)  # type: ignore[attr-defined]
    planner = ROLE_PLANNERS.create("ratio")
    first = planner.plan(pool, NOW_S)
    assert planner.plan(pool, NOW_S) == first
    again = planner.plan(replace(pool, engines=tuple(engines)), NOW_S)
    assert set(list_roles_of(again)) == set(list_roles_of(first))


def list_roles_of(plan: Plan) -> list[tuple[UpstreamId, EngineRole]]:
    return [(change.engine, change.role) for change in list_roles(plan)]


@given(swinging_pools, st.floats(-0.002, 0.002))
def test_a_small_change_of_input_gives_a_small_change_of_plan(
    pool: PoolState, offset: float
) -> None:
    """A nudge of the demand must not turn over the fleet."""
    demand = tuple(
        replace(sample, prefill_s_per_s=sample.prefill_s_per_s * (1 + offset))
        for sample in pool.demand
    )
    before = set(list_roles_of(make_plan(pool)))
    after = set(list_roles_of(make_plan(replace(pool, demand=demand))))
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
    """Short urgent answers beside long prefills must be what a change is for."""
    engines = tuple(
        PoolEngine(engine=UpstreamId(f"e{i}"), zone=ZONES[i % 3]) for i in range(9)
    )
    shares = [0.2] * 20 + [0.8] * 20
    plan = make_plan(PoolState(engines=engines, demand=make_demand(shares, 6.0, 0.3)))
    changes = list_roles(plan)
    assert changes
    assert {change.role for change in changes} == {EngineRole.DECODE}
    assert (
        make_plan(
            PoolState(engines=engines, demand=make_demand(shares, 6.0, 0.3)), "static"
        ).changes
        == ()
    )


def test_zone_without_decode_is_repaired() -> None:
    """The loss of a zone's last decode engine must not leave it without one."""
    engines = (
        PoolEngine(engine=UpstreamId("p"), zone=ZONES[0], role=EngineRole.PREFILL),
        PoolEngine(
            engine=UpstreamId("d"),
            zone=ZONES[0],
            role=EngineRole.DECODE,
            state=UpstreamState.GONE,
        ),
    )
    changes = list_roles(make_plan(PoolState(engines=engines)))
    assert [(c.engine, c.role) for c in changes] == [("p", EngineRole.MIXED)]


@given(pools)
def test_loads_keep_the_rate_of_the_weight_store(pool: PoolState) -> None:
    """Loads must follow one another, or they exceed the rate of the store."""
    loads = [c for c in make_plan(pool).changes if isinstance(c, ModelLoad)]
    for before, after in pairwise(loads):
        assert after.start_s >= before.end_s


def test_most_useful_load_comes_first() -> None:
    """A large load of little use must not delay a useful one."""
    wants = (
        ModelWant(model=ModelName("big"), value_per_s=1.0, size_bytes=5 * 10**9),
        ModelWant(model=ModelName("hot"), value_per_s=9.0, size_bytes=10**9),
    )
    engines = tuple(PoolEngine(engine=UpstreamId(n), zone=ZONES[0]) for n in "xy")
    plan = make_plan(PoolState(engines=engines, wants=wants), "static")
    assert [c.model for c in plan.changes if isinstance(c, ModelLoad)] == ["hot", "big"]


def test_capacity_falls_with_fewer_engines() -> None:
    """A model that gains by losing engines would plan nonsense."""
    demand = Demand(prefill=3.0, decode_tokens=3000.0)
    costs = EngineCosts()
    factors = [serve_factor(Mix(mixed=n), demand, costs) for n in range(4, 12)]
    assert factors == sorted(factors)


def test_swing_in_an_overload_changes_nothing() -> None:
    """A change takes capacity, so in an overload it costs more work than it gains."""
    shares = [0.2] * 12 + [0.8] * 12
    engines = tuple(
        make_engine(i, (ZONES[i % 3], EngineRole.MIXED, UpstreamState.LIVE, None, 0, 0))
        for i in range(9)
    )
    for volume, changes in ((6.0, True), (14.0, False)):
        pool = PoolState(engines=engines, demand=make_demand(shares, volume, 0.5))
        assert bool(list_roles(make_plan(pool))) is changes
