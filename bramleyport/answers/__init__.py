"""Answers as sequences of numbered frames that can be resumed and verified."""

from bramleyport.answers._frames import (
    WINDOW_FRAMES,
    Assembler,
    Chunk,
    FrameLog,
    Violation,
)
from bramleyport.answers._ledger import (
    MAX_LEDGER_ATTEMPTS,
    AttemptIdGenerator,
    AttemptLedger,
)

__all__ = [
    "MAX_LEDGER_ATTEMPTS",
    "WINDOW_FRAMES",
    "Assembler",
    "AttemptIdGenerator",
    "AttemptLedger",
    "Chunk",
    "FrameLog",
    "Violation",
]
