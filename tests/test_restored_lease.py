"""Guard that orders have one holder at a time when a restored store lost its lease."""

import asyncio
import math
import time
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from itertools import combinations
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest

from bramleyport.authority import Lease, LeaseTimes, write_lease
from bramleyport.core import FencingNumber
from bramleyport.gateway import _lease
from tests.platform_standin import StoreCopy
from tests.restored_group import RestoredGroup

if TYPE_CHECKING:
    from bramleyport.gateway._lease import OrderLease

Run = Callable[[Coroutine[Any, Any, Any]], Any]
# The times of a lease are a fifth of the usual ones, in the same proportions.
TIME_SCALE = 0.2
HANDOVER_MS = 600
HANDOVER_S = HANDOVER_MS / 1000
# Enough for a lease to expire and to be taken over twice.
RUN_S = 6.0
SCALED_TIMES = LeaseTimes(
    **{name: value * TIME_SCALE for name, value in asdict(LeaseTimes()).items()}
)


class Turn(NamedTuple):
    """Describe a period in which one holder may give orders."""

    holder: str
    fencing: int
    first_s: float
    last_s: float


class Candidates:
    """Track which gateways may give orders under the lease, and when."""

    def __init__(self, group: RestoredGroup) -> None:
        self._group = group
        self.leases: dict[str, OrderLease] = {}
        self.turns: list[Turn] = []

    def add(self, name: str) -> None:
        """Let a gateway want the lease from now on."""
        stages = self._group.gateways[name]._stages
        stages._wanted_until_s = math.inf
        stages._ensure_lease()
        self.leases[name] = stages._lease

    async def observe(self, seconds: float) -> None:
        """Record turns for a while."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for name, lease in self.leases.items():
                self._record(name, lease.find_fencing())
            await asyncio.sleep(0.005)

    async def wait_for_holder(self, name: str) -> None:
        """Wait until a candidate may give orders."""
        async with asyncio.timeout(10):
            while self.leases[name].find_fencing() is None:
                await self.observe(0.02)

    def check(self) -> None:
        """Check that turns do not overlap and that numbers rise with each of them."""
        assert self.turns
        turns = sorted(self.turns, key=lambda turn: turn.first_s)
        for earlier, later in combinations(turns, 2):
            if earlier.holder == later.holder:
                assert later.fencing >= earlier.fencing
                continue
            assert later.fencing > earlier.fencing, (earlier, later)
            assert later.first_s >= earlier.last_s + HANDOVER_S, (earlier, later)

    def _record(self, name: str, fencing: FencingNumber | None) -> None:
        if fencing is None:
            return
        now_s = time.monotonic()
        for index, turn in enumerate(self.turns):
            if (turn.holder, turn.fencing) == (name, fencing):
                self.turns[index] = turn._replace(last_s=now_s)
                return
        self.turns.append(Turn(name, fencing, now_s, now_s))


def write_older_lease(group: RestoredGroup, older: str) -> StoreCopy:
    """Return a copy with an older lease, and write what follows it."""
    held = Lease(holder="gone", fencing=FencingNumber(3), token="t")
    released = Lease(holder="", fencing=FencingNumber(4), token="u")
    if older == "held":
        group.store.put("leases", "stages", write_lease(held))
    copy = group.store.copy()
    group.store.put("leases", "stages", write_lease(released))
    return copy


# Guards against two holders at a time, and against numbers that fall or that two
# holders share, which engines that don't check them would obey.
@pytest.mark.parametrize("older", ["none", "held"])
@pytest.mark.parametrize("joins", ["before", "after"])
def test_orders_have_one_holder_after_a_restored_store(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, older: str, joins: str
) -> None:
    monkeypatch.setattr(_lease, "STAGES_LEASE_TIMES", SCALED_TIMES)
    monkeypatch.setattr(_lease, "TICK_S", 0.02)

    async def check() -> None:
        group = RestoredGroup(tmp_path, 2, {"lease_ms": HANDOVER_MS})
        await group.start()
        candidates = Candidates(group)
        try:
            copy = write_older_lease(group, older)
            candidates.add("g0")
            await candidates.wait_for_holder("g0")
            if joins == "before":
                candidates.add("g1")
                await candidates.observe(0.5)
            group.store.restore(copy)
            if joins == "after":
                candidates.add("g1")
            await candidates.observe(RUN_S)
            candidates.check()
        finally:
            await group.stop()

    run(check())
