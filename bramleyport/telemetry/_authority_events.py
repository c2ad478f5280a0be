"""Numbered log events of leases, orders and attempts."""

from typing import Final

from bramleyport.telemetry._events import define

LEASE_GRANTED: Final = define(2301, "INFO", "lease acquired")
LEASE_LOST: Final = define(2302, "WARNING", "lease lost, orders stopped")
ORDER_WRITTEN: Final = define(2303, "INFO", "order object written")
ORDER_PROGRESS: Final = define(2311, "INFO", "order progress recorded")
ORDER_DRAINING: Final = define(2312, "INFO", "upstream draining before an order")
ORDER_SENT: Final = define(2313, "INFO", "order sent to the engine")
ORDER_REPAIRED: Final = define(2314, "WARNING", "engine state differed from its order")
ORDER_REFUSED: Final = define(2315, "WARNING", "engine refused an outdated order")
AGENT_SUPERSEDED: Final = define(2316, "WARNING", "a newer agent serves the engine")
ORDER_OBJECT_INVALID: Final = define(2317, "ERROR", "order or lease object unreadable")
STREAM_RESUMED: Final = define(2331, "INFO", "engine stream resumed")
EXECUTE_DROPPED: Final = define(
    2332, "WARNING", "late or repeated execute message dropped"
)
