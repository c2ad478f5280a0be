"""Commands of the benchmarks."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import click

from bramleyport.bench._gateways_scenario import GATEWAY_SCENARIOS
from bramleyport.bench._policy_scenario import SCENARIOS
from bramleyport.core import EngineRole

POLICY_SETS: Final = ("baseline", "better", "better_static", "better_whole")
SCALES: Final = ("1", "10", "100")


@click.group()
def bench() -> None:
    """Measure decisions and recovery."""


@bench.command()
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    type=click.Choice(sorted(SCENARIOS)),
    help="Scenario to run; may be repeated; all by default.",
)
@click.option("--seed", default=1, help="Seed of the requests and the choices.")
@click.option(
    "--scale",
    "scales",
    multiple=True,
    type=click.Choice(SCALES),
    default=("1",),
    help="Fleets of 9 language and 3 application workers.",
)
@click.option(
    "--policies",
    multiple=True,
    type=click.Choice(POLICY_SETS),
    default=POLICY_SETS[:2],
    help="Policy set to run; baseline and better by default.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, not a table.")
@click.option("--plot", type=click.Path(dir_okay=False), help="SVG file to write.")
def policy(
    scenarios: Sequence[str],
    seed: int,
    scales: Sequence[str],
    policies: Sequence[str],
    as_json: bool,
    plot: str | None,
) -> None:
    """Run the decision modules on modelled engines under a virtual clock."""
    from bramleyport.bench._policy_report import (
        format_causes,
        format_table,
        run_policy,
    )

    summaries = [
        run_policy(scenario, name, seed, int(scale))
        for scenario in scenarios or list(SCENARIOS)
        for scale in scales
        for name in policies
    ]
    if plot:
        Path(plot).write_text(_plot(summaries))
    if as_json:
        click.echo(json.dumps(summaries, indent=1))
    else:
        click.echo(f"{format_table(summaries)}\n\n{format_causes(summaries)}")


@bench.command()
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    type=click.Choice(sorted(GATEWAY_SCENARIOS)),
    help="Scenario to run; may be repeated; all by default.",
)
@click.option(
    "--gateways",
    "counts",
    multiple=True,
    type=click.IntRange(1),
    default=(1, 10, 30, 68),
    help="Gateways that share the load; one knows all that is sent.",
)
@click.option("--seed", default=1, help="Seed of the calls.")
def gateways(scenarios: Sequence[str], counts: Sequence[int], seed: int) -> None:
    """Run many gateways, each with its own view, on modelled engines.

    Example: bramleyport bench gateways --scenario long-prompts --gateways 68
    """
    from bramleyport.bench._gateways_report import format_gateways, run_gateways

    summaries = [
        run_gateways(name, count, seed)
        for name in scenarios or list(GATEWAY_SCENARIOS)
        for count in counts
    ]
    click.echo(format_gateways(summaries))


def _plot(summaries: Sequence[Mapping[str, Any]]) -> str:
    from bramleyport.bench._svg import Chart, Line, render_charts

    charts = []
    for summary in summaries:
        timeline = summary["timeline"]
        title = f"{summary['scenario']} x{summary['scale']}, {summary['policies']}"
        goodput = [
            (index * timeline["interval_s"], value)
            for index, value in enumerate(timeline["goodput_tokens_per_s"])
        ]
        line = Line(name="goodput", points=goodput)
        charts.append(Chart(title=f"{title}: goodput, tokens/s", lines=(line,)))
        roles = tuple(
            Line(
                name=role.value,
                points=[(row["at_s"], row[role.value]) for row in timeline["roles"]],
            )
            for role in EngineRole
        )
        charts.append(Chart(title=f"{title}: engines by role", lines=roles))
    return render_charts(charts)
