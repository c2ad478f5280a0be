"""Test keyed calls over real sockets while the writer of their log fails."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from result import Err, Ok

import bramleyport.claims._decisions as decisions_module
from bramleyport.claims import ClaimDecisionKind, Decision
from bramleyport.core import REFUSAL_STATUSES, ErrorCode, Execution
from bramleyport.keyed._claim_peers import AVOID_WRITER_S, SILENCE_TIMEOUT_S
from bramleyport.objectapi._client import CALL_TIMEOUT_S
from bramleyport.transport import _endpoint
from bramleyport.wire import (
    PROTOCOL_MIN,
    ClaimAction,
    ClaimDecision,
    ClaimForward,
    ClaimReply,
)
from tests.claim_fleet import ClaimFleet, check_answers, intercept, post_all
from tests.test_claim_log import accept_withdrawn_claim

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def fleet(run: Run) -> Iterator[ClaimFleet]:
    fleet = ClaimFleet()
    run(fleet.start())
    yield fleet
    run(fleet.stop())


def test_changes_are_written_by_the_writer_alone(fleet: ClaimFleet, run: Run) -> None:
    """Guards against entries that write a log directly while its writer works."""

    async def check() -> None:
        keys = fleet.find_keys(0, 1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        check_answers(fleet, keys, await post_all(fleet, 2, keys))
        assert not fleet.nodes[0].claims._writers
        assert not fleet.nodes[2].claims._writers

    run(check())


@pytest.mark.parametrize("stall_s", [0.7, 1.5, 3.5])
def test_stall_while_entries_connect_makes_no_other_entry_write(
    run: Run, stall_s: float
) -> None:
    """Guards against direct writes as the process stands still on a loaded machine."""

    async def stall() -> None:
        await asyncio.sleep(0.01)
        time.sleep(stall_s)

    async def check() -> None:
        stalled = asyncio.ensure_future(stall())
        fleet = ClaimFleet()
        await fleet.start()
        keys = fleet.find_keys(0, 1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        check_answers(fleet, keys, await post_all(fleet, 2, keys))
        await stalled
        assert not fleet.nodes[0].claims._writers
        assert not fleet.nodes[2].claims._writers
        await fleet.stop()

    run(check())


def test_peers_of_an_older_version_are_sent_no_claims(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards a rolling update: an old entry closes connections on unknown tags."""

    async def check() -> None:
        monkeypatch.setattr(_endpoint, "PROTOCOL_MAX", PROTOCOL_MIN)
        fleet = ClaimFleet()
        await fleet.start()
        keys = fleet.find_keys(0, 1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        assert fleet.nodes[0].hub._connections
        assert fleet.nodes[0].hub.find_connection(fleet.nodes[1].process) is None
        await fleet.stop()

    run(check())


def test_repeat_through_another_entry_gets_the_running_answer(
    fleet: ClaimFleet, run: Run
) -> None:
    async def check() -> None:
        fleet.dispatcher.delay_s = 0.7
        keys = fleet.find_keys(0, 1, 2)
        both = await asyncio.gather(
            post_all(fleet, 0, keys), post_all(fleet, 2, keys), post_all(fleet, 1, keys)
        )
        for answers in both:
            check_answers(fleet, keys, answers)

    run(check())


def test_killed_writer_is_replaced_by_direct_writes(
    fleet: ClaimFleet, run: Run
) -> None:
    async def check() -> None:
        keys = fleet.find_keys(0, 1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        await fleet.kill(1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        more = fleet.find_keys(0, 1, 12)[6:]
        check_answers(fleet, more, await post_all(fleet, 0, more))
        check_answers(fleet, more, await post_all(fleet, 2, more))

    run(check())


def test_writer_killed_while_it_writes_claims(fleet: ClaimFleet, run: Run) -> None:
    """Guards against a second run of a call whose claim the dead writer recorded."""

    async def check() -> None:
        keys = fleet.find_keys(0, 1)
        fleet.store.faults.delay_s = 0.1
        calls = asyncio.ensure_future(post_all(fleet, 0, keys))
        while not fleet.store.store.objects:
            await asyncio.sleep(0.005)
        await fleet.kill(1)
        check_answers(fleet, keys, await calls)
        check_answers(fleet, keys, await post_all(fleet, 2, keys))

    run(check())


def test_silent_writer_delays_a_call_once(fleet: ClaimFleet, run: Run) -> None:
    async def check() -> None:
        dropped = intercept(fleet.nodes[1], lambda *_: True)
        keys = fleet.find_keys(0, 1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        sent = len(dropped)
        more = fleet.find_keys(0, 1, 12)[6:]
        check_answers(fleet, more, await post_all(fleet, 0, more))
        assert len(dropped) == sent  # nothing was forwarded again
        # The silent writer processes its messages late, which changes nothing.
        for connection, message in dropped:
            fleet.nodes[1].peers.handle(connection, message)
        check_answers(fleet, keys, await post_all(fleet, 1, keys))
        check_answers(fleet, keys, await post_all(fleet, 2, keys))

    run(check())


@pytest.mark.parametrize("stall_s", [0.9, 2.5])
def test_stall_of_a_sender_is_not_silence_of_its_writer(
    fleet: ClaimFleet, run: Run, stall_s: float
) -> None:
    """Guards against a direct write while messages of the writer lie unread."""

    async def stall(connection: Any, message: Any) -> None:
        connection.post(ClaimDecision(number=message.number, reply=ClaimReply.PENDING))
        await asyncio.sleep(0.3)
        time.sleep(stall_s)  # neither side reads nor writes
        await asyncio.sleep(0.3)
        fleet.nodes[1].peers.handle(connection, message)

    async def check() -> None:
        tasks: list[Any] = []

        def handle(connection: Any, message: Any) -> None:
            tasks.append(asyncio.ensure_future(stall(connection, message)))

        fleet.nodes[1].hub.on_claims = handle
        (key,) = fleet.find_keys(0, 1, 1)
        check_answers(fleet, [key], [await fleet.post(0, key)])
        await asyncio.gather(*tasks)
        assert not fleet.nodes[0].claims._writers

    run(check())


@pytest.mark.parametrize("after_s", [0.05, 0.15, 0.3, 0.5])
def test_stall_during_a_claim_refuses_no_call(
    fleet: ClaimFleet, run: Run, after_s: float
) -> None:
    """Guards against 503 for a call whose entry was paused, though the store works."""

    async def check() -> None:
        fleet.store.faults.delay_s = 0.1
        intercept(fleet.nodes[1], lambda *_: True)
        keys = fleet.find_keys(0, 1, 2)
        calls = asyncio.ensure_future(post_all(fleet, 0, keys))
        await asyncio.sleep(SILENCE_TIMEOUT_S + after_s)
        time.sleep(CALL_TIMEOUT_S + 0.2)
        check_answers(fleet, keys, await calls)

    run(check())


@pytest.mark.parametrize("turns", [1, 2, 3])
def test_stall_as_an_entry_connects_to_the_store_refuses_no_call(
    fleet: ClaimFleet, run: Run, turns: int
) -> None:
    """Guards against 503 as a stall hides that the store accepted the connection."""
    client: Any = fleet.nodes[0].client
    exchange = client._exchange
    stalled = asyncio.Event()

    async def stall_while_connecting(*call: Any) -> Any:
        answer = asyncio.ensure_future(exchange(*call))
        for _ in range(turns):
            await asyncio.sleep(0)
        if not stalled.is_set():
            stalled.set()
            time.sleep(CALL_TIMEOUT_S + 0.2)
        return await answer

    async def check() -> None:
        intercept(fleet.nodes[1], lambda *_: True)
        client._exchange = stall_while_connecting
        keys = fleet.find_keys(0, 1, 2)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        assert stalled.is_set()

    run(check())


@pytest.mark.parametrize("action", list(ClaimAction))
def test_lost_decision_changes_nothing(
    fleet: ClaimFleet, run: Run, action: ClaimAction
) -> None:
    """Guards against a change that takes effect twice when its decision is lost."""

    async def check() -> None:
        numbers: set[int] = set()

        def record(connection: Any, message: Any) -> bool:
            if isinstance(message, ClaimForward) and message.action is action:
                numbers.add(message.number)
            return False

        intercept(fleet.nodes[1], record)
        dropped = intercept(
            fleet.nodes[0],
            lambda _, m: isinstance(m, ClaimDecision) and m.number in numbers,
        )
        keys = fleet.find_keys(0, 1)
        if action is ClaimAction.RELEASE:
            fleet.dispatcher.admit = raise_fault  # type: ignore[method-assign]
            for answer in await post_all(fleet, 0, keys):
                assert answer.err_value.execution is Execution.NOT_RUN
            fleet.dispatcher.admit = lambda work: None  # type: ignore[method-assign]
        else:
            check_answers(fleet, keys, await post_all(fleet, 0, keys))
        await fleet.keyed[0].drain(2 * SILENCE_TIMEOUT_S)
        assert dropped
        check_answers(fleet, keys, await post_all(fleet, 2, keys))
        # Decisions that arrive late and twice are dropped.
        for connection, message in dropped * 2:
            fleet.nodes[0].peers.handle(connection, message)

    run(check())


def test_late_claim_after_its_release_leaves_the_key_free(
    fleet: ClaimFleet, run: Run
) -> None:
    """Guards against a late message that claims a key for a call that never runs."""

    async def check() -> None:
        dropped = intercept(fleet.nodes[1], lambda *_: True)
        (key,) = fleet.find_keys(0, 1, 1)
        fleet.dispatcher.admit = raise_fault  # type: ignore[method-assign]
        refused = await fleet.post(0, key)
        assert refused.err_value.execution is Execution.NOT_RUN
        assert not fleet.dispatcher.runs
        await fleet.keyed[0].drain(2 * SILENCE_TIMEOUT_S)
        fleet.dispatcher.admit = lambda work: None  # type: ignore[method-assign]
        for connection, message in dropped:
            fleet.nodes[1].peers.handle(connection, message)
        while fleet.nodes[1].peers._served:
            await asyncio.sleep(0.01)
        check_answers(fleet, [key], [await fleet.post(2, key, 1.0)])

    run(check())


def raise_fault(work: Any) -> None:
    raise RuntimeError("fault before sending")


def test_late_claim_check_finds_a_log_that_ignores_releases(
    fleet: ClaimFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check of late claims that never fails."""
    monkeypatch.setattr(decisions_module, "_decide_request", accept_withdrawn_claim)
    with pytest.raises(AssertionError):
        test_late_claim_after_its_release_leaves_the_key_free(fleet, run)


def test_check_finds_a_sender_that_runs_a_call_after_a_lost_decision(
    fleet: ClaimFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check of lost decisions that never fails."""
    write = fleet.nodes[0].claims.write

    async def write_and_claim(change: Any) -> Any:
        await write(change)
        return Ok(Decision(kind=ClaimDecisionKind.NEW))

    async def check() -> None:
        intercept(fleet.nodes[0], lambda _, m: isinstance(m, ClaimDecision))
        keys = fleet.find_keys(0, 1, 2)
        both = await asyncio.gather(post_all(fleet, 0, keys), post_all(fleet, 2, keys))
        for answers in both:
            check_answers(fleet, keys, answers)

    run(check())
    monkeypatch.setattr(fleet.nodes[0].claims, "write", write_and_claim)
    with pytest.raises(AssertionError):
        run(check())


def test_entries_that_disagree_about_the_writer(fleet: ClaimFleet, run: Run) -> None:
    async def check() -> None:
        names = [node.process for node in fleet.nodes]
        # The first two entries forward to the next one; the last writes itself.
        for node, writer in zip(fleet.nodes, [names[1], names[2], None], strict=True):
            node.peers.find_writer = lambda log, w=writer: w  # type: ignore[method-assign]
        keys = [f"d-{index}" for index in range(8)]
        fleet.dispatcher.delay_s = 0.05
        answers = await asyncio.gather(
            *(post_all(fleet, index, keys) for index in range(3))
        )
        for row in answers:
            check_answers(fleet, keys, row)

    run(check())


def test_entries_that_name_each_other_as_the_writer(
    fleet: ClaimFleet, run: Run
) -> None:
    """Guards against a change that two entries forward to each other endlessly."""

    async def check() -> None:
        first, second = fleet.nodes[:2]
        first.peers.find_writer = lambda log: second.process  # type: ignore[method-assign]
        second.peers.find_writer = lambda log: first.process  # type: ignore[method-assign]
        keys = [f"c-{index}" for index in range(6)]
        both = await asyncio.gather(
            post_all(fleet, 0, keys), post_all(fleet, 1, keys), post_all(fleet, 0, keys)
        )
        for row in both:
            check_answers(fleet, keys, row)

    run(check())


def test_outage_refuses_forwarded_calls_at_once(fleet: ClaimFleet, run: Run) -> None:
    async def check() -> None:
        keys = fleet.find_keys(0, 1)
        fleet.store.faults.outage = True
        for answer in await post_all(fleet, 0, keys):
            assert isinstance(answer, Err)
            assert answer.err_value.code is ErrorCode.STORE_UNAVAILABLE
            assert answer.err_value.execution is Execution.NOT_RUN
        assert not fleet.dispatcher.runs
        fleet.store.faults.outage = False
        check_answers(fleet, keys, await post_all(fleet, 2, keys))

    run(check())


def test_completed_call_is_never_reported_as_not_run(
    fleet: ClaimFleet, run: Run
) -> None:
    """Guards against `not_run` for a repeated call with an unreadable stored answer."""

    async def check() -> None:
        keys = fleet.find_keys(0, 1)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        await fleet.keyed[0].drain()
        fleet.store.faults.outage = True
        for answer in await post_all(fleet, 0, keys):
            assert isinstance(answer, Err)
            assert answer.err_value.execution is Execution.COMPLETED
            assert answer.err_value.http_status not in REFUSAL_STATUSES

    run(check())


def test_writer_repeats_writes_whose_answers_are_lost(
    fleet: ClaimFleet, run: Run
) -> None:
    async def check() -> None:
        keys = fleet.find_keys(0, 1, 10)
        for index, key in enumerate(keys):
            fleet.store.faults.lose_answers = index % 3
            check_answers(fleet, [key], [await fleet.post(0, key)])
        check_answers(fleet, keys, await post_all(fleet, 2, keys))

    run(check())


def test_link_to_a_writer_is_opened_on_request(run: Run) -> None:
    """Guards against direct writes for lack of a connection to the writer."""

    async def check() -> None:
        fleet = ClaimFleet()
        await fleet.start(8)
        links = [node.hub.topology.links for node in fleet.nodes]  # type: ignore[union-attr]
        names = [node.process for node in fleet.nodes]
        sender, writer = next(
            (one, other)
            for one in range(8)
            for other in range(8)
            if names[other] not in links[one]
            and names[one] not in links[other]
            and fleet.find_keys(one, other, 1)
        )
        keys = fleet.find_keys(sender, writer, 2)
        check_answers(fleet, keys, await post_all(fleet, sender, keys))
        assert not fleet.nodes[sender].claims._writers
        assert fleet.nodes[writer].claims._writers
        await fleet.stop()

    run(check())


def test_avoided_writer_is_used_again(
    fleet: ClaimFleet, run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a writer that is avoided forever after one time-out."""

    async def check() -> None:
        intercept(fleet.nodes[1], lambda *_: True)
        keys = fleet.find_keys(0, 1, 4)
        check_answers(fleet, keys[:2], await post_all(fleet, 0, keys[:2]))
        assert fleet.nodes[0].peers._avoid_until_s
        fleet.nodes[1].hub.on_claims = fleet.nodes[1].peers.handle
        for process in fleet.nodes[0].peers._avoid_until_s:
            fleet.nodes[0].peers._avoid_until_s[process] -= AVOID_WRITER_S
        before = set(fleet.nodes[1].claims._writers)
        check_answers(fleet, keys[2:], await post_all(fleet, 0, keys[2:]))
        assert set(fleet.nodes[1].claims._writers) - before

    run(check())


def test_sender_waits_for_a_slow_writer_that_reports(
    fleet: ClaimFleet, run: Run
) -> None:
    """Guards against senders that load a log while its writer is loading it."""

    async def check() -> None:
        fleet.store.faults.delay_s = (
            0.6  # the first claim of a log needs five store calls
        )
        keys = fleet.find_keys(0, 1, 2)
        check_answers(fleet, keys, await post_all(fleet, 0, keys))
        assert not fleet.nodes[0].claims._writers

    run(check())


def test_writer_whose_store_hangs_is_not_followed_by_a_direct_write(
    fleet: ClaimFleet, run: Run, stall_s: float = 0.0
) -> None:
    """Guards against a direct write that hangs after the writer's store hung."""

    async def fail(connection: Any, number: int) -> None:
        for _ in range(3):
            connection.post(ClaimDecision(number=number, reply=ClaimReply.PENDING))
            await asyncio.sleep(0.5)
            time.sleep(stall_s)
        connection.post(
            ClaimDecision(number=number, reply=ClaimReply.FAILED, in_doubt=True)
        )

    async def check() -> None:
        failing: list[Any] = []

        def reply(connection: Any, message: Any) -> None:
            failing.append(asyncio.ensure_future(fail(connection, message.number)))

        fleet.nodes[1].hub.on_claims = reply
        (key,) = fleet.find_keys(0, 1, 1)
        answer = await fleet.post(0, key)
        assert answer.err_value.execution is Execution.NOT_RUN
        assert not fleet.dispatcher.runs
        assert not fleet.nodes[0].claims._writers
        fleet.nodes[1].hub.on_claims = fleet.nodes[1].peers.handle
        check_answers(fleet, [key], [await fleet.post(0, key)])

    run(check())


def test_hanging_store_of_a_writer_is_found_in_a_process_that_stalls(
    fleet: ClaimFleet, run: Run
) -> None:
    """Guards against a call that runs after a stall of its entry hid its refusal."""
    test_writer_whose_store_hangs_is_not_followed_by_a_direct_write(fleet, run, 0.8)
