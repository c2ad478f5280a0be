"""Simulate gateways, in virtual time, that learn on which prompts engines crash."""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import (
    CallTraits,
    CrashEvidence,
    CrashId,
    CrashReport,
    HarmlessTrait,
    RequestIdentity,
    TraitId,
    Verdict,
)
from bramleyport.fleet._traits import make_part_traits
from tests.crash_bound import BOUNDED_CRASH

STABLE_S = 3.0
DOWN_S = 3.0
CRASH_DELAY_S = 0.05
ANSWER_S = 0.3
# Until a gateway knows that the engine under its broken call refuses connections.
CONFIRM_S = 0.01
PEER_DELAY_S = 0.005
# Time between two messages in which a gateway repeats its reports.
REPEAT_INTERVAL_S = 1.0
REPEATS = 3
# Time within which the messages that wait for the next datagram are sent.
MAX_OBJECTION_S = 0.05
DEADLY = "dead"
SHARED_PARTS = ("b0", "b1", "b2", "b3")

Notice = CrashReport | HarmlessTrait | Verdict


@dataclass(slots=True)
class SimulatedEngine:
    """Represent one engine and the prompts that wait for their first event there."""

    upstream: UpstreamId
    started_ms: int = 1
    up_from_s: float = 0.0
    waiting: "dict[int, SimulatedCall]" = field(default_factory=dict)


@dataclass(slots=True)
class SimulatedCall:
    """Represent one prompt that a gateway has sent to an engine."""

    gateway: "SimulatedGateway"
    traits: CallTraits
    is_deadly: bool


@dataclass(frozen=True, slots=True)
class SoundPrompt:
    """Describe a prompt on which no engine crashes."""

    at_s: float
    is_sent: bool


@dataclass(slots=True)
class SimulatedGateway:
    """Represent one gateway process."""

    process: ProcessId
    evidence: CrashEvidence
    running: bool = True
    # Gateways in other groups receive nothing from this one.
    group: int = 0
    # When a peer last reported a part as harmless.
    heard_s: dict[TraitId, float] = field(default_factory=dict)
    # Own reports, which gateways that start get as well.
    reports: list[CrashReport] = field(default_factory=list)


