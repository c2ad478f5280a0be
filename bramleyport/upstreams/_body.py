"""Read a streamed HTTP body with back pressure."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

HIGH_WATER_CHUNKS: Final = 64


class BodyBrokenError(Exception):
    """Report that a body ended before it was whole."""


class BodyReader(Protocol):
    """Hand the chunks of a body to one asynchronous reader."""

    def __init__(self) -> None:
        self._chunks: asyncio.Queue[bytes | BodyBrokenError | None] = asyncio.Queue()
        self._paused = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue a chunk and pause the sender when the reader is behind."""
        self._chunks.put_nowait(data)
        if self._chunks.qsize() >= HIGH_WATER_CHUNKS and self.transport is not None:
            self._paused = True
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Queue the end of the body."""
        whole = reason is None or reason.check(ResponseDone, PotentialDataLoss)
        self._chunks.put_nowait(None if whole else BodyBrokenError(str(reason)))

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the chunks until the body ends."""
        while True:
            chunk = await self._chunks.get()
            if chunk is None:
                return
            if isinstance(chunk, BodyBrokenError):
                raise chunk
            self._resume()
            yield chunk

    def stop(self) -> None:
        """Drop the connection that the body comes from."""
        if self.transport is not None:
            transport: Any = self.transport
            transport.loseConnection()

    def _resume(self) -> None:
        if self._paused and self._chunks.empty() and self.transport is not None:
            self._paused = False
            self.transport.resumeProducing()
