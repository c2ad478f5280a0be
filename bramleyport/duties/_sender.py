"""Send the calls of all duties at the permitted rate."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from bramleyport.core import FencingNumber
from bramleyport.duties._pacing import Backoff, CallPacing
from bramleyport.platform import (
    DutyAnswer,
    DutyClient,
    DutyResult,
    ScaleOrder,
    UsageReport,
)
from bramleyport.telemetry import Metrics

_OVERLOADED: Final = frozenset((DutyResult.LIMITED, DutyResult.UNANSWERED))


class DutyLease(Protocol):
    """Represent the lease of the duties, which is released between calls only."""

    orders_in_flight: int

    def find_fencing(self) -> FencingNumber | None:
        """Return the fencing number, or None while the lease is not held."""


class DutySender:
    """Send calls one after the other while this process holds the duties."""

    def __init__(
        self,
        client: DutyClient,
        pacing: CallPacing,
        find_lease: Callable[[], DutyLease | None],
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._pacing = pacing
        self._find_lease = find_lease
        self._metrics = metrics
        self._turn = asyncio.Lock()
        # While the platform API does not answer, or takes no more calls.
        self._backoff = Backoff()

    async def send(self, call: UsageReport | ScaleOrder) -> DutyAnswer:
        """Send a call when its turn has come."""
        async with self._turn:
            loop = asyncio.get_running_loop()
            ready_s = max(loop.time(), self._backoff.until_s)
            await asyncio.sleep(ready_s - loop.time() + self._pacing.take(ready_s))
            answer = await self._send(call)
            if answer.result in _OVERLOADED:
                self._backoff.record_failure(loop.time())
            else:
                self._backoff = Backoff()
        duty = "usage" if isinstance(call, UsageReport) else "scale"
        self._metrics.duty_calls.inc({"duty": duty, "result": answer.result.value})
        return answer

    async def _send(self, call: UsageReport | ScaleOrder) -> DutyAnswer:
        lease = self._find_lease()
        if lease is None or lease.find_fencing() is None:
            return DutyAnswer(DutyResult.NOT_HELD, None)
        lease.orders_in_flight += 1
        try:
            return await self._client.send(call, lease.find_fencing)
        finally:
            lease.orders_in_flight -= 1

    def close(self) -> None:
        """Close the connections to the platform API."""
        self._client.close()
