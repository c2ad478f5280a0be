"""Numbered log events of status reports and failed starts."""

from typing import Final

from bramleyport.telemetry._events import define

START_FAILED: Final = define(2361, "ERROR", "process could not start")
COUNTS_NOT_SENT: Final = define(
    2362, "INFO", "counts not sent, no connection to the reporting process"
)
REPORT_NOT_WRITTEN: Final = define(2363, "INFO", "request report not written")
PROCESSES_LAG: Final = define(2364, "WARNING", "processes still use an old record")
