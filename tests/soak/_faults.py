"""Define the faults, each injected from outside the gateways."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from bramleyport.gateway._follower import choose_watch_times
from tests.gateway_fleet import BOUNDS, PLAIN
from tests.platform_standin import (
    ODD_FIELDS,
    ODD_METADATA,
    REFUSED_DEPTH,
    CrashingEngine,
    StoreStandin,
    UpstreamStandin,
    make_nested,
)
from tests.rate_window import SETTLE_S, WINDOW_S
from tests.soak._checks import (
    STABLE_S,
    Drain,
    NamedLimit,
    Observations,
    RouteChange,
)
from tests.soak._configurations import make_versioned_config
from tests.soak._processes import GatewayProcess
from tests.soak._proxy import Direction, FaultProxy

CONFIGURATION_LIMIT_S = BOUNDS["config_ms"] / 1000
MAX_FAULT_S = 2.0
WATCH_TIMES = choose_watch_times(STABLE_S, CONFIGURATION_LIMIT_S)
MAX_DELAY_S = 0.4
# Upstreams keep serving for longer than gateways may take to stop using them.
MAX_DRAIN_S = 6.0
EXIT_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class FaultTargets:
    """Describe the processes and stand-ins that faults are injected into."""

    random: Random
    observations: Observations
    store: StoreStandin
    gateways: Sequence[GatewayProcess]
    upstreams: Sequence[UpstreamStandin]
    # Proxies in front of the upstreams, by upstream name.
    proxies: dict[str, FaultProxy]
    # The version that the operator has written last.
    version: int = 1
    # An upstream that names one limit for the whole run; see limit_steadily().
    steadily_limited: UpstreamStandin | None = None

    def pick_gateway(self) -> GatewayProcess:
        return self.random.choice(self.gateways)

    def pick_changeable(self) -> UpstreamStandin:
        """Return an upstream that may be drained, restarted or limited otherwise."""
        return self.random.choice(
            [item for item in self.upstreams if item is not self.steadily_limited]
        )

    def pick_proxy(self) -> FaultProxy:
        """Return a proxy in front of the store, a gateway or an upstream."""
        gateway = self.pick_gateway()
        upstream = self.random.choice(list(self.proxies.values()))
        return self.random.choice((gateway.store_proxy, gateway.caller_proxy, upstream))

    def pick_duration_s(self) -> float:
        return self.random.random() * MAX_FAULT_S

    def record_held_back(self, proxy: FaultProxy) -> AbstractContextManager[None]:
        """Record that bytes through a proxy are held back within the block."""
        for name, item in self.proxies.items():
            if item is proxy:
                return self.observations.held_back[name].record_span()
        return nullcontext()

    def name_limit(self, upstream: UpstreamStandin, rate: float) -> NamedLimit:
        """Make an upstream name a limit from now on."""
        upstream.limit = str(rate)
        limit = NamedLimit(upstream.name, rate, time.monotonic())
        self.observations.limits.append(limit)
        return limit

    def limit_steadily(self, upstream: UpstreamStandin) -> None:
        """Make an upstream name one limit until the run ends, whatever others do."""
        self.steadily_limited = upstream
        self.name_limit(upstream, STEADY_LIMIT_RATE)

    def end_limit(self, upstream: UpstreamStandin) -> None:
        """Make an upstream name no limit any more."""
        upstream.limit = ""
        for limit in self.observations.limits:
            if limit.upstream == upstream.name:
                limit.until_s = min(limit.until_s, time.monotonic())

    def end_drains(self, upstream: UpstreamStandin) -> None:
        """Record that an upstream is no longer draining."""
        for drain in self.observations.drains:
            if drain.upstream == upstream.name:
                drain.until_s = min(drain.until_s, time.monotonic())

    def end_leaving(self, upstream: UpstreamStandin) -> None:
        """Make an upstream say in its answers no more that it leaves."""
        upstream.leaving = False
        for drain in self.observations.leaving:
            if drain.upstream == upstream.name:
                drain.until_s = min(drain.until_s, time.monotonic())

    def restart_upstream(self, upstream: UpstreamStandin) -> None:
        """Register an upstream as another process, which says nothing of itself yet."""
        self.end_limit(upstream)
        self.end_leaving(upstream)
        upstream.born_ms += 1
        self.register_upstream(upstream)

    def register_upstream(self, upstream: UpstreamStandin, **changes: str) -> None:
        """Write the registration of an upstream, with the address of its proxy."""
        if isinstance(upstream, CrashingEngine):
            # A proxy would accept connections while the engine is down.
            upstream.register(self.store, **changes)
            return
        address = f"127.0.0.1:{self.proxies[upstream.name].port}"
        upstream.register(self.store, addr=address, **changes)


Fault = Callable[[FaultTargets], Coroutine[Any, Any, None]]
# Faults that impair something, so that time limits may be exceeded meanwhile.
UNPLANNED_FAULTS: Final[dict[str, Fault]] = {}
# Planned operations, during which all time limits hold.
PLANNED_OPERATIONS: Final[dict[str, Fault]] = {}


# Limits that upstreams name, beside planned operations or all faults.
LIMIT_CHANGES: Final[dict[str, Fault]] = {}
LIMIT_RATES: Final = (1.0, 2.6, 6.0, 20.0)
# Requests per second. Callers send several times as many, so that the limit binds.
STEADY_LIMIT_RATE: Final = 2.6
# A limit is checked after SETTLE_S, in windows of WINDOW_S.
MIN_LIMIT_S: Final = SETTLE_S + WINDOW_S
MAX_LIMIT_S: Final = 2 * MIN_LIMIT_S
KEPT_LIMIT_FRACTION: Final = 0.8


# Odd entries that another writer leaves in the store, beside planned operations.
ODD_ENTRIES: Final[dict[str, Fault]] = {}
# Kinds among whose objects an odd entry is left.
ODD_KINDS: Final = ("servers", "config", "gateways", "verdicts")


# What happens beside engines that crash on parts of prompts.
CRASH_FAULTS: Final[dict[str, Fault]] = {}


def register_crash_fault(fault: Fault) -> Fault:
    """Register a fault that also occurs beside engines that crash."""
    CRASH_FAULTS[fault.__name__] = fault
    return fault


def register_limit_change(fault: Fault) -> Fault:
    """Register a change of the rate limit of an upstream."""
    LIMIT_CHANGES[fault.__name__] = fault
    return fault


def register_odd_entry(fault: Fault) -> Fault:
    """Register a writer that leaves odd entries in the store."""
    ODD_ENTRIES[fault.__name__] = fault
    return fault


def register_planned(fault: Fault) -> Fault:
    """Register a planned operation."""
    PLANNED_OPERATIONS[fault.__name__] = fault
    return fault


def register_unplanned(fault: Fault) -> Fault:
    """Register a fault that counts as an impairment while it runs."""

    async def impair(targets: FaultTargets) -> None:
        with targets.observations.impairments.record_span():
            await fault(targets)

    UNPLANNED_FAULTS[fault.__name__] = impair
    return fault


async def restart_gateway(
    gateway: GatewayProcess, number: signal.Signals
) -> int | None:
    """Signal a gateway, wait for its exit, start it again and return the exit code."""
    process = gateway.process
    if process is None or process.poll() is not None:
        return None
    gateway.stop_sent_s = time.monotonic()
    gateway.send_if_running(number)
    while process.poll() is None:
        await asyncio.sleep(EXIT_POLL_INTERVAL_S)
    code = process.returncode
    failure = gateway.describe_bad_exit(code) if number is signal.SIGTERM else None
    if gateway.process is process:
        gateway.start()
    if failure is not None:
        raise ChildProcessError(failure)
    return code


@register_crash_fault
@register_planned
async def stop_gateway(targets: FaultTargets) -> None:
    """Stop a gateway with SIGTERM, as the platform does, and start it again."""
    await stop_chosen_gateway(targets, targets.pick_gateway())


async def stop_chosen_gateway(targets: FaultTargets, gateway: GatewayProcess) -> None:
    """Stop one gateway with SIGTERM, and start it again once it has ended."""
    try:
        await restart_gateway(gateway, signal.SIGTERM)
    except ChildProcessError as error:
        targets.observations.report_violation(str(error))


@register_planned
async def reload_settings(targets: FaultTargets) -> None:
    """Change the settings file of a gateway and send SIGHUP."""
    targets.pick_gateway().reload()


@register_planned
async def drain_upstream(targets: FaultTargets) -> None:
    """Register an upstream as draining, and later start it again.

    A process that drains ends; the next one under its id was started later.
    """
    upstream = targets.pick_changeable()
    if any(
        drain.upstream == upstream.name and drain.until_s == float("inf")
        for drain in targets.observations.drains
    ):
        return
    targets.register_upstream(upstream, state="draining")
    drain = Drain(upstream.name, time.monotonic())
    targets.observations.drains.append(drain)
    try:
        await asyncio.sleep(targets.random.random() * MAX_DRAIN_S)
    finally:
        targets.end_drains(upstream)
        targets.restart_upstream(upstream)


@register_planned
async def change_configuration(targets: FaultTargets) -> None:
    """Write a newer configuration, with or without the extra route."""
    if targets.store.is_down:
        return
    targets.version += 1
    present = targets.random.random() < 0.5
    config = make_versioned_config(targets.version, extra=present)
    targets.store.put("config", "main", config)
    targets.observations.route_changes.append(RouteChange(time.monotonic(), present))


@register_limit_change
async def limit_upstream(targets: FaultTargets) -> None:
    """Make an upstream name limits that fall or rise, and then none."""
    upstream = targets.pick_changeable()
    if upstream.limit:
        return
    for _ in range(targets.random.randint(1, 2)):
        rate = targets.random.choice(LIMIT_RATES)
        limit = targets.name_limit(upstream, rate)
        try:
            await asyncio.sleep(targets.random.uniform(MIN_LIMIT_S, MAX_LIMIT_S))
        finally:
            was_restarted = limit.until_s < float("inf")
            if not was_restarted:
                targets.end_limit(upstream)
        if was_restarted:
            return


@register_limit_change
async def restart_limited_upstream(targets: FaultTargets) -> None:
    """Register a limited upstream as another process that names no limit yet."""
    limited = [
        upstream
        for upstream in targets.upstreams
        if upstream.limit and upstream is not targets.steadily_limited
    ]
    # Most limits last long enough to be checked.
    if not limited or targets.random.random() < KEPT_LIMIT_FRACTION:
        return
    upstream = targets.random.choice(limited)
    targets.restart_upstream(upstream)


@register_odd_entry
async def leave_odd_fields(targets: FaultTargets) -> None:
    """Leave a registration with an odd field for a while."""
    odd = UpstreamStandin(f"odd-{targets.random.random()}", service=PLAIN)
    # Nothing listens on this port; some odd fields leave the address valid.
    odd.port = 9
    odd.register(targets.store, **targets.random.choice(list(ODD_FIELDS.values())))
    try:
        await asyncio.sleep(targets.pick_duration_s())
    finally:
        targets.store.delete("servers", odd.name)


@register_odd_entry
async def leave_odd_metadata(targets: FaultTargets) -> None:
    """Leave an entry of any kind with odd metadata for a while."""
    kind = targets.random.choice(ODD_KINDS)
    name = f"odd-{targets.random.random()}"
    metadata = targets.random.choice(list(ODD_METADATA.values()))
    targets.store.put_item(kind, name, {"metadata": metadata, "spec": {}})
    try:
        await asyncio.sleep(targets.pick_duration_s())
    finally:
        targets.store.delete(kind, name)


@register_odd_entry
async def overwrite_configuration(targets: FaultTargets) -> None:
    """Overwrite the configuration with an odd one, then with a valid one."""
    config = targets.store.objects["config", "main"]["spec"]
    targets.version += 2
    odd = {"version": targets.version - 1, "more": make_nested(REFUSED_DEPTH)}
    targets.store.put("config", "main", config | odd)
    targets.store.put("config", "main", config | {"version": targets.version})


@register_unplanned
async def pause_gateway(targets: FaultTargets) -> None:
    """Suspend a gateway with SIGSTOP for a while."""
    gateway = targets.pick_gateway()
    gateway.send_if_running(signal.SIGSTOP)
    try:
        await asyncio.sleep(targets.pick_duration_s())
    finally:
        gateway.send_if_running(signal.SIGCONT)


@register_crash_fault
async def crash_engine(targets: FaultTargets) -> None:
    """Crash an engine for a cause other than a prompt."""
    engines = [item for item in targets.upstreams if isinstance(item, CrashingEngine)]
    targets.random.choice(engines).crash()


@register_crash_fault
@register_unplanned
async def kill_gateway(targets: FaultTargets) -> None:
    """Kill a gateway and start it again."""
    await restart_gateway(targets.pick_gateway(), signal.SIGKILL)


@register_unplanned
async def kill_most_gateways(targets: FaultTargets) -> None:
    """Kill several gateways at the same moment."""
    count = max(1, len(targets.gateways) * 2 // 3)
    chosen = targets.random.sample(list(targets.gateways), count)
    await asyncio.gather(
        *(restart_gateway(gateway, signal.SIGKILL) for gateway in chosen)
    )


@register_unplanned
async def refuse_store_calls(targets: FaultTargets) -> None:
    """Make the store refuse every call for a while."""
    targets.store.refusal_status = targets.random.choice((503, 429))
    try:
        await asyncio.sleep(targets.pick_duration_s())
    finally:
        targets.store.refusal_status = None


@register_unplanned
async def silence_store(targets: FaultTargets) -> None:
    """Make the store leave calls unanswered for a while."""
    targets.store.unresponsive = True
    try:
        await asyncio.sleep(targets.pick_duration_s())
    finally:
        targets.store.unresponsive = False


@register_unplanned
async def discard_history(targets: FaultTargets) -> None:
    """Discard the history of the store and reset all connections to it."""
    targets.store.discard_history()
    targets.store.reset_connections()


@register_unplanned
async def reset_proxied_connections(targets: FaultTargets) -> None:
    """Reset all connections through one proxy."""
    targets.pick_proxy().reset_connections()


@register_unplanned
async def silence_proxied_connections(targets: FaultTargets) -> None:
    """Silence the open connections through one proxy for the rest of their life."""
    targets.pick_proxy().silence_connections()
    # On loopback the kernel answers the keep-alive probes of both sides, so a gateway
    # detects a silent watch of the store by its timeout alone. Between hosts the probes
    # fail earlier.
    targets.observations.impairments.record_for(
        WATCH_TIMES.wait_s + WATCH_TIMES.answer_s
    )


@register_unplanned
async def delay_connections(targets: FaultTargets) -> None:
    """Delay all bytes through one proxy for a while."""
    proxy = targets.pick_proxy()
    proxy.delay_s = targets.random.random() * MAX_DELAY_S
    try:
        with targets.record_held_back(proxy):
            await asyncio.sleep(targets.pick_duration_s())
    finally:
        proxy.delay_s = 0.0


@register_unplanned
async def hold_back_bytes(targets: FaultTargets) -> None:
    """Hold back the bytes through one proxy in one or both directions."""
    proxy = targets.pick_proxy()
    directions = targets.random.choice(
        ({Direction.TO_SERVER}, {Direction.TO_CLIENT}, set(Direction))
    )
    proxy.held_directions |= directions
    try:
        with targets.record_held_back(proxy):
            await asyncio.sleep(targets.pick_duration_s())
    finally:
        proxy.held_directions -= directions
