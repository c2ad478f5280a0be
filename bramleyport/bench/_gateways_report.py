"""Summarize runs of the gateway benchmark."""

from collections.abc import Sequence
from dataclasses import dataclass

from bramleyport.bench._gateways_run import GatewayRun
from bramleyport.bench._gateways_scenario import GATEWAY_SCENARIOS


@dataclass(frozen=True, slots=True, kw_only=True)
class MixSummary:
    """Describe the outcomes of the calls of one kind."""

    name: str
    calls: int
    in_time: float
    late: float
    refused: float
    failed: float
    median_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySummary:
    """Describe the results of one run."""

    scenario: str
    gateways: int
    # Fraction of the value that would be earned if all answers were in time.
    value: float
    mixes: tuple[MixSummary, ...]
    sent_kb_per_s: float
    prefilled_tokens: int
    transferred_tokens: int


def run_gateways(name: str, gateways: int, seed: int) -> GatewaySummary:
    """Run a scenario with a number of gateways and summarize it."""
    scenario = GATEWAY_SCENARIOS[name].with_gateways(gateways)
    run = GatewayRun(scenario, seed)
    run.simulate()
    earned = possible = 0.0
    mixes = []
    for mix in scenario.mixes:
        outcome = run.state.outcomes[mix.name]
        earned += mix.value * outcome.in_time + mix.late_value * outcome.late
        possible += mix.value * outcome.calls
        calls = max(1, outcome.calls)
        times = sorted(outcome.first_s)
        mixes.append(
            MixSummary(
                name=mix.name,
                calls=outcome.calls,
                in_time=outcome.in_time / calls,
                late=outcome.late / calls,
                refused=outcome.refused / calls,
                failed=outcome.failed / calls,
                median_s=times[len(times) // 2] if times else 0.0,
            )
        )
    sent = run.state.network.sent_bytes / gateways / scenario.duration_s / 1000
    return GatewaySummary(
        scenario=name,
        gateways=gateways,
        value=earned / possible,
        mixes=tuple(mixes),
        sent_kb_per_s=sent,
        prefilled_tokens=sum(
            engine.prefilled_tokens for engine in run.state.engines.values()
        ),
        transferred_tokens=run.state.transferred_tokens,
    )


def format_gateways(summaries: Sequence[GatewaySummary]) -> str:
    """Return the summaries as a table."""
    lines = [
        "scenario             gateways  value  kB/s  Mtokens read  moved  "
        "kind: in time/late/refused/failed, median ms"
    ]
    for item in summaries:
        kinds = "  ".join(
            f"{mix.name}: {mix.in_time:.3f}/{mix.late:.3f}/{mix.refused:.3f}"
            f"/{mix.failed:.3f}, {mix.median_s * 1000:.0f}"
            for mix in item.mixes
        )
        lines.append(
            f"{item.scenario:20} {item.gateways:8}  {item.value:.3f} "
            f"{item.sent_kb_per_s:5.1f}  {item.prefilled_tokens / 1e6:12.2f} "
            f"{item.transferred_tokens / 1e6:6.2f}  {kinds}"
        )
    return "\n".join(lines)
