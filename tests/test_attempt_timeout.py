"""Test the time limit of attempts at an upstream that may be busy."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from bramleyport.core import UpstreamId
from bramleyport.fleet import LoadTracker, Work
from bramleyport.gateway._attempt_timeout import AttemptTimeout

Run = Callable[[Coroutine[Any, Any, Any]], Any]
UPSTREAM = UpstreamId("srv-0")


class AssuredRetry:
    """Represent a retry that is always assured."""

    def reserve(self) -> bool:
        return True

    def release(self) -> None:
        pass


def make_state(works: int, last_received_s: float) -> Any:
    loads = LoadTracker()
    for number in range(works):
        work = Work(
            request=f"r-{number}",  # type: ignore[arg-type]
            upstream=UPSTREAM,
            priority=1,
            prefill_s=5.0,
            started_s=last_received_s,
        )
        loads.of(UPSTREAM).add(work)
    received = {UPSTREAM: last_received_s}
    return SimpleNamespace(last_received_s=received, loads=loads)


@pytest.mark.parametrize("works", [1, 2], ids=["idle", "busy"])
def test_check_after_the_deadline_raises_no_error(run: Run, works: int) -> None:
    """Guards against an error (1901) when check and deadline are due in one turn."""
    errors: list[Any] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        now_s = loop.time()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                state = make_state(works, now_s)
                attempt_timeout = AttemptTimeout(state, UPSTREAM, limit, AssuredRetry())
                attempt_timeout.expect_first_event(now_s + 0.01, now_s + 0.01)
                # The loop is held until both are due.
                time.sleep(0.02)
                await asyncio.sleep(5)
        # A check that was due before the deadline may still run after it.
        attempt_timeout._check()
        attempt_timeout.stop()
        await asyncio.sleep(0)

    run(scenario())
    assert not errors


@pytest.mark.parametrize("works", [1, 2], ids=["idle", "busy"])
def test_only_a_busy_upstream_gets_the_time_until_the_deadline(
    run: Run, works: int
) -> None:
    """Guards against an attempt that waits until its deadline for a failed upstream."""

    async def scenario() -> None:
        now_s = asyncio.get_running_loop().time()
        deadline_s = now_s + 60.0
        async with asyncio.timeout(None) as limit:
            state = make_state(works, now_s)
            attempt_timeout = AttemptTimeout(state, UPSTREAM, limit, AssuredRetry())
            attempt_timeout.expect_first_event(now_s, deadline_s)
            attempt_timeout._check()
            limit_s = limit.when()
            limit.reschedule(None)
        attempt_timeout.stop()
        assert limit_s is not None
        assert (limit_s == deadline_s) == (works > 1)

    run(scenario())
