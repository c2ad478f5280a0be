"""Simulation of several writers of one claim log on a faulty store.

Each store call is executed, answered, lost or refused in any order, even after its
writer abandoned it or was replaced.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bramleyport.claims import (
    CLAIM_GRACE_S,
    RETENTION_S,
    CallFailed,
    ChangeRequested,
    ChangesRequested,
    ClaimDecisionKind,
    ClaimLog,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    ClaimState,
    FirstNumberRead,
    ReadFirstNumber,
    ReadSegment,
    ReportDecision,
    SegmentRead,
    Trim,
    WriteInDoubt,
    WriteSegment,
    find_answer,
    make_stored_answer,
    make_tag,
)
from bramleyport.core import AttemptId
from tests.claim_store import SEGMENT_BYTES, LogStore, drive
from tests.simulation import InvariantError

ANSWER_S = 20.0
KEYS = [f"{index:032x}" for index in range(4)]
JUMPS_S = [1.0, 1.0, 20.0, 100.0, 3700.0, 30_000.0]


@dataclass
class Call:
    writer: "Writer | None"
    action: Any
    result: Any = None
    abandoned: bool = False


@dataclass
class PendingChange:
    change: Any
    owner: "Owner"
    since: int
    reply: Callable[[Any], None]


@dataclass
class Owner:
    """Represent one request at the entry that received it."""

    key: str
    attempt: AttemptId
    body: str
    home: int
    waiting: bool = True
    copies: int = 0
    requested_s: float = 0.0
    claimed_s: float = 0.0
    answer: Any = None


class Writer:
    def __init__(self, sim: "ClaimSimulation") -> None:
        self.sim = sim
        self.log = sim.make_log(sim.make_token)
        self.skew_s = sim.rng.uniform(0, 3000)
        self.pending: dict[int, PendingChange] = {}

    def step(self, event: Any) -> None:
        sim = self.sim
        for action in self.log.step(event, sim.now_s + self.skew_s):
            if isinstance(action, Trim):
                sim.store.trim(action.first)
            elif isinstance(action, ReadFirstNumber | ReadSegment | WriteSegment):
                sim.calls.append(Call(self, action))
            elif (pending := self.pending.pop(action.number, None)) is not None:
                sim.check_decision(pending, action)
                pending.reply(action)


@dataclass
class ClaimSimulation:
    seed: int
    make_log: Callable[..., Any] = lambda token: ClaimLog(
        token, segment_bytes=SEGMENT_BYTES
    )
    calls: list[Call] = field(default_factory=list)
    owners: list[Owner] = field(default_factory=list)
    # Attempts that each home entry knows it never sent.
    unsent: dict[int, list[AttemptId]] = field(default_factory=dict)
    executed: dict[str, list[Owner]] = field(default_factory=dict)
    answered: int = 0
    # Claims that were reported as certainly not recorded.
    refused: set[bytes] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.now_s = 100_000.0
        self.count = 0
        self.store = LogStore()
        self.writers = [Writer(self) for _ in range(3)]

    def make_token(self) -> str:
        self.count += 1
        return f"t{self.count}"

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.rng.choices(
                [self.submit, self.execute, self.answer, self.lose, self.disturb],
                [3, 8, 8, 2, 1],
            )[0]()

    def submit(self) -> None:
        rng = self.rng
        home = rng.randrange(3)
        owner = Owner(
            key=rng.choice(KEYS),
            attempt=AttemptId(self.make_token()),
            body=rng.choice(["a", "a", "a", "b"]),
            home=home,
            requested_s=self.now_s,
        )
        self.owners.append(owner)
        self.claim(owner)
        if rng.random() < 0.3:
            self.claim(owner)  # the writer did not answer in time, or a repeat

    def claim(self, owner: Owner) -> None:
        owner.copies += 1
        request = ClaimRequest(
            key=owner.key,
            body_digest=owner.body,
            attempt=owner.attempt,
            answer_s=ANSWER_S,
            unsent=tuple(self.unsent.get(owner.home, ())[-16:]),
        )
        self.submit_change(
            owner, request, lambda action: self.handle_decision(owner, action)
        )

    def submit_change(
        self, owner: Owner, change: Any, reply: Callable[[Any], None] = lambda _: None
    ) -> None:
        writer = self.rng.choice(self.writers)
        self.count += 1
        pending = ChangeRequested(number=self.count, change=change)
        writer.pending[self.count] = PendingChange(
            change, owner, self.store.writes, reply
        )
        writer.step(ChangesRequested(changes=(pending,)))

    def handle_decision(self, owner: Owner, action: Any) -> None:
        """Act on the first decision and drop later ones."""
        if not owner.waiting:
            return
        owner.waiting = False
        kind = action.decision.kind if isinstance(action, ReportDecision) else None
        if kind is not ClaimDecisionKind.NEW:
            self.unsent.setdefault(owner.home, []).append(owner.attempt)
            if kind is None:
                self.release(owner)
            return
        late = self.now_s - owner.requested_s > ANSWER_S + CLAIM_GRACE_S
        if late or self.rng.random() < 0.3:
            self.unsent.setdefault(owner.home, []).append(owner.attempt)
            self.release(owner)
            return
        self.send(owner)

    def send(self, owner: Owner) -> None:
        self.check_c3_durable_before_sent(owner)
        owner.claimed_s = self.now_s
        runs = self.executed.setdefault(owner.key, [])
        runs.append(owner)
        self.check_c4_runs_once(runs)
        if self.rng.random() < 0.8:  # otherwise its entry dies
            body = owner.attempt.encode()
            owner.answer = make_stored_answer(201, {}, body)
            if self.rng.random() < 0.2:
                owner.answer = None
            for _ in range(self.rng.choice([1, 1, 2])):
                self.submit_change(
                    owner,
                    ClaimOutcome(
                        key=owner.key, attempt=owner.attempt, answer=owner.answer
                    ),
                )

    def release(self, owner: Owner) -> None:
        for _ in range(self.rng.choice([1, 1, 2])):
            self.submit_change(
                owner, ClaimRelease(key=owner.key, attempt=owner.attempt)
            )

    def choose_call(self, accept: Callable[[Call], bool]) -> Call | None:
        found = [call for call in self.calls if accept(call)]
        return self.rng.choice(found) if found else None

    def execute(self) -> None:
        call = self.choose_call(lambda c: c.result is None)
        if call is None:
            return
        action = call.action
        if isinstance(action, ReadFirstNumber):
            call.result = FirstNumberRead(op=action.op, first=self.store.first)
        elif isinstance(action, ReadSegment):
            version, segment = self.store.objects.get(action.number, (0, None))
            call.result = SegmentRead(op=action.op, segment=segment, version=version)
        else:
            call.result = self.store.write(action)
        if call.abandoned:
            self.calls.remove(call)

    def answer(self) -> None:
        call = self.choose_call(lambda c: c.result is not None)
        if call is not None:
            self.calls.remove(call)
            self._reply(call, call.result)

    def lose(self) -> None:
        """Lose an answer; its request may still be executed later."""
        call = self.choose_call(lambda c: not c.abandoned)
        if call is None:
            return
        call.abandoned = True
        is_write = isinstance(call.action, WriteSegment)
        refused = call.result is None and self.rng.random() < 0.5
        if call.result is not None or refused or not is_write:
            self.calls.remove(call)
        doubtful = is_write and not refused
        event = WriteInDoubt if doubtful else CallFailed
        self._reply(call, event(op=call.action.op))

    def _reply(self, call: Call, event: Any) -> None:
        if call.writer in self.writers:
            call.writer.step(event)

    def disturb(self) -> None:
        if self.rng.random() < 0.3:
            index = self.rng.randrange(3)
            for call in self.calls:
                call.abandoned |= call.writer is self.writers[index]
            self.calls = [c for c in self.calls if not c.abandoned or c.result is None]
            self.writers[index] = Writer(self)
        else:
            self.now_s += self.rng.choice(JUMPS_S)

    def check_c3_durable_before_sent(self, owner: Owner) -> None:
        """C3: a claim is in a stored segment before its call is sent."""
        if make_tag(owner.attempt) not in self.store.durable:
            raise InvariantError(f"C3: {owner.attempt} was sent without its claim")

    def check_c4_runs_once(self, runs: list[Owner]) -> None:
        """C4: a key runs at most once within the retention period."""
        if len(runs) > 1 and runs[-1].claimed_s - runs[-2].claimed_s < RETENTION_S:
            raise InvariantError(f"C4: {runs[-1].key} ran twice")

    def check_decision(self, pending: PendingChange, action: Any) -> None:
        change, tag = pending.change, make_tag(pending.owner.attempt)
        if not isinstance(change, ClaimRequest):
            return
        if isinstance(action, ReportDecision):
            self.check_c5_current(pending, action.decision.kind)
            if action.decision.kind is ClaimDecisionKind.STORED:
                self.check_c6_own_answer(change.key, action.decision.segment)
        elif not action.in_doubt and pending.owner.copies == 1:
            self.check_c7_refused_is_not_recorded(tag)
            self.refused.add(tag)

    def check_c5_current(self, pending: PendingChange, kind: ClaimDecisionKind) -> None:
        """C5: a decision was right at some time between the request and the answer."""
        rows = self.store.row_history.get(pending.change.key, [])
        before = [row for at, row in rows if at <= pending.since][-1:] or [None]
        final = kind is ClaimDecisionKind.STORED
        during = [row for at, row in rows if final or at > pending.since]
        if not any(is_allowed(row, pending.change, kind) for row in before + during):
            raise InvariantError(f"C5: {kind} for {pending.change.key}")

    def check_c6_own_answer(self, key: str, number: int) -> None:
        """C6: a stored answer is the answer of the call that ran for the key."""
        self.answered += 1
        if number not in self.store.objects:
            return  # deleted after the retention period
        answer = find_answer(self.store.objects[number][1], key)
        if answer is None or answer not in [o.answer for o in self.executed[key]]:
            raise InvariantError(f"C6: {answer} for {key}")

    def check_c7_refused_is_not_recorded(self, tag: bytes) -> None:
        """C7: a claim reported as certainly not recorded never is."""
        if tag in self.store.durable:
            raise InvariantError(f"C7: {tag!r} was recorded")

    def check_c8_rebuild(self) -> None:
        """C8: an index built from the segments equals that of the writers."""
        for tag in self.refused:
            self.check_c7_refused_is_not_recorded(tag)
        log = ClaimLog(self.make_token, segment_bytes=SEGMENT_BYTES)
        now_s = self.now_s
        change = ClaimRequest(key="f" * 32, body_digest="", attempt=AttemptId("end"))
        drive(log, self.store, [change], now_s)
        for key, row in self.store.rows_by_key.items():
            if now_s - row.claimed_s < RETENTION_S and log.index.get(key) != row:
                raise InvariantError(f"C8: {log.index.get(key)} is not {row}")


def is_allowed(row: Any, request: Any, kind: ClaimDecisionKind) -> bool:
    """Return whether a decision is correct for a state of the log."""
    if row is None:
        return kind is ClaimDecisionKind.NEW
    if row.attempt == make_tag(request.attempt):
        return kind in (ClaimDecisionKind.NEW, ClaimDecisionKind.UNKNOWN)
    if row.state is ClaimState.RELEASED:
        return kind is ClaimDecisionKind.NEW
    if row.body != make_tag(request.body_digest):
        return kind is ClaimDecisionKind.MISMATCH
    return kind.value == {"claimed": "running", "completed": "stored"}.get(
        row.state.value, "unknown"
    )
