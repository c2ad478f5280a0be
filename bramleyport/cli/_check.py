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
# Settings of a gateway, the configuration that it reads, and service records.
FURTHER_KINDS: Final = ("gateway", "configuration", "record")


@click.command()
@click.argument("kind", type=click.Choice([*ROLES, *FURTHER_KINDS]))
@click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True))
def check(kind: str, paths: tuple[str, ...]) -> None:
    """Check files of one kind and report every invalid field."""
    for path in paths:
        if kind == "record":
            read_record_file(path)
        elif kind == "gateway":
            _check_gateway(path)
        elif kind == "configuration":
            _check_configuration(path)
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


def _check_configuration(path: str) -> None:
    """Check a configuration in JSON as gateways read it."""
    from bramleyport.platform import (
        MalformedDocumentError,
        decode_configuration,
        parse_document,
    )

    try:
        configuration = decode_configuration(parse_document(Path(path).read_bytes()))
    except MalformedDocumentError as error:
        fail_with(ExitCode.INVALID, f"{path}: {error}")
    accounts = configuration.accounts
    if accounts is not None and accounts.problems:
        lines = [f"{path}: {problem}" for problem in accounts.problems]
        fail_with(ExitCode.INVALID, *lines)
