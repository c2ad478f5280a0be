"""Explanations of records, engines and requests from data in the object API."""

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from bramleyport.authority import Lease, OrderObject, read_lease, read_order
from bramleyport.cli._output import ExitCode, fail_store, fail_with
from bramleyport.core import CaseKind, Explanation, RequestCase, UpstreamId
from bramleyport.objectapi import Kind, ObjectName, StoredObject, StoreFailure
from bramleyport.records import (
    RecordStatus,
    compute_spec_digest,
    parse_record,
    read_cases,
    read_status,
)

if TYPE_CHECKING:
    from bramleyport.objectapi import ObjectClient

MAX_REQUESTS_LISTED: Final = 3
NO_REPORT_REASONS: Final = (
    "it may have been answered in time at the first attempt, be older than the stored "
    "reports, or have been omitted while many requests failed at once"
)


def explain_object(item: StoredObject) -> list[str]:
    """Return lines that explain the state of a record."""
    lines = [f"{item.name}: version {item.version}, revision {item.revision}"]
    parsed = parse_record(item.spec)
    if isinstance(parsed, Err):
        lines.append("rejected; the last valid version stays in force:")
        lines += [f"  {problem.describe()}" for problem in parsed.err_value]
    status = read_status(item.status)
    if status is None:
        return [*lines, "no status yet: no entry has reported on this record"]
    if status.spec_digest != compute_spec_digest(item.spec):
        lines.append("the status is older than the record; wait for the next report")
    for condition in status.conditions:
        state = "yes" if condition.holds else f"no: {condition.message}"
        lines.append(f"{condition.type.value}: {state}")
    lines += describe_lagging(status)
    if status.ranks:
        since = status.counts_since or "the start of the reporting process"
        lines.append(f"requests on all entries since {since}:")
    for rank, count in sorted(status.ranks.items(), key=lambda pair: pair[0].priority):
        lines.append(
            f"{rank.value}: {count.in_time} in time, {count.late} late, "
            f"{count.rejected} rejected, {count.unknown} unknown"
        )
    lines += [f"engines {r}: {n}" for r, n in sorted(status.engines_by_role.items())]
    lines += [f"decision: {decision}" for decision in status.decisions]
    return lines


def describe_lagging(status: RecordStatus | None) -> list[str]:
    """Return a line with the processes that use an older revision, if there are any."""
    if status is None or not status.lagging:
        return []
    others = status.processes - status.in_force - len(status.lagging)
    more = f" and {others} more" if others > 0 else ""
    return [f"lagging: {', '.join(status.lagging)}{more}"]


async def explain_engine(client: "ObjectClient", name: str) -> list[str]:
    """Return lines that explain the role and state of an engine."""
    stored = await client.get(Kind.ORDERS, ObjectName(name))
    if isinstance(stored, Err):
        if stored.err_value.failure is not StoreFailure.NOT_FOUND:
            fail_store(stored.err_value)
        fail_with(
            ExitCode.NOT_FOUND,
            f"no order object for an engine named {name}; its agent writes one if "
            "its settings name a pool",
        )
    value = stored.ok_value
    order_result = read_order(UpstreamId(name), value.version, value.spec, value.status)
    if isinstance(order_result, Err):
        fail_with(ExitCode.FAILED, f"order object unreadable: {order_result.err_value}")
    leases = await client.list_all(Kind.LEASES)
    if isinstance(leases, Err):
        fail_store(leases.err_value)
    return [
        *_describe_order(order_result.ok_value),
        *_describe_progress(order_result.ok_value),
        *_describe_leases(order_result.ok_value, leases.ok_value.items),
    ]


async def list_requests(client: "ObjectClient", service: str) -> list[str]:
    """Return lines with the ids of a service's most recent reported requests."""
    stored = await client.get(Kind.REPORTS, ObjectName(service))
    if isinstance(stored, Err):
        if stored.err_value.failure is not StoreFailure.NOT_FOUND:
            fail_store(stored.err_value)
        return []
    cases = read_cases(stored.ok_value.spec)
    kinds = [(kind, [c for c in cases if c.kind is kind]) for kind in CaseKind]
    return [
        f"latest {kind.value}: "
        + ", ".join(
            f"{c.request} ({c.rank.value})" for c in matching[:MAX_REQUESTS_LISTED]
        )
        for kind, matching in kinds
        if matching
    ]


