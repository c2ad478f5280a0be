"""Run gateways beside a store that comes back from a copy."""

import asyncio
import time
from pathlib import Path

from tests.gateway_fleet import BOUNDS, PLAIN, make_config, make_route
from tests.gateway_group import GatewayGroup
from tests.platform_standin import RawRequest, UpstreamStandin, answer_normally

UPSTREAMS = ("p0", "p1", "p2")
DRAIN_LIMIT_S = BOUNDS["drain_ms"] / 1000
CONFIG_LIMIT_S = BOUNDS["config_ms"] / 1000
# Limits hold again once the store has been without impairment for this long.
STABLE_S = 3.0
# By then gateways follow what is written right after the return of the store.
SETTLED_S = STABLE_S + max(DRAIN_LIMIT_S, CONFIG_LIMIT_S)
CALLS_PER_S = 60.0
# Calls run at the same time, so that gateways spread them over the upstreams.
RUN_S = 0.2
# Reports and health checks.
NO_CALL_PATHS = ("/-/", "/h")


async def answer_slowly(
    upstream: UpstreamStandin, request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    """Run the request for a while and answer it completely."""
    await asyncio.sleep(RUN_S)
    await answer_normally(upstream, request, writer)


class RestoredGroup(GatewayGroup):
    """Represent gateways with three upstreams whose store may be restored."""

    def __init__(
        self, folder: Path, gateways: int, bounds: dict[str, float] | None = None
    ) -> None:
        super().__init__(folder, gateways, UPSTREAMS, bounds=bounds)
        for upstream in self.upstreams:
            upstream.script = answer_slowly

    def get(self, name: str) -> UpstreamStandin:
        """Return an upstream by its name."""
        return next(item for item in self.upstreams if item.name == name)

    async def add_upstream(self, name: str) -> UpstreamStandin:
        """Start an upstream and register it."""
        upstream = await self.start_unregistered_upstream(name)
        upstream.register(self.store)
        return upstream

    async def start_unregistered_upstream(self, name: str) -> UpstreamStandin:
        """Start an upstream that is not in the store yet."""
        upstream = UpstreamStandin(name, service=PLAIN)
        upstream.script = answer_slowly
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    def write_config(self, version: int, *routes: str) -> None:
        """Write a configuration with some routes in addition to the first ones."""
        config = make_config(version)
        for name in routes:
            config["routes"].append(make_route(name, f"/{name}/", "idempotent"))
        self.store.put("config", "main", config)

    async def wait_for_version(self, version: int) -> None:
        """Wait until all gateways have a version of the configuration."""
        await self.wait_for(
            lambda: all(
                gateway.state.configuration.version == version
                for gateway in self.gateways.values()
            )
        )

    async def wait_for_ready(self, *names: str) -> None:
        """Wait until all gateways consider exactly these upstreams as ready."""
        await self.wait_for(
            lambda: all(
                sorted(
                    item.upstream for item in gateway.state.members.list_ready(PLAIN)
                )
                == sorted(names)
                for gateway in self.gateways.values()
            )
        )

    async def call_all(self, path: str) -> dict[str, int | None]:
        """Call each gateway and return the statuses of the answers."""
        answers = {name: await self.call_gateway(name, path) for name in self.gateways}
        return {
            name: answer.status if answer else None for name, answer in answers.items()
        }

    async def watch_statuses(self, path: str, seconds: float) -> set[int | None]:
        """Call all gateways for a while and return the statuses that occurred."""
        end_s = time.monotonic() + seconds
        statuses: set[int | None] = set()
        while time.monotonic() < end_s:
            statuses |= set((await self.call_all(path)).values())
            await asyncio.sleep(0.05)
        return statuses

    def count_calls(self, name: str, since_s: float) -> int:
        """Return how many calls have reached an upstream since a time."""
        return sum(
            item.arrived_s > since_s
            for item in self.get(name).arrivals
            if not item.request.path.startswith(NO_CALL_PATHS)
        )
