"""Run a gateway in the test process against stand-ins of the platform."""

import asyncio
from pathlib import Path
from typing import Any

import yaml

from bramleyport.composition import build_gateway
from tests.platform_standin import (
    LOOPBACK,
    RawCaller,
    RawRequest,
    StoreStandin,
    UpstreamStandin,
)
from tests.ports import find_port

LANGUAGE = "language"
PLAIN = "orders"
ENGINE = {
    "slots": 64,
    "kv_capacity": 500_000,
    "kv_token_bytes": 163_840,
    "link_mbps": 1_900_000.0,
    "kv_hold_s": 5.0,
    "switch_s": 3.0,
}
BOUNDS = {
    "drain_ms": 2000,
    "config_ms": 2000,
    "grace_s": 8,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_tries": 50,
    "lease_ms": 3000,
}


def make_settings(store_port: int) -> dict[str, Any]:
    return {
        "node": f"gateway-{store_port}",
        "ip": LOOPBACK,
        "zone": "a",
        "region": "r",
        "listen": {
            "front": f"{LOOPBACK}:{find_port()}",
            "ready": f"{LOOPBACK}:{find_port()}",
        },
        "internal_ports": [find_port(), find_port()],
        "first_start": True,
        "heartbeat_ms": 1200,
        "bounds": BOUNDS,
        "platform_store": {
            "addr": f"{LOOPBACK}:{store_port}",
            "writes_per_s": 400,
            "reads_per_s": 2000,
        },
        "a_field_that_comes_later": {"x": 1},
    }


def make_route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "host": "calls.example",
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 400,
        "priority": 0,
        "service": PLAIN,
        "max_attempts": 2,
    }
    return route | fields


def make_config(version: int = 1, **fields: Any) -> dict[str, Any]:
    stream = {"service": LANGUAGE, "gap_slo_ms": 100, "sticky": True}
    routes = [
        make_route("read", "/read/", "idempotent"),
        make_route("post", "/post/", "non_idempotent", max_attempts=1),
        make_route(
            "once", "/once/", "streaming", **stream, resumable=False, timeout_ms=6000
        ),
        make_route("stream", "/stream/", "streaming", **stream, resumable=True),
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 500,
        "idle_timeout_ms": 15000,
    }
    services = [
        {"name": LANGUAGE, "health_path": "/h", "max_conns": 300, "engine": ENGINE},
        {"name": PLAIN, "health_path": "/h", "max_conns": 100},
    ]
    config = {"version": version, "routes": routes, "services": services}
    return config | {"limits": limits} | fields


class GatewayFleet:
    """Represent one gateway with a store and upstreams on loopback."""

    def __init__(self, folder: Path) -> None:
        self.store = StoreStandin()
        self.plain = [UpstreamStandin(f"p{n}", service=PLAIN) for n in range(2)]
        self.engines = [
            UpstreamStandin(f"d{n}", service=LANGUAGE, stage="decode") for n in range(2)
        ]
        self.settings: dict[str, Any] = {}
        self.path = folder / "settings.yaml"
        self.gateway: Any = None
        self.metrics_port: int | None = None
        self._callers: list[RawCaller] = []

    async def start(
        self,
        *,
        configured: bool = True,
        registered: bool = True,
        metrics: bool = False,
    ) -> None:
        await self.store.start()
        for upstream in (*self.plain, *self.engines):
            await upstream.start()
            if registered:
                upstream.register(self.store)
        if configured:
            self.store.put("config", "main", make_config())
        self.settings = make_settings(self.store.port)
        self.path.write_text(yaml.safe_dump(self.settings))
        self.metrics_port = find_port() if metrics else None
        self.gateway = build_gateway(self.path, self.metrics_port)
        await self.gateway.start()
        if configured:
            await self.wait_for(lambda: self.state.routes is not None)
        if registered:
            count = len(self.plain) + len(self.engines)
            await self.wait_for(lambda: len(self.state.members.list_all()) == count)

    async def stop(self) -> None:
        for caller in self._callers:
            caller.close()
        if self.gateway is not None:
            self.gateway.halt()
        for server in (*self.plain, *self.engines, self.store):
            await server.stop()

    @property
    def state(self) -> Any:
        return self.gateway.state

    @property
    def port(self) -> int:
        return int(self.settings["listen"]["front"].rpartition(":")[2])

    def make_caller(self) -> RawCaller:
        caller = RawCaller(self.port)
        self._callers.append(caller)
        return caller

    async def check_readiness(self) -> int:
        caller = RawCaller(int(self.settings["listen"]["ready"].rpartition(":")[2]))
        self._callers.append(caller)
        return (await caller.call("/-/ready", method="GET")).status

    async def read_metrics(self) -> str:
        assert self.metrics_port is not None
        caller = RawCaller(self.metrics_port)
        self._callers.append(caller)
        return (await caller.call("/metrics", method="GET")).body.decode()

    async def wait_for(self, condition: Any, limit_s: float = 20.0) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    def list_arrivals(self) -> list[str]:
        """Return the calls that reached an upstream, whether they ran or not."""
        return [
            arrival.request.headers["request-id"]
            for upstream in (*self.plain, *self.engines)
            for arrival in upstream.arrivals
            # A gateway's own requests name none.
            if _is_call(arrival.request)
        ]

    def list_runs(self) -> list[tuple[str, str]]:
        """Return the upstream and request of each run so far."""
        runs = [
            (upstream.name, run.request)
            for upstream in (*self.plain, *self.engines)
            for run in upstream.runs
        ]
        # A gateway sends no call without an identifier.
        assert [request for _, request in runs if not _is_call(request)] == []
        return [(upstream, request.headers["request-id"]) for upstream, request in runs]


def _is_call(request: RawRequest) -> bool:
    """Return whether a request has the identifier of a call."""
    return "request-id" in request.headers
