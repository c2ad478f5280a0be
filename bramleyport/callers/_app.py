"""HTTP routes for callers, load balancers and operators' browsers."""

import math
from typing import Any, Final, Protocol

from klein import Klein
from result import Err, Result
from twisted.web.server import Request

from bramleyport.callers._render import render_error, render_models
from bramleyport.callers._request import (
    CallerRequest,
    parse_completion,
    parse_plain,
)
from bramleyport.callers._status_page import EntryState, render_status_page
from bramleyport.callers._stream import CallerDisconnectedError, CallerStream
from bramleyport.core import ErrorCode, Execution, RequestId, ServeError
from bramleyport.telemetry import events, log_event
from bramleyport.transport import run_as_deferred

JSON_HEADERS: Final = {"Content-Type": "application/json"}
ANY_METHOD: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


class CallerHandler(Protocol):
    """Represent the process that serves parsed requests."""

    async def serve(self, request: CallerRequest, stream: CallerStream) -> None:
        """Answer one request on its stream."""
        ...

    def list_models(self) -> list[str]:
        """Return the models that callers may name."""
        ...

    def explain_unready(self) -> str | None:
        """Return why no request should be sent here, or None when ready."""
        ...

    async def read_state(self) -> EntryState:
        """Return what the status page shows."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...


class CallerApp:
    """Represent the web application that passes requests to the handler."""

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self.app = Klein()
        route = self.app.route
        route("/v1/chat/completions", methods=["POST"])(self._chat)
        route("/v1/completions", methods=["POST"])(self._completion)
        route("/v1/models", methods=["GET"])(self._models)
        route("/services/<service>/", methods=ANY_METHOD, branch=True)(self._plain)
        route("/healthz", methods=["GET"])(self._health)
        route("/readyz", methods=["GET"])(self._ready)
        route("/metrics", methods=["GET"])(self._metrics)
        route("/status", methods=["GET"])(self._status)

    def _chat(self, request: Request) -> Any:
        return self._complete(request, "/v1/chat/completions", chat=True)

    def _completion(self, request: Request) -> Any:
        return self._complete(request, "/v1/completions", chat=False)

    def _complete(self, request: Request, path: str, *, chat: bool) -> Any:
        body = _read_body(request)
        headers = _read_headers(request)
        return self._serve(request, parse_completion(path, headers, body, chat=chat))

    def _plain(self, request: Request, service: str) -> Any:
        rest = request.uri.decode("latin-1").split("/", 3)
        path = "/" + (rest[3] if len(rest) > 3 else "")
        method = request.method.decode()
        body = _read_body(request)
        headers = _read_headers(request)
        return self._serve(request, parse_plain(service, method, path, headers, body))

    def _serve(
        self, request: Request, parsed: Result[CallerRequest, ServeError]
    ) -> Any:
        stream = CallerStream(request)
        if isinstance(parsed, Err):
            return run_as_deferred(send_error(stream, parsed.err_value))
        return run_as_deferred(self._serve_guarded(parsed.ok_value, stream))

    async def _serve_guarded(
        self, request: CallerRequest, stream: CallerStream
    ) -> None:
        try:
            await self._handler.serve(request, stream)
        except Exception as error:  # an error in one request must not end the process
            log_event(events.HANDLER_FAILED, step="serve", error=repr(error))
            await send_error(stream, _make_internal_error())

    def _models(self, request: Request) -> bytes:
        request.setHeader(b"content-type", b"application/json")
        return render_models(self._handler.list_models())

    def _health(self, request: Request) -> bytes:
        return b"ok\n"

    def _ready(self, request: Request) -> bytes:
        reason = self._handler.explain_unready()
        if reason is None:
            return b"ready\n"
        request.setResponseCode(503)
        return reason.encode() + b"\n"

    def _status(self, request: Request) -> Any:
        request.setHeader(b"content-type", b"text/html; charset=utf-8")
        return run_as_deferred(self._render_status())

    async def _render_status(self) -> bytes:
        return render_status_page(await self._handler.read_state())

    def _metrics(self, request: Request) -> bytes:
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self._handler.render_metrics()


async def send_error(
    stream: CallerStream, error: ServeError, request: RequestId | None = None
) -> None:
    """Answer a request with an error, or abort an answer that has started."""
    if stream.started:
        stream.abort()
        return
    headers = dict(JSON_HEADERS)
    if request is not None:
        headers["X-Request-Id"] = request
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    stream.start(error.http_status, headers)
    try:
        await stream.write(render_error(error))
    except CallerDisconnectedError:
        return
    stream.finish()


def _make_internal_error() -> ServeError:
    return ServeError(
        code=ErrorCode.UPSTREAM_FAILED,
        message="the request failed in the entry",
        execution=Execution.UNKNOWN,
        step="serve",
    )


def _read_body(request: Request) -> bytes:
    body: bytes = request.content.read() if request.content else b""
    return body


def _read_headers(request: Request) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
