"""Render the read-only status page of an entry."""

import html
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from bramleyport.core import Rank, Revision, ServiceName, UpstreamView
from bramleyport.records import RankCounts, RecordStatus, ServiceRecord
from bramleyport.telemetry import JournalEntry

STYLE: Final = (
    "body{font:14px/1.5 sans-serif;margin:2em auto;max-width:72em;color:#222}"
    "table{border-collapse:collapse;width:100%;margin-bottom:2em}"
    "th,td{text-align:left;padding:.3em .8em;border-bottom:1px solid #ddd}"
    "th{background:#f4f4f4}h1{font-size:1.4em}h2{font-size:1.1em}"
    ".bad{color:#b00020;font-weight:bold}"
)


COUNTS_HEADER: Final = ("Record", "Rank", "In time", "Late", "Rejected", "Unknown")


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryState:
    """Describe the state of an entry that its status page shows."""

    process: str
    zone: str
    unready_reason: str | None
    revision: Revision
    in_flight: int
    records: Mapping[ServiceName, ServiceRecord]
    counts: Mapping[ServiceName, Mapping[Rank, RankCounts]]
    statuses: Mapping[ServiceName, RecordStatus]
    statuses_age_s: float | None
    views: Sequence[UpstreamView]
    journal: Sequence[JournalEntry]


def render_status_page(state: EntryState) -> bytes:
    """Return the status page as HTML."""
    ready = (
        "ready"
        if state.unready_reason is None
        else f"not ready: {state.unready_reason}"
    )
    css = "" if state.unready_reason is None else ' class="bad"'
    title = html.escape(f"{state.process} in {state.zone}")
    parts = [
        "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>{title}</title><style>{STYLE}</style></head><body>",
        f"<h1>bramleyport {title}</h1><p><span{css}>{html.escape(ready)}</span>, ",
        f"records at revision {state.revision}, ",
        f"{state.in_flight} requests in flight</p>",
        "<h2>Records in force</h2>",
        _make_table(("Record", "Kind", "Model", "Ranks"), _list_records(state)),
        "<h2>Requests by rank on all entries</h2>",
        f"<p>{html.escape(_describe_age(state.statuses_age_s))}</p>",
        _make_table((*COUNTS_HEADER, "Since"), _list_totals(state)),
        "<h2>Requests by rank on this entry, since it started</h2>",
        _make_table(COUNTS_HEADER, _list_counts(state)),
        "<h2>Upstreams</h2>",
        _make_table(
            ("Upstream", "Zone", "Role", "State", "Running", "Queued", "Memory"),
            _list_views(state),
        ),
        "<h2>Latest events and decisions</h2>",
        _make_table(("Time", "Event"), [(e.time, e.text) for e in state.journal]),
        "</body></html>",
    ]
    return "".join(parts).encode()


def _list_records(state: EntryState) -> list[tuple[str, ...]]:
    return [
        (
            name,
            record.kind.value,
            record.model.name if record.model else "-",
            ", ".join(rank.value for rank in record.ranks),
        )
        for name, record in sorted(state.records.items())
    ]


def _describe_age(age_s: float | None) -> str:
    if age_s is None:
        return "not read from the object API yet"
    return f"read from the status of the records {age_s:.0f} s ago"


def _list_totals(state: EntryState) -> list[tuple[str, ...]]:
    return [
        (*_make_row(name, rank, count), status.counts_since)
        for name, status in sorted(state.statuses.items())
        if status.counts_since
        for rank, count in status.ranks.items()
    ]


def _list_counts(state: EntryState) -> list[tuple[str, ...]]:
    return [
        _make_row(name, rank, count)
        for name, ranks in sorted(state.counts.items())
        for rank, count in ranks.items()
    ]


def _make_row(name: str, rank: Rank, count: RankCounts) -> tuple[str, ...]:
    numbers = (count.in_time, count.late, count.rejected, count.unknown)
    return (name, rank.value, *map(str, numbers))


def _list_views(state: EntryState) -> list[tuple[str, ...]]:
    return [
        (
            view.upstream,
            view.zone,
            view.role.value,
            view.state.value,
            str(view.load.running),
            str(view.load.queued),
            f"{view.load.blocks_used}/{view.load.blocks_total} blocks",
        )
        for view in sorted(state.views, key=lambda item: item.upstream)
    ]


def _make_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    head = "".join(f"<th>{html.escape(cell)}</th>" for cell in header)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    if not rows:
        body = f"<tr><td colspan='{len(header)}'>none</td></tr>"
    return f"<table><tr>{head}</tr>{body}</table>"
