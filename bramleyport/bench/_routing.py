"""Measure the time of routing decisions, and the balance and stability of subsets.

Run with `python -m bramleyport.bench._routing`; prints one JSON document.
"""

import gc
import json
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, Final

from bramleyport.core import (
    AccountId,
    EngineLoad,
    ModelName,
    PrefixBlock,
    ProcessId,
    Rank,
    RegionName,
    RequestId,
    ServiceKind,
    ServiceName,
    Targets,
    UpstreamId,
    UpstreamView,
    Work,
    ZoneName,
)
from bramleyport.estimate import ESTIMATORS
from bramleyport.retries import UPSTREAM_GUARDS
from bramleyport.routing import (
    ROUTING_POLICIES,
    Place,
    SubsetHost,
    SubsetSelector,
    is_eligible,
)

SEED: Final = 7
FLEET_SIZES: Final = (12, 120, 1200)
SUBSET_SIZE: Final = 12
DECISIONS_PER_ROUND: Final = 300
ROUNDS: Final = 25
PREFIXES: Final = 200
BLOCKS_PER_PREFIX: Final = 8
MODEL: Final = ModelName("model")
REGION: Final = RegionName("region-0")
PLACE: Final = Place(zone=ZoneName("zone-0"), region=REGION)
TARGETS: Final = Targets(first_token_s=0.61, between_tokens_s=0.057, answer_s=20.0)

Subsets = Mapping[ProcessId, frozenset[ProcessId]]


def make_views(count: int, rng: Random) -> list[UpstreamView]:
    """Return upstreams with random loads and caches."""
    views = []
    for index in range(count):
        view = UpstreamView(
            upstream=UpstreamId(f"engine-{index}"),
            kind=ServiceKind.LANGUAGE,
            zone=ZoneName(f"zone-{index % 3}"),
            region=REGION,
            models=frozenset({MODEL}),
            kv_address=f"engine-{index}",
            kv_bytes_per_token=131_072.0,
            load=EngineLoad(
                running=rng.randrange(32), wait_s={Rank.URGENT: rng.random() / 5}
            ),
        )
        for prefix in range(PREFIXES):
            if rng.random() < 0.1:
                view.cached.blocks.update(_make_blocks(prefix))
        views.append(view)
    return views


def make_work(index: int, rng: Random) -> Work:
    """Return a request with one of the common prefixes."""
    return Work(
        request=RequestId(f"request-{index}"),
        account=AccountId("account"),
        service=ServiceName("service"),
        kind=ServiceKind.LANGUAGE,
        rank=Rank.URGENT,
        targets=TARGETS,
        arrived_s=0.0,
        model=MODEL,
        prompt_tokens=BLOCKS_PER_PREFIX * 1000 + 200,
        max_output_tokens=100,
        prefix_blocks=_make_blocks(rng.randrange(PREFIXES)),
    )


def make_decision_timer(
    policy: str, guard: str, views: Sequence[UpstreamView], *, filters: bool = True
) -> Callable[[], float]:
    """Return a function that returns the seconds of one decision."""
    rng = Random(SEED)
    routing = ROUTING_POLICIES.create(policy, ESTIMATORS.create("declared"), PLACE)
    screen = UPSTREAM_GUARDS.create(guard)
    for view in views:
        screen.start(view.upstream)
    works = [make_work(index, rng) for index in range(DECISIONS_PER_ROUND)]

    def measure() -> float:
        started_s = time.perf_counter()
        for work in works:
            chosen = views
            if filters:
                eligible = [view for view in views if is_eligible(work, view)]
                chosen = screen.screen(eligible, 0.0).views
            routing.choose(work, chosen, 0.0, rng)
        return (time.perf_counter() - started_s) / DECISIONS_PER_ROUND

    return measure


