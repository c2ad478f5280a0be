"""Write an answer to a caller with back pressure."""

import asyncio
from collections.abc import Mapping
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.web.server import Request
from zope.interface import implementer


class CallerDisconnectedError(Exception):
    """Report that the caller closed its connection."""


@implementer(IPushProducer)
class CallerStream:
    """Represent an answer to a caller; writes wait if the caller reads too slowly."""

    def __init__(self, request: Request) -> None:
        self.started = False
        self.disconnected = asyncio.Event()
        self._request = request
        self._writable = asyncio.Event()
        self._writable.set()
        self._finished = False
        request.notifyFinish().addErrback(lambda _: self._mark_disconnected())

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and headers."""
        self.started = True
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name.encode(), value.encode())
        self._request.registerProducer(self, True)

    async def write(self, data: bytes) -> None:
        """Send a part of the body once the caller has read enough of the previous."""
        await self._writable.wait()
        if self.disconnected.is_set():
            raise CallerDisconnectedError
        self._request.write(data)

    def finish(self) -> None:
        """End the answer."""
        if self._finished or self.disconnected.is_set():
            return
        self._finished = True
        self._request.unregisterProducer()
        self._request.finish()

    def abort(self) -> None:
        """Abort the connection, so that a partial answer is seen as incomplete."""
        transport: Any = self._request.transport
        if not self.disconnected.is_set() and transport is not None:
            transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Make writes wait."""
        self._writable.clear()

    def resumeProducing(self) -> None:  # noqa: N802
        """Let writes continue."""
        self._writable.set()

    def stopProducing(self) -> None:  # noqa: N802
        """Record that the caller has disconnected."""
        self._mark_disconnected()

    def _mark_disconnected(self) -> None:
        self.disconnected.set()
        self._writable.set()
