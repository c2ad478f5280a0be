"""Run gateways, a store and workers, and record all that passes."""

import asyncio
import shutil
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from lab3.case import Record
from lab3.client import Outcome, make_id, send
from lab3.config import config
from lab3.gateway import Gateway, make_folder
from lab3.store import Store
from lab3.worker import Answer, Arrival, Worker


class Fleet:
    """Represent a small deployment on loopback."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.folder = make_folder()
        self.gateways: list[Gateway] = []
        self.workers: list[Worker] = []
        # The time at which each request was sent, and by way of which gateway.
        self.sent: dict[str, tuple[float, Gateway]] = {}
        self.outcomes: list[Outcome] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, gateways: int, **fields: Any) -> None:
        """Start the store and the gateways, and wait until these are ready."""
        await self.store.listen()
        self.store.put("config", "main", config(**fields))
        for number in range(gateways):
            self.gateways.append(
                Gateway(f"front-a-{number}", self.store.port, self.folder)
            )
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def add_worker(
        self, service: str, answer: Answer, *, stage: str = "", slots: int | None = None
    ) -> Worker:
        """Start a worker and register it."""
        worker = Worker(service, self.store, stage=stage)
        worker.answer = answer
        if slots is not None:
            worker.slots = slots
        await worker.listen()
        worker.register()
        self.workers.append(worker)
        self.record.add(f"worker {worker.id} of {service} registers")
        return worker

    def send(self, gateway: Gateway, path: str, **options: Any) -> None:
        """Send a request without waiting for its answer."""
        self.spawn(self._send(gateway, path, options))

    async def _send(
        self, gateway: Gateway, path: str, options: dict[str, Any]
    ) -> None:
        name = make_id()
        self.sent[name] = (time.monotonic(), gateway)
        self.record.add(f"request {name} {path} sent to {gateway.name}")
        outcome = await send(gateway.port, path, request_id=name, **options)
        self.outcomes.append(outcome)
        self.record.add(f"request {name} got {outcome.status}, {outcome.end}")

    def spawn(self, job: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a job beside the case."""
        task = asyncio.ensure_future(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def arrivals(self) -> list[Arrival]:
        """Return all requests that reached workers, in the order of time."""
        found = [item for worker in self.workers for item in worker.arrivals]
        return sorted(found, key=lambda item: item.at_s)

    def count_outcomes(self) -> dict[str, int]:
        """Return how many requests had which end."""
        counts = Counter(f"{item.status} {item.end}" for item in self.outcomes)
        return dict(counts)

    async def stop(self) -> None:
        """End all processes and channels, and record the arrivals."""
        for task in list(self._tasks):
            task.cancel()
        for gateway in self.gateways:
            gateway.stop()
        for server in (*self.workers, self.store):
            await server.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        for item in self.arrivals:
            ran = "runs" if item.ran else "is turned away"
            self.record.add(f"request {item.name} reaches {item.worker}, {ran}", item.at_s)
        self.record.add(f"ends: {self.count_outcomes()}")
