"""Metrics of one agent."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bramleyport.core import EngineRole, UpstreamState
from bramleyport.telemetry import Metrics
from bramleyport.transport import stop_http
from bramleyport.wire import LoadReport, unpack_load

if TYPE_CHECKING:
    from bramleyport.agent._attempt import AgentAttempt
    from bramleyport.core import Rank

ObserveInterval = Callable[[float, float], None]


class AgentMetrics:
    """Represent the metrics of one agent.

    Labels are ranks, roles, states and fixed reasons only, so their number is bounded.
    """

    def __init__(self, metrics: Metrics, port: int | None) -> None:
        self._metrics = metrics
        self._port = port
        self._role: EngineRole | None = None
        self._listener: Any = None

    @property
    def port(self) -> int:
        """Return the port that serves the metrics."""
        return int(self._listener.getHost().port)

    async def serve(
        self,
        address: str,
        make_report: Callable[[], LoadReport],
        get_state: Callable[[], UpstreamState],
    ) -> None:
        """Serve the metrics over HTTP if the settings name a port."""
        if self._port is None:
            return
        # Imported here, since an agent without the port needs no HTTP server.
        from bramleyport.agent._metrics_server import serve_metrics

        self._listener = await serve_metrics(
            address, self._port, lambda: self.render(make_report(), get_state())
        )

    async def close(self) -> None:
        """Stop serving the metrics."""
        if self._listener is not None:
            stop_http(self._listener)

    def make_interval_observer(
        self, rank: "Rank", observe: ObserveInterval
    ) -> ObserveInterval:
        """Return an observer that also records the intervals between tokens."""
        # The histogram costs 4 us per token, so it is skipped if it is not served.
        if self._port is None:
            return observe
        labels = {"rank": rank.value}
        histogram = self._metrics.between_tokens_s

        def record_interval(interval_s: float, now_s: float) -> None:
            observe(interval_s, now_s)
            histogram.observe(labels, interval_s)

        return record_interval

    def observe(self, attempt: "AgentAttempt") -> None:
        """Record the times of an attempt that has run."""
        labels = {"rank": attempt.execute.work.rank.value}
        self._metrics.queue_wait_s.observe(labels, attempt.wait_s)
        if attempt.first_token_s is not None:
            self._metrics.first_token_s.observe(labels, attempt.first_token_s)

    def count_refusal(self, reason: str) -> None:
        """Count an attempt that was refused before it ran."""
        self._metrics.rejected.inc({"reason": reason})

    def record_role(self, role: EngineRole) -> None:
        """Record the engine's role and count a change."""
        if self._role not in (None, role):
            self._metrics.role_changes.inc({"role": role.value})
        self._role = role

    def render(self, report: LoadReport, state: UpstreamState) -> bytes:
        """Return all metrics in the Prometheus text format."""
        load = unpack_load(report, 0.0)
        values = {
            "running": load.running,
            "queued": load.queued,
            "queued_prefill_tokens": load.queued_prefill_tokens,
            "running_decode_tokens": load.running_decode_tokens,
            "blocks_used": load.blocks_used,
            "blocks_total": load.blocks_total,
        }
        for name, value in values.items():
            self._metrics.gauges.set({"name": name}, value)
        for rank, wait_s in load.wait_s.items():
            labels = {"name": "forecast_wait_s", "rank": rank.value}
            self._metrics.gauges.set(labels, wait_s)
        for listed_state in UpstreamState:
            labels = {"name": "upstream_state", "state": listed_state.value}
            self._metrics.gauges.set(labels, int(listed_state is state))
        for role in EngineRole:
            labels = {"name": "engine_role", "role": role.value}
            self._metrics.gauges.set(labels, int(role is self._role))
        return self._metrics.render_text()
