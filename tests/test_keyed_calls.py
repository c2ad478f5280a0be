"""Test that no fault during a keyed call lets the call run twice."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.claims import CLAIM_GRACE_S
from bramleyport.core import (
    AccountId,
    ErrorCode,
    Execution,
    Rank,
    RequestId,
    ServeError,
    ServiceKind,
    ServiceName,
    Targets,
    Work,
)
from bramleyport.dispatch._attempt import Call
from bramleyport.keyed._calls import RUNNING_POLL_S, KeyedCalls
from bramleyport.keyed._claim_writer import ClaimWriter
from bramleyport.objectapi import ObjectClient
from bramleyport.standins import (
    LOOPBACK,
    ObjectApiStandin,
    read_port,
    serve_app,
    stop_listening,
)
from bramleyport.wire import End
from tests.ports import find_port

Run = Callable[[Coroutine[Any, Any, Any]], Any]
CALL = Call(method="POST", path="/postings", headers={}, body=b"{}")


class FakeDispatcher:
    """Run calls with results that a test sets, and count them."""

    def __init__(self) -> None:
        self.runs = 0
        self.release = asyncio.Event()
        self.result: Any = None
        self.error: Exception | None = None
        self.admit_error: Exception | None = None

    def admit(self, work: Work) -> ServeError | None:
        if self.admit_error is not None:
            raise self.admit_error
        return None

    async def run(
        self, work: Work, call: Call, on_chunk: Any, on_restart: Any = None
    ) -> Any:
        self.runs += 1
        await self.release.wait()
        if self.error is not None:
            raise self.error
        if self.result is not None:
            return self.result
        await on_chunk(b"posted")
        return Ok(End(attempt="a", total=1, digest=b"", status=201))  # type: ignore[arg-type]


class CallTestbed:
    def __init__(self) -> None:
        self.store = ObjectApiStandin()
        self.dispatcher = FakeDispatcher()
        self.port: Any = None
        self.clients: list[ObjectClient] = []

    async def start(self) -> None:
        self.port = await serve_app(self.store.app, find_port())

    def make_entry(self) -> KeyedCalls:
        client = ObjectClient(f"http://{LOOPBACK}:{read_port(self.port)}")
        self.clients.append(client)
        return KeyedCalls(ClaimWriter(client), self.dispatcher)  # type: ignore[arg-type]

    async def stop(self) -> None:
        for client in self.clients:
            await client.close()
        await stop_listening(self.port)


@pytest.fixture
def testbed(run: Run) -> Iterator[CallTestbed]:
    testbed = CallTestbed()
    run(testbed.start())
    yield testbed
    run(testbed.stop())


def make_work(answer_s: float = 30.0) -> Work:
    targets = Targets(first_token_s=1.0, between_tokens_s=1.0, answer_s=answer_s)
    return Work(
        request=RequestId("r"),
        account=AccountId("a"),
        service=ServiceName("orders"),
        kind=ServiceKind.PLAIN,
        rank=Rank.URGENT,
        targets=targets,
        arrived_s=asyncio.get_running_loop().time(),
        idempotent=False,
    )


async def repeat(testbed: CallTestbed, entry: KeyedCalls | None = None) -> Any:
    return await (entry or testbed.make_entry()).run("k", make_work(0.0), CALL)


def test_claim_is_completed_after_its_caller_disconnects(
    testbed: CallTestbed, run: Run
) -> None:
    async def scenario() -> Any:
        entry = testbed.make_entry()
        call = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while testbed.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        call.cancel()
        testbed.dispatcher.release.set()
        await entry.drain()
        return await repeat(testbed)

    answer = run(scenario())
    assert answer.ok_value.body == b"posted"
    assert testbed.dispatcher.runs == 1


def test_fault_after_sending_stays_unknown(testbed: CallTestbed, run: Run) -> None:
    async def scenario() -> tuple[Any, Any]:
        testbed.dispatcher.error = RuntimeError("fault")
        testbed.dispatcher.release.set()
        entry = testbed.make_entry()
        first = await entry.run("k", make_work(), CALL)
        await entry.drain()
        return first, await repeat(testbed)

    first, again = run(scenario())
    assert first.err_value.execution is Execution.UNKNOWN
    assert again.err_value.execution is Execution.UNKNOWN
    assert testbed.dispatcher.runs == 1


def test_fault_before_sending_releases_the_key(testbed: CallTestbed, run: Run) -> None:
    async def scenario() -> tuple[Any, Any]:
        testbed.dispatcher.admit_error = RuntimeError("fault")
        testbed.dispatcher.release.set()
        entry = testbed.make_entry()
        first = await entry.run("k", make_work(), CALL)
        await entry.drain()
        testbed.dispatcher.admit_error = None
        return first, await repeat(testbed)

    first, again = run(scenario())
    assert first.err_value.execution is Execution.NOT_RUN
    assert isinstance(again, Ok)
    assert testbed.dispatcher.runs == 1


def test_not_run_call_may_be_repeated_while_the_store_is_down(
    testbed: CallTestbed, run: Run
) -> None:
    async def scenario() -> Any:
        testbed.dispatcher.result = Err(make_refusal())
        entry = testbed.make_entry()
        call = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while testbed.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        testbed.store.faults.outage = True
        testbed.dispatcher.release.set()
        await call
        testbed.store.faults.outage = False
        testbed.dispatcher.result = None
        return await repeat(testbed, entry)

    assert isinstance(run(scenario()), Ok)
    assert testbed.dispatcher.runs == 2


def test_repeat_of_a_running_call_gets_its_answer_while_the_store_is_down(
    testbed: CallTestbed, run: Run
) -> None:
    """Guards against `not_run` for a call that the same entry is running."""

    async def scenario() -> Any:
        entry = testbed.make_entry()
        first = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while testbed.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        testbed.store.faults.outage = True
        again = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        other = replace(CALL, body=b"[]")
        different = await entry.run("k", make_work(), other)
        testbed.dispatcher.release.set()
        answers = await asyncio.gather(first, again)
        testbed.store.faults.outage = False
        await entry.drain()
        return answers, different

    answers, different = run(scenario())
    assert [answer.ok_value.body for answer in answers] == [b"posted", b"posted"]
    assert different.err_value.execution is Execution.NOT_RUN
    assert testbed.dispatcher.runs == 1


def test_call_that_runs_elsewhere_is_not_reported_as_not_run(
    testbed: CallTestbed, run: Run
) -> None:
    """Guards against `not_run` if the store fails after it named a running call."""

    async def scenario() -> Any:
        first = asyncio.ensure_future(testbed.make_entry().run("k", make_work(), CALL))
        while testbed.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        entry = testbed.make_entry()
        again = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        await asyncio.sleep(RUNNING_POLL_S / 2)
        testbed.store.faults.outage = True
        result = await again
        testbed.dispatcher.release.set()
        await first
        testbed.store.faults.outage = False
        return result

    result = run(scenario())
    assert result.err_value.execution is Execution.UNKNOWN
    assert result.err_value.retry_after_s is not None
    assert testbed.dispatcher.runs == 1


@pytest.mark.parametrize("refused", [False, True])
def test_repeat_without_the_log_is_reported_as_not_run_only_if_it_is_so(
    testbed: CallTestbed, run: Run, refused: bool
) -> None:
    """Guards against `not_run` for a call that the same entry has answered."""

    async def scenario() -> Any:
        if refused:
            testbed.dispatcher.result = Err(make_refusal())
        testbed.dispatcher.release.set()
        entry = testbed.make_entry()
        first = await entry.run("k", make_work(), CALL)
        await entry.drain()
        entry._claims._writers.clear()  # as the least recently used logs are evicted
        testbed.store.faults.outage = True
        again = await entry.run("k", make_work(), CALL)
        fresh = await entry.run("other", make_work(), CALL)
        testbed.store.faults.outage = False
        return first, again, fresh

    first, again, fresh = run(scenario())
    expected = Execution.NOT_RUN if refused else Execution.UNKNOWN
    assert isinstance(first, Err) == refused
    assert again.err_value.execution is expected
    assert fresh.err_value.execution is Execution.NOT_RUN


def make_refusal() -> ServeError:
    return ServeError(
        code=ErrorCode.OVERLOADED,
        message="",
        execution=Execution.NOT_RUN,
        step="attempt",
    )


def test_call_claimed_by_a_dead_entry_is_never_run_again(
    testbed: CallTestbed, run: Run
) -> None:
    """Guards against a second run of a call that the dead entry may have sent."""

    async def scenario() -> tuple[Any, Any]:
        entry = testbed.make_entry()
        call = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while testbed.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        early = await repeat(testbed)
        for task in list(entry._tasks):
            task.cancel()
        entry._claims = None  # type: ignore[assignment]
        age_claims(testbed, 3600.0)
        late = await repeat(testbed)
        call.cancel()
        return early, late

    early, late = run(scenario())
    assert early.err_value.code is ErrorCode.IN_PROGRESS
    assert late.err_value.execution is Execution.UNKNOWN
    assert testbed.dispatcher.runs == 1


def test_claim_decided_long_after_the_deadline_is_not_sent(
    testbed: CallTestbed, run: Run
) -> None:
    """Guards against a paused entry that resumes after the log deleted its claim."""

    async def scenario() -> tuple[Any, Any]:
        testbed.dispatcher.release.set()
        entry = testbed.make_entry()
        late = await entry.run("k", make_work(-CLAIM_GRACE_S - 1.0), CALL)
        runs = testbed.dispatcher.runs
        assert runs == 0
        await entry.drain()
        return late, await repeat(testbed)

    late, again = run(scenario())
    assert late.err_value.execution is Execution.NOT_RUN
    assert isinstance(again, Ok)
    assert testbed.dispatcher.runs == 1


def age_claims(testbed: CallTestbed, by_s: float) -> None:
    for (kind, _), value in testbed.store.store.objects.items():
        if kind == "claims":
            for row in value["spec"].get("entries", ()):
                if row[0] == "claimed":
                    row[5] -= by_s
