"""Send claims to entries on loopback and measure their latency and store calls."""

import asyncio
import json
import time
import uuid
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from result import Err

from bramleyport.bench._claim_fleet import ClaimNode, start_nodes, stop_nodes
from bramleyport.claims import (
    ClaimChange,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    digest_body,
    make_stored_answer,
)
from bramleyport.core import AttemptId
from bramleyport.standins import (
    LOOPBACK,
    ObjectApiStandin,
    read_port,
    serve_app,
    stop_listening,
)

# Delay of the store, and duration of a call of a fast plain service.
STORE_DELAY_S: Final = 0.003
CALL_DURATION_S: Final = 0.02
ANSWER_BYTES: Final = 200
RELEASED_FRACTION: Final = 0.05
WARM_UP_S: Final = 3.0
DRAIN_TIMEOUT_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Describe the measurements of one run."""

    entries: int
    claims_s: float
    forwards: bool
    done_s: float
    failed: int
    writes_s: float
    reads_s: float
    written_kb_s: float
    claim_p50_ms: float
    claim_p95_ms: float
    claim_max_ms: float
    # Used by the whole process, with all entries and the store.
    cores: float


class Driver:
    """Track the claims that it sends to random entries at a fixed mean rate."""

    def __init__(self, nodes: list[ClaimNode], rate: float, seed: int) -> None:
        self.latencies_s: list[float] = []
        self.failed = 0
        self._nodes = nodes
        self._rate = rate
        self._rng = Random(seed)
        self._calls: set[asyncio.Task[Any]] = set()

    async def run(self, run_s: float) -> None:
        """Send claims for some time, without waiting for earlier ones."""
        end_s = due_s = time.monotonic()
        end_s += run_s
        while (due_s := due_s + self._rng.expovariate(self._rate)) < end_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            call = asyncio.ensure_future(self._call(self._rng.choice(self._nodes)))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def finish(self) -> None:
        """Wait for running calls and cancel those that take too long."""
        if self._calls:
            _, unfinished = await asyncio.wait(self._calls, timeout=DRAIN_TIMEOUT_S)
            for call in unfinished:
                call.cancel()

    async def _call(self, node: ClaimNode) -> None:
        key, attempt = uuid.uuid4().hex, AttemptId(uuid.uuid4().hex)
        digest = digest_body("POST", "/postings", key.encode())
        started_s = time.monotonic()
        claim = ClaimRequest(
            key=key, body_digest=digest, attempt=attempt, answer_s=20.0
        )
        if isinstance(await node.claims.change(claim), Err):
            self.failed += 1
            return
        self.latencies_s.append(time.monotonic() - started_s)
        await asyncio.sleep(CALL_DURATION_S)
        change: ClaimChange = ClaimRelease(key=key, attempt=attempt)
        if self._rng.random() >= RELEASED_FRACTION:
            answer = make_stored_answer(201, {}, b"x" * ANSWER_BYTES)
            change = ClaimOutcome(key=key, attempt=attempt, answer=answer)
        self.failed += isinstance(await node.claims.change(change), Err)


async def measure(entries: int, rate: float, run_s: float, *, forwards: bool) -> Result:
    """Run one combination and return its measurements."""
    store = ObjectApiStandin()
    store.faults.delay_s = STORE_DELAY_S
    listening = await serve_app(store.app, 0)
    url = f"http://{LOOPBACK}:{read_port(listening)}"
    nodes = await start_nodes(entries, url, forwards=forwards)
    driver = Driver(nodes, rate, 1)
    await driver.run(WARM_UP_S)
    driver.latencies_s.clear()
    driver.failed = 0
    before, cpu_s, started_s = (
        store.store.calls.copy(),
        time.process_time(),
        time.time(),
    )
    first_revision = store.store.revision
    await driver.run(run_s)
    elapsed_s = time.time() - started_s
    calls = store.store.calls - before
    cores = (time.process_time() - cpu_s) / elapsed_s
    written = sum(
        len(json.dumps(value))
        for revision, _, value in store.store.history
        if revision > first_revision
    )
    await driver.finish()
    await stop_nodes(nodes)
    await stop_listening(listening)
    latencies = sorted(driver.latencies_s)
    return Result(
        entries=entries,
        claims_s=rate,
        forwards=forwards,
        done_s=round(len(latencies) / elapsed_s, 1),
        failed=driver.failed,
        writes_s=round(calls["put"] / elapsed_s, 1),
        reads_s=round(calls["get"] / elapsed_s, 1),
        written_kb_s=round(written / 1000 / elapsed_s, 0),
        claim_p50_ms=_get_quantile(latencies, 0.5),
        claim_p95_ms=_get_quantile(latencies, 0.95),
        claim_max_ms=_get_quantile(latencies, 1.0),
        cores=round(cores, 2),
    )


def _get_quantile(latencies: list[float], quantile: float) -> float:
    if not latencies:
        return float("nan")
    return round(
        latencies[min(len(latencies) - 1, int(len(latencies) * quantile))] * 1000,
        1,
    )
