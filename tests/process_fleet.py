"""Run entries and agents as processes, with stand-ins in the test's process."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import yaml

from bramleyport.cli._demo import RECORDS
from bramleyport.core import UpstreamState
from bramleyport.standins import (
    EngineProfile,
    EngineStandin,
    ObjectApiStandin,
    PlainStandin,
    read_port,
    serve_app,
    stop_listening,
)
from tests.http_client import Answer, exchange_raw, fetch
from tests.ports import find_port

READY_LIMIT_S = 60  # only a hang reaches this limit
MODEL = "inspector-8b"
ZONE = "zone-0"


class ProcessFleet:
    """Represent a small fleet of entry and agent processes."""

    def __init__(
        self, directory: Path, engines: int, *, orders_named_roles: bool
    ) -> None:
        self.directory = directory
        # Whether entries order the roles that the test sets instead of planning them.
        self.orders_named_roles = orders_named_roles
        self.store = ObjectApiStandin()
        self.engines = [
            EngineStandin(
                (MODEL,),
                EngineProfile(role_change_s=0.2)
                if orders_named_roles
                else EngineProfile(),
                checks_fencing=True,
            )
            for _ in range(engines)
        ]
        self.plain = PlainStandin()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self._listening: list[Any] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._hosts: list[dict[str, Any]] = []

    async def start(self) -> None:
        for name, record in RECORDS.items():
            self.store.store.put("services", name, {"spec": record})
        self._store_url = await self._serve(self.store.app)
        for index, engine in enumerate(self.engines):
            self._tasks.append(asyncio.ensure_future(engine.run()))
            url = await self._serve(engine.app)
            extra = {"upstream": f"engine-{index}", "upstream_url": url}
            if self.orders_named_roles:
                extra["pool"] = MODEL
            self._spawn(f"agent-{index}", "agent", extra)
        url = await self._serve(self.plain.app)
        extra = {"upstream": "orders", "upstream_url": url, "kind": "plain"}
        self._spawn("agent-plain", "agent", {**extra, "services": ["orders"]})
        for index in range(2):
            port = self.ports[f"entry-{index}"] = find_port()
            self._spawn(f"entry-{index}", "entry", {"http_port": port})
        self.store.store.put("hosts", "current", {"spec": {"hosts": self._hosts}})
        await self._wait_until_serving()

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for listening in self._listening:
            await stop_listening(listening)

    def send_signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    async def complete(self, entry: str, max_tokens: int) -> Answer:
        body = {"model": "inspections", "prompt": "a", "max_tokens": max_tokens}
        headers = {"X-Rank": "batch"}
        url = f"http://127.0.0.1:{self.ports[entry]}/v1/completions"
        return await fetch(url, "POST", headers, json.dumps(body).encode())

    async def post_order(self, entry: str, key: str) -> Answer:
        url = f"http://127.0.0.1:{self.ports[entry]}/services/orders/postings"
        headers = {"Idempotency-Key": key, "X-Rank": "urgent"}
        return await fetch(url, "POST", headers, key.encode())

    def set_ordered_role(self, entry: str, role: str) -> None:
        """Set the role that an entry orders for engines while it holds the lease."""
        path = self.directory / f"{entry}.role"
        path.with_suffix(".new").write_text(role)
        path.with_suffix(".new").replace(path)

    def read_lease(self) -> tuple[str, int]:
        """Return the entry that the lease names as holder, and the fencing number."""
        value = self.store.store.objects.get(("leases", f"{MODEL}.region-0"))
        if value is None:
            return "", 0
        holder = value["spec"]["holder"]
        return holder.rpartition("-")[0], value["spec"]["fencing"]

    def read_log(self, name: str) -> str:
        return (self.directory / f"{name}.log").read_text()

    def find_busy_agent(self) -> str | None:
        """Return an agent whose engine is running requests."""
        for index, engine in enumerate(self.engines):
            if engine.model.running:
                return f"agent-{index}"
        return None

    async def _serve(self, app: Any) -> str:
        listening = await serve_app(app, find_port())
        self._listening.append(listening)
        return f"http://127.0.0.1:{read_port(listening)}"

    def _spawn(self, name: str, role: str, extra: dict[str, Any]) -> None:
        peer_port = find_port()
        identity = {"process": name, "zone": ZONE, "region": "region-0"}
        location = {"address": "127.0.0.1"}
        settings = {
            "process": {
                **identity,
                **location,
                "peer_port": peer_port,
                "object_api": self._store_url,
                "log": {"level": "WARNING"},
            },
            **extra,
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with (self.directory / f"{name}.log").open("wb") as log:
            command = ["bramleyport", role, str(path)]
            if self.orders_named_roles and role == "entry":
                self.set_ordered_role(name, "")
                roles = self.directory / f"{name}.role"
                command = ["tests.controlled_entry", str(path), str(roles)]
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
            )
        self._hosts.append({**identity, **location, "role": role, "port": peer_port})

    async def _wait_until_serving(self) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            for entry in ("entry-0", "entry-1"):
                while not await self.shows_all_upstreams(entry):
                    self._check_running()
                    await asyncio.sleep(0.1)

    def _check_running(self) -> None:
        """Fail with the log of a process that exited during the start."""
        for name, process in self.processes.items():
            log = self.directory / f"{name}.log"
            assert process.poll() is None, f"{name} exited: {log.read_text()[-2000:]}"

    async def fetch_status_page(self, entry: str) -> bytes:
        """Return the status page of an entry; empty while it does not listen."""
        try:
            return await exchange_raw(
                self.ports[entry], b"GET /status HTTP/1.0\r\n\r\n"
            )
        except OSError:
            return b""

    async def shows_all_upstreams(self, entry: str) -> bool:
        page = await self.fetch_status_page(entry)
        names = [f"engine-{index}" for index in range(len(self.engines))]
        return all(is_live_on_page(page, name) for name in [*names, "orders"])


def is_live_on_page(page: bytes, upstream: str) -> bool:
    """Return whether a status page shows an upstream as live.

    The row is matched up to its state, since the page names records in other tables and
    an upstream may have the name of a record.
    """
    state = UpstreamState.LIVE.value
    row = rf"<tr><td>{upstream}</td><td>{ZONE}</td><td>[^<]*</td><td>{state}</td>"
    return re.search(row.encode(), page) is not None


@asynccontextmanager
async def run_fleet(
    directory: Path, engines: int = 3, *, orders_named_roles: bool = False
) -> AsyncIterator[ProcessFleet]:
    """Run a fleet for the time of the block."""
    fleet = ProcessFleet(directory, engines, orders_named_roles=orders_named_roles)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