async def explain_request(client: "ObjectClient", identifier: str) -> list[str]:
    """Return lines that explain how a request ended."""
    reports = await client.list_all(Kind.REPORTS)
    if isinstance(reports, Err):
        fail_store(reports.err_value)
    cases = [case for item in reports.ok_value.items for case in read_cases(item.spec)]
    for case in cases:
        if case.request == identifier:
            return _describe_case(case)
    fail_with(
        ExitCode.NOT_FOUND, f"no report on request {identifier}:", NO_REPORT_REASONS
    )
    return None


def _describe_order(document: OrderObject) -> list[str]:
    order, change = document.order, document.order.change
    lines = [f"{document.upstream}: version {document.version}"]
    if order.sequence == 0:
        lines.append("order: none yet; the engine has the role that it started with")
    else:
        wanted = [] if change.role is None else [f"role {change.role.value}"]
        wanted += [f"load {name}" for name in change.load]
        wanted += [f"unload {name}" for name in change.unload]
        lines.append(
            f"order: number {order.sequence} of pool {order.pool}, "
            f"fencing number {order.fencing}: {', '.join(wanted) or 'no change'}"
        )
        lines.append(f"plan: {_describe_reason(change.explanation)}")
    lines.append(f"sealed by fencing number {order.sealed}")
    return lines


def _describe_progress(document: OrderObject) -> list[str]:
    progress = document.progress
    lines = [
        f"progress: {document.state.value}"
        + (f", {progress.reason}" if progress.reason else ""),
        f"agent: {progress.agent or 'none'}, incarnation {progress.incarnation}, "
        f"last reported order {progress.sequence}",
    ]
    engine = progress.engine
    if engine is None:
        lines.append("engine: not read back yet")
    else:
        held = ", ".join(sorted(engine.models | engine.adapters)) or "nothing"
        lines.append(f"engine: read back as role {engine.role.value}, holds {held}")
    return lines


def _describe_leases(document: OrderObject, items: Iterable[StoredObject]) -> list[str]:
    lines = []
    for item in items:
        lease = read_lease(item.spec)
        if item.name.startswith(f"{document.order.pool}.") and isinstance(lease, Ok):
            lines.append(_describe_lease(item.name, lease.ok_value, document))
    return lines or ["lease: no lease of the engine's pool is stored"]


def _describe_lease(name: str, lease: Lease, document: OrderObject) -> str:
    holder = f"held by {lease.holder}" if lease.holder else "not held"
    text = f"lease {name}: {holder}, fencing number {lease.fencing}"
    if document.order.sealed == lease.fencing:
        text += "; it has sealed this order object"
    return text


def _describe_reason(explanation: Explanation | None) -> str:
    if explanation is None:
        return "reason not recorded"
    return " ".join([explanation.reason, _describe_numbers(explanation.numbers)])


def _describe_numbers(numbers: Mapping[str, float]) -> str:
    return " ".join(f"{name}={value:.4g}" for name, value in numbers.items())


def _describe_case(case: RequestCase) -> list[str]:
    ended = datetime.fromtimestamp(case.ended_at, UTC).isoformat()
    lines = [
        f"{case.request}: {case.kind.value}, {case.service} as {case.rank.value}, "
        f"ended {ended} on {case.entry}",
        f"result: {case.code}, execution {case.execution.value}",
    ]
    if case.message:
        lines.append(f"step {case.step}: {case.message}")
    if case.answer_s:
        if case.first_token_s:
            lines.append(
                f"first token: after {case.first_token_s:g} s, "
                f"due after {case.target_first_token_s:g} s"
            )
        lines.append(
            f"answer: after {case.answer_s:g} s, due after {case.target_answer_s:g} s"
        )
    lines += [
        f"{decision.kind}: {decision.reason} {_describe_numbers(decision.numbers)}"
        for decision in case.decisions
    ]
    lines += [
        f"attempt {number} on {attempt.upstream}: {attempt.result}"
        + (f" ({attempt.reason})" if attempt.reason else "")
        + f", execution {attempt.execution.value}"
        for number, attempt in enumerate(case.attempts, 1)
    ]
    answered = [attempt.upstream for attempt in case.attempts if attempt.result == "ok"]
    lines.append(f"answered by: {answered[-1] if answered else 'no upstream'}")
    return [line.rstrip() for line in lines]
