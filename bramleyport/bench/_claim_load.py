"""A driver that issues claims to entries on loopback and measures them."""

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

# A store that responds in milliseconds, and a plain service that answers at once.
STORE_DELAY_S: Final = 0.003
CALL_S: Final = 0.02
ANSWER_BYTES: Final = 200
RELEASED_SHARE: Final = 0.05
WARM_UP_S: Final = 3.0
DRAIN_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Hold the figures of one run."""

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
    # Share of the whole process, with all entries and the store.
    cores: float


class Driver:
    """Issue claims at a rate to random entries and record their outcomes."""

    def __init__(self, nodes: list[ClaimNode], rate: float, seed: int) -> None:
        self.latencies_s: list[float] = []
        self.failed = 0
        self._nodes = nodes
        self._rate = rate
        self._rng = Random(seed)
        self._calls: set[asyncio.Task[Any]] = set()

    async def run(self, run_s: float) -> None:
        """Issue claims for a time, without waiting for earlier ones."""
        until_s = due_s = time.monotonic()
        until_s += run_s
        while (due_s := due_s + self._rng.expovariate(self._rate)) < until_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            call = asyncio.ensure_future(self._call(self._rng.choice(self._nodes)))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def finish(self) -> None:
        """Wait for the calls under way, and drop those that a saturated run left."""
        if self._calls:
            _, late = await asyncio.wait(self._calls, timeout=DRAIN_S)
            for call in late:
                call.cancel()

    async def _call(self, node: ClaimNode) -> None:
        key, attempt = uuid.uuid4().hex, AttemptId(uuid.uuid4().hex)
        digest = digest_body("POST", "/postings", key.encode())
        began_s = time.monotonic()
        claim = ClaimRequest(
            key=key, body_digest=digest, attempt=attempt, answer_s=20.0
        )
        if isinstance(await node.claims.change(claim), Err):
            self.failed += 1
            return
        self.latencies_s.append(time.monotonic() - began_s)
        await asyncio.sleep(CALL_S)
        change: ClaimChange = ClaimRelease(key=key, attempt=attempt)
        if self._rng.random() >= RELEASED_SHARE:
            answer = make_stored_answer(201, {}, b"x" * ANSWER_BYTES)
            change = ClaimOutcome(key=key, attempt=attempt, answer=answer)
        self.failed += isinstance(await node.claims.change(change), Err)


async def measure(entries: int, rate: float, run_s: float, *, forwards: bool) -> Result:
    """Run one combination and return its figures."""
    store = ObjectApiStandin()
    store.faults.delay_s = STORE_DELAY_S
    listening = await serve_app(store.app, 0)
    url = f"http://{LOOPBACK}:{read_port(listening)}"
    nodes = await start_nodes(entries, url, forwards=forwards)
    driver = Driver(nodes, rate, 1)
    await driver.run(WARM_UP_S)
    driver.latencies_s.clear()
    driver.failed = 0
    before, cpu_s, began_s = store.store.calls.copy(), time.process_time(), time.time()
    first_revision = store.store.revision
    await driver.run(run_s)
    took_s = time.time() - began_s
    calls = store.store.calls - before
    cores = (time.process_time() - cpu_s) / took_s
    written = sum(
        len(json.dumps(value))
        for revision, _, value in store.store.history
        if revision > first_revision
    )
    await driver.finish()
    await stop_nodes(nodes)
    await stop_listening(listening)
    waits = sorted(driver.latencies_s)
    return Result(
        entries=entries,
        claims_s=rate,
        forwards=forwards,
        done_s=round(len(waits) / took_s, 1),
        failed=driver.failed,
        writes_s=round(calls["put"] / took_s, 1),
        reads_s=round(calls["get"] / took_s, 1),
        written_kb_s=round(written / 1000 / took_s, 0),
        claim_p50_ms=_pick(waits, 0.5),
        claim_p95_ms=_pick(waits, 0.95),
        claim_max_ms=_pick(waits, 1.0),
        cores=round(cores, 2),
    )


def _pick(waits: list[float], share: float) -> float:
    if not waits:
        return float("nan")
    return round(waits[min(len(waits) - 1, int(len(waits) * share))] * 1000, 1)
