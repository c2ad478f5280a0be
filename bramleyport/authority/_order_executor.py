"""The agent's side of orders: apply in sequence, record progress, verify, repair.

An order takes effect only after its agent has recorded that it began, by a write that
requires the version at which the agent read it. The agent reads the order first and
the lease second: if the lease has the order's fencing number, the process that wrote
the order held the lease when it wrote it.

The remaining risk at an engine that does not check fencing numbers is described in
docs/failures-authority.md.
"""

from dataclasses import replace
from typing import Final

from bramleyport.authority._documents import (
    FENCING_REFUSED,
    SETTLED,
    AgentProgress,
    EngineState,
    Order,
    OrderObject,
    Progress,
    make_engine_fencing,
)
from bramleyport.authority._executor_messages import (
    ApplyOrder,
    Drained,
    DrainEngine,
    EngineRead,
    ExecutorAction,
    ExecutorEvent,
    OrderApplied,
    OrderInDoubt,
    OrderNotified,
    OrderNotSent,
    OrderRead,
    OrderRefused,
    ProgressNotWritten,
    ProgressWritten,
    ReadEngine,
    ReadFailed,
    ReadOrder,
    ReportProgress,
    ResumeEngine,
    WriteProgress,
)
from bramleyport.authority._lease import Tick
from bramleyport.charts import ChartMachine, load_chart
from bramleyport.core import PoolName, UpstreamId

# Longest time between the start of the store call that confirmed an order and the
# sending of the order to the engine.
MAX_CONFIRMATION_AGE_S: Final = 1.0
VERIFY_INTERVAL_S: Final = 10.0
# Notifications arrive within seconds; polling covers lost ones. At 2,100 engines this
# causes 35 reads/s.
POLL_INTERVAL_S: Final = 60.0
RETRY_DELAY_S: Final = 1.0
REPLY_TIMEOUT_S: Final = 8.0
MAX_APPLY_ATTEMPTS: Final = 3


