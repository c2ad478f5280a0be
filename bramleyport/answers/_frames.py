"""Number the frames of an answer, keep them until acknowledged, check them."""

import hashlib
from collections import deque
from dataclasses import dataclass
from typing import Final

from bramleyport.core import AttemptId
from bramleyport.wire import End, Frame

WINDOW_FRAMES: Final = 256


@dataclass(frozen=True, slots=True)
class Chunk:
    """Hold one piece of an answer that is safe to show to the caller."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class Violation:
    """Say why an answer can't be trusted."""

    reason: str


class FrameLog:
    """Number outgoing frames and hold them until they are acknowledged."""

    def __init__(self, attempt: AttemptId) -> None:
        self.attempt = attempt
        self._unacked: deque[Frame] = deque()
        self._next = 0
        self._digest = hashlib.blake2b(digest_size=16)
        self.end: End | None = None

    @property
    def full(self) -> bool:
        """Return whether the receiver must acknowledge before more is read."""
        return len(self._unacked) >= WINDOW_FRAMES

    def append(self, payload: bytes) -> Frame:
        """Number a payload and keep it until it is acknowledged."""
        frame = Frame(attempt=self.attempt, number=self._next, payload=payload)
        self._next += 1
        self._digest.update(payload)
        self._unacked.append(frame)
        return frame

    def finish(
        self,
        status: int,
        headers: dict[str, str],
        output_tokens: int,
        *,
        wait_s: float = 0.0,
        prefill_s: float = 0.0,
        decode_s: float = 0.0,
    ) -> End:
        """Close the answer with its frame count, digest and measured times."""
        self.end = End(
            attempt=self.attempt,
            total=self._next,
            digest=self._digest.digest(),
            status=status,
            headers=headers,
            output_tokens=output_tokens,
            wait_s=wait_s,
            prefill_s=prefill_s,
            decode_s=decode_s,
        )
        return self.end

    def acknowledge(self, next_frame: int) -> None:
        """Drop the frames below the number."""
        while self._unacked and self._unacked[0].number < next_frame:
            self._unacked.popleft()

    def replay(self, next_frame: int) -> list[Frame] | None:
        """Return the held frames from the number on, or None if some are gone."""
        self.acknowledge(next_frame)
        held_from = self._unacked[0].number if self._unacked else self._next
        if next_frame < held_from or next_frame > self._next:
            return None
        return list(self._unacked)


class Assembler:
    """Accept the frames of one attempt in order and check the whole."""

    def __init__(self, attempt: AttemptId) -> None:
        self.attempt = attempt
        self.next_frame = 0
        self._digest = hashlib.blake2b(digest_size=16)
        self.complete = False

    def accept(self, frame: Frame) -> list[Chunk] | Violation:
        """Return the chunks that a frame makes available."""
        if frame.attempt != self.attempt:
            return Violation(f"frame of attempt {frame.attempt}")
        if self.complete or frame.number < self.next_frame:
            return []
        if frame.number > self.next_frame:
            return Violation(f"frame {frame.number} where {self.next_frame} was due")
        self.next_frame += 1
        self._digest.update(frame.payload)
        return [Chunk(frame.payload)]

    def finish(self, end: End) -> Violation | None:
        """Check the count and digest of the whole answer."""
        if end.attempt != self.attempt:
            return Violation(f"end of attempt {end.attempt}")
        if end.total != self.next_frame:
            return Violation(f"{self.next_frame} of {end.total} frames arrived")
        if end.digest != self._digest.digest():
            return Violation("the digest does not match")
        self.complete = True
        return None
