"""Guard the decision which calls of an account are sent, wait or are refused."""

from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from bramleyport.core import AccountId, RequestId, UpstreamId
from bramleyport.fleet import (
    AccountRank,
    Admit,
    CapacityUse,
    FairSharing,
    LoadTracker,
    Refuse,
    SharingCall,
    SharingDecision,
    Stage,
    Wait,
    Work,
    has_free_prefill,
    has_free_slots,
    measure_prefill,
    measure_slots,
)
from bramleyport.fleet._fair_sharing import find_fair_share
from tests.fleet_builders import make_engine

CAPACITY = 18.0
PLACES = 100


def make_call(account: str, priority: int = 0) -> SharingCall:
    return SharingCall(AccountRank(AccountId(account), priority), objective_s=0.4)


def make_use(*held: tuple[str, int, float], capacity: float = CAPACITY) -> CapacityUse:
    """Return the use of slots by accounts, in ranks."""
    used = sum(count for _, _, count in held)
    return CapacityUse(
        capacity=capacity,
        used=used,
        free=capacity - used,
        occupied={make_call(name, rank).key: count for name, rank, count in held},
        call_size=1.0,
        entry_size=1.0,
        calls_per_s=10.0,
        extension=0.0,
        own=0.0,
        own_occupied={},
        gateways=1,
        delay_s=0.03,
    )


FLOODED = make_use(("flood", 0, 17.0), ("a", 0, 1.0))


def decide(
    sharing: FairSharing,
    call: SharingCall,
    max_wait_s: float,
    use: CapacityUse = FLOODED,
) -> SharingDecision:
    places = PLACES - len(sharing)
    return sharing.decide(call, use, max_wait_s=max_wait_s, places=places, now_s=0.0)


@given(st.floats(0.1, 100), st.lists(st.floats(0, 100), min_size=1, max_size=20))
def test_shares_divide_all_capacity_and_no_more(
    capacity: float, demands: list[float]
) -> None:
    """Guards against capacity that is left idle, or promised twice."""
    share = find_fair_share(capacity, demands)
    given_out = sum(min(share, demand) for demand in demands)
    assert given_out == pytest.approx(min(capacity, sum(demands)))


def test_small_account_is_admitted_and_the_flood_waits_or_is_refused() -> None:
    """Guards against a small account behind a flood, and waits to the deadline."""
    sharing = FairSharing()
    assert decide(sharing, make_call("flood"), 0.0, make_use()) == Admit()
    no_upstream = make_use(("flood", 0, 1.0), capacity=0.0)
    assert decide(sharing, make_call("flood"), 0.0, no_upstream) == Admit()
    assert decide(sharing, make_call("b"), 0.0) == Admit()
    for _ in range(10):
        sharing.add(make_call("flood"))
    # It is forecast to wait 1.1 s, with an allowance.
    assert decide(sharing, make_call("flood"), 1.5) == Wait(1.5)
    refusal = decide(sharing, make_call("flood"), 1.2)
    assert refusal == Refuse(retry_after_s=pytest.approx(1.1))


