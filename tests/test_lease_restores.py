"""Guard the lease for orders against a store that is restored from a copy."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.authority import (
    ACT_MARGIN_S,
    LEASE_TTL_S,
    EraObserved,
    Granted,
    Lease,
    LeaseEvent,
    LeaseManager,
    LeaseRead,
    LeaseWritten,
    ReadLease,
    Revoked,
    Tick,
    WriteLease,
)
from bramleyport.authority._fencing import find_fencing_base, find_fencing_floor
from bramleyport.core import (
    FencingNumber,
    ProcessId,
    Revision,
    StoreEra,
    StoreRevision,
)
from bramleyport.gateway._lease import OrderLease
from bramleyport.platform import StoredObject, StoreError, StoreFailure
from bramleyport.platform._store_eras import StoreEras
from tests.lease_restores import RestoreWorld
from tests.simulation import InvariantError

Run = Callable[[Coroutine[Any, Any, Any]], Any]
HANDOVER_S = 3.0
ERA = StoreEra(1)
NEXT_ERA = StoreEra(2)
JSON_LIMIT = 2**53


@pytest.mark.parametrize("seed", range(20))
def test_one_holder_acts_whatever_copy_the_store_returns_from(seed: int) -> None:
    """Guards against a holder of the era before that acts beside a new one."""
    world = RestoreWorld(seed, first_start=seed % 2 == 0)
    world.disturb()
    before = len(world.terms)
    world.store.restore(world.now_s - 5.0)
    world.settle()
    assert world.terms
    assert len(world.terms) > before
    assert any(item.manager.may_act(world.now_s) for item in world.candidates)


class IgnoresEras(LeaseManager):
    """Take what a restored store says as if it were newer."""

    def step(self, event: LeaseEvent, now_s: float) -> Any:
        return [] if isinstance(event, EraObserved) else super().step(event, now_s)


class RaisesNoNumbers(LeaseManager):
    """Choose the number after the highest one that is known."""

    def _choose_fencing(self) -> FencingNumber:
        return FencingNumber(self._highest_fencing + 1)


class WaitsForNobody(LeaseManager):
    """Take a lease that the restored store does not name at once."""

    def _find_earlier_expiry(self, now_s: float) -> float:
        return -1.0


class TakesEachStartAsFirst(LeaseManager):
    """Take a missing lease at once after a start, as if nobody had held it."""

    def __init__(self, holder: str, make_token: Any, era: Any, _: Any) -> None:
        super().__init__(holder, make_token, era)

    def _observe_era(self, era: StoreEra, now_s: float) -> Any:
        if self._era is None:
            self._era = era
            return []
        return super()._observe_era(era, now_s)


BROKEN_VARIANTS: list[tuple[str, Callable[..., LeaseManager]]] = [
    ("one|number", IgnoresEras),
    ("number", RaisesNoNumbers),
    ("one", WaitsForNobody),
    ("one|first", TakesEachStartAsFirst),
]


@pytest.mark.parametrize(("name", "make_manager"), BROKEN_VARIANTS)
def test_checks_find_a_broken_variant(
    name: str, make_manager: Callable[..., LeaseManager]
) -> None:
    """Guards against checks that never fail."""
    with pytest.raises(InvariantError, match=name):
        for seed in range(400):
            RestoreWorld(seed, make_manager).disturb()


def make_revision(number: int, era: StoreEra) -> StoreRevision:
    return StoreRevision(era, Revision(number))


def read(
    manager: LeaseManager, lease: Lease | None, era: StoreEra, now_s: float
) -> Any:
    """Answer the read that is due and return what follows."""
    (due,) = manager.step(Tick(), now_s)
    assert isinstance(due, ReadLease)
    version = make_revision(7, era)
    return manager.step(LeaseRead(op=due.op, lease=lease, version=version), now_s)


def make_holder(now_s: float) -> LeaseManager:
    """Return a manager that has held its lease from a point in time."""
    manager = LeaseManager("a", lambda: "token", ERA)
    (write,) = read(manager, None, ERA, now_s)
    assert isinstance(write, WriteLease)
    version = make_revision(8, ERA)
    (granted,) = manager.step(LeaseWritten(op=write.op, version=version), now_s)
    assert isinstance(granted, Granted)
    return manager


def make_lease(era: StoreEra, holder: str = "b") -> Lease:
    fencing = FencingNumber(find_fencing_floor(era) + 1)
    return Lease(holder=holder, fencing=fencing, token="other")


def test_holder_stops_at_once_and_writes_its_lost_lease_again() -> None:
    """Guards against a holder that acts on a lease which the store has lost."""
    manager = make_holder(0.0)
    assert manager.fencing is not None
    before = manager.fencing
    assert [type(item) for item in manager.step(EraObserved(era=NEXT_ERA), 1.0)] == [
        Revoked
    ]
    assert not manager.may_act(1.0)
    (write,) = read(manager, None, NEXT_ERA, 1.0)
    assert isinstance(write, WriteLease)
    assert write.expected is None
    assert write.lease.fencing > before
    written = LeaseWritten(op=write.op, version=make_revision(8, NEXT_ERA))
    (granted,) = manager.step(written, 1.1)
    assert isinstance(granted, Granted)
    assert not granted.is_first


@pytest.mark.parametrize(
    "lease",
    [None, make_lease(ERA), make_lease(ERA, holder="a"), make_lease(ERA, holder="")],
    ids=["missing", "of another", "of its own", "released"],
)
def test_another_takes_the_lease_only_after_the_old_holder_has_stopped(
    lease: Lease | None,
) -> None:
    """Guards against orders of two holders, one of which is cut off from the store."""
    manager = LeaseManager("a", lambda: "token", ERA)
    assert read(manager, make_lease(ERA), ERA, 0.0) == []
    # The lease has long expired by what was known of it, but not in the new era.
    manager.step(EraObserved(era=NEXT_ERA), 60.0)
    assert read(manager, lease, NEXT_ERA, 60.0) == []
    now_s = 60.0
    while now_s < 60.0 + LEASE_TTL_S - 0.5:
        now_s += 0.5
        for action in manager.step(Tick(), now_s):
            assert isinstance(action, ReadLease)
            version = make_revision(7, NEXT_ERA)
            answer = LeaseRead(op=action.op, lease=lease, version=version)
            assert manager.step(answer, now_s) == []
    (write,) = read(manager, lease, NEXT_ERA, 60.0 + LEASE_TTL_S)
    assert isinstance(write, WriteLease)
    assert write.lease.fencing > find_fencing_floor(NEXT_ERA)


def test_lease_of_the_new_era_is_taken_when_it_is_released() -> None:
    """Guards against a pool without orders though its holder is known to be gone."""
    manager = LeaseManager("a", lambda: "token", ERA)
    manager.step(EraObserved(era=NEXT_ERA), 1.0)
    (write,) = read(manager, make_lease(NEXT_ERA, holder=""), NEXT_ERA, 1.0)
    assert isinstance(write, WriteLease)


def test_answers_of_the_era_before_change_nothing() -> None:
    """Guards against a lease that is granted by a write which the store has lost."""
    manager = LeaseManager("a", lambda: "token", ERA)
    (write,) = read(manager, None, ERA, 0.0)
    assert isinstance(write, WriteLease)
    manager.step(EraObserved(era=NEXT_ERA), 0.5)
    late = LeaseWritten(op=write.op, version=make_revision(8, ERA))
    assert manager.step(late, 0.6) == []
    copied = LeaseRead(op=write.op, lease=write.lease, version=make_revision(8, ERA))
    assert manager.step(copied, 0.6) == []
    # Not by a copy that has the write either: this process did not hold the lease.
    assert read(manager, write.lease, NEXT_ERA, 0.7) == []
    assert not manager.may_act(0.8)


def test_process_that_cannot_know_of_a_holder_waits() -> None:
    """Guards against a process that starts after a lease was lost."""
    manager = LeaseManager("a", lambda: "token", NEXT_ERA, LEASE_TTL_S)
    assert read(manager, None, NEXT_ERA, 0.0) == []
    (write,) = read(manager, None, NEXT_ERA, LEASE_TTL_S)
    written = LeaseWritten(op=write.op, version=make_revision(8, NEXT_ERA))
    (granted,) = manager.step(written, LEASE_TTL_S)
    assert not granted.is_first


def test_holder_of_the_era_before_loses_its_right_with_its_time() -> None:
    """Guards against a holder that takes the lease while another one has it by then."""
    manager = make_holder(0.0)
    manager.step(EraObserved(era=NEXT_ERA), 1.0)
    ended_s = LEASE_TTL_S - ACT_MARGIN_S
    assert read(manager, make_lease(ERA), NEXT_ERA, ended_s) == []
    (write,) = read(manager, None, NEXT_ERA, 1.0 + LEASE_TTL_S)
    assert isinstance(write, WriteLease)


def test_lease_that_a_late_write_lowered_gets_a_number_above_all_of_the_era() -> None:
    """Guards against a number given out twice, as the store has forgotten the first."""
    manager = LeaseManager("a", lambda: "token", NEXT_ERA, 0.0)
    late = make_lease(ERA)
    # Up to this revision the era may have had as many holders.
    revision = make_revision(50, NEXT_ERA)
    (due,) = manager.step(Tick(), 0.0)
    assert isinstance(due, ReadLease)
    manager.step(LeaseRead(op=due.op, lease=late, version=revision), 0.0)
    (due,) = manager.step(Tick(), LEASE_TTL_S)
    assert isinstance(due, ReadLease)
    answer = LeaseRead(op=due.op, lease=late, version=revision)
    (write,) = manager.step(answer, LEASE_TTL_S)
    assert isinstance(write, WriteLease)
    assert write.lease.fencing > find_fencing_floor(NEXT_ERA) + revision.number


@pytest.mark.parametrize("era", [0, 1, 7, 2**21 - 2, 1_700_000_000_000, 10**30])
def test_fencing_numbers_rise_with_each_era_and_stay_exact_in_json(era: int) -> None:
    """Guards against numbers that engines refuse, or that two eras share."""
    floors = [find_fencing_floor(StoreEra(era + step)) for step in range(2)]
    assert floors[0] < floors[1]
    most = make_revision(10**30, StoreEra(era))
    assert floors[0] < find_fencing_base(StoreEra(era), most) < floors[1]
    assert floors[1] + 2**32 <= JSON_LIMIT


def test_numbers_of_a_store_without_eras_begin_at_one() -> None:
    """Guards against changed numbers where the store never loses a write."""
    manager = LeaseManager("a", lambda: "token")
    (due,) = manager.step(Tick(), 0.0)
    assert isinstance(due, ReadLease)
    (write,) = manager.step(LeaseRead(op=due.op, lease=None, version=0), 0.0)
    assert isinstance(write, WriteLease)
    assert write.lease.fencing == 1


class LeaseStore:
    """Represent a store with one lease that answers when it is told to."""

    def __init__(self, era: StoreEra) -> None:
        self.eras = StoreEras()
        self.eras.record(era)
        self.writes: list[int] = []
        self.answering = asyncio.Event()
        self.answering.set()

    async def get(self, kind: Any, name: Any) -> Any:
        await self.answering.wait()
        return Err(StoreError(failure=StoreFailure.NOT_FOUND, step="get", reason=""))

    async def create(self, kind: Any, name: Any, document: Any) -> Any:
        self.writes.append(document["fencing"])
        revision = make_revision(len(self.writes), self.eras.newest)
        return Ok(StoredObject(name=name, revision=revision, document=document))

    async def replace(self, kind: Any, name: Any, document: Any, revision: Any) -> Any:
        await self.answering.wait()
        return await self.create(kind, name, document)


async def run_lease(lease: OrderLease, condition: Callable[[], bool]) -> None:
    lease.set_wanted(wanted=True)
    running = asyncio.ensure_future(lease.run())
    try:
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.01)
    finally:
        running.cancel()


def make_order_lease(store: LeaseStore, *, first_start: bool) -> OrderLease:
    client: Any = store
    return OrderLease(ProcessId("g"), client, HANDOVER_S, first_start=first_start)


def test_first_holder_of_all_orders_at_once(run: Run) -> None:
    """Guards against a new system that waits for holders which never were."""

    async def check() -> None:
        lease = make_order_lease(LeaseStore(ERA), first_start=True)
        await run_lease(lease, lambda: lease.find_fencing() is not None)

    run(check())


@pytest.mark.parametrize("first_start", [False, True], ids=["restarted", "restored"])
def test_missing_lease_is_not_taken_as_if_nobody_had_held_it(
    run: Run, first_start: bool
) -> None:
    """Guards against two holders where the store has lost the lease of the first."""

    async def check() -> None:
        store = LeaseStore(ERA)
        if first_start:
            store.eras.record(NEXT_ERA)
        lease = make_order_lease(store, first_start=first_start)
        with pytest.raises(TimeoutError):
            await run_lease(lease, lambda: bool(store.writes))

    run(check())


def test_holder_stops_while_a_call_to_the_store_is_under_way(run: Run) -> None:
    """Guards against orders until a slow store answers the lease's own call."""

    async def check() -> None:
        store = LeaseStore(ERA)
        lease = make_order_lease(store, first_start=True)
        await run_lease(lease, lambda: lease.find_fencing() is not None)
        store.answering.clear()
        store.eras.record(NEXT_ERA)
        assert lease.find_fencing() is None
        store.answering.set()
        await run_lease(lease, lambda: len(store.writes) == 2)
        assert store.writes[1] > find_fencing_floor(NEXT_ERA) > store.writes[0]
        # Its own orders of the era before may still be under way.
        await asyncio.sleep(0.05)
        assert lease.find_fencing() is None

    run(check())
