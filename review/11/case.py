"""A part that crashes workers, behind thirty-four others of a long prompt."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab3.case import Record, run  # noqa: E402
from lab3.config import LLM  # noqa: E402
from lab3.fleet import Fleet  # noqa: E402
from lab3.worker import Arrival, Worker, chunk, event, stream_head  # noqa: E402

STABLE_S = 3.0
GATEWAYS, WORKERS = 2, 9
# Parts that all prompts of the session share; 13,600 tokens together.
SHARED = [f"{0xA0000 + number:x}:400" for number in range(34)]
DEADLY = "dead01"
SOUND_PER_S, DEADLY_PER_S = 10.0, 1.0
CALM_S, PLAYED_S = 5.0, 30.0
BACK_S = 3.0
EVENTS = 6


def make_headers(parts: list[str]) -> dict[str, str]:
    """Return the headers of a prompt, whose last part is its own."""
    parts = [*parts, f"{random.getrandbits(40):x}:90"]
    tokens = sum(int(part.partition(":")[2]) for part in parts)
    return {
        "Model": "m",
        "Token-Counts": f"{tokens},{EVENTS}",
        "Prompt-Prefix": ",".join(parts),
    }


def is_deadly(arrival: Arrival) -> bool:
    """Return whether a prompt holds the part that crashes workers."""
    return DEADLY in arrival.request.headers.get("prompt-prefix", "")


async def check(record: Record, trouble: bool) -> bool:
    """Return whether too many requests with the part reached workers."""
    fleet = Fleet(record)
    crashes: list[float] = []

    async def answer(worker: Worker, item: Arrival, writer: asyncio.StreamWriter) -> None:
        item.ran = True
        await asyncio.sleep(0.03)
        writer.write(stream_head(worker, item))
        await writer.drain()
        if trouble and is_deadly(item):
            crashes.append(time.monotonic())
            record.add(f"worker {worker.id} crashes on request {item.name}")
            fleet.spawn(restart(worker))
            raise ConnectionError
        first = int(item.request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            writer.write(chunk(event(number, worker)))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    async def restart(worker: Worker) -> None:
        await worker.close()
        await asyncio.sleep(BACK_S)
        fleet.store.delete("servers", worker.id)
        await fleet.add_worker(LLM, answer, stage="decode")

    async def send_all(per_s: float, parts: list[str]) -> None:
        while True:
            fleet.send(
                random.choice(fleet.gateways),
                "/note/x",
                body=f"question {random.getrandbits(40):x}".encode(),
                deadline_ms=4000,
                headers=make_headers(parts),
            )
            await asyncio.sleep(1 / per_s)

    try:
        await fleet.start(GATEWAYS)
        for _ in range(WORKERS):
            await fleet.add_worker(LLM, answer, stage="decode")
        await asyncio.sleep(2.0)
        sound = fleet.spawn(send_all(SOUND_PER_S, SHARED))
        await asyncio.sleep(CALM_S)
        deadly = fleet.spawn(send_all(DEADLY_PER_S, [*SHARED, f"{DEADLY}:400"]))
        await asyncio.sleep(PLAYED_S)
        sound.cancel()
        deadly.cancel()
        await asyncio.sleep(4.0)
    finally:
        await fleet.stop()
    reached = [item.at_s for item in fleet.arrivals if is_deadly(item)]
    record.say(f"{len(crashes)} crashes, {len(reached)} requests with the part reached workers")
    record.say(f"ends of all requests: {fleet.count_outcomes()}")
    if len(crashes) < 5:
        return False
    late = sum(at_s > sorted(crashes)[4] + STABLE_S for at_s in reached)
    record.say(f"{late} of them later than {STABLE_S} s after the fifth crash (bound 3)")
    return late > 3


run(check, FOLDER)
