"""Logs, numbered events and metrics."""

from bramleyport.telemetry import (
    _events as events,
    _planning_events as planning_events,
    _policy_events as policy_events,
)
from bramleyport.telemetry._events import EVENTS, Event
from bramleyport.telemetry._logging import configure_logging, log_event
from bramleyport.telemetry._metrics import Metrics

__all__ = [
    "EVENTS",
    "Event",
    "Metrics",
    "configure_logging",
    "events",
    "log_event",
    "planning_events",
    "policy_events",
]