def test_no_account_takes_all_places() -> None:
    """Guards against a flood that keeps others from waiting."""
    sharing = FairSharing()
    for _ in range(PLACES // 2):
        sharing.add(make_call("flood"))
    assert isinstance(decide(sharing, make_call("flood"), 99.0), Refuse)
    sharing.add(make_call("c"))
    assert isinstance(decide(sharing, make_call("a", 1), 99.0), Admit | Wait)


def test_release_follows_rank_then_occupancy_then_age() -> None:
    """Guards against another order than docs/hard-load.md states."""
    sharing = FairSharing()
    calls = [make_call("x", 1), *map(make_call, "bacca")]
    for call in calls:
        sharing.add(call)
    use = make_use(("b", 0, 2.0), ("c", 0, 1.0), ("d", 0, 10.0))
    released = []
    while (call := sharing.release_next(lambda _: use, 0.0)) is not None:
        released.append(calls.index(call))
    # What is released counts as occupied: a has 1 after its first call, as c has.
    assert released == [2, 3, 5, 1, 4, 0]


def test_free_slot_goes_to_one_call() -> None:
    """Guards against two calls that are released before the first one is sent."""
    sharing = FairSharing()
    use = make_use(("flood", 0, 16.0), ("a", 0, 1.0))
    for _ in range(2):
        sharing.add(make_call("flood"))
    call = sharing.release_next(lambda _: use, 0.0)
    assert call is not None
    assert sharing.release_next(lambda _: use, 0.0) is None
    sharing.remove(call)
    assert sharing.release_next(lambda _: use, 0.0) is not None


def test_less_urgent_rank_keeps_a_part() -> None:
    """Guards against a rank that is refused altogether under an urgent flood."""
    sharing = FairSharing()
    use = make_use(("flood", 0, CAPACITY))
    assert decide(sharing, make_call("a", 1), 0.0, use) == Admit()
    use = make_use(("flood", 0, CAPACITY), ("a", 1, 2.0))
    assert decide(sharing, make_call("a", 1), 9.0, use) == Wait(9.0)
    assert decide(sharing, make_call("b", 0), 0.0, use) == Admit()


def test_account_counts_as_asking_for_a_while() -> None:
    """Guards against a lone account that is held for one that has gone."""
    sharing = FairSharing()
    sharing.record_asking([AccountId("a"), AccountId("b"), AccountId("c")], 0.0)
    sharing.record_asking([AccountId("a")], 20.0)
    assert sharing.is_shared(20.0)
    assert not sharing.is_shared(40.0)


def make_work(request: str, upstream: str, origin: str, prefill_s: float) -> Work:
    return Work(
        request=RequestId(request),
        upstream=UpstreamId(upstream),
        priority=0,
        prefill_s=prefill_s,
        started_s=0.0,
        origin=origin,
        account=AccountId(origin),
    )


def test_slots_are_measured_over_all_gateways() -> None:
    """Guards against work that is not counted, or still counted after its end."""
    loads = LoadTracker()
    target = make_engine("p0", None)
    for origin in ("", "g1", "g2", "g2"):
        loads.of(target.upstream).add(make_work(f"of {origin}", "p0", origin, 0.0))
    use = measure_slots([target], loads, 0.5, 2)
    # One request is sent again under its identifier.
    assert (use.used, sum(use.occupied.values()), use.calls_per_s) == (3.0, 3.0, 6.0)
    loads.drop_origin("g1", 0.0)
    loads.drop_expired(99.0)
    assert not measure_slots([target], loads, 0.5, 2).occupied


def test_engines_are_scarce_only_beyond_the_objective() -> None:
    """Guards against calls to engines that are held although they would be in time."""
    loads = LoadTracker()
    engines = [make_engine("f0", Stage.PREFILL), make_engine("d0")]
    loads.of(UpstreamId("d0")).add(make_work("r", "d0", "flood", 0.75))
    assert has_free_prefill(engines, loads, 0, 0.4, 0.0)
    loads.of(UpstreamId("f0")).add(make_work("r", "f0", "flood", 0.75))
    assert not has_free_prefill(engines, loads, 0, 0.4, 0.0)
    # More urgent calls are prefilled first.
    assert has_free_prefill(engines, loads, -1, 0.4, 0.0)
    flood, sharing = make_call("flood"), FairSharing()
    use = measure_prefill(engines, loads, flood.key, 0.4, 1, 0.0)
    assert decide(sharing, flood, 99.0, use) == Wait(99.0)
    assert decide(sharing, make_call("a"), 0.0, use) == Admit()


def test_many_gateways_do_not_send_to_the_same_free_slots() -> None:
    """Guards against a swing between full queues and idle slots on late knowledge."""
    gateways, slots, run_steps, step_s = 20, 60.0, 5, 0.06
    sharings = [FairSharing() for _ in range(gateways)]
    # What each gateway sent in each step; it runs for the next ones.
    sent = [[int((n + k) % 10 < 3) for k in range(run_steps)] for n in range(gateways)]
    used = []
    for step in range(60):
        known = [sum(counts[-run_steps:]) for counts in sent]
        for sharing, counts, own_known in zip(sharings, sent, known, strict=True):
            others = sum(known) - own_known
            counts.append(0)
            for _ in range(20):
                sharing.add(make_call("flood"))

            def measure(
                call: SharingCall, counts: list[int] = counts, others: int = others
            ) -> CapacityUse:
                own = float(sum(counts[-run_steps:]))
                return replace(
                    make_use(("flood", 0, own + others), capacity=slots),
                    own=own,
                    own_occupied={call.key: own},
                    gateways=gateways,
                    delay_s=step_s,
                )

            while (call := sharing.release_next(measure, step * step_s)) is not None:
                sharing.remove(call)
                counts[-1] += 1
        used.append(sum(sum(counts[-run_steps:]) for counts in sent))
    assert max(used) <= 1.5 * slots
    assert min(used[20:]) >= 0.8 * slots


def test_queue_at_one_upstream_hides_no_free_slots_at_another() -> None:
    """Guards against calls that wait though an upstream that has returned is idle."""
    loads = LoadTracker()
    ready = [make_engine("p0", None), make_engine("p1", None)]
    slots = ready[0].slots
    for number in range(2 * slots):
        origin = "g1" if number else "g2"
        loads.of(UpstreamId("p0")).add(
            replace(make_work("r", "p0", origin, 0.0), request=RequestId(f"r{number}"))
        )
    use = measure_slots(ready, loads, 0.5, 3)
    assert use.used == use.capacity
    assert has_free_slots(ready, loads)
    sharing = FairSharing()
    calls = [make_call("g1") for _ in range(2 * slots)]
    for call in calls:
        sharing.add(call)
    released = 0
    while sharing.release_next(lambda _: use, 0.0) is not None:
        released += 1
    assert released == slots
