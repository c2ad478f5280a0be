"""The agent process, through which all work reaches one upstream."""

import asyncio
import time
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bramleyport.agent._attempt import AgentAttempt, Upstream, cancel_attempt
from bramleyport.agent._cache import AgentCache
from bramleyport.agent._engine_report import MalformedReportError, apply_report
from bramleyport.agent._gate import WorkGate
from bramleyport.agent._metrics import AgentMetrics
from bramleyport.agent._prefill import AgentPrefill
from bramleyport.agent._scheduler import AgentScheduler
from bramleyport.core import (
    AttemptId,
    Execution,
    ServiceKind,
    UpstreamId,
    UpstreamState,
    UpstreamView,
    ZoneName,
)
from bramleyport.queueing import QueuePolicy, Refused as QueueRefused
from bramleyport.supervision import supervise
from bramleyport.telemetry import (
    Metrics,
    authority_events,
    events,
    log_event,
    membership_events,
)
from bramleyport.transport import listen
from bramleyport.upstreams import EngineClient, UpstreamError
from bramleyport.wire import (
    Accepted,
    Ack,
    CacheRequest,
    Cancel,
    Execute,
    Failed,
    LoadReport,
    Message,
    OrderNotice,
    Prefill,
    Resume,
    UpstreamInfo,
    pack_load,
)

if TYPE_CHECKING:
    from websockets.asyncio.server import Server

    from bramleyport.agent._orders import OrderApplier
    from bramleyport.estimate import Estimator
    from bramleyport.links._hub import PeerHub
    from bramleyport.settings import AgentSettings
    from bramleyport.transport import Connection, Identity

ATTEMPT_RETENTION_S: Final = 30.0
EXPIRE_INTERVAL_S: Final = 0.2
MS_PER_S: Final = 1000
# About the duration of one batch step of an engine.
DEFERRED_RETRY_S: Final = 0.02


