"""Run several gateways in the test process against one set of stand-ins."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import yaml
from result import Err

from bramleyport.composition import build_gateway
from bramleyport.platform import StoreError, StoreFailure
from tests.gateway_fleet import BOUNDS, LANGUAGE, PLAIN, make_config, make_settings
from tests.platform_standin import (
    CallerAnswer,
    RawCaller,
    StoreStandin,
    UpstreamStandin,
)


class GatewayGroup:
    """Represent gateways that share a store and upstreams on loopback."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        upstreams: Sequence[str],
        *,
        upstream_type: type[UpstreamStandin] = UpstreamStandin,
        bounds: dict[str, float] | None = None,
    ) -> None:
        self.store = StoreStandin()
        self.upstreams = [
            upstream_type(
                name,
                service=PLAIN if name.startswith("p") else LANGUAGE,
                stage={"p": "", "d": "decode", "f": "prefill"}[name[0]],
            )
            for name in upstreams
        ]
        self.statuses: Counter[int] = Counter()
        self.refused: list[str] = []
        self.gateways: dict[str, Any] = {}
        # Those whose call goes on.
        self.callers: list[RawCaller] = []
        self._folder = folder
        self._bounds = BOUNDS | (bounds or {})
        self._count = gateways
        self._turns = itertools.count()
        self._numbers = itertools.count()
        self._ports: dict[str, int] = {}
        # Gateways that don't hear each other, and those that don't reach the store.
        self._silenced: set[str] = set()
        self._storeless: set[str] = set()

    async def start(self) -> None:
        await self.store.start()
        self.store.put("config", "main", make_config())
        for upstream in self.upstreams:
            await upstream.start()
            upstream.register(self.store)
        for number in range(self._count):
            await self.start_gateway(f"g{number}")
        await self.wait_for(
            lambda: all(
                gateway.state.gateway_count == self._count
                for gateway in self.gateways.values()
            )
        )

    async def start_gateway(self, name: str, registered: int | None = None) -> None:
        """Start a gateway under a name, at new ports."""
        if registered is None:
            registered = len(self.upstreams)
        settings = make_settings(self.store.port)
        settings |= {"node": name, "bounds": self._bounds}
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        gateway = build_gateway(path)
        self._make_separable(name, gateway)
        await gateway.start()
        self.gateways[name] = gateway
        self._ports[name] = int(settings["listen"]["front"].rpartition(":")[2])
        await self.wait_for(
            lambda: (
                gateway.state.routes is not None
                and len(gateway.state.members.list_all()) == registered
            )
        )

    def stop_gateway(self, name: str) -> None:
        """Stop a gateway at once, without a word to the others."""
        self.gateways.pop(name).halt()
        del self._ports[name]

    def cut_off(self, name: str, *, store: bool) -> None:
        """Cut a gateway off from the others, and from the store if so."""
        self._silenced.add(name)
        if store:
            self._storeless.add(name)

    def reconnect(self, name: str) -> None:
        """End the cut of a gateway."""
        self._silenced.discard(name)
        self._storeless.discard(name)

    def _make_separable(self, name: str, gateway: Any) -> None:
        """Make the messages and the store calls of a gateway fail while it is cut."""
        peers, store = gateway._peers, gateway._store
        receive, send, exchange = peers.datagramReceived, peers._write, store._exchange
        lost = StoreError(failure=StoreFailure.UNKNOWN, step="cut", reason="cut off")

        def receive_if_connected(data: bytes, address: Any) -> None:
            if name not in self._silenced:
                receive(data, address)

        def send_if_connected(data: bytes, address: Any) -> None:
            if name not in self._silenced:
                send(data, address)

        async def exchange_if_connected(*arguments: Any) -> Any:
            if name in self._storeless:
                return Err(lost)
            result = await exchange(*arguments)
            return Err(lost) if name in self._storeless else result

        peers.datagramReceived = receive_if_connected
        peers._write = send_if_connected
        store._exchange = exchange_if_connected

    async def stop(self) -> None:
        for name in list(self.gateways):
            self.stop_gateway(name)
        for server in (*self.upstreams, self.store):
            await server.stop()

    async def wait_for(self, condition: Any, limit_s: float = 20.0) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def send_calls(
        self, seconds: float, per_s: float, path: str, **headers: str
    ) -> None:
        """Send calls to the gateways in turn, each on a connection of its own."""
        calls = set()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            names = list(self._ports)
            name = names[next(self._turns) % len(names)]
            call = self._send_call(self._ports[name], path, headers)
            calls.add(asyncio.ensure_future(call))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*calls)

    async def call_gateway(
        self, name: str, path: str, *, body: bytes = b"b", **headers: str
    ) -> CallerAnswer | None:
        """Send a call to a gateway; return None if it gets no answer."""
        caller = RawCaller(self._ports[name])
        self.callers.append(caller)
        try:
            return await caller.call(path, body=body, **headers)
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            self.callers.remove(caller)
            caller.close()

    async def send_call(self, path: str) -> int:
        """Send a call to the first gateway and return the status of its answer."""
        before = Counter(self.statuses)
        await self._send_call(next(iter(self._ports.values())), path, {})
        (status,) = self.statuses - before
        return status

    def list_runs(self) -> list[str]:
        """Return the request of each run so far."""
        return [
            run.request.headers["request-id"]
            for upstream in self.upstreams
            for run in upstream.runs
        ]

    async def _send_call(self, port: int, path: str, headers: dict[str, str]) -> None:
        caller = RawCaller(port)
        request = f"r{next(self._numbers)}"
        try:
            answer = await caller.call(path, body=b"b", Request_Id=request, **headers)
        finally:
            caller.close()
        self.statuses[answer.status] += 1
        if answer.status == 503:
            assert float(answer.headers["retry-after"]) > 0
            self.refused.append(request)
