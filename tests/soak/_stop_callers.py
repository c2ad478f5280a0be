"""Define callers that use gateways until their processes end."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from tests.platform_standin import (
    CallerAnswer,
    ObservingCaller,
    RawCaller,
    is_unanswered,
)
from tests.soak._checks import Observations, SentCall, check_answer
from tests.soak._processes import GatewayProcess
from tests.soak._stop_checks import StopCall, StopObservations

KINDS: Final = ("read", "post", "once", "stream")
# Long enough for answers that outlast a stop, and limits within one.
LIMITS_S: Final = (0.8, 2.0, 5.0, 9.0)
# By then each call has reached its deadline.
ANSWER_TIMEOUT_S: Final = 12.0
# Callers at a low rate leave moments in which a gateway has no connection.
MAX_PAUSE_S: Final = 0.5
# Longest time between calls over a connection that is mostly idle.
RARE_PAUSE_S: Final = 3.0
MAX_PIECE_PAUSE_S: Final = 0.2
# As long as a gateway needs to end once it waits for no connection.
MAX_REOPEN_PAUSE_S: Final = 0.2
MAX_UNREAD_S: Final = 2.0
UNREAD_POLL_INTERVAL_S: Final = 0.02
BODY: Final = b"b" * 60

Behaviour = Callable[["StopCallers", GatewayProcess], Awaitable[None]]
BEHAVIOURS: Final[dict[str, Behaviour]] = {}


def register_behaviour(behaviour: Behaviour) -> Behaviour:
    """Register how a caller uses one connection."""
    BEHAVIOURS[behaviour.__name__] = behaviour
    return behaviour


class StopCallers:
    """Represent all callers; they send calls until `stopping` is set."""

    def __init__(
        self, stops: StopObservations, answers: Observations, random: Random
    ) -> None:
        self.random = random
        self.stopping = False
        self._stops = stops
        self._answers = answers
        self._number = 0

    async def use(self, gateway: GatewayProcess, group: "CallerGroup") -> None:
        """Use one connection after another, each in one of the ways of a group."""
        while not self.stopping:
            behave = self.random.choice(group.behaviours)
            try:
                await behave(self, gateway)
            except (OSError, asyncio.IncompleteReadError):
                self._answers.findings.calls["closed"] += 1
            await self.pause()

    async def pause(self, most_s: float = MAX_PAUSE_S) -> None:
        """Wait for a moment."""
        await asyncio.sleep(self.random.random() * most_s)

    async def open(self, gateway: GatewayProcess) -> RawCaller:
        """Open a connection to the port of a gateway itself."""
        caller = ObservingCaller(gateway.caller_proxy.server_port)
        await caller.open()
        return caller

    async def send(
        self, caller: RawCaller, gateway: GatewayProcess, *, pieces: int = 1
    ) -> StopCall:
        """Send a call, its body in pieces."""
        assert caller.writer is not None
        call = self._make_call(gateway)
        data = _render(call)
        size = len(data) // pieces + 1
        try:
            for start in range(0, len(data), size):
                if start:
                    await self.pause(MAX_PIECE_PAUSE_S)
                caller.writer.write(data[start : start + size])
                await caller.writer.drain()
        except OSError:
            call.cut_s = time.monotonic()
            raise
        call.sent_s = time.monotonic()
        return call

    async def receive(self, caller: RawCaller, call: StopCall) -> CallerAnswer:
        """Receive the answer of a call, or record when its connection ended."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await caller.receive()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            call.cut_s = time.monotonic()
            if isinstance(caller, ObservingCaller) and is_unanswered(error):
                call.end = caller.end
            if isinstance(error, TimeoutError):
                call.limit_s = float("inf")
                raise ConnectionError("no answer") from error
            raise
        if not answer.complete:
            call.cut_s = time.monotonic()
            raise ConnectionError("incomplete answer")
        call.answered_s = time.monotonic()
        call.status, call.reason = answer.status, _read_reason(answer)
        self._answers.sent[call.name].answer = answer
        check_answer(self._answers, call.name, call.kind, answer)
        return answer

    def _make_call(self, gateway: GatewayProcess) -> StopCall:
        self._number += 1
        call = StopCall(
            name=f"s{self._number:x}",
            kind=self.random.choice(KINDS),
            gateway=gateway.name,
            limit_s=self.random.choice(LIMITS_S),
            began_s=time.monotonic(),
        )
        self._stops.calls.append(call)
        self._answers.sent[call.name] = SentCall(call.kind, call.began_s)
        return call


