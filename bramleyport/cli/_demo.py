"""Demo system: entries, agents and stand-ins in one process on loopback."""

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Any, Final

from bramleyport.composition import build_agent, build_entry
from bramleyport.core import ServiceKind
from bramleyport.settings import AgentSettings, EntrySettings, ProcessSettings
from bramleyport.standins import (
    LOOPBACK,
    EngineProfile,
    EngineStandin,
    ObjectApiStandin,
    PlainStandin,
    read_port,
    serve_app,
    stop_listening,
)

if TYPE_CHECKING:
    from twisted.internet.tcp import Port

    from bramleyport.agent._daemon import AgentDaemon
    from bramleyport.entry._daemon import EntryDaemon

ENGINES: Final = 4
MODEL: Final = "inspector-8b"
ZONES: Final = ("lk-west-a", "lk-west-b", "lk-west-c")
REGION: Final = "lk-west"

RANKS: Final = {
    "urgent": {
        "first_token_s": 0.61,
        "between_tokens_s": 0.057,
        "answer_s": 20.0,
        "price_per_million_tokens": 12.0,
        "guaranteed_share": 0.5,
    },
    "standard": {
        "first_token_s": 3.0,
        "between_tokens_s": 0.1,
        "answer_s": 60.0,
        "price_per_million_tokens": 4.0,
        "guaranteed_share": 0.2,
    },
    "batch": {
        "first_token_s": 120.0,
        "between_tokens_s": 1.0,
        "answer_s": 600.0,
        "price_per_million_tokens": 1.0,
        "guaranteed_share": 0.1,
    },
}

RECORDS: Final[dict[str, dict[str, Any]]] = {
    "inspections": {
        "name": "inspections",
        "model": {"name": MODEL, "versions": ["1"], "adapters": []},
        "ranks": RANKS,
    },
    "orders": {
        "name": "orders",
        "plain": {"repeatable_methods": ["GET", "HEAD"]},
        "ranks": RANKS,
    },
}


class Demo:
    """Represent the stand-ins, agents and entries of the demo system."""

    def __init__(self, port: int, seed: int) -> None:
        self._port = port
        self._seed = seed
        self.store_url = ""
        self.store = ObjectApiStandin()
        self.engines = [
            EngineStandin((MODEL,), EngineProfile(), checks_fencing=index % 2 == 0)
            for index in range(ENGINES)
        ]
        self.plain = PlainStandin()
        self.agents: list[AgentDaemon] = []
        self.entries: list[EntryDaemon] = []
        self._listeners: list[Port] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all parts and wait until each entry has connected to all upstreams."""
        for name, record in RECORDS.items():
            self.store.store.put("services", name, {"spec": record})
        store_url = self.store_url = await self._serve(self.store.app)
        for index, engine in enumerate(self.engines):
            self._tasks.append(asyncio.ensure_future(engine.run()))
            url = await self._serve(engine.app)
            await self._start_agent(f"engine-{index}", index, url, store_url)
        url = await self._serve(self.plain.app)
        await self._start_agent("orders-0", 0, url, store_url, ("orders",))
        self._publish_hosts()
        for index in range(2):
            await self._start_entry(index, store_url)
        self._publish_hosts()
        while any(len(entry.list_upstreams()) <= ENGINES for entry in self.entries):
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop the entries, then the agents, then the stand-ins."""
        for entry in self.entries:
            await entry.stop()
        for agent in self.agents:
            await agent.stop()
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            await stop_listening(listener)

    def describe(self) -> str:
        """Return the addresses of the entries and example requests."""
        base = f"http://{LOOPBACK}:{self.entries[0].port}"
        chat = json.dumps(
            {
                "model": "inspections",
                "stream": True,
                "max_tokens": 12,
                "messages": [{"role": "user", "content": "Which helmets expire?"}],
            }
        )
        return (
            f"bramleyport demo serves {base} and "
            f"http://{LOOPBACK}:{self.entries[1].port}\n"
            f"curl -N {base}/v1/chat/completions -H 'X-Rank: urgent' -d '{chat}'\n"
            f"curl {base}/services/orders/postings -H 'Idempotency-Key: order-1' "
            "-d '{\"helmets\": 3}'\n"
            f"BRAMLEYPORT_STORE={self.store_url} {_get_program_command()} record list"
        )

    async def _serve(self, app: Any) -> str:
        listener = await serve_app(app, 0)
        self._listeners.append(listener)
        return f"http://{LOOPBACK}:{read_port(listener)}"

    async def _start_agent(
        self,
        name: str,
        index: int,
        url: str,
        store_url: str,
        services: tuple[str, ...] = (),
    ) -> None:
        settings = AgentSettings(
            process=self._make_process_settings(f"agent-{name}", index, store_url),
            upstream=name,
            upstream_url=url,
            kind=ServiceKind.PLAIN if services else ServiceKind.LANGUAGE,
            services=services,
            pool="" if services else MODEL,
        )
        agent = build_agent(settings)
        await agent.start()
        self.agents.append(agent)

    async def _start_entry(self, index: int, store_url: str) -> None:
        settings = EntrySettings(
            process=self._make_process_settings(f"entry-{index}", index, store_url),
            http_port=self._port if index == 0 else 0,
        )
        entry = build_entry(settings, self._seed + index)
        await entry.start()
        self.entries.append(entry)

    def _make_process_settings(
        self, name: str, index: int, store_url: str
    ) -> ProcessSettings:
        return ProcessSettings(
            process=name,
            zone=ZONES[index % len(ZONES)],
            region=REGION,
            address=LOOPBACK,
            peer_port=0,
            object_api=store_url,
        )

    def _publish_hosts(self) -> None:
        ports: list[tuple[str, AgentSettings | EntrySettings, int]] = [
            ("agent", agent.settings, agent.port) for agent in self.agents
        ]
        ports += [("entry", entry.settings, entry.peer_port) for entry in self.entries]
        rows = [
            {
                "process": settings.process.process,
                "role": role,
                "address": LOOPBACK,
                "port": port,
                "zone": settings.process.zone,
                "region": REGION,
                "state": "live",
            }
            for role, settings, port in ports
        ]
        self.store.store.put("hosts", "current", {"spec": {"hosts": rows}})


def _get_program_command() -> str:
    if sys.argv[0].endswith(".pyz"):
        return f"{sys.executable} {sys.argv[0]}"
    return f"{sys.executable} -m bramleyport"
