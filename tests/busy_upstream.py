"""Stand-ins of plain upstreams with few slots, and callers of client accounts."""

import asyncio
import itertools
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from tests.gateway_group import GatewayGroup
from tests.platform_standin import (
    RawRequest,
    StoreStandin,
    UpstreamStandin,
    answer_normally,
    decline,
)

# How long a caller waits after a refusal, though it is told to wait longer.
RETRY_S = 0.05


class BusyUpstream(UpstreamStandin):
    """Represent a plain upstream that runs some calls at once, and queues a few."""

    slots = 2
    # It declines calls beyond this number, running and queued.
    most = 10
    run_s = 0.1

    def __init__(self, name: str, **fields: Any) -> None:
        super().__init__(name, **fields)
        self.script = run_in_slot
        self.present = 0
        self.free = asyncio.Semaphore(self.slots)

    def register(self, store: StoreStandin, **changes: Any) -> None:
        super().register(store, slots=self.slots, **changes)


async def run_in_slot(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request for a while once a slot is free, or decline it."""
    assert isinstance(upstream, BusyUpstream)
    if upstream.present >= upstream.most:
        await decline(upstream, request, writer)
        return
    upstream.present += 1
    try:
        async with upstream.free:
            await asyncio.sleep(upstream.run_s)
    finally:
        upstream.present -= 1
    await answer_normally(upstream, request, writer)


def make_accounts(*names: str) -> list[dict[str, Any]]:
    """Return accounts of the configuration, each with one key."""
    return [{"name": name, "api_keys": [f"{name}-key"]} for name in names]


@dataclass(slots=True)
class AccountCallers:
    """Represent callers of accounts that each send one call after the other."""

    group: GatewayGroup
    statuses: dict[str, Counter[int]] = field(default_factory=dict)

    async def call(self, account: str, gateway: str) -> int:
        """Send one call; return its status, or 0 if its connection was lost."""
        statuses = self.statuses.setdefault(account, Counter())
        answer = await self.group.call_gateway(
            gateway,
            "/read/x",
            Request_Id=f"{account}-{uuid.uuid4()}",
            Api_Key=f"{account}-key",
        )
        status = answer.status if answer else 0
        statuses[status] += 1
        return status

    def find_served(self, account: str) -> float:
        """Return the fraction of the calls of an account that were answered."""
        return self.statuses[account][200] / self.statuses[account].total()

    async def flood(self, seconds: float, flooders: int, others: Sequence[str]) -> None:
        """Send calls of one account by many callers, and by one of each other."""
        gateways = itertools.cycle(list(self.group.gateways))
        until_s = asyncio.get_running_loop().time() + seconds
        accounts = ["flood"] * flooders + list(others)
        await asyncio.gather(
            *(self._call_until(item, next(gateways), until_s) for item in accounts)
        )

    async def _call_until(self, account: str, gateway: str, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s and gateway in self.group.gateways:
            if await self.call(account, gateway) != 200:
                await asyncio.sleep(RETRY_S)
