"""Numbered log events of admission, queueing and estimates."""

from typing import Final

from bramleyport.telemetry._events import define

REQUEST_ADMITTED: Final = define(2001, "DEBUG", "request admitted")
ATTEMPT_QUEUED: Final = define(2011, "DEBUG", "attempt queued")
ATTEMPT_REFUSED: Final = define(2012, "INFO", "attempt refused before it ran")
ATTEMPT_DROPPED: Final = define(
    2013, "INFO", "queued attempt dropped, deadline out of reach"
)
ATTEMPT_STARTED: Final = define(2014, "DEBUG", "queued attempt started")
ATTEMPT_OBSERVED: Final = define(2021, "DEBUG", "cost of an answer recorded")
