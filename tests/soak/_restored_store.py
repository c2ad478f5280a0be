"""Restore the store from old copies, and write again what it lost."""

import asyncio
import time
from collections import deque
from typing import Any, Final

from tests.platform_standin import StoreCopy, StoreStandin
from tests.soak._checks import Drain, RouteChange
from tests.soak._faults import Fault, FaultTargets, change_configuration

COPY_INTERVAL_S: Final = 0.5
# A copy is up to this old.
MAX_COPY_AGE_S: Final = 9.0
MAX_OUTAGE_S: Final = 2.0
# The operator and the upstreams write again within this time.
MAX_REWRITE_DELAY_S: Final = 5.0
# Fraction of the chosen faults that restore the store; time limits hold in between.
RESTORE_FRACTION: Final = 0.3
# Fraction of the returns at which the operator at once writes a newer configuration.
CHANGE_AT_RETURN_FRACTION: Final = 0.5
# Kinds that the operator and the upstreams write.
OUTSIDE_KINDS: Final = ("config", "servers")
SERIES_CHANGES: Final = 5
SERIES_INTERVAL_S: Final = 0.1

RESTORE_FAULTS: Final[dict[str, Fault]] = {}
FIRST_RESTORE_FAULTS: Final = ("change_configuration_in_series", "restore_store")


class RestorableStore(StoreStandin):
    """Represent a store that keeps copies and remembers what others last wrote."""

    def __init__(self) -> None:
        super().__init__()
        self._copies: deque[tuple[float, StoreCopy]] = deque(
            maxlen=int(MAX_COPY_AGE_S / COPY_INTERVAL_S)
        )
        self._newest: dict[tuple[str, str], Any] = {}

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object."""
        if kind in OUTSIDE_KINDS:
            self._newest[kind, name] = spec
        super().put(kind, name, spec)

    async def take_copies(self) -> None:
        """Take a copy from time to time until cancelled."""
        while True:
            if not self.is_down:
                self._copies.append((time.monotonic(), self.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    def find_copy(self, age_s: float) -> StoreCopy:
        """Return the newest copy of an age, or the oldest one."""
        limit_s = time.monotonic() - age_s
        old = [copy for taken_s, copy in self._copies if taken_s <= limit_s]
        return old[-1] if old else self._copies[0][1]

    def list_lost(self) -> list[tuple[str, str]]:
        """Return the objects that are not as they were last written."""
        return [
            key for key, spec in self._newest.items() if not self.has_spec(*key, spec)
        ]

    def get_newest(self, kind: str, name: str) -> Any:
        """Return what was last written to an object."""
        return self._newest[kind, name]


def _register_restore(fault: Fault) -> Fault:
    RESTORE_FAULTS[fault.__name__] = fault
    return fault


@_register_restore
async def restore_store(targets: FaultTargets) -> None:
    """Take the store away, bring back an old copy, and write again what it lost."""
    store = targets.store
    assert isinstance(store, RestorableStore)
    findings = targets.observations.findings
    is_chosen = (
        targets.random.random() < RESTORE_FRACTION or not findings.restored_count
    )
    if store.is_down or not is_chosen:
        return
    findings.restored_count += 1
    copy = store.find_copy(targets.random.random() * MAX_COPY_AGE_S)
    outage_s = targets.random.random() * MAX_OUTAGE_S
    cut_watches = targets.random.random() < 0.5
    # Until the operator writes again, the configuration of the copy may be in force.
    changes = targets.observations.route_changes
    if changes:
        changes.append(RouteChange(float("inf"), changes[-1].present))
    try:
        with targets.observations.impairments.record_span():
            await store.restore_after_outage(copy, outage_s, cut_watches=cut_watches)
        if targets.random.random() < CHANGE_AT_RETURN_FRACTION:
            await change_configuration(targets)
        delays_s = {
            key: targets.random.random() * MAX_REWRITE_DELAY_S
            for key in store.list_lost()
        }
        await asyncio.gather(
            *(_write_later(targets, key, delay) for key, delay in delays_s.items())
        )
    finally:
        store.is_down = False
        for key in store.list_lost():
            _write_again(targets, key)
        _acknowledge_route(targets)


@_register_restore
async def change_configuration_in_series(targets: FaultTargets) -> None:
    """Write several configurations one shortly after another."""
    for _ in range(SERIES_CHANGES):
        await change_configuration(targets)
        await asyncio.sleep(SERIES_INTERVAL_S)


async def _write_later(
    targets: FaultTargets, key: tuple[str, str], delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    if not targets.store.is_down:
        _write_again(targets, key)


def _write_again(targets: FaultTargets, key: tuple[str, str]) -> None:
    """Write an object as it was last written, unless that has been done."""
    store = targets.store
    assert isinstance(store, RestorableStore)
    if key not in store.list_lost():
        return
    kind, name = key
    spec = store.get_newest(kind, name)
    if kind == "servers":
        upstream = next(item for item in targets.upstreams if item.name == name)
        upstream.sequence += 1
        spec = spec | {"seq": upstream.sequence}
        if spec["state"] == "draining":
            targets.observations.drains.append(Drain(name, time.monotonic()))
    store.put(kind, name, spec)
    if kind == "config":
        _acknowledge_route(targets)


def _acknowledge_route(targets: FaultTargets) -> None:
    changes = targets.observations.route_changes
    if changes and changes[-1].acknowledged_s == float("inf"):
        changes.append(RouteChange(time.monotonic(), changes[-1].present))
