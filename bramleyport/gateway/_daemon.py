"""Run the gateway process with its listeners, background jobs and shutdown."""

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from bramleyport.core import SettingsError, StepError, UpstreamId
from bramleyport.fleet import Address, ShutdownSchedule
from bramleyport.gateway._begun_stream_store import BegunStreamStore
from bramleyport.gateway._caches import CacheReader
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._configuration_offers import ConfigurationOffers
from bramleyport.gateway._crash_guard import CrashGuard
from bramleyport.gateway._exchange import Exchanger
from bramleyport.gateway._follower import (
    Follower,
    StateUpdater,
    UnsharedLink,
    WatchTimes,
    choose_watch_times,
)
from bramleyport.gateway._forward import Forwarder
from bramleyport.gateway._metrics import MetricsPage
from bramleyport.gateway._peer_directory import PeerDirectory
from bramleyport.gateway._peers import ANNOUNCE_INTERVAL_S, PeerLink
from bramleyport.gateway._readiness import Readiness
from bramleyport.gateway._sharing_queue import SharingQueue
from bramleyport.gateway._shutdown import Shutdown
from bramleyport.gateway._stages import StageController
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._state_updaters import (
    CONFIGURATION_NAME,
    ConfigurationUpdater,
    RegistrationUpdater,
)
from bramleyport.gateway._verdict_store import VerdictStore
from bramleyport.gateway._version_store import VersionStore
from bramleyport.gateway._work_tracker import WorkTracker
from bramleyport.http1 import (
    CallerBudget,
    CallerFactory,
    ConnectionLimits,
    limit_receive_buffer,
)
from bramleyport.listening import BACKLOG
from bramleyport.platform import (
    ObjectKind,
    ObjectName,
    StoreClient,
    load_node_settings,
)
from bramleyport.supervision import Job, supervise
from bramleyport.telemetry import Metrics, events, gateway_events, log_event

if TYPE_CHECKING:
    from bramleyport.gateway._duties import DutyRunner

# The store normally answers within milliseconds.
LEAVE_TIMEOUT_S: Final = 0.2
HOUSEKEEPING_INTERVAL_S: Final = 0.25
SETTINGS_POLL_INTERVAL_S: Final = 2.0
# Duration of a watch for objects that change rarely.
OWN_WAIT_S: Final = 20.0


