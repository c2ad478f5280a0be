"""Balanced subsets of the upstreams for each entry.

Each entry computes its own subset from the host list alone, without coordination. The
upstreams of its region are divided into cells, one per pool and zone. In each cell an
entry has a quota and an upstream has a limit; pairs are accepted in the order of their
rendezvous hashes while both have room. A host that joins or leaves changes only the
pairs of its own cell, and few of them.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from operator import attrgetter
from typing import Final

from bramleyport.core import ProcessId, RegionName, ZoneName

MASK_64: Final = (1 << 64) - 1
# Multipliers of the splitmix64 finaliser.
MULTIPLIER_1: Final = 0xBF58476D1CE4E5B9
MULTIPLIER_2: Final = 0x94D049BB133111EB
# Each connection costs an entry about 130 bytes of control traffic per second.
DEFAULT_SUBSET: Final = 48
MIN_PER_POOL: Final = 4
LIMIT_STEPS_PER_MEAN: Final = 5


@dataclass(frozen=True, slots=True)
class SubsetHost:
    """Describe a process as far as subset selection needs it."""

    process: ProcessId
    zone: ZoneName
    region: RegionName
    pool: str = ""


Cell = tuple[str, ZoneName]
Pairs = Mapping[ProcessId, tuple[ProcessId, ...]]
Chosen = Mapping[ProcessId, Sequence[ProcessId]]


class SubsetSelector:
    """Choose the upstreams of every entry, with a cache of computed cells."""

    def __init__(self, size: int = DEFAULT_SUBSET) -> None:
        self.size = size
        self._regions: dict[RegionName, tuple[object, Chosen]] = {}
        self._cells: dict[tuple[RegionName, Cell], tuple[object, Pairs]] = {}

    def choose(
        self,
        entry: SubsetHost,
        entries: Iterable[SubsetHost],
        upstreams: Iterable[SubsetHost],
    ) -> frozenset[ProcessId]:
        """Return the upstreams that one entry connects to."""
        known = list(upstreams)
        if len(known) <= self.size:
            return frozenset(host.process for host in known)
        peers = {host.process for host in entries if host.region == entry.region}
        peers.add(entry.process)
        known.sort(key=attrgetter("process"))
        inputs = (sorted(peers), known)
        cached = self._regions.get(entry.region)
        if cached is None or cached[0] != inputs:
            chosen = self._assign_region(entry.region, *inputs)
            cached = self._regions[entry.region] = (inputs, chosen)
        return frozenset(cached[1].get(entry.process, ()))

    def choose_all(
        self, entries: Sequence[SubsetHost], upstreams: Sequence[SubsetHost]
    ) -> dict[ProcessId, frozenset[ProcessId]]:
        """Return the upstreams of each entry."""
        return {
            entry.process: self.choose(entry, entries, upstreams) for entry in entries
        }

    def _assign_region(
        self,
        region: RegionName,
        entries: list[ProcessId],
        upstreams: Sequence[SubsetHost],
    ) -> Chosen:
        pools = _group_pools(region, upstreams)
        total = sum(len(hosts) for hosts in pools.values())
        chosen: dict[ProcessId, list[ProcessId]] = defaultdict(list)
        for pool in sorted(pools):
            hosts = pools[pool]
            share = round(self.size * len(hosts) / total)
            quota = min(len(hosts), max(MIN_PER_POOL, share))
            for zone, counts, members in _divide_zones(pool, entries, hosts, quota):
                pairs = self._assign_cell(region, (pool, zone), counts, members)
                for entry, selected in pairs.items():
                    chosen[entry].extend(selected)
        return chosen

    def _assign_cell(
        self,
        region: RegionName,
        cell: Cell,
        quotas: tuple[tuple[ProcessId, int], ...],
        members: tuple[ProcessId, ...],
    ) -> Pairs:
        inputs = (quotas, members)
        known = self._cells.get((region, cell))
        if known is not None and known[0] == inputs:
            return known[1]
        pairs = assign_pairs(dict(quotas), members)
        self._cells[region, cell] = (inputs, pairs)
        return pairs


def assign_pairs(
    quotas: Mapping[ProcessId, int], members: Sequence[ProcessId]
) -> Pairs:
    """Assign each entry its quota of members and each member an even load."""
    wanted = {entry: min(quota, len(members)) for entry, quota in quotas.items()}
    chosen: dict[ProcessId, set[ProcessId]] = {entry: set() for entry in wanted}
    loads = dict.fromkeys(members, 0)
    ordered = _order_pairs(list(wanted), members)
    # The last pass has no limit, as an entry may already have all members with room.
    for limit in (*_list_limits(wanted, members), len(wanted)):
        remaining = []
        for pair in ordered:
            _, entry, member = pair
            if len(chosen[entry]) >= wanted[entry]:
                continue
            if loads[member] >= limit:
                remaining.append(pair)
                continue
            chosen[entry].add(member)
            loads[member] += 1
        ordered = remaining
    return {entry: tuple(sorted(selected)) for entry, selected in chosen.items()}


def _list_limits(
    wanted: Mapping[ProcessId, int], members: Sequence[ProcessId]
) -> tuple[int, int, int]:
    mean = sum(wanted.values()) / max(1, len(members))
    # Limits equal to the mean would change with almost every host that joins or leaves,
    # and change twice as many pairs as limits in steps of about a fifth of the mean.
    step = max(1, round(mean / LIMIT_STEPS_PER_MEAN))
    low = int(mean / step) * step
    return low, low + step, low + 2 * step


def _order_pairs(
    entries: Sequence[ProcessId], members: Sequence[ProcessId]
) -> list[tuple[int, ProcessId, ProcessId]]:
    seeds = [(_digest(entry), entry) for entry in entries]
    pairs = []
    for member in members:
        seed = _digest(member)
        for other, entry in seeds:
            mixed = ((seed ^ other) * MULTIPLIER_1) & MASK_64
            mixed = ((mixed ^ (mixed >> 31)) * MULTIPLIER_2) & MASK_64
            pairs.append((mixed, entry, member))
    pairs.sort()
    return pairs


@lru_cache(maxsize=8192)
def _digest(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def _group_pools(
    region: RegionName, upstreams: Iterable[SubsetHost]
) -> dict[str, list[SubsetHost]]:
    """Group the upstreams of a region by pool.

    A pool without upstreams in the region keeps those of all regions.
    """
    all_regions: dict[str, list[SubsetHost]] = defaultdict(list)
    local: dict[str, list[SubsetHost]] = defaultdict(list)
    for host in upstreams:
        all_regions[host.pool].append(host)
        if host.region == region:
            local[host.pool].append(host)
    return {pool: local.get(pool) or hosts for pool, hosts in all_regions.items()}


def _divide_zones(
    pool: str, entries: Sequence[ProcessId], hosts: Sequence[SubsetHost], quota: int
) -> list[tuple[ZoneName, tuple[tuple[ProcessId, int], ...], tuple[ProcessId, ...]]]:
    """Divide each entry's quota over the zones in proportion to their hosts.

    Fractions are rounded by a value between 0 and 1 from the hashes of the entry and
    the pool. Over all entries each zone then gets its exact proportion, and no entry
    lacks the same zone in every pool.
    """
    offset = _digest(f"pool {pool}")
    zones: dict[ZoneName, list[ProcessId]] = defaultdict(list)
    for host in hosts:
        zones[host.zone].append(host.process)
    start = 0
    divided = []
    for zone in sorted(zones):
        members = tuple(sorted(zones[zone]))
        end = start + len(members)
        counts = []
        for entry in entries:
            rounding = ((_digest(entry) + offset) & MASK_64) / (MASK_64 + 1)
            until = int(quota * end / len(hosts) + rounding)
            count = until - int(quota * start / len(hosts) + rounding)
            counts.append((entry, min(count, len(members))))
        divided.append((zone, tuple(counts), members))
        start = end
    return divided
