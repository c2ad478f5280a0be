"""Command that shows the timeline of a request or time span from gateway logs."""

import sys
from collections.abc import Iterator
from typing import Final

import click

from bramleyport.telemetry import (
    LogLine,
    NotFoundError,
    Timeline,
    build_timeline,
    list_changes,
    parse_lines,
)

EXIT_NOT_FOUND: Final = 3


@click.command()
@click.argument("request", required=False)
@click.argument("logs", nargs=-1, type=click.Path(exists=True, allow_dash=True))
@click.option("--since", default="", help="Show changes since this time of day.")
@click.option("--until", default="99", help="Show changes until this time of day.")
def explain(request: str | None, logs: tuple[str, ...], since: str, until: str) -> None:
    """Show the timeline of a REQUEST from log files or standard input.

    With - in place of the request, show what changed between --since and --until.
    """
    lines = list(parse_lines(_read_logs(logs)))
    if request is None or request == "-":
        for line in list_changes(lines, since, until):
            click.echo(line.render())
        return
    try:
        timeline = build_timeline(request, lines)
    except NotFoundError:
        click.echo(
            f"request {request} is named in none of {len(lines)} lines", err=True
        )
        sys.exit(EXIT_NOT_FOUND)
    _print_timeline(timeline, lines)


def _print_timeline(timeline: Timeline, lines: list[LogLine]) -> None:
    click.echo(f"request {timeline.request}")
    click.echo("state changes of the processes")
    for line in timeline.state_changes or ():
        click.echo(f"  {line.render()}")
    click.echo("events of the request")
    for line in timeline.lines:
        click.echo(f"  {line.render()}")
    if timeline.cause:
        click.echo(f"cause: {timeline.cause}")
    if timeline.suppressed:
        click.echo(
            f"{timeline.suppressed} of {len(lines) + timeline.suppressed} lines missing"
        )


def _read_logs(logs: tuple[str, ...]) -> Iterator[str]:
    for path in logs or ("-",):
        with click.open_file(path, errors="replace") as stream:
            yield from stream
