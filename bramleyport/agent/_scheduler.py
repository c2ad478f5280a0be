"""Scheduling of the work queued at an agent."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Final

from bramleyport.core import AttemptId, Explanation, Rank, UpstreamView, Work
from bramleyport.estimate import Estimate
from bramleyport.planning import EngineCosts, compute_token_cost, is_short_answer
from bramleyport.queueing import Queued, QueuedWork, QueuePolicy, Refused
from bramleyport.telemetry import Event, Metrics, log_event, policy_events
from bramleyport.wire import Refused as RefusedMessage

if TYPE_CHECKING:
    from bramleyport.agent._attempt import AgentAttempt
    from bramleyport.agent._metrics import AgentMetrics
    from bramleyport.estimate import Estimator

MIN_RETRY_AFTER_S: Final = 1.0
# The limit for short prompts allows for a short pause of the link.
MIN_IMPORT_LIMIT_S: Final = 0.5


class WorkPart(Enum):
    """Describe which part of a request an attempt runs on this engine."""

    WHOLE = "whole"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(slots=True)
class OfferedWork:
    """Track the total engine time that all queued work was estimated to need."""

    prefill_s: float = 0.0
    decode_s: float = 0.0
    short_s: float = 0.0

    def add(self, work: Work, estimate: Estimate) -> None:
        """Add the estimate of one request."""
        self.prefill_s += estimate.prefill_s
        self.decode_s += estimate.decode_s
        costs = EngineCosts()
        if is_short_answer(work, costs):
            token_s = compute_token_cost(costs)
            self.short_s += estimate.prefill_s + estimate.output_tokens * token_s


class AgentScheduler:
    """Queue work with its estimated cost and feed measured times back."""

    def __init__(
        self,
        queue: QueuePolicy,
        estimator: "Estimator",
        view: UpstreamView,
        metrics: Metrics,
    ) -> None:
        self.queue = queue
        self._estimator = estimator
        self._view = view
        self._metrics = metrics
        self.offered = OfferedWork()

    def offer(
        self,
        attempt: AttemptId,
        work: Work,
        now_s: float,
        part: WorkPart = WorkPart.WHOLE,
    ) -> Queued | Refused:
        """Queue or refuse an attempt."""
        estimate = self._estimator.estimate(work, self._view)
        deadline_s = work.answer_deadline_s
        if part is WorkPart.PREFILL:
            # The other engine still has to decode before the answer is due.
            deadline_s -= max(0.0, estimate.decode_s - estimate.spread_s)
            estimate = replace(estimate, decode_s=0.0, spread_s=0.0, output_tokens=0.0)
        elif part is WorkPart.DECODE:
            # Refusing the work for a late first token would waste the transfer.
            work = _drop_first_token_target(work)
            estimate = replace(estimate, prefill_s=0.0)
        decision = self.queue.offer(
            QueuedWork(
                attempt=attempt,
                work=work,
                deadline_s=deadline_s,
                prefill_s=estimate.prefill_s,
                decode_s=estimate.decode_s,
                spread_s=estimate.spread_s,
            ),
            now_s,
        )
        event = policy_events.ATTEMPT_QUEUED
        if isinstance(decision, Refused):
            event = policy_events.ATTEMPT_REFUSED
        else:
            self.offered.add(work, estimate)
        self._record(event, attempt, work.rank, decision.explanation)
        return decision

    def take(self, now_s: float, free_slots: int) -> list[QueuedWork]:
        """Remove and return the attempts to start now."""
        taken = self.queue.take(now_s, free_slots)
        for item in taken:
            if item.explanation is not None:
                self._record(
                    policy_events.ATTEMPT_STARTED,
                    item.attempt,
                    item.work.rank,
                    item.explanation,
                )
        return taken

    def refuse_late(self, now_s: float) -> list[RefusedMessage]:
        """Remove the attempts that cannot meet their deadlines and refuse them."""
        late = self.queue.expire(now_s)
        if not late:
            return []
        wait_s = self.queue.forecast_wait(now_s)
        return [self._refuse(item, wait_s[item.work.rank], now_s) for item in late]

    def prepare(
        self, attempt: "AgentAttempt", work: Work, metrics: "AgentMetrics"
    ) -> None:
        """Set the callbacks and limits of an attempt that is about to start."""
        observe = self.queue.observe_interval
        attempt.on_interval = metrics.make_interval_observer(work.rank, observe)
        blocks = self._view.cached.count_cached(work.prefix_blocks)
        attempt.cached_tokens = blocks * self._view.block_tokens
        attempt.on_import = self._count_import
        rate = max(1.0, self._view.rates.prefill_tokens_per_s)
        # An import that takes longer is slower than computing the prompt here.
        attempt.import_limit_s = max(MIN_IMPORT_LIMIT_S, work.prompt_tokens / rate)

    def _count_import(self, result: str) -> None:
        self._metrics.imports.inc({"result": result})

    def observe(self, attempt: "AgentAttempt") -> None:
        """Update the estimator with the measured times of a completed attempt."""
        observation = attempt.measure(self._view.upstream)
        if observation is not None:
            self._estimator.observe(observation)

    def _refuse(self, item: QueuedWork, wait_s: float, now_s: float) -> RefusedMessage:
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        numbers = {
            "left_s": item.deadline_s - now_s,
            "prefill_s": item.prefill_s,
            "decode_s": item.decode_s,
            "retry_after_s": retry_after_s,
        }
        explanation = Explanation(reason="deadline", numbers=numbers)
        event = policy_events.ATTEMPT_DROPPED
        self._record(event, item.attempt, item.work.rank, explanation)
        return RefusedMessage(
            attempt=item.attempt, reason="deadline", retry_after_s=retry_after_s
        )

    def _record(
        self, event: Event, attempt: AttemptId, rank: Rank, explanation: Explanation
    ) -> None:
        reason = explanation.reason
        self._metrics.decisions.inc({"kind": "queue", "reason": reason})
        log_event(
            event,
            attempt=attempt,
            rank=rank.value,
            reason=reason,
            **explanation.numbers,
        )


def _drop_first_token_target(work: Work) -> Work:
    targets = work.targets
    late_s = max(targets.first_token_s, targets.answer_s)
    return replace(work, targets=replace(targets, first_token_s=late_s))
