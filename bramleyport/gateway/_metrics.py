"""Count calls and attempts, and serve the metrics page."""

import math
from http import HTTPStatus
from typing import Final

from bramleyport.core import AccountId
from bramleyport.fleet import Call
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._reply import reply
from bramleyport.gateway._sharing_queue import SharingQueue
from bramleyport.gateway._state import GatewayState
from bramleyport.http1 import (
    CallerBudget,
    CallerConnection,
    CallerRequest,
    Release,
)
from bramleyport.telemetry import BoundedLabels, Metrics, gateway_events, log_event

METRICS_PATH: Final = b"/metrics"
METRICS_TYPE: Final = (b"Content-Type", b"text/plain; version=0.0.4")


class CallMetrics:
    """Track calls and attempts under a bounded set of labels."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        # Bounds the labels, because operators may add any number of routes.
        self._routes = BoundedLabels()

    def count_store_call(self, step: str, result: str) -> None:
        """Count a call to the store."""
        self.metrics.store_calls.inc({"kind": step, "result": result})

    def count_result(self, call: Call, result: str, elapsed_s: float) -> None:
        """Count the final answer of a call."""
        labels = self._label(call)
        self.metrics.requests.inc({**labels, "result": result})
        self.metrics.answer_s.observe(labels, elapsed_s)

    def count_refusal(self, reason: str) -> None:
        """Count a call that was refused or aborted, by reason."""
        self.metrics.rejected.inc({"reason": reason})

    def count_attempt(self, result: str) -> None:
        """Count an attempt at an upstream."""
        self.metrics.attempts.inc({"result": result})

    def record_release(self, release: Release) -> None:
        """Count and log a connection of a caller that gave way to others."""
        self.metrics.rejected.inc({"reason": f"caller_{release.shortage.value}"})
        log_event(
            gateway_events.CALLER_GAVE_WAY,
            shortage=release.shortage.value,
            state=release.state,
            held_bytes=release.held_bytes,
        )

    def observe_first_event(self, call: Call, elapsed_s: float) -> None:
        """Record the time to the first event of a stream."""
        self.metrics.first_token_s.observe(self._label(call), elapsed_s)

    def _label(self, call: Call) -> dict[str, str]:
        name = self._routes.choose(AccountId(call.route.name))
        return {"service": name, "rank": str(call.priority)}


class MetricsPage:
    """Represent the metrics page of this process."""

    def __init__(
        self,
        state: GatewayState,
        metrics: Metrics,
        caller_budget: CallerBudget,
        sharing: SharingQueue,
    ) -> None:
        self._state = state
        self._caller_budget = caller_budget
        self._metrics = metrics
        self._sharing = sharing
        self._accounts = BoundedLabels()

    async def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Answer a request for the metrics."""
        if request.target.partition(b"?")[0] != METRICS_PATH:
            reply(connection, HTTPStatus.NOT_FOUND, None, "unknown path")
            return
        gauges = self._metrics.gauges
        configuration = self._state.configuration
        version = configuration.version if configuration else 0
        gauges.set({"name": "configuration_version"}, float(version))
        gauges.set({"name": "gateways"}, float(self._state.gateway_count or 0))
        gauges.set({"name": "held_calls"}, float(self._state.held_calls))
        waiting = self._state.waiting_calls.total()
        gauges.set({"name": "waiting_calls"}, float(waiting))
        upstreams = len(self._state.members.list_all())
        gauges.set({"name": "upstreams"}, float(upstreams))
        withheld = len(self._state.crash_evidence.verdicts)
        gauges.set({"name": "withheld_traits"}, float(withheld))
        connections = self._caller_budget.connection_count
        gauges.set({"name": "caller_connections"}, float(connections))
        held_bytes = self._caller_budget.used_bytes
        gauges.set({"name": "caller_held_bytes"}, float(held_bytes))
        self._set_upstream_limits()
        self._set_account_capacity()
        body = self._metrics.render_text()
        connection.answer(HTTPStatus.OK.value, b"OK", [METRICS_TYPE], body)

    def _set_upstream_limits(self) -> None:
        gauge = self._metrics.upstream_limits
        # Limits that have ended must not stay on the page.
        gauge.values.clear()
        now_s = read_now()
        for registration in self._state.members.list_all():
            figures = self._state.rate_limiter.describe(registration, now_s)
            for name, value in figures.items():
                labels = {"upstream": registration.upstream, "figure": name}
                gauge.set(labels, value)

    def _set_account_capacity(self) -> None:
        gauge = self._metrics.account_capacity
        # Accounts that ask no more must not stay on the page.
        gauge.values.clear()
        for service, uses in self._sharing.list_accounts().items():
            for use in uses:
                labels = {
                    "service": service,
                    "account": self._accounts.choose(use.key.account),
                    "rank": str(use.key.priority),
                }
                gauge.set({**labels, "figure": "occupied"}, use.occupied)
                gauge.set({**labels, "figure": "waiting"}, float(use.waiting))
                if math.isfinite(use.share):
                    gauge.set({**labels, "figure": "share"}, use.share)
