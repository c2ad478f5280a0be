"""Output as tables, YAML or JSON, and failures with defined exit codes."""

import json
import sys
from collections.abc import Iterable, Sequence
from enum import Enum, IntEnum
from typing import Any, NoReturn

import click
import yaml

from bramleyport.objectapi import StoredObject, StoreError, StoreFailure


class ExitCode(IntEnum):
    """Define the exit codes of the commands."""

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    NOT_FOUND = 4
    TIMEOUT = 5


class OutputFormat(str, Enum):
    """Define the output formats."""

    TABLE = "table"
    YAML = "yaml"
    JSON = "json"


_EXIT_CODES = {
    StoreFailure.CONFLICT: ExitCode.CONFLICT,
    StoreFailure.NOT_FOUND: ExitCode.NOT_FOUND,
    StoreFailure.TOO_LARGE: ExitCode.INVALID,
}


def show_value(value: Any, form: OutputFormat) -> None:
    """Print a value as YAML or JSON."""
    if form is OutputFormat.JSON:
        click.echo(json.dumps(value, indent=2, sort_keys=True))
    else:
        click.echo(yaml.safe_dump(value, sort_keys=False), nl=False)


def show_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    """Print rows in aligned columns."""
    table = [list(header), *[list(row) for row in rows]]
    widths = [max(len(row[index]) for row in table) for index in range(len(header))]
    for row in table:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        click.echo("  ".join(cells).rstrip())


def describe_object(item: StoredObject) -> dict[str, Any]:
    """Return an object in the form that commands print."""
    return {
        "name": item.name,
        "version": item.version,
        "revision": item.revision,
        "spec": dict(item.spec),
        "status": dict(item.status),
    }


def fail_with(code: ExitCode, *lines: str) -> NoReturn:
    """Print error lines and exit."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def fail_store(error: StoreError) -> NoReturn:
    """Print the error of an object API call and exit."""
    code = _EXIT_CODES.get(error.failure, ExitCode.FAILED)
    text = f"{error.step} with {error.peer}: {error.failure.value} {error.message}"
    fail_with(code, text)
