"""Measure the costs per request, connection, upstream, record and claim."""

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

import click

from bramleyport.bench._capacity_setup import (
    make_blocks,
    make_claims,
    make_documents,
    make_index,
    make_views,
    make_work,
    measure_request_cpu,
    open_idle_connections,
)
from bramleyport.bench._fit import Line, Point, fit_line
from bramleyport.claims import ClaimIndex, Segment, read_segment, write_segment
from bramleyport.core import AccountId, AttemptId, Revision
from bramleyport.replication import RecordStore, Snapshot
from bramleyport.wire import Frame, decode, encode

REPEATS: Final = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Describe one measured slope, its unit and its points."""

    name: str
    unit: str
    points: Sequence[Point]
    line: Line


Measure = Callable[[float], Awaitable[float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """Describe one measurement and the sizes at which it is made."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Measure


SUBJECTS: Final[list[Subject]] = []


def subject(
    name: str, unit: str, sizes: tuple[int, ...]
) -> Callable[[Measure], Measure]:
    """Return a decorator that registers a measurement."""

    def add(measure: Measure) -> Measure:
        SUBJECTS.append(Subject(name=name, unit=unit, sizes=sizes, measure=measure))
        return measure

    return add


def measure_cpu_time(work: Callable[[], object]) -> float:
    """Return the shortest processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that an object and all it refers to take up."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return float(size)


@subject("frame encoded and decoded", "s of CPU per frame", (1000, 2000, 4000))
async def measure_frames(size: float) -> float:
    """Measure the codec on frames of one token."""
    frame = Frame(attempt=AttemptId("a" * 32), number=1, payload=b"token ")
    return measure_cpu_time(lambda: [decode(encode(frame)) for _ in range(int(size))])


@subject("upstream view with 100 cached blocks", "bytes", (50, 100, 200))
async def measure_views(size: float) -> float:
    """Measure the memory of upstream views."""
    return measure_memory(lambda: make_views(int(size), blocks=100))


@subject("cached block in a view", "bytes", (1000, 2000, 4000))
async def measure_blocks(size: float) -> float:
    """Measure the memory of the cached blocks of one engine."""
    return measure_memory(lambda: make_blocks(int(size)))


@subject("decision over the subset", "s of CPU per candidate", (12, 24, 48, 96))
async def measure_decision(size: float) -> float:
    """Measure admission and routing of one request by the number of candidates."""
    from bramleyport.admission import ADMISSION_POLICIES
    from bramleyport.estimate import ESTIMATORS
    from bramleyport.routing import ROUTING_POLICIES
    from bramleyport.settings import PolicySettings

    policies = PolicySettings()
    estimator = ESTIMATORS.create(policies.estimator)
    admission = ADMISSION_POLICIES.create(policies.admission, estimator)
    routing = ROUTING_POLICIES.create(policies.routing, estimator)
    views, rng, rounds = make_views(int(size), blocks=10), Random(1), 50

    def decide() -> None:
        for index in range(rounds):
            work = make_work(index)
            admission.admit(work, views, work.arrived_s)
            routing.choose(work, views, work.arrived_s, rng)

    return measure_cpu_time(decide) / rounds


@subject("record in force", "bytes", (10, 50, 200))
async def measure_record_memory(size: float) -> float:
    """Measure the memory of applied records."""
    return measure_memory(lambda: _apply_records(int(size)))


@subject("record parsed at a change", "s of CPU per record", (10, 50, 200))
async def measure_record_time(size: float) -> float:
    """Measure applying a snapshot of records."""
    return measure_cpu_time(lambda: _apply_records(int(size)))


@subject("claim in a log segment", "bytes of the segment object", (100, 300, 900))
async def measure_claim_bytes(size: float) -> float:
    """Measure the stored size of claims."""
    segment = Segment(entries=make_claims(int(size)))
    return float(len(json.dumps(write_segment(segment))))


@subject("claim carried in an append", "s of CPU per claim held", (100, 300, 900))
async def measure_claim_time(size: float) -> float:
    """Measure writing the document of a segment with many claims."""
    segment = Segment(entries=make_claims(int(size)))
    return measure_cpu_time(lambda: json.dumps(write_segment(segment)))


@subject("claim in the index", "bytes of memory", (5_000, 10_000, 20_000))
async def measure_claim_memory(size: float) -> float:
    """Measure the memory of the index of a log."""
    return measure_memory(lambda: make_index(int(size)))


@subject("claim read at a rebuild", "s of CPU", (100, 300, 900))
async def measure_claim_rebuild(size: float) -> float:
    """Measure reading a segment into the index."""
    claims = make_claims(int(size))
    text = json.dumps(write_segment(Segment(entries=claims)))

    def rebuild() -> None:
        index = ClaimIndex()
        for entry in read_segment(json.loads(text)).entries:
            index.apply(entry, 0, 0.0)

    return measure_cpu_time(rebuild)


@subject("account known to the metrics", "bytes", (100, 1000, 10_000))
async def measure_accounts(size: float) -> float:
    """Measure the memory that accounts take in the metric labels."""
    from bramleyport.telemetry import BoundedLabels

    def build() -> object:
        labels = BoundedLabels()
        for index in range(int(size)):
            labels.choose(AccountId(f"account-{index}"))
        return labels

    return measure_memory(build)


@subject("idle connection", "bytes, both ends", (10, 20, 40))
async def measure_connection_memory(size: float) -> float:
    """Measure the memory of idle connections."""
    gc.collect()
    tracemalloc.start()
    try:
        async with open_idle_connections(int(size)):
            gc.collect()
            total_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return float(total_bytes)


@subject("idle connection, heartbeats", "cores, both ends", (10, 20, 40))
async def measure_connection_time(size: float) -> float:
    """Measure the processor time of idle connections."""
    async with open_idle_connections(int(size)):
        started, cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(4.0)
        return (time.process_time() - cpu) / (time.monotonic() - started)


@subject("request of 8 tokens", "s of CPU, whole path", (20, 40, 80))
async def measure_requests(size: float) -> float:
    """Measure requests through entry, agent and simulated engine in one process."""
    return await measure_request_cpu(int(size), tokens=8)


@subject("generated token", "s of CPU, whole path", (200, 800, 1600))
async def measure_tokens(size: float) -> float:
    """Measure tokens through entry, agent and simulated engine in one process."""
    return await measure_request_cpu(10, tokens=int(size) // 10)


def _apply_records(count: int) -> RecordStore:
    store = RecordStore()
    store.update_from_snapshot(
        Snapshot(revision=Revision(1), documents=make_documents(count))
    )
    return store


async def measure_slopes(only: str | None) -> list[Slope]:
    """Measure all subjects, or those whose name contains a text."""
    slopes = []
    for item in SUBJECTS:
        if only is not None and only not in item.name:
            continue
        points = [
            Point(size=size, value=await item.measure(size)) for size in item.sizes
        ]
        slopes.append(
            Slope(name=item.name, unit=item.unit, points=points, line=fit_line(points))
        )
    return slopes


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--only", help="Measure the subjects whose name contains this text.")
def capacity(as_json: bool, only: str | None) -> None:
    """Measure the cost slopes that the capacity page rests on."""
    from bramleyport.cli._output import show_table
    from bramleyport.cli._runtime import install_reactor
    from bramleyport.telemetry import configure_logging

    install_reactor()
    configure_logging(json_lines=False, level="ERROR", process="bench")
    slopes = asyncio.get_event_loop().run_until_complete(measure_slopes(only))
    if as_json:
        click.echo(json.dumps([_to_dict(slope) for slope in slopes], indent=2))
        return
    rows = [
        (
            slope.name,
            f"{slope.line.slope:.3g}",
            slope.unit,
            f"{slope.line.intercept:.3g}",
            f"{slope.line.error:.1%}",
            " ".join(f"{p.size:g}:{p.value:.3g}" for p in slope.points),
        )
        for slope in slopes
    ]
    show_table(("SUBJECT", "SLOPE", "UNIT", "BASE", "ERROR", "POINTS"), rows)


def _to_dict(slope: Slope) -> dict[str, Any]:
    return {
        "name": slope.name,
        "unit": slope.unit,
        "slope": slope.line.slope,
        "base": slope.line.intercept,
        "error": slope.line.error,
        "points": [[point.size, point.value] for point in slope.points],
    }
