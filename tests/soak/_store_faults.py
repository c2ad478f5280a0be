"""Define what befalls the lists and the channels that gateways follow upstreams by."""

import asyncio
import time
from typing import Final

from tests.platform_standin import CursorReading
from tests.soak._checks import Drain
from tests.soak._faults import ODD_KINDS, Fault, FaultTargets

STORE_FAULTS: Final[dict[str, Fault]] = {}
# Entries in a page, so that the lists of a soak have several.
PAGE_SIZE: Final = 6
# Of these entries no whole page can consist, so that none is out of reach.
MAX_FOREIGN: Final = 2
FOREIGN_ENDS: Final = ("&x", "+x", "#x", "%x", " x", "%41", "?x=/", "\u0663")
FOREIGN_BEGINS: Final = ("", "a", "d0", "d1", "main", "p0", "p1", "z")
# Upstreams serve for so long after their entries are removed.
SERVES_ON_S: Final = 6.0
MAX_SLOW_S: Final = 0.3
MAX_CUTS: Final = 4
READINGS: Final = tuple(CursorReading)


def register_store_fault(fault: Fault) -> Fault:
    """Register a fault of the store's lists and channels."""
    STORE_FAULTS[fault.__name__] = fault
    return fault


@register_store_fault
async def leave_foreign_name(targets: FaultTargets) -> None:
    """Leave an entry under a name of its own; some have the body of an upstream."""
    store, random = targets.store, targets.random
    kind = random.choice(ODD_KINDS)
    name = random.choice(FOREIGN_BEGINS) + random.choice(FOREIGN_ENDS)
    known = [item for (found, item) in store.objects if found == kind]
    foreign = [item for item in known if item.endswith(FOREIGN_ENDS)]
    if name in known or len(foreign) >= MAX_FOREIGN:
        return
    bodies = [
        {},
        *(
            store.objects["servers", item.name]["spec"]
            for item in targets.upstreams
            if ("servers", item.name) in store.objects
        ),
    ]
    metadata = {"name": name, "revision": store.revision + 1}
    body = random.choice(bodies)
    store.put_item(kind, name, {"metadata": metadata, "spec": body})
    try:
        await asyncio.sleep(2 * targets.pick_duration_s())
    finally:
        store.delete(kind, name)


@register_store_fault
async def remove_silently(targets: FaultTargets) -> None:
    """Remove an upstream that reports nothing and serves on, and start it again."""
    upstream = targets.pick_changeable()
    is_changing = any(
        drain.upstream == upstream.name and drain.until_s == float("inf")
        for drain in targets.observations.drains
    )
    if is_changing or ("servers", upstream.name) not in targets.store.objects:
        return
    targets.store.delete("servers", upstream.name)
    targets.observations.drains.append(Drain(upstream.name, time.monotonic()))
    try:
        await asyncio.sleep(targets.random.random() * SERVES_ON_S)
    finally:
        targets.end_drains(upstream)
        targets.restart_upstream(upstream)


@register_store_fault
async def cut_store_channels(targets: FaultTargets) -> None:
    """Cut the channels of some gateways, or of all, to the store, a few times."""
    count = targets.random.randint(1, len(targets.gateways))
    for _ in range(targets.random.randint(1, MAX_CUTS)):
        for gateway in targets.random.sample(list(targets.gateways), count):
            gateway.store_proxy.reset_connections()
        await asyncio.sleep(0.5 + targets.pick_duration_s())


@register_store_fault
async def slow_store(targets: FaultTargets) -> None:
    """Make the store answer late for a while."""
    targets.store.delay_s = targets.random.random() * MAX_SLOW_S
    try:
        await asyncio.sleep(targets.pick_duration_s())
    finally:
        targets.store.delay_s = 0.0
