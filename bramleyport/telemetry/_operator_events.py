"""Numbered log events of what operators read: status, reports and failed starts."""

from typing import Final

from bramleyport.telemetry._events import define

START_FAILED: Final = define(2361, "ERROR", "process could not start")
COUNTS_HELD: Final = define(
    2362, "INFO", "counts held back, no connection towards the reporter"
)
REPORT_NOT_WRITTEN: Final = define(2363, "INFO", "report of requests not written")
PROCESSES_LAG: Final = define(2364, "WARNING", "processes have an old record in force")
