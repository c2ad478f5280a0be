"""Numbered log events of claims and claim logs."""

from typing import Final

from bramleyport.telemetry._events import define

CLAIM_NOT_RECORDED: Final = define(2321, "WARNING", "claim outcome not recorded yet")
CLAIM_IN_DOUBT: Final = define(2322, "WARNING", "claim outcome recorded as unknown")
CLAIM_LOG_FULL: Final = define(2323, "WARNING", "claim log full, call refused")
CLAIM_LOG_LOADED: Final = define(2324, "INFO", "claim log loaded from its segments")
CLAIM_LOG_TRIMMED: Final = define(2325, "INFO", "expired claim segments deleted")
CLAIM_SEGMENT_INVALID: Final = define(2326, "ERROR", "claim segment unreadable")
CLAIM_FORWARD_FAILED: Final = define(
    2327, "WARNING", "claim log writer did not answer, claim written directly"
)
CLAIM_ANSWER_UNREADABLE: Final = define(2328, "WARNING", "stored answer unreadable")
