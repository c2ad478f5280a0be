"""Log lines, numbered events and metrics."""

from bramleyport.telemetry import (
    _authority_events as authority_events,
    _claim_events as claim_events,
    _duty_events as duty_events,
    _events as events,
    _gateway_events as gateway_events,
    _lease_events as lease_events,
    _membership_events as membership_events,
    _operator_events as operator_events,
    _planning_events as planning_events,
    _policy_events as policy_events,
    _routing_events as routing_events,
    _transfer_events as transfer_events,
)
from bramleyport.telemetry._bounded_labels import BoundedLabels
from bramleyport.telemetry._events import EVENTS, Event
from bramleyport.telemetry._journal import Journal, JournalEntry
from bramleyport.telemetry._logging import configure_logging, log_event
from bramleyport.telemetry._metrics import Metrics
from bramleyport.telemetry._throttle import EventThrottle
from bramleyport.telemetry._timeline import (
    LogLine,
    NotFoundError,
    Timeline,
    build_timeline,
    list_changes,
    parse_lines,
)

__all__ = [
    "EVENTS",
    "BoundedLabels",
    "Event",
    "EventThrottle",
    "Journal",
    "JournalEntry",
    "LogLine",
    "Metrics",
    "NotFoundError",
    "Timeline",
    "authority_events",
    "build_timeline",
    "claim_events",
    "configure_logging",
    "duty_events",
    "events",
    "gateway_events",
    "lease_events",
    "list_changes",
    "log_event",
    "membership_events",
    "operator_events",
    "parse_lines",
    "planning_events",
    "policy_events",
    "routing_events",
    "transfer_events",
]
