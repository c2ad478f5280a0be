"""Test the metrics that an agent serves for its engine."""

import asyncio
import json
import math
from collections.abc import Callable, Coroutine
from typing import Any

from bramleyport.agent._metrics import AgentMetrics
from bramleyport.agent._orders import OrderApplier
from bramleyport.authority import (
    ApplyOrder,
    Order,
    OrderExecutor,
    OrderRefused,
    ReportProgress,
)
from bramleyport.core import (
    EngineLoad,
    EngineRole,
    Execution,
    PoolName,
    RegionName,
    UpstreamId,
    UpstreamState,
)
from bramleyport.telemetry import Metrics
from bramleyport.upstreams import UpstreamError
from bramleyport.wire import Message, pack_load
from tests.fleet import Fleet
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]


def test_agent_serves_metrics_with_bounded_labels(run: Run) -> None:
    """Without metrics of its own, an agent would hide a slow engine."""
    fleet = Fleet()
    fleet.metrics_port = 0

    async def fetch_metrics() -> str:
        await fleet.start()
        await fleet.wait(fleet.is_sealed)
        body = {"model": "inspections", "prompt": "which helmets", "max_tokens": 4}
        url = fleet.url("/v1/completions")
        answer = await fetch(url, "POST", body=json.dumps(body).encode())
        assert answer.status == 200
        fleet.planner.roles["engine-0"] = EngineRole.PREFILL
        await fleet.wait(fleet.has_settled)
        base = f"http://127.0.0.1:{fleet.agents[0].metrics_port}"
        assert (await fetch(f"{base}/healthz")).body == b"ok\n"
        assert (await fetch(f"{base}/metrics", "POST")).status == 405
        assert (await fetch(f"{base}/other")).status == 404
        text = ""
        while "role_changes_total{" not in text:
            await asyncio.sleep(0.1)
            text = (await fetch(f"{base}/metrics")).body.decode()
        return text

    try:
        text = run(fetch_metrics())
    finally:
        run(fleet.stop())
    for expected in (
        'bramleyport_queue_wait_seconds_count{rank="standard"} 1',
        'bramleyport_first_token_seconds_count{rank="standard"} 1',
        'bramleyport_between_tokens_seconds_count{rank="standard"} 3',
        'bramleyport_role_changes_total{role="prefill"} 1',
        'bramleyport_orders_total{result="done"} 1',
        'bramleyport_state{name="blocks_total"}',
        'bramleyport_state{name="forecast_wait_s",rank="batch"}',
    ):
        assert expected in text, text
    assert "req-" not in text


def test_refusals_are_counted_by_reason() -> None:
    agent_metrics = AgentMetrics(Metrics(), None)
    agent_metrics.count_refusal("deadline")
    text = agent_metrics.render(
        pack_load(EngineLoad(), 0.0), UpstreamState.LIVE
    ).decode()
    assert 'bramleyport_rejected_total{reason="deadline"} 1' in text


class RefusingEngine:
    async def put_order(self, body: dict[str, Any]) -> None:
        raise UpstreamError("order", "engine", "old", Execution.NOT_RUN, 409)


class FakeGate:
    def post_all(self, message: Message) -> None:
        """Ignore a report."""


def test_orders_refused_for_an_old_fencing_number_are_counted(run: Run) -> None:
    """Refusals by the engine and by the agent itself must both be counted."""
    metrics = Metrics()
    executor = OrderExecutor(UpstreamId("engine-0"), "agent", PoolName("pool"))
    applier = OrderApplier(
        None,  # type: ignore[arg-type]
        RefusingEngine(),  # type: ignore[arg-type]
        executor,
        RegionName("region"),
        metrics,
    )
    applier._gate = FakeGate()  # type: ignore[assignment]
    action = ApplyOrder(
        op=1, order=Order(), engine_fencing=1, send_before_s=math.inf, repair=False
    )
    assert isinstance(run(applier._perform_call(action)), OrderRefused)
    run(applier._execute_action(ReportProgress(sequence=1, state="dropped")))
    text = metrics.render_text().decode()
    assert 'bramleyport_orders_total{result="refused_by_engine"} 1' in text
    assert 'bramleyport_orders_total{result="dropped"} 1' in text
