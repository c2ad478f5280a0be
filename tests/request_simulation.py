"""Entries with claims and attempts over an in-memory network and store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bramleyport.answers import (
    Assembler,
    AttemptIdGenerator,
    AttemptLedger,
    FrameLog,
    Violation,
)
from bramleyport.claims import (
    CallFailed,
    ChangeRequested,
    ChangesRequested,
    ClaimDecisionKind,
    ClaimLog,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    FirstNumberRead,
    ReadFirstNumber,
    ReadSegment,
    ReportDecision,
    SegmentConflict,
    SegmentRead,
    SegmentWritten,
    WriteInDoubt,
    WriteSegment,
    make_stored_answer,
)
from bramleyport.core import AttemptId, Execution
from bramleyport.wire import End, Failed, Frame, Refused, Resume
from tests.simulation import InvariantError, Item, Process, World

ANSWER_S = 20.0
FORWARD_S = 1.0
# A few entries, so that segments are sealed all the time.
SEGMENT_BYTES = 1500
RESUME_AFTER_S = 2.0
GIVE_UP_S = 8.0


def make_payloads(attempt: AttemptId) -> list[bytes]:
    return [f"{attempt}:{index};".encode() for index in range(4)]


class Service(Process):
    """Run attempts behind one agent; a new run of the agent remembers nothing."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.executed: list[tuple[AttemptId, str]] = []
        self.make_ledger: Callable[[], AttemptLedger] = AttemptLedger
        self.restart()

    def restart(self) -> None:
        self.run_id = self.world.make_token()
        self.ledger = self.make_ledger()
        self.logs: dict[AttemptId, FrameLog] = {}

    def receive(self, entry: "Entry", message: Any) -> None:
        if isinstance(message, Resume):
            self._resume(entry, message)
        elif self.ledger.receive(message.attempt):
            if self.world.rng.random() < 0.2:
                self.ledger.refuse(message.attempt)
                entry.send_back(Refused(attempt=message.attempt, reason="full"))
                return
            self._execute(entry, message.attempt, message.path)

    def _execute(self, entry: "Entry", attempt: AttemptId, key: str) -> None:
        self.executed.append((attempt, key))
        self.check_i6_runs_once(key)
        self.check_i5_not_run_means_not_run(attempt)
        log = self.logs[attempt] = FrameLog(attempt)
        messages: list[Any] = [log.append(p) for p in make_payloads(attempt)]
        entry.send_back(*messages, log.finish(201, {}, 0))

    def _resume(self, entry: "Entry", message: Resume) -> None:
        log = self.logs.get(message.attempt)
        if log is not None:
            assert log.end is not None
            entry.send_back(*(log.replay(message.next_frame) or []), log.end)
            return
        execution = Execution.UNKNOWN
        if message.run == self.run_id:
            execution = self.ledger.determine_execution(message.attempt)
        entry.send_back(
            Failed(attempt=message.attempt, execution=execution, reason="unknown")
        )

    def check_i6_runs_once(self, key: str) -> None:
        """I6: a key is executed at most once."""
        if [k for _, k in self.executed].count(key) > 1:
            raise InvariantError(f"I6: {key} ran twice")

    def check_i5_not_run_means_not_run(self, attempt: AttemptId) -> None:
        """I5: an attempt reported as not run is never run, then or later."""
        for process in self.world.processes:
            if isinstance(process, Entry) and attempt in process.told_not_run:
                raise InvariantError(f"I5: {attempt} ran after not_run")


@dataclass
class Request:
    claim: ClaimRequest
    sent: AttemptId | None = None
    run: str = ""
    sent_s: float = 0.0
    resumed: bool = False
    assembler: Any = None
    body: list[bytes] = field(default_factory=list)


@dataclass
class Forward:
    number: int
    change: Any
    deadline_s: float


