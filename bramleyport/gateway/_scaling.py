"""Order the numbers of upstreams while this gateway holds the duties."""

import asyncio
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from bramleyport.core import FencingNumber, ServiceName, ZoneName
from bramleyport.duties import Backoff
from bramleyport.duties._sender import DutySender
from bramleyport.fleet import (
    Registration,
    ScaleBounds,
    ScaleChange,
    ScalePlan,
    ZoneLoad,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState
from bramleyport.platform import DutyResult, ScaleOrder
from bramleyport.telemetry import Metrics, duty_events, log_event

POLL_INTERVAL_S: Final = 0.5
LOWEST_PRIORITY: Final = 9
# A gateway that has just begun to hold the duties may not know of all work yet.
SETTLE_S: Final = 2.0


@dataclass(slots=True)
class _Subject:
    bounds: ScaleBounds
    plan: ScalePlan = field(default_factory=ScalePlan)
    backoff: Backoff = field(default_factory=Backoff)


class ScaleController:
    """Decide and order the number of upstreams by service and zone."""

    def __init__(
        self,
        state: GatewayState,
        sender: DutySender,
        find_fencing: Callable[[], FencingNumber | None],
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._sender = sender
        self._find_fencing = find_fencing
        self._metrics = metrics
        self._subjects: dict[tuple[ServiceName, ZoneName], _Subject] = {}
        self._tenure: FencingNumber | None = None
        self._held_since_s = -math.inf

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            self._observe()
            if not await self._order_first():
                await asyncio.sleep(POLL_INTERVAL_S)

    def _observe(self) -> None:
        """Record the loads of all subjects, and forget what is not scaled any more."""
        fencing = self._find_fencing()
        now_s = read_now()
        if fencing is None:
            self._metrics.scale.values.clear()
            self._subjects.clear()
            return
        if fencing != self._tenure:
            # Another holder may have ordered meanwhile: the upstreams that serve show
            # what is in force.
            self._subjects.clear()
            self._tenure, self._held_since_s = fencing, now_s
        scaled = dict(self._list_scaled())
        for key in [key for key in self._subjects if key[0] not in scaled]:
            del self._subjects[key]
        for name, bounds in scaled.items():
            for zone, load in self._measure_zones(name):
                subject = self._subjects.setdefault((name, zone), _Subject(bounds))
                subject.bounds = bounds
                subject.plan.observe(load, now_s)
                self._show(name, zone, "serving", load.serving)

    def _list_scaled(self) -> Iterator[tuple[ServiceName, ScaleBounds]]:
        configuration = self._state.configuration
        for service in configuration.services.values() if configuration else ():
            if service.scale is not None:
                yield service.name, service.scale

    def _measure_zones(
        self, service: ServiceName
    ) -> Iterator[tuple[ZoneName, ZoneLoad]]:
        zones: dict[ZoneName, list[Registration]] = {
            zone: [] for name, zone in self._subjects if name == service
        }
        # A zone in which all upstreams drain is one in which the service runs.
        for item in self._state.members.list_all():
            if item.service == service:
                zones.setdefault(item.zone, [])
        for item in self._state.members.list_ready(service):
            zones[item.zone].append(item)
        for zone, items in zones.items():
            yield zone, self._measure(items)

    def _measure(self, items: list[Registration]) -> ZoneLoad:
        now_s = read_now()
        loads = self._state.loads
        return ZoneLoad(
            serving=len(items),
            filled=sum(
                len(loads.of(item.upstream)) / max(1, item.slots) for item in items
            ),
            backlog_s=sum(
                loads.of(item.upstream).forecast_wait(LOWEST_PRIORITY, now_s)
                for item in items
            ),
        )

    async def _order_first(self) -> bool:
        """Send the first order that is due, more upstreams before fewer."""
        now_s = read_now()
        if self._find_fencing() is None or now_s - self._held_since_s < SETTLE_S:
            return False
        due = [
            (change, service, zone)
            for (service, zone), subject in self._subjects.items()
            if subject.backoff.until_s <= now_s
            for change in [subject.plan.choose(subject.bounds, now_s)]
            if change is not None
        ]
        if not due:
            return False
        change, service, zone = max(due, key=lambda item: item[0].added)
        await self._order(service, zone, change)
        return True

    async def _order(
        self, service: ServiceName, zone: ZoneName, change: ScaleChange
    ) -> None:
        subject = self._subjects[service, zone]
        answer = await self._sender.send(ScaleOrder(service, zone, change.desired))
        if answer.result is DutyResult.NOT_HELD:
            return
        if answer.result is DutyResult.ACCEPTED:
            subject.plan.record_ordered(change.desired, read_now())
            subject.backoff = Backoff()
            self._show(service, zone, "ordered", change.desired)
        else:
            # It may have been accepted. The number of the next try is the one that is
            # right then.
            subject.backoff.record_failure(read_now())
        _log_order(service, zone, change, answer.result, answer.fencing)

    def _show(
        self, service: ServiceName, zone: ZoneName, figure: str, count: int
    ) -> None:
        labels = {"service": service, "zone": zone, "figure": figure}
        self._metrics.scale.set(labels, float(count))


def _log_order(
    service: ServiceName,
    zone: ZoneName,
    change: ScaleChange,
    result: DutyResult,
    fencing: FencingNumber | None,
) -> None:
    is_accepted = result is DutyResult.ACCEPTED
    log_event(
        duty_events.SCALE_ORDERED if is_accepted else duty_events.SCALE_NOT_ORDERED,
        service=service,
        zone=zone,
        desired=change.desired,
        result=result.value,
        fencing=fencing,
        reason=change.explanation.reason,
        **change.explanation.numbers,
    )
