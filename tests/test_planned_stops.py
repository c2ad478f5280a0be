"""Guard that planned restarts lose and repeat nothing (I2, I8)."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from bramleyport.composition import build_agent, build_entry
from tests.http_client import Answer, fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]
CLIENTS = 6
TOKENS = 15


class Balancer:
    """Send requests to ready entries and repeat only what was not run."""

    def __init__(self, demo: Any) -> None:
        self._demo = demo
        self._next = 0
        self.failed: list[Answer] = []

    async def send(self, path: str, headers: dict[str, str], body: bytes) -> Answer:
        while True:
            ready = [e for e in self._demo.entries if e.explain_unready() is None]
            if not ready:
                await asyncio.sleep(0.02)
                continue
            self._next += 1
            entry = ready[self._next % len(ready)]
            url = f"http://127.0.0.1:{entry.port}{path}"
            answer = await fetch(url, "POST", headers, body)
            if answer.status < 400:
                return answer
            if answer.json().get("execution") != "not_run":
                self.failed.append(answer)
                return answer
            await asyncio.sleep(0.02)


async def restart_agent(demo: Any, index: int) -> None:
    await demo.agents[index].stop()
    agent = build_agent(demo.agents[index].settings)
    await agent.start()
    demo.agents[index] = agent
    demo._list_hosts()
    await wait_for_upstreams(demo)


async def restart_entry(demo: Any, index: int) -> None:
    await demo.entries[index].stop()
    entry = build_entry(demo.entries[index].settings, 10 + index)
    await entry.start()
    demo.entries[index] = entry
    demo._list_hosts()
    await wait_for_upstreams(demo)


async def wait_for_upstreams(demo: Any) -> None:
    async with asyncio.timeout(60):
        while any(
            len(entry.list_upstreams()) < len(demo.agents) for entry in demo.entries
        ):
            await asyncio.sleep(0.02)


async def post_orders(balancer: Balancer, client: int, stop: asyncio.Event) -> int:
    count = 0
    while not stop.is_set():
        headers = {"Idempotency-Key": f"{client}-{count}"}
        body = json.dumps({"order": f"{client}-{count}"}).encode()
        answer = await balancer.send("/services/orders/postings", headers, body)
        assert answer.status == 201, answer
        count += 1
    return count


async def stream_answers(balancer: Balancer, stop: asyncio.Event) -> int:
    body = {"model": "inspections", "prompt": "a", "max_tokens": TOKENS}
    whole = {"prompt_tokens": 1, "completion_tokens": TOKENS}
    count = 0
    while not stop.is_set():
        answer = await balancer.send("/v1/completions", {}, json.dumps(body).encode())
        assert answer.status == 200, answer
        assert answer.json()["usage"].items() >= whole.items()
        count += 1
    return count


def test_i2_i8_rolling_restart_loses_and_repeats_nothing(demo: Any, run: Run) -> None:
    async def check() -> None:
        balancer, stop = Balancer(demo), asyncio.Event()
        posters = [
            asyncio.ensure_future(post_orders(balancer, client, stop))
            for client in range(CLIENTS)
        ]
        streams = [
            asyncio.ensure_future(stream_answers(balancer, stop))
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(0.2)
        for index in range(len(demo.agents)):
            await restart_agent(demo, index)
        for index in range(len(demo.entries)):
            await restart_entry(demo, index)
        stop.set()
        posted = sum(await asyncio.gather(*posters))
        answered = sum(await asyncio.gather(*streams))
        assert balancer.failed == []
        assert answered >= CLIENTS and posted >= CLIENTS
        assert len(demo.plain.postings) == posted
        repeats = Counter(str(posting) for posting in demo.plain.postings)
        assert max(repeats.values()) == 1

    run(check())
