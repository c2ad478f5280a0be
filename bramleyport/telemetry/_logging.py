"""Write structured log lines through loguru."""

import json
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from bramleyport.telemetry._throttle import EventThrottle

if TYPE_CHECKING:
    from loguru import Message

    from bramleyport.telemetry._events import Event

_throttle = EventThrottle()

READABLE: Final = "{time:HH:mm:ss.SSS} {level:<7} {message}"


def configure_logging(*, json_lines: bool, level: str, process: str) -> None:
    """Send log lines to standard error in the chosen form."""
    logger.remove()
    if json_lines:
        logger.add(_write_json, level=level)
    else:
        logger.add(sys.stderr, level=level, format=READABLE, colorize=False)
    logger.configure(extra={"process_id": process})


def log_event(event: "Event", **fields: object) -> None:
    """Log a numbered event with its fields."""
    suppressed = _throttle.check(event.number)
    if suppressed is None:
        return
    if suppressed:
        fields["suppressed"] = suppressed
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.bind(event=event.number, fields=fields).opt(depth=1).log(
        event.level, "{}", f"[{event.number}] {event.text} {details}".rstrip()
    )


def _write_json(message: "Message") -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "process": record["extra"].get("process_id", ""),
        "event": record["extra"].get("event", 0),
        "message": record["message"],
        "fields": record["extra"].get("fields", {}),
    }
    sys.stderr.write(json.dumps(line, default=str) + "\n")
