"""Do the duties of all gateways while this one has their lease."""

import asyncio
import math
from typing import Final

from bramleyport.authority import LeaseTimes
from bramleyport.core import FencingNumber
from bramleyport.duties import CallPacing
from bramleyport.duties._reporter import UsageReporter
from bramleyport.duties._sender import DutySender
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._lease import OrderLease
from bramleyport.gateway._peers import PeerLink
from bramleyport.gateway._scaling import ScaleController
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._usage import UsageExchange
from bramleyport.http1 import HttpClient
from bramleyport.platform import Duty, DutyClient, DutySettings, ObjectName, StoreClient
from bramleyport.supervision import supervise
from bramleyport.telemetry import Metrics, duty_events, log_event

DUTIES_LEASE: Final = ObjectName("duties")
POLL_INTERVAL_S: Final = 0.25
RELEASE_POLL_S: Final = 0.02
# The list of peers is complete by then. Earlier, each gateway could be a candidate.
START_DELAY_S: Final = 2.5
# A holder tells its status every 0.25 s. Candidates read the lease only after it has
# told none for this long, so the store sees no calls of theirs meanwhile.
HOLDER_SILENT_S: Final = 1.5
# A gateway that drains leaves the duties to the other candidates, unless none of them
# has taken the lease within this time: all of them may be draining.
DRAINING_REST_S: Final = 4.0
# Shorter than those of the lease for stage orders: the silence of a dead holder, the
# rest of the TTL and the report have to fit into the time at which reports are due.
LEASE_TIMES: Final = LeaseTimes(
    ttl_s=4.0,
    renew_interval_s=1.25,
    poll_interval_s=1.5,
    act_margin_s=1.5,
    reply_timeout_s=1.5,
    renewal_reply_timeout_s=0.7,
    retry_delay_s=0.4,
)


class DutyRunner:
    """Decide whether this gateway is to hold the duties, and run their jobs."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        peers: PeerLink,
        client: HttpClient,
        metrics: Metrics,
        settings: DutySettings,
    ) -> None:
        self._state = state
        self._store = store
        self._peers = peers
        self._metrics = metrics
        self._settings = settings
        self._lease: OrderLease | None = None
        self._exchange = UsageExchange(state, peers, settings, self.find_fencing)
        duty_client = DutyClient(client, settings.address, state.settings.process)
        pacing = CallPacing(settings.calls_per_s)
        self._sender = DutySender(duty_client, pacing, lambda: self._lease, metrics)
        self._reporter = UsageReporter(
            self.find_fencing, store, self._sender, self._exchange
        )
        self._scaling = ScaleController(state, self._sender, self.find_fencing, metrics)
        self._wanted = False
        self._was_held = False
        self._is_leaving = False
        # When this gateway last knew of a holder.
        self._holder_known_s = -math.inf

    def find_fencing(self) -> FencingNumber | None:
        """Return the fencing number for the duties, or None while they aren't held."""
        return None if self._lease is None else self._lease.find_fencing()

    async def run(self) -> None:
        """Run the duties until cancelled."""
        jobs = [
            self._exchange.run,
            self._run_candidacy,
            self._run_lease,
            self._reporter.run_settling,
            self._reporter.run_sending,
        ]
        if Duty.SCALE in self._settings.duties:
            jobs.append(self._scaling.run)
        await asyncio.gather(*(supervise(job) for job in jobs))

    async def leave(self) -> None:
        """Release the lease, and tell the others what was counted, before the exit."""
        self._is_leaving = True
        self._update_candidacy()
        while self._lease is not None and not self._lease.is_idle:
            await asyncio.sleep(RELEASE_POLL_S)
        self.tell_last_counts()

    def tell_last_counts(self) -> None:
        """Tell the other gateways what was counted here, for the last time."""
        self._exchange.leave()

    def close(self) -> None:
        """Close the connections to the platform API."""
        self._sender.close()

    async def _run_candidacy(self) -> None:
        await asyncio.sleep(START_DELAY_S)
        while True:
            self._update_candidacy()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _run_lease(self) -> None:
        while self._lease is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._lease.run()

    def _update_candidacy(self) -> None:
        wanted = self._is_wanted()
        if wanted and self._lease is None:
            settings = self._state.settings
            self._lease = OrderLease(
                settings.process,
                self._store,
                self._settings.thaw_s,
                first_start=settings.first_start,
                name=DUTIES_LEASE,
                times=LEASE_TIMES,
            )
        if self._lease is not None and wanted != self._wanted:
            self._lease.set_wanted(wanted=wanted)
            self._wanted = wanted
        self._report_held()

    def _is_wanted(self) -> bool:
        if self._is_leaving or not self._exchange.is_active:
            return False
        now_s = read_now()
        if self._lease is not None and self._lease.is_held:
            self._holder_known_s = now_s
            # Whoever holds the duties keeps them to the end of a planned stop, too: all
            # gateways may be stopping.
            return True
        if now_s - self._exchange.holder_heard_s <= HOLDER_SILENT_S:
            self._holder_known_s = now_s
            return False
        if self._state.draining and self._peers.heard:
            rest_s = now_s - self._holder_known_s
            return self._exchange.is_candidate and rest_s > DRAINING_REST_S
        return self._exchange.is_candidate

    def _report_held(self) -> None:
        fencing = self.find_fencing()
        held = fencing is not None
        if held != self._was_held:
            log_event(duty_events.DUTY_HOLDER_CHANGED, held=held, fencing=fencing)
            self._was_held = held
        gauges = self._metrics.gauges
        gauges.set({"name": "duties_held"}, float(held))
        ledger = self._reporter.ledger
        gauges.set({"name": "usage_unsent"}, float(ledger.unsent if held else 0))
