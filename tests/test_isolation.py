"""Test that a test leaves nothing running that could reach a later one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

Run = Callable[[Coroutine[Any, Any, Any]], Any]

_started: "list[asyncio.Task[None]]" = []


@pytest.mark.parametrize("number", [0, 1])
def test_tasks_of_a_test_end_with_it(run: Run, number: int) -> None:
    """Guards against a retry of one test that calls a server of another."""

    async def start() -> None:
        _started.append(asyncio.ensure_future(asyncio.sleep(3600)))

    assert all(task.done() for task in _started)
    run(start())
