"""Logs, numbered events and metrics."""

from bramleyport.telemetry import (
    _authority_events as authority_events,
    _events as events,
)
from bramleyport.telemetry._events import EVENTS, Event
from bramleyport.telemetry._logging import configure_logging, log_event
from bramleyport.telemetry._metrics import Metrics

__all__ = [
    "EVENTS",
    "Event",
    "Metrics",
    "authority_events",
    "configure_logging",
    "events",
    "log_event",
]
