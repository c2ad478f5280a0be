"""Answers as numbered frames that can be resumed and checked."""

from bramleyport.answers._frames import (
    WINDOW_FRAMES,
    Assembler,
    Chunk,
    FrameLog,
    Violation,
)
from bramleyport.answers._ledger import LEDGER_ATTEMPTS, AttemptIds, AttemptLedger

__all__ = [
    "LEDGER_ATTEMPTS",
    "WINDOW_FRAMES",
    "Assembler",
    "AttemptIds",
    "AttemptLedger",
    "Chunk",
    "FrameLog",
    "Violation",
]
