"""The entry: serves callers and follows records and hosts."""

import asyncio
import time
from typing import TYPE_CHECKING, Final

from result import Err

from bramleyport.callers import (
    CallerApp,
    CallerGoneError,
    CallerRequest,
    CallerStream,
    make_site,
    render_chunk,
    render_stop,
    render_whole,
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
from bramleyport.daemons._keyed import KeyedCalls, KeyedResult
from bramleyport.daemons._records import (
    KindWatcher,
    make_host_handler,
    make_record_handler,
)
from bramleyport.daemons._work import build_call, build_work, check_key, find_record
from bramleyport.objectapi import Kind, ObjectClient
from bramleyport.telemetry import Metrics, events, log_event

if TYPE_CHECKING:
    from twisted.internet.tcp import Port

    from bramleyport.daemons._controller import Controllers
    from bramleyport.daemons._dispatch import Dispatcher
    from bramleyport.daemons._peers import AgentLinks
    from bramleyport.records import ServiceRecord
    from bramleyport.replication import RecordStore
    from bramleyport.settings import EntrySettings

STOP_RETRY_S: Final = 1.0


class EntryDaemon:
    """Serve callers until told to stop."""

    def __init__(
        self,
        settings: "EntrySettings",
        client: ObjectClient,
        records: "RecordStore",
        links: "AgentLinks",
        dispatcher: "Dispatcher",
        keyed: KeyedCalls,
        metrics: Metrics,
        controllers: "Controllers | None" = None,
    ) -> None:
        self.settings = settings
        self.controllers = controllers
        self.records = records
        self._client = client
        self._links = links
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._metrics = metrics
        self._stopping = False
        self._in_flight = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._listening: Port | None = None

    @property
    def port(self) -> int:
        """Return the port on which callers connect."""
        assert self._listening is not None
        return int(self._listening.getHost().port)

    async def start(self) -> None:
        """Follow records and hosts and accept callers."""
        from twisted.internet import endpoints, reactor

        process = self.settings.process
        record_handler = make_record_handler(self.records, lambda: None)
        host_handler = make_host_handler(self._links.apply_hosts)
        self._tasks = [
            asyncio.ensure_future(
                KindWatcher(self._client, Kind.SERVICES, record_handler).run()
            ),
            asyncio.ensure_future(
                KindWatcher(self._client, Kind.HOSTS, host_handler).run()
            ),
        ]
        if self.controllers is not None:
            self._tasks += self.controllers.start()
        site = make_site(CallerApp(self).app.resource(), self.settings.max_body_bytes)
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, self.settings.http_port, interface=process.address
        )
        loop = asyncio.get_running_loop()
        self._listening = await endpoint.listen(site).asFuture(loop)
        log_event(events.PROCESS_STARTED, role="entry", process=process.process)

    async def stop(self) -> None:
        """Refuse new requests, finish those in flight, then close."""
        log_event(events.PROCESS_STOPPING, process=self.settings.process.process)
        self._stopping = True
        deadline_s = time.monotonic() + self.settings.drain_timeout_s
        while self._in_flight and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        if self._listening is not None:
            stopped = self._listening.stopListening()
            if stopped is not None:
                await stopped.asFuture(asyncio.get_running_loop())
        await self._keyed.drain(deadline_s - time.monotonic())
        for task in self._tasks:
            task.cancel()
        await self._links.close()
        await self._client.close()
        log_event(events.PROCESS_STOPPED, process=self.settings.process.process)

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

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render_text()

    async def serve(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer one request on its stream."""
        if self._stopping:
            await send_error(stream, _refuse_stopping())
            return
        self._in_flight += 1
        try:
            error = await self._serve(request, stream)
        finally:
            self._in_flight -= 1
        result = error.code.value if error else "ok"
        labels = {"service": request.target[:80], "rank": request.rank.value}
        self._metrics.requests.inc({**labels, "result": result})
        if error is not None:
            log_event(
                events.REQUEST_FAILED,
                step=error.step,
                peer=error.peer,
                code=error.code.value,
                execution=error.execution.value,
                reason=error.message,
            )
            await send_error(stream, error)

    async def _serve(
        self, request: CallerRequest, stream: CallerStream
    ) -> ServeError | None:
        record = find_record(self.records.records, request)
        if isinstance(record, Err):
            return record.err_value
        refused = check_key(request, record.ok_value)
        if refused is not None:
            return refused
        work = build_work(request, record.ok_value)
        if isinstance(work, Err):
            return work.err_value
        if request.kind is ServiceKind.PLAIN:
            return await self._serve_plain(request, work.ok_value, stream)
        return await self._serve_language(
            request, record.ok_value, work.ok_value, stream
        )

    async def _serve_plain(
        self, request: CallerRequest, work: Work, stream: CallerStream
    ) -> ServeError | None:
        call = build_call(request)
        if request.key is not None and not work.idempotent:
            result = await self._keyed.run(request.key, work, call)
            return await self._send_whole(work, result, stream)
        rejected = self._dispatcher.admit(work)
        if rejected is not None:
            return rejected
        body = bytearray()

        async def collect(chunk: bytes) -> None:
            body.extend(chunk)

        outcome = await self._dispatcher.run(work, call, collect)
        if isinstance(outcome, Err):
            return outcome.err_value
        end = outcome.ok_value
        headers = {**end.headers, "X-Request-Id": work.request}
        stream.start(end.status, headers)
        return await _write_all(stream, bytes(body))

    async def _send_whole(
        self, work: Work, result: KeyedResult, stream: CallerStream
    ) -> ServeError | None:
        if isinstance(result, Err):
            return result.err_value
        answer = result.ok_value
        stream.start(answer.status, {**answer.headers, "X-Request-Id": work.request})
        return await _write_all(stream, answer.body)

    async def _serve_language(
        self,
        request: CallerRequest,
        record: "ServiceRecord",
        work: Work,
        stream: CallerStream,
    ) -> ServeError | None:
        rejected = self._dispatcher.admit(work)
        if rejected is not None:
            return rejected
        writer = AnswerWriter(request, record, work, stream, self._metrics)
        task = asyncio.ensure_future(
            self._dispatcher.run(work, build_call(request), writer.take)
        )
        gone = asyncio.ensure_future(stream.gone.wait())
        await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not task.done():
            task.cancel()
            return None
        try:
            outcome = task.result()
        except CallerGoneError:
            return None
        if isinstance(outcome, Err):
            return outcome.err_value
        await writer.finish(outcome.ok_value.output_tokens)
        return None


class AnswerWriter:
    """Render the chunks of a language answer for its caller."""

    def __init__(
        self,
        request: CallerRequest,
        record: "ServiceRecord",
        work: Work,
        stream: CallerStream,
        metrics: Metrics,
    ) -> None:
        self._request = request
        self._model = record.name
        self._work = work
        self._stream = stream
        self._metrics = metrics
        self._created = int(time.time())
        self._parts: list[str] = []
        self._last_s: float | None = None
        self._labels = {"tenant": work.account, "rank": work.rank.value}

    async def take(self, chunk: bytes) -> None:
        """Stream a chunk or keep it for the whole answer."""
        self._observe()
        text = chunk.decode(errors="replace")
        if not self._request.stream:
            self._parts.append(text)
            return
        if not self._stream.started:
            self._stream.start(200, self._headers("text/event-stream"))
        await self._stream.write(
            render_chunk(
                self._work.request,
                self._model,
                self._created,
                text,
                chat=self._request.chat,
            )
        )

    async def finish(self, output_tokens: int) -> None:
        """Send what ends the answer."""
        elapsed_s = time.monotonic() - self._work.arrived_s
        self._metrics.answer_s.observe(self._labels, elapsed_s)
        chat = self._request.chat
        if self._request.stream:
            if not self._stream.started:
                self._stream.start(200, self._headers("text/event-stream"))
            body = render_stop(
                self._work.request, self._model, self._created, chat=chat
            )
        else:
            self._stream.start(200, self._headers("application/json"))
            body = render_whole(
                self._work.request,
                self._model,
                self._created,
                "".join(self._parts),
                self._work.prompt_tokens,
                output_tokens,
                chat=chat,
            )
        await _write_all(self._stream, body)

    def _headers(self, content_type: str) -> dict[str, str]:
        return {"Content-Type": content_type, "X-Request-Id": self._work.request}

    def _observe(self) -> None:
        now_s = time.monotonic()
        if self._last_s is None:
            elapsed_s = now_s - self._work.arrived_s
            self._metrics.first_token_s.observe(self._labels, elapsed_s)
        else:
            self._metrics.between_tokens_s.observe(self._labels, now_s - self._last_s)
        self._last_s = now_s


async def _write_all(stream: CallerStream, body: bytes) -> ServeError | None:
    try:
        await stream.write(body)
    except CallerGoneError:
        return None
    stream.finish()
    return None


def _refuse_stopping() -> ServeError:
    return ServeError(
        code=ErrorCode.STOPPING,
        message="this entry is stopping",
        execution=Execution.NOT_RUN,
        step="serve",
        retry_after_s=STOP_RETRY_S,
    )
