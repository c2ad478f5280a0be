"""Causes of missed targets, and requests that an idle fleet could answer in time."""

import math
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import Final

from bramleyport.bench._policy_record import RequestRun
from bramleyport.bench._policy_traffic import Request
from bramleyport.core import EngineRole, PrefixBlock, RequestId, ServiceKind
from bramleyport.standins import EngineProfile


class MissCause(str, Enum):
    """Represent the reason why a request missed a target."""

    REJECTED = "rejected"
    NO_UPSTREAM = "no_upstream"
    REFUSED_BUDGET = "refused_budget_spent"
    REFUSED_FINAL = "refused_last_attempt"
    DROPPED = "dropped_from_queue"
    BROKEN = "broken"
    OPEN = "open"
    FIRST_QUEUE = "first_token_queue"
    FIRST_RETRIES = "first_token_retries"
    FIRST_PREFILL = "first_token_prefill"
    FIRST_INTERFERENCE = "first_token_interference"
    BETWEEN_PREFILL = "between_tokens_prefill"
    BETWEEN_BATCH = "between_tokens_batch"
    ANSWER = "answer"


UNANSWERED: Final = {
    "rejected": MissCause.REJECTED,
    "no_upstream": MissCause.NO_UPSTREAM,
    "open": MissCause.OPEN,
}


def find_cause(run: RequestRun, profile: EngineProfile) -> MissCause | None:
    """Return why a request missed a target, or None if it met all."""
    miss = run.find_missed_target()
    if miss is None:
        return None
    if miss in UNANSWERED:
        return UNANSWERED[miss]
    if miss == "failed":
        return _find_failure_cause(run)
    if miss == "first_token":
        return _find_delay_cause(run, profile)
    if miss == "between_tokens":
        return _find_slowdown_cause(run)
    return MissCause.ANSWER


def count_causes(runs: Iterable[RequestRun], profile: EngineProfile) -> dict[str, int]:
    """Return the number of missed requests by cause."""
    causes = Counter(
        cause.value for run in runs if (cause := find_cause(run, profile)) is not None
    )
    return dict(sorted(causes.items()))


def list_possible(
    requests: Iterable[Request], profile: EngineProfile
) -> frozenset[RequestId]:
    """Return the language requests that an idle fleet could answer in time.

    Each request is assumed to run alone on a mixed engine that has all prefixes of
    earlier requests in its cache.
    """
    seen: set[PrefixBlock] = set()
    possible = []
    for request in requests:
        work = request.work
        if work.kind is not ServiceKind.LANGUAGE:
            continue
        cached = 0
        for block in work.prefix_blocks:
            if block not in seen:
                break
            cached += 1
        seen.update(work.prefix_blocks)
        if _fits_idle(request, cached * profile.block_tokens, profile):
            possible.append(work.request)
    return frozenset(possible)


def _fits_idle(request: Request, cached_tokens: int, profile: EngineProfile) -> bool:
    work, targets = request.work, request.work.targets
    uncached = max(1, work.prompt_tokens - cached_tokens)
    step_s = profile.step_base_s + profile.stream_step_s
    first_s = forecast_prefill(uncached, profile) + profile.stream_step_s
    answer_s = first_s + max(0, request.output_tokens - 1) * step_s
    return (
        first_s <= targets.first_token_s
        and answer_s <= targets.answer_s
        and (request.output_tokens < 2 or step_s <= targets.between_tokens_s)
    )


def forecast_prefill(tokens: int, profile: EngineProfile) -> float:
    """Return the seconds that a prefill takes on an idle mixed engine."""
    steps = math.ceil(tokens / profile.get_chunk_tokens(EngineRole.MIXED))
    return steps * profile.step_base_s + tokens / profile.prefill_tokens_per_s


def _find_failure_cause(run: RequestRun) -> MissCause:
    if run.last_refusal is None:
        return MissCause.BROKEN
    if run.last_refusal == "deadline":
        return MissCause.DROPPED
    if run.give_up_reason == "budget_spent":
        return MissCause.REFUSED_BUDGET
    return MissCause.REFUSED_FINAL


def _find_delay_cause(run: RequestRun, profile: EngineProfile) -> MissCause:
    """Return the phase that takes most of the time to the first token."""
    assert run.first_s is not None
    uncached = max(1, run.request.work.prompt_tokens - run.cached_tokens)
    prefill_s = forecast_prefill(uncached, profile)
    delays = {
        MissCause.FIRST_QUEUE: run.started_s - run.queued_s,
        MissCause.FIRST_RETRIES: run.queued_s - run.request.work.arrived_s,
        MissCause.FIRST_PREFILL: prefill_s,
        MissCause.FIRST_INTERFERENCE: run.first_s - run.started_s - prefill_s,
    }
    return max(delays, key=lambda cause: delays[cause])


def _find_slowdown_cause(run: RequestRun) -> MissCause:
    """Return whether prefill in the same steps or the batch slowed the decoding."""
    assert run.first_s is not None
    intervals = max(1, run.produced - 1)
    mean_interval_s = (run.last_s - run.first_s - run.batched_prefill_s) / intervals
    if mean_interval_s <= run.request.work.targets.between_tokens_s:
        return MissCause.BETWEEN_PREFILL
    return MissCause.BETWEEN_BATCH
