"""Guard the numbers that an agent serves of its engine."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from bramleyport.core import EngineLoad, EngineRole, UpstreamState
from bramleyport.daemons._agent_metrics import AgentMetrics
from bramleyport.telemetry import Metrics
from bramleyport.wire import pack_load
from tests.fleet import Fleet
from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]


def test_agent_serves_its_numbers_with_bounded_labels(run: Run) -> None:
    """Nobody could see a slow engine behind an agent without numbers of its own."""
    fleet = Fleet()
    fleet.metrics_port = 0

    async def exercise() -> str:
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
        text = run(exercise())
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
    numbers = AgentMetrics(Metrics(), None)
    numbers.count_refusal("deadline")
    text = numbers.render(pack_load(EngineLoad(), 0.0), UpstreamState.LIVE).decode()
    assert 'bramleyport_rejected_total{reason="deadline"} 1' in text
