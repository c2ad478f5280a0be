"""Main command group of the bramleyport program."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click
from result import Err

from bramleyport import __version__
from bramleyport.cli._lazy import LazyGroup

if TYPE_CHECKING:
    from bramleyport.settings import LogSettings

S = TypeVar("S")

EXIT_INVALID = 2

LAZY_COMMANDS = {
    "bench": "bramleyport.cli._bench:bench",
    "explain": "bramleyport.cli._timeline:explain",
    "record": "bramleyport.cli._record:record",
    "check": "bramleyport.cli._check:check",
}


@click.group(cls=LazyGroup, lazy=LAZY_COMMANDS)
@click.version_option(__version__)
def main() -> None:
    """Serve language models and plain services on a fixed fleet."""


@main.command()
@click.argument("settings", type=click.Path())
def entry(settings: str) -> None:
    """Run an entry, which serves callers."""
    from bramleyport.cli._runtime import install_reactor, run_daemon
    from bramleyport.settings import EntrySettings

    install_reactor()
    from bramleyport.composition import build_entry

    loaded = _load_settings(settings, EntrySettings)
    _configure_logging(loaded.process.log, loaded.process.process)
    sys.exit(run_daemon(lambda: build_entry(loaded)))


@main.command()
@click.argument("settings", type=click.Path())
def agent(settings: str) -> None:
    """Run an agent, which serves one upstream."""
    from bramleyport.cli._runtime import install_reactor, run_daemon
    from bramleyport.settings import AgentSettings

    install_reactor()
    from bramleyport.composition import build_agent

    loaded = _load_settings(settings, AgentSettings)
    _configure_logging(loaded.process.log, loaded.process.process)
    sys.exit(run_daemon(lambda: build_agent(loaded)))


@main.command()
@click.argument("settings", type=click.Path(), required=False)
@click.option("--log-level", default="INFO", help="Lowest level to log.")
@click.option("--metrics-port", type=int, help="Port that serves /metrics.")
def gateway(settings: str | None, log_level: str, metrics_port: int | None) -> None:
    """Run a gateway, with the platform's settings file unless SETTINGS is given."""
    from bramleyport.cli._runtime import (
        install_reactor,
        report_failed_start,
        run_daemon,
    )
    from bramleyport.core import SettingsError
    from bramleyport.telemetry import configure_logging

    install_reactor()
    from bramleyport.composition import build_gateway
    from bramleyport.platform import load_node_settings, locate_settings

    configure_logging(json_lines=True, level=log_level, process="")
    try:
        path = Path(settings) if settings else locate_settings()
        process = load_node_settings(path).process
    except SettingsError as error:
        sys.exit(report_failed_start(error))
    configure_logging(json_lines=True, level=log_level, process=process)
    sys.exit(run_daemon(lambda: build_gateway(path, metrics_port)))


@main.command()
@click.option(
    "--port", default=8080, help="Port of the first entry; 0 picks a free one."
)
@click.option("--seed", default=1, help="Seed of random choices.")
@click.option("--log-level", default="WARNING", help="Lowest level to log.")
def demo(port: int, seed: int, log_level: str) -> None:
    """Run entries, agents and stand-ins in one process on loopback."""
    from bramleyport.cli._runtime import install_reactor, run_daemon

    install_reactor()
    from bramleyport.cli._demo import Demo
    from bramleyport.telemetry import configure_logging

    configure_logging(json_lines=False, level=log_level, process="demo")
    system = Demo(port, seed)

    async def describe() -> None:
        click.echo(system.describe())

    sys.exit(run_daemon(lambda: system, describe))


def _load_settings(path: str, kind: type[S]) -> S:
    from bramleyport.cli._runtime import report_failed_start
    from bramleyport.core import StepError
    from bramleyport.settings import load_settings
    from bramleyport.telemetry import configure_logging

    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        configure_logging(json_lines=True, level="INFO", process="")
        reason = error.strerror or repr(error)
        sys.exit(report_failed_start(StepError("read settings", path, reason)))
    result = load_settings(raw, kind)
    if isinstance(result, Err):
        for problem in result.err_value:
            click.echo(problem.describe(path), err=True)
        sys.exit(EXIT_INVALID)
    return result.ok_value


def _configure_logging(log: "LogSettings", process: str) -> None:
    from bramleyport.telemetry import configure_logging

    configure_logging(json_lines=log.json_lines, level=log.level, process=process)
