"""Command that validates settings and record files."""

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click
from result import Err, Result

from bramleyport.cli._output import ExitCode, fail_with
from bramleyport.cli._record import read_record_file
from bramleyport.settings import AgentSettings, EntrySettings, load_settings

if TYPE_CHECKING:
    from bramleyport.core import Problem

ROLES: Final = {"entry": EntrySettings, "agent": AgentSettings}


@click.command()
@click.argument("kind", type=click.Choice([*ROLES, "gateway", "record"]))
@click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True))
def check(kind: str, paths: tuple[str, ...]) -> None:
    """Check files of one kind and report every invalid field."""
    for path in paths:
        if kind == "record":
            read_record_file(path)
        elif kind == "gateway":
            _check_gateway(path)
        else:
            result: Result[Any, list[Problem]] = load_settings(
                Path(path).read_bytes(), ROLES[kind]
            )
            if isinstance(result, Err):
                lines = [problem.describe(path) for problem in result.err_value]
                fail_with(ExitCode.INVALID, *lines)
        click.echo(f"{path}: ok")


def _check_gateway(path: str) -> None:
    from bramleyport.core import SettingsError
    from bramleyport.platform import load_node_settings

    try:
        load_node_settings(Path(path))
    except SettingsError as error:
        fail_with(ExitCode.INVALID, f"{path}: {error.reason}")
