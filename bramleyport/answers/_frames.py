"""Numbering, retransmission and verification of the frames of an answer."""

import hashlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from bramleyport.core import AttemptId
from bramleyport.wire import End, Frame

WINDOW_FRAMES: Final = 256


@dataclass(frozen=True, slots=True)
class Chunk:
    """Describe one piece of an answer that may be sent to the caller."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class Violation:
    """Describe why an answer is invalid."""

    reason: str


class AnswerDigest:
    """Compute the digest of an answer, which differs between attempts."""

    def __init__(self, attempt: AttemptId) -> None:
        self._hash = hashlib.blake2b(attempt.encode(), digest_size=16)

    def add(self, frame: Frame) -> None:
        """Add a frame with its number and its length."""
        self._hash.update(f"\0{frame.number}:{len(frame.payload)}:".encode())
        self._hash.update(frame.payload)

    def finish(self, total: int, status: int, headers: Mapping[str, str]) -> bytes:
        """Return the digest of the frames, the status and the headers."""
        final_hash = self._hash.copy()
        final_hash.update(f"\0{total} {status}".encode())
        for name in sorted(headers):
            final_hash.update(f"\0{name}\0{headers[name]}".encode())
        return final_hash.digest()


class FrameLog:
    """Number outgoing frames and store them until they are acknowledged."""

    def __init__(self, attempt: AttemptId) -> None:
        self.attempt = attempt
        self._unacknowledged: deque[Frame] = deque()
        self._next_number = 0
        self._digest = AnswerDigest(attempt)
        self.end: End | None = None

    @property
    def full(self) -> bool:
        """Return whether no more frames may be added before an acknowledgement."""
        return len(self._unacknowledged) >= WINDOW_FRAMES

    def append(self, payload: bytes) -> Frame:
        """Add a payload as the next frame and store it until it is acknowledged."""
        frame = Frame(attempt=self.attempt, number=self._next_number, payload=payload)
        self._next_number += 1
        self._digest.add(frame)
        self._unacknowledged.append(frame)
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
        """End the answer with its frame count, digest and measured times."""
        self.end = End(
            attempt=self.attempt,
            total=self._next_number,
            digest=self._digest.finish(self._next_number, status, headers),
            status=status,
            headers=headers,
            output_tokens=output_tokens,
            wait_s=wait_s,
            prefill_s=prefill_s,
            decode_s=decode_s,
        )
        return self.end

    def acknowledge(self, next_frame: int) -> None:
        """Remove the frames with lower numbers than the given one."""
        while self._unacknowledged and self._unacknowledged[0].number < next_frame:
            self._unacknowledged.popleft()

    def replay(self, next_frame: int) -> list[Frame] | None:
        """Return the frames from the given number on, or None if some are missing."""
        self.acknowledge(next_frame)
        first_number = (
            self._unacknowledged[0].number
            if self._unacknowledged
            else self._next_number
        )
        if next_frame < first_number or next_frame > self._next_number:
            return None
        return list(self._unacknowledged)


class Assembler:
    """Accept the frames of one attempt in order and verify the complete answer."""

    def __init__(self, attempt: AttemptId) -> None:
        self.attempt = attempt
        self.next_frame = 0
        self._digest = AnswerDigest(attempt)
        self.complete = False

    def accept(self, frame: Frame) -> list[Chunk] | Violation:
        """Return the chunks that a frame makes available; none if repeated."""
        if frame.attempt != self.attempt:
            return Violation(f"received a frame of another attempt: {frame.attempt}")
        if self.complete or frame.number < self.next_frame:
            return []
        if frame.number > self.next_frame:
            return Violation(
                f"received frame {frame.number}, expected {self.next_frame}"
            )
        self.next_frame += 1
        self._digest.add(frame)
        return [Chunk(frame.payload)]

    def finish(self, end: End) -> Violation | None:
        """Verify the frame count and the digest of the complete answer."""
        if end.attempt != self.attempt:
            return Violation(f"received the end of another attempt: {end.attempt}")
        if end.total != self.next_frame:
            return Violation(f"received {self.next_frame} of {end.total} frames")
        if end.digest != self._digest.finish(end.total, end.status, end.headers):
            return Violation("the digest of the answer does not match")
        self.complete = True
        return None
