"""Logs, numbered events and metrics."""

from bramleyport.telemetry import (
    _events as events,
    _membership_events as membership_events,
)
from bramleyport.telemetry._events import EVENTS, Event
from bramleyport.telemetry._journal import Journal, JournalEntry
from bramleyport.telemetry._logging import configure_logging, log_event
from bramleyport.telemetry._metrics import Metrics
from bramleyport.telemetry._tenants import TenantLabels
from bramleyport.telemetry._throttle import EventThrottle

__all__ = [
    "EVENTS",
    "Event",
    "EventThrottle",
    "Journal",
    "JournalEntry",
    "Metrics",
    "TenantLabels",
    "configure_logging",
    "events",
    "log_event",
    "membership_events",
]
