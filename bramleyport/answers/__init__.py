"""Answers as numbered frames that can be resumed and checked."""

from bramleyport.answers._frames import (
    WINDOW_FRAMES,
    Assembler,
    Chunk,
    FrameLog,
    Violation,
)

__all__ = ["WINDOW_FRAMES", "Assembler", "Chunk", "FrameLog", "Violation"]