class AgentDaemon:
    """Queue work for one upstream, run it and report the load to entries."""

    def __init__(
        self,
        settings: "AgentSettings",
        identity: "Identity",
        upstream: Upstream,
        queue: QueuePolicy,
        estimator: "Estimator",
        hub: "PeerHub",
        orders: "OrderApplier | None" = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._orders = orders
        self._run_id = uuid.uuid4().hex
        self.settings = settings
        self._hub = hub
        self._identity = identity
        self._upstream = upstream
        self._queue = queue
        self._connections: set[Connection] = set()
        self._attempts: dict[AttemptId, AgentAttempt] = {}
        self._running: set[AttemptId] = set()
        metrics = metrics or Metrics()
        self._metrics = AgentMetrics(metrics, settings.metrics_port)
        self._gate = WorkGate(
            queue,
            self._attempts,
            self._running,
            lambda: self._connections,
            self._post_description,
            self._metrics.count_refusal,
        )
        self._leaving = False
        self._view = UpstreamView(
            upstream=UpstreamId(settings.upstream),
            kind=settings.kind,
            zone=ZoneName(settings.process.zone),
            region=identity.region,
        )
        self._cache = AgentCache(self._view)
        self._posted: UpstreamInfo | None = None
        self._scheduler = AgentScheduler(queue, estimator, self._view, metrics)
        self._deferred_retry: asyncio.TimerHandle | None = None
        self._server: Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._background: set[asyncio.Future[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that accepts connections from peers."""
        assert self._server is not None
        return int(next(iter(self._server.sockets)).getsockname()[1])

    @property
    def metrics_port(self) -> int:
        """Return the port that serves the metrics."""
        return self._metrics.port

    async def start(self) -> None:
        """Read the upstream's state and accept connections."""
        await self._read_upstream()
        process = self.settings.process
        self._server = await listen(
            process.address,
            process.peer_port,
            self._identity,
            self._hub.read_revision,
            self._announce,
            self._handle,
            self._hub.detach,
        )
        await self._metrics.serve(
            process.address, self._make_load_report, self._get_state
        )
        self._hub.start()
        self._tasks = [
            asyncio.ensure_future(supervise(self._report_forever)),
            asyncio.ensure_future(supervise(self._expire_forever)),
        ]
        if self._orders is not None:
            self._tasks.append(asyncio.ensure_future(self._orders.run(self._gate)))
        log_event(events.PROCESS_STARTED, role="agent", process=process.process)

    async def stop(self) -> None:
        """Refuse new work, finish accepted work until the drain timeout, then close."""
        log_event(events.PROCESS_STOPPING, process=self.settings.process.process)
        self._leaving = True
        await self._hub.announce_leaving()
        deadline_s = time.monotonic() + self.settings.drain_timeout_s
        while self._has_work() and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        self._refuse_queued()
        for connection in list(self._connections):
            await connection.flush()
        for task in self._tasks:
            task.cancel()
        if self._deferred_retry is not None:
            self._deferred_retry.cancel()
        await self._metrics.close()
        await self._hub.close()
        if self._orders is not None:
            await self._orders.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        log_event(events.PROCESS_STOPPED, process=self.settings.process.process)

    def _refuse_queued(self) -> None:
        for attempt_id in self._gate.refuse_queued("leaving"):
            log_event(membership_events.WORK_HANDED_BACK, attempt=attempt_id)

    def _has_work(self) -> bool:
        return bool(self._running) or len(self._queue) > 0

    def _announce(self, connection: "Connection") -> None:
        self._connections.add(connection)
        connection.post(self._describe())
        self._hub.attach(connection)
        connection.post(self._make_load_report())
        connection.post(self._cache.make_full_report())

    def _handle(self, connection: "Connection", message: Message) -> None:
        if isinstance(message, Execute):
            self._accept(AgentAttempt(message, connection))
        elif isinstance(message, Prefill):
            prefill = AgentPrefill(message, connection, lambda: self._view.kv_address)
            self._accept(prefill)
        elif isinstance(message, Resume):
            self._resume(connection, message)
        elif isinstance(message, Ack):
            attempt = self._attempts.get(message.attempt)
            if attempt is not None:
                attempt.acknowledge(message.next_frame)
        elif isinstance(message, CacheRequest):
            connection.post(self._cache.make_full_report())
        elif isinstance(message, Cancel):
            self._cancel(message.attempt)
        elif isinstance(message, OrderNotice) and self._orders is not None:
            self._orders.handle_notice(message.sequence)
        else:
            self._hub.handle(connection, message)

    def _accept(self, attempt: AgentAttempt) -> None:
        connection, execute = attempt.connection, attempt.execute
        if not self._gate.ledger.receive(execute.attempt):
            log_event(authority_events.EXECUTE_DROPPED, attempt=execute.attempt)
            return
        if self._leaving or self._gate.changing:
            reason = "leaving" if self._leaving else "changing"
            self._gate.refuse(connection, execute.attempt, reason)
            return
        now_s = time.monotonic()
        arrived_s = now_s - (execute.work.targets.answer_s - execute.time_left_s)
        work = replace(execute.work, arrived_s=arrived_s)
        decision = self._scheduler.offer(execute.attempt, work, now_s, attempt.part)
        if isinstance(decision, QueueRefused):
            reason = decision.explanation.reason
            retry_after_s = decision.retry_after_s
            self._gate.refuse(connection, execute.attempt, reason, retry_after_s)
            return
        self._attempts[execute.attempt] = attempt
        connection.post(Accepted(attempt=execute.attempt))
        self._start_queued()

    def _start_queued(self) -> None:
        free = self.settings.max_streams - len(self._running)
        if free <= 0:
            return
        taken = self._scheduler.take(time.monotonic(), free)
        for item in taken:
            attempt = self._attempts[item.attempt]
            self._scheduler.prepare(attempt, item.work, self._metrics)
            self._running.add(item.attempt)
            attempt.task = asyncio.ensure_future(self._run(item.attempt, attempt))
        self._refuse_late()
        if len(taken) < free and len(self._queue) > 0:
            self._retry_deferred()

    def _retry_deferred(self) -> None:
        """Try again soon to start work that the queue has deferred."""
        if self._deferred_retry is not None:
            self._deferred_retry.cancel()
        self._deferred_retry = asyncio.get_running_loop().call_later(
            DEFERRED_RETRY_S, self._start_queued
        )

    async def _run(self, attempt_id: AttemptId, attempt: AgentAttempt) -> None:
        try:
            await attempt.run(self._upstream)
            self._metrics.observe(attempt)
            self._scheduler.observe(attempt)
            if attempt.answered:
                prefix = attempt.execute.work.prefix_blocks
                self._cache.confirm(prefix, time.monotonic())
        except asyncio.CancelledError:
            if isinstance(self._upstream, EngineClient):
                self._background.add(
                    asyncio.ensure_future(cancel_attempt(self._upstream, attempt_id))
                )
        except Exception as error:  # an error in one attempt must not end the process
            log_event(events.HANDLER_FAILED, attempt=attempt_id, error=repr(error))
            attempt.fail(Execution.UNKNOWN, "the agent failed")
        finally:
            self._running.discard(attempt_id)
            self._queue.finish(attempt_id, time.monotonic())
            self._start_queued()
            # An entry whose connection broke may still reconnect and ask for frames.
            asyncio.get_running_loop().call_later(
                ATTEMPT_RETENTION_S, self._attempts.pop, attempt_id, None
            )

    def _resume(self, connection: "Connection", message: Resume) -> None:
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            # Another run of the agent may have executed the attempt; the ledger
            # covers only the current run.
            execution = Execution.UNKNOWN
            if message.run == self._run_id:
                execution = self._gate.ledger.determine_execution(message.attempt)
            connection.post(
                Failed(
                    attempt=message.attempt,
                    execution=execution,
                    reason="no such attempt",
                )
            )
            return
        log_event(events.ATTEMPT_RESUMED, attempt=message.attempt, peer=connection.peer)
        attempt.resume(connection, message.next_frame)

    def _cancel(self, attempt_id: AttemptId) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        if self._queue.cancel(attempt_id):
            self._attempts.pop(attempt_id, None)
            self._gate.ledger.refuse(attempt_id)
        elif attempt.task is not None and self.settings.kind is ServiceKind.LANGUAGE:
            attempt.task.cancel()

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._refuse_late()

    def _refuse_late(self) -> None:
        for refused in self._scheduler.refuse_late(time.monotonic()):
            attempt = self._attempts.pop(refused.attempt, None)
            if attempt is not None:
                self._gate.refuse(
                    attempt.connection,
                    refused.attempt,
                    refused.reason,
                    refused.retry_after_s,
                )

    async def _report_forever(self) -> None:
        while True:
            await asyncio.sleep(self.settings.load_interval_s)
            self._connections = {c for c in self._connections if not c.closed.is_set()}
            await self._report()

    async def _report(self) -> None:
        await self._read_upstream()
        cache = None
        if isinstance(self._upstream, EngineClient):
            cache = await self._cache.read(self._upstream, time.monotonic())
        # An order may have begun or ended a change during either read, so the
        # description is made after both.
        self._post_description()
        self._gate.post_all(self._make_load_report())
        if cache is not None:
            self._gate.post_all(cache)

    def _post_description(self) -> None:
        """Describe the upstream to all peers unless the last description holds."""
        description = self._describe()
        if description != self._posted:
            self._posted = description
            self._gate.post_all(description)

    async def _read_upstream(self) -> None:
        if not isinstance(self._upstream, EngineClient):
            self._view.services = frozenset(self.settings.services)  # type: ignore[arg-type]
            return
        try:
            report = await self._upstream.read_load()
            apply_report(self._view, report, time.monotonic())
        except (UpstreamError, MalformedReportError) as error:
            self._view.state = UpstreamState.SUSPECT
            log_event(
                events.UPSTREAM_CALL_FAILED,
                step="load",
                peer=self.settings.upstream_url,
                reason=str(error),
            )
            return
        self._view.state = UpstreamState.LIVE
        self._metrics.record_role(self._view.role)

    def _describe(self) -> UpstreamInfo:
        view = self._view
        return UpstreamInfo(
            upstream=view.upstream,
            kind=view.kind,
            zone=view.zone,
            region=view.region,
            state=self._get_state(),
            run=self._run_id,
            role=view.role,
            models=tuple(sorted(view.models)),
            versions=tuple(sorted(view.versions)),
            adapters=tuple(sorted(view.adapters)),
            services=tuple(sorted(view.services)),
            block_tokens=view.block_tokens,
            kv_address=view.kv_address,
            kv_bytes_per_token=view.kv_bytes_per_token,
            rates=view.rates,
        )

    def _get_state(self) -> UpstreamState:
        if self._leaving:
            return UpstreamState.LEAVING
        return UpstreamState.CHANGING if self._gate.changing else self._view.state

    def _make_load_report(self) -> LoadReport:
        now_s = time.monotonic()
        load = replace(
            self._view.load,
            running=len(self._running),
            queued=len(self._queue),
            wait_s=self._queue.forecast_wait(now_s),
            offered_prefill_ms=round(self._scheduler.offered.prefill_s * MS_PER_S),
            offered_decode_ms=round(self._scheduler.offered.decode_s * MS_PER_S),
            offered_short_ms=round(self._scheduler.offered.short_s * MS_PER_S),
        )
        return pack_load(load, now_s)
