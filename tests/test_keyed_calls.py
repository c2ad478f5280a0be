"""Guard that no fault around a keyed call leaves a claim that could run twice."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
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
from bramleyport.keyed._calls import KeyedCalls
from bramleyport.keyed._claims import ClaimWriter
from bramleyport.objectapi import ObjectClient
from bramleyport.standins import (
    LOOPBACK,
    ObjectApiStandin,
    read_port,
    serve_app,
    stop_listening,
)
from bramleyport.wire import End

Run = Callable[[Coroutine[Any, Any, Any]], Any]
CALL = Call(method="POST", path="/postings", headers={}, body=b"{}")


class FakeDispatcher:
    """Run calls as a test says and count them."""

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


class Bench:
    def __init__(self) -> None:
        self.store = ObjectApiStandin()
        self.dispatcher = FakeDispatcher()
        self.port: Any = None
        self.clients: list[ObjectClient] = []

    async def start(self) -> None:
        self.port = await serve_app(self.store.app, 0)

    def make_entry(self) -> KeyedCalls:
        client = ObjectClient(f"http://{LOOPBACK}:{read_port(self.port)}")
        self.clients.append(client)
        return KeyedCalls(ClaimWriter(client), self.dispatcher)  # type: ignore[arg-type]

    async def stop(self) -> None:
        for client in self.clients:
            await client.close()
        await stop_listening(self.port)


@pytest.fixture
def bench(run: Run) -> Iterator[Bench]:
    bench = Bench()
    run(bench.start())
    yield bench
    run(bench.stop())


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


async def repeat(bench: Bench, entry: KeyedCalls | None = None) -> Any:
    return await (entry or bench.make_entry()).run("k", make_work(0.0), CALL)


def test_caller_that_goes_away_leaves_a_finished_claim(bench: Bench, run: Run) -> None:
    async def scenario() -> Any:
        entry = bench.make_entry()
        call = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while bench.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        call.cancel()
        bench.dispatcher.release.set()
        await entry.drain()
        return await repeat(bench)

    answer = run(scenario())
    assert answer.ok_value.body == b"posted"
    assert bench.dispatcher.runs == 1


def test_fault_after_sending_is_unknown_for_good(bench: Bench, run: Run) -> None:
    async def scenario() -> tuple[Any, Any]:
        bench.dispatcher.error = RuntimeError("fault")
        bench.dispatcher.release.set()
        entry = bench.make_entry()
        first = await entry.run("k", make_work(), CALL)
        await entry.drain()
        return first, await repeat(bench)

    first, again = run(scenario())
    assert first.err_value.execution is Execution.UNKNOWN
    assert again.err_value.execution is Execution.UNKNOWN
    assert bench.dispatcher.runs == 1


def test_fault_before_sending_frees_the_key(bench: Bench, run: Run) -> None:
    async def scenario() -> tuple[Any, Any]:
        bench.dispatcher.admit_error = RuntimeError("fault")
        bench.dispatcher.release.set()
        entry = bench.make_entry()
        first = await entry.run("k", make_work(), CALL)
        await entry.drain()
        bench.dispatcher.admit_error = None
        return first, await repeat(bench)

    first, again = run(scenario())
    assert first.err_value.execution is Execution.NOT_RUN
    assert isinstance(again, Ok)
    assert bench.dispatcher.runs == 1


def test_not_run_call_may_be_repeated_while_the_store_is_down(
    bench: Bench, run: Run
) -> None:
    async def scenario() -> Any:
        bench.dispatcher.result = Err(
            ServeError(
                code=ErrorCode.OVERLOADED,
                message="",
                execution=Execution.NOT_RUN,
                step="attempt",
            )
        )
        entry = bench.make_entry()
        call = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while bench.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        bench.store.faults.outage = True
        bench.dispatcher.release.set()
        await call
        bench.store.faults.outage = False
        bench.dispatcher.result = None
        return await repeat(bench, entry)

    assert isinstance(run(scenario()), Ok)
    assert bench.dispatcher.runs == 2


def test_dead_entrys_claim_is_never_run_again(bench: Bench, run: Run) -> None:
    """Guards against a second run of a call that the dead entry may have sent."""

    async def scenario() -> tuple[Any, Any]:
        entry = bench.make_entry()
        call = asyncio.ensure_future(entry.run("k", make_work(), CALL))
        while bench.dispatcher.runs == 0:
            await asyncio.sleep(0.01)
        early = await repeat(bench)
        for task in list(entry._tasks):
            task.cancel()
        entry._claims = None  # type: ignore[assignment]
        age_claims(bench, 3600.0)
        late = await repeat(bench)
        call.cancel()
        return early, late

    early, late = run(scenario())
    assert early.err_value.code is ErrorCode.IN_PROGRESS
    assert late.err_value.execution is Execution.UNKNOWN
    assert bench.dispatcher.runs == 1


def test_claim_decided_long_after_the_deadline_is_not_sent(
    bench: Bench, run: Run
) -> None:
    """Guards against an entry that wakes up when the log has forgotten its claim."""

    async def scenario() -> tuple[Any, Any]:
        bench.dispatcher.release.set()
        entry = bench.make_entry()
        late = await entry.run("k", make_work(-CLAIM_GRACE_S - 1.0), CALL)
        runs = bench.dispatcher.runs
        assert runs == 0
        await entry.drain()
        return late, await repeat(bench)

    late, again = run(scenario())
    assert late.err_value.execution is Execution.NOT_RUN
    assert isinstance(again, Ok)
    assert bench.dispatcher.runs == 1


def age_claims(bench: Bench, by_s: float) -> None:
    for (kind, _), value in bench.store.store.objects.items():
        if kind == "claims":
            for row in value["spec"].get("entries", ()):
                if row[0] == "claimed":
                    row[5] -= by_s
