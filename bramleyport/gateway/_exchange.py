"""Exchange single requests and answers with upstreams."""

import asyncio
from collections.abc import AsyncIterator, Container
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final

from bramleyport.core import RequestId, UpstreamId
from bramleyport.fleet import Registration
from bramleyport.gateway._attempt_record import AttemptRecord, Refusal
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import (
    Answer,
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    HttpClient,
    HttpRequest,
    PoolLimits,
    UpstreamConnection,
)
from bramleyport.platform import AnswerHead, decode_answer, decode_trailers
from bramleyport.telemetry import gateway_events, log_event

# A connection within a region opens in a few milliseconds. A lost packet is sent again
# only after a second, by which time another upstream can answer.
CONNECT_TIMEOUT_S: Final = 0.4
# Time for the whole answer to a request of the gateway itself.
CALL_TIMEOUT_S: Final = 1.0
# Fraction of an upstream's connection limit that all gateways together may use.
CONNECTION_FRACTION: Final = 0.8
# Limit for a service that is not in the configuration.
DEFAULT_CONNECTIONS: Final = 64


@dataclass(frozen=True, slots=True)
class _UnusableConnections(Container[UpstreamConnection]):
    """Represent the idle connections on which a call must not be sent.

    On those that carried the call, or a namesake of it lately, an answer to either, if
    the upstream repeats it, would be taken for one to the call. Those that were idle
    when an attempt was lost may belong to a process that ended at the same moment.
    """

    used: set[UpstreamConnection]
    request_id: RequestId
    lost_s: float | None

    def __contains__(self, connection: object) -> bool:
        assert isinstance(connection, UpstreamConnection)
        if self.lost_s is not None and connection.idle_since_s <= self.lost_s:
            return True
        return connection in self.used or self.request_id in connection.request_names


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenedExchange:
    """Describe an exchange whose answer head has arrived."""

    connection: UpstreamConnection
    answer: Answer
    head: AnswerHead
    # The statement that the upstream has not run the call, if it made one.
    refusal: Refusal | None


