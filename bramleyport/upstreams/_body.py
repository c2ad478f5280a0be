"""Read a streamed HTTP body with back pressure."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from bramleyport.transport import ConnectionEnd

HIGH_WATER_CHUNKS: Final = 64
# Load reports, cache events and lists of blocks are far smaller. An agent has 64 MB.
MAX_BODY_BYTES: Final = 8 * 2**20


class BodyTruncatedError(Exception):
    """Report a body that ended before it was complete."""


class BodyTooLargeError(Exception):
    """Report a body, or a part of one, that exceeds its bound."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"exceeds {limit_bytes} bytes")


class BodyReader(Protocol):
    """Represent a response body, whose chunks are read by one asynchronous reader."""

    def __init__(self, end: ConnectionEnd, *, may_be_empty: bool) -> None:
        self._end = end
        # Whether a close right after the head ends a body without length.
        self._may_end_here = may_be_empty
        self._chunks: asyncio.Queue[bytes | BodyTruncatedError | None] = asyncio.Queue()
        self._paused = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue a chunk, and pause the sender if the reader is too slow."""
        self._may_end_here = True
        self._chunks.put_nowait(data)
        if self._chunks.qsize() >= HIGH_WATER_CHUNKS and self.transport is not None:
            self._paused = True
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Queue the end of the body."""
        complete = reason is None or self._is_complete(reason)
        self._chunks.put_nowait(None if complete else BodyTruncatedError(str(reason)))

    def _is_complete(self, reason: Failure) -> bool:
        if reason.check(PotentialDataLoss):
            # The body had no length, so it ends with its connection.
            return self._may_end_here and not self._end.reset
        return reason.check(ResponseDone) is not None

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the chunks until the body ends."""
        while True:
            chunk = await self._chunks.get()
            if chunk is None:
                return
            if isinstance(chunk, BodyTruncatedError):
                raise chunk
            self._resume()
            yield chunk

    async def read_all(self) -> bytes:
        """Return the whole body.

        Raise BodyTooLargeError for a body without an end in sight, and
        BodyTruncatedError.
        """
        content = bytearray()
        async for chunk in self.read():
            content += chunk
            if len(content) > MAX_BODY_BYTES:
                self.stop()
                raise BodyTooLargeError(MAX_BODY_BYTES)
        return bytes(content)

    def stop(self) -> None:
        """Close the connection of the body."""
        if self.transport is not None:
            transport: Any = self.transport
            transport.loseConnection()

    def _resume(self) -> None:
        if self._paused and self._chunks.empty() and self.transport is not None:
            self._paused = False
            self.transport.resumeProducing()
