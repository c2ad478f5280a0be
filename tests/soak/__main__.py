"""Soak gateways from the command line: `python -m tests.soak --help`."""

import asyncio
import sys

import click

from tests.soak._run import Profile, soak
from tests.soak._seeds import FAILED_SEEDS


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds, one after another.")
@click.option("--seconds", default=20.0, help="Duration of the faults of each.")
@click.option("--gateways", default=4, help="Gateway processes of each.")
@click.option(
    "--profile",
    type=click.Choice([profile.value for profile in Profile]),
    help="Faults to inject; drawn by the seed if absent.",
)
@click.option("--failed", is_flag=True, help="Run the seeds that failed once.")
def main(
    seed: int,
    seeds: int,
    seconds: float,
    gateways: int,
    profile: str | None,
    failed: bool,
) -> None:
    """Soak gateways under faults and report broken promises."""
    broken = 0
    for number in list(FAILED_SEEDS) if failed else range(seed, seed + seeds):
        chosen = Profile(profile) if profile else None
        findings = asyncio.run(soak(number, seconds, gateways=gateways, profile=chosen))
        broken += bool(findings.broken)
        click.echo(f"seed {number}: {findings.summarize()}")
        for text in findings.broken:
            click.echo(f"  {text}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
