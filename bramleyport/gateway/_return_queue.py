"""Hold calls until an upstream that can serve them is back, in order of rank."""

import asyncio
from dataclasses import dataclass
from typing import Final

from bramleyport.fleet import Call, ServingScope
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._serving import find_serving_group
from bramleyport.gateway._state import GatewayState

POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class _HeldCall:
    call: Call
    released: asyncio.Future[None]

    @property
    def rank(self) -> tuple[int, float]:
        """Return the order of calls: the most urgent first, then the oldest."""
        return (self.call.route.priority, self.call.arrived_s)


class ReturnQueue:
    """Represent the calls that wait for upstreams that are away.

    All calls for the same upstreams are released together, the most urgent first, so
    that each is placed, or refused for lack of time, behind those that go before it.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._held: dict[ServingScope, list[_HeldCall]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self, scope: ServingScope, call: Call, until_s: float) -> None:
        """Return once an upstream is back, none is expected, or the time is up."""
        released = asyncio.get_running_loop().create_future()
        item = _HeldCall(call, released)
        self._held.setdefault(scope, []).append(item)
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
            if not group.is_returning:
                _release(held)

    def _remove(self, scope: ServingScope, item: _HeldCall) -> None:
        self._state.held_calls -= 1
        held = self._held[scope]
        held.remove(item)
        if not held:
            del self._held[scope]


def _release(held: list[_HeldCall]) -> None:
    """Let calls go on; the event loop resumes them in this order."""
    for item in sorted(held, key=lambda item: item.rank):
        if not item.released.done():
            item.released.set_result(None)
