"""Guard the guarantees to callers when processes are killed, suspended or stopped."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from bramleyport.objectapi._client import CALL_TIMEOUT_S
from tests.http_client import Answer
from tests.process_fleet import (
    READY_LIMIT_S,
    ProcessFleet,
    is_live_on_page,
    run_fleet,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]
TOKEN_COUNT = 60


async def wait_for_busy_agent(fleet: ProcessFleet) -> str:
    while (name := fleet.find_busy_agent()) is None:
        await asyncio.sleep(0.01)
    return name


def check_complete(answers: list[Answer]) -> None:
    for answer in answers:
        assert answer.status == 200, answer.body
        assert answer.json()["usage"]["completion_tokens"] == TOKEN_COUNT
        assert len(answer.json()["choices"][0]["text"].split()) == TOKEN_COUNT


async def start_orders(
    fleet: ProcessFleet,
) -> tuple[list[str], "list[asyncio.Future[Answer]]"]:
    """Post orders through the first entry and wait until one has run."""
    keys = [f"order-{n}" for n in range(8)]
    calls = [asyncio.ensure_future(fleet.post_order("entry-0", key)) for key in keys]
    while not fleet.plain.postings:
        # If all orders are refused, none will ever run: fail instead of waiting.
        assert not all(call.done() for call in calls), await describe_orders(calls)
        await asyncio.sleep(0.005)
    return keys, calls


async def describe_orders(calls: "list[asyncio.Future[Answer]]") -> str:
    """Describe the result of each order, to show why none has run."""
    results = await asyncio.gather(*calls, return_exceptions=True)
    answers = [
        repr(result)
        if isinstance(result, BaseException)
        else f"{result.status} {result.body[:200]!r}"
        for result in results
    ]
    return "no order ran: " + "; ".join(answers)


def test_killed_agent_loses_no_idempotent_answer(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            calls = [
                asyncio.ensure_future(fleet.complete(f"entry-{n % 2}", TOKEN_COUNT))
                for n in range(6)
            ]
            fleet.send_signal(await wait_for_busy_agent(fleet), signal.SIGKILL)
            check_complete(await asyncio.gather(*calls))

    run(check())


def test_suspended_agent_loses_no_answer(run: Run, tmp_path: Path) -> None:
    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            calls = [
                asyncio.ensure_future(fleet.complete(f"entry-{n % 2}", TOKEN_COUNT))
                for n in range(6)
            ]
            name = await wait_for_busy_agent(fleet)
            fleet.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(4.0)
            fleet.send_signal(name, signal.SIGCONT)
            check_complete(await asyncio.gather(*calls))

    run(check())


def test_stopped_agent_and_entry_finish_running_requests(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            calls = [
                asyncio.ensure_future(fleet.complete("entry-0", TOKEN_COUNT))
                for _ in range(6)
            ]
            name = await wait_for_busy_agent(fleet)
            fleet.send_signal(name, signal.SIGTERM)
            fleet.send_signal("entry-0", signal.SIGTERM)
            check_complete(await asyncio.gather(*calls))
            for stopped in (name, "entry-0"):
                while fleet.processes[stopped].poll() is None:
                    await asyncio.sleep(0.05)
                assert fleet.processes[stopped].returncode == 0

    run(check())


def test_order_sent_through_a_killed_entry_runs_at_most_once(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            keys, calls = await start_orders(fleet)
            fleet.send_signal("entry-0", signal.SIGKILL)
            await asyncio.gather(*calls, return_exceptions=True)
            # A repeat waits for the first call's result until its own deadline of 20 s.
            repeats = [fleet.post_order("entry-1", key) for key in keys]
            for key, answer in zip(keys, await asyncio.gather(*repeats), strict=True):
                if answer.status == 201:
                    assert fleet.plain.postings.count(key) == 1
                else:
                    assert answer.json()["execution"] in ("unknown", "not_run")
            assert len(fleet.plain.postings) == len(set(fleet.plain.postings))

    run(check())


def test_fleet_is_not_ready_before_its_plain_upstream_is_connected(
    run: Run, tmp_path: Path
) -> None:
    """Guards against orders that are refused because the fleet is still starting."""

    class LatePlainFleet(ProcessFleet):
        def _spawn(self, name: str, role: str, extra: dict[str, Any]) -> None:
            super()._spawn(name, role, extra)
            if name == "agent-plain":
                self.send_signal(name, signal.SIGSTOP)

    async def check() -> None:
        fleet = LatePlainFleet(tmp_path, 1, orders_named_roles=False)
        start = asyncio.ensure_future(fleet.start())
        try:
            await asyncio.wait_for(wait_for_engine_on_page(fleet), READY_LIMIT_S)
            # The record has the same name as the upstream and is on the page already.
            assert not await fleet.shows_all_upstreams("entry-0")
            assert not start.done()
            fleet.send_signal("agent-plain", signal.SIGCONT)
            await start
            assert (await fleet.post_order("entry-0", "order-0")).status == 201
        finally:
            start.cancel()
            await fleet.stop()

    run(check())


async def wait_for_engine_on_page(fleet: ProcessFleet) -> None:
    while True:
        if "entry-0" in fleet.ports:
            page = await fleet.fetch_status_page("entry-0")
            if is_live_on_page(page, "engine-0"):
                return
        await asyncio.sleep(0.05)


def test_frozen_writer_of_claims_loses_and_repeats_no_order(
    run: Run, tmp_path: Path
) -> None:
    """Guards against a writer that, once resumed, repeats the writes of others."""

    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            keys = [f"order-{n}" for n in range(8)]
            half = [fleet.post_order("entry-0", key) for key in keys[:4]]
            answers = list(await asyncio.gather(*half))
            fleet.send_signal("entry-1", signal.SIGSTOP)
            rest = [fleet.post_order("entry-0", key) for key in keys]
            answers += await asyncio.gather(*rest)
            fleet.send_signal("entry-1", signal.SIGCONT)
            repeats = [fleet.post_order("entry-1", key) for key in keys]
            answers += await asyncio.gather(*repeats)
            bodies = [answer.body for answer in answers]
            assert [answer.status for answer in answers] == [201] * 20, bodies
            assert sorted(fleet.plain.postings) == keys

    run(check())


def test_orders_refused_while_the_store_is_blocked_run_once_when_repeated(
    run: Run, tmp_path: Path
) -> None:
    """Guards against a refused order that has run and runs again when repeated.

    The stand-in of the store runs in the test's process. Blocking this process for
    longer than the timeout of store calls makes entries refuse all orders that wait
    for their claims.
    """

    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            keys = [f"order-{n}" for n in range(4)]
            calls = [fleet.post_order("entry-0", key) for key in keys]
            pending = asyncio.gather(*calls)
            await asyncio.sleep(0.03)
            time.sleep(CALL_TIMEOUT_S + 0.5)
            answers = await pending
            for answer in answers:
                assert answer.status in (201, 503), answer.body
                if answer.status == 503:
                    error = answer.json()["error"]
                    assert error["code"] == "store_unavailable"
                    assert answer.headers["retry-after"]
            repeated = [fleet.post_order("entry-0", key) for key in keys]
            answers = await asyncio.gather(*repeated)
            bodies = [answer.body for answer in answers]
            assert [answer.status for answer in answers] == [201] * 4, bodies
            assert sorted(fleet.plain.postings) == keys

    run(check())


def test_killed_writer_of_claims_loses_and_repeats_no_order(
    run: Run, tmp_path: Path
) -> None:
    async def check() -> None:
        async with run_fleet(tmp_path) as fleet:
            keys, calls = await start_orders(fleet)
            fleet.send_signal("entry-1", signal.SIGKILL)
            answers = list(await asyncio.gather(*calls))
            repeats = [fleet.post_order("entry-0", key) for key in keys]
            answers += await asyncio.gather(*repeats)
            assert [answer.status for answer in answers] == [201] * 16
            assert sorted(fleet.plain.postings) == keys

    run(check())