class Entry(Process):
    """Claim keys, send each new call once and record how it ended.

    Changes go through the entry believed to write the log, and directly to the log
    when that entry does not answer in time.
    """

    def __init__(
        self,
        world: World,
        name: str,
        service: Service,
        make_assembler: Callable[[AttemptId], Any] = Assembler,
    ) -> None:
        super().__init__(world, name)
        self.service = service
        self.make_assembler = make_assembler
        self.log = ClaimLog(world.make_token, segment_bytes=SEGMENT_BYTES)
        self.writer: Process = self
        self.forwards: dict[int, Forward] = {}
        # What to do with the decision on each change given to the own log.
        self.replies: dict[int, Callable[[Any], None]] = {}
        self.skew_s = world.rng.uniform(-30, 30)
        self.ids = AttemptIdGenerator(world.make_token())
        self.requests: dict[int, Request] = {}
        self.unsent: set[AttemptId] = set()
        self.told_not_run: set[AttemptId] = set()
        self.answered = 0
        self.count = 0

    def submit(self, key: str) -> None:
        claim = ClaimRequest(
            key=key,
            body_digest="d",
            attempt=AttemptId(self.world.make_token()),
            answer_s=ANSWER_S,
            unsent=tuple(self.unsent),
        )
        self.count += 1
        self.requests[self.count] = Request(claim)
        self._change(self.count, claim)

    def tick(self) -> None:
        for number, forward in list(self.forwards.items()):
            if self.world.now_s > forward.deadline_s:
                del self.forwards[number]
                self._write(forward.number, forward.change, in_doubt=True)
        for number, request in list(self.requests.items()):
            if request.sent is None:
                continue
            waited_s = self.world.now_s - request.sent_s
            if waited_s > GIVE_UP_S:
                self._end(number, None)
            elif waited_s > RESUME_AFTER_S and not request.resumed:
                request.resumed = True
                next_frame = request.assembler.next_frame
                self._post(
                    Resume(attempt=request.sent, next_frame=next_frame, run=request.run)
                )

    def send_back(self, *messages: Any) -> None:
        """Send over one connection, which may break, or over several at once."""
        rng = self.world.rng
        if rng.random() < 0.2:
            for message in messages:
                self.world.net.append(Item(self, lambda m=message: self.receive(m)))
            return
        whole = rng.random() < 0.7
        sent = messages if whole else messages[: rng.randint(0, len(messages))]
        self.world.net.append(Item(self, lambda: self.receive(*sent)))

    def receive(self, *messages: Any) -> None:
        for message in messages:
            self._receive(message)

    def _receive(self, message: Any) -> None:
        for number, request in list(self.requests.items()):
            if request.sent == message.attempt:
                self._apply(number, request, message)

    def _post(self, message: Any) -> None:
        service, run = self.service, self.service.run_id

        def deliver() -> None:
            # A connection ends with the run of the agent that it leads to.
            if service.run_id == run:
                service.receive(self, message)

        self.world.net.append(Item(service, deliver))

    def _apply(self, number: int, request: Request, message: Any) -> None:
        if isinstance(message, Frame):
            accepted = request.assembler.accept(message)
            if isinstance(accepted, Violation):
                self._end(number, None)
            else:
                request.body += [chunk.payload for chunk in accepted]
        elif isinstance(message, End):
            whole = request.assembler.finish(message) is None
            self._end(number, b"".join(request.body) if whole else None)
        elif isinstance(message, Refused) or message.execution is Execution.NOT_RUN:
            self._not_run(number, request)
        else:
            self._end(number, None)

    def _not_run(self, number: int, request: Request) -> None:
        assert request.sent is not None
        self.told_not_run.add(request.sent)
        for attempt, _ in self.service.executed:
            if attempt == request.sent:
                raise InvariantError(f"I5: {attempt} had run before not_run")
        del self.requests[number]
        claim = request.claim
        self.unsent.add(claim.attempt)
        self._change(0, ClaimRelease(key=claim.key, attempt=claim.attempt))

    def _end(self, number: int, body: bytes | None) -> None:
        request = self.requests.pop(number)
        assert request.sent is not None
        answer = None
        if body is not None:
            self.check_i4_own_whole_answer(request.sent, body)
            self.answered += 1
            answer = make_stored_answer(201, {}, body)
        claim = request.claim
        self._change(
            0, ClaimOutcome(key=claim.key, attempt=claim.attempt, answer=answer)
        )

    def check_i4_own_whole_answer(self, attempt: AttemptId, body: bytes) -> None:
        """I4: a caller gets the whole answer to its own request, or none."""
        if body != b"".join(make_payloads(attempt)):
            raise InvariantError(f"I4: {attempt} got {body!r}")

    def _change(self, number: int, change: Any) -> None:
        writer = self.writer
        if writer is self or not isinstance(writer, Entry):
            self._write(number, change, in_doubt=False)
            return
        self.count += 1
        forward = self.count
        deadline_s = self.world.now_s + FORWARD_S
        self.forwards[forward] = Forward(number, change, deadline_s)

        def deliver() -> None:
            writer._log_change(change, lambda action: self._answer(forward, action))

        self.world.net.append(Item(writer, deliver))

    def _answer(self, number: int, action: Any) -> None:
        """Send the decision on a forwarded change back to this entry."""

        def deliver() -> None:
            forward = self.forwards.pop(number, None)
            if forward is None:
                return  # late or repeated
            if isinstance(action, ReportDecision):
                self._decide(forward.number, action, in_doubt=False)
            else:
                self._write(forward.number, forward.change, in_doubt=action.in_doubt)

        self.world.net.append(Item(self, deliver))

    def _write(self, number: int, change: Any, *, in_doubt: bool) -> None:
        self._log_change(
            change, lambda action: self._decide(number, action, in_doubt=in_doubt)
        )

    def _log_change(self, change: Any, reply: Callable[[Any], None]) -> None:
        self.count += 1
        self.replies[self.count] = reply
        asked = ChangeRequested(number=self.count, change=change)
        self._drive(ChangesRequested(changes=(asked,)))

    def _drive(self, event: Any) -> None:
        world = self.world
        for action in self.log.step(event, world.now_s + self.skew_s):
            if isinstance(action, ReadFirstNumber):
                self._drive(FirstNumberRead(op=action.op, first=0))
            elif isinstance(action, ReadSegment):
                self.call(
                    lambda n=action.number: world.read("claims", f"segment-{n}"),
                    lambda r, op=action.op: self._drive(_segment_read(op, r)),
                )
            elif isinstance(action, WriteSegment):
                self.call(
                    lambda a=action: world.write(
                        "claims", f"segment-{a.number}", a.expected, a.segment
                    ),
                    lambda r, op=action.op: self._drive(_segment_written(op, r)),
                )
            else:
                self.replies.pop(action.number)(action)

    def _decide(self, number: int, action: Any, *, in_doubt: bool) -> None:
        request = self.requests.get(number)
        if request is None:
            return
        claim = request.claim
        if not isinstance(action, ReportDecision):
            self.unsent.add(claim.attempt)
            del self.requests[number]
            if in_doubt or action.in_doubt:
                self._change(0, ClaimRelease(key=claim.key, attempt=claim.attempt))
        elif action.decision.kind is ClaimDecisionKind.NEW:
            request.sent, request.sent_s = self.ids.make(), self.world.now_s
            request.run = self.service.run_id
            request.assembler = self.make_assembler(request.sent)
            self._post(make_execute(request.sent, request.claim.key))
        else:
            self.unsent.add(claim.attempt)
            del self.requests[number]


def make_execute(attempt: AttemptId, key: str) -> Any:
    # Only the fields that the simulated service reads.
    return _Execute(attempt, key)


@dataclass(frozen=True)
class _Execute:
    attempt: AttemptId
    path: str


def _segment_read(op: int, result: Any) -> Any:
    if not isinstance(result, tuple):
        return CallFailed(op=op)
    return SegmentRead(op=op, segment=result[1], version=result[0])


def _segment_written(op: int, result: Any) -> Any:
    if isinstance(result, int):
        return SegmentWritten(op=op, version=result)
    kinds = {"conflict": SegmentConflict, "outage": CallFailed}
    return kinds.get(result, WriteInDoubt)(op=op)
