"""Base class of in-process fleets that are served on the loopback interface."""

from typing import Any

from bramleyport.settings import ProcessSettings
from bramleyport.standins import (
    LOOPBACK,
    ObjectApiStandin,
    read_port,
    serve_app,
    stop_listening,
)
from tests.ports import find_port

ZONE = "lk-west-a"
REGION = "lk-west"


class LoopbackFleet:
    """Represent a fleet of stand-ins on loopback and of agents in the host list."""

    def __init__(self) -> None:
        self.store = ObjectApiStandin()
        self.agents: list[Any] = []
        self.store_url = ""
        self._listening: list[Any] = []

    async def serve_store(self) -> None:
        self.store_url = await self.serve(self.store.app)

    async def serve(self, app: Any) -> str:
        listening = await serve_app(app, find_port())
        self._listening.append(listening)
        return f"http://{LOOPBACK}:{read_port(listening)}"

    async def stop_serving(self) -> None:
        for listening in self._listening:
            await stop_listening(listening)

    def make_process(self, name: str) -> ProcessSettings:
        return ProcessSettings(
            process=name,
            zone=ZONE,
            region=REGION,
            address=LOOPBACK,
            peer_port=0,
            object_api=self.store_url,
        )

    def write_host_list(self) -> None:
        rows = [
            {
                "process": agent.settings.process.process,
                "role": "agent",
                "address": LOOPBACK,
                "port": agent.port,
                "zone": ZONE,
                "region": REGION,
                "state": "live",
            }
            for agent in self.agents
        ]
        self.store.store.put("hosts", "current", {"spec": {"hosts": rows}})
