"""Numbered log events of the duties: usage reports and scale orders."""

from typing import Final

from bramleyport.telemetry._events import define

USAGE_SETTLED: Final = define(2730, "INFO", "counts of a usage window settled")
USAGE_SENT: Final = define(2731, "INFO", "usage report of a window accepted")
USAGE_NOT_SENT: Final = define(2732, "WARNING", "usage report not accepted, sent again")
USAGE_NOT_SETTLED: Final = define(
    2733, "WARNING", "usage window not written to the store, tried again"
)
USAGE_NOT_READ: Final = define(
    2734, "WARNING", "settled usage windows not read from the store, tried again"
)
USAGE_INVALID: Final = define(
    2735, "ERROR", "invalid usage windows in the store, nothing settled or sent"
)
USAGE_SKIPPED: Final = define(
    2736, "ERROR", "usage windows skipped, no report is sent for them"
)
USAGE_REWRITTEN: Final = define(
    2737, "WARNING", "usage windows that a restored store lacks written again"
)
USAGE_CUT: Final = define(
    2738, "ERROR", "accounts left out of a usage window that is too large to store"
)
DUTY_HOLDER_CHANGED: Final = define(
    2739, "INFO", "this gateway began or ceased to hold the duties"
)
SCALE_ORDERED: Final = define(2740, "INFO", "number of upstreams ordered")
SCALE_NOT_ORDERED: Final = define(
    2741, "WARNING", "order for a number of upstreams not accepted, sent again"
)
CLOCK_DEVIATES: Final = define(
    2742, "WARNING", "wall clock of this host differs from the clock of the gateways"
)
