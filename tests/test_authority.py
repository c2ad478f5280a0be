"""Test that orders keep I1 and I3 despite pauses, kills, outages and lost answers."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bramleyport.authority import (
    ACT_MARGIN_S,
    LEASE_TTL_S,
    AgentProgress,
    EngineChange,
    Extended,
    Granted,
    LeaseManager,
    LeaseRead,
    LeaseWritten,
    ListOrders,
    Order,
    OrderExecutor,
    OrderNotWritten,
    OrderObject,
    OrderObjectRead,
    OrderReported,
    OrdersListed,
    OrderTracker,
    Planned,
    Progress,
    ReadLease,
    ReadOrderObject,
    Tick,
    WriteLease,
    WriteOrder,
    choose_candidates,
    make_engine_fencing,
)
from bramleyport.authority._order_tracker import (
    FAILED_RETRY_DELAY_S,
    REPLY_TIMEOUT_S as TRACKER_REPLY_TIMEOUT_S,
    RETRY_DELAY_S as TRACKER_RETRY_DELAY_S,
)
from bramleyport.control._pool_controller import TICK_S as CONTROLLER_TICK_S
from bramleyport.core import (
    EngineRole,
    FencingNumber,
    ProcessId,
    RegionName,
    UpstreamId,
)
from tests.authority_simulation import Agent, Engine, Holder
from tests.simulation import POOL, Faults, InvariantError, World, load_order

# A slow answer of a store that works.
STORE_ANSWER_S = 0.5


def build(world: World, *, checks: bool = True) -> World:
    for index in range(2):
        name = UpstreamId(f"engine-{index}")
        world.engines[name] = Engine(world, name, checks=checks)
        world.add(Agent(world, f"agent-{index}", world.engines[name]))
    for index in range(3):
        world.add(Holder(world, f"holder-{index}"))
    return world


def replace_process(world: World, index: int, *, keep_old: bool) -> None:
    """Start a new run of a process; kill the old one, or only pause it."""
    old = world.processes[index]
    if keep_old:
        old.paused = True
    else:
        old.alive = False
    if isinstance(old, Agent):
        new: Any = Agent(world, f"{old.name}'", old.engine)
    else:
        new = Holder(world, f"{old.name}'")
    world.processes[index] = new
    if keep_old:
        world.processes.append(old)


def disturb(world: World, steps: int = 60) -> None:
    """Run a world with faults chosen by its random number generator."""
    rng = world.rng
    for _ in range(steps):
        world.run(rng.randint(1, 60))
        world.faults = Faults(
            hold=rng.choice([0.0, 0.2, 0.6]),
            drop=rng.choice([0.0, 0.0, 0.1, 0.3]),
            duplicate=rng.choice([0.0, 0.2]),
            stall=rng.choice([0.0, 0.3]),
        )
        world.outage = rng.random() < 0.15
        process = rng.choice(world.processes)
        process.paused = rng.random() < 0.4
        if isinstance(process, Holder) and not process.paused:
            process.set_candidate(rng.random() < 0.5)
        if rng.random() < 0.2:
            index = rng.randrange(5)
            replace_process(world, index, keep_old=rng.random() < 0.6)


def release_often(world: World, steps: int = 40) -> None:
    """Let one holder release and reacquire its lease while order writes are delayed."""
    holders = [p for p in world.processes if isinstance(p, Holder)]
    for other in holders[1:]:
        other.alive = False
    world.faults = Faults(stall=0.4)
    for _ in range(steps):
        holders[0].set_candidate(world.rng.random() < 0.5)
        world.run(world.rng.randint(20, 120))


def run_until(world: World, condition: Callable[[], bool]) -> None:
    for _ in range(5000):
        if condition():
            return
        world.run(1)
    raise AssertionError("the condition did not come true")


def settle(world: World) -> None:
    world.faults, world.outage = Faults(hold=0.0), False
    for process in world.processes:
        process.paused = False
        if isinstance(process, Holder):
            process.set_candidate(True)
    world.run(1000)


class AuthorityMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32), checks=st.booleans())
    def start(self, seed: int, checks: bool) -> None:
        self.world = build(World(seed), checks=checks)

    @rule(steps=st.integers(1, 150))
    def run_steps(self, steps: int) -> None:
        self.world.run(steps)

    @rule(
        hold=st.sampled_from([0.0, 0.3, 0.7]),
        drop=st.sampled_from([0.0, 0.1, 0.4]),
        duplicate=st.sampled_from([0.0, 0.3]),
        stall=st.sampled_from([0.0, 0.3]),
    )
    def change_network(self, **rates: float) -> None:
        self.world.faults = Faults(**rates)

    @rule(on=st.booleans())
    def change_outage(self, on: bool) -> None:
        self.world.outage = on

    @rule(index=st.integers(0, 7), on=st.booleans())
    def change_pause(self, index: int, on: bool) -> None:
        self.world.processes[index % len(self.world.processes)].paused = on

    @rule(index=st.integers(0, 7), on=st.booleans())
    def change_candidacy(self, index: int, on: bool) -> None:
        process = self.world.processes[index % len(self.world.processes)]
        if isinstance(process, Holder) and process.alive and not process.paused:
            process.set_candidate(on)

    @rule(index=st.integers(0, 4), keep_old=st.booleans())
    def replace(self, index: int, keep_old: bool) -> None:
        if len(self.world.processes) < 9:
            replace_process(self.world, index, keep_old=keep_old)


AuthorityMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
test_authority_machine = AuthorityMachine.TestCase


@pytest.mark.parametrize("seed", range(12))
def test_orders_progress_again_after_faults(seed: int) -> None:
    """Guards against a system that is safe but never gives an order after faults."""
    world = build(World(seed), checks=seed % 2 == 0)
    disturb(world)
    before = {name: len(e.applied) for name, e in world.engines.items()}
    settle(world)
    for name, engine in world.engines.items():
        assert len(engine.applied) > before[name]


@pytest.mark.parametrize("seed", range(6))
def test_unchecked_engine_is_repaired(seed: int) -> None:
    """Guards against a stale order that persists at an engine without fencing."""
    world = build(World(seed), checks=False)
    disturb(world)
    for process in world.processes:
        if isinstance(process, Holder):
            process.alive = False
    settle(world)
    for name, engine in world.engines.items():
        found = load_order(name, *world.objects["orders", name])
        if found.state is Progress.DONE and found.order.change.role is not None:
            assert engine.role is found.order.change.role


class SkipsLeaseCheck(OrderExecutor):
    def _classify_read(self, event: Any, now_s: float) -> str | None:
        name = super()._classify_read(event, now_s)
        return "valid" if name == "invalid" else name


class SkipsBeginWrite(OrderExecutor):
    def _advance(self, event: str | None, now_s: float) -> Any:
        if event == "valid" and self.state == "rechecking":
            event = "begun"
        return super()._advance(event, now_s)


class OverwritesUnfinishedOrder(OrderTracker):
    def _is_free(self, slot: Any, change: Any, now_s: float) -> bool:
        return not slot.op and slot.object.order.change != change


class ReleasesUnderOldNumber(LeaseManager):
    """Release the lease under its old number, so that a late write is still valid."""

    def _make_released_lease(self) -> Any:
        return replace(
            super()._make_released_lease(), fencing=FencingNumber(self._highest_fencing)
        )


class ReleasesWithWritesInFlight(LeaseManager):
    """Release the lease while order writes are in flight."""

    def _check_candidacy(self, now_s: float) -> Any:
        actions = super()._check_candidacy(now_s)
        return actions + (self._advance("settled", now_s) if self.settling else [])


BROKEN_VARIANTS: list[tuple[str, Callable[[World], None], dict[str, Any]]] = [
    ("I3", disturb, {"make_executor": SkipsLeaseCheck}),
    ("I1", disturb, {"make_executor": SkipsBeginWrite}),
    ("I1", disturb, {"make_tracker": OverwritesUnfinishedOrder}),
    ("I3: order of", release_often, {"make_lease_manager": ReleasesUnderOldNumber}),
    ("I3: released", release_often, {"make_lease_manager": ReleasesWithWritesInFlight}),
]


@pytest.mark.parametrize(("name", "trial", "variant"), BROKEN_VARIANTS)
def test_checker_finds_broken_variant(
    name: str, trial: Callable[[World], None], variant: dict[str, Any]
) -> None:
    """Guards against invariant checks that never fail."""
    with pytest.raises(InvariantError, match=name):
        for seed in range(200):
            trial(build(World(seed, **variant)))


@pytest.mark.parametrize("seed", range(8))
def test_late_write_of_a_released_lease_has_no_effect(seed: int) -> None:
    """Guards against an order write that arrives after the lease was released."""
    world = build(World(seed), checks=seed % 2 == 0)
    release_often(world)
    before = {name: len(e.applied) for name, e in world.engines.items()}
    settle(world)
    for name, engine in world.engines.items():
        assert len(engine.applied) > before[name]


def test_entries_that_disagree_about_candidates_share_no_lease() -> None:
    """Guards against two holders when entries have different member lists."""
    world = build(World(5))
    processes = [ProcessId(f"entry-{n}") for n in range(8)]
    region = RegionName("region-0")
    first = choose_candidates(POOL, region, processes)
    second = choose_candidates(POOL, region, set(processes) - set(first))
    assert not set(first) & set(second)
    assert first == choose_candidates(POOL, region, reversed(processes))
    # Each entry acts on its own member list; the lists share no candidate.
    holders = [p for p in world.processes if isinstance(p, Holder)]
    holders += [Holder(world, f"holder-{n}") for n in range(3, 6)]
    world.processes += holders[3:]
    terms: dict[int, Holder] = {}
    for step in range(2000):
        if step % 400 == 0:
            for index, holder in enumerate(holders):
                holder.set_candidate(step // 400 % 3 in (0, index // 3 + 1))
        world.run(1)
        acting = [h for h in holders if h.lease_manager.may_act(world.now_s)]
        assert len(acting) <= 1
        for holder in acting:
            assert terms.setdefault(holder.lease_manager.fencing, holder) is holder
    assert len({id(holder) for holder in terms.values()}) > 1


def test_released_lease_is_taken_without_waiting_for_its_expiry() -> None:
    """Guards against a pool without a holder for a whole TTL after a graceful stop."""
    world = build(World(3))
    holders = [p for p in world.processes if isinstance(p, Holder)]

    def find() -> Holder | None:
        acting = [h for h in holders if h.lease_manager.may_act(world.now_s)]
        return acting[0] if acting else None

    run_until(world, lambda: find() is not None)
    old = find()
    assert old is not None
    old.set_candidate(False)
    run_until(world, lambda: old.lease_manager.idle)
    released_s = world.now_s
    run_until(world, lambda: find() not in (None, old))
    # The network's delays are far shorter than the remaining time of the lease.
    assert world.now_s - released_s < LEASE_TTL_S / 2


def test_object_created_after_the_list_gets_orders_at_once() -> None:
    """Guards against an engine that gets no order until the next listing."""
    name = UpstreamId("engine-0")
    tracker = OrderTracker(POOL, lambda: "token")
    listing = tracker.step(Granted(fencing=FencingNumber(1), until_s=6.0), 0.0)[0]
    assert isinstance(listing, ListOrders)
    tracker.step(OrdersListed(op=listing.op, objects=()), 0.1)
    reading = tracker.step(OrderReported(upstream=name), 0.2)[0]
    assert isinstance(reading, ReadOrderObject)
    found = OrderObject(
        upstream=name, version=1, order=Order(pool=POOL), progress=AgentProgress()
    )
    sealing = tracker.step(
        OrderObjectRead(op=reading.op, upstream=name, object=found), 0.3
    )[0]
    assert isinstance(sealing, WriteOrder)
    assert sealing.object.order.sealed == 1


@pytest.mark.parametrize("answered", [True, False], ids=["failed", "unanswered"])
def test_order_whose_first_read_failed_is_read_again(answered: bool) -> None:
    """Guards against an engine that gets no order until the next listing."""
    name = UpstreamId("engine-0")
    tracker = OrderTracker(POOL, lambda: "token")
    listing = tracker.step(Granted(fencing=FencingNumber(1), until_s=60.0), 0.0)[0]
    assert isinstance(listing, ListOrders)
    tracker.step(OrdersListed(op=listing.op, objects=()), 0.1)
    reading = tracker.step(OrderReported(upstream=name), 0.2)[0]
    assert isinstance(reading, ReadOrderObject)
    # The agent reports again while the read is pending.
    assert tracker.step(OrderReported(upstream=name), 0.2) == []
    due_s = 0.2 + TRACKER_REPLY_TIMEOUT_S
    if answered:
        assert tracker.step(OrderNotWritten(op=reading.op, upstream=name), 0.3) == []
        due_s = 0.3 + TRACKER_RETRY_DELAY_S
    assert tracker.step(Tick(), due_s - 0.1) == []
    (second,) = tracker.step(Tick(), due_s)
    assert isinstance(second, ReadOrderObject)
    assert second.op != reading.op
    none = OrderObjectRead(op=second.op, upstream=name, object=None)
    assert tracker.step(none, due_s + 0.1) == []
    assert tracker.step(Tick(), due_s + 10.0) == []


def test_failed_order_is_not_repeated_at_once() -> None:
    """Guards against repeated orders to a failing engine that exhaust store writes."""
    name = UpstreamId("engine-0")
    change = EngineChange(role=EngineRole.DECODE)
    sealed = FencingNumber(1)
    order = Order(sequence=3, fencing=sealed, sealed=sealed, pool=POOL, change=change)
    failed = AgentProgress(sequence=3, state=Progress.FAILED)
    found = OrderObject(upstream=name, version=1, order=order, progress=failed)
    tracker = OrderTracker(POOL, lambda: "token")
    listing = tracker.step(Granted(fencing=sealed, until_s=60.0), 0.0)[0]
    assert isinstance(listing, ListOrders)
    tracker.step(OrdersListed(op=listing.op, objects=(found,)), 0.1)
    plan = Planned(changes={name: change})
    assert tracker.step(plan, 1.0) == []
    assert tracker.step(plan, 1.0 + FAILED_RETRY_DELAY_S - 0.1) == []
    assert len(tracker.step(plan, 1.0 + FAILED_RETRY_DELAY_S)) == 1


def test_holder_writes_nothing_after_its_lease_ends() -> None:
    """Guards against a holder that acts on a lease that may have expired."""
    tracker = OrderTracker(POOL, lambda: "token")
    tracker.step(Granted(fencing=FencingNumber(1), until_s=6.0), 0.0)
    late = OrderReported(upstream=UpstreamId("engine-0"))
    assert tracker.step(late, 6.0) == []
    assert tracker.step(Tick(), 6.0) == []


def test_holder_stops_before_another_may_take_the_lease() -> None:
    """Guards against two holders that act at the same time."""
    lease_manager = LeaseManager("a", lambda: "token")
    (read,) = lease_manager.step(Tick(), 0.0)
    assert isinstance(read, ReadLease)
    (write,) = lease_manager.step(LeaseRead(op=read.op, lease=None, version=0), 1.0)
    assert isinstance(write, WriteLease)
    (granted,) = lease_manager.step(LeaseWritten(op=write.op, version=1), 2.0)
    assert isinstance(granted, Granted)
    # Another candidate reads the write at 1.0 s at the earliest and waits for a TTL.
    assert granted.until_s == 1.0 + LEASE_TTL_S - ACT_MARGIN_S
    assert lease_manager.may_act(granted.until_s - 0.1)
    assert not lease_manager.may_act(granted.until_s)


@pytest.mark.parametrize("is_late", [False, True], ids=["lost", "late"])
def test_holder_keeps_its_lease_though_one_renewal_gets_no_answer(
    is_late: bool,
) -> None:
    """Guards against a holder that stops acting because of one lost or late answer."""
    lease_manager = LeaseManager("a", lambda: "token")
    (read,) = lease_manager.step(Tick(), 0.0)
    assert isinstance(read, ReadLease)
    (write,) = lease_manager.step(LeaseRead(op=read.op, lease=None, version=0), 0.0)
    assert isinstance(write, WriteLease)
    lease_manager.step(LeaseWritten(op=write.op, version=1), 0.0)
    now_s = 0.0
    renewal, check = None, None
    while check is None:
        now_s += CONTROLLER_TICK_S
        assert lease_manager.may_act(now_s)
        for action in lease_manager.step(Tick(), now_s):
            if isinstance(action, WriteLease):
                renewal = action
            elif isinstance(action, ReadLease):
                check = action
    assert renewal is not None
    # The renewal took effect.
    stored = LeaseRead(op=check.op, lease=renewal.lease, version=2)
    now_s += STORE_ANSWER_S
    if is_late:
        answer = LeaseWritten(op=renewal.op, version=2)
        (extended,) = lease_manager.step(answer, now_s)
        assert lease_manager.step(stored, now_s) == []
    else:
        (extended,) = lease_manager.step(stored, now_s)
    assert isinstance(extended, Extended)
    # The lease counts from the renewal, not from its answer.
    assert extended.until_s < now_s + LEASE_TTL_S - ACT_MARGIN_S
    assert lease_manager.may_act(now_s)


def test_call_delayed_past_the_next_order_has_a_lower_number() -> None:
    """Guards against an engine that accepts a call delayed past the next order."""
    assert make_engine_fencing(1, 9) < make_engine_fencing(2, 1)


@pytest.mark.parametrize("checks", [True, False])
def test_late_call_of_a_paused_agent_is_refused_or_repaired(checks: bool) -> None:
    """Guards against a stale order that persists after its paused agent resumed."""
    world = build(World(1), checks=checks)
    engine = world.engines[UpstreamId("engine-0")]
    run_until(world, lambda: engine.role is not EngineRole.MIXED)
    stale = engine.calls[-1]
    replace_process(world, 0, keep_old=True)
    run_until(world, lambda: engine.role is not stale.order.change.role)
    for process in world.processes:
        process.alive = process.alive and not isinstance(process, Holder)
    world.run(100)
    wanted = engine.role
    assert wanted is not stale.order.change.role
    assert engine.apply(stale) == ("refused" if checks else "applied")
    assert (engine.role is wanted) is checks
    world.run(150)  # one inspection interval and the repair
    assert engine.role is wanted
