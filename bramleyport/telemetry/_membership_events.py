"""Numbered log events of membership, replication and connections."""

from typing import Final

from bramleyport.telemetry._events import define

HOST_ADDED: Final = define(2401, "INFO", "host added")
HOST_REPLACED: Final = define(2402, "INFO", "host replaced by a new process")
HOST_REMOVED: Final = define(2403, "INFO", "host removed")
HOST_STATE_CHANGED: Final = define(2404, "INFO", "host state changed")
HOST_LIST_REFUSED: Final = define(2405, "WARNING", "malformed host list rejected")
HOST_ROW_INVALID: Final = define(
    2673, "WARNING", "invalid row of the host list left out"
)
WATCH_STARTED: Final = define(2406, "INFO", "store watch for the zone started")
WATCH_STOPPED: Final = define(2407, "INFO", "store watch for the zone stopped")
CONNECTION_REPLACED: Final = define(2408, "INFO", "connection replaced by a new one")
PEER_MISMATCH: Final = define(2409, "WARNING", "address belongs to another process")
LEAVING_UNCONFIRMED: Final = define(
    2410, "WARNING", "peers did not confirm the shutdown of this process"
)
WORK_HANDED_BACK: Final = define(2411, "INFO", "queued work returned at shutdown")
RECORDS_FROM_PEER: Final = define(2412, "INFO", "records received from a peer")
