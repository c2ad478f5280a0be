"""Workers that leave without a word, while the store cuts off waiting watches."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab3.case import Record, run  # noqa: E402
from lab3.config import APP  # noqa: E402
from lab3.fleet import Fleet  # noqa: E402
from lab3.worker import Worker, answer_plain  # noqa: E402

DRAIN_S = 2.0
WORKERS = 4
REQUESTS_PER_S = 60.0
PLAYED_S = 90.0
# A worker leaves, and the store cuts off the watches, at times that don't depend on
# each other.
LEAVE_EVERY_S = 1.6
CUT_EVERY_S = 2.0
# A worker serves for so long after its entry was removed.
SERVES_ON_S = 6.0


async def check(record: Record, trouble: bool) -> bool:
    """Return whether a request reached a worker too late after it was gone."""
    fleet = Fleet(record)
    removed: dict[str, float] = {}

    async def send_all() -> None:
        while True:
            fleet.send(fleet.gateways[0], "/read/x", method="GET", deadline_ms=1000)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def cut_watches() -> None:
        while True:
            await asyncio.sleep(CUT_EVERY_S * random.uniform(0.7, 1.3))
            record.add(f"the store cuts off {fleet.store.cut_watches()} waiting watches")

    async def replace_all(serving: list[Worker]) -> None:
        while True:
            await asyncio.sleep(LEAVE_EVERY_S * random.uniform(0.7, 1.3))
            serving.append(await fleet.add_worker(APP, answer_plain))
            leaver = serving.pop(0)
            fleet.store.delete("servers", leaver.id)
            removed[leaver.id] = time.monotonic()
            record.add(f"the entry of worker {leaver.id} is removed, acknowledged")
            fleet.spawn(end(leaver))

    async def end(worker: Worker) -> None:
        await asyncio.sleep(SERVES_ON_S)
        await worker.close()

    try:
        await fleet.start(1)
        serving = [await fleet.add_worker(APP, answer_plain) for _ in range(WORKERS)]
        await asyncio.sleep(1.0)
        jobs = [send_all(), replace_all(serving)]
        # The machine is in touch by then.
        await asyncio.sleep(3.0)
        tasks = [fleet.spawn(job) for job in jobs]
        if trouble:
            tasks.append(fleet.spawn(cut_watches()))
        await asyncio.sleep(PLAYED_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(2.0)
    finally:
        await fleet.stop()
    late = [
        (item, item.at_s - removed[item.worker])
        for item in fleet.arrivals
        if item.worker in removed and item.at_s > removed[item.worker] + DRAIN_S
    ]
    for item, after_s in late:
        record.add(f"request {item.name} reached {item.worker} {after_s:.3f} s after")
    record.say(f"{len(removed)} workers left, {len(fleet.arrivals)} requests arrived")
    record.say(f"ends of all requests: {fleet.count_outcomes()}")
    workers = len({item.worker for item, _ in late})
    longest_s = max((after_s for _, after_s in late), default=0.0)
    record.say(
        f"{len(late)} requests reached {workers} workers later than {DRAIN_S} s after"
        f" these were gone, the last one {longest_s:.3f} s after"
    )
    return bool(late)


run(check, FOLDER)
