"""Numbered log events of lease candidates and the holder's view of its pool."""

from typing import Final

from bramleyport.telemetry._events import define

CANDIDACY_CHANGED: Final = define(2341, "INFO", "lease candidacy changed")
LEASE_SETTLING: Final = define(2342, "INFO", "lease release waits for order writes")
LEASE_RELEASED: Final = define(2343, "INFO", "lease released")
LEASE_NOT_RELEASED: Final = define(2344, "WARNING", "lease not released, left to lapse")
CONTROLLER_FAILED: Final = define(2345, "ERROR", "controller failed, restarting later")
POOL_VIEW_CHANGED: Final = define(2346, "INFO", "connections beyond the subset changed")
