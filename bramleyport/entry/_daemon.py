"""The entry process: serves callers and follows records and hosts."""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from bramleyport.callers import (
    CallerApp,
    CallerDisconnectedError,
    CallerRequest,
    CallerSite,
    CallerStream,
    EntryState,
    make_site,
    send_error,
)
from bramleyport.core import (
    ErrorCode,
    Execution,
    ServeError,
    ServiceKind,
    UpstreamId,
    Work,
)
from bramleyport.dispatch._trace import RequestTrace, begin_trace
from bramleyport.entry._answer_writer import AnswerWriter, write_end
from bramleyport.entry._outcome_counter import OutcomeCounter
from bramleyport.entry._status_totals import StatusTotals
from bramleyport.entry._store_follower import StoreFollower
from bramleyport.entry._work import build_call, build_work, check_key, find_record
from bramleyport.keyed._calls import KeyedCalls, KeyedResult
from bramleyport.objectapi import ObjectClient
from bramleyport.supervision import supervise
from bramleyport.telemetry import BoundedLabels, Journal, Metrics, events, log_event
from bramleyport.transport import listen, listen_http, stop_http

if TYPE_CHECKING:
    from twisted.internet.tcp import Port
    from websockets.asyncio.server import Server

    from bramleyport.control._pool_controllers import PoolControllers
    from bramleyport.dispatch._dispatcher import Dispatcher
    from bramleyport.entry._case_reporter import CaseReporter
    from bramleyport.entry._count_relay import CountRelay
    from bramleyport.entry._status_reporter import StatusReporter
    from bramleyport.links._agent_links import AgentLinks
    from bramleyport.links._hub import PeerHub
    from bramleyport.records import ServiceRecord
    from bramleyport.replication import RecordStore
    from bramleyport.settings import EntrySettings
    from bramleyport.transport import Identity

RETRY_AFTER_STOP_S: Final = 1.0
# Time in which the last answers are read by their callers.
ANSWER_FLUSH_S: Final = 0.3
MAX_EVENTS_SHOWN: Final = 25