class OrderExecutor:
    """Decide how one run of an agent carries out the orders of its engine."""

    def __init__(self, upstream: UpstreamId, agent: str, pool: PoolName) -> None:
        self.upstream = upstream
        self.agent = agent
        self.pool = pool
        self.incarnation = 0
        self.repairs = 0
        self._machine = ChartMachine(load_chart("order"))
        self._object: OrderObject | None = None
        self._engine: EngineState | None = None
        self._apply_attempts = 0
        self._op = 0
        self._op_sent_s: float | None = None
        self._confirmed_s = 0.0
        self._next_due_s = 0.0
        self._next_poll_s = 0.0
        self._written: OrderObject | None = None
        self._outcome = AgentProgress()

    @property
    def state(self) -> str:
        """Return the state of the state machine."""
        return self._machine.state

    def step(self, event: ExecutorEvent, now_s: float) -> list[ExecutorAction]:
        """Process an event and return the resulting actions."""
        if isinstance(event, Tick):
            return self._tick(now_s)
        if isinstance(event, OrderNotified):
            return self._handle_notification(event, now_s)
        if event.op != self._op:
            return []  # the answer to an abandoned call
        sent_s = self._op_sent_s if self._op_sent_s is not None else now_s
        self._op_sent_s = None
        self._next_due_s = now_s + RETRY_DELAY_S
        return self._advance(self._classify(event, sent_s, now_s), now_s)

    def _tick(self, now_s: float) -> list[ExecutorAction]:
        if self._op_sent_s is not None:
            has_no_timeout = self.state in ("draining", "repair_draining")
            has_no_timeout = has_no_timeout or self.state in ("applying", "repairing")
            if has_no_timeout or now_s - self._op_sent_s < REPLY_TIMEOUT_S:
                return []
        elif now_s < self._next_due_s:
            return []
        is_read_due = self.state != "idle" or now_s >= self._next_poll_s
        return self._advance("due" if is_read_due else "inspect", now_s)

    def _handle_notification(
        self, event: OrderNotified, now_s: float
    ) -> list[ExecutorAction]:
        known_sequence = self._object.order.sequence if self._object is not None else 0
        if self.state != "idle" or event.sequence <= known_sequence:
            return []
        return self._advance("due", now_s)

    def _classify(
        self, event: ExecutorEvent, sent_s: float, now_s: float
    ) -> str | None:
        if isinstance(event, OrderRead):
            self._confirmed_s = sent_s
            self._next_poll_s = now_s + POLL_INTERVAL_S
            return self._classify_read(event, now_s)
        if isinstance(event, ProgressWritten):
            return self._classify_written(event, sent_s, now_s)
        if isinstance(event, EngineRead):
            return self._classify_engine(event)
        if isinstance(event, ReadFailed):
            return None  # repeated when due
        if isinstance(event, ProgressNotWritten):
            return "due"
        names: dict[type[object], str] = {
            Drained: "drained",
            OrderApplied: "applied",
            OrderRefused: "refused",
            OrderInDoubt: "broken",
            OrderNotSent: "resumed",
        }
        return names[type(event)]

    def _classify_read(self, event: OrderRead, now_s: float) -> str | None:
        found = event.object
        self._object = found
        if self.state == "joining":
            return self._classify_join(found)
        if found is None:
            return "found"  # the object was deleted, so the agent joins again
        progress = found.progress
        if progress.agent != self.agent or progress.incarnation != self.incarnation:
            return "superseded" if progress.incarnation >= self.incarnation else "found"
        state = found.state
        if found.order.sequence == 0:
            return "none"
        if state in SETTLED:
            return "settled"
        if state is Progress.BEGUN:
            if (
                self.state == "rechecking"
                and now_s - self._confirmed_s > MAX_CONFIRMATION_AGE_S
            ):
                return "due"
            return "begun"
        lease = event.lease
        valid = lease is not None and lease.fencing == found.order.fencing
        return "valid" if valid else "invalid"

    def _classify_join(self, found: OrderObject | None) -> str:
        if found is not None and found.progress.agent == self.agent:
            self.incarnation = found.progress.incarnation
            return "joined"
        before = found.progress.incarnation if found is not None else 0
        if self.incarnation and before > self.incarnation:
            return "superseded"
        return "found"

    def _classify_written(
        self, event: ProgressWritten, sent_s: float, now_s: float
    ) -> str:
        assert self._written is not None
        self._object = replace(self._written, version=event.version)
        if self.state == "joining":
            self.incarnation = self._object.progress.incarnation
            return "joined"
        if self.state == "beginning":
            self._confirmed_s = sent_s
            return "begun" if now_s - sent_s <= MAX_CONFIRMATION_AGE_S else "resumed"
        return "recorded"

    def _classify_engine(self, event: EngineRead) -> str:
        assert self._object is not None
        self._engine = event.state
        if self.state == "verifying" and self._object.state is not Progress.DONE:
            return "matches"  # a failed or dropped order is not enforced
        if event.state.satisfies(self._object.order.change):
            return "matches"
        return "differs" if self._apply_attempts < MAX_APPLY_ATTEMPTS else "broken"

    def _advance(self, event: str | None, now_s: float) -> list[ExecutorAction]:
        actions: list[ExecutorAction] = []
        if event is None:
            return actions
        for name in self._machine.step(event):
            action = getattr(self, f"_do_{name}")(now_s)
            actions.append(action)
            if isinstance(action, WriteProgress) and action.object.order.sequence:
                progress = action.object.progress
                actions.append(
                    ReportProgress(
                        sequence=progress.sequence, state=progress.state.value
                    )
                )
        return actions

    def _start_op(self, now_s: float) -> int:
        self._op += 1
        self._op_sent_s = now_s
        return self._op

    def _do_read_order(self, now_s: float) -> ExecutorAction:
        return ReadOrder(op=self._start_op(now_s))

    def _do_read_engine(self, now_s: float) -> ExecutorAction:
        return ReadEngine(op=self._start_op(now_s))

    def _do_drain(self, now_s: float) -> ExecutorAction:
        change = self._object.order.change if self._object is not None else None
        # Loading a model does not disturb running streams; the other changes do.
        needed = change is None or change.role is not None or bool(change.unload)
        return DrainEngine(op=self._start_op(now_s), needed=needed)

    def _do_resume(self, now_s: float) -> ExecutorAction:
        return ResumeEngine()

    def _do_undrain(self, now_s: float) -> ExecutorAction:
        self._next_due_s = now_s + VERIFY_INTERVAL_S
        self._apply_attempts = 0
        self._op += 1
        self._op_sent_s = None
        return ResumeEngine()

    def _do_apply(self, now_s: float) -> ExecutorAction:
        assert self._object is not None
        self._apply_attempts += 1
        repair = self.state == "repairing"
        self.repairs += repair
        order = self._object.order
        return ApplyOrder(
            op=self._start_op(now_s),
            order=order,
            engine_fencing=make_engine_fencing(order.sequence, self.incarnation),
            send_before_s=self._confirmed_s + MAX_CONFIRMATION_AGE_S,
            repair=repair,
        )

    def _do_write_join(self, now_s: float) -> ExecutorAction:
        found = self._object
        if found is None:
            # The object was deleted. Its new incarnation must exceed all earlier ones
            # of this agent.
            found = OrderObject(
                upstream=self.upstream,
                version=0,
                order=Order(pool=self.pool),
                progress=AgentProgress(incarnation=self.incarnation),
            )
        incarnation = found.progress.incarnation + 1
        progress = replace(found.progress, agent=self.agent, incarnation=incarnation)
        return self._write(found, progress, now_s)

    def _do_write_begun(self, now_s: float) -> ExecutorAction:
        return self._write_outcome(Progress.BEGUN, "", now_s)

    def _do_write_done(self, now_s: float) -> ExecutorAction:
        return self._write_outcome(Progress.DONE, "", now_s)

    def _do_write_failed(self, now_s: float) -> ExecutorAction:
        return self._write_outcome(Progress.FAILED, "engine state differs", now_s)

    def _do_write_refused(self, now_s: float) -> ExecutorAction:
        return self._write_outcome(Progress.FAILED, FENCING_REFUSED, now_s)

    def _do_write_dropped(self, now_s: float) -> ExecutorAction:
        return self._write_outcome(Progress.DROPPED, "old fencing number", now_s)

    def _write_outcome(
        self, state: Progress, reason: str, now_s: float
    ) -> ExecutorAction:
        assert self._object is not None
        self._outcome = AgentProgress(
            agent=self.agent,
            incarnation=self.incarnation,
            sequence=self._object.order.sequence,
            state=state,
            reason=reason,
            engine=self._engine,
        )
        return self._write(self._object, self._outcome, now_s)

    def _do_write_again(self, now_s: float) -> ExecutorAction:
        assert self._object is not None
        return self._write(self._object, self._outcome, now_s)

    def _write(
        self, found: OrderObject, progress: AgentProgress, now_s: float
    ) -> ExecutorAction:
        self._written = replace(found, progress=progress)
        return WriteProgress(op=self._start_op(now_s), object=self._written)
