"""Agents of the policy benchmark: the production queue policy and an engine model."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Final

from bramleyport.bench._policy_record import Recorder, RequestRun
from bramleyport.bench._virtual_clock import VirtualClock
from bramleyport.core import (
    AttemptId,
    EngineLoad,
    EngineRates,
    EngineRole,
    Execution,
    UpstreamId,
    UpstreamState,
    UpstreamView,
)
from bramleyport.estimate import Estimator, Observation
from bramleyport.queueing import QueuedWork, QueuePolicy, Refused
from bramleyport.retries import AttemptFailure, FailureKind
from bramleyport.routing import TransferCost
from bramleyport.standins import EngineJob, EngineModel, EngineProfile, EngineStep

if TYPE_CHECKING:
    from bramleyport.bench._policy_entry import SimEntry

TRANSFER: Final = TransferCost()
# 32 layers x 8 heads x 128 values x 2 (key and value) x 2 bytes.
KV_BYTES_PER_TOKEN: Final = 131_072.0
SILENCE_TIMEOUT_S: Final = 1.0
EXPIRE_INTERVAL_S: Final = 0.2


@dataclass(slots=True, kw_only=True)
class SimAttempt:
    """Describe one attempt and where its prefill and decode phases run."""

    attempt: AttemptId
    run: RequestRun
    entry: "SimEntry"
    upstream: UpstreamId
    sent_s: float
    decode_agent: "SimAgent | None" = None
    imported: bool = False


class SimAgent:
    """Simulate an agent with its queue and one modelled engine."""

    def __init__(
        self,
        clock: VirtualClock,
        view: UpstreamView,
        profile: EngineProfile,
        queue: QueuePolicy,
        estimator: Estimator,
        recorder: Recorder,
    ) -> None:
        self.view = view
        self.model = EngineModel(profile)
        self.queue = queue
        self.publish: Callable[[SimAgent], None] = lambda _: None
        self._clock = clock
        self._estimator = estimator
        self._recorder = recorder
        self._waiting: dict[AttemptId, SimAttempt] = {}
        self.running: dict[AttemptId, SimAttempt] = {}
        self._stepping = False
        self._target: EngineRole | None = None

    @property
    def target_role(self) -> EngineRole | None:
        """Return the role that the engine is changing to, if any."""
        return self._target

    def execute(self, attempt: SimAttempt) -> None:
        """Queue or refuse an attempt."""
        if self.view.state is UpstreamState.GONE:
            self._clock.call_later(
                SILENCE_TIMEOUT_S, partial(self._disconnect, attempt)
            )
            return
        if self.view.state is not UpstreamState.LIVE:
            self._refuse(attempt, "not_live", 0.0)
            return
        now_s = self._clock.now_s
        work = attempt.run.request.work
        if attempt.imported:
            # A refusal because of a late first token would waste the transfer.
            targets = replace(work.targets, first_token_s=work.targets.answer_s)
            work = replace(work, targets=targets)
        estimate = self._estimator.estimate(work, self.view)
        decision = self.queue.offer(
            QueuedWork(
                attempt=attempt.attempt,
                work=work,
                deadline_s=work.answer_deadline_s,
                prefill_s=0.0 if attempt.imported else estimate.prefill_s,
                decode_s=estimate.decode_s,
                spread_s=estimate.spread_s,
            ),
            now_s,
        )
        if isinstance(decision, Refused):
            self._refuse(attempt, decision.explanation.reason, decision.retry_after_s)
            return
        attempt.run.queued_s = now_s
        self._waiting[attempt.attempt] = attempt
        self._start_queued()

    def change_role(self, role: EngineRole) -> None:
        """Refuse queued work, finish running work, then change the role."""
        self._target = role
        self._stop_accepting(UpstreamState.CHANGING)
        self._change_when_idle()

    def drain(self) -> None:
        """Refuse queued work and finish running work."""
        self._stop_accepting(UpstreamState.LEAVING)

    def crash(self) -> None:
        """Fail at once; peers detect it after `SILENCE_TIMEOUT_S`."""
        self.view.state = UpstreamState.GONE
        for attempt in [*self._waiting.values(), *self.running.values()]:
            self._clock.call_later(
                SILENCE_TIMEOUT_S, partial(self._disconnect, attempt)
            )
        self._waiting.clear()
        self.running.clear()
        self._clock.call_later(SILENCE_TIMEOUT_S, lambda: self.publish(self))

    def expire(self) -> None:
        """Refuse queued work whose deadline has passed."""
        for item in self.queue.expire(self._clock.now_s):
            attempt = self._waiting.pop(item.attempt, None)
            if attempt is not None:
                self._recorder.counts["dropped"] += 1
                self._refuse(attempt, "deadline", 0.0)

    def read_load(self) -> EngineLoad:
        """Return the load that the agent reports."""
        model = self.model
        return EngineLoad(
            taken_s=self._clock.now_s,
            running=len(self.running),
            queued=len(self.queue),
            queued_prefill_tokens=sum(
                attempt.run.request.work.prompt_tokens
                for attempt in self._waiting.values()
            )
            + sum(
                job.remaining_prefill_tokens for job in (*model.waiting, *model.running)
            ),
            running_decode_tokens=sum(
                job.output_tokens - job.produced for job in model.running
            ),
            blocks_used=model.count_used_blocks(),
            blocks_total=model.profile.blocks_total,
            wait_s=self.queue.forecast_wait(self._clock.now_s),
        )

    def _stop_accepting(self, state: UpstreamState) -> None:
        self.view.state = state
        self.publish(self)
        for attempt in list(self._waiting.values()):
            if self.queue.cancel(attempt.attempt):
                del self._waiting[attempt.attempt]
                self._refuse(attempt, state.value, 0.0)

    def _change_when_idle(self) -> None:
        if self._target is None or self.running or self._waiting:
            return
        if self.model.changing_to is not None:
            return
        if self.view.state is UpstreamState.CHANGING:
            seconds = self.model.begin_role_change(self._target)
            self._clock.call_later(seconds, self._end_change)

    def _end_change(self) -> None:
        if self.view.state is not UpstreamState.CHANGING:
            return
        self.model.end_role_change()
        self._target = None
        self._recorder.role_changes[self.view.upstream] += 1
        self.view.role = self.model.role
        self.view.state = UpstreamState.LIVE
        self.view.rates = read_rates(self.model)
        self.publish(self)

    def _start_queued(self) -> None:
        free = self.model.max_streams - len(self.running)
        if free > 0:
            for item in self.queue.take(self._clock.now_s, free):
                self._start(self._waiting.pop(item.attempt))
        self._step()

    def _start(self, attempt: SimAttempt) -> None:
        run = attempt.run
        run.started_s = self._clock.now_s
        self.running[attempt.attempt] = attempt
        request = run.request
        outputs = max(1, request.output_tokens - run.produced)
        if attempt.decode_agent is not None:
            outputs = 1
        job = EngineJob(
            job=attempt.attempt,
            prompt_tokens=max(1, request.work.prompt_tokens),
            output_tokens=outputs,
            priority=request.work.rank.priority,
            prefix_blocks=request.work.prefix_blocks,
            imported=attempt.imported,
        )
        self.model.submit(job)
        run.cached_tokens = job.cached_tokens

    def _step(self) -> None:
        if self._stepping or self.view.state is UpstreamState.GONE:
            return
        step = self.model.run_step()
        if step is not None:
            self._stepping = True
            self._clock.call_later(step.duration_s, partial(self._end_step, step))

    def _end_step(self, step: EngineStep) -> None:
        self._stepping = False
        if self.view.state is UpstreamState.GONE:
            return
        profile = self.model.profile
        prefill_s = step.duration_s - profile.step_base_s
        prefill_s -= profile.stream_step_s * len(step.produced)
        for job in step.produced:
            self._count_token(self.running[AttemptId(job)], max(0.0, prefill_s))
        for job in step.finished:
            self._end_attempt(self.running.pop(AttemptId(job)))
        self._start_queued()
        self._change_when_idle()

    def _count_token(self, attempt: SimAttempt, prefill_s: float) -> None:
        run, now_s = attempt.run, self._clock.now_s
        if attempt.decode_agent is not None:
            return
        if run.first_s is None:
            run.first_s = now_s
        else:
            interval_s = now_s - run.last_s
            run.batched_prefill_s += prefill_s
            self._recorder.record_interval(run.request.work.rank, interval_s)
            self.queue.observe_interval(interval_s, now_s)
        run.last_s = now_s
        run.produced += 1

    def _end_attempt(self, attempt: SimAttempt) -> None:
        run, now_s = attempt.run, self._clock.now_s
        self.queue.finish(attempt.attempt, now_s)
        if attempt.decode_agent is not None:
            self._observe(attempt, now_s)
            attempt.entry.start_decode(attempt)
            return
        if run.first_s is not None:
            self._observe(attempt, run.first_s)
        attempt.entry.finish(attempt)

    def _observe(self, attempt: SimAttempt, prefilled_s: float) -> None:
        run, now_s = attempt.run, self._clock.now_s
        prefill_s = max(0.0, prefilled_s - run.started_s)
        observation = Observation(
            work=run.request.work,
            upstream=self.view.upstream,
            output_tokens=run.produced,
            cached_tokens=run.cached_tokens,
            wait_s=max(0.0, run.started_s - run.queued_s),
            prefill_s=0.0 if attempt.imported else prefill_s,
            decode_s=now_s - prefilled_s,
        )
        self._estimator.observe(observation)
        attempt.entry.observe(observation)

    def _refuse(self, attempt: SimAttempt, reason: str, retry_after_s: float) -> None:
        self._recorder.reasons[f"refused_{reason}"] += 1
        attempt.run.last_refusal = reason
        self._fail(attempt, FailureKind.REFUSED, Execution.NOT_RUN, retry_after_s)

    def _disconnect(self, attempt: SimAttempt) -> None:
        attempt.run.last_refusal = None
        self._fail(attempt, FailureKind.DISCONNECTED, Execution.UNKNOWN, 0.0)

    def _fail(
        self,
        attempt: SimAttempt,
        kind: FailureKind,
        execution: Execution,
        retry_after_s: float,
    ) -> None:
        failure = AttemptFailure(
            upstream=self.view.upstream,
            kind=kind,
            execution=execution,
            frames_delivered=attempt.run.produced,
            retry_after_s=retry_after_s,
            reason=attempt.run.last_refusal or "",
        )
        attempt.entry.fail(attempt, failure)


def read_rates(model: EngineModel) -> EngineRates:
    """Return the rates that an engine reports in its current role."""
    profile = model.profile
    return EngineRates(
        prefill_tokens_per_s=profile.prefill_tokens_per_s,
        decode_tokens_per_s=1 / profile.step_base_s,
        max_streams=model.max_streams,
    )
