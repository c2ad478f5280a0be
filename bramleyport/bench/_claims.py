"""Measure the store calls and the latency of writing claims.

Run with `python -m bramleyport.bench._claims`. All entries and the simulated store
share one process on one core, so the latency is an upper bound.
"""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import asdict

import click


@click.command()
@click.option("--entries", multiple=True, type=int, default=(3, 20))
@click.option("--rates", multiple=True, type=float, default=(10.0, 100.0, 500.0))
@click.option("--run-s", default=8.0, help="Measured time of each combination.")
@click.option("--direct", is_flag=True, help="Let every entry write the logs itself.")
def main(
    entries: Sequence[int], rates: Sequence[float], run_s: float, direct: bool
) -> None:
    """Print one line of JSON for each number of entries and each rate."""
    from bramleyport.cli._runtime import install_reactor

    # Must come before the first import that installs Twisted's default reactor.
    install_reactor()
    from bramleyport.bench._claim_load import measure
    from bramleyport.telemetry import configure_logging

    configure_logging(json_lines=False, level="ERROR", process="bench")
    loop = asyncio.get_event_loop()
    for count in entries:
        for rate in rates:
            result = loop.run_until_complete(
                measure(count, rate, run_s, forwards=not direct)
            )
            click.echo(json.dumps(asdict(result)))


if __name__ == "__main__":
    main()
