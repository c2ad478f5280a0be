"""Order engines to change their stage while holding the lease for orders."""

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from bramleyport.core import FencingNumber, ServiceName
from bramleyport.fleet import (
    EngineView,
    Registration,
    StageChange,
    StagePlanner,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._peers import PeerLink
from bramleyport.gateway._serving import list_away
from bramleyport.gateway._stage_orders import StageOrderTracker
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import ExchangeError
from bramleyport.platform import (
    EngineReport,
    MalformedDocumentError,
    OrderResult,
    StageOrder,
    StoreClient,
    decode_order_status,
    decode_report,
    make_report_request,
    make_stage_request,
)
from bramleyport.supervision import supervise
from bramleyport.telemetry import gateway_events, log_event

if TYPE_CHECKING:
    from bramleyport.gateway._lease import OrderLease

POLL_INTERVAL_S: Final = 0.25
# How long the lease is kept after the last planned change.
LEASE_KEEP_TIME_S: Final = 4.0
# Time after which all gateways have received the announcement of a change and send the
# engine no more calls.
ANNOUNCEMENT_DELAY_S: Final = 0.2
# Time for an engine to finish its running calls before it changes.
FINISH_TIME_S: Final = 0.7
# The list of peers is complete by then. Earlier, two gateways could both start to plan.
START_DELAY_S: Final = 2.5
# Stages are planned once no engine of the service has joined for this long: until then,
# the known engines do not show the actual mix of stages.
JOIN_SETTLE_TIME_S: Final = 1.2
LOWEST_PRIORITY: Final = 9


class StageController:
    """Decide and order the stages of engines while this gateway is first by name."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        exchanger: Exchanger,
        peers: PeerLink,
    ) -> None:
        self._state = state
        self._store = store
        self._exchanger = exchanger
        self._peers = peers
        self._planners: dict[ServiceName, StagePlanner] = {}
        self._lease: OrderLease | None = None
        self._lease_task: asyncio.Task[None] | None = None
        self._wanted_until_s = 0.0
        # Engine count of each service at the last poll, and when it last increased.
        self._engine_counts: dict[ServiceName, tuple[int, float]] = {}
        self._orders = StageOrderTracker()

    async def run(self) -> None:
        """Plan and order stages until cancelled; the lease is kept after an error."""
        try:
            await asyncio.sleep(START_DELAY_S)
            while True:
                await self._poll()
                await asyncio.sleep(POLL_INTERVAL_S)
        except asyncio.CancelledError:
            if self._lease_task is not None:
                self._lease_task.cancel()
            raise

    async def _poll(self) -> None:
        now_s = read_now()
        self._orders.drop_expired(now_s)
        if self._peers.is_first_by_name() and not self._state.draining:
            for change, service in self._list_changes(now_s):
                self._wanted_until_s = now_s + LEASE_KEEP_TIME_S
                self._ensure_lease()
                await self._apply(change, service)
        if self._lease is not None:
            self._lease.set_wanted(wanted=now_s < self._wanted_until_s)

    def _list_changes(self, now_s: float) -> Iterator[tuple[StageChange, ServiceName]]:
        configuration = self._state.configuration
        for service in configuration.services.values() if configuration else ():
            if service.engine is None:
                continue
            planner = self._planners.setdefault(service.name, StagePlanner())
            views = self._make_engine_views(service.name, now_s)
            if self._is_growing(service.name, len(views), now_s):
                continue
            # Those of all streams that may go on, not only of the new ones.
            versions = self._state.stream_versions.list_versions(service.name)
            change = planner.plan(views, service.engine.slots, now_s, versions or None)
            if change is not None:
                yield change, service.name

    def _make_engine_views(
        self, service: ServiceName, now_s: float
    ) -> list[EngineView]:
        away = list_away(self._state, service, now_s)
        ejected = self._state.list_ejected(service, now_s)
        views = []
        for item in self._state.members.list_ready(service):
            if item.stage is None:
                continue
            load = self._state.loads.of(item.upstream)
            views.append(
                EngineView(
                    registration=item,
                    backlog_s=load.forecast_wait(LOWEST_PRIORITY, now_s),
                    decoding_calls=load.count_decoding(),
                    transfer_s=load.transfer_s,
                    changing=self._state.is_changing(item.upstream, now_s)
                    or self._orders.is_pending(item),
                    ejected=item.upstream in ejected,
                    away=item.upstream in away,
                    limited=self._state.rate_limiter.find(item) is not None,
                    ordered_stage=self._orders.find_ordered_stage(item.upstream),
                )
            )
        return views

    def _is_growing(self, service: ServiceName, count: int, now_s: float) -> bool:
        """Return whether engines have joined a service recently."""
        previous_count, _ = self._engine_counts.get(service, (0, now_s))
        if count > previous_count:
            self._engine_counts[service] = (count, now_s)
        _, joined_s = self._engine_counts.get(service, (count, now_s))
        if count < previous_count:
            self._engine_counts[service] = (count, joined_s)
        return now_s - joined_s < JOIN_SETTLE_TIME_S

    def _ensure_lease(self) -> None:
        if self._lease is not None:
            return
        # Imported only by the gateway that plans, to save the others time and memory.
        from bramleyport.gateway._lease import OrderLease

        settings = self._state.settings
        self._lease = OrderLease(
            settings.process,
            self._store,
            settings.lease_s,
            first_start=settings.first_start,
        )
        self._lease.set_wanted(wanted=True)
        self._lease_task = asyncio.ensure_future(supervise(self._lease.run))

    async def _apply(self, change: StageChange, service: ServiceName) -> None:
        if self._lease is None or self._lease.find_fencing() is None:
            return
        target = self._state.members.find(change.upstream)
        configuration = self._state.configuration
        # The configuration may have dropped the service since the change was planned.
        known = configuration.services.get(service) if configuration else None
        if target is None or known is None:
            return
        engine = known.engine
        switch_s = engine.switch_s if engine else 0.0
        until_s = read_now() + switch_s + FINISH_TIME_S
        self._peers.announce_change(change.upstream, until_s)
        await asyncio.sleep(ANNOUNCEMENT_DELAY_S)
        self._lease.orders_in_flight += 1
        try:
            await self._order_change(target, change, service)
        finally:
            self._lease.orders_in_flight -= 1

    async def _order_change(
        self, target: Registration, change: StageChange, service: ServiceName
    ) -> None:
        now_s = read_now()
        report = await self._read_report(target)
        if report is None or report.busy or report.stage is change.stage:
            return
        # Checked last, because the lease may have expired while the report was read.
        assert self._lease is not None
        fencing = self._lease.find_fencing()
        if fencing is None:
            return
        self._planners[service].record_change(change.upstream, now_s, change.stage)
        self._orders.record_ordered(change.upstream, change.stage, now_s)
        result = await self._send_order(target, change, report, fencing)
        if result is OrderResult.UNKNOWN:
            self._orders.record_unanswered(change.upstream, now_s)
        log_event(
            gateway_events.STAGE_ORDERED,
            upstream=change.upstream,
            version=target.version,
            stage=change.stage.value,
            fencing=fencing,
            expected=report.orders_accepted,
            result=result.value,
            reason=change.explanation.reason,
            **change.explanation.numbers,
        )

    async def _send_order(
        self,
        target: Registration,
        change: StageChange,
        report: EngineReport,
        fencing: FencingNumber,
    ) -> OrderResult:
        order = StageOrder(
            upstream=change.upstream,
            stage=change.stage,
            holder=self._state.settings.process,
            fencing=fencing,
            expected=report.orders_accepted,
        )
        try:
            answer = await self._exchanger.call(target, make_stage_request(order))
        except ExchangeError as error:
            log_event(
                gateway_events.ORDER_UNANSWERED,
                upstream=change.upstream,
                reason=str(error),
            )
            return OrderResult.UNKNOWN
        return decode_order_status(answer.status)

    async def _read_report(self, target: Registration) -> EngineReport | None:
        try:
            answer = await self._exchanger.call(target, make_report_request())
            return decode_report(answer.body)
        except (ExchangeError, MalformedDocumentError) as error:
            log_event(
                gateway_events.REPORT_NOT_READ,
                upstream=target.upstream,
                reason=str(error),
            )
            return None
