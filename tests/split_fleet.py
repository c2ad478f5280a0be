"""A fleet of three engines whose requests are prefilled and decoded apart."""

import asyncio
import json
from collections.abc import Sequence
from random import Random
from typing import Any

from bramleyport.composition import build_agent, build_entry
from bramleyport.core import Explanation, UpstreamView, Work
from bramleyport.routing import Route
from bramleyport.settings import (
    AgentSettings,
    EntrySettings,
    TransferSettings,
)
from bramleyport.standins import (
    LOOPBACK,
    EngineProfile,
    EngineStandin,
)
from tests.http_client import Answer, fetch
from tests.loopback import LoopbackFleet

MODEL = "inspector-8b"
TOKENS = 12
# Three blocks of 1000 tokens.
PROMPT = "helmet " * 2000
TARGETS = {"between_tokens_s": 1.0, "answer_s": 40.0}
RECORD = {
    "name": "inspections",
    "model": {"name": MODEL, "versions": ["1"], "adapters": []},
    "ranks": {
        "urgent": {**TARGETS, "first_token_s": 4.0},
        "standard": {**TARGETS, "first_token_s": 15.0},
    },
}


class SplitRouting:
    """Prefill on the first eligible engine and decode on the second."""

    def choose(
        self, work: Work, views: Sequence[UpstreamView], now_s: float, rng: Random
    ) -> Route | None:
        names = sorted(view.upstream for view in views)
        if not names:
            return None
        return Route(
            upstream=names[0],
            decode_upstream=names[1] if len(names) > 1 else None,
            explanation=Explanation(reason="test"),
        )


class SplitFleet(LoopbackFleet):
    def __init__(self, *, force_split: bool = True, exporting_engines: int = 3) -> None:
        super().__init__()
        profile = EngineProfile(prefill_tokens_per_s=80_000.0)
        self.engines = [
            EngineStandin((MODEL,), profile, checks_fencing=True) for _ in range(3)
        ]
        self.entry: Any = None
        self.stopped_agents: list[Any] = []
        self._force_split = force_split
        self._exporting_engines = exporting_engines
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self.store.store.put("services", "inspections", {"spec": RECORD})
        await self.serve_store()
        for index, engine in enumerate(self.engines):
            self._tasks.append(asyncio.ensure_future(engine.run()))
            url = await self.serve(engine.app)
            if index < self._exporting_engines:
                engine.kv_address = url
            settings = AgentSettings(
                process=self.make_process(f"agent-{index}"),
                upstream=f"engine-{index}",
                upstream_url=url,
                load_interval_s=0.2,
                drain_timeout_s=20.0,
            )
            agent = build_agent(settings)
            await agent.start()
            self.agents.append(agent)
        self.write_host_list()
        settings = EntrySettings(
            process=self.make_process("entry-0"),
            http_port=0,
            kv_transfer=TransferSettings(bytes_per_s=1e12, overhead_s=0.001),
        )
        self.entry = build_entry(settings, 1)
        if self._force_split:
            self.entry._dispatcher._routing = SplitRouting()
        await self.entry.start()
        await wait_until(lambda: len(self.entry.list_upstreams()) == 3)

    async def stop(self) -> None:
        await self.entry.stop()
        for agent in self.agents:
            if agent not in self.stopped_agents:
                await agent.stop()
        for task in self._tasks:
            task.cancel()
        await self.stop_serving()

    async def kill(self, index: int) -> None:
        """Stop an agent abruptly: no messages, connections reset, work cancelled."""
        agent = self.agents[index]
        self.stopped_agents.append(agent)
        for task in agent._tasks:
            task.cancel()
        agent._server.close(close_connections=False)
        for connection in list(agent._connections):
            connection._socket.transport.abort()
        for attempt in agent._attempts.values():
            if attempt.task is not None:
                attempt.task.cancel()
        await agent._hub.close()

    async def complete(self, rank: str = "standard", **fields: Any) -> Answer:
        body = {"model": "inspections", "prompt": PROMPT, "max_tokens": TOKENS}
        url = f"http://{LOOPBACK}:{self.entry.port}/v1/completions"
        data = json.dumps({**body, **fields}).encode()
        return await fetch(url, "POST", {"X-Rank": rank}, data)

    def count(self, name: str, **labels: str) -> float:
        """Return the value of one of the entry's counters."""
        return float(getattr(self.entry._metrics, name).values.get(labels, 0))

    def count_imports(self, index: int, result: str) -> float:
        """Return how many imports of one agent had the given result."""
        counter = self.agents[index]._scheduler._metrics.imports
        return float(counter.values.get({"result": result}, 0))

    def release_exports(self, index: int) -> None:
        engine = self.engines[index]
        engine.faults.hold_export = False
        for stream in engine._streams.values():
            stream.notify()

    def is_idle(self, index: int) -> bool:
        """Return whether an engine and its agent have no request left."""
        model, agent = self.engines[index].model, self.agents[index]
        streams = self.engines[index]._streams.values()
        open_streams = [s for s in streams if not (s.finished or s.cancelled)]
        return not (model.running or model.waiting or agent._running or open_streams)


async def wait_until(condition: Any) -> None:
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.01)
