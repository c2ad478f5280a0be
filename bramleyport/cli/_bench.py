"""Commands that run benchmarks."""

from typing import Final

import click

from bramleyport.cli._lazy import LazyGroup

BENCHMARKS: Final = {
    "capacity": "bramleyport.bench._capacity:capacity",
    "policy": "bramleyport.bench._command:policy",
    "recovery": "bramleyport.bench._recovery:recovery",
}


@click.group(cls=LazyGroup, lazy=BENCHMARKS)
def bench() -> None:
    """Measure policies, recovery and capacity."""
