"""Define what happens beside streams at engines of several versions."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from tests.soak._processes import GatewayProcess
from tests.soak._proxy import Direction

if TYPE_CHECKING:
    from tests.soak._version_soak import VersionSoak

EXIT_POLL_S: Final = 0.02
VERSIONS: Final = ("v1", "v2", "v3")
# Engines that drain serve for a while.
DRAIN_S: Final = 3.0
# All gateways were killed, or lost the store, so lately that some streams are unknown.
UNKNOWN_S: Final = 12.0

Fault = Callable[["VersionSoak"], Coroutine[Any, Any, None]]
VERSION_FAULTS: Final[dict[str, Fault]] = {}


def register_version_fault(fault: Fault) -> Fault:
    """Register what happens beside streams of several versions."""
    VERSION_FAULTS[fault.__name__] = fault
    return fault


async def restart_gateway(gateway: GatewayProcess, number: signal.Signals) -> None:
    """End a gateway with a signal and start it again."""
    process = gateway.process
    if process is None or process.poll() is not None:
        return
    gateway.stop_sent_s = time.monotonic()
    gateway.send_if_running(number)
    while process.poll() is None:
        await asyncio.sleep(EXIT_POLL_S)
    if gateway.process is process:
        gateway.start()


@register_version_fault
async def release_version(soak: "VersionSoak") -> None:
    """Replace an engine by one of another version; the old one drains."""
    old = soak.random.choice(soak.engines)
    await soak.start_engine(soak.random.choice(VERSIONS))
    old.register(soak.store, state="draining")
    await asyncio.sleep(DRAIN_S)
    if old in soak.engines:
        await soak.end_engine(old)


@register_version_fault
async def crash_engine(soak: "VersionSoak") -> None:
    """End an engine at once, and start another one of its version soon."""
    if len(soak.engines) < soak.engine_count - 1:
        return
    engine = soak.random.choice(soak.engines)
    await soak.end_engine(engine)
    await asyncio.sleep(soak.random.random())
    await soak.start_engine(engine.version)


@register_version_fault
async def crash_version(soak: "VersionSoak") -> None:
    """End all engines of a version at once, and start as many others soon."""
    version = soak.random.choice(VERSIONS)
    ended = [item for item in soak.engines if item.version == version]
    if len(ended) == len(soak.engines):
        return
    for engine in ended:
        await soak.end_engine(engine)
    await asyncio.sleep(soak.random.random() * 2)
    for engine in ended:
        await soak.start_engine(engine.version)


@register_version_fault
async def replace_process(soak: "VersionSoak") -> None:
    """Start another version under the identifier and at the port of an engine."""
    engine = soak.random.choice(soak.engines)
    engine.version = soak.random.choice(VERSIONS)
    engine.born_ms += 1000
    engine.register(soak.store)
    engine.reset_connections()


@register_version_fault
async def reset_store_connections(soak: "VersionSoak") -> None:
    """Reset the connections of one gateway to the store, again and again."""
    gateway = soak.random.choice(soak.gateways)
    end_s = time.monotonic() + 2 * soak.random.random()
    while time.monotonic() < end_s:
        gateway.store_proxy.reset_connections()
        soak.impaired_s[gateway.name] = time.monotonic()
        await asyncio.sleep(soak.random.random() * 0.01)


@register_version_fault
async def silence_store(soak: "VersionSoak") -> None:
    """Let the store be silent to one gateway for a while."""
    gateway = soak.random.choice(soak.gateways)
    gateway.store_proxy.held_directions = set(Direction)
    duration_s = 3 * soak.random.random()
    soak.impaired_s[gateway.name] = time.monotonic() + duration_s
    await asyncio.sleep(duration_s)
    gateway.store_proxy.held_directions = set()


@register_version_fault
async def stop_gateway(soak: "VersionSoak") -> None:
    """Stop a gateway with SIGTERM and start it again."""
    await restart_gateway(soak.random.choice(soak.gateways), signal.SIGTERM)


@register_version_fault
async def kill_gateway(soak: "VersionSoak") -> None:
    """Kill a gateway and start it again."""
    await restart_gateway(soak.random.choice(soak.gateways), signal.SIGKILL)


@register_version_fault
async def kill_all_gateways(soak: "VersionSoak") -> None:
    """Kill all gateways at once and start them again."""
    soak.unknown_until_s = time.monotonic() + UNKNOWN_S
    await asyncio.gather(
        *(restart_gateway(item, signal.SIGKILL) for item in soak.gateways)
    )


@register_version_fault
async def refuse_store_calls(soak: "VersionSoak") -> None:
    """Make the store refuse every call for a while."""
    soak.unknown_until_s = time.monotonic() + UNKNOWN_S
    soak.store.refusal_status = soak.random.choice((503, 429))
    duration_s = soak.random.random() * 2
    soak.store_impaired_s = time.monotonic() + duration_s
    await asyncio.sleep(duration_s)
    soak.store.refusal_status = None
