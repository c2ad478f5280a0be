"""Guard orders while the process that holds the lease is frozen, killed or stopped."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from bramleyport.core import EngineRole
from tests.process_fleet import ProcessFleet, run_fleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]
LIMIT_S = 90  # only a hang reaches it
ENTRIES = ("entry-0", "entry-1")


async def wait(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.05)


async def find_holder(fleet: ProcessFleet) -> tuple[str, str, int]:
    """Return the holder, the other entry and the holder's number."""
    await wait(lambda: fleet.read_lease()[0] in ENTRIES)
    holder, fencing = fleet.read_lease()
    return holder, ENTRIES[1 - ENTRIES.index(holder)], fencing


async def order(fleet: ProcessFleet, entry: str, role: EngineRole) -> None:
    """Have the holder change every engine."""
    fleet.want(entry, role.value)
    await wait(lambda: all(e.model.role is role for e in fleet.engines))


def record_roles(fleet: ProcessFleet) -> list[EngineRole]:
    """Return a list that grows by each role that an engine takes."""
    taken: list[EngineRole] = []

    def watch(begin: Callable[[EngineRole], float]) -> Callable[[EngineRole], float]:
        def record(role: EngineRole) -> float:
            taken.append(role)
            return begin(role)

        return record

    for engine in fleet.engines:
        engine.model.begin_role_change = watch(  # type: ignore[method-assign]
            engine.model.begin_role_change
        )
    return taken


def check_orders(fleet: ProcessFleet, fencing: int) -> None:
    """I3: every order object belongs to the holder with the number."""
    orders = [v for k, v in fleet.store.store.objects.items() if k[0] == "orders"]
    assert len(orders) == len(fleet.engines)
    for value in orders:
        assert value["spec"]["fencing"] == value["spec"]["sealed"] == fencing


def test_holder_frozen_beyond_its_lease_orders_nothing(
    run: Run, tmp_path: Path
) -> None:
    """Guards against a resumed holder whose orders engines still take."""

    async def check() -> None:
        async with run_fleet(tmp_path, engines=2, planned=True) as fleet:
            taken = record_roles(fleet)
            old, new, first = await find_holder(fleet)
            await order(fleet, old, EngineRole.DECODE)
            fleet.send_signal(old, signal.SIGSTOP)
            # What the old holder would order as soon as it continues.
            fleet.want(old, EngineRole.PREFILL.value)
            await wait(lambda: fleet.read_lease()[0] == new)
            second = fleet.read_lease()[1]
            assert second > first
            await order(fleet, new, EngineRole.MIXED)
            fleet.send_signal(old, signal.SIGCONT)
            await wait(lambda: "lease lost" in fleet.read_log(old))
            await order(fleet, new, EngineRole.DECODE)
            assert EngineRole.PREFILL not in taken
            assert fleet.read_lease() == (new, second)
            check_orders(fleet, second)

    run(check())


def test_killed_holder_is_succeeded(run: Run, tmp_path: Path) -> None:
    """Guards against a pool without orders after its holder died."""

    async def check() -> None:
        async with run_fleet(tmp_path, engines=2, planned=True) as fleet:
            old, new, first = await find_holder(fleet)
            await order(fleet, old, EngineRole.DECODE)
            fleet.send_signal(old, signal.SIGKILL)
            await wait(lambda: fleet.read_lease()[0] == new)
            second = fleet.read_lease()[1]
            assert second > first
            await order(fleet, new, EngineRole.PREFILL)
            check_orders(fleet, second)

    run(check())


def test_stopped_holder_releases_its_lease(run: Run, tmp_path: Path) -> None:
    """Guards against a graceful stop after which the lease has to expire."""

    async def check() -> None:
        async with run_fleet(tmp_path, engines=2, planned=True) as fleet:
            old, new, first = await find_holder(fleet)
            await order(fleet, old, EngineRole.DECODE)
            fleet.send_signal(old, signal.SIGTERM)
            await wait(lambda: fleet.read_lease()[0] == new)
            second = fleet.read_lease()[1]
            # The release took the number between the two terms.
            assert second == first + 2
            assert "lease released" in fleet.read_log(old)
            await order(fleet, new, EngineRole.PREFILL)
            check_orders(fleet, second)
            await wait(lambda: fleet.processes[old].poll() is not None)
            assert fleet.processes[old].returncode == 0

    run(check())