@dataclass(slots=True)
class CrashSimulation:
    """Represent gateways and engines of which each crashes on deadly prompts."""

    random: Random
    loss: float
    engine_count: int
    deadly_per_s: float = 5.0
    sound_per_s: float = 60.0
    now_s: float = 0.0
    # Each crash on a deadly prompt, and each deadly prompt that was sent to an engine.
    crashes: list[float] = field(default_factory=list)
    deadly_sends: list[float] = field(default_factory=list)
    # Each sound prompt, with whether it was sent.
    sound: list[SoundPrompt] = field(default_factory=list)
    gateways: dict[str, SimulatedGateway] = field(default_factory=dict)
    engines: list[SimulatedEngine] = field(default_factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        for number in range(self.engine_count):
            self.engines.append(SimulatedEngine(UpstreamId(f"d{number}")))
        self._repeat(self.sound_per_s, self._send_sound)

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def begin_deadly(self) -> None:
        """Begin to send deadly prompts."""
        self._repeat(self.deadly_per_s, self._send_deadly)

    def start_gateway(self, name: str) -> None:
        """Start a gateway without evidence; its peers tell it what they know."""
        process = ProcessId(name)
        gateway = SimulatedGateway(process, CrashEvidence(process))
        self.gateways[name] = gateway
        for peer in list(self.gateways.values()):
            if peer is gateway or not peer.running:
                continue
            reports = map(peer.evidence.update_report, peer.reports)
            for notice in (*reports, *peer.evidence.verdicts):
                self._deliver(peer, gateway, notice)

    def kill_gateway(self, name: str) -> None:
        self.gateways.pop(name).running = False

    def crash_engine(self, engine: SimulatedEngine) -> None:
        """End the process of an engine; the gateways of its calls learn of that."""
        crash = CrashId(engine.upstream, engine.started_ms)
        broken = list(engine.waiting.values())
        engine.waiting.clear()
        engine.started_ms += 1
        engine.upstream = UpstreamId(f"{engine.upstream}x")
        engine.up_from_s = self.now_s + DOWN_S
        for call in broken:
            began = call.is_deadly or self.random.random() < 0.3
            self.call_at(
                self.now_s + CONFIRM_S,
                lambda call=call, began=began: self._report(call, crash, began),
            )

    def count_late_sends(self) -> int:
        """Return how many deadly prompts were sent later than the bound permits any."""
        if len(self.crashes) < BOUNDED_CRASH:
            return 0
        bounded_s = self.crashes[BOUNDED_CRASH - 1] + STABLE_S
        return sum(sent_s > bounded_s for sent_s in self.deadly_sends)

    def list_blamed(self) -> set[TraitId]:
        """Return the parts that gateways withhold though no engine crashes on them."""
        return {
            verdict.trait
            for gateway in self.gateways.values()
            for verdict in gateway.evidence.verdicts
            if verdict.trait != DEADLY
        }

    def compute_sound_sent(self) -> float:
        """Return which fraction of the sound prompts is sent after the last crash."""
        settled_s = self.crashes[-1] + 2 * STABLE_S
        after = [prompt.is_sent for prompt in self.sound if prompt.at_s > settled_s]
        return sum(after) / len(after)

    def _repeat(self, per_s: float, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self._repeat(per_s, action)

        self.call_at(self.now_s + self.random.expovariate(per_s), act)

    def _send_deadly(self) -> None:
        self._send(["aa", self.random.choice(SHARED_PARTS), DEADLY], is_deadly=True)

    def _send_sound(self) -> None:
        self._send(["aa", self.random.choice(SHARED_PARTS)], is_deadly=False)

    def _send(self, names: list[str], *, is_deadly: bool) -> None:
        running = list(self.gateways.values())
        engines = [item for item in self.engines if item.up_from_s <= self.now_s]
        if not running or not engines:
            return
        gateway = self.random.choice(running)
        number = next(self._numbers)
        identity = RequestIdentity([b"POST"], f"request {number}".encode())
        traits = CallTraits(make_part_traits(names), identity)
        evidence = gateway.evidence
        if evidence.find_verdict(traits) or evidence.forecast_hold(traits, self.now_s):
            if not is_deadly:
                self.sound.append(SoundPrompt(self.now_s, is_sent=False))
            return
        evidence.take_trial(traits, self.now_s)
        engine = self.random.choice(engines)
        engine.waiting[number] = SimulatedCall(gateway, traits, is_deadly)
        if is_deadly:
            self.deadly_sends.append(self.now_s)
        else:
            self.sound.append(SoundPrompt(self.now_s, is_sent=True))
        delay_s = CRASH_DELAY_S if is_deadly else self.random.random() * ANSWER_S
        self.call_at(self.now_s + delay_s, lambda: self._begin(engine, number))

    def _begin(self, engine: SimulatedEngine, number: int) -> None:
        """Begin the answer of a call, unless its engine has crashed meanwhile."""
        call = engine.waiting.get(number)
        if call is None:
            return
        if call.is_deadly:
            self.crashes.append(self.now_s)
            self.crash_engine(engine)
            return
        del engine.waiting[number]
        for notice in call.gateway.evidence.record_answered(call.traits, self.now_s):
            self._broadcast(call.gateway, notice)

    def _report(self, call: SimulatedCall, crash: CrashId, began: bool) -> None:
        gateway = call.gateway
        report = gateway.evidence.make_report(
            crash, call.traits, self.now_s, answer_began=began
        )
        if report is None or not gateway.running:
            return
        gateway.reports.append(report)
        for verdict in gateway.evidence.record_crash(report, self.now_s):
            self._broadcast_verdict(gateway, verdict, REPEATS)
        for number in range(REPEATS):
            at_s = self.now_s + number * REPEAT_INTERVAL_S
            self.call_at(at_s, lambda: self._broadcast(gateway, report))

    def _broadcast_verdict(
        self, gateway: SimulatedGateway, verdict: Verdict, repeats: int
    ) -> None:
        """Send a verdict, and again while it is in force."""
        if repeats == 0 or verdict not in gateway.evidence.verdicts:
            return
        self._broadcast(gateway, verdict)
        self.call_at(
            self.now_s + REPEAT_INTERVAL_S,
            lambda: self._broadcast_verdict(gateway, verdict, repeats - 1),
        )

    def _broadcast(self, origin: SimulatedGateway, notice: Notice) -> None:
        if origin.running:
            for peer in self.gateways.values():
                if peer is not origin:
                    self._deliver(origin, peer, notice)

    def _deliver(
        self, origin: SimulatedGateway, peer: SimulatedGateway, notice: Notice
    ) -> None:
        if origin.group == peer.group and self.random.random() >= self.loss:
            at_s = self.now_s + PEER_DELAY_S
            self.call_at(at_s, lambda: self._apply(peer, notice))

    def _apply(self, gateway: SimulatedGateway, notice: Notice) -> None:
        evidence = gateway.evidence
        if isinstance(notice, CrashReport):
            self._object(gateway, notice.contestable)
            evidence.record_crash(notice, self.now_s)
        elif isinstance(notice, HarmlessTrait):
            gateway.heard_s[notice.trait] = self.now_s
            evidence.apply_harmless(notice)
        elif evidence.is_plausible(notice):
            evidence.apply_verdict(notice)
        else:
            self._object(gateway, [notice.trait])

    def _object(self, gateway: SimulatedGateway, parts: Iterable[TraitId]) -> None:
        """Tell the peers of harmless parts, unless another gateway does so earlier."""
        since_s = self.now_s

        def send(notice: HarmlessTrait) -> None:
            if gateway.heard_s.get(notice.trait, -1.0) < since_s:
                self._broadcast(gateway, notice)

        for notice in gateway.evidence.find_harmless(sorted(parts)):
            at_s = since_s + self.random.random() * MAX_OBJECTION_S
            self.call_at(at_s, lambda notice=notice: send(notice))
