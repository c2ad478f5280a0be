"""Run real processes under a seeded sequence of overlapping faults and check them.

Run as `python -m tests.fault_campaign --seed 1 --seconds 60`.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Final

import click

from bramleyport.cli._runtime import install_reactor

install_reactor()  # before treq imports the default reactor

from bramleyport.core import REFUSAL_STATUSES  # noqa: E402
from tests.child_processes import end_with_parent  # noqa: E402
from tests.http_client import Answer  # noqa: E402
from tests.process_fleet import ProcessFleet  # noqa: E402
from tests.relay import Relay  # noqa: E402

ENTRIES: Final = ("entry-0", "entry-1")
AGENTS: Final = ("agent-0", "agent-1", "agent-2", "agent-plain")
CLIENT_COUNT: Final = 4
TOKEN_COUNT: Final = 20
MAX_REPEATS: Final = 30
# Only a hang reaches these limits.
ANSWER_LIMIT_S: Final = 60.0
RECOVERY_LIMIT_S: Final = 90.0

Fault = Callable[["FaultedFleet", Random], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault under a name."""

    def add(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return add


class FaultedFleet(ProcessFleet):
    """Represent a fleet whose agents are behind relays and whose processes restart."""

    def __init__(self, directory: Path, engines: int = 3) -> None:
        super().__init__(directory, engines, orders_named_roles=False)
        self.relays: dict[str, Relay] = {}

    async def start(self) -> None:
        await super().start()
        for host in self._hosts:
            if host["role"] != "agent":
                continue
            relay = self.relays[host["process"]] = Relay(host["port"])
            host["port"] = int((await relay.start()).rsplit(":", 1)[1])
        self.write_host_list()
        await self._wait_until_serving()

    async def stop(self) -> None:
        await super().stop()
        for relay in self.relays.values():
            if relay.listener is not None:
                relay.listener.close()

    def write_host_list(self) -> None:
        self.store.store.put("hosts", "current", {"spec": {"hosts": self._hosts}})

    def restart(self, name: str) -> None:
        """Start a process that has exited again, with its former settings."""
        role = "entry" if name in ENTRIES else "agent"
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bramleyport",
                    role,
                    str(self.directory / f"{name}.yaml"),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
                preexec_fn=end_with_parent,
            )

    async def wait_for_exit(self, name: str) -> int:
        while (code := self.processes[name].poll()) is None:
            await asyncio.sleep(0.05)
        return code


@register_fault("kill")
async def kill_process(fleet: FaultedFleet, rng: Random) -> None:
    """Kill a process and start it again."""
    name = rng.choice([*ENTRIES, *AGENTS])
    fleet.send_signal(name, signal.SIGKILL)
    await fleet.wait_for_exit(name)
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    fleet.restart(name)


@register_fault("pause")
async def pause_process(fleet: FaultedFleet, rng: Random) -> None:
    """Suspend a process for a shorter or longer time than its peers wait for it."""
    name = rng.choice([*ENTRIES, *AGENTS])
    fleet.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(rng.choice([0.5, 4.0, 9.0]))
    fleet.send_signal(name, signal.SIGCONT)


@register_fault("stop")
async def stop_process(fleet: FaultedFleet, rng: Random) -> None:
    """Stop a process gracefully and start it again."""
    name = rng.choice([*ENTRIES, *AGENTS])
    fleet.send_signal(name, signal.SIGTERM)
    await fleet.wait_for_exit(name)
    fleet.restart(name)


@register_fault("store_down")
async def stop_store(fleet: FaultedFleet, rng: Random) -> None:
    """Make the object API refuse all calls for a while."""
    fleet.store.faults.outage = True
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    fleet.store.faults.outage = False


@register_fault("store_slow")
async def delay_store(fleet: FaultedFleet, rng: Random) -> None:
    """Make the object API answer late for a while."""
    fleet.store.faults.delay_s = rng.choice([0.3, 1.5])
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    fleet.store.faults.delay_s = 0.0


@register_fault("answers_lost")
async def lose_answers(fleet: FaultedFleet, rng: Random) -> None:
    """Make the object API lose answers to writes that took effect."""
    fleet.store.faults.lose_answers += rng.randint(1, 5)


@register_fault("silence")
async def silence_connections(fleet: FaultedFleet, rng: Random) -> None:
    """Drop all bytes of the open connections to an agent; new connections work."""
    relay = fleet.relays[rng.choice(AGENTS)]
    relay.frozen.update(range(relay.accepted))


@register_fault("hosts_wrong")
async def empty_host_list(fleet: FaultedFleet, rng: Random) -> None:
    """Make the platform's host list empty for a while."""
    fleet.store.store.put("hosts", "current", {"spec": {"hosts": []}})
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.write_host_list()


@dataclass
class Order:
    """Track the answers to one order."""

    key: str
    answers: list[Answer] = field(default_factory=list)
    lost_connections: int = 0

    @property
    def executions(self) -> list[str]:
        return [a.json().get("execution", "") for a in self.answers if a.status >= 400]


