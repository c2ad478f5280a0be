"""Numbered log events of lease candidates, lease holders and their connections."""

from typing import Final

from bramleyport.telemetry._events import define

CANDIDACY_CHANGED: Final = define(2341, "INFO", "lease candidacy changed")
LEASE_RELEASE_DEFERRED: Final = define(
    2342, "INFO", "lease release deferred until orders are written"
)
LEASE_RELEASED: Final = define(2343, "INFO", "lease released")
LEASE_NOT_RELEASED: Final = define(
    2344, "WARNING", "lease not released, left to expire"
)
CONTROLLER_FAILED: Final = define(2345, "ERROR", "controller failed, restarting later")
POOL_VIEW_CHANGED: Final = define(2346, "INFO", "connections beyond the subset changed")
