"""Test the contract of the object API, also under each fault."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.core import Revision
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoreFailure,
    WatchEventType,
)
from bramleyport.objectapi._client import CALL_TIMEOUT_S
from bramleyport.standins import ObjectApiStandin, read_port, serve_app, stop_listening
from bramleyport.transport._connect_limit import CONNECT_TIMEOUT_S
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
NAME = ObjectName("a")


@pytest.fixture
def api(run: Run) -> Iterator[tuple[ObjectApiStandin, ObjectClient]]:
    standin = ObjectApiStandin()
    listening = run(serve_app(standin.app, find_port()))
    client = ObjectClient(f"http://127.0.0.1:{read_port(listening)}")
    yield standin, client
    run(client.close())
    run(stop_listening(listening))


Api = tuple[ObjectApiStandin, ObjectClient]


def test_versions_and_revisions_increase(api: Api, run: Run) -> None:
    _, client = api
    first = run(client.create(Kind.ORDERS, NAME, {"n": 1}, {})).ok_value
    other = run(client.create(Kind.LEASES, NAME, {}, {})).ok_value
    second = run(client.update(Kind.ORDERS, NAME, first.version, {"n": 2}, {})).ok_value
    assert (first.version, second.version) == (1, 2)
    assert first.revision < other.revision < second.revision


def test_delete_requires_the_current_version(api: Api, run: Run) -> None:
    _, client = api
    run(client.create(Kind.ORDERS, NAME, {}, {}))
    stale = run(client.delete(Kind.ORDERS, NAME, ObjectVersion(7)))
    assert stale.err_value.failure is StoreFailure.CONFLICT
    assert isinstance(run(client.delete(Kind.ORDERS, NAME, ObjectVersion(1))), Ok)


def test_watch_returns_changes_after_a_revision(api: Api, run: Run) -> None:
    _, client = api

    async def change_during_watch() -> Any:
        waiting = asyncio.ensure_future(client.watch(Kind.ORDERS, Revision(0), 5.0))
        await client.create(Kind.LEASES, NAME, {}, {})
        await client.create(Kind.ORDERS, NAME, {}, {})
        return await waiting

    batch = run(change_during_watch()).ok_value
    assert [event.type for event in batch.events] == [WatchEventType.PUT]
    assert batch.revision == 2


def test_watch_after_a_discarded_revision_expires(api: Api, run: Run) -> None:
    standin, client = api
    for index in range(3):
        standin.store.put("orders", f"o{index}", {})
    del standin.store.history[:2]
    result = run(client.watch(Kind.ORDERS, Revision(0), 1.0))
    assert result.err_value.failure is StoreFailure.EXPIRED


def test_each_call_is_counted(api: Api, run: Run) -> None:
    standin, client = api
    run(client.list_all(Kind.ORDERS))
    run(client.watch(Kind.ORDERS, Revision(0), 0.01))
    assert standin.store.calls == {"list": 1, "watch": 1}


def lose_one_answer(standin: ObjectApiStandin) -> None:
    standin.faults.lose_answers = 1


def start_outage(standin: ObjectApiStandin) -> None:
    standin.faults.outage = True


def delay_answers(standin: ObjectApiStandin) -> None:
    standin.faults.delay_s = 3.5


def cause_no_fault(standin: ObjectApiStandin) -> None:
    return None


LARGE = {"x": "y" * 1_000_001}
FAULTS: list[tuple[str, Any, dict[str, Any], StoreFailure, bool]] = [
    ("outage", start_outage, {}, StoreFailure.UNAVAILABLE, False),
    ("lost answer", lose_one_answer, {}, StoreFailure.UNKNOWN, True),
    ("slow", delay_answers, {}, StoreFailure.UNKNOWN, False),
    (
        "too large",
        cause_no_fault,
        {"x": "y" * 1_000_001},
        StoreFailure.TOO_LARGE,
        False,
    ),
]


@pytest.mark.parametrize(
    ("prepare", "spec", "failure", "stored"),
    [row[1:] for row in FAULTS],
    ids=[row[0] for row in FAULTS],
)
def test_failed_write_states_whether_it_may_have_been_executed(
    api: Api,
    run: Run,
    prepare: Callable[[ObjectApiStandin], None],
    spec: dict[str, Any],
    failure: StoreFailure,
    stored: bool,
) -> None:
    standin, client = api
    prepare(standin)
    result = run(client.create(Kind.ORDERS, NAME, spec, {}))
    assert isinstance(result, Err)
    assert result.err_value.failure is failure
    assert result.err_value.step == "put"
    assert (("orders", "a") in standin.store.objects) is stored


def test_write_with_a_refused_connection_is_not_executed(run: Run) -> None:
    client = ObjectClient("http://127.0.0.1:1")
    result = run(client.create(Kind.ORDERS, NAME, {}, {}))
    assert result.err_value.failure is StoreFailure.UNAVAILABLE


def test_stall_of_a_process_is_not_slowness_of_the_store(api: Api, run: Run) -> None:
    """Guards against calls that fail because their process was paused."""
    standin, client = api
    standin.faults.delay_s = 0.1

    async def stall_during_calls() -> Any:
        calls = asyncio.gather(
            client.create(Kind.CLAIMS, NAME, {}, {}),
            client.list_all(Kind.ORDERS),
        )
        await asyncio.sleep(0.05)
        time.sleep(CALL_TIMEOUT_S + 0.2)
        return await calls

    assert all(isinstance(result, Ok) for result in run(stall_during_calls()))


# The moment of the stall decides whether the connection is being established in it.
@pytest.mark.parametrize("turns", range(6))
def test_stall_of_a_process_while_it_connects_fails_no_call(
    api: Api, run: Run, turns: int
) -> None:
    """Guards against a time-out of a connection that the store accepted at once."""
    _, client = api

    async def stall_during_call() -> Any:
        call = asyncio.ensure_future(client.list_all(Kind.ORDERS))
        for _ in range(turns):
            await asyncio.sleep(0)
        time.sleep(CONNECT_TIMEOUT_S + 0.2)
        return await call

    result = run(stall_during_call())
    assert isinstance(result, Ok), result


def test_connection_that_is_not_accepted_ends_in_time(run: Run) -> None:
    """Guards the limit itself, and that the call is known not to have been executed."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(("127.0.0.1", 0))
        # The kernel answers no further connection once the backlog is full.
        listener.listen(0)
        first.connect(listener.getsockname())
        client = ObjectClient(f"http://127.0.0.1:{listener.getsockname()[1]}")
        started_s = time.monotonic()
        result = run(client.list_all(Kind.ORDERS))
        elapsed_s = time.monotonic() - started_s
    assert result.err_value.failure is StoreFailure.UNAVAILABLE
    assert CONNECT_TIMEOUT_S <= elapsed_s < 2 * CONNECT_TIMEOUT_S


def test_call_that_the_store_does_not_answer_ends_in_time(api: Api, run: Run) -> None:
    standin, client = api
    standin.faults.delay_s = 2 * CALL_TIMEOUT_S
    started_s = time.monotonic()
    result = run(client.list_all(Kind.ORDERS))
    assert result.err_value.failure is StoreFailure.UNKNOWN
    assert CALL_TIMEOUT_S <= time.monotonic() - started_s < 2 * CALL_TIMEOUT_S
