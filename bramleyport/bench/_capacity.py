"""Measure what each request, connection, upstream, record and claim costs."""

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
    hold_connections,
    make_blocks,
    make_claims,
    make_documents,
    make_index,
    make_views,
    make_work,
    run_requests,
)
from bramleyport.bench._fit import Line, Point, fit_line
from bramleyport.claims import ClaimIndex, Segment, read_segment, write_segment
from bramleyport.core import AccountId, AttemptId, Revision
from bramleyport.replication import RecordStore, Snapshot
from bramleyport.wire import Frame, decode, encode

REPEATS: Final = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Hold one measured slope with its unit."""

    name: str
    unit: str
    points: Sequence[Point]
    line: Line


Measure = Callable[[float], Awaitable[float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """Describe what is measured, at which sizes."""

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


def time_cpu(work: Callable[[], object]) -> float:
    """Return the least processor time in seconds of several runs."""
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    try:
        held = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del held
    finally:
        tracemalloc.stop()
    return float(size)


@subject("frame encoded and decoded", "s of CPU per frame", (1000, 2000, 4000))
async def measure_frames(size: float) -> float:
    """Measure the codec on frames of one token."""
    frame = Frame(attempt=AttemptId("a" * 32), number=1, payload=b"token ")
    return time_cpu(lambda: [decode(encode(frame)) for _ in range(int(size))])


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

    return time_cpu(decide) / rounds


@subject("record in force", "bytes", (10, 50, 200))
async def measure_record_memory(size: float) -> float:
    """Measure the memory of records in force."""
    return measure_memory(lambda: _put_in_force(int(size)))


@subject("record parsed at a change", "s of CPU per record", (10, 50, 200))
async def measure_record_time(size: float) -> float:
    """Measure putting a snapshot into force."""
    return time_cpu(lambda: _put_in_force(int(size)))


@subject("claim in a log segment", "bytes of the segment object", (100, 300, 900))
async def measure_claim_bytes(size: float) -> float:
    """Measure the stored size of claims."""
    segment = Segment(entries=make_claims(int(size)))
    return float(len(json.dumps(write_segment(segment))))


@subject("claim carried in an append", "s of CPU per claim held", (100, 300, 900))
async def measure_claim_time(size: float) -> float:
    """Measure the document of a segment that holds many claims."""
    segment = Segment(entries=make_claims(int(size)))
    return time_cpu(lambda: json.dumps(write_segment(segment)))


@subject("claim in the index", "bytes of memory", (5_000, 10_000, 20_000))
async def measure_claim_memory(size: float) -> float:
    """Measure the memory of a log's index."""
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

    return time_cpu(rebuild)


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
        async with hold_connections(int(size)):
            gc.collect()
            held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return float(held)


@subject("idle connection, heartbeats", "cores, both ends", (10, 20, 40))
async def measure_connection_time(size: float) -> float:
    """Measure the processor time of idle connections."""
    async with hold_connections(int(size)):
        started, cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(4.0)
        return (time.process_time() - cpu) / (time.monotonic() - started)


@subject("request of 8 tokens", "s of CPU, whole path", (20, 40, 80))
async def measure_requests(size: float) -> float:
    """Measure requests through entry, agent and stand-in in one process."""
    return await run_requests(int(size), tokens=8)


@subject("generated token", "s of CPU, whole path", (200, 800, 1600))
async def measure_tokens(size: float) -> float:
    """Measure tokens through entry, agent and stand-in in one process."""
    return await run_requests(10, tokens=int(size) // 10)


def _put_in_force(count: int) -> RecordStore:
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
            f"{slope.line.base:.3g}",
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
        "base": slope.line.base,
        "error": slope.line.error,
        "points": [[point.size, point.value] for point in slope.points],
    }
