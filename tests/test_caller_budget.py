"""Guard the budget of callers' connections, and what it makes them pay."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.tcp import Server

from bramleyport.http1 import CallerBudget, CallerConnection, CallerRequest
from bramleyport.http1._server import ABORT_DELAY_S
from bramleyport.http1._socket_options import count_unsent_bytes
from tests.gateway_fleet import GatewayFleet
from tests.platform_standin import hang
from tests.test_caller_connections import (
    RECEIVE_BUFFER_BYTES,
    UNSENT_BODY_BYTES,
    SocketCaller,
    make_long_answer,
    render_request,
)

Run = Callable[[Coroutine[Any, Any, Any]], Any]

SMALL_BUDGET_BYTES = 60_000
BODY_BYTES = 50_000
# Answers of these sizes are sent, but the next one is not begun before they are read.
UNREAD_BODY_BYTES = 1_200_000
POLL_INTERVAL_S = 0.02
SETTLED_POLLS = 100


@pytest.fixture
def fleet(run: Run, tmp_path: Path) -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(tmp_path)
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def read_budget(fleet: GatewayFleet) -> CallerBudget:
    budget = fleet.gateway._callers.budget
    assert isinstance(budget, CallerBudget)
    return budget


def test_slow_reader_gets_all_answers_in_order(fleet: GatewayFleet, run: Run) -> None:
    """Guards against answers that pile up, and against a wait that never ends."""

    async def call() -> SocketCaller:
        for upstream in fleet.plain:
            upstream.script = make_long_answer(UNREAD_BODY_BYTES)
        caller = SocketCaller(fleet.port, RECEIVE_BUFFER_BYTES)
        await caller.send(b"".join(render_request(f"q{n}") for n in range(4)))
        await fleet.wait_for(fleet.list_runs)
        await asyncio.sleep(0.2)
        assert len(fleet.list_runs()) == 1
        fleet.gateway._callers.draining = True
        await caller.receive()
        caller.close()
        return caller

    caller = run(call())
    assert caller.statuses == [200] * 4
    assert len(caller.received) > 4 * UNREAD_BODY_BYTES
    assert [name for _, name in fleet.list_runs()] == ["q0", "q1", "q2", "q3"]


def test_largest_unfinished_request_is_refused_and_never_runs(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a refusal of another request, or of one that runs after it."""

    async def call() -> SocketCaller:
        read_budget(fleet).max_bytes = SMALL_BUDGET_BYTES
        larger, smaller = SocketCaller(fleet.port), SocketCaller(fleet.port)
        request = render_request("larger", body=b"x" * BODY_BYTES)
        await larger.send(request[:-1])
        await fleet.wait_for(lambda: read_budget(fleet).used_bytes > BODY_BYTES)
        request = render_request("smaller", body=b"x" * (BODY_BYTES // 2))
        await smaller.send(request[:-1])
        await larger.receive()
        await smaller.send(request[-1:])
        await fleet.wait_for(fleet.list_runs)
        larger.close()
        smaller.close()
        return larger

    caller = run(call())
    assert caller.statuses == [503]
    assert b"Retry-After" in caller.received
    assert [name for _, name in fleet.list_runs()] == ["smaller"]


def test_running_request_does_not_pay(fleet: GatewayFleet, run: Run) -> None:
    """Guards against a refusal of a request that may have run."""

    async def call() -> None:
        for upstream in fleet.plain:
            upstream.script = hang
        running, later = SocketCaller(fleet.port), SocketCaller(fleet.port)
        await running.send(render_request("running", body=b"x" * BODY_BYTES))
        await fleet.wait_for(fleet.list_runs)
        read_budget(fleet).max_bytes = SMALL_BUDGET_BYTES
        await later.send(render_request("later", body=b"x" * BODY_BYTES)[:-1])
        await later.receive()
        assert later.statuses == [503]
        assert running.received == b""
        (connection,) = [
            item for item in fleet.gateway._callers.connections if item.serving
        ]
        assert not connection.closed
        running.close()
        later.close()

    run(call())


def test_unread_answer_pays(fleet: GatewayFleet, run: Run) -> None:
    """Guards against answers that nobody reads and that hold the budget."""

    async def call() -> None:
        for upstream in fleet.plain:
            upstream.script = make_long_answer(UNSENT_BODY_BYTES)
        caller = SocketCaller(fleet.port, RECEIVE_BUFFER_BYTES)
        read_budget(fleet).max_bytes = SMALL_BUDGET_BYTES
        await caller.send(render_request("q1"))
        await fleet.wait_for(fleet.list_runs)
        await fleet.wait_for(lambda: not fleet.gateway._callers.connections)
        assert read_budget(fleet).used_bytes == 0
        caller.close()

    run(call())


def test_budget_is_empty_after_its_connections(fleet: GatewayFleet, run: Run) -> None:
    """Guards against bytes or connections that are counted for ever."""

    async def call() -> None:
        callers = [SocketCaller(fleet.port) for _ in range(4)]
        for number, caller in enumerate(callers):
            body = b"x" * BODY_BYTES
            await caller.send(render_request(f"q{number}", body=body))
            await caller.send(render_request(f"u{number}", body=body)[:-1])
        await fleet.wait_for(lambda: len(fleet.list_runs()) == len(callers))
        for caller in callers:
            caller.close()
        await fleet.wait_for(lambda: not fleet.gateway._callers.connections)
        budget = read_budget(fleet)
        assert (budget.used_bytes, budget.connection_count) == (0, 0)

    run(call())


def test_longest_idle_connection_is_closed_for_a_new_one(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against new callers that are refused while others leave theirs idle."""

    async def call() -> None:
        read_budget(fleet).max_connections = 4
        callers = []
        for _ in range(3):
            callers.append(SocketCaller(fleet.port))
            count = len(callers)
            await fleet.wait_for(
                lambda count=count: read_budget(fleet).connection_count == min(count, 2)
            )
            await asyncio.sleep(0.05)
        await callers[0].receive()
        await callers[2].send(render_request("q1"))
        await fleet.wait_for(fleet.list_runs)
        assert await fleet.check_readiness() == 200
        for caller in callers:
            caller.close()

    run(call())


async def answer_until_unsent(
    request: CallerRequest, connection: CallerConnection
) -> None:
    """Write an answer of which the kernel does not take the last bytes."""
    connection.start_answer(200, b"OK", [])
    unsent = settled = 0
    # After a while without progress, the kernel takes some more.
    while settled < SETTLED_POLLS:
        if unsent < Server.bufferSize // 2:
            connection.write_body(b"x" * (Server.bufferSize // 4))
            settled = 0
        await asyncio.sleep(POLL_INTERVAL_S)
        unsent = count_unsent_bytes(connection.transport)
        settled += 1


async def finish_unsent(request: CallerRequest, connection: CallerConnection) -> None:
    await answer_until_unsent(request, connection)
    connection.finish_answer()


def test_connection_that_reads_nothing_is_closed_soon_for_a_new_one(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against descriptors of connections that the budget no longer counts."""

    async def call() -> None:
        fleet.gateway._callers.handler = finish_unsent
        read_budget(fleet).max_connections = 4
        first = SocketCaller(fleet.port, RECEIVE_BUFFER_BYTES)
        await first.send(render_request("q1"))
        connections = fleet.gateway._callers.connections
        await fleet.wait_for(lambda: any(item._request_count for item in connections))
        (connection,) = connections
        await fleet.wait_for(lambda: connection.idle)
        assert connection.writable
        others = [SocketCaller(fleet.port) for _ in range(2)]
        await fleet.wait_for(lambda: connection.closed)
        async with asyncio.timeout(2 * ABORT_DELAY_S):
            await fleet.wait_for(lambda: connection not in connections)
        for caller in (first, *others):
            caller.close()

    run(call())


def test_truncated_answer_pays_with_what_is_queued_behind_it(
    fleet: GatewayFleet, run: Run
) -> None:
    """Guards against a holder that releases nothing, and keeps others from paying."""
    queued = asyncio.Event()

    async def truncate(request: CallerRequest, connection: CallerConnection) -> None:
        await queued.wait()
        await answer_until_unsent(request, connection)
        connection.truncate_answer()

    async def call() -> None:
        fleet.gateway._callers.handler = truncate
        caller = SocketCaller(fleet.port, RECEIVE_BUFFER_BYTES)
        await caller.send(render_request("q1"))
        connections = fleet.gateway._callers.connections
        await fleet.wait_for(lambda: any(item.serving for item in connections))
        (connection,) = connections
        await caller.send(render_request("q2", body=b"x" * 2 * BODY_BYTES))
        await fleet.wait_for(lambda: read_budget(fleet).used_bytes > 2 * BODY_BYTES)
        queued.set()
        await fleet.wait_for(lambda: connection.closed)
        read_budget(fleet).max_bytes = SMALL_BUDGET_BYTES
        later = SocketCaller(fleet.port)
        await later.send(render_request("later", body=b"x" * BODY_BYTES)[:-1])
        await fleet.wait_for(
            lambda: any(item._parser.held_bytes for item in connections - {connection})
        )
        await asyncio.sleep(0.1)
        assert BODY_BYTES <= read_budget(fleet).used_bytes <= SMALL_BUDGET_BYTES
        caller.close()
        later.close()

    run(call())
