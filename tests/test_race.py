"""Test hedged attempts, links that leave an entry's subset, and cache requests."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest
from result import Err, Ok

from bramleyport.core import (
    AttemptId,
    Execution,
    PrefixBlock,
    ProcessId,
    RegionName,
    Revision,
    ServiceKind,
    UpstreamId,
    UpstreamState,
    ZoneName,
)
from bramleyport.dispatch._attempt import AttemptResult, OnChunk
from bramleyport.dispatch._race import StartAttempt, race_attempts
from bramleyport.links._agent_links import AgentLink, AgentLinks
from bramleyport.links._hub import PeerHub
from bramleyport.membership import Host, ProcessRole
from bramleyport.replication import HostStore, RecordStore, Replica
from bramleyport.retries import AttemptFailure, FailureKind
from bramleyport.routing import SubsetSelector
from bramleyport.transport import Identity
from bramleyport.wire import CacheReport, CacheRequest, End, UpstreamInfo

Run = Callable[[Coroutine[Any, Any, Any]], Any]
FAILURE = AttemptFailure(
    upstream=UpstreamId("engine-0"),
    kind=FailureKind.UPSTREAM_ERROR,
    execution=Execution.UNKNOWN,
)


class FakeAttempt:
    """Wait until allowed, send the chunks, then succeed or fail."""

    def __init__(self, name: str, chunks: int = 2, *, fails: bool = False) -> None:
        self.name = name
        self.may_start = asyncio.Event()
        self.cancelled = False
        self._chunks = chunks
        self.failure = FAILURE
        self._fails = fails

    async def start(self, handle_chunk: OnChunk) -> AttemptResult:
        try:
            await self.may_start.wait()
            for number in range(self._chunks):
                await handle_chunk(f"{self.name}{number}".encode())
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if self._fails:
            return Err(self.failure)
        return Ok(End(attempt=AttemptId(self.name), total=2, digest=b"", status=200))


async def race(
    first: FakeAttempt, second: FakeAttempt | None
) -> tuple[AttemptResult, list[bytes]]:
    delivered: list[bytes] = []

    async def handle_chunk(chunk: bytes) -> None:
        delivered.append(chunk)
        await asyncio.sleep(0)

    def find_second() -> StartAttempt | None:
        return None if second is None else second.start

    result = await race_attempts(first.start, find_second, 0.0, handle_chunk)
    return result, delivered


def test_slow_attempt_is_cancelled_once_the_other_sends_a_chunk(run: Run) -> None:
    async def check() -> None:
        slow, fast = FakeAttempt("s"), FakeAttempt("f")
        fast.may_start.set()
        result, delivered = await race(slow, fast)
        assert isinstance(result, Ok)
        assert delivered == [b"f0", b"f1"]
        assert slow.cancelled
        assert not fast.cancelled

    run(check())


def test_chunks_of_two_attempts_are_never_mixed(run: Run) -> None:
    async def check() -> None:
        first, second = FakeAttempt("a", 50), FakeAttempt("b", 50)
        asyncio.get_running_loop().call_later(0.02, first.may_start.set)
        asyncio.get_running_loop().call_later(0.02, second.may_start.set)
        result, delivered = await race(first, second)
        assert isinstance(result, Ok)
        name = result.ok_value.attempt
        assert delivered == [f"{name}{number}".encode() for number in range(50)]
        assert first.cancelled != second.cancelled

    run(check())


def test_failure_of_one_attempt_leaves_the_other_running(run: Run) -> None:
    async def check() -> None:
        failing, good = FakeAttempt("a", 0, fails=True), FakeAttempt("b")
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, failing.may_start.set)
        loop.call_later(0.04, good.may_start.set)
        result, delivered = await race(failing, good)
        assert isinstance(result, Ok)
        assert delivered == [b"b0", b"b1"]

    run(check())


@pytest.mark.parametrize("unknown_first", [True, False])
def test_refusal_of_one_attempt_does_not_hide_that_the_other_may_have_run(
    run: Run, unknown_first: bool
) -> None:
    async def check() -> None:
        attempts = [FakeAttempt(name, 0, fails=True) for name in "ab"]
        refusal = replace(FAILURE, execution=Execution.NOT_RUN)
        attempts[unknown_first].failure = refusal
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, attempts[0].may_start.set)
        loop.call_later(0.04, attempts[1].may_start.set)
        result, delivered = await race(*attempts)
        assert isinstance(result, Err)
        assert result.err_value.execution is Execution.UNKNOWN
        assert delivered == []

    run(check())


def test_first_attempt_finishes_alone_without_a_second(run: Run) -> None:
    async def check() -> None:
        only = FakeAttempt("a")
        asyncio.get_running_loop().call_later(0.02, only.may_start.set)
        result, delivered = await race(only, None)
        assert isinstance(result, Ok)
        assert delivered == [b"a0", b"a1"]

    run(check())


def make_links(size: int) -> AgentLinks:
    identity = Identity(
        process=ProcessId("entry-0"),
        zone=ZoneName("zone-0"),
        region=RegionName("region-0"),
        secret=b"",
    )
    hub = PeerHub(identity, Replica(RecordStore(), HostStore()))
    return AgentLinks(
        identity, lambda: Revision(0), lambda *_: None, hub, SubsetSelector(size)
    )


def make_hosts(count: int) -> list[Host]:
    return [
        Host(
            process=ProcessId(f"agent-{number}"),
            role=ProcessRole.AGENT,
            address="127.0.0.1",
            port=9,
            zone=ZoneName(f"zone-{number % 3}"),
            region=RegionName("region-0"),
        )
        for number in range(count)
    ]


def test_link_outside_the_subset_finishes_its_attempts(run: Run) -> None:
    async def check() -> None:
        links = make_links(6)
        links.apply_hosts(make_hosts(6))
        in_use = dict(links._links)
        for link in in_use.values():
            link.in_flight = 1
        links.apply_hosts(make_hosts(30))
        retired = [link for link in in_use.values() if link.retired]
        assert retired
        assert set(in_use.items()) <= set(links._links.items())
        for link in retired:
            links.release(link)
        assert len(links._links) == 6
        await links.close()

    run(check())


class FakeConnection:
    """Record the messages that are posted."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        self.posted.append(message)


def test_gap_in_cache_reports_makes_the_entry_request_a_full_report(run: Run) -> None:
    async def check() -> None:
        link = AgentLink(make_hosts(1)[0])
        connection = FakeConnection()
        link.connection = connection  # type: ignore[assignment]
        upstream = UpstreamId("engine-0")
        link.apply_info(
            UpstreamInfo(
                upstream=upstream,
                kind=ServiceKind.LANGUAGE,
                zone=ZoneName("zone-0"),
                region=RegionName("region-0"),
                state=UpstreamState.LIVE,
            )
        )
        assert link.view is not None
        blocks = (PrefixBlock(b"a" * 8), PrefixBlock(b"b" * 8))
        link.apply_cache(CacheReport(upstream=upstream, sequence=4, previous=3))
        assert link.view.cached.uncertain
        assert connection.posted == [CacheRequest(upstream=upstream)]
        link.apply_cache(
            CacheReport(upstream=upstream, sequence=4, stored=blocks, full=True)
        )
        assert not link.view.cached.uncertain
        assert link.view.cached.blocks == set(blocks)

    run(check())
