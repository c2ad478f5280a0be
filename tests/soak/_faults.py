"""Faults, each injected from outside the gateways for a while."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from bramleyport.gateway._follower import choose_watch_times
from tests.gateway_fleet import BOUNDS, make_config, make_route
from tests.platform_standin import StoreStandin, UpstreamStandin
from tests.soak._checks import STABLE_S, Drain, Record, RouteChange
from tests.soak._processes import GatewayProcess
from tests.soak._proxy import Direction, FaultProxy

CONFIGURE_S = BOUNDS["config_ms"] / 1000
MAX_FAULT_S = 2.0
TIMES = choose_watch_times(STABLE_S, CONFIGURE_S)
MAX_DELAY_S = 0.4
# Upstreams go on serving for longer than drains may take.
MAX_DRAIN_S = 6.0
END_POLL_S = 0.05


@dataclass(slots=True)
class Site:
    """Hold what faults are injected into."""

    random: Random
    record: Record
    store: StoreStandin
    gateways: Sequence[GatewayProcess]
    upstreams: Sequence[UpstreamStandin]
    # The proxies in front of the upstreams, by name.
    proxies: dict[str, FaultProxy]

    def pick_gateway(self) -> GatewayProcess:
        return self.random.choice(self.gateways)

    def pick_proxy(self) -> FaultProxy:
        """Return a proxy before the store, a gateway or an upstream."""
        gateway = self.pick_gateway()
        upstream = self.random.choice(list(self.proxies.values()))
        return self.random.choice((gateway.store, gateway.callers, upstream))

    def pick_s(self) -> float:
        return self.random.random() * MAX_FAULT_S

    def register(self, upstream: UpstreamStandin, **changes: str) -> None:
        """Write the registration of an upstream, at the address of its proxy."""
        address = f"127.0.0.1:{self.proxies[upstream.name].port}"
        upstream.register(self.store, addr=address, **changes)


Fault = Callable[[Site], Coroutine[Any, Any, None]]
# Impair something; excuse that bounds of time are missed.
UNPLANNED: Final[dict[str, Fault]] = {}
# Planned work, which excuses nothing.
PLANNED: Final[dict[str, Fault]] = {}


def planned(fault: Fault) -> Fault:
    """Register planned work."""
    PLANNED[fault.__name__] = fault
    return fault


def unplanned(fault: Fault) -> Fault:
    """Register a fault."""

    async def impair(site: Site) -> None:
        with site.record.impairments.span():
            await fault(site)

    UNPLANNED[fault.__name__] = impair
    return fault


async def _restart(gateway: GatewayProcess, number: signal.Signals) -> int | None:
    """Signal a gateway, wait for its end and start it; return how it ended."""
    process = gateway.process
    if process is None or process.poll() is not None:
        return None
    gateway.stopped_s = time.monotonic()
    gateway.send(number)
    while process.poll() is None:
        await asyncio.sleep(END_POLL_S)
    code = process.returncode
    bad = gateway.find_bad_end(code) if number is signal.SIGTERM else None
    if gateway.process is process:
        gateway.start()
    if bad is not None:
        raise ChildProcessError(bad)
    return code


@planned
async def stop_gateway(site: Site) -> None:
    """Stop a gateway as the platform does and start it again."""
    try:
        await _restart(site.pick_gateway(), signal.SIGTERM)
    except ChildProcessError as error:
        site.record.report(str(error))


@planned
async def reload_settings(site: Site) -> None:
    """Change a settings file and send SIGHUP."""
    site.pick_gateway().reload()


@planned
async def drain_upstream(site: Site) -> None:
    """Let an upstream say that it leaves, and come back later."""
    upstream = site.random.choice(site.upstreams)
    if any(
        drain.upstream == upstream.name and drain.until_s == float("inf")
        for drain in site.record.drains
    ):
        return
    site.register(upstream, state="draining")
    drain = Drain(upstream.name, time.monotonic())
    site.record.drains.append(drain)
    try:
        await asyncio.sleep(site.random.random() * MAX_DRAIN_S)
    finally:
        drain.until_s = time.monotonic()
        site.register(upstream)


@planned
async def change_configuration(site: Site) -> None:
    """Write a newer configuration, with or without the extra route."""
    version = site.store.objects["config", "main"]["spec"]["version"] + 1
    present = site.random.random() < 0.5
    config = make_config(version)
    if present:
        config["routes"].append(make_route("extra", "/extra/", "idempotent"))
    site.store.put("config", "main", config)
    site.record.route_changes.append(RouteChange(time.monotonic(), present))


@unplanned
async def pause_gateway(site: Site) -> None:
    """Let a gateway stand still."""
    gateway = site.pick_gateway()
    gateway.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(site.pick_s())
    finally:
        gateway.send(signal.SIGCONT)


@unplanned
async def kill_gateway(site: Site) -> None:
    """Kill a gateway and start it again."""
    await _restart(site.pick_gateway(), signal.SIGKILL)


@unplanned
async def kill_most_gateways(site: Site) -> None:
    """Kill several gateways at the same moment."""
    count = max(1, len(site.gateways) * 2 // 3)
    chosen = site.random.sample(list(site.gateways), count)
    await asyncio.gather(*(_restart(gateway, signal.SIGKILL) for gateway in chosen))


@unplanned
async def refuse_at_store(site: Site) -> None:
    """Let the store refuse every call."""
    site.store.refuse_with = site.random.choice((503, 429))
    try:
        await asyncio.sleep(site.pick_s())
    finally:
        site.store.refuse_with = None


@unplanned
async def silence_store(site: Site) -> None:
    """Let the store answer nothing."""
    site.store.silent = True
    try:
        await asyncio.sleep(site.pick_s())
    finally:
        site.store.silent = False


@unplanned
async def forget_history(site: Site) -> None:
    """Drop the history of the store and all connections to it."""
    site.store.forget_history()
    site.store.reset_all()


@unplanned
async def reset_connections(site: Site) -> None:
    """Reset the connections through one proxy."""
    site.pick_proxy().reset_all()


@unplanned
async def silence_connections(site: Site) -> None:
    """Let the connections through one proxy go silent for good."""
    site.pick_proxy().silence_all()
    # This machine answers the keep-alive probes of both sides, so a gateway notices a
    # silent watch of the store by its timeout alone. Between hosts the probes fail.
    site.record.impairments.excuse(TIMES.wait_s + TIMES.answer_s)


@unplanned
async def delay_connections(site: Site) -> None:
    """Delay all bytes through one proxy."""
    proxy = site.pick_proxy()
    proxy.delay_s = site.random.random() * MAX_DELAY_S
    try:
        await asyncio.sleep(site.pick_s())
    finally:
        proxy.delay_s = 0.0


@unplanned
async def cut_one_way(site: Site) -> None:
    """Hold back the bytes of one direction, or of both."""
    proxy = site.pick_proxy()
    directions = site.random.choice(
        ({Direction.TO_SERVER}, {Direction.TO_CLIENT}, set(Direction))
    )
    proxy.held |= directions
    try:
        await asyncio.sleep(site.pick_s())
    finally:
        proxy.held -= directions
