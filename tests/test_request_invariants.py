"""Guard I4, I5 and I6 through lost, late and crossed messages and dead entries."""

from typing import Any

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

import bramleyport.claims._decisions as decisions_module
from bramleyport.answers import Assembler, AttemptLedger, Chunk
from bramleyport.claims import ClaimDecisionKind, ClaimState, Decision, Verdict
from bramleyport.core import Execution
from tests.request_simulation import Entry, Service
from tests.simulation import Faults, InvariantError, Item, World

KEYS = [f"{index:08x}" for index in range(6)]


def build(world: World, **parts: Any) -> World:
    service = Service(world, "service")
    service.make_ledger = parts.get("make_ledger", AttemptLedger)
    service.restart()
    world.add(service)
    for index in range(3):
        add_entry(world, f"entry-{index}", parts)
    return world


def add_entry(world: World, name: str, parts: dict[str, Any]) -> None:
    service = world.processes[0]
    assert isinstance(service, Service)
    world.add(Entry(world, name, service, parts.get("make_assembler", Assembler)))


def replace_entry(world: World, index: int, parts: dict[str, Any]) -> None:
    old = world.processes[index]
    old.alive = False
    add_entry(world, f"{old.name}'", parts)
    # A dead entry keeps its place among the checkers but not among the live.
    world.processes[index] = world.processes.pop()
    world.processes.append(old)


def cross_messages(world: World) -> None:
    """Deliver messages that are under way to other entries as well."""
    targets = [p for p in world.processes if isinstance(p, Entry) and p.alive]
    for item in list(world.net)[:5]:
        if isinstance(item.target, Entry):
            world.net.append(Item(world.rng.choice(targets), item.deliver))


def disturb(world: World, parts: dict[str, Any], steps: int = 40) -> None:
    rng = world.rng
    for step in range(steps):
        entry = world.processes[rng.randint(1, 3)]
        assert isinstance(entry, Entry)
        if not entry.paused:
            entry.submit(rng.choice(KEYS) + str(step // 15))
        world.run(rng.randint(1, 60))
        world.faults = Faults(
            hold=rng.choice([0.0, 0.2, 0.6]),
            drop=rng.choice([0.0, 0.1, 0.3]),
            duplicate=rng.choice([0.0, 0.2]),
            stall=rng.choice([0.0, 0.3]),
        )
        world.outage = rng.random() < 0.1
        world.processes[rng.randint(0, 3)].paused = rng.random() < 0.3
        cross_messages(world)
        entry.writer = rng.choice(world.processes[1:])
        if rng.random() < 0.1:
            replace_entry(world, rng.randint(1, 3), parts)
        if rng.random() < 0.1:
            world.processes[0].restart()  # type: ignore[attr-defined]


class RequestMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.world = build(World(seed))

    @rule(index=st.integers(1, 3), key=st.sampled_from(KEYS))
    def submit(self, index: int, key: str) -> None:
        entry = self.world.processes[index]
        assert isinstance(entry, Entry)
        entry.submit(key)

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

    @rule(index=st.integers(0, 3), on=st.booleans())
    def change_pause(self, index: int, on: bool) -> None:
        self.world.processes[index].paused = on

    @rule(index=st.integers(1, 3))
    def replace(self, index: int) -> None:
        if len(self.world.processes) < 12:
            replace_entry(self.world, index, {})

    @rule(index=st.integers(1, 3), writer=st.integers(1, 3))
    def choose_writer(self, index: int, writer: int) -> None:
        """Let an entry believe that another one, or itself, writes the log."""
        entry = self.world.processes[index]
        assert isinstance(entry, Entry)
        entry.writer = self.world.processes[writer]

    @rule()
    def restart_agent(self) -> None:
        service = self.world.processes[0]
        assert isinstance(service, Service)
        service.restart()

    @rule()
    def cross(self) -> None:
        cross_messages(self.world)


RequestMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
test_request_machine = RequestMachine.TestCase


def test_requests_keep_their_invariants() -> None:
    executed, answered = 0, 0
    for seed in range(150):
        world = build(World(seed))
        disturb(world, {}, steps=80)
        service = world.processes[0]
        assert isinstance(service, Service)
        executed += len(service.executed)
        entries = [p for p in world.processes if isinstance(p, Entry)]
        answered += sum(entry.answered for entry in entries)
    # Without these the checkers could pass because nothing happened.
    assert executed > 500
    assert answered > 200


class NoOrder(Assembler):
    """Take frames in any order, without the digest."""

    def accept(self, frame: Any) -> Any:
        self.next_frame += 1
        return [Chunk(frame.payload)]

    def finish(self, end: Any) -> None:
        return None


class NoTombstone(AttemptLedger):
    """Report an attempt as not run and still take it later."""

    def determine_execution(self, attempt: Any) -> Execution:
        return Execution.NOT_RUN


def take_over_expired(request: Any, row: Any, now_s: float, *, full: bool) -> Verdict:
    """Take over a claim whose entry seems dead and run it again."""
    if row is None or (row.state is ClaimState.CLAIMED and now_s > row.answer_by_s):
        return decisions_module._grant_claim(request, now_s)
    return Verdict(Decision(kind=ClaimDecisionKind.RUNNING))


@pytest.mark.parametrize(
    ("name", "parts"),
    [("I4", {"make_assembler": NoOrder}), ("I5", {"make_ledger": NoTombstone})],
)
def test_checker_finds_broken_variant(name: str, parts: dict[str, Any]) -> None:
    """Guards against a checker that never fails."""
    with pytest.raises(InvariantError, match=name):
        for seed in range(100):
            disturb(build(World(seed), **parts), parts)


def test_checker_i6_finds_broken_variant(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a checker that never fails."""
    monkeypatch.setattr(decisions_module, "_decide_request", take_over_expired)
    with pytest.raises(InvariantError, match="I6"):
        for seed in range(100):
            disturb(build(World(seed)), {})
