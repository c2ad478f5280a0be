"""Send deadly and sound prompts to a group of gateways, and count what engines get."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from tests.crash_bound import find_bounded_s, list_crashes, list_late_arrivals
from tests.gateway_group import GatewayGroup
from tests.platform_standin import CallerAnswer, CrashingEngine, EngineCrash

SEND_INTERVAL_S = 0.05
# Sound requests and deadly ones contain one of these behind their first part.
SHARED_PARTS = ("b0", "b1", "b2", "b3")


@dataclass(slots=True)
class SentPrompt:
    """Describe a prompt that was sent to a gateway, and its answer."""

    request: str
    gateway: str
    deadly_part: str | None
    sent_s: float = field(default_factory=time.monotonic)
    answer: CallerAnswer | None = None

    @property
    def is_served(self) -> bool:
        answer = self.answer
        return answer is not None and answer.status == 200 and answer.complete


class PromptTraffic:
    """Represent callers whose prompts share parts, and engines that crash on some."""

    def __init__(
        self, folder: Path, gateways: int, engines: Sequence[str], stable_ms: int
    ) -> None:
        self.group = GatewayGroup(
            folder,
            gateways,
            engines,
            upstream_type=CrashingEngine,
            bounds={"stable_window_ms": stable_ms},
        )
        self._stable_s = stable_ms / 1000
        self.sent: list[SentPrompt] = []
        self._numbers = itertools.count(1)
        self._part_tokens = 400
        self._lead: tuple[str, ...] = ()
        self._deadline_ms = 3000

    @property
    def engines(self) -> list[CrashingEngine]:
        return [
            item for item in self.group.upstreams if isinstance(item, CrashingEngine)
        ]

    @property
    def crashes(self) -> list[EngineCrash]:
        """Return all crashes in the order of their times."""
        return list_crashes(self.engines)

    def set_deadly_parts(self, *parts: str) -> None:
        for engine in self.engines:
            engine.deadly_parts = set(parts)

    def set_crash_points(self, *points: int) -> None:
        """Set after how many events engines crash on deadly prompts, by turns."""
        turns = itertools.cycle(points)
        for engine in self.engines:
            engine.crash_points = turns

    def set_pause(self, pause_s: float) -> None:
        """Set how long engines pause in their streams."""
        for engine in self.engines:
            engine.pause_s = pause_s

    def set_lead(self, parts: Sequence[str]) -> None:
        """Set the parts that all prompts have in front of the others."""
        self._lead = tuple(parts)

    def set_part_tokens(self, tokens: int) -> None:
        """Set the size of each part of the prompts."""
        self._part_tokens = tokens

    def set_deadline(self, deadline_ms: int) -> None:
        """Set the time that callers allow for each prompt."""
        self._deadline_ms = deadline_ms

    async def send_sound(
        self, path: str = "/once/x", *, first: str = "aa", gateway: str = ""
    ) -> SentPrompt:
        """Send a prompt on which no engine crashes, and wait for its answer."""
        number = next(self._numbers)
        shared = SHARED_PARTS[number % len(SHARED_PARTS)]
        return await self._send(path, (first, shared), None, number, gateway)

    async def send_deadly(
        self,
        part: str,
        path: str = "/once/x",
        *,
        first: str = "aa",
        shared: str = "",
        gateway: str = "",
    ) -> SentPrompt:
        """Send a prompt with a part on which engines crash, and wait for its answer."""
        number = next(self._numbers)
        shared = shared or SHARED_PARTS[number % len(SHARED_PARTS)]
        parts = (part, shared) if part == first else (first, shared, part)
        return await self._send(path, parts, part, number, gateway)

    async def _send(
        self,
        path: str,
        parts: Sequence[str],
        deadly_part: str | None,
        number: int,
        gateway: str,
    ) -> SentPrompt:
        tokens = self._part_tokens
        names = sorted(self.group.gateways)
        # Counted by the kind of prompt, so that each kind goes to all gateways in turn.
        turn = sum(
            (item.deadly_part is None) == (deadly_part is None) for item in self.sent
        )
        prompt = SentPrompt(
            f"r{number}", gateway or names[turn % len(names)], deadly_part
        )
        self.sent.append(prompt)
        parts = (*self._lead, *parts)
        prefix = ",".join(f"{name}:{tokens}" for name in (*parts, f"{number:x}"))
        prompt.answer = await self.group.call_gateway(
            prompt.gateway,
            path,
            Request_Id=prompt.request,
            Model="m",
            Token_Counts=f"{tokens * (len(parts) + 1)},10",
            Prompt_Prefix=prefix,
            Deadline_Ms=str(self._deadline_ms),
        )
        return prompt

    async def wait_up(self) -> None:
        """Wait until all engines are up."""
        await self.group.wait_for(
            lambda: not any(engine.is_down for engine in self.engines)
        )

    async def wait_recovered(self) -> None:
        """Wait until all engines are up and all gateways know their registrations."""
        await self.wait_up()
        names = {engine.name for engine in self.engines}
        await self.group.wait_for(
            lambda: all(
                {str(item.upstream) for item in gateway.state.members.list_all()}
                == names
                for gateway in self.group.gateways.values()
            )
        )

    def have_crashes_ended(self) -> bool:
        """Return whether engines have crashed, but not within two stable windows."""
        settled_s = time.monotonic() - 2 * self._stable_s
        return bool(self.crashes) and self.crashes[-1].time_s < settled_s

    def find_bounded_s(self, part: str) -> float | None:
        """Return when the bound begins for a part, or None if it has not begun."""
        return find_bounded_s(self.engines, part, self._stable_s)

    def count_sent(self, part: str, *, bounded: bool) -> int:
        """Return how many prompts with a part were sent, in all or under the bound."""
        bounded_s = self.find_bounded_s(part)
        return sum(
            prompt.deadly_part == part
            and (not bounded or (bounded_s is not None and prompt.sent_s > bounded_s))
            for prompt in self.sent
        )

    def list_late_arrivals(self, part: str) -> list[str]:
        """Return the requests under the bound that reached engines, each time."""
        sent_s = {prompt.request: prompt.sent_s for prompt in self.sent}
        bounded_s = self.find_bounded_s(part)
        return list_late_arrivals(self.engines, part, bounded_s, sent_s)

    def list_refused_runs(self) -> list[str]:
        """Return the requests that ran although their answer says that they did not."""
        runs = set(self.group.list_runs())
        return [
            prompt.request
            for prompt in self.sent
            if prompt.request in runs
            and prompt.answer is not None
            and prompt.answer.status == 503
        ]

    def describe(self, *parts: str) -> str:
        """Describe what was sent and what crashed, for the output of a failed test."""
        lines = []
        for part in parts:
            caused = sum(crash.cause == part for crash in self.crashes)
            lines.append(
                f"part {part}: {caused} crashes, "
                f"{self.count_sent(part, bounded=False)} requests sent, "
                f"{self.count_sent(part, bounded=True)} of them under the bound, "
                f"{len(self.list_late_arrivals(part))} of these arrived at engines"
            )
            lines.append(f"  answers: {count_answers(self.sent, part)}")
        lines.append(f"answers to sound requests: {count_answers(self.sent, None)}")
        return "\n".join(lines)


def count_answers(prompts: Iterable[SentPrompt], part: str | None) -> dict[str, int]:
    """Count the answers to prompts with a deadly part, or to sound ones."""
    counts: Counter[str] = Counter()
    for prompt in prompts:
        if prompt.deadly_part == part:
            answer = prompt.answer
            status = "closed" if answer is None else str(answer.status)
            cut = answer is not None and not answer.complete
            counts[f"{status} cut" if cut else status] += 1
    return dict(counts)


def count_served(prompts: Sequence[SentPrompt]) -> float:
    """Return the fraction of the prompts that were answered in full."""
    return sum(prompt.is_served for prompt in prompts) / len(prompts)


async def send_until(
    condition: Callable[[], bool], *senders: Callable[[], Awaitable[object]]
) -> None:
    """Call the senders again and again, beside each other, until a condition holds."""
    tasks: list[asyncio.Future[object]] = []
    while not condition():
        tasks += [asyncio.ensure_future(send()) for send in senders]
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*tasks)
