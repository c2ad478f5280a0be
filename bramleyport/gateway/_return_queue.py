"""Make calls wait until an upstream that can serve them is back, in order of rank."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from bramleyport.fleet import Call, Registration, ServingGroup, ServingScope
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._process_check import ProcessChecker
from bramleyport.gateway._serving import find_serving_group
from bramleyport.gateway._state import GatewayState

if TYPE_CHECKING:
    from bramleyport.core import UpstreamId

POLL_INTERVAL_S: Final = 0.02
# Time between two checks whether an upstream that refused a connection takes them.
CHECK_INTERVAL_S: Final = 0.2


@dataclass(frozen=True, slots=True, eq=False)
class _HeldCall:
    call: Call
    released: asyncio.Future[None]

    @property
    def rank(self) -> tuple[int, float]:
        """Return the order of calls: the most urgent first, then the oldest."""
        return (self.call.priority, self.call.arrived_s)


class ReturnQueue:
    """Represent the calls that wait for upstreams that are away.

    All calls for the same upstreams are released together, the most urgent first, so
    that each is placed, or refused for lack of time, behind those that go before it.
    """

    def __init__(self, state: GatewayState, processes: ProcessChecker) -> None:
        self._state = state
        self._processes = processes
        # Upstreams that are checked now, or were lately.
        self._checks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._held: dict[ServingScope, set[_HeldCall]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self, scope: ServingScope, call: Call, until_s: float) -> None:
        """Return once an upstream is back, none is expected, or the time is up."""
        released = asyncio.get_running_loop().create_future()
        item = _HeldCall(call, released)
        self._held.setdefault(scope, set()).add(item)
        self._state.held_calls += 1
        self._schedule()
        try:
            async with asyncio.timeout_at(until_s):
                await released
        except TimeoutError:
            return
        finally:
            self._remove(scope, item)

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._held:
            return
        self._schedule()
        for scope, held in list(self._held.items()):
            group = find_serving_group(self._state, scope, read_now())
            if group.is_returning:
                self._check_ended(group)
            else:
                _release(held)

    def _check_ended(self, group: ServingGroup) -> None:
        """Check the processes that seem to have ended, and may only not listen yet."""
        for item in group.absent:
            target = item.registration
            is_ended = self._state.has_ended(target, read_now())
            if is_ended and target.upstream not in self._checks:
                check = asyncio.ensure_future(self._check_process(target))
                self._checks[target.upstream] = check

    async def _check_process(self, target: Registration) -> None:
        try:
            if await self._processes.has_returned(target):
                self._state.ended_processes.pop(target.upstream, None)
            else:
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            del self._checks[target.upstream]

    def _remove(self, scope: ServingScope, item: _HeldCall) -> None:
        self._state.held_calls -= 1
        held = self._held[scope]
        held.remove(item)
        if not held:
            del self._held[scope]


def _release(held: set[_HeldCall]) -> None:
    """Let calls go on; the event loop resumes them in this order."""
    for item in sorted(held, key=lambda item: item.rank):
        if not item.released.done():
            item.released.set_result(None)
