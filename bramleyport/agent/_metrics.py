"""What an agent counts and times, with labels of bounded number."""

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
    """Hold the metrics of one agent.

    Its labels are ranks, roles, states and the reasons that the code names.
    """

    def __init__(self, metrics: Metrics, port: int | None) -> None:
        self._metrics = metrics
        self._port = port
        self._role: EngineRole | None = None
        self._listening: Any = None

    @property
    def port(self) -> int:
        """Return the port on which the metrics are read."""
        return int(self._listening.getHost().port)

    async def serve(
        self,
        address: str,
        make_report: Callable[[], LoadReport],
        get_state: Callable[[], UpstreamState],
    ) -> None:
        """Serve the metrics where the settings name a port."""
        if self._port is None:
            return
        # Loaded here, since an agent without the port needs no HTTP server.
        from bramleyport.agent._site import serve_metrics

        self._listening = await serve_metrics(
            address, self._port, lambda: self.render(make_report(), get_state())
        )

    async def close(self) -> None:
        """Stop serving."""
        if self._listening is not None:
            await stop_http(self._listening)

    def time_tokens(self, rank: "Rank", observe: ObserveInterval) -> ObserveInterval:
        """Return what takes the times between the tokens of one attempt."""
        # Timing each token takes 4 us, which is spared where nobody reads it.
        if self._port is None:
            return observe
        labels = {"rank": rank.value}
        histogram = self._metrics.between_tokens_s

        def take(interval_s: float, now_s: float) -> None:
            observe(interval_s, now_s)
            histogram.observe(labels, interval_s)

        return take

    def observe(self, attempt: "AgentAttempt") -> None:
        """Take the times of an attempt that has run."""
        labels = {"rank": attempt.execute.work.rank.value}
        self._metrics.queue_wait_s.observe(labels, attempt.wait_s)
        if attempt.first_token_s is not None:
            self._metrics.first_token_s.observe(labels, attempt.first_token_s)

    def count_refusal(self, reason: str) -> None:
        """Count an attempt that was refused before it ran."""
        self._metrics.rejected.inc({"reason": reason})

    def note_role(self, role: EngineRole) -> None:
        """Count a change of the engine's role."""
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
        for other in UpstreamState:
            labels = {"name": "upstream_state", "state": other.value}
            self._metrics.gauges.set(labels, int(other is state))
        for role in EngineRole:
            labels = {"name": "engine_role", "role": role.value}
            self._metrics.gauges.set(labels, int(role is self._role))
        return self._metrics.render_text()
