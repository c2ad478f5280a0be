"""Explain a request, or a time span, from the logs of gateways."""

import sys
from collections.abc import Iterator
from typing import Final

import click

from bramleyport.telemetry import (
    LogLine,
    NotFoundError,
    Story,
    list_changes,
    parse_lines,
    tell_request,
)

EXIT_NOT_FOUND: Final = 3


@click.command()
@click.argument("request", required=False)
@click.argument("logs", nargs=-1, type=click.Path(exists=True, allow_dash=True))
@click.option("--since", default="", help="Show changes from this time of day.")
@click.option("--until", default="99", help="Show changes up to this time of day.")
def explain(request: str | None, logs: tuple[str, ...], since: str, until: str) -> None:
    """Tell what befell a REQUEST, from log files or standard input.

    With --since and --until, and - in place of the request, what changed in between.
    """
    lines = list(parse_lines(_read(logs)))
    if request is None or request == "-":
        for line in list_changes(lines, since, until):
            click.echo(line.render())
        return
    try:
        story = tell_request(request, lines)
    except NotFoundError:
        click.echo(f"no line names {request} among {len(lines)} lines", err=True)
        sys.exit(EXIT_NOT_FOUND)
    _show(story, lines)


def _show(story: Story, lines: list[LogLine]) -> None:
    click.echo(f"request {story.request}")
    click.echo("what the process believed")
    for line in story.beliefs or ():
        click.echo(f"  {line.render()}")
    click.echo("what befell the request")
    for line in story.lines:
        click.echo(f"  {line.render()}")
    if story.cause:
        click.echo(f"cause: {story.cause}")
    if story.suppressed:
        click.echo(
            f"{story.suppressed} of {len(lines) + story.suppressed} lines left out"
        )


def _read(logs: tuple[str, ...]) -> Iterator[str]:
    for path in logs or ("-",):
        with click.open_file(path, errors="replace") as stream:
            yield from stream
