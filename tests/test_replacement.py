"""Test that streams resume on a new connection while the old one is silent."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from bramleyport.telemetry import events
from tests.http_client import fetch
from tests.relay import Relay

Run = Callable[[Coroutine[Any, Any, Any]], Any]
TOKENS = 60


def test_stream_resumes_when_its_connection_goes_silent(demo: Any, run: Run) -> None:
    """The attempt must resume before the silent connection is closed."""
    seen: list[int] = []
    sink = logger.add(lambda m: seen.append(m.record["extra"].get("event", 0)))

    async def check() -> None:
        relays = [Relay(agent.port) for agent in demo.agents]
        ports = [int((await relay.start()).rsplit(":", 1)[1]) for relay in relays]
        rows = demo.store.store.objects["hosts", "current"]["spec"]["hosts"]
        agents = [row for row in rows if row["role"] == "agent"]
        relayed_agents = [
            {**row, "port": p} for row, p in zip(agents, ports, strict=True)
        ]
        others = [row for row in rows if row["role"] != "agent"]
        demo.store.store.put(
            "hosts", "current", {"spec": {"hosts": relayed_agents + others}}
        )
        async with asyncio.timeout(60):
            while min(relay.accepted for relay in relays) < len(demo.entries) or any(
                len(entry.list_upstreams()) < len(relays) for entry in demo.entries
            ):
                await asyncio.sleep(0.02)
        body = {"model": "inspections", "prompt": "a", "max_tokens": TOKENS}
        url = f"http://127.0.0.1:{demo.entries[0].port}/v1/completions"
        answer = asyncio.ensure_future(
            fetch(url, "POST", body=json.dumps(body).encode())
        )
        async with asyncio.timeout(60):
            while not any(agent._running for agent in demo.agents):
                await asyncio.sleep(0.02)
        for relay in relays:
            relay.frozen.update(range(relay.accepted))
        result = await answer
        assert result.status == 200
        assert result.json()["usage"]["completion_tokens"] == TOKENS
        assert len(result.json()["choices"][0]["text"].split()) == TOKENS
        for relay in relays:
            assert relay.listener is not None
            relay.listener.close()

    run(check())
    logger.remove(sink)
    resumed = events.ATTEMPT_RESUMED.number
    assert resumed in seen
    silent = events.CONNECTION_TIMED_OUT.number
    assert silent not in seen[: seen.index(resumed)]
