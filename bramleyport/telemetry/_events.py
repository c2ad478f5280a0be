"""Numbered log events and their registry, from which the catalogue is generated."""

from dataclasses import dataclass
from typing import Final

EVENTS: Final[dict[int, "Event"]] = {}


@dataclass(frozen=True, slots=True)
class Event:
    """Describe one kind of log line."""

    number: int
    level: str
    text: str


def define(number: int, level: str, text: str) -> Event:
    """Register an event under its number."""
    if number in EVENTS:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number, level, text)
    EVENTS[number] = event
    return event


PROCESS_STARTED: Final = define(1001, "INFO", "process started")
PROCESS_STOPPING: Final = define(1002, "INFO", "process stopping, draining work")
PROCESS_STOPPED: Final = define(1003, "INFO", "process stopped")
CONNECTION_OPENED: Final = define(1101, "INFO", "connection opened")
CONNECTION_CLOSED: Final = define(1102, "INFO", "connection closed")
CONNECTION_REFUSED: Final = define(1103, "WARNING", "connection refused")
CONNECTION_TIMED_OUT: Final = define(
    1104, "WARNING", "connection closed, peer sent nothing"
)
MESSAGE_MALFORMED: Final = define(
    1105, "WARNING", "connection closed, malformed message"
)
CONNECT_FAILED: Final = define(1106, "WARNING", "connection attempt failed")
STORE_CALL_FAILED: Final = define(1201, "WARNING", "object API call failed")
OBJECT_INVALID: Final = define(
    2672, "WARNING", "invalid object of the object API left out"
)
RECORDS_APPLIED: Final = define(1301, "INFO", "records in force changed")
RECORD_INVALID: Final = define(1302, "WARNING", "record rejected, last valid one kept")
STATUS_NOT_WRITTEN: Final = define(1303, "INFO", "record status not written")
REQUEST_REJECTED: Final = define(1401, "INFO", "request rejected")
REQUEST_FAILED: Final = define(1402, "WARNING", "request failed")
ATTEMPT_FAILED: Final = define(1403, "INFO", "attempt failed")
ATTEMPT_RESUMED: Final = define(1404, "INFO", "attempt resumed on a new connection")
UPSTREAM_CALL_FAILED: Final = define(1501, "WARNING", "upstream call failed")
HANDLER_FAILED: Final = define(1901, "ERROR", "unexpected error in a handler")
