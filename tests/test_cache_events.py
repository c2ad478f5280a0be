"""Test that cache events of an engine reach the views of the entries."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from tests.http_client import fetch

Run = Callable[[Coroutine[Any, Any, Any]], Any]


def views_match_caches(demo: Any, prompts: int) -> bool:
    """Return whether every entry's views list exactly the cached blocks.

    The caches have to fill first; the test causes no evictions.
    """
    caches = {
        f"engine-{index}": set(engine.model.cache._blocks)
        for index, engine in enumerate(demo.engines)
    }
    known = set().union(*caches.values())
    return len(known) >= prompts and all(
        view.cached.blocks == caches[view.upstream]
        for entry in demo.entries
        for view in entry._links.list_views()
        if view.upstream in caches
    )


def test_views_match_the_caches_after_lost_events(demo: Any, run: Run) -> None:
    async def complete_prompt(text: str) -> None:
        url = f"http://127.0.0.1:{demo.entries[0].port}/v1/completions"
        body = {"model": "inspections", "prompt": text * 9000, "max_tokens": 2}
        answer = await fetch(url, "POST", body=json.dumps(body).encode())
        assert answer.status == 200

    async def check() -> None:
        for lost, text in ((False, "a"), (True, "b"), (False, "c"), (False, "d")):
            for engine in demo.engines:
                engine.faults.cache_event_gap = lost
            await complete_prompt(text)
            await asyncio.sleep(0)
        while not views_match_caches(demo, 4):
            await asyncio.sleep(0.05)

    run(check())
