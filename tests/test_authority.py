"""Guard that orders keep I1 and I3 through pauses, kills, outages and lost answers."""

from typing import Any

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bramleyport.authority import OrderBook, OrderGuard, Progress
from bramleyport.core import UpstreamId
from tests.authority_simulation import Agent, Engine, Holder
from tests.simulation import Faults, InvariantError, World, load_order


def build(world: World, *, checks: bool = True) -> World:
    for index in range(2):
        name = UpstreamId(f"engine-{index}")
        world.engines[name] = Engine(world, name, checks=checks)
        world.add(Agent(world, f"agent-{index}", world.engines[name]))
    for index in range(3):
        world.add(Holder(world, f"holder-{index}"))
    return world


def replace_process(world: World, index: int, *, keep_old: bool) -> None:
    """Start a new run of a process; the old one is killed or only paused."""
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
    """Run a world through faults chosen by its own random numbers."""
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
        if rng.random() < 0.2:
            index = rng.randrange(5)
            replace_process(world, index, keep_old=rng.random() < 0.6)


def settle(world: World) -> None:
    world.faults, world.outage = Faults(hold=0.0), False
    for process in world.processes:
        process.paused = False
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
    """Guards against a safe system that stops giving orders for ever."""
    world = build(World(seed), checks=seed % 2 == 0)
    disturb(world)
    before = {name: len(e.applied) for name, e in world.engines.items()}
    settle(world)
    for name, engine in world.engines.items():
        assert len(engine.applied) > before[name]


@pytest.mark.parametrize("seed", range(6))
def test_unchecked_engine_is_repaired(seed: int) -> None:
    """Guards against a stale call that stays in force at an unchecked engine."""
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


class NoLeaseCheck(OrderGuard):
    def _classify_read(self, event: Any, now_s: float) -> str | None:
        name = super()._classify_read(event, now_s)
        return "valid" if name == "invalid" else name


class NoBegin(OrderGuard):
    def _advance(self, event: str | None, now_s: float) -> Any:
        if event == "valid" and self.state == "rechecking":
            event = "begun"
        return super()._advance(event, now_s)


class NoWait(OrderBook):
    def _is_free(self, slot: Any, change: Any) -> bool:
        return not slot.op and slot.object.order.change != change


BROKEN: list[tuple[str, dict[str, Any]]] = [
    ("I3", {"make_guard": NoLeaseCheck}),
    ("I1", {"make_guard": NoBegin}),
    ("I1", {"make_book": NoWait}),
]


@pytest.mark.parametrize(("name", "variant"), BROKEN)
def test_checker_finds_broken_variant(name: str, variant: dict[str, Any]) -> None:
    """Guards against a checker that never fails."""
    with pytest.raises(InvariantError, match=name):
        for seed in range(200):
            disturb(build(World(seed, **variant)))