class Exchanger:
    """Represent the pooled connections by which requests reach upstreams."""

    def __init__(self, state: GatewayState, client: HttpClient) -> None:
        self._state = state
        self._client = client
        self._pools: dict[UpstreamId, ConnectionPool] = {}

    @asynccontextmanager
    async def open(
        self,
        target: Registration,
        request: HttpRequest,
        request_id: RequestId,
        *,
        fresh: bool,
        used_connections: set[UpstreamConnection],
        record: AttemptRecord,
        lost_s: float | None = None,
    ) -> AsyncIterator[OpenedExchange]:
        """Send a request and yield its answer; abort it if not read to the end.

        The request is sent on none of the used connections, and its own is added: an
        upstream may repeat the answer to an earlier attempt, and all attempts of a
        call have the same request identifier. Callers may use one again, too, so a
        connection that carried it lately is avoided as well, and one that was idle when
        an attempt of the call was lost, at `lost_s`. The record tells when the request
        is sent, and whether the upstream refuses it.
        """
        pool = self._find_pool(target)
        excluded = _UnusableConnections(used_connections, request_id, lost_s)
        connection = await pool.acquire(fresh=fresh, excluded=excluded)
        used_connections.add(connection)
        connection.request_names.append(request_id)
        try:
            sent_s = read_now()
            connection.send(
                request,
                lambda answer: _matches_request(answer, request_id),
                record.record_sent,
            )
            answer = await connection.read_head()
            _check_origin(connection, answer)
            head = self._record_head(target, answer, sent_s)
            connection.idle_timeout_s = head.idle_timeout_s
            refusal = _read_refusal(connection, answer, head)
            if refusal is not None:
                record.record_refusal(refusal)
            yield OpenedExchange(
                connection=connection, answer=answer, head=head, refusal=refusal
            )
            self._record_trailers(target, connection)
        except BaseException as error:
            if isinstance(error, ExchangeError):
                self._state.record_connection_lost(target.upstream, read_now())
            # Closing the connection makes the upstream stop, and keeps unread bytes of
            # this exchange from reaching the next one.
            connection.abort()
            raise
        pool.release(connection)

    async def call(self, target: Registration, request: HttpRequest) -> Answer:
        """Send a request of the gateway itself and return the complete answer."""
        pool = self._find_pool(target)
        self._check_pause(target)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(pool, target, request)
        except TimeoutError as error:
            reason = "no answer in time"
            raise ExchangeError(
                ExchangeFailure.TIMEOUT, "call", str(pool.peer), reason
            ) from error

    def _check_pause(self, target: Registration) -> None:
        """Raise ExchangeError if an upstream wants no requests now."""
        if self._state.pauses.is_paused(target.upstream, read_now()):
            reason = "the upstream wants no requests now"
            raise ExchangeError(
                ExchangeFailure.NOT_SENT, "call", str(target.address), reason
            )

    async def _call(
        self, pool: ConnectionPool, target: Registration, request: HttpRequest
    ) -> Answer:
        connection = await pool.acquire()
        try:
            # The pause may have begun while this waited for its connection.
            self._check_pause(target)
            sent_s = read_now()
            self._state.pauses.record_sent(target.upstream, sent_s)
            self._state.rate_limiter.take(target, sent_s)
            connection.send(request, _names_no_request)
            answer = await connection.read_head()
            self._record_head(target, answer, sent_s)
            body = await connection.read_body()
            self._record_trailers(target, connection)
        except BaseException:
            connection.abort()
            raise
        pool.release(connection)
        return Answer(answer.status, answer.reason, answer.headers, body)

    async def is_refusing(self, target: Registration) -> bool:
        """Return whether the host of an upstream refuses a new connection."""
        try:
            connection = await self._client.connect(target.address, CONNECT_TIMEOUT_S)
        except ExchangeError as error:
            return error.failure is ExchangeFailure.REFUSED
        connection.close()
        return False

    def close_pool(self, upstream: UpstreamId) -> None:
        """Close the connections to a removed upstream as soon as they are idle."""
        pool = self._pools.pop(upstream, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all connections as soon as they are idle."""
        for upstream in list(self._pools):
            self.close_pool(upstream)

    def _record_head(
        self, target: Registration, answer: Answer, sent_s: float
    ) -> AnswerHead:
        now_s = read_now()
        head = decode_answer(answer.status, answer.headers)
        self._state.record_received(target.upstream, now_s)
        self._state.rate_limiter.record_answer(target, head, sent_s, now_s)
        self._record_signals(target, head, now_s)
        return head

    def _record_signals(
        self, target: Registration, head: AnswerHead, now_s: float
    ) -> None:
        """Record whether an upstream leaves, and whether it wants no requests now."""
        if head.leaving:
            self._state.record_leaving(target.upstream, target.started_ms)
        if head.invalid_pause:
            log_event(
                gateway_events.PAUSE_INVALID,
                upstream=target.upstream,
                value=head.invalid_pause,
            )
        if head.pause_s is not None:
            self._state.record_pause(target.upstream, head.pause_s, now_s)
        else:
            self._state.pauses.record_answer(target.upstream, now_s)

    def _record_trailers(
        self, target: Registration, connection: UpstreamConnection
    ) -> None:
        if connection.trailers and decode_trailers(connection.trailers):
            self._state.record_leaving(target.upstream, target.started_ms)

    def _find_pool(self, target: Registration) -> ConnectionPool:
        pool = self._pools.get(target.upstream)
        limits = PoolLimits(
            max_connections=self._limit_connections(target),
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        if pool is None or pool.peer != target.address:
            self.close_pool(target.upstream)
            pool = ConnectionPool(
                self._client,
                target.address,
                limits,
                lambda: self._state.record_connection_lost(target.upstream, read_now()),
            )
            self._pools[target.upstream] = pool
        # Gateways that share the upstream's limit may have joined or left.
        pool.limits = limits
        return pool

    def _limit_connections(self, target: Registration) -> int:
        configuration = self._state.configuration
        service = configuration.services.get(target.service) if configuration else None
        total = service.max_connections if service else DEFAULT_CONNECTIONS
        gateways = len(self._state.roster.gateways)
        return max(1, int(total * CONNECTION_FRACTION / gateways))


def _read_refusal(
    connection: UpstreamConnection, answer: Answer, head: AnswerHead
) -> Refusal | None:
    if not head.not_run:
        return None
    return Refusal(
        status=answer.status,
        instance=head.instance,
        named=head.request is not None,
        exchanges=connection.exchange_count,
    )


def _check_origin(connection: UpstreamConnection, answer: Answer) -> None:
    """Raise ExchangeError for an answer that may belong to an earlier request.

    An upstream whose answers name no request gets a new connection for each call, on
    which its answers can belong to no other.
    """
    if decode_answer(answer.status, answer.headers).request is not None:
        return
    if connection.may_carry_other_answers:
        reason = f"answer {answer.status} names no request"
        raise ExchangeError(
            ExchangeFailure.BROKEN, "match answer", str(connection.peer), reason
        )
    connection.tainted = True


def _matches_request(answer: Answer, request_id: RequestId) -> bool:
    """Return whether an answer belongs to a request.

    An answer to an earlier request can arrive late on a reused connection. Error
    answers may lack the request identifier.
    """
    found = decode_answer(answer.status, answer.headers).request
    if found is None:
        return answer.status >= 400
    return found == request_id


def _names_no_request(answer: Answer) -> bool:
    """Return whether an answer may belong to a request of the gateway itself.

    These have no identifier, and upstreams name a request only if it has one.
    """
    return decode_answer(answer.status, answer.headers).request is None
