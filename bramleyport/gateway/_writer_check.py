"""Find out which process writes an answer on a new connection."""

import asyncio
from typing import Final

from bramleyport.fleet import (
    UNKNOWN_VERSION,
    Registration,
    Repeatability,
    SoftwareVersion,
)
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._process_check import ProcessChecker
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._version_choice import VersionChooser
from bramleyport.http1 import UpstreamConnection

# Time for which a broken stream waits to learn who wrote it, before it goes on.
SETTLE_TIMEOUT_S: Final = 1.0
POLL_INTERVAL_S: Final = 0.02


class WriterCheck:
    """Track which version writes the stream that an attempt begins.

    A process may be replaced while no connection to it is open, so that none is lost,
    and its successor's registration may arrive late. Processes only follow one another.
    So if the process that answers at an address after a connection has opened is the
    meant one, that connection leads to it. If it is a later one and the connection is
    still open, it leads to the later one.
    """

    def __init__(
        self,
        state: GatewayState,
        processes: ProcessChecker,
        versions: VersionChooser,
        context: CallContext,
        target: Registration,
    ) -> None:
        self._state = state
        self._processes = processes
        self._versions = versions
        self._context = context
        self._target = target
        # What the process is that was found to write, by default the meant one.
        self.version = target.version
        self._task: asyncio.Task[None] | None = None

    def start(self, connection: UpstreamConnection) -> None:
        """Begin to find out who writes, unless that is known of the connection."""
        repeatability = self._context.call.route.repeatability
        is_needed = repeatability is Repeatability.STREAM_RESUMABLE
        if is_needed and connection.process_shown_s is None:
            self._task = asyncio.ensure_future(self._correct(connection))

    async def settle(self) -> None:
        """Wait until it is found out who wrote the events so far, or can't be."""
        if self._task is not None and self._context.version is not None:
            await asyncio.wait([self._task], timeout=SETTLE_TIMEOUT_S)

    async def _correct(self, connection: UpstreamConnection) -> None:
        """Correct the version if the process at a connection is a later one."""
        found = await self._processes.read_process(self._target)
        if found is None:
            return
        if found.may_be(self._target):
            connection.process_shown_s = asyncio.get_running_loop().time()
            return
        if connection.closed or self._state.members.is_leaving(self._target):
            # Either of them may have written what has arrived.
            return
        version = found.version
        if version is None:
            version = self._find_version(found.started_ms)
        if version is not None:
            self._set_version(version)
        else:
            self._set_version(UNKNOWN_VERSION)
            await self._wait_for_version(found.started_ms)

    def _set_version(self, version: SoftwareVersion) -> None:
        if version == self.version:
            return
        self.version = version
        if self._context.version is not None:
            upstream = self._target.upstream
            self._versions.correct_begun(self._context, upstream, version)

    async def _wait_for_version(self, started_ms: int) -> None:
        """Set the version of a process once its registration is known."""
        stored = asyncio.ensure_future(self._processes.read_registration(self._target))
        until_s = read_now() + self._state.stream_versions.keep_s
        try:
            while read_now() < until_s:
                found = stored.result() if stored.done() else None
                version = self._find_version(started_ms)
                if found is not None and found.started_ms == started_ms:
                    version = found.version
                if version is not None:
                    self._set_version(version)
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            stored.cancel()

    def _find_version(self, started_ms: int) -> SoftwareVersion | None:
        """Return the version under which a process is known to be registered."""
        known = self._state.members.find(self._target.upstream)
        if known is None or known.started_ms != started_ms:
            return None
        return known.version
