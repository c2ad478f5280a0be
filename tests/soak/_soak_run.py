"""Start gateways, inject faults, let the gateways recover and check them."""

import asyncio
import itertools
import signal
import tempfile
import time
from enum import Enum
from pathlib import Path
from random import Random

from tests.gateway_fleet import LANGUAGE, PLAIN, make_config, make_route
from tests.platform_standin import (
    ENDLESS_ANSWERS,
    CrashingEngine,
    RawRequest,
    Script,
    StoreStandin,
    UpstreamStandin,
    answer_normally,
    decline,
    fail,
    hang,
    lose_answer,
    make_misdirected_answer,
    make_stream_abort,
    truncate,
)
from tests.platform_standin._crashes import BEFORE_HEAD
from tests.soak._callers import KINDS, VERSION_KIND, Callers
from tests.soak._checks import (
    Observations,
    check_disconnected_callers,
    check_drains,
    check_limits,
    check_runs,
    check_versions,
)
from tests.soak._configurations import make_version_path
from tests.soak._crash_checks import (
    check_deadly_parts,
    check_deadly_requests,
    check_sound_prompts,
)
from tests.soak._dark_gateway_soak import DarkGatewaySoak
from tests.soak._deadly_prompts import DEADLY_BODIES, DEADLY_PARTS
from tests.soak._faults import (
    CRASH_FAULTS,
    LIMIT_CHANGES,
    ODD_ENTRIES,
    PLANNED_OPERATIONS,
    UNPLANNED_FAULTS,
    Fault,
    FaultTargets,
)
from tests.soak._findings import Findings, Impairments
from tests.soak._processes import GatewayProcess
from tests.soak._proxy import FaultProxy
from tests.soak._restored_store import (
    FIRST_RESTORE_FAULTS,
    RESTORE_FAULTS,
    RestorableStore,
)
from tests.soak._run_soak import RunSoak
from tests.soak._scenarios import Scenario
from tests.soak._signal_faults import SIGNALS, check_leaving
from tests.soak._stop_soak import StopSoak
from tests.soak._store_faults import PAGE_SIZE, READINGS, STORE_FAULTS
from tests.soak._version_soak import VersionSoak
from tests.soak._version_stage_soak import VersionStageSoak

CALLERS_PER_GATEWAY = 3
START_LIMIT_S = 30.0
# By then the effects of the faults have ended: shutdowns, retries, silent connections.
RECOVERY_WAIT_S = 9.0
MAX_FAULT_INTERVAL_S = 0.8
BAD_ANSWER_FRACTION = 0.15
CRASHING_ENGINES = 6
# Before engines crash on parts of prompts, as a measure of what is served without.
SOUND_S = 2.0
MAX_EVENT_INTERVAL_S = 0.05
# Fraction of the runs in which deadly parts are harmless at first.
ANSWERED_BEFORE_FRACTION = 0.4
PLAIN_FAULTS: list[Script] = [
    lose_answer,
    truncate,
    decline,
    fail,
    hang,
    make_misdirected_answer("foreign"),
]
STREAM_FAULTS: list[Script] = [
    make_stream_abort(0),
    make_stream_abort(2),
    make_stream_abort(3, within_event=True),
    decline,
    fail,
    hang,
]


# Whole events before engines crash on a prompt, by turns; see CrashingEngine.
CRASH_POINTS = ((0,), (1,), (3,), (BEFORE_HEAD,), (BEFORE_HEAD, 0, 1))


class Profile(Enum):
    """Represent the kinds of faults that a soak test injects."""

    # Planned operations only, which must fail no call and keep all time limits.
    PLANNED = "planned"
    # All faults, including upstreams that fail.
    MIXED = "mixed"
    # As MIXED, and also upstreams whose answers never end.
    HOSTILE = "hostile"
    # As PLANNED and MIXED, and also upstreams that name rate limits.
    LIMITS = "limits"
    MIXED_LIMITS = "mixed_limits"
    # Engines that crash on parts of prompts, and gateways that end.
    CRASHES = "crashes"
    # As CRASHES, but upstreams of all kinds crash on whole requests.
    REQUESTS = "requests"
    # As PLANNED, and also upstreams that say in answers what they want.
    SIGNALS = "signals"
    # Engines of several versions that come and go, and streams that are taken up again.
    VERSIONS = "versions"
    # As VERSIONS, and also engines that change their stages by order.
    VERSION_STAGES = "version_stages"
    # As VERSIONS, and also gateways that go dark before they are killed.
    DARK_GATEWAYS = "dark_gateways"
    # Planned stops only, with callers that go on until the processes end.
    STOPS = "stops"
    # Calls that must run at most once, while upstreams refuse them or lose answers.
    RUNS = "runs"
    # As PLANNED, and also odd entries of another writer in the store.
    ODD_ENTRIES = "odd_entries"
    # As ODD_ENTRIES, on lists of several pages with foreign names, and also upstreams
    # that leave silently, and channels to the store that are cut or slow.
    CUT_CHANNELS = "cut_channels"
    # As CRASHES, with prompts of many parts.
    LONG_PROMPTS = "long_prompts"
    # As PLANNED and MIXED, and also a store that comes back from old copies.
    RESTORED = "restored"
    RESTORED_MIXED = "restored_mixed"


