"""Guard what a gateway makes of broken calls whose upstream proves to have ended."""

import asyncio
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from bramleyport.core import ProcessId, RequestId, UpstreamId
from bramleyport.fleet import CallTraits, CrashEvidence, RequestIdentity
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._crash_guard import CrashGuard

Run = Callable[[Coroutine[Any, Any, Any]], Any]

ANSWER_STEP_S = 0.01


class ListeningExchanger:
    """Represent hosts that accept connections, though their upstream has ended."""

    async def is_refusing(self, target: Any) -> bool:
        return False


class GuardedGateway:
    """Represent a gateway by its guard, without a store and without peers."""

    def __init__(self, name: str) -> None:
        self.evidence = CrashEvidence(ProcessId(name))
        state: Any = SimpleNamespace(crash_evidence=self.evidence)
        exchanger: Any = ListeningExchanger()
        store: Any = SimpleNamespace(
            write=lambda verdict: None, remove=lambda trait: None
        )
        self.guard = CrashGuard(state, exchanger, store)

    async def break_call(self, call: Any, upstream: str) -> None:
        target: Any = SimpleNamespace(upstream=UpstreamId(upstream), started_ms=1)
        await self.guard.record_broken(call, target, answer_began=True)

    def answer(self, call: Any) -> None:
        self.guard.record_answered(call, read_now())

    def confirm(self, upstream: str) -> None:
        self.guard.confirm_crash(UpstreamId(upstream))

    def send_to(self, other: "GuardedGateway") -> None:
        """Send the other gateway all updates that are pending."""
        updates = self.guard.take_updates()
        for report in updates.reports:
            other.guard.apply_report(report, "")
        for notice in updates.harmless:
            other.guard.apply_harmless(notice)
        for verdict in updates.verdicts:
            other.guard.apply_verdict(verdict, "")


def make_call(body: str) -> Any:
    identity = RequestIdentity([b"POST", b"/x"], body.encode())
    return SimpleNamespace(
        request=RequestId("r"), identity=identity, traits=CallTraits((), identity)
    )


# Guards against a verdict on a request that is answered all the time: a gateway may
# learn seconds after a call broke that its upstream has ended.
def test_answer_before_a_crash_is_confirmed_clears_its_request(run: Run) -> None:
    async def check() -> None:
        gateway, other = GuardedGateway("g0"), GuardedGateway("g1")
        await gateway.break_call(make_call("poll"), "p0")
        await asyncio.sleep(ANSWER_STEP_S)
        gateway.answer(make_call("poll"))
        await asyncio.sleep(ANSWER_STEP_S)
        gateway.confirm("p0")
        gateway.send_to(other)
        await gateway.break_call(make_call("poll"), "p1")
        gateway.confirm("p1")
        gateway.send_to(other)
        assert gateway.evidence.verdicts == ()
        assert other.evidence.verdicts == ()

    run(check())


# Guards against messages that grow with the calls of one request that a crash broke.
def test_notice_of_an_answer_is_sent_once_for_all_calls_of_a_crash(run: Run) -> None:
    async def check() -> None:
        gateway = GuardedGateway("g0")
        for _ in range(3):
            await gateway.break_call(make_call("poll"), "p0")
        await asyncio.sleep(ANSWER_STEP_S)
        gateway.answer(make_call("poll"))
        gateway.confirm("p0")
        updates = gateway.guard.take_updates()
        assert len(updates.reports) == 3
        assert len(updates.harmless) == 1

    run(check())


# Guards against answers from before the crashes that hide a request which has turned
# bad, and against answers to other requests.
@pytest.mark.parametrize("answered", ["poll", "other"])
def test_answer_before_a_call_broke_does_not_clear_its_request(
    run: Run, answered: str
) -> None:
    async def check() -> None:
        gateway, other = GuardedGateway("g0"), GuardedGateway("g1")
        gateway.answer(make_call(answered))
        await asyncio.sleep(ANSWER_STEP_S)
        for upstream in ("p0", "p1"):
            await gateway.break_call(make_call("poll"), upstream)
            gateway.confirm(upstream)
            gateway.send_to(other)
        assert gateway.evidence.find_verdict(make_call("poll").traits)
        assert other.evidence.find_verdict(make_call("poll").traits)

    run(check())
