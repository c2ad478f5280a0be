"""Test the balance, the coverage and the stability of subsets."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from bramleyport.bench._routing import count_new_connections, make_fleet
from bramleyport.core import ProcessId, RegionName, ZoneName
from bramleyport.routing import SubsetHost, SubsetSelector

ENTRIES, UPSTREAMS, SIZE = 380, 2100, 60


@pytest.fixture(scope="module", params=[3, 1], ids=["3 regions", "1 region"])
def fleet(request: pytest.FixtureRequest) -> tuple[list[SubsetHost], list[SubsetHost]]:
    return make_fleet(ENTRIES, UPSTREAMS, request.param)


def test_target_size_is_balanced_and_stable(
    fleet: tuple[list[SubsetHost], list[SubsetHost]],
) -> None:
    entries, upstreams = fleet
    selector = SubsetSelector(SIZE)
    chosen = selector.choose_all(entries, upstreams)
    sizes = {len(subset) for subset in chosen.values()}
    assert max(sizes) <= 1.05 * SIZE
    assert min(sizes) >= 0.95 * SIZE
    coverage = Counter(item for subset in chosen.values() for item in subset)
    assert len(coverage) == UPSTREAMS
    assert max(coverage.values()) <= 1.5 * min(coverage.values())
    # The loss of a host may change a few of the 22,800 connections in addition to its
    # own.
    no_upstream = selector.choose_all(entries, upstreams[1:])
    assert count_new_connections(chosen, no_upstream) <= 0.01 * ENTRIES * SIZE
    no_entry = selector.choose_all(entries[:-1], upstreams)
    assert count_new_connections(chosen, no_entry) <= 0.01 * ENTRIES * SIZE


def test_each_entry_covers_each_pool_and_zone_of_its_region(
    fleet: tuple[list[SubsetHost], list[SubsetHost]],
) -> None:
    entries, upstreams = fleet
    hosts = {host.process: host for host in upstreams}
    wanted = {
        region: {
            "pool": {host.pool for host in upstreams if host.region == region},
            "zone": {host.zone for host in upstreams if host.region == region},
        }
        for region in {host.region for host in entries}
    }
    chosen = SubsetSelector(SIZE).choose_all(entries, upstreams)
    for entry in entries:
        subset = [hosts[process] for process in chosen[entry.process]]
        assert {host.pool for host in subset} == wanted[entry.region]["pool"]
        assert {host.zone for host in subset} == wanted[entry.region]["zone"]


def test_small_fleet_keeps_all_upstreams() -> None:
    entries, upstreams = make_fleet(3, 12, 1)
    chosen = SubsetSelector(SIZE).choose_all(entries, upstreams)
    everything = {host.process for host in upstreams}
    assert all(subset == everything for subset in chosen.values())


def test_pool_absent_from_the_region_is_covered_in_other_regions() -> None:
    entries, upstreams = make_fleet(20, 140, 2)
    rare = SubsetHost(
        ProcessId("rare"), ZoneName("zone-1"), RegionName("region-1"), "rare"
    )
    chosen = SubsetSelector(SIZE).choose_all(entries, [*upstreams, rare])
    assert all(rare.process in subset for subset in chosen.values())


@given(
    entries=st.integers(1, 12),
    upstreams=st.integers(0, 60),
    size=st.integers(1, 20),
    regions=st.integers(1, 3),
)
@settings(max_examples=60)
def test_any_fleet_is_covered(
    entries: int, upstreams: int, size: int, regions: int
) -> None:
    front, back = make_fleet(entries, upstreams, regions)
    selector = SubsetSelector(size)
    chosen = selector.choose_all(front, back)
    pools = {host.process: host.pool for host in back}
    for subset in chosen.values():
        # A pool that the region lacks is covered in another region.
        assert {pools[process] for process in subset} == set(pools.values())
    # Each entry computes the same assignment by itself, in any order of the list.
    alone = SubsetSelector(size).choose(front[0], front[::-1], back[::-1])
    assert alone == chosen[front[0].process]
