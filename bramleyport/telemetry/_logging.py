"""Structured logging through loguru."""

import json
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from bramleyport.telemetry._line_writer import LineWriter
from bramleyport.telemetry._throttle import EventThrottle

if TYPE_CHECKING:
    from loguru import Message

    from bramleyport.telemetry._events import Event

_throttle = EventThrottle()

READABLE_FORMAT: Final = "{time:HH:mm:ss.SSS} {level:<7} {message}"


def configure_logging(*, json_lines: bool, level: str, process: str) -> None:
    """Log JSON lines to standard output, or plain text to standard error."""
    logger.remove()
    if json_lines:
        logger.add(_JsonLineSink(sys.stdout.fileno()), level=level)
    else:
        logger.add(sys.stderr, level=level, format=READABLE_FORMAT, colorize=False)
    logger.configure(extra={"process_id": process})


def log_event(event: "Event", **fields: object) -> None:
    """Log an event with its fields, unless the throttle suppresses it."""
    suppressed = _throttle.check(event.number)
    if suppressed is None:
        return
    if suppressed:
        fields["suppressed"] = suppressed
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    bound = logger.bind(event=event.number, fields=fields, text=event.text)
    bound.opt(depth=1).log(
        event.level, "{}", f"[{event.number}] {event.text} {details}".rstrip()
    )


class _JsonLineSink:
    """Represent a log sink that writes each record as one line of JSON."""

    def __init__(self, descriptor: int) -> None:
        self._writer = LineWriter(descriptor)

    def __call__(self, message: "Message") -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "process": record["extra"].get("process_id", ""),
            "event": record["extra"].get("event", 0),
            "message": record["extra"].get("text", record["message"]),
            "fields": record["extra"].get("fields", {}),
        }
        dropped = self._writer.take_dropped()
        if dropped:
            line["dropped"] = dropped
        self._writer.write(json.dumps(line, default=str))
