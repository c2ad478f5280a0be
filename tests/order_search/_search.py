"""Serve seeded calls by the objects of a gateway, and check what became of them."""

import asyncio
import functools
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any, Final
from unittest import mock

import yaml
from loguru import logger

from bramleyport.composition import build_gateway
from bramleyport.core import UpstreamId
from bramleyport.gateway._state_updaters import ConfigurationUpdater
from bramleyport.http1 import ExchangeError, HttpRequest
from bramleyport.platform import decode_registration
from tests.gateway_fleet import LANGUAGE, PLAIN, make_config, make_settings
from tests.order_search._agenda import Agenda
from tests.order_search._callers import Caller, CallRequest
from tests.order_search._network import Network
from tests.order_search._observations import CallId, CallRecord, Rule
from tests.order_search._plans import BORN_MS
from tests.order_search._profiles import PROFILES, Profile
from tests.order_search._upstreams import Upstream

SETTINGS_NAME: Final = "settings.yaml"
# Nothing of a call can happen any more after this time.
END_S: Final = 14.0
CALL_COUNTS: Final = (8, 16, 24)
RETRY_RATIO: Final = 10.0
# Times of calls are on a grid, so that much is due at the same time.
GRID_S: Final = 0.01
LIMITS_S: Final = (0.2, 0.4, 0.5, 1.0, 1.5)
# A long prompt is refused at once if less time is left.
LONG_LIMITS_S: Final = (2.0, 3.0, 4.0)
# How often the registration of some upstream changes.
POOL_CLOSES: Final = 2
# Callers wait for at most this fraction of the time left before they repeat a call.
MAX_WAIT_FRACTION: Final = 1 / 3
# How much longer they may wait than they are asked to.
REPEAT_DELAYS_S: Final = (0.0, 0.0, 0.01, 0.05)
MAX_TRIES: Final = 3
MIN_LIMIT_S: Final = 0.1

SHORT_PROMPT: Final = {"Model": "m", "Token-Counts": "40,1"}
LONG_PROMPT: Final = {"Model": "m", "Token-Counts": "20000,10"}


@dataclass(frozen=True, slots=True, kw_only=True)
class CallKind:
    """Describe one kind of call."""

    path: str
    weight: int
    runs_once: bool = True
    prompt: dict[str, str] = field(default_factory=dict)


