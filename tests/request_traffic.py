"""Send a request that crashes upstreams again and again, beside sound requests."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from tests.crash_bound import list_crashes
from tests.gateway_group import GatewayGroup
from tests.platform_standin import CallerAnswer, CrashingEngine, EngineCrash

# After the stable window that begins with this crash, so many repeats may still reach
# upstreams, from all gateways together.
BOUNDED_CRASH = 3
MAX_LATE_REPEATS = 3
PLAIN_UPSTREAMS = tuple(f"p{number}" for number in range(6))
ENGINES = tuple(f"d{number}" for number in range(6))
STABLE_MS = 1500
DOWN_S = 0.5
SEND_INTERVAL_S = 0.1
DEADLY = "deadly"
# All prompts are the same: requests differ in their bodies alone.
PROMPT = {"Model": "m", "Token_Counts": "1200,10", "Prompt_Prefix": "aa:400,b0:400,c:9"}


@dataclass(slots=True)
class SentRequest:
    """Describe a request that was sent to a gateway, and its answer."""

    request: str
    body: str
    sent_s: float = field(default_factory=time.monotonic)
    answer: CallerAnswer | None = None

    @property
    def is_served(self) -> bool:
        answer = self.answer
        return answer is not None and answer.status == 200 and answer.complete


class RequestTraffic:
    """Represent callers that repeat some requests, and upstreams that crash on them."""

    def __init__(
        self, folder: Path, gateways: int, *, stable_ms: int = STABLE_MS
    ) -> None:
        self.group = GatewayGroup(
            folder,
            gateways,
            [*PLAIN_UPSTREAMS, *ENGINES],
            upstream_type=CrashingEngine,
            bounds={"stable_window_ms": stable_ms},
        )
        self._stable_s = stable_ms / 1000
        self.sent: list[SentRequest] = []
        self._numbers = itertools.count(1)
        for upstream in self.upstreams:
            upstream.down_s = DOWN_S

    @property
    def upstreams(self) -> list[CrashingEngine]:
        return [
            item for item in self.group.upstreams if isinstance(item, CrashingEngine)
        ]

    @property
    def crashes(self) -> list[EngineCrash]:
        """Return all crashes in the order of their times."""
        return list_crashes(self.upstreams)

    def set_deadly(self, *bodies: str) -> None:
        for upstream in self.upstreams:
            upstream.deadly_bodies = set(bodies)

    async def send(self, gateway: str, path: str, body: str) -> SentRequest:
        """Send a request to a gateway and wait for its answer."""
        sent = SentRequest(f"r{next(self._numbers)}", body)
        self.sent.append(sent)
        prompt = PROMPT if path.startswith(("/once", "/stream")) else {}
        sent.answer = await self.group.call_gateway(
            gateway, path, body=body.encode(), Request_Id=sent.request, **prompt
        )
        return sent

    async def send_sound(self, gateway: str, path: str) -> SentRequest:
        """Send a request whose body no other has."""
        return await self.send(gateway, path, f"sound {next(self._numbers)}")

    async def send_to_all(
        self,
        path: str,
        seconds: float,
        *bodies: str,
        interval_s: float = SEND_INTERVAL_S,
    ) -> None:
        """Send requests with the bodies, and sound ones, to each gateway in turn."""
        tasks: list[asyncio.Future[SentRequest]] = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for gateway in list(self.group.gateways):
                sends: list[Awaitable[SentRequest]] = [self.send_sound(gateway, path)]
                sends += [self.send(gateway, path, body) for body in bodies]
                tasks += [asyncio.ensure_future(send) for send in sends]
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    async def wait_recovered(self) -> None:
        """Wait until all upstreams are up and all gateways know their registrations."""
        names = {upstream.name for upstream in self.upstreams}
        await self.group.wait_for(
            lambda: not any(upstream.is_down for upstream in self.upstreams)
        )
        names = {upstream.name for upstream in self.upstreams}
        await self.group.wait_for(
            lambda: all(
                {str(item.upstream) for item in gateway.state.members.list_all()}
                == names
                for gateway in self.group.gateways.values()
            )
        )

    def find_bounded_s(self, body: str) -> float | None:
        """Return when the bound begins for a body, or None if it has not begun."""
        times_s = [crash.time_s for crash in self.crashes if crash.cause == body]
        if len(times_s) < BOUNDED_CRASH:
            return None
        return times_s[BOUNDED_CRASH - 1] + self._stable_s

    def list_late_repeats(self, body: str) -> list[str]:
        """Return the requests under the bound that reached upstreams, each time."""
        bounded_s = self.find_bounded_s(body)
        if bounded_s is None:
            return []
        sent_s = {item.request: item.sent_s for item in self.sent}
        requests = [
            arrival.request.headers["request-id"]
            for upstream in self.upstreams
            for arrival in upstream.arrivals
            if arrival.request.body.decode() == body
        ]
        return [request for request in requests if sent_s[request] > bounded_s]

    def count_sent(self, body: str, *, since_s: float = 0.0) -> int:
        return sum(item.body == body and item.sent_s > since_s for item in self.sent)

    def list_sound(self, since_s: float = 0.0) -> list[SentRequest]:
        return [
            item
            for item in self.sent
            if item.body.startswith("sound") and item.sent_s > since_s
        ]

    def describe(self, *bodies: str) -> str:
        """Describe what was sent and what crashed, for the output of a failed test."""
        lines = [
            f"{body}: {sum(crash.cause == body for crash in self.crashes)} crashes, "
            f"{self.count_sent(body)} sent, "
            f"{len(self.list_late_repeats(body))} late at upstreams; "
            f"{count_answers([item for item in self.sent if item.body == body])}"
            for body in bodies
        ]
        return "\n".join([*lines, f"sound: {count_answers(self.list_sound())}"])


def count_answers(requests: Sequence[SentRequest]) -> dict[str, int]:
    """Count requests by the status of their answer."""
    counts: Counter[str] = Counter()
    for item in requests:
        counts["closed" if item.answer is None else str(item.answer.status)] += 1
    return dict(counts)


async def send_until(
    condition: Callable[[], bool],
    send: Callable[[], Awaitable[object]],
    interval_s: float = SEND_INTERVAL_S,
) -> None:
    """Send again and again, without waiting for answers, until a condition holds."""
    tasks: list[asyncio.Future[object]] = []
    while not condition():
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)
