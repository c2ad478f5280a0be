"""Timeline of one request, or of a time span, from the log lines of processes."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

# State changes up to this long before a request are part of its timeline.
STATE_CHANGE_WINDOW_S: Final = 15.0
# Gateway events about configuration, upstreams, the store and peers.
STATE_CHANGE_EVENTS: Final = range(2620, 2660)
# Gateway events about single requests.
REQUEST_EVENTS: Final = range(2600, 2620)
START_EVENTS: Final = range(1001, 1004)
EJECTED_EVENT: Final = 2121


class NotFoundError(LookupError):
    """Report that no log line names a request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """Describe one structured log line."""

    # ISO 8601, so that the order of the texts is that of the times.
    time: str
    process: str
    event: int
    fields: Mapping[str, Any]
    # Number of lines that the process dropped before this one.
    dropped: int = 0

    def render(self) -> str:
        """Return the line in a readable form."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time[11:23]} {self.process} [{self.event}] {details}".rstrip()


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Describe the events of one request and the state changes of its processes."""

    request: str
    lines: tuple[LogLine, ...]
    state_changes: tuple[LogLine, ...]
    # Number of lines that the processes suppressed or dropped.
    suppressed: int

    @property
    def cause(self) -> str:
        """Return the last reason logged for the request, or an empty string."""
        for line in reversed(self.lines):
            reason = line.fields.get("reason")
            if reason:
                return str(reason)
        return ""


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines of a log; other lines are skipped.

    A line may have a prefix, which some log collectors add.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "event" in record:
            yield LogLine(
                time=str(record.get("time", "")),
                process=str(record.get("process", "")),
                event=int(record["event"]),
                fields=record.get("fields") or {},
                dropped=int(record.get("dropped", 0)),
            )


def build_timeline(request: str, lines: Iterable[LogLine]) -> Timeline:
    """Build the timeline of one request.

    Raise NotFoundError if no line names it.
    """
    known = sorted(lines, key=lambda line: line.time)
    own = tuple(line for line in known if line.fields.get("request") == request)
    if not own:
        raise NotFoundError(request)
    processes = {line.process for line in own}
    suppressed = sum(
        int(line.fields.get("suppressed", 0)) + line.dropped
        for line in known
        if line.process in processes
    )
    state_changes = tuple(
        line
        for line in known
        if line.process in processes
        and _is_state_change(line)
        and _precedes(line, own[0], own[-1])
    )
    return Timeline(
        request=request, lines=own, state_changes=state_changes, suppressed=suppressed
    )


def list_changes(
    lines: Iterable[LogLine], since: str, until: str
) -> tuple[LogLine, ...]:
    """Return the changes between two times of day, such as 03:10 and 03:20."""
    return tuple(
        line
        for line in sorted(lines, key=lambda line: line.time)
        if line.event not in REQUEST_EVENTS and since <= line.time[11:] <= until
    )


def _is_state_change(line: LogLine) -> bool:
    return (
        line.event in STATE_CHANGE_EVENTS
        or line.event in START_EVENTS
        or line.event == EJECTED_EVENT
    )


def _precedes(line: LogLine, first: LogLine, last: LogLine) -> bool:
    return (
        line.time <= last.time and _count_seconds(line, first) <= STATE_CHANGE_WINDOW_S
    )


def _count_seconds(earlier: LogLine, later: LogLine) -> float:
    """Return the seconds from one line to another, negative if they are reversed."""
    from datetime import datetime

    try:
        begin = datetime.fromisoformat(earlier.time)
        return (datetime.fromisoformat(later.time) - begin).total_seconds()
    except ValueError:
        return 0.0
