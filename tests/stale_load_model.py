"""Model of gateways that choose engines from stale information, in virtual time.

`python -m tests.stale_load_model USE` prints the table of docs/design/even-load.md.
"""

import math
import sys
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from itertools import product
from random import Random
from zlib import crc32

from bramleyport.core import ProcessId, RequestId
from bramleyport.fleet import EvenLoad, Membership, Registration, UnseenLoad, Work
from bramleyport.fleet._choice import (
    ENGINE_TIME_WEIGHT,
    MAX_HASH_BIAS_S,
    TRANSFER_WEIGHT,
)
from bramleyport.fleet._even_load import compute_amount
from bramleyport.fleet._pacing import LONG_PREFILL_S
from bramleyport.fleet._prefill import TRANSFER_SETUP_S
from bramleyport.fleet._prefill_speeds import compute_prefill_cost
from bramleyport.fleet._unseen_load import TRANSIT_S
from tests.fleet_builders import make_engine

ENGINES = 13
SPEEDS = (1.0, 1.0, 1.3)
TOKENS_PER_S = 51_100.0
OVERHEAD_S = 0.005
TRANSFER_S_PER_TOKEN = 8.2e-7
CACHED_PREFIXES = 25
PREFIX_TOKENS = (500, 2_000, 6_000, 13_000)
PREFIXES = [f"p{number}" for number in range(60)]
POPULARITY = [1 / (number + 1) ** 0.8 for number in range(60)]
SHARED_FRACTION = 0.6
OWN_TOKENS = (150, 20_000)
MEAN_PREFILL_S = 0.1
WARM_UP_FRACTION = 0.05


@dataclass(frozen=True, kw_only=True)
class Scenario:
    age_s: float
    # Age of the information on long prompts, which gateways send at once.
    long_age_s: float | None = None
    gateways: int = 30
    use: float = 0.7
    even: bool = True
    calls: int = 8_000
    seed: int = 1

    def find_age(self, prefill_s: float) -> float:
        is_long = self.long_age_s is not None and prefill_s > LONG_PREFILL_S
        return self.long_age_s if is_long and self.long_age_s else self.age_s


@dataclass(frozen=True)
class Result:
    p99_wait_s: float
    regret_s: float
    cached: float


@dataclass(frozen=True)
class Sent:
    sent_s: float
    known_s: float
    gateway: int
    prefill_s: float


@dataclass
class Engine:
    registration: Registration
    speed: float
    free_s: float = 0.0
    # What is known of it everywhere, and sent work that is known to its sender only.
    known_free_s: float = 0.0
    recent: deque["Sent"] = field(default_factory=deque)
    # When each gateway first sent each cached prefix.
    prefixes: OrderedDict[str, dict[int, float]] = field(default_factory=OrderedDict)

    def forecast_wait(self, gateway: int, now_s: float) -> float:
        while self.recent and self.recent[0].known_s <= now_s:
            sent = self.recent.popleft()
            self.known_free_s = max(self.known_free_s, sent.sent_s) + sent.prefill_s
        free_s = self.known_free_s
        for sent in self.recent:
            if sent.gateway == gateway or sent.known_s <= now_s:
                free_s = max(free_s, sent.sent_s) + sent.prefill_s
        return max(0.0, free_s - now_s)

    def is_known(self, prefix: str, gateway: int, known_until_s: float) -> bool:
        senders = self.prefixes.get(prefix, {})
        return gateway in senders or min(senders.values(), default=math.inf) <= (
            known_until_s
        )

    def send(self, prefix: str, sent: "Sent") -> None:
        gateway, now_s = sent.gateway, sent.sent_s
        self.free_s = max(self.free_s, now_s) + sent.prefill_s
        self.recent.append(sent)
        if prefix:
            self.prefixes.setdefault(prefix, {}).setdefault(gateway, now_s)
            self.prefixes.move_to_end(prefix)
            while len(self.prefixes) > CACHED_PREFIXES:
                self.prefixes.popitem(last=False)


@dataclass(frozen=True)
class Option:
    engine: Engine
    cost_s: float
    uncached: int
    wait_s: float
    prefill_s: float
    fetch_s: float

    @property
    def time_s(self) -> float:
        return self.prefill_s + self.fetch_s


