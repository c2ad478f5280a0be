"""Candidates for one lease over a store that is restored from copies of itself."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from bramleyport.authority import (
    LEASE_TTL_S,
    CandidacyChanged,
    EraObserved,
    Granted,
    Lease,
    LeaseConflict,
    LeaseEvent,
    LeaseFailed,
    LeaseInDoubt,
    LeaseManager,
    LeaseRead,
    LeaseWritten,
    OrdersSettled,
    ReadLease,
    Tick,
    WriteLease,
)
from bramleyport.core import FencingNumber, Revision, StoreEra, StoreRevision
from tests.simulation import InvariantError

STEP_S = 0.1
# The longest age of a copy.
COPY_AGE_S = 20.0
# The longest delay of a call that the client has given up.
LATE_S = 8.0
CANDIDATES = 4

Request = Callable[[], "Answer"]


@dataclass(frozen=True)
class State:
    """Represent what a copy holds."""

    number: int = 10
    lease: Lease | None = None
    # Revision of the lease.
    lease_number: int = 0


@dataclass(frozen=True)
class Answer:
    era: StoreEra
    conflict: bool = False
    lease: Lease | None = None
    number: int = 0


@dataclass
class Delivery:
    due_s: float
    deliver: Callable[[], None]


class Store:
    """Represent a store with one lease, its earlier states and its era."""

    def __init__(self) -> None:
        self.era = StoreEra(1)
        self.state = State()
        self.history: list[tuple[float, State]] = [(0.0, self.state)]

    def read(self) -> Answer:
        state = self.state
        return Answer(self.era, lease=state.lease, number=state.lease_number)

    def write(self, lease: Lease, expected: int | None, now_s: float) -> Answer:
        """Write if the revision matches, in whichever era it was given out."""
        known = self.state.lease_number if self.state.lease else None
        if known != expected:
            return Answer(self.era, conflict=True)
        number = self.state.number + 1
        self.change(State(number, lease, number), now_s)
        return Answer(self.era, number=number)

    def write_other(self, now_s: float) -> None:
        """Write another object, so that revisions rise without the lease."""
        self.change(replace(self.state, number=self.state.number + 1), now_s)

    def change(self, state: State, now_s: float) -> None:
        self.state = state
        self.history.append((now_s, state))

    def restore(self, at_s: float) -> None:
        """Begin a new era with the state of an earlier time."""
        self.history = [item for item in self.history if item[0] <= at_s] or (
            self.history[:1]
        )
        self.state = self.history[-1][1]
        self.era = StoreEra(self.era + 1)


class Candidate:
    """Represent a process with its own view of the era, as a client of the store."""

    def __init__(self, world: "RestoreWorld", name: str, *, first_start: bool) -> None:
        self.world = world
        self.alive = True
        self.cut_off = False
        # A process of the first start has read its configuration by then.
        self.era = world.store.era if first_start else None
        earlier_s = None if first_start else world.now_s + LEASE_TTL_S
        self.manager = world.make_manager(name, world.make_token, self.era, earlier_s)

    def tick(self) -> None:
        if self.world.rng.random() < 0.02:
            # Another call of this process, such as a watch.
            self.call(self.world.store.read, lambda _: None)
        self.drive(Tick())
        if self.manager.settling and self.world.rng.random() < 0.2:
            self.drive(OrdersSettled())

    def set_candidate(self, *, on: bool) -> None:
        self.drive(CandidacyChanged(candidate=on))

    def call(self, request: Request, reply: Callable[[Answer], None]) -> None:
        world, rng = self.world, self.world.rng
        cut_off = self.cut_off
        is_late = rng.random() < world.late_rate
        delay_s = rng.uniform(0, LATE_S) if is_late else rng.uniform(0, 0.3)
        if cut_off and not is_late:
            return

        def answer(result: Answer) -> None:
            if self.alive and not self.cut_off:
                self.receive(result, reply)

        def execute() -> None:
            result = request()
            back_s = rng.uniform(0, 2.0) if is_late else rng.uniform(0, 0.2)
            world.send(back_s, lambda: answer(result))

        world.send(delay_s, execute)

    def receive(self, answer: Answer, reply: Callable[[Answer], None]) -> None:
        if self.era is None or answer.era > self.era:
            self.era = answer.era
            self.drive(EraObserved(era=self.era))
        reply(answer)

    def drive(self, event: LeaseEvent) -> None:
        for action in self.manager.step(event, self.world.now_s):
            if isinstance(action, ReadLease):
                self.read(action)
            elif isinstance(action, WriteLease):
                self.write(action)
            elif isinstance(action, Granted) and action.is_first:
                self.world.record_first()

    def read(self, action: ReadLease) -> None:
        def reply(answer: Answer) -> None:
            if answer.era != self.era:
                self.drive(LeaseFailed(op=action.op))
                return
            version = StoreRevision(answer.era, Revision(answer.number))
            self.drive(LeaseRead(op=action.op, lease=answer.lease, version=version))

        self.call(self.world.store.read, reply)

    def write(self, action: WriteLease) -> None:
        world, expected = self.world, action.expected
        assert expected is None or isinstance(expected, StoreRevision)
        if expected is not None and expected.era != self.era:
            self.drive(LeaseConflict(op=action.op))
            return
        number = expected.number if expected else None

        def reply(answer: Answer) -> None:
            if answer.era != self.era:
                self.drive(LeaseFailed(op=action.op))
            elif expected is not None and expected.era != answer.era:
                self.drive(LeaseInDoubt(op=action.op))
            elif answer.conflict:
                self.drive(LeaseConflict(op=action.op))
            else:
                version = StoreRevision(answer.era, Revision(answer.number))
                self.drive(LeaseWritten(op=action.op, version=version))

        self.call(lambda: world.store.write(action.lease, number, world.now_s), reply)


class RestoreWorld:
    """Run candidates, and check that one acts at a time under rising numbers."""

    def __init__(
        self,
        seed: int,
        make_manager: Callable[..., LeaseManager] = LeaseManager,
        *,
        first_start: bool = True,
    ) -> None:
        self.rng = Random(seed)
        self.now_s = 100.0
        self.late_rate = 0.1
        self.store = Store()
        self.make_manager = make_manager
        self.deliveries: list[Delivery] = []
        self.count = 0
        self.highest = FencingNumber(0)
        self.holder: Candidate | None = None
        # The holders that acted, each with the time of its first order.
        self.terms: list[tuple[float, Candidate, FencingNumber]] = []
        self.candidates = [
            Candidate(self, f"g{number}", first_start=first_start)
            for number in range(CANDIDATES)
        ]

    def make_token(self) -> str:
        self.count += 1
        return f"token-{self.count}"

    def send(self, delay_s: float, deliver: Callable[[], None]) -> None:
        self.deliveries.append(Delivery(self.now_s + delay_s, deliver))

    def record_first(self) -> None:
        if self.terms:
            raise InvariantError("first: others have held the lease before")

    def restart(self, index: int) -> None:
        self.candidates[index].alive = False
        name = f"g{index}-{self.make_token()}"
        self.candidates[index] = Candidate(self, name, first_start=False)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            if self.rng.random() < 0.1:
                self.store.write_other(self.now_s)
            due = [item for item in self.deliveries if item.due_s <= self.now_s]
            self.deliveries = [
                item for item in self.deliveries if item.due_s > self.now_s
            ]
            for item in due:
                item.deliver()
            for candidate in self.candidates:
                candidate.tick()
            self.check_one_holder()

    def check_one_holder(self) -> None:
        """Check that one candidate acts, under a number that only rises."""
        acting = [item for item in self.candidates if item.manager.may_act(self.now_s)]
        if len(acting) > 1:
            raise InvariantError(f"one: two holders act at {self.now_s:.1f}")
        for candidate in acting:
            fencing = candidate.manager.fencing
            assert fencing is not None
            if fencing < self.highest:
                raise InvariantError(f"number: {fencing} after {self.highest}")
            if fencing == self.highest and candidate is not self.holder:
                raise InvariantError(f"number: {fencing} of two holders")
            if fencing > self.highest:
                self.terms.append((self.now_s, candidate, fencing))
            self.highest, self.holder = fencing, candidate

    def disturb(self, rounds: int = 40) -> None:
        """Restore the store, cut candidates off and restart them, at random."""
        rng = self.rng
        for _ in range(rounds):
            self.run(rng.uniform(0.1, 12.0))
            candidate = rng.choice(self.candidates)
            candidate.cut_off = rng.random() < 0.4
            self.late_rate = rng.choice([0.0, 0.1, 0.4])
            if not candidate.cut_off:
                candidate.set_candidate(on=rng.random() < 0.7)
            if rng.random() < 0.15:
                self.restart(rng.randrange(CANDIDATES))
            if rng.random() < 0.4:
                self.store.restore(self.now_s - rng.uniform(0, COPY_AGE_S))

    def settle(self) -> None:
        """End all faults and wait until one candidate acts."""
        self.late_rate = 0.0
        for candidate in self.candidates:
            candidate.cut_off = False
            candidate.set_candidate(on=True)
        self.run(60.0)
