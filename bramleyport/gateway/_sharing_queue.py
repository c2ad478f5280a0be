"""Make calls wait whose accounts have more than their share of a scarce service."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.admission import Rejected
from bramleyport.core import Explanation, ServiceName
from bramleyport.fleet import (
    MAX_WAITING,
    NO_ACCOUNT,
    USABLE_FRACTION,
    AccountRank,
    AccountUse,
    Admit,
    Call,
    CallTimes,
    CapacityUse,
    Configuration,
    FairSharing,
    Refuse,
    Registration,
    SharingCall,
    extend_for_one,
    has_free_prefill,
    has_free_slots,
    may_still_run,
    measure_prefill,
    measure_slots,
)
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._serving import list_away
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._work_tracker import WorkTracker
from bramleyport.telemetry import gateway_events, log_event

# Prefill advances, and upstreams and configurations change, without an event here.
POLL_INTERVAL_S: Final = 0.02
# Why a call is refused whose account has its share of the service.
OVER_SHARE: Final = "over_share"


@dataclass(frozen=True, slots=True)
class _WaitingCall:
    """Represent a call that waits, and what ends its wait."""

    call: Call
    released: asyncio.Future[None]


class SharingQueue:
    """Represent the calls that wait for their accounts' share of a service."""

    def __init__(self, state: GatewayState, tracker: WorkTracker) -> None:
        self._state = state
        self._by_service: dict[ServiceName, FairSharing] = {}
        self._waiting: dict[SharingCall, _WaitingCall] = {}
        # The last call that found no free capacity.
        self._last_calls: dict[ServiceName, SharingCall] = {}
        self._run_times = CallTimes()
        # By which the keys of waiting calls were checked last.
        self._configuration: Configuration | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._release_handle: asyncio.Handle | None = None
        tracker.on_capacity_freed = self._release_soon

    def record_run(self, call: Call, elapsed_s: float) -> None:
        """Record the time in which a plain upstream ran a call."""
        self._run_times.record(call, elapsed_s)

    async def enter(self, context: CallContext) -> Rejected | None:
        """Return once a call may be sent, or why it can't be sent in time."""
        if not self._is_subject(context):
            return None
        now_s = read_now()
        key = AccountRank(
            context.call.account_name or NO_ACCOUNT, context.call.priority
        )
        call = SharingCall(key, context.call.route.objective_s)
        service = context.call.service
        sharing = self._by_service.setdefault(service, FairSharing())
        sharing.record_asking([key.account], now_s)
        if not sharing.is_short(now_s) and self._has_free(service, call, now_s):
            return None
        self._release_service(service, sharing)
        self._last_calls[service] = call
        use = self._measure(service, call, now_s)
        places = MAX_WAITING - len(self._waiting)
        max_s = self._find_longest_wait(context, use, now_s)
        decision = sharing.decide(
            call, use, max_wait_s=max_s, places=places, now_s=now_s
        )
        if isinstance(decision, Admit):
            return None
        if isinstance(decision, Refuse):
            return _refuse(sharing, call, use, decision.retry_after_s)
        return await self._wait(context, sharing, call, use, decision.max_s)

    def list_accounts(self) -> dict[ServiceName, list[AccountUse]]:
        """Return what accounts have of the services that they share."""
        now_s = read_now()
        return {
            service: sharing.describe(
                self._measure(service, self._last_calls[service], now_s)
            )
            for service, sharing in self._by_service.items()
            if service in self._last_calls and sharing.is_shared(now_s)
        }

    def _is_subject(self, context: CallContext) -> bool:
        """Return whether a call needs a share: it has not begun, nor been tried."""
        configuration = self._state.configuration
        if configuration is None or configuration.accounts is None:
            return False
        return not context.tried and context.version is None

    async def _wait(
        self,
        context: CallContext,
        sharing: FairSharing,
        call: SharingCall,
        use: CapacityUse,
        max_s: float,
    ) -> Rejected | None:
        began_s = read_now()
        numbers = _describe(sharing, call, use)
        log_event(
            gateway_events.CALL_WAITS,
            request=context.call.request,
            service=context.call.service,
            account=call.key.account,
            priority=call.key.priority,
            forecast_s=round(sharing.forecast_wait(call.key, use), 3),
            left_s=round(context.remaining_s, 3),
            **numbers,
        )
        released = asyncio.get_running_loop().create_future()
        sharing.add(call)
        self._waiting[call] = _WaitingCall(context.call, released)
        self._state.waiting_calls[context.call.service] += 1
        self._schedule()
        try:
            async with asyncio.timeout_at(began_s + max_s):
                await released
        except TimeoutError:
            self._release_soon()
            use = self._measure(context.call.service, call, read_now())
            return _refuse(sharing, call, use, sharing.forecast_retry(call.key, use))
        except asyncio.CancelledError:
            # What was meant for a caller that has left goes to the next one.
            self._release_soon()
            raise
        finally:
            self._state.waiting_calls[context.call.service] -= 1
            del self._waiting[call]
            sharing.remove(call)
        log_event(
            gateway_events.CALL_ADMITTED,
            request=context.call.request,
            account=call.key.account,
            waited_s=round(read_now() - began_s, 3),
        )
        return None

    def _find_longest_wait(
        self, context: CallContext, use: CapacityUse, now_s: float
    ) -> float:
        """Return how long a call can wait and still be answered in time."""
        left_s = USABLE_FRACTION * context.remaining_s
        if self._state.shutdown is not None:
            left_s = min(left_s, self._state.shutdown.end_s - now_s)
        return left_s - self._forecast_run(context, use)

    def _forecast_run(self, context: CallContext, use: CapacityUse) -> float:
        call = context.call
        if context.engine is not None:
            return use.call_size + self._state.decode_times.forecast(call)
        return self._run_times.forecast(call) or call.route.objective_s

    def _list_ready(self, service: ServiceName, now_s: float) -> Sequence[Registration]:
        """Return the upstreams that run or prefill calls now, in any stage."""
        out = list_away(self._state, service, now_s)
        out |= self._state.list_paused(service, now_s)
        return [
            item
            for item in self._state.members.list_ready(service)
            if item.upstream not in out
            and not self._state.is_changing(item.upstream, now_s)
        ]

    def _has_engines(self, service: ServiceName) -> bool:
        configuration = self._state.configuration
        found = configuration.services.get(service) if configuration else None
        return found is not None and found.engine is not None

    def _has_free(self, service: ServiceName, call: SharingCall, now_s: float) -> bool:
        ready = self._list_ready(service, now_s)
        loads = self._state.loads
        if not self._has_engines(service):
            return has_free_slots(ready, loads)
        return has_free_prefill(
            ready, loads, call.key.priority, call.objective_s, now_s
        )

    def _measure(
        self, service: ServiceName, call: SharingCall, now_s: float
    ) -> CapacityUse:
        ready = self._list_ready(service, now_s)
        loads = self._state.loads
        gateways = self._state.gateway_count or 1
        if self._has_engines(service):
            use = measure_prefill(
                ready, loads, call.key, call.objective_s, gateways, now_s
            )
        else:
            run_s = self._run_times.forecast_service(service) or call.objective_s
            use = measure_slots(ready, loads, run_s, gateways)
            # Gateways that send no calls of the service need no part of its slots.
            senders = self._state.unseen_load.count_senders(service)
            use = replace(use, gateways=min(gateways, senders))
        sharing = self._by_service[service]
        accounts = {key.account for key in use.occupied} - {NO_ACCOUNT}
        sharing.record_asking(accounts, now_s)
        return use if sharing.is_shared(now_s) else extend_for_one(use)

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._timer = None
        if not self._waiting:
            return
        self._schedule()
        self._check_configuration()
        self._release_all()

    def _release_soon(self) -> None:
        """Release calls once all that ended at this moment is recorded."""
        if self._waiting and self._release_handle is None:
            loop = asyncio.get_running_loop()
            self._release_handle = loop.call_soon(self._release_all)

    def _release_all(self) -> None:
        self._release_handle = None
        for service, sharing in self._by_service.items():
            if sharing:
                self._release_service(service, sharing)

    def _release_service(self, service: ServiceName, sharing: FairSharing) -> None:
        """Release the calls of a service that may be sent now."""
        now_s = read_now()
        configuration = self._state.configuration
        has_accounts = configuration is not None and configuration.accounts is not None
        if not has_accounts:
            for call in sharing.list_waiting():
                self._release(sharing, call)
            return

        def measure(call: SharingCall) -> CapacityUse:
            return self._measure(service, call, now_s)

        while (released := sharing.release_next(measure, now_s)) is not None:
            self._resume(released)

    def _check_configuration(self) -> None:
        """Release the calls whose keys a new configuration has taken away."""
        configuration = self._state.configuration
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        for sharing in self._by_service.values():
            for call in sharing.list_waiting():
                if not may_still_run(configuration, self._waiting[call].call):
                    self._release(sharing, call)

    def _release(self, sharing: FairSharing, call: SharingCall) -> None:
        sharing.release(call)
        self._resume(call)

    def _resume(self, call: SharingCall) -> None:
        released = self._waiting[call].released
        if not released.done():
            released.set_result(None)


def _refuse(
    sharing: FairSharing, call: SharingCall, use: CapacityUse, retry_after_s: float
) -> Rejected:
    numbers = _describe(sharing, call, use)
    return Rejected(Explanation(reason=OVER_SHARE, numbers=numbers), retry_after_s)


def _describe(
    sharing: FairSharing, call: SharingCall, use: CapacityUse
) -> dict[str, float]:
    share = min(use.capacity, sharing.find_share(call.key, use, asking=1))
    return {
        "capacity": round(use.capacity, 3),
        "used": round(use.used, 3),
        "share": round(share, 3),
        "occupied": round(use.occupied.get(call.key, 0.0), 3),
        "waiting": float(len(sharing)),
    }
