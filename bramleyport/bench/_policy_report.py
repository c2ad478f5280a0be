"""Summaries of policy runs as plain data and as a table."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping, Sequence
from itertools import accumulate
from typing import Any, Final

from bramleyport.bench._policy_bound import SLOT_S, compute_bound
from bramleyport.bench._policy_causes import count_causes, list_possible
from bramleyport.bench._policy_record import Recorder, RequestRun
from bramleyport.bench._policy_run import (
    DRAIN_S,
    POLICY_SETS,
    PolicyRun,
)
from bramleyport.bench._policy_scenario import LANGUAGE_WORKERS, SCENARIOS
from bramleyport.bench._policy_traffic import compute_token_time
from bramleyport.core import Rank, ServiceKind
from bramleyport.standins import EngineProfile

QUANTILES: Final = (0.5, 0.95, 0.99)
TIMELINE_S: Final = 10.0


def run_policy(scenario: str, policies: str, seed: int, scale: int) -> dict[str, Any]:
    """Run one scenario with one policy set and return its summary."""
    run = PolicyRun(SCENARIOS[scenario], POLICY_SETS[policies], seed, scale)
    recorder = run.run()
    goodput = sum(
        r.request.tokens for r in _select_language(recorder) if r.met_targets()
    )
    engines = _list_engines(recorder, run.end_s + DRAIN_S, scale)
    bound = compute_bound(run.requests, engines, EngineProfile())
    offered = sum(r.request.tokens for r in _select_language(recorder))
    changes = recorder.role_changes
    return {
        "scenario": scenario,
        "policies": policies,
        "seed": seed,
        "scale": scale,
        "offered_tokens": offered,
        "goodput_tokens": goodput,
        "bound_tokens": round(bound),
        "goodput_share": round(goodput / max(1.0, bound), 4),
        "ranks": {
            rank.value: _summarize_rank(recorder, rank, run.end_s)
            | {"retained": _measure_retained(run, rank, scale)}
            | {"possible": _measure_possible(run, rank)}
            for rank in Rank
        },
        "role_changes": sum(changes.values()),
        "role_changes_per_engine_max": max(changes.values(), default=0),
        "counts": dict(sorted(recorder.counts.items())),
        "reasons": dict(sorted(recorder.reasons.items())),
        "decision_us": _list_quantiles(sorted(recorder.decision_s), 1e6),
        "plan_ms": _list_quantiles(sorted(recorder.plan_s), 1e3),
        "timeline": _make_timeline(recorder),
    }


def _select_language(recorder: Recorder) -> list[RequestRun]:
    return [r for r in recorder.runs if r.request.work.kind is ServiceKind.LANGUAGE]


def _list_engines(recorder: Recorder, end_s: float, scale: int) -> list[float]:
    """Return the largest number of engines in service in each slot of the bound."""
    slots = int(-(-end_s // SLOT_S))
    engines = []
    for slot in range(slots):
        count = LANGUAGE_WORKERS * scale
        for at_s, remaining_engines in recorder.engines:
            if at_s <= slot * SLOT_S:
                count = remaining_engines
        engines.append(float(count))
    return engines


def _summarize_rank(recorder: Recorder, rank: Rank, end_s: float) -> dict[str, Any]:
    runs = [r for r in _select_language(recorder) if r.request.work.rank is rank]
    plain = [
        r
        for r in recorder.runs
        if r.request.work.kind is ServiceKind.PLAIN and r.request.work.rank is rank
    ]
    waits = sorted(
        r.first_s - r.request.work.arrived_s for r in runs if r.first_s is not None
    )
    met = [r for r in runs if r.met_targets()]
    missed = Counter(r.find_missed_target() or "" for r in runs if not r.met_targets())
    admitted = [r for r in runs if r.result != "rejected"]
    offered = sum(r.request.tokens for r in runs)
    return {
        "requests": len(runs),
        "in_time": _divide(len(met), len(runs)),
        "in_time_of_admitted": _divide(len(met), len(admitted)),
        "missed": dict(sorted(missed.items())),
        "causes": count_causes(runs, EngineProfile()),
        "in_time_tokens": _divide(sum(r.request.tokens for r in met), offered),
        "goodput_tokens_per_s": round(sum(r.request.tokens for r in met) / end_s, 1),
        "plain_in_time": _divide(sum(r.met_targets() for r in plain), len(plain)),
        "first_token_s": _list_quantiles(waits, 1.0),
        "between_tokens_ms": _list_counter_quantiles(recorder.intervals_ms[rank]),
    }


def _measure_possible(run: PolicyRun, rank: Rank) -> float | None:
    """Return the fraction of requests that an idle fleet could answer in time."""
    requests = [
        r.work
        for r in run.requests
        if r.work.kind is ServiceKind.LANGUAGE and r.work.rank is rank
    ]
    possible = list_possible(run.requests, EngineProfile())
    met = sum(work.request in possible for work in requests)
    return _divide(met, len(requests))


def _measure_retained(run: PolicyRun, rank: Rank, scale: int) -> float | None:
    """Return the fraction of its guaranteed share that a rank got during the overload.

    Work is counted in engine seconds without cached prefixes. A rank that requested
    less than its share is compared with what it requested.
    """
    if run.scenario.overload is None:
        return None
    stretch = run.end_s / run.scenario.duration_s
    start_s, end_s = (stretch * edge for edge in run.scenario.overload)
    profile = EngineProfile()
    offered = served = share = 0.0
    for item in _select_language(run.recorder):
        work = item.request.work
        if work.rank is not rank or not start_s <= work.arrived_s < end_s:
            continue
        work_s = work.prompt_tokens / profile.prefill_tokens_per_s
        work_s += item.request.output_tokens * compute_token_time(profile)
        offered += work_s
        served += work_s if item.met_targets() else 0.0
        share = work.targets.guaranteed_share
    guaranteed = share * LANGUAGE_WORKERS * scale * (end_s - start_s)
    return _divide(served, min(offered, guaranteed))


def _divide(part: float, whole: float) -> float | None:
    return round(part / whole, 4) if whole else None


def _list_quantiles(values: Sequence[float], factor: float) -> list[float]:
    if not values:
        return []
    last = len(values) - 1
    return [round(values[round(q * last)] * factor, 3) for q in QUANTILES]


def _list_counter_quantiles(counter: Counter[int]) -> list[float]:
    if not counter:
        return []
    values = sorted(counter)
    sums = list(accumulate(counter[value] for value in values))
    return [float(values[bisect_left(sums, q * sums[-1])]) for q in QUANTILES]


def _make_timeline(recorder: Recorder) -> dict[str, Any]:
    """Return goodput by the time of the answer, and the number of engines by role."""
    tokens: Counter[int] = Counter()
    for run in _select_language(recorder):
        if run.met_targets():
            tokens[int(run.last_s // TIMELINE_S)] += run.request.tokens
    last = max(tokens, default=0)
    return {
        "interval_s": TIMELINE_S,
        "goodput_tokens_per_s": [
            round(tokens[index] / TIMELINE_S, 1) for index in range(last + 1)
        ],
        "roles": [
            {"at_s": at_s, **{role.value: n for role, n in roles.items()}}
            for at_s, roles in recorder.roles
        ],
    }


COLUMNS: Final = (
    "scenario",
    "scale",
    "policies",
    "goodput",
    "share",
    "urgent",
    "urgent possible",
    "standard",
    "batch",
    "retained",
    "first p95 s",
    "between p95 ms",
    "changes",
    "per engine",
    "rejected",
    "dropped",
    "retried",
    "decision p50/p99 us",
)


def format_table(summaries: Sequence[Mapping[str, Any]]) -> str:
    """Return the summaries as a Markdown table."""
    rows = [COLUMNS, tuple("---" for _ in COLUMNS)]
    rows += [_make_row(summary) for summary in summaries]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def _make_row(summary: Mapping[str, Any]) -> tuple[str, ...]:
    ranks = summary["ranks"]
    counts = summary["counts"]

    def join(field: str, index: int) -> str:
        cells = [ranks[rank.value][field] for rank in Rank]
        return "/".join(f"{cell[index]:g}" if cell else "-" for cell in cells)

    decision = summary["decision_us"]
    return (
        summary["scenario"],
        str(summary["scale"]),
        summary["policies"],
        str(summary["goodput_tokens"]),
        f"{summary['goodput_share']:.3f}",
        _format_share(ranks["urgent"]["in_time"]),
        _format_share(ranks["urgent"]["possible"]),
        _format_share(ranks["standard"]["in_time"]),
        _format_share(ranks["batch"]["in_time"]),
        "/".join(_format_share(ranks[rank.value]["retained"]) for rank in Rank),
        join("first_token_s", 1),
        join("between_tokens_ms", 1),
        str(summary["role_changes"]),
        str(summary["role_changes_per_engine_max"]),
        *(str(counts.get(name, 0)) for name in ("rejected", "dropped", "retried")),
        f"{decision[0]:.0f}/{decision[2]:.0f}" if decision else "-",
    )


def _format_share(share: float | None) -> str:
    return "-" if share is None else f"{share:.3f}"


def format_causes(summaries: Sequence[Mapping[str, Any]]) -> str:
    """Return the missed requests by rank and cause as a Markdown table."""
    columns = ("scenario", "policies", "rank", "requests", "missed", "causes")
    rows = [columns, tuple("---" for _ in columns)]
    for summary in summaries:
        for name, rank in summary["ranks"].items():
            causes = sorted(rank["causes"].items(), key=lambda item: -item[1])
            rows.append(
                (
                    summary["scenario"],
                    summary["policies"],
                    name,
                    str(rank["requests"]),
                    str(sum(rank["causes"].values())),
                    ", ".join(f"{cause} {count}" for cause, count in causes) or "-",
                )
            )
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)