class Gateway:
    """Represent the gateway process with its listeners and background jobs."""

    def __init__(
        self,
        state: GatewayState,
        settings_path: Path,
        reactor: Any,
        store: StoreClient,
        exchanger: Exchanger,
        forwarder: Forwarder,
        tracker: WorkTracker,
        peers: PeerLink,
        guard: CrashGuard,
        verdicts: VerdictStore,
        versions: VersionStore,
        begun_streams: BegunStreamStore,
        caller_budget: CallerBudget,
        sharing: SharingQueue,
        metrics: Metrics,
        metrics_port: int | None,
        duties: "DutyRunner | None" = None,
    ) -> None:
        self._state = state
        self._settings_path = settings_path
        self._reactor = reactor
        self._store = store
        self._exchanger = exchanger
        self._tracker = tracker
        self._peers = peers
        self._guard = guard
        self._verdicts = verdicts
        self._versions = versions
        self._begun_streams = begun_streams
        self._directory = PeerDirectory(state.settings, store, peers, state.roster)
        self._readiness = Readiness(state)
        self._metrics_port = metrics_port
        self._duties = duties
        page = MetricsPage(state, metrics, caller_budget, sharing)
        self._pages = CallerFactory(
            page.handle, self._read_limits, caller_budget, privileged=True
        )
        self._callers = CallerFactory(
            forwarder.handle, self._read_limits, caller_budget
        )
        self._checks = CallerFactory(
            self._readiness.handle, self._read_limits, caller_budget, privileged=True
        )
        self._registrations = RegistrationUpdater(state, self._remove_upstream)
        store.on_answered.append(self._registrations.record_other_answer)
        self._caches = CacheReader(state, exchanger)
        self._stages = StageController(state, store, exchanger, peers)
        self._tasks: list[asyncio.Task[None]] = []
        self._ports: list[Any] = []
        self._caller_port: Any = None
        self._shutdown = Shutdown(state, self._callers)
        self._settings_bytes = b""

    @property
    def state(self) -> GatewayState:
        """Return the shared state of the gateway."""
        return self._state

    async def start(self) -> None:
        """Listen for callers and start the background jobs."""
        settings = self._state.settings
        if not settings.first_start:
            self._state.replaced_s = read_now()
        self._listen(settings.readiness_address, self._checks)
        self._caller_port = self._listen(settings.caller_address, self._callers)
        self._listen_peers()
        if self._metrics_port is not None:
            self._listen(Address(settings.host, self._metrics_port), self._pages)
        self._settings_bytes = self._settings_path.read_bytes()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for job in self._list_jobs():
            self._tasks.append(loop.create_task(supervise(job)))
        log_event(
            events.PROCESS_STARTED,
            callers=str(settings.caller_address),
            store=str(settings.store.address),
            zone=settings.place.zone,
        )

    async def stop(self) -> None:
        """Stop accepting callers, finish running calls, then leave and close."""
        log_event(events.PROCESS_STOPPING, connections=len(self._callers.connections))
        try:
            schedule = await self._shutdown.run(self._caller_port)
            await self._leave(schedule)
        except Exception as error:  # the process has to end all the same
            log_event(events.HANDLER_FAILED, step="stop", error=repr(error))
        cut = sum(connection.serving for connection in self._callers.connections)
        if cut:
            log_event(gateway_events.CALLS_CUT, calls=cut)
        self.halt()
        log_event(events.PROCESS_STOPPED)

    async def _leave(self, schedule: ShutdownSchedule) -> None:
        """Leave the list of gateways, if the store answers in time."""
        if self._duties is not None:
            await self._leave_duties(self._duties, schedule)
        leave_s = min(read_now() + LEAVE_TIMEOUT_S, schedule.exit_s)
        try:
            async with asyncio.timeout_at(leave_s):
                await self._directory.leave()
        except TimeoutError:
            log_event(
                gateway_events.GATEWAY_NOT_LISTED, reason="store did not answer in time"
            )

    async def _leave_duties(
        self, duties: "DutyRunner", schedule: ShutdownSchedule
    ) -> None:
        """Give up the duties; otherwise their lease expires after some seconds."""
        leave_s = min(read_now() + LEAVE_TIMEOUT_S, schedule.exit_s)
        try:
            async with asyncio.timeout_at(leave_s):
                await duties.leave()
        except TimeoutError:
            duties.tell_last_counts()

    def halt(self) -> None:
        """Stop at once, without waiting for callers."""
        for task in self._tasks:
            task.cancel()
        for port in self._ports:
            port.stopListening()
        for factory in (self._callers, self._checks, self._pages):
            for connection in list(factory.connections):
                connection.truncate_answer()
        self._exchanger.close()
        self._store.close()
        if self._duties is not None:
            self._duties.close()

    def _list_jobs(self) -> list[Job]:
        settings = self._state.settings
        configurations = ConfigurationUpdater(self._state)
        offers = ConfigurationOffers(self._state, configurations.apply_document)
        self._peers.list_chunks = offers.list_chunks
        self._peers.on_configuration = offers.receive
        follow_configuration = self._make_follower(
            ObjectKind.CONFIGURATION,
            configurations,
            settings.configuration_limit_s,
            CONFIGURATION_NAME,
        )
        follow_registrations = self._make_follower(
            ObjectKind.REGISTRATIONS, self._registrations, settings.drain_limit_s
        )
        jobs = [
            follow_configuration.run,
            follow_registrations.run,
            self._make_own_follower(ObjectKind.VERDICTS, self._verdicts).run,
            self._verdicts.run,
            self._make_own_follower(ObjectKind.VERSIONS, self._versions).run,
            self._versions.run,
            self._begun_streams.run,
            self._directory.run,
            self._run_housekeeping,
            self._watch_settings,
            self._announce_periodically,
            self._stages.run,
        ]
        return jobs if self._duties is None else [*jobs, self._duties.run]

    def _make_follower(
        self,
        kind: ObjectKind,
        updater: StateUpdater,
        bound_s: float,
        needed: ObjectName | None = None,
    ) -> Follower:
        times = choose_watch_times(self._state.settings.stable_s, bound_s)
        follower = Follower(self._store, kind, updater, times, self._peers, needed)
        follower.is_urgent = lambda: self._state.held_calls > 0
        self._peers.subscribe(kind, follower.receive_update)
        return follower

    def _make_own_follower(self, kind: ObjectKind, updater: StateUpdater) -> Follower:
        # Each gateway follows these kinds itself: they change rarely, and one that
        # hears no other gateway has to know them, too.
        times = WatchTimes(
            wait_s=OWN_WAIT_S, shared_wait_s=OWN_WAIT_S, pause_s=0.0, fresh_s=0.0
        )
        link = UnsharedLink(self._peers.process)
        return Follower(self._store, kind, updater, times, link)

    async def _run_housekeeping(self) -> None:
        ready = False
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._registrations.drop_lapsed()
            self._caches.read_new()
            self._tracker.drop_expired()
            self._peers.drop_unresponsive()
            self._state.drop_old_limits(read_now())
            if self._readiness.ready != ready:
                ready = self._readiness.ready
                log_event(gateway_events.READINESS_CHANGED, ready=ready)

    async def _announce_periodically(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S / 2)
            self._guard.repeat_reports()
            self._peers.announce_if_idle()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload()

    def _reload(self) -> None:
        """Reload the settings; changed addresses take effect only after a restart."""
        try:
            content = self._settings_path.read_bytes()
            if content == self._settings_bytes:
                return
            self._settings_bytes = content
            self._state.settings = load_node_settings(self._settings_path)
        except (OSError, SettingsError) as error:
            log_event(gateway_events.SETTINGS_REFUSED, reason=str(error))
            return
        self._state.apply_retry_bounds()
        log_event(gateway_events.SETTINGS_RELOADED)

    def _remove_upstream(self, upstream: UpstreamId) -> None:
        self._state.remove_upstream(upstream)
        self._exchanger.close_pool(upstream)
        self._guard.confirm_crash(upstream)

    def _listen(self, address: Address, factory: CallerFactory) -> Any:
        try:
            port = self._reactor.listenTCP(
                address.port, factory, backlog=BACKLOG, interface=address.host
            )
        except OSError as error:
            raise StepError("listen", str(address), str(error)) from error
        limit_receive_buffer(port)
        self._ports.append(port)
        return port

    def _listen_peers(self) -> None:
        settings = self._state.settings
        port = self._reactor.listenUDP(
            settings.peer_port, self._peers, interface=settings.host
        )
        self._ports.append(port)

    def _read_limits(self) -> ConnectionLimits:
        limits = self._state.limits
        return ConnectionLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