@register_behaviour
async def call_once(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Send one call over a new connection."""
    caller = await callers.open(gateway)
    try:
        await callers.receive(caller, await callers.send(caller, gateway))
    finally:
        caller.close()


@register_behaviour
async def keep_calling(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Send calls over a connection until the gateway closes it."""
    caller = await callers.open(gateway)
    try:
        while not callers.stopping:
            call = await callers.send(caller, gateway)
            answer = await callers.receive(caller, call)
            if answer.headers.get("connection", "").lower() == "close":
                return
            await callers.pause()
    finally:
        caller.close()


@register_behaviour
async def call_rarely(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Send a few calls over a connection that is mostly idle."""
    caller = await callers.open(gateway)
    try:
        while not (callers.stopping or _has_ended(caller)):
            await callers.receive(caller, await callers.send(caller, gateway))
            await _wait_unread(caller, callers.random.random() * RARE_PAUSE_S)
    finally:
        caller.close()


@register_behaviour
async def call_after_close(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Keep a connection idle until the gateway closes it, then use a new one.

    In a stop the new one may arrive in the moment in which no other is left.
    """
    caller = await callers.open(gateway)
    try:
        await callers.receive(caller, await callers.send(caller, gateway))
        while not (callers.stopping or _has_ended(caller)):
            await _wait_unread(caller, RARE_PAUSE_S)
    finally:
        caller.close()
    await callers.pause(MAX_REOPEN_PAUSE_S)
    await call_once(callers, gateway)


@register_behaviour
async def send_in_pieces(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Send one call in pieces, on a connection that waits for its first byte."""
    caller = await callers.open(gateway)
    try:
        await callers.pause(MAX_PIECE_PAUSE_S)
        call = await callers.send(caller, gateway, pieces=callers.random.randint(2, 6))
        await callers.receive(caller, call)
    finally:
        caller.close()


@register_behaviour
async def pipeline(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Send several calls before the first answer."""
    caller = await callers.open(gateway)
    calls: list[StopCall] = []
    try:
        for _ in range(callers.random.randint(2, 4)):
            calls.append(await callers.send(caller, gateway))
        for call in calls:
            await callers.receive(caller, call)
    finally:
        _record_dropped(calls)
        caller.close()


@register_behaviour
async def read_slowly(callers: StopCallers, gateway: GatewayProcess) -> None:
    """Send one call, and read its answer some time after it has arrived."""
    caller = await callers.open(gateway)
    try:
        call = await callers.send(caller, gateway)
        await _wait_unread(caller, callers.random.random() * MAX_UNREAD_S)
        await callers.receive(caller, call)
    finally:
        caller.close()


async def _wait_unread(caller: RawCaller, duration_s: float) -> None:
    """Read nothing for a while, unless the connection ends without an answer."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s and not _has_ended(caller):
        await asyncio.sleep(UNREAD_POLL_INTERVAL_S)


def _has_ended(caller: RawCaller) -> bool:
    """Return whether a connection has ended and nothing is left to read."""
    assert caller.reader is not None
    return caller.reader.at_eof() or caller.reader.exception() is not None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerGroup:
    """Describe the callers of one gateway."""

    count: int
    behaviours: Sequence[Behaviour]


# With each group a gateway has other moments without a connection.
SPARSE_CALLERS: Final = CallerGroup(count=2, behaviours=(call_once,))
RARE_CALLERS: Final = CallerGroup(
    count=3, behaviours=(call_rarely, call_after_close, send_in_pieces)
)
MIXED_CALLERS: Final = CallerGroup(count=4, behaviours=tuple(BEHAVIOURS.values()))


def _record_dropped(calls: list[StopCall]) -> None:
    """Record that calls behind the one whose connection ended were cut, too."""
    cut_s = next((call.cut_s for call in calls if call.cut_s is not None), None)
    for call in calls:
        if cut_s is not None and call.answered_s is None:
            call.cut_s = cut_s


def _render(call: StopCall) -> bytes:
    lines = [f"POST /{call.kind}/x HTTP/1.1", "Host: calls.example"]
    lines += [f"Request-Id: {call.name}", f"Deadline-Ms: {int(call.limit_s * 1000)}"]
    lines += [f"Content-Length: {len(BODY)}", "", ""]
    return "\r\n".join(lines).encode() + BODY


def _read_reason(answer: CallerAnswer) -> str:
    return answer.body.decode(errors="replace").strip() if answer.status >= 500 else ""
