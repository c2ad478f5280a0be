"""Commands for reading and writing service records."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, TypeVar

import click
from result import Err, Ok

from bramleyport.cli._explain import (
    describe_lagging,
    explain_engine,
    explain_object,
    explain_request,
    list_requests,
)
from bramleyport.cli._output import (
    ExitCode,
    OutputFormat,
    describe_object,
    fail_store,
    fail_with,
    show_table,
    show_value,
)
from bramleyport.objectapi import Kind, ObjectName, StoredObject, StoreFailure
from bramleyport.records import compute_spec_digest, parse_record, read_status

if TYPE_CHECKING:
    from bramleyport.objectapi import ObjectClient

T = TypeVar("T")

WAIT_POLL_S: Final = 0.5

store_option = click.option(
    "--store",
    envvar="BRAMLEYPORT_STORE",
    required=True,
    help="Address of the platform's object API, such as http://10.0.0.9:8000.",
)
form_option = click.option(
    "--output",
    "form",
    type=click.Choice([form.value for form in OutputFormat]),
    default=OutputFormat.TABLE.value,
    help="Output format.",
)


@click.group()
def record() -> None:
    """Write, read and withdraw service records."""


@record.command()
@store_option
@click.option("-f", "--file", "path", required=True, type=click.Path(exists=True))
@click.option("--dry-run", is_flag=True, help="Check the record and change nothing.")
@click.option("--if-version", type=int, help="Fail unless the record has this version.")
@click.option(
    "--wait", "wait_s", type=float, help="Seconds to wait until the record is in force."
)
def apply(
    store: str, path: str, dry_run: bool, if_version: int | None, wait_s: float | None
) -> None:
    """Create or change a record from a YAML file."""
    document = read_record_file(path)
    name = ObjectName(document["name"])

    async def run(client: "ObjectClient") -> None:
        current = await _read(client, name)
        _check_version(current, if_version)
        if dry_run:
            action = "create" if current is None else "change"
            click.echo(f"would {action} {name}; the record is valid")
            return
        written = await _write(client, name, current, document)
        click.echo(f"{name}: version {written.version}, revision {written.revision}")
        if wait_s is not None:
            await _wait_in_force(client, written, wait_s)

    run_with_store(store, run)


@record.command()
@store_option
@form_option
@click.argument("name")
def get(store: str, form: str, name: str) -> None:
    """Show one record with its status."""

    async def run(client: "ObjectClient") -> None:
        item = await _read_existing(client, ObjectName(name))
        if OutputFormat(form) is OutputFormat.TABLE:
            show_table(TABLE_HEADER, [_make_row(item)])
            for line in describe_lagging(read_status(item.status)):
                click.echo(line)
        else:
            show_value(describe_object(item), OutputFormat(form))

    run_with_store(store, run)


@record.command("list")
@store_option
@form_option
def list_records(store: str, form: str) -> None:
    """Show all records."""

    async def run(client: "ObjectClient") -> None:
        listing = await client.list_all(Kind.SERVICES)
        if isinstance(listing, Err):
            fail_store(listing.err_value)
        items = listing.ok_value.items
        if OutputFormat(form) is OutputFormat.TABLE:
            show_table(TABLE_HEADER, [_make_row(item) for item in items])
        else:
            show_value([describe_object(item) for item in items], OutputFormat(form))

    run_with_store(store, run)


@record.command()
@store_option
@click.option("--if-version", type=int, help="Fail unless the record has this version.")
@click.argument("name")
def withdraw(store: str, if_version: int | None, name: str) -> None:
    """Remove a record; requests in flight are completed."""

    async def run(client: "ObjectClient") -> None:
        item = await _read_existing(client, ObjectName(name))
        _check_version(item, if_version)
        result = await client.delete(Kind.SERVICES, item.name, item.version)
        if isinstance(result, Err):
            fail_store(result.err_value)
        click.echo(f"{name}: withdrawn; requests in flight are completed")

    run_with_store(store, run)


@record.command()
@store_option
@click.option("--changes", type=int, help="Stop after this many changes.")
def watch(store: str, changes: int | None) -> None:
    """Print each change of a record as it happens."""

    async def run(client: "ObjectClient") -> None:
        listing = await client.list_all(Kind.SERVICES)
        if isinstance(listing, Err):
            fail_store(listing.err_value)
        revision = listing.ok_value.revision
        seen = 0
        while changes is None or seen < changes:
            batch = await client.watch(Kind.SERVICES, revision)
            if isinstance(batch, Err):
                fail_store(batch.err_value)
            revision = batch.ok_value.revision
            for event in batch.ok_value.events:
                item = event.object
                click.echo(f"{item.revision} {event.type.value} {item.name}")
                seen += 1

    run_with_store(store, run)


@record.command()
@store_option
@click.argument("subject", nargs=-1, required=True, metavar="[engine|request] NAME")
def explain(store: str, subject: tuple[str, ...]) -> None:
    """Explain the state of a record, an engine or a request.

    NAME alone is a record, `engine NAME` an engine, and `request ID` the request with
    that X-Request-Id.
    """
    kind, name = subject if len(subject) == 2 else ("record", subject[0])
    if len(subject) > 2 or kind not in EXPLAINERS:
        raise click.UsageError("expected NAME, engine NAME or request ID")

    async def run(client: "ObjectClient") -> None:
        for line in await EXPLAINERS[kind](client, name):
            click.echo(line)

    run_with_store(store, run)


async def _explain_record(client: "ObjectClient", name: str) -> list[str]:
    lines = explain_object(await _read_existing(client, ObjectName(name)))
    return [*lines, *await list_requests(client, name)]


EXPLAINERS: Final = {
    "record": _explain_record,
    "engine": explain_engine,
    "request": explain_request,
}
TABLE_HEADER: Final = (
    "NAME",
    "KIND",
    "SCHEMA",
    "VERSION",
    "REVISION",
    "IN FORCE",
    "STATE",
)


def read_record_file(path: str) -> dict[str, Any]:
    """Return the record in a file, or report every invalid field and exit."""
    from bramleyport.core import read_yaml

    document = read_yaml(Path(path).read_bytes())
    if isinstance(document, Err):
        fail_with(ExitCode.INVALID, *[p.describe(path) for p in document.err_value])
    value = document.ok_value.value
    if not isinstance(value, dict):
        fail_with(ExitCode.INVALID, f"{path}: expected a mapping of fields")
    parsed = parse_record(value, strict=True)
    if isinstance(parsed, Err):
        lines = []
        for problem in parsed.err_value:
            line = document.ok_value.find_line(problem.path)
            source = path if line is None else f"{path}:{line}"
            lines.append(problem.describe(source))
        fail_with(ExitCode.INVALID, *lines)
    return value


def run_with_store(
    store: str, run: Callable[["ObjectClient"], Coroutine[Any, Any, None]]
) -> None:
    """Run a coroutine function with an object API client."""
    from bramleyport.cli._runtime import install_reactor
    from bramleyport.telemetry import configure_logging

    install_reactor()
    configure_logging(json_lines=False, level="ERROR", process="record")
    from bramleyport.objectapi import ObjectClient

    async def call() -> None:
        client = ObjectClient(store)
        try:
            await run(client)
        finally:
            await client.close()

    asyncio.get_event_loop().run_until_complete(call())


async def _read(client: "ObjectClient", name: ObjectName) -> StoredObject | None:
    result = await client.get(Kind.SERVICES, name)
    if isinstance(result, Ok):
        return result.ok_value
    if result.err_value.failure is not StoreFailure.NOT_FOUND:
        fail_store(result.err_value)
    return None


async def _read_existing(client: "ObjectClient", name: ObjectName) -> StoredObject:
    item = await _read(client, name)
    if item is None:
        fail_with(ExitCode.NOT_FOUND, f"no record named {name}")
    return item


async def _write(
    client: "ObjectClient",
    name: ObjectName,
    current: StoredObject | None,
    document: dict[str, Any],
) -> StoredObject:
    while True:
        if current is None:
            result = await client.create(Kind.SERVICES, name, document, {})
        else:
            result = await client.update(
                Kind.SERVICES, name, current.version, document, current.status
            )
        if isinstance(result, Ok):
            return result.ok_value
        latest = await _read(client, name)
        if result.err_value.failure is StoreFailure.UNKNOWN and latest is not None:
            if latest.spec == document:
                return latest
        elif result.err_value.failure is not StoreFailure.CONFLICT:
            fail_store(result.err_value)
        # Retry if only the status differs: processes write it, not operators.
        if latest is None or current is None or latest.spec != current.spec:
            _fail_conflict(name, current, latest)
        current = latest


def _fail_conflict(
    name: ObjectName, read: StoredObject | None, latest: StoredObject | None
) -> None:
    shown = [
        "absent" if item is None else f"version {item.version}: {dict(item.spec)}"
        for item in (read, latest)
    ]
    fail_with(
        ExitCode.CONFLICT,
        f"{name} was changed by another operator",
        f"  read:   {shown[0]}",
        f"  stored: {shown[1]}",
    )


def _check_version(current: StoredObject | None, expected: int | None) -> None:
    actual = 0 if current is None else current.version
    if expected is not None and actual != expected:
        fail_with(ExitCode.CONFLICT, f"expected version {expected}, stored is {actual}")


async def _wait_in_force(
    client: "ObjectClient", written: StoredObject, wait_s: float
) -> None:
    deadline_s = time.monotonic() + wait_s
    shown = ""
    while time.monotonic() < deadline_s:
        item = await _read(client, written.name)
        status = read_status(item.status) if item else None
        if status and status.spec_digest == compute_spec_digest(written.spec):
            text = f"in force on {status.in_force} of {status.processes} processes"
            if text != shown:
                click.echo(text)
                shown = text
            if status.processes and status.in_force >= status.processes:
                return
        await asyncio.sleep(WAIT_POLL_S)
    fail_with(ExitCode.TIMEOUT, f"not in force everywhere after {wait_s:g} s")


def _make_row(item: StoredObject) -> tuple[str, ...]:
    status = read_status(item.status)
    parsed = parse_record(item.spec)
    in_force, state = "-", "no status"
    if status is not None:
        in_force = f"{status.in_force}/{status.processes}"
        failing = [c.type.value for c in status.conditions if not c.holds]
        state = "ok" if not failing else "not " + ", ".join(failing)
    if isinstance(parsed, Err):
        state = "invalid"
    kind = parsed.ok_value.kind.value if isinstance(parsed, Ok) else "-"
    return (
        item.name,
        kind,
        str(item.spec.get("schema", "v2")),
        str(item.version),
        str(item.revision),
        in_force,
        state,
    )