class StaleLoadModel:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self._traffic = Random(scenario.seed)
        self._senders = Random(scenario.seed + 1)
        self._engines = [
            Engine(make_engine(f"e{number}"), SPEEDS[number % len(SPEEDS)])
            for number in range(ENGINES)
        ]
        members = Membership()
        for engine in self._engines:
            members.put(engine.registration)
        names = [ProcessId(f"g{number:03}") for number in range(scenario.gateways)]
        self._names = names
        self._unseen = [UnseenLoad(name) for name in names]
        random = Random(scenario.seed + 2)
        self._choosers = [
            EvenLoad(name, members, unseen, random, lambda: len(names))
            for name, unseen in zip(names, self._unseen, strict=True)
        ]
        self._unreported: deque[Work] = deque()
        self._set_delays()

    def run(self) -> Result:
        rate = self.scenario.use * sum(SPEEDS) / len(SPEEDS) * ENGINES / MEAN_PREFILL_S
        waits: list[float] = []
        now_s = regret_s = 0.0
        uncached = total = 0
        for number in range(self.scenario.calls):
            now_s += self._traffic.expovariate(rate)
            gateway = self._senders.randrange(self.scenario.gateways)
            prefix, tokens = self._draw_prefix()
            low, high = map(math.log, OWN_TOKENS)
            own = int(math.exp(self._traffic.uniform(low, high)))
            options = self._list_options(gateway, prefix, tokens, own, now_s)
            chosen = self._choose(options, gateway, prefix, own + tokens, now_s)
            least_s = min(
                max(0.0, item.engine.free_s - now_s) + item.time_s for item in options
            )
            wait_s = max(0.0, chosen.engine.free_s - now_s)
            regret_s += wait_s + chosen.time_s - least_s
            waits.append(wait_s)
            self._send(chosen, gateway, prefix, number, now_s)
            uncached += chosen.uncached
            total += own + tokens
        ordered = sorted(waits[int(WARM_UP_FRACTION * len(waits)) :])
        p99_wait_s = ordered[int(0.99 * len(ordered))]
        return Result(p99_wait_s, regret_s / len(waits), 1 - uncached / total)

    def _draw_prefix(self) -> tuple[str, int]:
        if self._traffic.random() >= SHARED_FRACTION:
            return "", 0
        number = self._traffic.choices(range(len(PREFIXES)), POPULARITY)[0]
        return PREFIXES[number], PREFIX_TOKENS[number % len(PREFIX_TOKENS)]

    def _list_options(
        self, gateway: int, prefix: str, tokens: int, own: int, now_s: float
    ) -> list[Option]:
        age_s = self.scenario.age_s
        has = [item.is_known(prefix, gateway, now_s - age_s) for item in self._engines]
        options = []
        for engine, cached in zip(self._engines, has, strict=True):
            fetched = any(has) and not cached
            fetch_s = TRANSFER_SETUP_S + tokens * TRANSFER_S_PER_TOKEN if fetched else 0
            uncached = own if any(has) else own + tokens
            cost = compute_prefill_cost(uncached, own + tokens)
            prefill_s = OVERHEAD_S + cost / TOKENS_PER_S / engine.speed
            key = f"{prefix}/{engine.registration.upstream}".encode()
            wait_s = engine.forecast_wait(gateway, now_s)
            cost_s = (
                wait_s
                + (1 + ENGINE_TIME_WEIGHT) * prefill_s
                + (1 + TRANSFER_WEIGHT) * fetch_s
                + (MAX_HASH_BIAS_S * crc32(key) / 2**32 if prefix else 0.0)
            )
            options.append(Option(engine, cost_s, uncached, wait_s, prefill_s, fetch_s))
        return options

    def _choose(
        self,
        options: list[Option],
        gateway: int,
        prefix: str,
        total: int,
        now_s: float,
    ) -> Option:
        best = min(options, key=lambda option: option.cost_s)
        chooser = self._choosers[gateway]
        unseen = chooser.estimate(best.engine.registration, now_s)
        if not self.scenario.even or not self.scenario.age_s or unseen is None:
            return best
        is_first_use = bool(prefix) and best.uncached == total
        similar = [option for option in options if option.fetch_s <= best.fetch_s]
        pick = chooser.choose(
            [option.engine.registration for option in similar],
            [option.cost_s for option in similar],
            compute_amount(unseen.limit_prefill(best.wait_s), unseen.mean_prefill_s),
            now_s,
            shared_key=prefix if is_first_use else None,
        )
        return similar[pick.index]

    def _send(
        self, chosen: Option, gateway: int, prefix: str, number: int, now_s: float
    ) -> None:
        engine = chosen.engine
        known_s = now_s + self.scenario.find_age(chosen.prefill_s)
        engine.send(prefix, Sent(now_s, known_s, gateway, chosen.prefill_s))
        work = Work(
            request=RequestId(f"r{number}"),
            upstream=engine.registration.upstream,
            priority=0,
            prefill_s=chosen.prefill_s,
            started_s=now_s,
            origin=self._names[gateway],
        )
        self._unreported.append(work)
        while self._unreported[0].started_s <= now_s - self.scenario.age_s:
            self._report(self._unreported.popleft())
            if not self._unreported:
                break

    def _report(self, work: Work) -> None:
        heard = replace(work, started_s=work.started_s + self.scenario.age_s)
        own = replace(heard, origin="")
        for name, unseen in zip(self._names, self._unseen, strict=True):
            told = own if work.origin == name else heard
            unseen.record_work(told, self._engines[0].registration)

    def _set_delays(self) -> None:
        """Let each gateway measure how late the others hear of its work."""
        for unseen in self._unseen:
            for prefill_s in [0.0, 1.0] * 200:
                age_s = self.scenario.find_age(prefill_s)
                unseen.record_delay(prefill_s, max(0.0, age_s - TRANSIT_S))


def print_table(use: float) -> None:
    full = StaleLoadModel(Scenario(age_s=0.0, use=use)).run()
    print(f"use {use}, full knowledge: {full}")
    for age_s in (0.025, 0.1, 0.4):
        for gateways, even, long_age_s in product(
            (3, 30, 300), (False, True), (None, TRANSIT_S)
        ):
            scenario = Scenario(
                age_s=age_s,
                long_age_s=long_age_s,
                gateways=gateways,
                use=use,
                even=even,
            )
            found = StaleLoadModel(scenario).run()
            print(
                f"| {1000 * age_s:.0f} | {long_age_s} | {gateways} | {even} "
                f"| {1000 * found.p99_wait_s:.0f} "
                f"| {found.p99_wait_s / full.p99_wait_s:.2f} "
                f"| {1000 * found.regret_s:.1f} | {found.cached:.4f} |",
                flush=True,
            )


if __name__ == "__main__":
    print_table(float(sys.argv[1]))
