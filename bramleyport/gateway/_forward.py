"""Route requests of callers to the handlers of plain and streamed calls."""

import asyncio
from http import HTTPStatus
from random import Random
from typing import Final

from result import Err

from bramleyport.core import RequestId, ServiceName
from bramleyport.fleet import (
    Call,
    ClientAccount,
    Repeatability,
    RequestIdentity,
    Route,
    authenticate,
    choose_service,
)
from bramleyport.gateway._attempt_record import Attempts, NotRunProof
from bramleyport.gateway._call_context import CallContext
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._plain import PlainServer
from bramleyport.gateway._reply import (
    answer_failed_call,
    refuse,
    reply,
    reply_unknown_key,
)
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._stream import StreamServer
from bramleyport.http1 import CallerConnection, CallerDisconnectedError, CallerRequest
from bramleyport.platform import CallHead, decode_call
from bramleyport.telemetry import events, gateway_events, log_event

# The first configuration is read within a fraction of a second after a start.
RETRY_WITHOUT_CONFIG_S: Final = 0.5
# The caller's next connection reaches another gateway, which can serve at once.
RETRY_WHEN_STOPPING_S: Final = 0.05


class Forwarder:
    """Decide the route and handler of each request of a caller."""

    def __init__(
        self,
        state: GatewayState,
        plain: PlainServer,
        streams: StreamServer,
        random: Random,
    ) -> None:
        self._state = state
        self._plain = plain
        self._streams = streams
        self._random = random

    async def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Answer a request."""
        attempts = Attempts()
        request_id = None
        context = None
        try:
            head = decode_call(request.headers)
            request_id = head.request
            context = self._accept(request, connection, head, attempts)
            if context is not None:
                await self._run(context, head.last_event)
        except asyncio.CancelledError:
            if self._state.ending and not connection.closed:
                _log_ended_call(request_id, context)
                answer_failed_call(connection, request_id, attempts)
                return
            log_event(
                gateway_events.CALLER_DISCONNECTED,
                request=request_id,
                after_s=round(read_now() - request.received_s, 3),
            )
            raise
        except CallerDisconnectedError:
            log_event(gateway_events.CALLER_DISCONNECTED, request=request_id)
            raise
        except Exception as error:  # any failure must end the request of the caller
            log_event(
                events.HANDLER_FAILED,
                step="serve call",
                request=request_id,
                error=repr(error),
            )
            answer_failed_call(connection, request_id, attempts)

    def _accept(
        self,
        request: CallerRequest,
        connection: CallerConnection,
        head: CallHead,
        attempts: Attempts,
    ) -> CallContext | None:
        """Return the call of a request, or answer a request that is not served."""
        routes = self._state.routes
        if routes is None or not self._state.is_configured(read_now()):
            proof = NotRunProof(attempts.close())
            refuse(connection, proof, head.request, "no_config", RETRY_WITHOUT_CONFIG_S)
            return None
        route = routes.find(_read_host(request), _read_path(request))
        if route is None:
            reply(connection, HTTPStatus.NOT_FOUND, head.request, "no_route")
            return None
        identified = authenticate(routes.configuration, route, head.key)
        if isinstance(identified, Err):
            log_event(
                gateway_events.KEY_REFUSED,
                request=head.request,
                route=route.name,
                has_key=identified.err_value.has_key,
            )
            reply_unknown_key(connection, head.request)
            return None
        if head.request is None:
            reply(connection, HTTPStatus.BAD_REQUEST, None, "no_request_id")
            return None
        account = identified.ok_value
        return self._accept_on_route(
            request, connection, head, route, attempts, account
        )

    def _accept_on_route(
        self,
        request: CallerRequest,
        connection: CallerConnection,
        head: CallHead,
        route: Route,
        attempts: Attempts,
        account: ClientAccount | None,
    ) -> CallContext | None:
        configuration = self._state.configuration
        assert head.request is not None
        assert configuration is not None
        call = Call(
            request=head.request,
            route=route,
            service=self._choose_service(route, head),
            arrived_s=request.received_s,
            # The time of the caller runs while it sends its request.
            deadline_s=request.began_s + min(head.time_limit_s, route.timeout_s),
            prompt=head.prompt,
            origin=head.resumes if head.last_event else head.request,
            identity=_identify(request, head, account),
            account=account,
            key=head.key,
            has_accounts=configuration.accounts is not None,
            rank=configuration.find_rank(route, account),
        )
        if self._is_too_late(call):
            proof = NotRunProof(attempts.close())
            refuse(connection, proof, call.request, "stopping", RETRY_WHEN_STOPPING_S)
            return None
        service = configuration.services.get(call.service)
        engine = service.engine if service else None
        context = CallContext(call, request, connection, engine, attempts)
        self._state.find_budget(call.service).record_request(call.arrived_s)
        self._state.rate_limiter.record_call(call, read_now())
        return context

    def _choose_service(self, route: Route, head: CallHead) -> ServiceName:
        """Choose a service; that of a stream that is resumed by its identifier."""
        if route.repeatability is not Repeatability.STREAM_RESUMABLE:
            return choose_service(route, self._random)
        origin = (head.resumes if head.last_event else None) or head.request
        assert origin is not None
        known = self._state.stream_versions.find_stream(origin, read_now())
        if known is not None and any(
            share.service == known.service for share in route.services
        ):
            return known.service
        # The same at each gateway.
        return choose_service(route, Random(origin))

    def _is_too_late(self, call: Call) -> bool:
        """Return whether a call may outlast the gateway, which is being stopped."""
        shutdown = self._state.shutdown
        if shutdown is None:
            return False
        accepts = shutdown.accepts(call.arrived_s, call.deadline_s)
        return self._state.ending or not accepts

    async def _run(self, context: CallContext, last_event: int) -> None:
        if context.call.route.repeatability.streams:
            await self._streams.serve(context, last_event)
        else:
            await self._plain.serve(context)


def _log_ended_call(request_id: RequestId | None, context: CallContext | None) -> None:
    log_event(
        gateway_events.CALL_FAILED,
        request=request_id,
        route=context.call.route.name if context else "",
        reason="stopping",
        left_s=round(context.remaining_s, 3) if context else 0.0,
        sends=context.attempts.sends if context else 0,
        runs=context.attempts.runs if context else 0,
    )


def _identify(
    request: CallerRequest, head: CallHead, account: ClientAccount | None
) -> RequestIdentity:
    """Return the identity of a request; its last prompt part may differ each time."""
    parts = head.prompt.parts[:-1] if head.prompt else ()
    fields = [
        request.method,
        _read_host(request).encode("latin-1"),
        request.target,
        *head.caller,
        *([account.name.encode("latin-1")] if account else ()),
        *(part.prefix.encode("latin-1") for part in parts),
    ]
    return RequestIdentity(fields, request.body)


def _read_host(request: CallerRequest) -> str:
    for name, value in request.headers:
        if name.lower() == b"host":
            return value.decode("latin-1")
    return ""


def _read_path(request: CallerRequest) -> str:
    return request.target.partition(b"?")[0].decode("latin-1")
