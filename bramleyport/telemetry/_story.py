"""Tell the story of one request, or of a time span, from the logs of processes."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

# Events that change what a process believes are shown for this long before a request.
BELIEF_S: Final = 15.0
# First number of the events that concern beliefs, and the last.
BELIEF_EVENTS: Final = range(2620, 2660)
# Events of single requests.
REQUEST_EVENTS: Final = range(2600, 2620)
START_EVENTS: Final = range(1001, 1004)
EJECTED_EVENT: Final = 2121


class NotFoundError(LookupError):
    """Report that no line names a request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """Hold one structured log line."""

    # ISO 8601, as the process wrote it; it sorts as text.
    time: str
    process: str
    event: int
    fields: Mapping[str, Any]
    # Lines that the process could not write since its last one.
    dropped: int = 0

    def render(self) -> str:
        """Return the line for people."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time[11:23]} {self.process} [{self.event}] {details}".rstrip()


@dataclass(frozen=True, slots=True, kw_only=True)
class Story:
    """Hold what befell one request and what its process believed then."""

    request: str
    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    # Lines that the processes left out to bound their logs.
    suppressed: int

    @property
    def cause(self) -> str:
        """Return the last reason that was logged."""
        for line in reversed(self.lines):
            reason = line.fields.get("reason")
            if reason:
                return str(reason)
        return ""


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the structured lines among some text; other lines are passed over.

    A line may have a prefix, as collectors of logs write one.
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


def tell_request(request: str, lines: Iterable[LogLine]) -> Story:
    """Return the story of one request."""
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
    beliefs = tuple(
        line
        for line in known
        if line.process in processes
        and _is_belief(line)
        and _precedes(line, own[0], own[-1])
    )
    return Story(request=request, lines=own, beliefs=beliefs, suppressed=suppressed)


def list_changes(
    lines: Iterable[LogLine], since: str, until: str
) -> tuple[LogLine, ...]:
    """Return what changed between two times of day, such as 03:10 and 03:20."""
    return tuple(
        line
        for line in sorted(lines, key=lambda line: line.time)
        if line.event not in REQUEST_EVENTS and since <= line.time[11:] <= until
    )


def _is_belief(line: LogLine) -> bool:
    return (
        line.event in BELIEF_EVENTS
        or line.event in START_EVENTS
        or line.event == EJECTED_EVENT
    )


def _precedes(line: LogLine, first: LogLine, last: LogLine) -> bool:
    return line.time <= last.time and _count_seconds(line, first) <= BELIEF_S


def _count_seconds(earlier: LogLine, later: LogLine) -> float:
    """Return the seconds between two lines; negative if the first is later."""
    from datetime import datetime

    try:
        begin = datetime.fromisoformat(earlier.time)
        return (datetime.fromisoformat(later.time) - begin).total_seconds()
    except ValueError:
        return 0.0