CALL_KINDS: Final = (
    CallKind(path="/post/x", weight=50),
    CallKind(path="/once/x", weight=15, prompt=SHORT_PROMPT),
    CallKind(path="/once/long", weight=25, prompt=LONG_PROMPT),
    CallKind(path="/read/x", weight=5, runs_once=False),
    CallKind(path="/stream/x", weight=5, runs_once=False, prompt=SHORT_PROMPT),
)
# The stages of the upstreams of a fleet by their names; plain services have none.
FLEETS: Final[tuple[dict[str, str], ...]] = (
    {"p0": "", "d0": "decode", "r0": "prefill"},
    {"p0": "", "p1": "", "d0": "decode", "d1": "decode", "r0": "prefill"},
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """Describe a call for which a rule was broken."""

    rule: Rule
    call: CallRecord


@dataclass(slots=True)
class SeedResult:
    """Describe what became of the calls of one seed."""

    seed: int
    calls: list[CallRecord]
    violations: list[Violation]
    trace: list[str]
    # Errors that no task has handled.
    errors: list[str]

    def list_broken(self, rules: Iterable[Rule]) -> list[Violation]:
        """Return the violations of some rules."""
        chosen = set(rules)
        return [item for item in self.violations if item.rule in chosen]


@functools.cache
def _make_settings_folder() -> tempfile.TemporaryDirectory[str]:
    folder = tempfile.TemporaryDirectory()
    settings = make_settings(1)
    # So many retries are allowed that those of a call are bounded by nothing else.
    settings["bounds"] = settings["bounds"] | {"budget_ratio": RETRY_RATIO}
    (Path(folder.name) / SETTINGS_NAME).write_text(yaml.safe_dump(settings))
    return folder


class SeededRun:
    """Represent one gateway with the callers and upstreams of one seed."""

    def __init__(self, seed: int, profile: Profile | None) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.agenda = Agenda(self.random)
        self.profile = profile or PROFILES[seed % len(PROFILES)]
        self.network = Network(self.random, self.agenda, self.profile)
        self.calls: dict[tuple[CallId, int], CallRecord] = {}
        self.errors: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._gateway: Any = None
        self._stages: dict[str, str] = {}

    def run(self) -> SeedResult:
        """Serve all calls and let the network come to its end."""
        loop = self.agenda.loop
        loop.set_exception_handler(self._record_error)
        try:
            loop.run_until_complete(self._serve())
            left = asyncio.all_tasks(loop)
            for task in left:
                task.cancel()
            if left:
                loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        finally:
            loop.close()
        violations = [
            Violation(rule=rule, call=call)
            for call in self.calls.values()
            for rule in call.check()
        ]
        return SeedResult(
            seed=self.seed,
            calls=list(self.calls.values()),
            violations=violations,
            trace=self.network.trace,
            errors=self.errors,
        )

    def _build(self, configuration: dict[str, Any]) -> None:
        with mock.patch("twisted.internet.reactor", self.network.reactor, create=True):
            folder = Path(_make_settings_folder().name)
            self._gateway = build_gateway(folder / SETTINGS_NAME)
        updater = ConfigurationUpdater(self._gateway.state)
        updater.apply_document(configuration, "test")

    async def _serve(self) -> None:
        self._build(make_config())
        self._stages = self.random.choice(FLEETS)
        for number, (name, stage) in enumerate(self._stages.items()):
            self._add_upstream(name, stage, f"10.0.0.{number + 1}:80")
        for number in range(self.random.choice(CALL_COUNTS)):
            self._add_call(number)
        for _ in range(self.profile.own_requests):
            self.network.add(self._choose_time(), self._send_own_request)
        for _ in range(POOL_CLOSES):
            self.network.add(self._choose_time(), self._close_pool)
        if self.random.random() < self.profile.stop_fraction:
            self.network.add(self._choose_time(), self._stop)
        await asyncio.sleep(END_S)

    def _choose_time(self) -> float:
        return self.random.randint(0, round(self.profile.arrivals_s / GRID_S)) * GRID_S

    def _add_upstream(
        self, name: str, stage: str, address: str, version: str = "v1"
    ) -> Upstream:
        upstream = Upstream(name, address, stage, self.network, self.calls)
        self.network.listeners[address] = upstream
        document = {
            "service": LANGUAGE if stage else PLAIN,
            "addr": address,
            "zone": "a",
            "version": version,
            "slots": 64,
            "state": "ready",
            "stage": stage,
            "seq": 1,
            "born": BORN_MS,
        }
        self._gateway.state.members.put(decode_registration(name, document))
        return upstream

    def _add_call(self, number: int) -> None:
        (kind,) = self.random.choices(CALL_KINDS, [kind.weight for kind in CALL_KINDS])
        headers = dict(kind.prompt)
        if headers:
            tokens = headers["Token-Counts"].partition(",")[0]
            headers["Prompt-Prefix"] = f"c{number}:{tokens}"
        at_s = self._choose_time()
        limits_s = LONG_LIMITS_S if kind.prompt is LONG_PROMPT else LIMITS_S
        limit_s = self.random.choice(limits_s)
        record = CallRecord(
            CallId(f"call-{number}"), 0, kind.path, kind.runs_once, at_s + limit_s
        )
        self._send_call(
            CallRequest(record=record, at_s=at_s, limit_s=limit_s, headers=headers)
        )

    def _send_call(self, request: CallRequest) -> None:
        record = request.record
        self.calls[record.call, record.number] = record
        caller = Caller(
            self.network, self._gateway._callers, request, self._repeat_refused
        )
        caller.start()

    def _repeat_refused(self, request: CallRequest, wait_s: float) -> None:
        """Send a refused call again, with the same identifier as callers do."""
        refused = request.record
        left_s = refused.deadline_s - self.network.now_s
        delay_s = min(wait_s, MAX_WAIT_FRACTION * left_s)
        delay_s += self.random.choice(REPEAT_DELAYS_S)
        limit_s = left_s - delay_s
        if not self.profile.repeats_refused or limit_s < MIN_LIMIT_S:
            return
        if refused.number + 1 < MAX_TRIES:
            record = replace(
                refused,
                number=refused.number + 1,
                earlier=refused,
                attempts=[],
                runs=[],
                status=None,
                answered_turn=None,
            )
            self._send_call(
                replace(request, record=record, at_s=delay_s, limit_s=limit_s)
            )

    def _send_own_request(self) -> None:
        if self.network.alive:
            name = self.random.choice(list(self._stages))
            self._start(self._call_upstream(name))

    async def _call_upstream(self, name: str) -> None:
        target = self._gateway.state.members.find(UpstreamId(name))
        assert target is not None
        request = HttpRequest(method=b"GET", target=b"/-/report", headers=[])
        try:
            await self._gateway._exchanger.call(target, request)
        except ExchangeError as error:
            self.network.note(f"the gateway's own request failed: {error}")

    def _close_pool(self) -> None:
        """Let go of the connections to an upstream, as for one that has registered."""
        name = self.random.choice(list(self._stages))
        self.network.note(f"the registration of {name} changes")
        self._gateway._remove_upstream(UpstreamId(name))

    def _stop(self) -> None:
        state = self._gateway.state
        grace_s = self.random.choice(self.profile.graces_s)
        state.settings = replace(state.settings, grace_s=grace_s)
        self.network.note(f"the gateway is told to stop within {grace_s} s")
        self._start(self._end_gateway())

    async def _end_gateway(self) -> None:
        await self._gateway.stop()
        self.network.end_process()

    def _start(self, coroutine: Any) -> None:
        task = self.agenda.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_error(self, loop: Any, context: dict[str, Any]) -> None:
        self.errors.append(f"{context['message']}: {context.get('exception')!r}")


def search_seed(seed: int, profile: Profile | None = None) -> SeedResult:
    """Run one seed without log lines; it chooses the profile if none is given."""
    logger.disable("bramleyport")
    try:
        return SeededRun(seed, profile).run()
    finally:
        logger.enable("bramleyport")
