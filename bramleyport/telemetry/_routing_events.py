"""Numbered log events of routing, retries and subsets."""

from typing import Final

from bramleyport.telemetry._events import define

UPSTREAM_CHOSEN: Final = define(2101, "DEBUG", "upstream chosen")
NO_UPSTREAM: Final = define(2102, "WARNING", "no upstream can take the request")
RETRY_ALLOWED: Final = define(2111, "INFO", "attempt failed, retrying")
RETRY_DENIED: Final = define(2112, "INFO", "attempt failed, giving up")
UPSTREAM_EJECTED: Final = define(2121, "WARNING", "upstream ejected")
HEDGE_STARTED: Final = define(2131, "INFO", "second attempt started")
HEDGE_DENIED: Final = define(2132, "INFO", "second attempt denied by the budget")
CACHE_VIEW_UNCERTAIN: Final = define(2141, "INFO", "gap in cache reports")
CACHE_EVENTS_LOST: Final = define(2142, "INFO", "gap in cache events, view rebuilt")
SUBSET_CHANGED: Final = define(2151, "INFO", "subset of upstreams changed")
CACHE_EVENT_INVALID: Final = define(
    2674, "WARNING", "invalid cache event of an engine left out"
)
