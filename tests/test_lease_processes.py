"""Test orders while the process that holds the lease is frozen, killed or stopped."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from bramleyport.core import EngineRole
from tests.process_fleet import ProcessFleet, run_fleet

Run = Callable[[Coroutine[Any, Any, Any]], Any]
LIMIT_S = 90  # reached only by a hang
ENTRIES = ("entry-0", "entry-1")


async def wait(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.05)


async def find_holder(fleet: ProcessFleet) -> tuple[str, str, int]:
    """Return the holder, the other entry and the holder's fencing number."""
    await wait(lambda: fleet.read_lease()[0] in ENTRIES)
    holder, fencing = fleet.read_lease()
    return holder, ENTRIES[1 - ENTRIES.index(holder)], fencing


async def change_roles(fleet: ProcessFleet, entry: str, role: EngineRole) -> None:
    """Have the holder's planner request a role, and wait until all engines have it."""
    fleet.set_ordered_role(entry, role.value)
    await wait(lambda: all(e.model.role is role for e in fleet.engines))


def record_roles(fleet: ProcessFleet) -> list[EngineRole]:
    """Return a list to which each role change of an engine is added."""
    applied_roles: list[EngineRole] = []

    def wrap_role_change(
        begin: Callable[[EngineRole], float],
    ) -> Callable[[EngineRole], float]:
        def record(role: EngineRole) -> float:
            applied_roles.append(role)
            return begin(role)

        return record

    for engine in fleet.engines:
        engine.model.begin_role_change = wrap_role_change(  # type: ignore[method-assign]
            engine.model.begin_role_change
        )
    return applied_roles


def check_orders(fleet: ProcessFleet, fencing: int) -> None:
    """I3: every order object has the holder's fencing number."""
    orders = [v for k, v in fleet.store.store.objects.items() if k[0] == "orders"]
    assert len(orders) == len(fleet.engines)
    for value in orders:
        assert value["spec"]["fencing"] == value["spec"]["sealed"] == fencing


def test_holder_frozen_beyond_its_lease_orders_nothing(
    run: Run, tmp_path: Path
) -> None:
    """Guards against a frozen holder whose orders take effect after it resumes."""

    async def check() -> None:
        async with run_fleet(tmp_path, engines=2, orders_named_roles=True) as fleet:
            applied_roles = record_roles(fleet)
            old, new, first = await find_holder(fleet)
            await change_roles(fleet, old, EngineRole.DECODE)
            fleet.send_signal(old, signal.SIGSTOP)
            # The old holder would give this order as soon as it resumes.
            fleet.set_ordered_role(old, EngineRole.PREFILL.value)
            await wait(lambda: fleet.read_lease()[0] == new)
            second = fleet.read_lease()[1]
            assert second > first
            await change_roles(fleet, new, EngineRole.MIXED)
            fleet.send_signal(old, signal.SIGCONT)
            await wait(lambda: "lease lost" in fleet.read_log(old))
            await change_roles(fleet, new, EngineRole.DECODE)
            assert EngineRole.PREFILL not in applied_roles
            assert fleet.read_lease() == (new, second)
            check_orders(fleet, second)

    run(check())


def test_killed_holder_is_replaced(run: Run, tmp_path: Path) -> None:
    """Guards against a pool that gets no orders after its holder died."""

    async def check() -> None:
        async with run_fleet(tmp_path, engines=2, orders_named_roles=True) as fleet:
            old, new, first = await find_holder(fleet)
            await change_roles(fleet, old, EngineRole.DECODE)
            fleet.send_signal(old, signal.SIGKILL)
            await wait(lambda: fleet.read_lease()[0] == new)
            second = fleet.read_lease()[1]
            assert second > first
            await change_roles(fleet, new, EngineRole.PREFILL)
            check_orders(fleet, second)

    run(check())


def test_stopped_holder_releases_its_lease(run: Run, tmp_path: Path) -> None:
    """Guards against a graceful stop that does not release the lease."""

    async def check() -> None:
        async with run_fleet(tmp_path, engines=2, orders_named_roles=True) as fleet:
            old, new, first = await find_holder(fleet)
            await change_roles(fleet, old, EngineRole.DECODE)
            fleet.send_signal(old, signal.SIGTERM)
            await wait(lambda: fleet.read_lease()[0] == new)
            second = fleet.read_lease()[1]
            # The release used the fencing number between those of the two holders.
            assert second == first + 2
            assert "lease released" in fleet.read_log(old)
            await change_roles(fleet, new, EngineRole.PREFILL)
            check_orders(fleet, second)
            await wait(lambda: fleet.processes[old].poll() is not None)
            assert fleet.processes[old].returncode == 0

    run(check())