def measure_decisions() -> list[dict[str, float]]:
    """Return the microseconds of decisions in fleets of each size."""
    rows: list[dict[str, float]] = []
    timers: list[dict[str, Callable[[], float]]] = []
    for count in FLEET_SIZES:
        rng = Random(SEED)
        views = make_views(count, rng)
        # An entry has views of the upstreams in its subset only.
        subset = views[:SUBSET_SIZE]
        rows.append({"upstreams": count, "subset": SUBSET_SIZE})
        timers.append(
            {
                "baseline_us": make_decision_timer("least_loaded", "none", subset),
                "affinity_us": make_decision_timer("affinity", "adaptive", subset),
                "all_baseline_us": make_decision_timer(
                    "least_loaded", "none", views, filters=False
                ),
                "all_affinity_us": make_decision_timer(
                    "affinity", "none", views, filters=False
                ),
            }
        )
    gc.collect()
    best: dict[tuple[int, str], float] = {}
    # Rounds alternate, and the fastest counts: other processes disturbed it least.
    for _ in range(ROUNDS):
        for index, row in enumerate(timers):
            for name, measure in row.items():
                elapsed_s = measure()
                best[index, name] = min(elapsed_s, best.get((index, name), elapsed_s))
    for (index, name), elapsed_s in best.items():
        rows[index][name] = round(elapsed_s * 1e6, 1)
    return rows


def make_fleet(
    entries: int, upstreams: int, regions: int
) -> tuple[list[SubsetHost], list[SubsetHost]]:
    """Return the hosts of a fleet with 10 pools over 7 zones."""

    def make(kind: str, index: int, pool: str) -> SubsetHost:
        zone = index % 7
        return SubsetHost(
            ProcessId(f"{kind}-{index}"),
            ZoneName(f"zone-{zone}"),
            RegionName(f"region-{zone % regions}"),
            pool,
        )

    return (
        [make("entry", index, "") for index in range(entries)],
        [make("agent", index, f"pool-{index // 7 % 10}") for index in range(upstreams)],
    )


def measure_subsets(entries: int, upstreams: int, regions: int) -> dict[str, Any]:
    """Return sizes, balance, changed connections and times of a fleet's subsets."""
    entry_hosts, upstream_hosts = make_fleet(entries, upstreams, regions)
    selector = SubsetSelector()
    started_s = time.perf_counter()
    selector.choose(entry_hosts[0], entry_hosts, upstream_hosts)
    cold_s = time.perf_counter() - started_s
    before = selector.choose_all(entry_hosts, upstream_hosts)
    started_s = time.perf_counter()
    selector.choose(entry_hosts[0], entry_hosts, upstream_hosts[1:])
    upstream_lost_s = time.perf_counter() - started_s
    no_upstream = selector.choose_all(entry_hosts, upstream_hosts[1:])
    started_s = time.perf_counter()
    selector.choose(entry_hosts[0], entry_hosts[:-1], upstream_hosts)
    entry_lost_s = time.perf_counter() - started_s
    no_entry = selector.choose_all(entry_hosts[:-1], upstream_hosts)
    sizes = [len(chosen) for chosen in before.values()]
    coverage = Counter(item for chosen in before.values() for item in chosen)
    covered = [coverage[host.process] for host in upstream_hosts]
    return {
        "entries": entries,
        "upstreams": upstreams,
        "regions": regions,
        "connections": sum(sizes),
        "subset_min": min(sizes),
        "subset_max": max(sizes),
        "coverage_min": min(covered),
        "coverage_max": max(covered),
        "moved_by_upstream_loss": count_new_connections(before, no_upstream),
        "ideal_by_upstream_loss": coverage[upstream_hosts[0].process],
        "moved_by_entry_loss": count_new_connections(before, no_entry),
        "ideal_by_entry_loss": len(before[entry_hosts[-1].process]),
        "cold_ms": round(cold_s * 1e3, 1),
        "upstream_lost_ms": round(upstream_lost_s * 1e3, 1),
        "entry_lost_ms": round(entry_lost_s * 1e3, 1),
    }


def count_new_connections(before: Subsets, after: Subsets) -> int:
    """Return how many new connections the remaining entries open."""
    return sum(len(chosen - before[entry]) for entry, chosen in after.items())


def run() -> dict[str, Any]:
    """Return all measured figures."""
    decisions = measure_decisions()
    times = [row["affinity_us"] for row in decisions]
    return {
        "decisions": decisions,
        "affinity_max_over_min": round(max(times) / min(times), 3),
        "subsets": [
            measure_subsets(380, 2100, 3),
            measure_subsets(380, 2100, 1),
            measure_subsets(95, 525, 1),
        ],
    }


def _make_blocks(prefix: int) -> tuple[PrefixBlock, ...]:
    return tuple(
        PrefixBlock(prefix.to_bytes(4, "big") + block.to_bytes(4, "big"))
        for block in range(BLOCKS_PER_PREFIX)
    )


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