# A seed chooses one of these. The others aren't among them, so that the seeds that have
# failed before still run with the same profile.
DRAWN_PROFILES = [Profile.PLANNED, Profile.MIXED]
# Profiles without unplanned faults.
FAULTLESS_PROFILES = (
    Profile.PLANNED,
    Profile.LIMITS,
    Profile.CRASHES,
    Profile.REQUESTS,
    Profile.ODD_ENTRIES,
    Profile.CUT_CHANNELS,
    Profile.LONG_PROMPTS,
    Profile.RESTORED,
    Profile.SIGNALS,
)
CRASH_PROFILES = (Profile.CRASHES, Profile.LONG_PROMPTS, Profile.REQUESTS)
PROMPT_PROFILES = (Profile.CRASHES, Profile.LONG_PROMPTS)
ODD_PROFILES = (Profile.ODD_ENTRIES, Profile.CUT_CHANNELS)
# Profiles whose time limits are checked; impairments are left out.
TIMED_PROFILES = (Profile.PLANNED, *ODD_PROFILES, Profile.RESTORED)


class Soak:
    """Represent one soak test of gateways under the faults of a seed."""

    def __init__(
        self,
        seed: int,
        folder: Path,
        *,
        gateways: int,
        profile: Profile | None,
        check_time_limits: bool,
    ) -> None:
        self._seed = seed
        self._random = Random(seed)
        seed_profile = self._random.choice(DRAWN_PROFILES)
        self._profile = profile or seed_profile
        self.findings = Findings()
        self.observations = Observations(
            self.findings, Impairments(), check_time_limits=check_time_limits
        )
        self._store = RestorableStore() if self._restores_store else StoreStandin()
        if self._profile is Profile.CUT_CHANNELS:
            self._store.page_size = PAGE_SIZE
            self._store.cursor_reading = READINGS[seed % len(READINGS)]
        self._folder = folder
        self._gateway_count = gateways
        self._upstreams = [UpstreamStandin(f"p{n}", service=PLAIN) for n in range(3)]
        self._engines: list[CrashingEngine] = []
        if self._profile in CRASH_PROFILES:
            self._engines = [
                CrashingEngine(f"d{n}", service=LANGUAGE, stage="decode")
                for n in range(CRASHING_ENGINES)
            ]
            if self._profile is Profile.REQUESTS:
                self._upstreams = []
                self._engines += [
                    CrashingEngine(f"p{n}", service=PLAIN)
                    for n in range(CRASHING_ENGINES)
                ]
            self._upstreams += self._engines
        else:
            self._upstreams += [
                UpstreamStandin(f"d{n}", service=LANGUAGE, stage="decode")
                for n in range(3)
            ]
        self._deadly_from_s = 0.0
        self._deadly_parts: tuple[str, ...] = ()
        self._gateways: list[GatewayProcess] = []
        self._targets = FaultTargets(
            self._random,
            self.observations,
            self._store,
            self._gateways,
            self._upstreams,
            {},
        )
        self._callers = Callers(self.observations, self._gateways, self._random)
        if self._restores_store:
            self._callers.kinds = (*KINDS, VERSION_KIND)
            self._callers.read_version = lambda: self._targets.version

    @property
    def _injects_faults(self) -> bool:
        return self._profile not in FAULTLESS_PROFILES

    @property
    def _restores_store(self) -> bool:
        return self._profile in (Profile.RESTORED, Profile.RESTORED_MIXED)

    @property
    def _names_limits(self) -> bool:
        return self._profile in (Profile.LIMITS, Profile.MIXED_LIMITS)

    async def run(self, seconds: float) -> Findings:
        """Inject faults for some seconds and return the findings."""
        stalls = asyncio.ensure_future(self.findings.measure_stalls())
        try:
            await self._start()
            await self._run_under_faults(seconds)
        finally:
            stalls.cancel()
            await self._stop()
        self._check()
        return self.findings

    async def _start(self) -> None:
        await self._store.start()
        self._store.put("config", "main", make_config())
        for engine in self._engines:
            await engine.start()
            self._targets.register_upstream(engine)
        for upstream in self._upstreams:
            if isinstance(upstream, CrashingEngine):
                continue
            await upstream.start()
            upstream.script = self._make_script(upstream)
            proxy = FaultProxy(upstream.port)
            await proxy.start()
            self._targets.proxies[upstream.name] = proxy
            self._targets.register_upstream(upstream)
        for number in range(self._gateway_count):
            await self._add_gateway(f"g{number}")
        await self._wait_ready()

    async def _add_gateway(self, name: str) -> None:
        store_proxy, caller_proxy = FaultProxy(self._store.port), FaultProxy(0)
        await store_proxy.start()
        await caller_proxy.start()
        gateway = GatewayProcess(name, self._folder, store_proxy, caller_proxy)
        gateway.prepare()
        gateway.start()
        self._gateways.append(gateway)

    async def _run_under_faults(self, seconds: float) -> None:
        if self._profile in PROMPT_PROFILES:
            self._choose_deadly_parts()
        if self._profile is Profile.LONG_PROMPTS:
            self._callers.prompts.choose_lead(Random(self._seed))
        if self._profile is Profile.REQUESTS:
            self._callers.repeats_requests = True
        if self._names_limits:
            # Not earlier: without calls, no gateway gets to know of a limit.
            self._targets.limit_steadily(self._upstreams[0])
        count = CALLERS_PER_GATEWAY * len(self._gateways)
        callers = [
            asyncio.ensure_future(self._callers.send_calls()) for _ in range(count)
        ]
        copies: asyncio.Future[None] | None = None
        if isinstance(self._store, RestorableStore):
            copies = asyncio.ensure_future(self._store.take_copies())
            await asyncio.sleep(0)
        faults = asyncio.ensure_future(self._inject_faults())
        if self._profile in PROMPT_PROFILES:
            await asyncio.sleep(SOUND_S)
            self._add_deadly_parts()
        if self._profile is Profile.REQUESTS:
            await asyncio.sleep(SOUND_S)
            self._deadly_from_s = time.monotonic()
            for engine in self._engines:
                engine.deadly_bodies = set(DEADLY_BODIES.values())
        await asyncio.sleep(seconds)
        faults.cancel()
        if copies is not None:
            copies.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        await self._end_faults()
        await self._check_recovery()
        self._callers.stopping = True
        await asyncio.gather(*callers)

    def _make_script(self, upstream: UpstreamStandin) -> Script:
        faults = STREAM_FAULTS if upstream.stage else PLAIN_FAULTS
        if self._profile is Profile.HOSTILE:
            faults = faults + ENDLESS_ANSWERS

        async def script(
            upstream: UpstreamStandin,
            request: RawRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            chosen: Script = answer_normally
            failing = self._injects_faults and not self._callers.stopping
            if failing and self._random.random() < BAD_ANSWER_FRACTION:
                chosen = self._random.choice(faults)
            await asyncio.sleep(self._random.random() * 0.02)
            await chosen(upstream, request, writer)

        return script

    def _choose_deadly_parts(self) -> None:
        """Choose the parts; in some runs engines answer them before they crash."""
        count = self._random.randint(1, len(DEADLY_PARTS))
        self._deadly_parts = DEADLY_PARTS[:count]
        if self._random.random() < ANSWERED_BEFORE_FRACTION:
            self._callers.prompts.deadly_parts = self._deadly_parts

    def _add_deadly_parts(self) -> None:
        """Make engines crash on the chosen parts, and callers send them."""
        parts = self._deadly_parts
        # Draws of their own, so that seeds that have failed before play as they did.
        points = itertools.cycle(Random(self._seed).choice(CRASH_POINTS))
        for engine in self._engines:
            engine.crash_points = points
            engine.deadly_parts = set(parts)
            engine.pause_s = self._random.random() * MAX_EVENT_INTERVAL_S
        self._deadly_from_s = time.monotonic()
        self._callers.prompts.deadly_parts = parts

    async def _inject_faults(self) -> None:
        faults: dict[str, Fault] = dict(PLANNED_OPERATIONS)
        if self._profile in CRASH_PROFILES:
            faults = dict(CRASH_FAULTS)
        if self._injects_faults:
            faults |= UNPLANNED_FAULTS
        if self._names_limits:
            faults |= LIMIT_CHANGES
        if self._profile in ODD_PROFILES:
            faults |= ODD_ENTRIES
        if self._profile is Profile.CUT_CHANNELS:
            faults |= STORE_FAULTS
        if self._profile is Profile.SIGNALS:
            faults |= SIGNALS
        if self._restores_store:
            faults |= RESTORE_FAULTS
        # However short a run is, the store is restored once.
        first = list(reversed(FIRST_RESTORE_FAULTS)) if self._restores_store else []
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                name = first.pop() if first else self._random.choice(list(faults))
                self.findings.faults[name] += 1
                running.add(asyncio.ensure_future(faults[name](self._targets)))
                await asyncio.sleep(self._random.random() * MAX_FAULT_INTERVAL_S)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def _end_faults(self) -> None:
        for upstream in self._upstreams:
            self._targets.register_upstream(upstream)
        for gateway in self._gateways:
            gateway.send_if_running(signal.SIGCONT)
        await asyncio.sleep(RECOVERY_WAIT_S)

    async def _check_recovery(self) -> None:
        for gateway in self._gateways:
            # A gateway that was being stopped when the faults ended was not restarted.
            if not gateway.is_running:
                gateway.start()
        path = "/read/x"
        if self._restores_store and self._targets.version > 1:
            # Only the newest configuration routes this.
            path = f"{make_version_path(self._targets.version)}x"
        try:
            await self._wait_ready(path)
        except TimeoutError:
            self.observations.report_violation(
                "a gateway does not serve calls after the faults have ended"
            )
        if self._profile in ODD_PROFILES:
            await self._check_following()

    async def _check_following(self) -> None:
        """Check that each gateway gets to know a route that is added now."""
        self._targets.version += 1
        config = self._store.objects["config", "main"]["spec"]
        routes = [*config["routes"], make_route("last", "/last/", "idempotent")]
        changes = {"version": self._targets.version, "routes": routes}
        self._store.put("config", "main", config | changes)
        try:
            await self._wait_ready("/last/x")
        except TimeoutError:
            self.observations.report_violation(
                "a gateway does not follow the configuration any more"
            )

    async def _wait_ready(self, path: str = "/read/x") -> None:
        async with asyncio.timeout(START_LIMIT_S):
            for gateway in self._gateways:
                while not await self._callers.is_serving(gateway, path):
                    await asyncio.sleep(0.1)

    async def _stop(self) -> None:
        for gateway in self._gateways:
            gateway.kill()
            gateway.store_proxy.stop()
            gateway.caller_proxy.stop()
        for proxy in self._targets.proxies.values():
            proxy.stop()
        for server in (self._store, *self._upstreams):
            await server.stop()

    def _check(self) -> None:
        check_runs(self.observations, self._upstreams)
        check_limits(self.observations, self._upstreams)
        check_versions(self.observations)
        check_leaving(self.observations, self._upstreams, len(self._gateways))
        if self._profile is Profile.REQUESTS:
            check_deadly_requests(self.observations, self._engines)
        if self._engines:
            parts = self._callers.prompts.deadly_parts
            check_deadly_parts(self.observations, self._engines, parts)
            check_sound_prompts(self.observations, self._engines, self._deadly_from_s)
        self.findings.limited_windows = self.observations.limited_windows
        keeps_times = self._profile in TIMED_PROFILES
        if keeps_times and self.observations.check_time_limits:
            check_drains(self.observations, self._upstreams)
            check_disconnected_callers(self.observations, self._upstreams)


async def run_soak(
    seed: int,
    seconds: float,
    *,
    gateways: int = 4,
    profile: Profile | None = None,
    check_time_limits: bool = True,
    scenario: Scenario | None = None,
    sources: tuple[str, ...] = (),
) -> Findings:
    """Run one soak test; its log folder is kept if it found a violation.

    The scenario and the sources of the gateways apply to the profile RUNS.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    test: Soak | StopSoak | VersionSoak | RunSoak
    if profile is Profile.STOPS:
        test = StopSoak(seed, folder, gateways=gateways)
    elif profile is Profile.VERSIONS:
        test = VersionSoak(seed, folder, gateways=gateways)
    elif profile is Profile.DARK_GATEWAYS:
        test = DarkGatewaySoak(seed, folder, gateways=gateways)
    elif profile is Profile.VERSION_STAGES:
        test = VersionStageSoak(seed, folder, gateways=gateways)
    elif profile is Profile.RUNS:
        test = RunSoak(
            seed, folder, gateways=gateways, scenario=scenario, sources=sources
        )
    else:
        test = Soak(
            seed,
            folder,
            gateways=gateways,
            profile=profile,
            check_time_limits=check_time_limits,
        )
    findings = await test.run(seconds)
    if not findings.violations:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    else:
        findings.violations.append(f"logs are in {folder}")
    return findings