class EntryDaemon:
    """Represent the entry process, which serves callers until it is stopped."""

    def __init__(
        self,
        settings: "EntrySettings",
        identity: "Identity",
        hub: "PeerHub",
        client: ObjectClient,
        records: "RecordStore",
        links: "AgentLinks",
        dispatcher: "Dispatcher",
        keyed: KeyedCalls,
        metrics: Metrics,
        outcomes: OutcomeCounter,
        journal: Journal,
        status: "StatusReporter",
        relay: "CountRelay",
        reports: "CaseReporter",
        controllers: "PoolControllers | None" = None,
    ) -> None:
        self.settings = settings
        self.controllers = controllers
        self.records = records
        self._identity = identity
        self._hub = hub
        self._client = client
        self._follower = StoreFollower(client, hub)
        self._links = links
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._metrics = metrics
        self._outcomes = outcomes
        self._journal = journal
        self._status = status
        self._relay = relay
        self._totals = StatusTotals(client)
        self._reports = reports
        self._tenants = BoundedLabels()
        self._stopping = False
        self._ending = False
        self._in_flight: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._site: CallerSite | None = None
        self._listening: Port | None = None
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """Return the port on which callers connect."""
        assert self._listening is not None
        return int(self._listening.getHost().port)

    @property
    def peer_port(self) -> int:
        """Return the port on which peers connect."""
        assert self._server is not None
        return int(next(iter(self._server.sockets)).getsockname()[1])

    async def start(self) -> None:
        """Follow records and hosts and accept callers."""
        process = self.settings.process
        self._server = await listen(
            process.address,
            process.peer_port,
            self._identity,
            self._hub.read_revision,
            self._hub.attach,
            self._hub.handle,
            self._hub.detach,
        )
        self._hub.on_topology = self._follower.update
        self._hub.start(process.seeds)
        reporters = (self._status, self._relay, self._reports)
        self._tasks = [asyncio.ensure_future(supervise(item.run)) for item in reporters]
        if self.controllers is not None:
            self._tasks += self.controllers.start()
        self._site = make_site(
            CallerApp(self).app.resource(), self.settings.max_body_bytes
        )
        self._listening = await listen_http(
            self._site, process.address, self.settings.http_port
        )
        log_event(events.PROCESS_STARTED, role="entry", process=process.process)

    async def stop(self) -> None:
        """Refuse new requests, finish those in flight, then close."""
        log_event(events.PROCESS_STOPPING, process=self.settings.process.process)
        self._stopping = True
        releasing = asyncio.ensure_future(self._release_leases())
        await self._hub.announce_leaving()
        deadline_s = time.monotonic() + self.settings.drain_timeout_s
        while self._in_flight and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        if self._listening is not None:
            stop_http(self._listening)
        # A caller that reads nothing must not take the time to record outcomes.
        await asyncio.gather(
            self._drain_callers(deadline_s),
            self._keyed.drain(deadline_s - time.monotonic()),
        )
        await releasing
        self._relay.send(time.monotonic())
        await self._hub.flush()
        for task in self._tasks:
            task.cancel()
        self._hub.on_topology = None
        self._follower.stop()
        await self._links.close()
        await self._hub.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        await self._client.close()
        log_event(events.PROCESS_STOPPED, process=self.settings.process.process)

    async def _drain_callers(self, deadline_s: float) -> None:
        """Wait until callers have their answers; at the deadline end their requests."""
        if self._site is None:
            return
        await self._site.drain(deadline_s)
        if not self._site.channels:
            return
        self._ending = True
        for task in self._in_flight:
            task.cancel()
        self._site.refuse_unread(_make_stopping_error())
        await self._site.drain(time.monotonic() + ANSWER_FLUSH_S)

    async def _release_leases(self) -> None:
        # Released at once, so that other entries can take the leases before the
        # requests in flight have finished.
        if self.controllers is not None:
            await self.controllers.stop()

    def list_models(self) -> list[str]:
        """Return the models that callers may name."""
        return sorted(
            name
            for name, record in self.records.records.items()
            if record.kind is ServiceKind.LANGUAGE
        )

    def list_upstreams(self) -> list[UpstreamId]:
        """Return the upstreams that may get new work."""
        return [view.upstream for view in self._links.list_views()]

    def explain_unready(self) -> str | None:
        """Return why no request should be sent here, or None when ready."""
        if self._stopping:
            return "stopping"
        if self.records.revision == 0:
            return "no records yet"
        return None

    async def read_state(self) -> EntryState:
        """Return what the status page shows."""
        await self._totals.refresh()
        process = self.settings.process
        return EntryState(
            process=process.process,
            zone=process.zone,
            unready_reason=self.explain_unready(),
            revision=self.records.revision,
            in_flight=len(self._in_flight),
            records=self.records.records,
            counts={n: self._outcomes.get_counts(n) for n in self.records.records},
            statuses=self._totals.statuses,
            statuses_age_s=self._totals.age_s,
            views=self._links.list_views(),
            journal=self._journal.list_latest(MAX_EVENTS_SHOWN),
        )

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        state = {
            "records_revision": self.records.revision,
            "requests_in_flight": len(self._in_flight),
            "upstreams_usable": len(self._links.list_views()),
            "ready": int(self.explain_unready() is None),
        }
        for name, value in state.items():
            self._metrics.gauges.set({"name": name}, value)
        if self.controllers is not None:
            for pool, is_held in self.controllers.list_leases().items():
                labels = {"name": "lease_held", "pool": pool}
                self._metrics.gauges.set(labels, int(is_held))
        return self._metrics.render_text()

    async def serve(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer one request on its stream."""
        if self._stopping:
            await send_error(stream, _make_stopping_error())
            return
        task = asyncio.current_task()
        assert task is not None
        self._in_flight.add(task)
        trace = begin_trace()
        try:
            error = await self._serve(request, stream, trace)
        except asyncio.CancelledError:
            if not self._ending or stream.disconnected.is_set():
                raise
            error = _make_ended_error()
        finally:
            self._in_flight.discard(task)
        result = error.code.value if error else "ok"
        labels = {"service": request.target[:80], "rank": request.rank.value}
        self._metrics.requests.inc({**labels, "result": result})
        if error is not None:
            record = find_record(self.records.records, request)
            if isinstance(record, Ok):
                service = record.ok_value.name
                self._outcomes.count_error(service, request.rank, error, trace)
            log_event(
                events.REQUEST_FAILED,
                service=request.target[:80],
                request=trace.request,
                step=error.step,
                peer=error.peer,
                code=error.code.value,
                execution=error.execution.value,
                reason=error.message,
            )
            await send_error(stream, error, trace.request)

    async def _serve(
        self, request: CallerRequest, stream: CallerStream, trace: RequestTrace
    ) -> ServeError | None:
        record = find_record(self.records.records, request)
        if isinstance(record, Err):
            return record.err_value
        refused = check_key(request, record.ok_value)
        if refused is not None:
            return refused
        work = build_work(request, record.ok_value, trace.request)
        if isinstance(work, Err):
            return work.err_value
        if request.kind is ServiceKind.PLAIN:
            return await self._serve_plain(request, work.ok_value, stream, trace)
        return await self._serve_language(
            request, record.ok_value, work.ok_value, stream, trace
        )

    async def _serve_plain(
        self,
        request: CallerRequest,
        work: Work,
        stream: CallerStream,
        trace: RequestTrace,
    ) -> ServeError | None:
        call = build_call(request)
        if request.key is not None and not work.idempotent:
            result = await self._keyed.run(request.key, work, call)
            return await self._send_keyed_answer(work, result, stream, trace)
        rejected = self._dispatcher.admit(work)
        if rejected is not None:
            return rejected
        body = bytearray()

        async def collect(chunk: bytes) -> None:
            body.extend(chunk)

        outcome = await self._dispatcher.run(work, call, collect, body.clear)
        if isinstance(outcome, Err):
            return outcome.err_value
        end = outcome.ok_value
        elapsed_s = time.monotonic() - work.arrived_s
        self._outcomes.count_answer(work, None, elapsed_s, trace)
        headers = {**end.headers, "X-Request-Id": work.request}
        stream.start(end.status, headers)
        return await write_end(stream, bytes(body))

    async def _send_keyed_answer(
        self,
        work: Work,
        result: KeyedResult,
        stream: CallerStream,
        trace: RequestTrace,
    ) -> ServeError | None:
        if isinstance(result, Err):
            return result.err_value
        answer = result.ok_value
        elapsed_s = time.monotonic() - work.arrived_s
        self._outcomes.count_answer(work, None, elapsed_s, trace)
        stream.start(answer.status, {**answer.headers, "X-Request-Id": work.request})
        return await write_end(stream, answer.body)

    async def _serve_language(
        self,
        request: CallerRequest,
        record: "ServiceRecord",
        work: Work,
        stream: CallerStream,
        trace: RequestTrace,
    ) -> ServeError | None:
        rejected = self._dispatcher.admit(work)
        if rejected is not None:
            return rejected
        tenant = self._tenants.choose(work.account)
        writer = AnswerWriter(request, record, work, stream, self._metrics, tenant)
        task = asyncio.ensure_future(
            self._dispatcher.run(
                work,
                build_call(request),
                writer.add_chunk,
                None if request.stream else writer.restart,
            )
        )
        disconnected = asyncio.ensure_future(stream.disconnected.wait())
        try:
            await asyncio.wait(
                {task, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnected.cancel()
            # The HTTP layer also cancels this handler when the caller disconnects.
            # Cancelling the wait above does not cancel the task.
            if not task.done():
                task.cancel()
        if not task.done():
            return None
        try:
            outcome = task.result()
        except CallerDisconnectedError:
            return None
        if isinstance(outcome, Err):
            return outcome.err_value
        self._outcomes.count_answer(
            work, writer.first_token_s, time.monotonic() - work.arrived_s, trace
        )
        await writer.finish(outcome.ok_value.output_tokens)
        return None


def _make_stopping_error() -> ServeError:
    return ServeError(
        code=ErrorCode.STOPPING,
        message="this entry is stopping",
        execution=Execution.NOT_RUN,
        step="serve",
        retry_after_s=RETRY_AFTER_STOP_S,
    )


def _make_ended_error() -> ServeError:
    return ServeError(
        code=ErrorCode.UPSTREAM_FAILED,
        message="this entry has stopped before the answer",
        execution=Execution.UNKNOWN,
        step="serve",
    )
