"""Stop taking calls without cutting those that were accepted."""

import asyncio
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any, Final

from bramleyport.fleet import ShutdownSchedule, plan_shutdown
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import CallerConnection, CallerFactory
from bramleyport.listening import close_port
from bramleyport.telemetry import events, gateway_events, log_event

# The load balancer checks readiness once a second, and it sends new callers until two
# checks have failed.
UNREADY_DELAY_S: Final = 3.0
# Age from which a connection that has carried no request counts as idle. Its caller
# sends the first request as soon as the connection is open.
FIRST_REQUEST_S: Final = 1.0
POLL_INTERVAL_S: Final = 0.05


class StopPhase(str, Enum):
    """Represent how far a planned stop has come."""

    # All calls are served while the load balancer learns of the stop.
    DRAINING = "draining"
    # Idle connections are closed, and the port in the first moment without any.
    LEAVING = "leaving"
    # No connection can arrive any more; those that are open are served to their end.
    PORT_CLOSED = "port_closed"
    # Calls that still run get their final answer.
    ENDING = "ending"


class Shutdown:
    """Stop the port for callers, then finish or end the calls of its connections.

    The port is closed before the process stops waiting for connections: a connection
    that arrived after the last check would be cut by the end of the process. An
    unexpected error is logged, and the other connections are served all the same.
    """

    def __init__(self, state: GatewayState, callers: CallerFactory) -> None:
        self._state = state
        self._callers = callers
        self._port: Any = None

    async def run(self, port: Any) -> ShutdownSchedule:
        """Return once no caller waits for an answer, or the time for the stop is up."""
        started_s = read_now()
        self._port = port
        schedule = plan_shutdown(started_s, self._state.settings.grace_s)
        self._state.shutdown = schedule
        self._callers.draining = True
        self._log_phase(StopPhase.DRAINING)
        await self._wait(
            lambda: False, min(started_s + UNREADY_DELAY_S, schedule.end_s)
        )
        self._log_phase(StopPhase.LEAVING)
        await self._wait(self._has_finished, schedule.end_s)
        if not self._callers.connections and self._port is None:
            return schedule
        await self._end_calls(schedule.flushed_s)
        return schedule

    def _has_finished(self) -> bool:
        """Close what is idle; return whether nothing is open any more."""
        for connection in list(self._callers.connections):
            self._close_if_idle(connection)
        if not self._callers.connections:
            self._close_port()
        return not self._callers.connections and self._port is None

    def _close_if_idle(self, connection: CallerConnection) -> None:
        close = partial(connection.close_if_idle, FIRST_REQUEST_S)
        if not self._attempt("close idle connection", close) and not connection.serving:
            # Whatever it has sent cannot be read.
            connection.transport.abortConnection()

    async def _end_calls(self, flushed_s: float) -> None:
        self._close_port()
        self._state.ending = True
        self._log_phase(StopPhase.ENDING)
        for connection in list(self._callers.connections):
            self._attempt("end request", connection.end_request)
        await self._wait(self._has_finished, flushed_s)

    def _close_port(self) -> None:
        if self._port is None:
            return
        # As long as the port cannot be closed, calls that arrive there are served.
        if self._attempt("close port", partial(close_port, self._port)):
            self._port = None
            self._log_phase(StopPhase.PORT_CLOSED)

    async def _wait(self, done: Callable[[], bool], until_s: float) -> None:
        while not self._is_done(done) and read_now() < until_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_done(self, done: Callable[[], bool]) -> bool:
        results: list[bool] = []
        return self._attempt("stop", lambda: results.append(done())) and results[0]

    def _attempt(self, step: str, action: Callable[[], None]) -> bool:
        """Return whether a step of the stop succeeded; log an error of it."""
        try:
            action()
        except Exception as error:  # calls are served to the end of the grace time
            log_event(events.HANDLER_FAILED, step=step, error=repr(error))
            return False
        return True

    def _log_phase(self, phase: StopPhase) -> None:
        connections = self._callers.connections
        log_event(
            gateway_events.STOP_ADVANCED,
            phase=phase.value,
            connections=len(connections),
            serving=sum(connection.serving for connection in connections),
        )