@dataclass
class Campaign:
    """Represent one run of callers and faults, and what it has observed."""

    fleet: FaultedFleet
    rng: Random
    stopped: bool = False
    orders: list[Order] = field(default_factory=list)
    complete_answers: int = 0
    failures: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Inject faults, then wait until each entry accepts an order again."""
        callers = [
            asyncio.ensure_future(self._post_orders(client))
            for client in range(CLIENT_COUNT)
        ]
        callers += [
            asyncio.ensure_future(self._request_completions())
            for _ in range(CLIENT_COUNT)
        ]
        await self._inject(seconds)
        for name in ENTRIES:
            await self._wait_until_working(name)
        self.stopped = True
        await asyncio.gather(*callers)

    async def _inject(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running: dict[str, asyncio.Future[None]] = {}
        while loop.time() < end_s:
            name = self.rng.choice(sorted(FAULTS))
            # Faults that stop or suspend a process don't overlap with each other,
            # because they could choose the same process. Other faults do overlap.
            group = "process" if name in ("kill", "pause", "stop") else name
            current = running.get(group)
            if current is None or current.done():
                self.faults[name] += 1
                run = FAULTS[name](self.fleet, self.rng)
                running[group] = asyncio.ensure_future(run)
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        await asyncio.gather(*running.values())

    async def _wait_until_working(self, entry: str) -> None:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            for number in range(MAX_REPEATS * 100):
                order = Order(f"after-{entry}-{number}")
                self.orders.append(order)
                if await self._send(order, entry) == 201:
                    return
                await asyncio.sleep(0.2)

    async def _post_orders(self, client: int) -> None:
        rng = Random(self.rng.random())
        number = 0
        while not self.stopped:
            order = Order(f"order-{client}-{number}")
            number += 1
            self.orders.append(order)
            for repeat in range(MAX_REPEATS):
                status = await self._send(order, ENTRIES[(client + repeat) % 2])
                # Some callers give up; others repeat an order that was answered.
                if rng.random() < 0.3 and status is not None:
                    break
                await asyncio.sleep(0.1)
                if status == 201 and rng.random() < 0.5:
                    break

    async def _send(self, order: Order, entry: str) -> int | None:
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer = await self.fleet.post_order(entry, order.key)
        except TimeoutError:
            self.failures.append(f"{order.key}: no answer within the time limit")
            return None
        except Exception:  # the connection failed: the order may have run
            order.lost_connections += 1
            return None
        order.answers.append(answer)
        return answer.status

    async def _request_completions(self) -> None:
        number = 0
        while not self.stopped:
            number += 1
            answer = None
            with suppress(Exception):
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    answer = await self.fleet.complete(ENTRIES[number % 2], TOKEN_COUNT)
            if answer is None or answer.status != 200:
                await asyncio.sleep(0.1)
                continue
            text = answer.json()["choices"][0]["text"]
            if len(text.split()) == TOKEN_COUNT:
                self.complete_answers += 1
            else:
                self.failures.append(
                    f"an answer with a wrong number of tokens: {len(text.split())}"
                )

    def check(self) -> list[str]:
        """Return the violations of the invariants."""
        postings = self.fleet.plain.postings
        counts = Counter(postings)
        found = list(self.failures)
        for order in self.orders:
            found += check_order(order, counts[order.key], postings)
        return found


def check_order(order: Order, posted: int, postings: list[str]) -> list[str]:
    """Return the violations of the invariants for one order.

    I4: a caller gets the complete answer to its own request, or none.
    I5: the execution status that a caller receives is true.
    I6: an order runs at most once.
    """
    found = []
    if posted > 1:
        found.append(f"I6: {order.key} ran {posted} times")
    created = [a.json() for a in order.answers if a.status == 201]
    if created and posted != 1:
        found.append(f"I4: {order.key} was answered, but ran {posted} times")
    for value in created:
        number = value["posting"]
        if not 0 < number <= len(postings) or postings[number - 1] != order.key:
            found.append(f"I4: {order.key} got the answer of another order")
    reported = order.executions
    if (
        posted
        and not order.lost_connections
        and not created
        and set(reported) == {"not_run"}
    ):
        found.append(f"I5: {order.key} was reported as not run, but ran")
    for refused in order.answers:
        execution = refused.json().get("execution", "")
        if refused.status in REFUSAL_STATUSES and execution != "not_run":
            found.append(f"I5: {order.key} got {refused.status} as {execution!r}")
    if "completed" in reported and posted != 1:
        found.append(f"I5: {order.key} was reported as completed, but did not run")
    # Later answers repeat the first one.
    statuses = [a.status for a in order.answers]
    if 201 in statuses:
        after = order.answers[statuses.index(201) + 1 :]
        if any(a.status == 201 and a.json() != created[0] for a in after):
            found.append(f"I4: {order.key} got two different answers")
    return found


async def run_campaign(seed: int, seconds: float, directory: Path) -> Campaign:
    """Run the campaign of one seed and return it."""
    fleet = FaultedFleet(directory)
    try:
        await fleet.start()
        campaign = Campaign(fleet, Random(seed))
        await campaign.run(seconds)
        return campaign
    finally:
        await fleet.stop()


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option("--seconds", default=60.0, help="Duration of the faults.")
def main(seeds: tuple[int, ...], seconds: float) -> None:
    """Run campaigns and print the violations of the invariants."""
    loop = asyncio.get_event_loop()
    failed = False
    for seed in seeds:
        with tempfile.TemporaryDirectory() as directory:
            campaign = loop.run_until_complete(
                run_campaign(seed, seconds, Path(directory))
            )
        found = campaign.check()
        failed |= bool(found)
        print(describe(seed, campaign))
        for line in found:
            print(f"  {line}")
    sys.exit(failed)


def describe(seed: int, campaign: Campaign) -> str:
    """Return a one-line summary of a campaign."""
    reported = Counter(e for order in campaign.orders for e in order.executions)
    values: dict[str, Any] = {
        "seed": seed,
        "faults": sum(campaign.faults.values()),
        "orders": len(campaign.orders),
        "posted": len(campaign.fleet.plain.postings),
        "lost connections": sum(order.lost_connections for order in campaign.orders),
        "reported": dict(reported),
        "complete answers": campaign.complete_answers,
    }
    return ", ".join(f"{name} {value}" for name, value in values.items())


if __name__ == "__main__":
    main()
