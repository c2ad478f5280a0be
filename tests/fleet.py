"""A fleet of stand-ins, agents and entries over real sockets."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bramleyport.authority import EngineChange, OrderObject, Progress, read_order
from bramleyport.composition import build_agent, build_entry
from bramleyport.core import EngineRole, Explanation, UpstreamId
from bramleyport.settings import AgentSettings, EntrySettings
from bramleyport.standins import (
    LOOPBACK,
    EngineProfile,
    EngineStandin,
)
from tests.loopback import LoopbackFleet

MODEL = "inspector-8b"
RANK = {"first_token_s": 5.0, "between_tokens_s": 1.0, "answer_s": 60.0}
RECORD = {
    "name": "inspections",
    "model": {"name": MODEL, "versions": ["1"], "adapters": []},
    "ranks": {"standard": RANK},
}


EXPLANATION = Explanation(reason="test", numbers={"need": 2.0})


@dataclass
class FixedPlan:
    changes: Mapping[UpstreamId, EngineChange]


@dataclass
class FixedPlanner:
    """Plan the roles that a test sets."""

    roles: dict[str, EngineRole] = field(default_factory=dict)

    def plan(self, pool: Any, now_s: float) -> FixedPlan:
        return FixedPlan(
            {
                UpstreamId(name): EngineChange(role=role, explanation=EXPLANATION)
                for name, role in self.roles.items()
            }
        )


class Fleet(LoopbackFleet):
    def __init__(
        self, *, checks_fencing: bool = True, engines: int = 1, subset_size: int = 48
    ) -> None:
        super().__init__()
        self.engines = [
            EngineStandin(
                (MODEL,),
                EngineProfile(role_change_s=0.2),
                checks_fencing=checks_fencing,
            )
            for _ in range(engines)
        ]
        self.engine = self.engines[0]
        self.planner: Any = FixedPlanner()
        self.subset_size = subset_size
        self.metrics_port: int | None = None
        self.entries: list[Any] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._urls: dict[str, str] = {}

    async def start(self, entries: int = 1) -> None:
        self.store.store.put("services", "inspections", {"spec": RECORD})
        await self.serve_store()
        for index, engine in enumerate(self.engines):
            self._urls[f"engine-{index}"] = await self.serve(engine.app)
            self._tasks.append(asyncio.ensure_future(engine.run()))
            await self.add_agent(f"agent-{index}", f"engine-{index}")
        for index in range(entries):
            await self.add_entry(f"entry-{index}")
        await self.wait(lambda: all(len(e.list_upstreams()) for e in self.entries))

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.stop()
        for agent in self.agents:
            await agent.stop()
        for task in self._tasks:
            task.cancel()
        await self.stop_serving()

    async def add_agent(self, name: str, upstream: str = "engine-0") -> Any:
        settings = AgentSettings(
            process=self.make_process(name),
            upstream=upstream,
            upstream_url=self._urls[upstream],
            pool=MODEL,
            metrics_port=self.metrics_port,
            drain_timeout_s=5.0,
        )
        agent = build_agent(settings)
        await agent.start()
        self.agents.append(agent)
        self.write_host_list()
        return agent

    async def add_entry(self, name: str) -> Any:
        settings = EntrySettings(
            process=self.make_process(name),
            http_port=0,
            subset_size=self.subset_size,
            drain_timeout_s=5.0,
        )
        entry = build_entry(settings, 1, self.planner)
        await entry.start()
        self.entries.append(entry)
        return entry

    async def wait(self, condition: Callable[[], Any], limit_s: float = 20.0) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.02)

    def read_order(self) -> OrderObject | None:
        value = self.store.store.objects.get(("orders", "engine-0"))
        if value is None:
            return None
        result = read_order(
            UpstreamId("engine-0"), value["version"], value["spec"], value["status"]
        )
        return result.ok_value  # type: ignore[union-attr]

    def is_sealed(self) -> bool:
        found = self.read_order()
        return found is not None and found.order.sealed > 0

    def has_settled(self, sequence: int = 1) -> bool:
        found = self.read_order()
        return (
            found is not None
            and found.progress.sequence >= sequence
            and found.state is not Progress.BEGUN
        )

    def url(self, path: str) -> str:
        return f"http://{LOOPBACK}:{self.entries[0].port}{path}"
